"""The fleet clock: an interval of time on which a majority of the voters' clocks agree.

States: *unknown* (no fix yet), *sure* (uncertainty of at most `MAX_UNCERTAINTY_SECONDS`), *unsure*. The state
changes on answers of voters and with the passage of time. The local wall clock is not used; only voters' wall
clocks are.

A request is sent to a voter at t0 and its answer arrives at t1, both on the local monotonic clock; the answer
contains the voter's time u. At t1 the voter's clock is then between u and u + (t1 - t0), however the delay
was split between the two directions. Each voter's clock is assumed to be accurate to `VOTER_ERROR_SECONDS`. A
fix is the interval from the first to the last instant that lies in the intervals of a majority (Marzullo,
1984, as in the clock selection of NTP). While a majority of the clocks is right, so is the fix, and a clock
that is an hour off is outvoted. If no majority overlaps, there is no new fix.

Between fixes the interval grows by the uncertainty of the local clock's rate: at first `MAX_RATE_ERROR`,
later the bounds measured between distant fixes plus `RATE_WANDER` for the instability of the rate.

Invariant: the reported time never goes back. If a new fix is behind it, the reported time advances at half
speed (`SLEW_RATE`) until the fix catches up, and the difference is added to the uncertainty; a fix that is
ahead is applied immediately.
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

MAX_UNCERTAINTY_SECONDS = 0.25  # maximum uncertainty of a time that is sure
VOTER_ERROR_SECONDS = 0.025  # assumed error of a voter's clock, including its resolution of 1 ms
MAX_RATE_ERROR = 0.01  # maximum relative error of the local clock, as in `lease.timing.LeaseTiming`
RATE_WANDER = 200e-6  # possible deviation of the local clock's rate from the measurement
POLL_SECONDS = 10.0  # interval of requests in the steady state
SOON_POLL_SECONDS = 1.0  # interval while a fix is needed
FIRST_POLL_SECONDS = 0.25  # interval of the first requests
FIRST_POLLS, SOON_POLLS = 4, 10  # after the start, the shorter intervals apply up to these request numbers
ANSWER_LIFETIME_SECONDS = 35.0  # an answer expires after this time
ANSWER_TIMEOUT_SECONDS = 5.0
MIN_RATE_BASE_SECONDS = 60.0  # minimum time between two fixes to measure the rate
ANCHOR_SECONDS = 300.0  # interval of the fixes that are kept to measure the rate
SUSPEND_SECONDS = 0.1  # advance of the boot-time clock over the monotonic one that means a suspension
SLEW_RATE = 0.5
# True seconds in one second of the local clock.
_MIN_RATE, _MAX_RATE = 1 / (1 + MAX_RATE_ERROR), 1 / (1 - MAX_RATE_ERROR)


class Reading(NamedTuple):
    """A time in Unix seconds, accurate to +/- `uncertainty` seconds."""

    unix: float
    uncertainty: float

    @property
    def is_sure(self) -> bool:
        """Whether the uncertainty is small enough to act on the time."""
        return self.uncertainty <= MAX_UNCERTAINTY_SECONDS


UNKNOWN = Reading(0.0, inf)


class RateBounds(NamedTuple):
    """Lower and upper bound on the true seconds in one second of the local clock."""

    slow: float
    fast: float


UNMEASURED_RATE = RateBounds(_MIN_RATE, _MAX_RATE)


class TimeInterval(NamedTuple):
    """At monotonic time `at`, the true time was between `low` and `high`, in Unix seconds."""

    at: float
    low: float
    high: float

    @property
    def width(self) -> float:
        """The width of the interval in seconds."""
        return self.high - self.low

    def advanced(self, now: float, rates: tuple[float, float]) -> TimeInterval:
        """Return the interval at a later instant, widened by the uncertainty of the clock's rate."""
        elapsed = max(0.0, now - self.at)
        return TimeInterval(now, self.low + elapsed * rates[0], self.high + elapsed * rates[1])

    def overlaps(self, other: TimeInterval) -> bool:
        """Whether the intervals have an instant in common."""
        return self.low <= other.high and other.low <= self.high


class PendingRequest(NamedTuple):
    """A request that was sent to the voters at `sent_at`, in monotonic seconds."""

    sent_at: float
    names: set[str]  # voters that have not answered yet


def majority_interval(intervals: dict[str, TimeInterval], voters: VoterSet) -> tuple[float, float] | None:
    """Return the first and the last instant that lie in the intervals of a majority of voters, or None.

    While the set of voters is being changed, a majority of the old and of the new set is required.
    """
    ends = sorted({end for interval in intervals.values() for end in (interval.low, interval.high)})
    agreed = [
        end
        for end in ends
        if voters.has_majority(
            [name for name, interval in intervals.items() if interval.low <= end <= interval.high]
        )
    ]
    return (agreed[0], agreed[-1]) if agreed else None


class FleetClock:
    """A `lease.component.FleetComponent`. The caller logs and clears its `events`."""

    message_types: tuple[type, ...] = (TimeRequest, TimeResponse)

    def __init__(self, at: Instant, fleet: Fleet) -> None:
        self.fleet = fleet
        self.events: list[LogEvent] = []
        self.seq = 0
        self.pending: dict[int, PendingRequest] = {}
        self.answers: dict[str, TimeInterval] = {}
        self.fix: TimeInterval | None = None
        self.fixed_at = -inf  # last time at which a majority agreed
        self.rates = UNMEASURED_RATE
        self.anchors: list[TimeInterval] = []  # earlier fixes, oldest first
        self.base = (at.now, -inf)  # monotonic and reported time at the last change of the fix
        self.suspended_seconds = at.boot - at.now
        self.due = at.now
        self.was_sure = self.has_majority = True

    def now(self, at: Instant) -> Reading:
        """Return the fleet's time, or `UNKNOWN` before the first fix; it never goes back."""
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
        """Request the voters' clocks if a request is due."""
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
        """Answer with the local wall clock if this sidecar is a voter, or process a voter's answer."""
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
        round_trip = max(0.0, at.now - request.sent_at) * _MAX_RATE
        low, high = response.unix - response.spread, response.unix + response.spread + round_trip
        interval = TimeInterval(at.now, low, high)
        self.answers.update((name, interval) for name in names)
        self._update_fix(at.now)

    def receive_payload(self, _at: Instant, _digest: bytes, _body: bytes | None) -> list[Outgoing]:
        """Ignore payloads; this component does not request any."""
        return []

    def _update_fix(self, now: float) -> None:
        """Apply the interval of a majority, unless the current fix overlaps it and is not wider."""
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
                return  # its answers had shorter delays
            if not old.overlaps(new):
                self._discard_rate(old, new)
        self.base = (now, self._read(now).unix if self.fix is not None else -inf)
        self.fix = new
        self._measure_rate(new)
        self._report_certainty(now)

    def _report_disagreement(self, intervals: dict[str, TimeInterval]) -> None:
        """Log once that the voters' clocks differ too much for a majority."""
        if self.has_majority and self.fleet.voters.has_majority([*intervals]):
            self.has_majority = False
            clocks = {name: round(interval.low, 3) for name, interval in sorted(intervals.items())}
            self.events.append(LogEvent("time-voters-differ", {"clocks": clocks}))

    def _discard_rate(self, old: TimeInterval, new: TimeInterval) -> None:
        """Discard the measured rate: the voters' clocks were set, or the local clock changed its rate."""
        moved_by = (new.low + new.high - old.low - old.high) / 2
        self.events.append(LogEvent("time-moved", {"by_s": round(moved_by, 3)}))
        self.rates = UNMEASURED_RATE
        self.anchors.clear()

    def _measure_rate(self, new: TimeInterval) -> None:
        """Update the bounds on the local clock's rate from this fix and an earlier one."""
        if not self.anchors or new.at - self.anchors[-1].at >= ANCHOR_SECONDS:
            self.anchors = [*self.anchors[-2:], new]
        old = self.anchors[0]
        elapsed = new.at - old.at
        if elapsed >= MIN_RATE_BASE_SECONDS:
            slow = max(_MIN_RATE, (new.low - old.high) / elapsed - RATE_WANDER)
            fast = min(_MAX_RATE, (new.high - old.low) / elapsed + RATE_WANDER)
            self.rates = RateBounds(slow, fast) if slow < fast else UNMEASURED_RATE

    def _detect_suspension(self, at: Instant) -> None:
        """Advance the fix over a suspension of the machine, during which the monotonic clock stops.

        Pending requests are dropped, because their measured round-trip time would be too short.
        """
        duration = at.boot - at.now - self.suspended_seconds
        if duration <= SUSPEND_SECONDS:
            return
        self.suspended_seconds += duration
        self.pending.clear()
        self.answers.clear()
        self.anchors.clear()
        self.due = at.now
        self.events.append(LogEvent("time-suspended", {"for_s": round(duration, 3)}))
        if self.fix is not None:
            reported = self._read(at.now).unix
            interval = self.fix.advanced(at.now, self.rates)
            self.base = (at.now, reported)
            self.fix = TimeInterval(
                at.now, interval.low + duration * _MIN_RATE, interval.high + duration * _MAX_RATE
            )

    def _report_certainty(self, now: float) -> None:
        """Log once that the time became sure or unsure."""
        reading = self._read(now)
        should_report = reading.is_sure or self.fix is not None or self.seq > SOON_POLLS
        if reading.is_sure != self.was_sure and should_report:
            self.was_sure = reading.is_sure
            uncertainty = None if self.fix is None else round(reading.uncertainty, 3)
            name = "time-sure" if reading.is_sure else "time-unsure"
            self.events.append(LogEvent(name, {"uncertain_s": uncertainty}))
