"""The fleet's time: an interval that contains what a majority of the voters' clocks say.

States: *unknown* (no fix yet), *sure* (uncertain by `MAX_UNCERTAINTY_SECONDS` at most), *unsure*. Changed by
answers of voters, and by time that passes without any. The own wall clock changes nothing; a voter's is one
of the votes.

A voter is asked at t0 and its answer arrives at t1, both on the monotonic clock here, and its clock read u.
So at t1 its clock shows something from u to u + (t1 - t0), however the delay was shared between the two ways.
Each voter's clock is taken to be right to `VOTER_ERROR_SECONDS`. A fix is all from the first to the last
instant that lies in the intervals of a majority (Marzullo, 1984, as NTP's clock selection does). As long as a
majority is right, so is the fix, and a clock that is an hour off is outvoted. Where no majority overlaps,
there is no new fix.

Between fixes the interval grows by what is not known of the rate of the own clock: `MAX_RATE_ERROR` at first,
later the rate measured between fixes that lie far apart, and `RATE_WANDER` for its instability.

What must never happen: the time that is reported goes back. If a fix lies behind it, it goes on at half the
pace until it is met (`SLEW_RATE`), and meanwhile is uncertain by the difference too; a fix ahead is followed
at once.
"""

from __future__ import annotations

from math import inf, isfinite
from typing import NamedTuple

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.voters import VoterSet
from wheatring.fleet.members.messages import Address
from wheatring.fleet.schedule.events import LogEvent
from wheatring.fleet.schedule.messages import AnyScheduleMessage, TimeRequest, TimeResponse

MAX_UNCERTAINTY_SECONDS = 0.25  # of a time that is sure
VOTER_ERROR_SECONDS = 0.025  # of a voter's clock, its reading in whole ms among it
MAX_RATE_ERROR = 0.01  # of a second of the own clock, as in `lease.timing.LeaseTiming`
RATE_WANDER = 200e-6  # by which the rate of the own clock may differ from what was measured
POLL_SECONDS = 10.0  # from one request to the next as a rule,
SOON_POLL_SECONDS = 1.0  # when a fix is needed,
FIRST_POLL_SECONDS = 0.25  # and at first
FIRST_POLLS, SOON_POLLS = 4, 10  # requests after the start that come sooner than the rule
ANSWER_LIFETIME_SECONDS = 35.0  # for which an answer counts
ANSWER_TIMEOUT_SECONDS = 5.0
MIN_RATE_BASE_SECONDS = 60.0  # between two fixes that the rate is measured by
ANCHOR_SECONDS = 300.0  # from one fix that is kept for it to the next
SUSPEND_SECONDS = 0.1  # more on the clock that counts suspension: the machine was suspended
SLEW_RATE = 0.5
_SLOWEST, _FASTEST = (
    1 / (1 + MAX_RATE_ERROR),
    1 / (1 - MAX_RATE_ERROR),
)  # true seconds in one of the own clock


class Reading(NamedTuple):
    """A time in Unix seconds, right to `uncertainty` seconds either way."""

    unix: float
    uncertainty: float

    @property
    def is_sure(self) -> bool:
        """Whether it is certain enough to act by."""
        return self.uncertainty <= MAX_UNCERTAINTY_SECONDS


UNKNOWN = Reading(0.0, inf)


class RateBounds(NamedTuple):
    """True seconds in one second of the own clock, at least and at most."""

    slow: float
    fast: float


UNMEASURED_RATE = RateBounds(_SLOWEST, _FASTEST)


class TimeInterval(NamedTuple):
    """An uncertainty interval: at `at` on the monotonic clock it was from `low` to `high`, Unix seconds."""

    at: float
    low: float
    high: float

    @property
    def width(self) -> float:
        """Seconds from the earliest to the latest possible time."""
        return self.high - self.low

    def advanced(self, now: float, rates: tuple[float, float]) -> TimeInterval:
        """Return the interval at a later instant, wider by what is not known of the clock's rate."""
        past = max(0.0, now - self.at)
        return TimeInterval(now, self.low + past * rates[0], self.high + past * rates[1])

    def overlaps(self, other: TimeInterval) -> bool:
        """Whether both may be right."""
        return self.low <= other.high and other.low <= self.high


class PendingRequest(NamedTuple):
    """A request to the voters, sent at a monotonic instant."""

    sent_at: float
    names: set[str]  # of voters that have not answered yet


def majority_interval(intervals: dict[str, TimeInterval], voters: VoterSet) -> tuple[float, float] | None:
    """Return the first and the last instant in the intervals of a majority, by voter; None if there is none.

    While the voters are being changed, a majority of the old ones and of the new ones is needed.
    """
    ends = sorted({end for interval in intervals.values() for end in (interval.low, interval.high)})
    agreed = [
        end
        for end in ends
        if voters.has_majority([name for name, found in intervals.items() if found.low <= end <= found.high])
    ]
    return (agreed[0], agreed[-1]) if agreed else None


class FleetClock:
    """A `lease.component.FleetComponent`. Its `events` are for the caller to log and to clear."""

    message_types: tuple[type, ...] = (TimeRequest, TimeResponse)

    def __init__(self, at: Instant, fleet: Fleet) -> None:
        self.fleet = fleet
        self.events: list[LogEvent] = []
        self.seq = 0
        self.pending: dict[int, PendingRequest] = {}
        self.answers: dict[str, TimeInterval] = {}
        self.fix: TimeInterval | None = None
        self.fixed_at = -inf  # when a majority last overlapped
        self.rates = UNMEASURED_RATE
        self.anchors: list[TimeInterval] = []  # fixes of long ago, the oldest first
        self.base = (at.now, -inf)  # monotonic and reported time when the fix last changed
        self.suspended = at.boot - at.now
        self.due = at.now
        self.was_sure = self.has_majority = True

    def now(self, at: Instant) -> Reading:
        """Return the fleet's time, `UNKNOWN` before the first fix; it never goes back."""
        self._detect_suspension(at)
        return self._read(at.now)

    def _read(self, now: float) -> Reading:
        if self.fix is None:
            return UNKNOWN
        interval = self.fix.advanced(now, self.rates)
        middle = (interval.low + interval.high) / 2
        since, reported = self.base
        unix = max(middle, reported + SLEW_RATE * max(0.0, now - since))
        return Reading(unix, interval.width / 2 + unix - middle)

    # Time

    def tick(self, at: Instant) -> list[Outgoing]:
        """Ask the voters for their clocks when it is time."""
        if at.now < self.due:
            return []
        self._detect_suspension(at)
        self.seq += 1
        names = self.fleet.voters.names
        self.pending = {
            seq: request
            for seq, request in self.pending.items()
            if at.now - request.sent_at < ANSWER_TIMEOUT_SECONDS
        }
        self.pending[self.seq] = PendingRequest(at.now, {*names})
        self.due = at.now + self._poll_seconds(at.now) * (0.9 + 0.2 * self.fleet.random.random())
        self._report_certainty(at.now)
        return self.fleet.electorate.to_voters([(name, TimeRequest(self.seq)) for name in names])

    def _poll_seconds(self, now: float) -> float:
        if self.seq <= FIRST_POLLS:
            return FIRST_POLL_SECONDS
        is_uncertain = self._read(now).uncertainty > 0.6 * MAX_UNCERTAINTY_SECONDS
        needs_fix = now - self.fixed_at > 2 * POLL_SECONDS or is_uncertain
        return SOON_POLL_SECONDS if needs_fix or self.seq <= SOON_POLLS else POLL_SECONDS

    # Messages

    def receive(
        self, at: Instant, sender: str, address: Address, message: AnyScheduleMessage
    ) -> list[Outgoing]:
        """Answer with the own wall clock where this sidecar votes, or take over a voter's answer."""
        self._detect_suspension(at)
        if isinstance(message, TimeResponse):
            self._handle_response(at, sender, message)
            return []
        if not self.fleet.electorate.is_voter():
            return []
        return [(address, TimeResponse(message.seq, at.wall / 1000, VOTER_ERROR_SECONDS))]

    def _handle_response(self, at: Instant, sender: str, response: TimeResponse) -> None:
        request = self.pending.get(response.seq)
        if request is None or not isfinite(response.unix):
            return
        if not 0 <= response.spread <= MAX_UNCERTAINTY_SECONDS:
            return
        names = [
            name for name in self.fleet.electorate.voter_names_of_sender(sender) if name in request.names
        ]
        if not names:
            return
        request.names.difference_update(names)
        took = max(0.0, at.now - request.sent_at) * _FASTEST
        low, high = response.unix - response.spread, response.unix + response.spread + took
        interval = TimeInterval(at.now, low, high)
        self.answers.update((name, interval) for name in names)
        self._update_fix(at.now)

    def receive_payload(self, _at: Instant, _digest: bytes, _body: bytes | None) -> list[Outgoing]:
        """Ignore bodies: the fleet's time needs none."""
        return []

    def _update_fix(self, now: float) -> None:
        """Take over the interval of a majority, unless the present fix is narrower and still agrees."""
        voters = self.fleet.voters
        self.answers = {
            name: answer
            for name, answer in self.answers.items()
            if now - answer.at < ANSWER_LIFETIME_SECONDS and name in voters.names
        }
        intervals = {name: answer.advanced(now, self.rates) for name, answer in self.answers.items()}
        agreed = majority_interval(intervals, voters)
        if agreed is None:
            self._report_disagreement(intervals)
            return
        self.has_majority, self.fixed_at = True, now
        new = TimeInterval(now, *agreed)
        if self.fix is not None:
            old = self.fix.advanced(now, self.rates)
            if old.overlaps(new) and old.width <= new.width:
                return  # the answers that it was made of were quicker
            if not old.overlaps(new):
                self._discard_rate(old, new)
        self.base = (now, self._read(now).unix if self.fix is not None else -inf)
        self.fix = new
        self._measure_rate(new)
        self._report_certainty(now)

    def _report_disagreement(self, intervals: dict[str, TimeInterval]) -> None:
        """Report once that the voters' clocks differ too much for a majority."""
        if self.has_majority and self.fleet.voters.has_majority([*intervals]):
            self.has_majority = False
            clocks = {name: round(interval.low, 3) for name, interval in sorted(intervals.items())}
            self.events.append(LogEvent("time-voters-differ", {"clocks": clocks}))

    def _discard_rate(self, old: TimeInterval, new: TimeInterval) -> None:
        """Forget the measured rate: the voters' clocks were set, or the own one ran otherwise."""
        by = (new.low + new.high - old.low - old.high) / 2
        self.events.append(LogEvent("time-moved", {"by_s": round(by, 3)}))
        self.rates = UNMEASURED_RATE
        self.anchors.clear()

    def _measure_rate(self, new: TimeInterval) -> None:
        """Bound the rate of the own clock by this fix and one of long ago."""
        if not self.anchors or new.at - self.anchors[-1].at >= ANCHOR_SECONDS:
            self.anchors = [*self.anchors[-2:], new]
        old = self.anchors[0]
        past = new.at - old.at
        if past >= MIN_RATE_BASE_SECONDS:
            slow = max(_SLOWEST, (new.low - old.high) / past - RATE_WANDER)
            fast = min(_FASTEST, (new.high - old.low) / past + RATE_WANDER)
            self.rates = RateBounds(slow, fast) if slow < fast else UNMEASURED_RATE

    def _detect_suspension(self, at: Instant) -> None:
        """Advance the fix over a suspension of the machine, during which the monotonic clock stands.

        What was asked before it would count as answered in no time, so it is dropped.
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
            reported = self._read(at.now).unix
            interval = self.fix.advanced(at.now, self.rates)
            self.base = (at.now, reported)
            self.fix = TimeInterval(at.now, interval.low + by * _SLOWEST, interval.high + by * _FASTEST)

    def _report_certainty(self, now: float) -> None:
        """Report once that the time became sure or unsure."""
        reading = self._read(now)
        is_worth_saying = reading.is_sure or self.fix is not None or self.seq > SOON_POLLS
        if reading.is_sure != self.was_sure and is_worth_saying:
            self.was_sure = reading.is_sure
            uncertainty = None if self.fix is None else round(reading.uncertainty, 3)
            name = "time-sure" if reading.is_sure else "time-unsure"
            self.events.append(LogEvent(name, {"uncertain_s": uncertainty}))
