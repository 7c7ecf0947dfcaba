"""What a user sets for limits and tiers. Each value checks itself: an error is one line, `key: rule: value`.

Counts are of jobs unless something else is named, times are seconds, shares are parts of 1. 0 where a bound
may be left out means that there is none.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf, isfinite

MOST = 1_000_000  # of anything counted
LONG = 86_400.0  # seconds: no time that is set is longer


def number(key: str, value: object, unit: str, least: float, most: float, *, above: bool = False) -> None:
    """Holds a number to its range; ValueError names key, unit and value. `above`: `least` itself is out."""
    real = isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)
    if real and least <= value <= most and not (above and value == least):  # type: ignore[operator]
        return
    low = f"above {least:g}" if above else f"from {least:g}"
    high = "" if most == inf else f" to {most:g}"
    raise ValueError(f"{key}: must be {low}{high} {unit}: {value!r}")


def whole(key: str, value: object, unit: str, least: int, most: int = MOST) -> None:
    if type(value) is not int or not least <= value <= most:
        raise ValueError(f"{key}: must be a whole number from {least} to {most} {unit}: {value!r}")


@dataclass(frozen=True, slots=True)
class Rate:
    """So many jobs a second; `burst` of them may come at once after a pause."""

    per_s: float
    burst: int = 1

    def __post_init__(self) -> None:
        number("rate.per_s", self.per_s, "jobs a second", 0, MOST, above=True)
        whole("rate.burst", self.burst, "jobs", 1)


@dataclass(frozen=True, slots=True)
class Table:
    """How many callers are kept apart. Who comes new is among the strangers at first, and is known once it
    has been there for `prove` and has had two jobs taken. Who is known stays so until idle for `keep`.
    Strangers have `strangers` places, and those of `known` that nobody holds.
    """

    known: int = 1000
    strangers: int = 250
    prove: float = 1.0
    keep: float = 60.0

    def __post_init__(self) -> None:
        whole("table.known", self.known, "callers", 1)
        whole("table.strangers", self.strangers, "callers", 1)
        number("table.prove", self.prove, "seconds", 0, LONG)
        number("table.keep", self.keep, "seconds", 1, LONG)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What one caller may have. A caller that found no place of its own in the table shares one of these with
    all others of its kind.
    """

    in_flight: int = 0
    rate: Rate | None = None

    def __post_init__(self) -> None:
        whole("caller.in_flight", self.in_flight, "jobs", 0)


def _remembered(caller: CallerLimits | None, table: Table) -> None:
    """Guards against a caller that is forgotten, and is given its burst anew, before its bucket is full."""
    if caller is not None and caller.rate is not None:
        number(
            "table.keep", table.keep, "seconds (burst / per_s)", caller.rate.burst / caller.rate.per_s, inf
        )


@dataclass(frozen=True, slots=True)
class Shares:
    """Fair shares between callers. Once a pool is full but for the part `room`, only callers under their
    share are taken. All strangers together have the weight `strangers`.
    """

    over: float = 1.0  # use is measured over about so long
    room: float = 0.4
    strangers: float = 2.0
    weight: Mapping[str, float] = field(default_factory=dict)  # by caller; 1 for who is not named

    def __post_init__(self) -> None:
        number("shares.over", self.over, "seconds", 0.1, LONG)
        number("shares.room", self.room, "of the limit", 0, 0.9)
        number("shares.strangers", self.strangers, "callers", 0, MOST, above=True)
        for name, weight in self.weight.items():
            number(f"shares.weight.{name}", weight, "(a weight)", 0, MOST, above=True)


@dataclass(frozen=True, slots=True)
class Worth:
    """A class's standing in its pool. It is taken while the pool is filled to less than the part `fill`, and
    in any case while it has less than the part `floor` itself: whole places, rounded down.
    """

    name: str
    fill: float = 1.0
    floor: float = 0.0

    def __post_init__(self) -> None:
        if not self.name:
            raise ValueError("worth.name: must name a class: ''")
        number(f"worth.{self.name}.fill", self.fill, "of the limit", 0, 1, above=True)
        number(f"worth.{self.name}.floor", self.floor, "of the limit", 0, 0.5)


@dataclass(frozen=True, slots=True)
class Adaptive:
    """A limit on jobs in flight that follows the knee: it falls while jobs take longer than `tolerance` times
    what they take without a queue, and else grows by the part `step` while it is in play.
    """

    floor: int = 4
    ceiling: int = 1000
    start: int = 20
    step: float = 0.1  # of the limit, one job at least, for each window
    tolerance: float = 2.0
    samples: int = 50  # answers that make a window; nothing is decided by fewer
    probe_every: float = 10.0  # under pressure, the time without a queue is learnt anew this often

    def __post_init__(self) -> None:
        whole("adaptive.floor", self.floor, "jobs", 1)
        whole("adaptive.ceiling", self.ceiling, "jobs", self.floor)
        whole("adaptive.start", self.start, "jobs", self.floor, self.ceiling)
        number("adaptive.step", self.step, "of the limit", 0, 0.5, above=True)
        number("adaptive.tolerance", self.tolerance, "times", 1.1, 10)
        whole("adaptive.samples", self.samples, "answers", 20, 10_000)
        number("adaptive.probe_every", self.probe_every, "seconds", 0.5, LONG)


@dataclass(frozen=True, slots=True)
class Claims:
    """Attempts in flight at a pool. Each job has one place for sure; `reserve` of them are kept from new
    jobs, for second copies and for repeats beside an attempt that is not over.
    """

    most: int
    reserve: int = 0

    def __post_init__(self) -> None:
        whole("claims.most", self.most, "attempts", 1)
        whole("claims.reserve", self.reserve, "attempts", 0, self.most - 1)


@dataclass(frozen=True, slots=True)
class Advice:
    """Retry-After: at least `least`, at most `most` seconds."""

    least: float = 0.1
    most: float = 2.0

    def __post_init__(self) -> None:
        number("retry_after.least", self.least, "seconds", 0.001, LONG)
        number("retry_after.most", self.most, "seconds", self.least, LONG)


@dataclass(frozen=True, slots=True)
class RouteLimits:
    in_flight: int = 0
    rate: Rate | None = None  # of all callers together
    caller: CallerLimits | None = None
    table: Table = field(default_factory=Table)

    def __post_init__(self) -> None:
        whole("in_flight", self.in_flight, "jobs", 0)
        _remembered(self.caller, self.table)


@dataclass(frozen=True, slots=True)
class PoolLimits:
    in_flight: int = 0
    rate: Rate | None = None  # of all callers together
    caller: CallerLimits | None = None
    table: Table = field(default_factory=Table)
    shares: Shares | None = None
    worth: tuple[Worth, ...] = ()
    adaptive: Adaptive | None = None
    claims: Claims | None = None
    advice: Advice = field(default_factory=Advice)

    def __post_init__(self) -> None:
        whole("in_flight", self.in_flight, "jobs", 0)
        _remembered(self.caller, self.table)
        bounded = self.in_flight or self.adaptive or self.claims
        for key in ("shares", "worth"):
            if getattr(self, key) and not bounded:
                raise ValueError(
                    f"{key}: needs in_flight, adaptive or claims beside it, as there is no pressure"
                )
        names = [each.name for each in self.worth]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"worth.{name}: must be set once: {names.count(name)} times")
        number("worth.floor", sum(each.floor for each in self.worth), "of the limit, all together", 0, 0.5)


@dataclass(frozen=True, slots=True)
class TierLaw:
    """When a tier of a pool hands part of its load on. It falls short once less than the part `enough` of it
    has been ready for `fall_after`, and is whole again once `back` or more has been for `rise_after`.
    """

    enough: float = 0.7
    back: float = 0.85
    fall_after: float = 0.5
    rise_after: float = 5.0

    def __post_init__(self) -> None:
        number("tiers.enough", self.enough, "of a tier", 0, 1, above=True)
        number("tiers.back", self.back, "of a tier", self.enough, 1)
        number("tiers.fall_after", self.fall_after, "seconds", 0, 60)
        number("tiers.rise_after", self.rise_after, "seconds", 0, 3600)
