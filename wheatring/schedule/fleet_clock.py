"""The fleet's time: an interval that holds what a majority of the voters' clocks say, kept on the own clock.

States: *unknown* (no fix yet), *sure* (uncertain by `BOUND` at most), *unsure*. Moved by answers of voters
(`hear`), and by time that passes without any. The own wall clock moves nothing; a voter's is one of the
votes.

A voter is asked at t0 and answered at t1, both on the monotonic clock here, and its clock read u. So at t1
its clock shows something from u to u + (t1 - t0), however the delay was shared between the two ways. Each
voter's clock is taken to be right to `SPREAD`. What the fix is: all from the first to the last instant that
lies in the intervals of a majority (Marzullo, 1984, as NTP's clock selection does). As long as a majority is
right, so is that, and a clock that is an hour off is outvoted. Where no majority meets, there is no new fix.

Between fixes the interval grows by what is not known of the rate of the own clock: `RATE` at first, the rate
measured between fixes that lie far apart, and `STEADY` for its wandering, later.

What must never hold: the time that is told goes back. If a fix lies behind it, it goes on at half the pace
until it is met (`SLEW`), and meanwhile is uncertain by the difference too; a fix ahead is followed at once.
"""

from __future__ import annotations

from math import inf, isfinite
from typing import NamedTuple

from wheatring.lease.fleet import Fleet, Instant, Out
from wheatring.lease.voters import Voters
from wheatring.members.members import Address
from wheatring.schedule.events import LogEvent
from wheatring.schedule.messages import AnyScheduleMessage, TimeRequest, TimeResponse

MAX_UNCERTAINTY_SECONDS = 0.25  # seconds; who is less certain than this is treated as cut off
VOTER_ERROR_SECONDS = 0.025  # seconds by which a voter's clock may be wrong, its reading in whole ms among it
MAX_RATE_ERROR = 0.01  # part of 1 by which a second of the own clock may be wrong, as in `Terms`
RATE_WANDER = 200e-6  # part of 1 by which its rate may wander from what was measured
POLL_SECONDS, SOON_POLL_SECONDS, FIRST_POLL_SECONDS = (
    10.0,
    1.0,
    0.25,
)  # seconds from asking to asking: as a rule, in need, at first
ANSWER_LIFETIME_SECONDS = 35.0  # seconds for which an answer counts
ANSWER_TIMEOUT_SECONDS = 5.0  # seconds for an answer
MIN_RATE_BASE_SECONDS = 60.0  # seconds between two fixes that the rate is measured by, at least,
ANCHOR_SECONDS = 300.0  # and from one that is kept for it to the next
SUSPEND_SECONDS = 0.1  # seconds more on the clock that counts suspends: it was suspended
SLEW_RATE = 0.5
_SLOW, _FAST = 1 / (1 + MAX_RATE_ERROR), 1 / (1 - MAX_RATE_ERROR)  # true seconds in one of the own clock


class Reading(NamedTuple):
    """`unix` seconds, right to `uncertain` either way."""

    unix: float
    uncertainty: float

    @property
    def is_sure(self) -> bool:
        return self.uncertainty <= MAX_UNCERTAINTY_SECONDS


UNKNOWN = Reading(0.0, inf)


class TimeInterval(NamedTuple):
    """At `at` on the monotonic clock it was from `low` to `high`, Unix seconds."""

    at: float
    low: float
    high: float

    @property
    def width(self) -> float:
        return self.high - self.low

    def advanced(self, now: float, rates: tuple[float, float]) -> TimeInterval:
        past = max(0.0, now - self.at)
        return TimeInterval(now, self.low + past * rates[0], self.high + past * rates[1])

    def overlaps(self, other: TimeInterval) -> bool:
        return self.low <= other.high and other.low <= self.high


def majority_interval(spans: dict[str, TimeInterval], voters: Voters) -> tuple[float, float] | None:
    """From the first to the last instant that lies within the spans of a majority, or None: no majority
    meets. While voters are being changed, of a majority of both.
    """
    ends = sorted({end for span in spans.values() for end in (span.low, span.high)})
    held = [
        end
        for end in ends
        if voters.enough([name for name, span in spans.items() if span.low <= end <= span.high])
    ]
    return (held[0], held[-1]) if held else None


class FleetClock:
    """A piece. `lines` is for whoever logs, and is emptied there."""

    hears: tuple[type, ...] = (TimeRequest, TimeResponse)

    def __init__(self, at: Instant, fleet: Fleet) -> None:
        self.fleet = fleet
        self.events: list[LogEvent] = []
        self.seq = 0
        self.pending: dict[int, tuple[float, set[str]]] = {}  # when, and who has not answered yet
        self.answers: dict[str, TimeInterval] = {}
        self.fix: TimeInterval | None = None
        self.fixed_at = -inf  # when a majority last met
        self.rates = (_SLOW, _FAST)
        self.anchors: list[TimeInterval] = []  # fixes of long ago, the oldest first
        self.base = (at.now, -inf)  # what was told when the fix last changed
        self.suspended = at.boot - at.now
        self.due = at.now
        self.was_sure = self.met = True

    # What it is asked

    def now(self, at: Instant) -> Reading:
        """The fleet's time; `UNKNOWN` before the first fix. It never goes back."""
        self._resumed(at)
        return self._read(at.now)

    def _read(self, now: float) -> Reading:
        if self.fix is None:
            return UNKNOWN
        span = self.fix.advanced(now, self.rates)
        middle = (span.low + span.high) / 2
        since, told = self.base
        unix = max(middle, told + SLEW_RATE * max(0.0, now - since))
        return Reading(unix, span.width / 2 + unix - middle)

    # Time

    def tick(self, at: Instant) -> list[Out]:
        if at.now < self.due:
            return []
        self._resumed(at)
        self.seq += 1
        names = self.fleet.voters.all
        self.pending = {
            seq: one for seq, one in self.pending.items() if at.now - one[0] < ANSWER_TIMEOUT_SECONDS
        }
        self.pending[self.seq] = (at.now, {*names})
        self.due = at.now + self._pause(at.now) * (0.9 + 0.2 * self.fleet.random.random())
        self._tell(at.now)
        return self.fleet.to_voters([(name, TimeRequest(self.seq)) for name in names])

    def _pause(self, now: float) -> float:
        if self.seq <= 4:
            return FIRST_POLL_SECONDS
        needs = (
            now - self.fixed_at > 2 * POLL_SECONDS
            or self._read(now).uncertainty > 0.6 * MAX_UNCERTAINTY_SECONDS
        )
        return SOON_POLL_SECONDS if needs or self.seq <= 10 else POLL_SECONDS

    # Words

    def hear(self, at: Instant, sender: str, address: Address, word: AnyScheduleMessage) -> list[Out]:
        self._resumed(at)
        if isinstance(word, TimeRequest):
            return (
                [(address, TimeResponse(word.seq, at.wall / 1000, VOTER_ERROR_SECONDS))]
                if self.fleet.votes()
                else []
            )
        asked = self.pending.get(word.seq)
        if asked is None or not isfinite(word.unix) or not 0 <= word.spread <= MAX_UNCERTAINTY_SECONDS:
            return []
        names = [name for name in self.fleet.names_of(sender) if name in asked[1]]
        if not names:
            return []
        asked[1].difference_update(names)
        took = max(0.0, at.now - asked[0]) * _FAST
        span = TimeInterval(at.now, word.unix - word.spread, word.unix + word.spread + took)
        self.answers.update((name, span) for name in names)
        self._fix(at.now)
        return []

    def body(self, at: Instant, digest: bytes, body: bytes | None) -> list[Out]:
        return []

    def _fix(self, now: float) -> None:
        voters = self.fleet.voters
        self.answers = {
            name: span
            for name, span in self.answers.items()
            if now - span.at < ANSWER_LIFETIME_SECONDS and name in voters.all
        }
        spans = {name: span.advanced(now, self.rates) for name, span in self.answers.items()}
        met = majority_interval(spans, voters)
        if met is None:
            if self.met and voters.enough([*spans]):
                self.met = False
                low = {name: round(span.low, 3) for name, span in sorted(spans.items())}
                self.events.append(LogEvent("time-voters-differ", {"clocks": low}))
            return
        self.met, self.fixed_at = True, now
        new = TimeInterval(now, *met)
        if self.fix is not None:
            old = self.fix.advanced(now, self.rates)
            if old.overlaps(new) and old.width <= new.width:
                return  # that one was quicker
            if not old.overlaps(new):
                self._moved(old, new)
        self.base = (now, self._read(now).unix if self.fix is not None else -inf)
        self.fix = new
        self._measure(new)
        self._tell(now)

    def _moved(self, old: TimeInterval, new: TimeInterval) -> None:
        """The voters' clocks were put right, or the own one ran otherwise than it was measured to."""
        by = (new.low + new.high - old.low - old.high) / 2
        self.events.append(LogEvent("time-moved", {"by_s": round(by, 3)}))
        self.rates = (_SLOW, _FAST)
        self.anchors.clear()

    def _measure(self, new: TimeInterval) -> None:
        """How fast the own clock goes, by this fix and one of long ago."""
        if not self.anchors or new.at - self.anchors[-1].at >= ANCHOR_SECONDS:
            self.anchors = [*self.anchors[-2:], new]
        old = self.anchors[0]
        past = new.at - old.at
        if past >= MIN_RATE_BASE_SECONDS:
            slow = max(_SLOW, (new.low - old.high) / past - RATE_WANDER)
            fast = min(_FAST, (new.high - old.low) / past + RATE_WANDER)
            self.rates = (slow, fast) if slow < fast else (_SLOW, _FAST)

    def _resumed(self, at: Instant) -> None:
        """The monotonic clock stands while a machine is suspended. What was asked before is answered as if it
        had taken no time, so it counts no more.
        """
        by = at.boot - at.now - self.suspended
        if by <= SUSPEND_SECONDS:
            return
        self.suspended += by
        self.pending.clear()
        self.answers.clear()
        self.anchors.clear()
        self.due = at.now
        self.events.append(LogEvent("time-suspended", {"for_s": round(by, 3)}))
        if self.fix is not None:
            told = self._read(at.now).unix
            span = self.fix.advanced(at.now, self.rates)
            self.base = (at.now, told)
            self.fix = TimeInterval(at.now, span.low + by * _SLOW, span.high + by * _FAST)

    def _tell(self, now: float) -> None:
        reading = self._read(now)
        if reading.is_sure != self.was_sure and (reading.is_sure or self.fix is not None or self.seq > 10):
            self.was_sure = reading.is_sure
            known = None if self.fix is None else round(reading.uncertainty, 3)
            self.events.append(
                LogEvent("time-sure" if reading.is_sure else "time-unsure", {"uncertain_s": known})
            )
