"""The settings of limits and tiers. Each value checks itself: an error is one line, `key: rule: value`.

Fields have the names of the keys that operators set (docs/operate/limits.md). Counts are of requests unless
something else is named, times are seconds, shares are parts of 1. 0 where a limit may be left out means that
there is none.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf, isfinite

MAX_COUNT = 1_000_000  # of anything counted
MAX_SECONDS = 86_400.0  # no time that is set is longer


def check_number(
    key: str, value: object, unit: str, minimum: float, maximum: float, *, exclusive: bool = False
) -> None:
    """Check that a number is within its range, of which `exclusive` leaves the minimum itself out.

    Raises ValueError, whose text names key, range, unit and value.
    """
    is_finite = isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)
    if is_finite and minimum <= value <= maximum and not (exclusive and value == minimum):  # type: ignore[operator]
        return
    low = f"above {minimum:g}" if exclusive else f"from {minimum:g}"
    high = "" if maximum == inf else f" to {maximum:g}"
    raise ValueError(f"{key}: must be {low}{high} {unit}: {value!r}")


def check_integer(key: str, value: object, unit: str, minimum: int, maximum: int = MAX_COUNT) -> None:
    """Check that an integer is within its range. Raises ValueError, which names key, unit and value."""
    if type(value) is not int or not minimum <= value <= maximum:
        raise ValueError(f"{key}: must be a whole number from {minimum} to {maximum} {unit}: {value!r}")


@dataclass(frozen=True, slots=True)
class RateSettings:
    """A rate in requests a second; `burst` of them may come at once after a pause."""

    per_s: float
    burst: int = 1

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_number("rate.per_s", self.per_s, "jobs a second", 0, MAX_COUNT, exclusive=True)
        check_integer("rate.burst", self.burst, "jobs", 1)


@dataclass(frozen=True, slots=True)
class CallerTableSettings:
    """How many callers have entries of their own.

    A new caller is among the strangers at first, and is known once it has been there for `prove` seconds and
    has had two requests admitted. A known one stays so until it is idle for `keep` seconds. Strangers have
    `strangers` entries, and those of `known` that are free.
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
    """What one caller may have.

    A caller that found no entry of its own in the table shares one of these with all others of its kind.
    """

    in_flight: int = 0
    rate: RateSettings | None = None

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_integer("caller.in_flight", self.in_flight, "jobs", 0)


def _check_table_keeps_buckets(caller: CallerLimitSettings | None, table: CallerTableSettings) -> None:
    """Guard against a caller that is forgotten, and is given its burst anew, before its bucket is full."""
    if caller is not None and caller.rate is not None:
        fill_seconds = caller.rate.burst / caller.rate.per_s
        check_number("table.keep", table.keep, "seconds (burst / per_s)", fill_seconds, inf)


@dataclass(frozen=True, slots=True)
class FairShareSettings:
    """Fair shares between callers.

    Once a pool is full except for the part `room`, only callers under their share are admitted. All strangers
    together have the weight `strangers`.
    """

    over: float = 1.0  # use is measured over about so many seconds
    room: float = 0.4
    strangers: float = 2.0
    weight: Mapping[str, float] = field(default_factory=dict)  # by caller; 1 for one that is not named

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_number("shares.over", self.over, "seconds", 0.1, MAX_SECONDS)
        check_number("shares.room", self.room, "of the limit", 0, 0.9)
        check_number("shares.strangers", self.strangers, "callers", 0, MAX_COUNT, exclusive=True)
        for name, weight in self.weight.items():
            check_number(f"shares.weight.{name}", weight, "(a weight)", 0, MAX_COUNT, exclusive=True)


@dataclass(frozen=True, slots=True)
class ClassPriority:
    """A class's priority in its pool.

    It is admitted while the pool is filled to less than the part `fill`, and in any case while it has less
    than the part `floor` itself, rounded down to whole requests.
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
    """A limit on requests in flight that follows the knee of the pool's latency.

    It falls while requests take longer than `tolerance` times what they take without a queue, and otherwise
    grows by the part `step` while it is reached.
    """

    floor: int = 4
    ceiling: int = 1000
    start: int = 20
    step: float = 0.1  # of the limit, one request at least, for each window
    tolerance: float = 2.0
    samples: int = 50  # responses that make a window; nothing is decided by fewer
    probe_every: float = 10.0  # under pressure, the latency without a queue is measured again this often

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
    """Attempts in flight at a pool.

    Each request is sure of one. `reserve` of them are kept from new requests, for hedges and for retries
    beside an attempt that is not over.
    """

    most: int
    reserve: int = 0

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_integer("claims.most", self.most, "attempts", 1)
        check_integer("claims.reserve", self.reserve, "attempts", 0, self.most - 1)


@dataclass(frozen=True, slots=True)
class RetryAfterSettings:
    """Retry-After: at least `least`, at most `most` seconds."""

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
    rate: RateSettings | None = None  # of all callers together
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
    rate: RateSettings | None = None  # of all callers together
    caller: CallerLimitSettings | None = None
    table: CallerTableSettings = field(default_factory=CallerTableSettings)
    shares: FairShareSettings | None = None
    worth: tuple[ClassPriority, ...] = ()
    adaptive: AdaptiveLimitSettings | None = None
    claims: AttemptLimitSettings | None = None
    retry_after: RetryAfterSettings = field(default_factory=RetryAfterSettings)

    def __post_init__(self) -> None:
        """Check the fields, each by itself and together. Raises ValueError."""
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

    It is degraded once less than the part `enough` of it has been ready for `fall_after` seconds, and has
    recovered once `back` or more has been for `rise_after` seconds.
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
