"""The settings of limits and tiers. Each class validates its fields; an error is a line `key: rule: value`.

Fields have the names of the settings keys (docs/operate/limits.md). Counts are numbers of requests unless
stated otherwise, times are in seconds, shares are between 0 and 1. For an optional limit, 0 means no limit.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf, isfinite

MAX_COUNT = 1_000_000
MAX_SECONDS = 86_400.0


def check_number(
    key: str, value: object, unit: str, minimum: float, maximum: float, *, exclusive: bool = False
) -> None:
    """Check that a number is within its range; `exclusive` excludes the minimum.

    Raises ValueError with the key, range, unit and value.
    """
    is_finite = isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)
    if is_finite and minimum <= value <= maximum and not (exclusive and value == minimum):  # type: ignore[operator]
        return
    low = f"above {minimum:g}" if exclusive else f"from {minimum:g}"
    high = "" if maximum == inf else f" to {maximum:g}"
    raise ValueError(f"{key}: must be {low}{high} {unit}: {value!r}")


def check_integer(key: str, value: object, unit: str, minimum: int, maximum: int = MAX_COUNT) -> None:
    """Check that an integer is within its range. Raises ValueError with the key, range, unit and value."""
    if type(value) is not int or not minimum <= value <= maximum:
        raise ValueError(f"{key}: must be a whole number from {minimum} to {maximum} {unit}: {value!r}")


@dataclass(frozen=True, slots=True)
class RateSettings:
    """A rate in requests per second, with a token bucket of `burst` requests."""

    per_s: float
    burst: int = 1

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_number("rate.per_s", self.per_s, "jobs a second", 0, MAX_COUNT, exclusive=True)
        check_integer("rate.burst", self.burst, "jobs", 1)


@dataclass(frozen=True, slots=True)
class CallerTableSettings:
    """The size of a caller table.

    A new caller is a stranger. It becomes known once it has had an entry for `prove` seconds and two admitted
    requests. A known caller can be evicted after `keep` idle seconds. Strangers may use `strangers` entries
    and the free ones of `known`.
    """

    known: int = 1000
    strangers: int = 250
    prove: float = 1.0
    keep: float = 60.0

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_integer("table.known", self.known, "callers", 1)
        check_integer("table.strangers", self.strangers, "callers", 1)
        check_number("table.prove", self.prove, "seconds", 0, MAX_SECONDS)
        check_number("table.keep", self.keep, "seconds", 1, MAX_SECONDS)


@dataclass(frozen=True, slots=True)
class CallerLimitSettings:
    """The limits of one caller.

    All callers without an entry of their own in the table share one set of these limits.
    """

    in_flight: int = 0
    rate: RateSettings | None = None

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_integer("caller.in_flight", self.in_flight, "jobs", 0)


def _check_table_keeps_buckets(caller: CallerLimitSettings | None, table: CallerTableSettings) -> None:
    """Check that a caller is not evicted, which would reset its bucket, before that is full."""
    if caller is not None and caller.rate is not None:
        fill_seconds = caller.rate.burst / caller.rate.per_s
        check_number("table.keep", table.keep, "seconds (burst / per_s)", fill_seconds, inf)


@dataclass(frozen=True, slots=True)
class FairShareSettings:
    """Fair shares between callers.

    Once only the share `room` of a pool's limit is free, callers over their fair share are rejected. All
    strangers together have the weight `strangers`.
    """

    over: float = 1.0  # time constant of the measured usage, in seconds
    room: float = 0.4
    strangers: float = 2.0
    weight: Mapping[str, float] = field(default_factory=dict)  # by caller; 1 for a caller that is not listed

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_number("shares.over", self.over, "seconds", 0.1, MAX_SECONDS)
        check_number("shares.room", self.room, "of the limit", 0, 0.9)
        check_number("shares.strangers", self.strangers, "callers", 0, MAX_COUNT, exclusive=True)
        for name, weight in self.weight.items():
            check_number(f"shares.weight.{name}", weight, "(a weight)", 0, MAX_COUNT, exclusive=True)


@dataclass(frozen=True, slots=True)
class ClassPriority:
    """The priority of a class in its pool.

    Its requests are admitted while less than the share `fill` of the pool's limit is in use, and also while
    the class itself uses less than the share `floor`, rounded down to whole requests.
    """

    name: str
    fill: float = 1.0
    floor: float = 0.0

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        if not self.name:
            raise ValueError("worth.name: must name a class: ''")
        check_number(f"worth.{self.name}.fill", self.fill, "of the limit", 0, 1, exclusive=True)
        check_number(f"worth.{self.name}.floor", self.floor, "of the limit", 0, 0.5)


@dataclass(frozen=True, slots=True)
class AdaptiveLimitSettings:
    """A limit on requests in flight that follows the knee of the pool's latency curve.

    It falls while the latency exceeds `tolerance` times the latency without a queue, and otherwise grows by
    the share `step` while it is reached.
    """

    floor: int = 4
    ceiling: int = 1000
    start: int = 20
    step: float = 0.1  # share of the limit per window, at least one request
    tolerance: float = 2.0
    samples: int = 50  # responses per window
    probe_every: float = 10.0  # seconds between measurements of the latency without a queue

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_integer("adaptive.floor", self.floor, "jobs", 1)
        check_integer("adaptive.ceiling", self.ceiling, "jobs", self.floor)
        check_integer("adaptive.start", self.start, "jobs", self.floor, self.ceiling)
        check_number("adaptive.step", self.step, "of the limit", 0, 0.5, exclusive=True)
        check_number("adaptive.tolerance", self.tolerance, "times", 1.1, 10)
        check_integer("adaptive.samples", self.samples, "answers", 20, 10_000)
        check_number("adaptive.probe_every", self.probe_every, "seconds", 0.5, MAX_SECONDS)


@dataclass(frozen=True, slots=True)
class AttemptLimitSettings:
    """Limit on attempts in flight at a pool.

    Each request can always have one. `reserve` of them are not available to new requests, but only to hedged
    requests and to retries while another attempt is in flight.
    """

    most: int
    reserve: int = 0

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_integer("claims.most", self.most, "attempts", 1)
        check_integer("claims.reserve", self.reserve, "attempts", 0, self.most - 1)


@dataclass(frozen=True, slots=True)
class RetryAfterSettings:
    """The range of Retry-After, in seconds."""

    least: float = 0.1
    most: float = 2.0

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_number("retry_after.least", self.least, "seconds", 0.001, MAX_SECONDS)
        check_number("retry_after.most", self.most, "seconds", self.least, MAX_SECONDS)


@dataclass(frozen=True, slots=True)
class RouteLimitSettings:
    """The limits of a route."""

    in_flight: int = 0
    rate: RateSettings | None = None  # for all callers together
    caller: CallerLimitSettings | None = None
    table: CallerTableSettings = field(default_factory=CallerTableSettings)

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_integer("in_flight", self.in_flight, "jobs", 0)
        _check_table_keeps_buckets(self.caller, self.table)


@dataclass(frozen=True, slots=True)
class PoolLimitSettings:
    """The limits of a pool."""

    in_flight: int = 0
    rate: RateSettings | None = None  # for all callers together
    caller: CallerLimitSettings | None = None
    table: CallerTableSettings = field(default_factory=CallerTableSettings)
    shares: FairShareSettings | None = None
    worth: tuple[ClassPriority, ...] = ()
    adaptive: AdaptiveLimitSettings | None = None
    claims: AttemptLimitSettings | None = None
    retry_after: RetryAfterSettings = field(default_factory=RetryAfterSettings)

    def __post_init__(self) -> None:
        """Check each field and their combination. Raises ValueError."""
        check_integer("in_flight", self.in_flight, "jobs", 0)
        _check_table_keeps_buckets(self.caller, self.table)
        has_limit = self.in_flight or self.adaptive or self.claims
        for key in ("shares", "worth"):
            if getattr(self, key) and not has_limit:
                raise ValueError(
                    f"{key}: needs in_flight, adaptive or claims beside it, as there is no pressure"
                )
        names = [priority.name for priority in self.worth]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"worth.{name}: must be set once: {names.count(name)} times")
        floors = sum(priority.floor for priority in self.worth)
        check_number("worth.floor", floors, "of the limit, all together", 0, 0.5)


@dataclass(frozen=True, slots=True)
class TierSettings:
    """When a tier of a pool passes part of its load on.

    It becomes degraded once less than the share `enough` of it has been available for `fall_after` seconds,
    and recovers once a share of at least `back` has been available for `rise_after` seconds.
    """

    enough: float = 0.7
    back: float = 0.85
    fall_after: float = 0.5
    rise_after: float = 5.0

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_number("tiers.enough", self.enough, "of a tier", 0, 1, exclusive=True)
        check_number("tiers.back", self.back, "of a tier", self.enough, 1)
        check_number("tiers.fall_after", self.fall_after, "seconds", 0, 60)
        check_number("tiers.rise_after", self.rise_after, "seconds", 0, 3600)
