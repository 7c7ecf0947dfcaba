"""Decides which reports lead to a view change: watermarks, one cut for many failures, and admissions.

The leader acts on it. Every voter collects the same reports, so that a new leader has them too. No I/O; `now`
is monotonic, in seconds. Based on Rapid's multi-process cut detection (Suresh et al., 2018).

Invariants: a member is removed only if at least `HIGH_WATERMARK` of its observers report it as silent. It is
not removed while another member's state is uncertain, for up to `UNCERTAIN_WAIT_SECONDS`, or while another
one is nearly down, for up to `NEARLY_DOWN_WAIT_SECONDS`. It is not removed if an indirect check reached it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from math import ceil, inf
from typing import NamedTuple

from wheatring.fleet.members.edge_monitor import DOWN_AFTER_SECONDS, REPORT_AFTER_SECONDS
from wheatring.fleet.members.rejoin_penalties import RejoinPenalties
from wheatring.fleet.members.view import Rings, View
from wheatring.fleet.members.view_messages import ViewMember

REPORT_VALID_SECONDS = 3.5
# Fractions of a member's observers that have to report it: it is down from the high watermark on, and its
# state is uncertain from the low one on.
HIGH_WATERMARK, LOW_WATERMARK = 5 / 6, 1 / 3
# Removals are delayed up to this long while other members are uncertain.
UNCERTAIN_WAIT_SECONDS = 2.0
# Removals are delayed up to this long while enough observers report another member, but for too short a time.
NEARLY_DOWN_WAIT_SECONDS = 4.0
INDIRECT_CHECK_AFTER_SECONDS = 4.0  # silence after which the indirect check starts
INDIRECT_CHECK_SECONDS = 1.0  # duration of the indirect check
REACHED_VALID_SECONDS = 8.0  # validity of a successful indirect check
# Join requests are batched. A batch ends when there was no further request for this long.
JOIN_QUIET_SECONDS = 0.3
JOIN_GATHER_SECONDS = 2.5  # longest duration of a batch
JOIN_HOLD_SECONDS = 10.0  # longest delay of a batch by pending removals, from its first request on
MAX_TRACKED_MEMBERS = 4000  # bounds the stored reports and the stored join requests


class SuspectedMembers(NamedTuple):
    """The members that their observers report as silent."""

    down: frozenset[str]
    uncertain: frozenset[str]  # above the low watermark, but not down


class Deferral(NamedTuple):
    """A join request that is deferred because the member was removed repeatedly."""

    member: ViewMember
    wait_seconds: float
    penalty: float  # see `RejoinPenalties`


class Admissions(NamedTuple):
    """The members to admit now, in one view change, and the deferred join requests."""

    admitted: list[ViewMember]
    deferred: list[Deferral]


class _Report(NamedTuple):
    received: float
    silent: dict[str, float]


class CutDetector:
    """Collects reports of observers and join requests, and derives removals and admissions from them."""

    def __init__(self) -> None:
        self.reports: dict[str, _Report] = {}
        self.join_requests: dict[str, tuple[float, ViewMember]] = {}
        self.first_join_request = self.last_join_request = -inf
        self.reached: dict[str, float] = {}  # time of the last successful indirect check, by member
        self.checked_since: dict[str, float] = {}  # start of the indirect check, by member
        self.waiting_since = inf  # start of the current delay of removals
        self.rejoin_penalties = RejoinPenalties()

    def clear_evidence(self) -> None:
        """Discard all evidence after a pause of this process, which has missed the messages of that time."""
        self.reports.clear()
        self.checked_since.clear()
        self.reached.clear()
        self.waiting_since = inf

    # Evidence

    def add_report(self, now: float, observer: str, silent: Iterable[tuple[str, float]]) -> None:
        """Store an observer's report: its silent subjects, each with the seconds of its silence."""
        if observer in self.reports or len(self.reports) < MAX_TRACKED_MEMBERS:
            self.reports[observer] = _Report(now, dict(silent))

    def add_join_request(self, now: float, view_member: ViewMember) -> None:
        """Store a join request."""
        name = view_member.member.name
        if name not in self.join_requests:
            if len(self.join_requests) >= MAX_TRACKED_MEMBERS:
                return
            if not self.join_requests:
                self.first_join_request = now
            self.last_join_request = now
        self.join_requests[name] = (now, view_member)

    def record_reached(self, now: float, names: Iterable[str]) -> None:
        """Record the members that an indirect check has reached."""
        for name in names:
            if name in self.checked_since:
                self.reached[name] = now

    def discard_evidence_about(self, view_members: Iterable[ViewMember]) -> None:
        """Discard the evidence about previous incarnations of members that a change has admitted.

        Otherwise a member that left and rejoined at once would be removed again.
        """
        names = {each.member.name for each in view_members}
        self.reports = {
            observer: report._replace(
                silent={name: seconds for name, seconds in report.silent.items() if name not in names}
            )
            for observer, report in self.reports.items()
            if observer not in names
        }

    def penalize_removed(self, now: float, names: Iterable[str]) -> None:
        """Add a rejoin penalty to the members that a change has removed."""
        self.rejoin_penalties.add(now, names)

    # Watermarks

    def _is_reported(self, now: float, name: str, observer: str, min_silence_seconds: float) -> bool:
        """Return whether an observer's report counts against a member."""
        report = self.reports.get(observer)
        if report is None or now - report.received > REPORT_VALID_SECONDS:
            return False
        silence = report.silent.get(name)
        return silence is not None and silence + now - report.received >= min_silence_seconds

    def _is_leaving(self, now: float, name: str) -> bool:
        """Return whether a member has announced that it leaves, which it does by reporting itself."""
        return self._is_reported(now, name, name, 0.0)

    def suspected_members(
        self, now: float, view: View, rings: Rings, min_silence_seconds: float = DOWN_AFTER_SECONDS
    ) -> SuspectedMembers:
        """Return the members that are down and those that are uncertain.

        Only silences of at least `min_silence_seconds` count.
        """
        named = {name for report in self.reports.values() for name in report.silent} & view.names
        reported_by = {
            name: [
                observer
                for observer in rings.observers(name)
                if self._is_reported(now, name, observer, min_silence_seconds)
            ]
            for name in sorted(named)
        }
        suspects = self._members_above_low_watermark(reported_by, rings)
        down: set[str] = set()
        uncertain: set[str] = set()
        for name in sorted(suspects):
            observers = [observer for observer in rings.observers(name) if observer not in suspects]
            votes = [observer for observer in reported_by[name] if observer not in suspects]
            # If no observer is left, the indirect check alone decides.
            is_down = self._is_leaving(now, name) or len(votes) >= ceil(HIGH_WATERMARK * len(observers))
            (down if is_down else uncertain).add(name)
        for name in sorted({subject for observer in suspects for subject in rings.subjects(observer)}):
            if name not in suspects and suspects.issuperset(rings.observers(name)):
                down.add(name)  # no observer is left that could report it
        down |= {name for name in self.reports if name in view.names and self._is_leaving(now, name)}
        return SuspectedMembers(frozenset(down), frozenset(uncertain - down))

    def _members_above_low_watermark(self, reported_by: dict[str, list[str]], rings: Rings) -> set[str]:
        """Return the members above the low watermark.

        Observers that are suspects themselves don't count, which can bring further members above the
        watermark. So this repeats until no suspect is added.
        """
        suspects: set[str] = set()
        while new := {
            name
            for name in reported_by.keys() - suspects
            if self._is_above_low_watermark(reported_by[name], rings, name, suspects)
        }:
            suspects |= new
        return suspects

    def _is_above_low_watermark(
        self, reported_by: list[str], rings: Rings, name: str, suspects: set[str]
    ) -> bool:
        observers = [observer for observer in rings.observers(name) if observer not in suspects]
        votes = [observer for observer in reported_by if observer not in suspects]
        return bool(reported_by) and len(votes) >= ceil(LOW_WATERMARK * len(observers))

    # Removals

    def members_to_check(self, now: float, view: View, rings: Rings) -> list[str]:
        """Return the members whose indirect check starts now, as they may have to be removed."""
        likely = self.suspected_members(now, view, rings, INDIRECT_CHECK_AFTER_SECONDS).down
        # A successful check expires, as the member may have failed since; it is then checked again.
        expired = {name for name, at in self.reached.items() if now - at > REACHED_VALID_SECONDS}
        self.checked_since = {name: at for name, at in self.checked_since.items() if name not in expired}
        new = sorted(likely - self.checked_since.keys())
        self.checked_since = {name: self.checked_since.get(name, now) for name in likely}
        self.reached = {name: at for name, at in self.reached.items() if name in likely - expired}
        return new

    def members_to_remove(self, now: float, view: View, rings: Rings) -> list[str]:
        """Return the members to remove now, in one view change; [] while the removals are delayed."""
        suspected = self.suspected_members(now, view, rings)
        down = {name for name in suspected.down if self._is_removable(now, name)}
        if not down:
            self.waiting_since = inf
            return []
        self.waiting_since = min(self.waiting_since, now)
        # Members that are nearly down, or whose indirect check hasn't finished, are undecided too.
        early = self.suspected_members(now, view, rings, INDIRECT_CHECK_AFTER_SECONDS)
        reported = self.suspected_members(now, view, rings, REPORT_AFTER_SECONDS)
        decided = down | self.reached.keys()
        nearly_down = (suspected.down | reported.down) - decided
        undecided = nearly_down | (suspected.uncertain | early.uncertain) - decided
        # Members that failed together have been silent for different times: each is checked on its own
        # schedule, and observers that were paused subtract the pause.
        wait = UNCERTAIN_WAIT_SECONDS if undecided else 0.0
        if nearly_down:
            wait = NEARLY_DOWN_WAIT_SECONDS
        if now < self.waiting_since + wait:
            return []
        return sorted(down)

    def _is_removable(self, now: float, name: str) -> bool:
        """Return whether a member that is down may be removed: it leaves, or its indirect check failed."""
        if self._is_leaving(now, name):
            return True
        checked_for = now - self.checked_since.get(name, inf)
        return name not in self.reached and checked_for >= INDIRECT_CHECK_SECONDS

    def _is_removal_pending(self, now: float, view: View, rings: Rings) -> bool:
        """Return whether a member is about to be removed."""
        reported = self.suspected_members(now, view, rings, REPORT_AFTER_SECONDS)
        return bool(reported.down - self.reached.keys())

    # Admissions

    def members_to_admit(self, now: float, view: View, rings: Rings) -> Admissions:
        """Return the members to admit now, in one view change, and the deferred requests.

        A view change assigns new observers, which start without any evidence. So admissions wait while a
        member is about to be removed, for `JOIN_HOLD_SECONDS` at most.
        """
        self.join_requests = {
            name: (at, view_member)
            for name, (at, view_member) in self.join_requests.items()
            if now - at <= REPORT_VALID_SECONDS and view.member(name) != view_member
        }
        admitted: list[ViewMember] = []
        deferred: list[Deferral] = []
        for name in sorted(self.join_requests):
            _, view_member = self.join_requests[name]
            wait = self.rejoin_penalties.rejoin_wait_seconds(now, name)
            if wait > 0:
                deferred.append(Deferral(view_member, wait, self.rejoin_penalties.penalty(now, name)))
            else:
                admitted.append(view_member)
        if not admitted or self._is_admission_paused(now, view, rings):
            return Admissions([], deferred)
        self.first_join_request = self.last_join_request = -inf
        for view_member in admitted:
            del self.join_requests[view_member.member.name]
        return Admissions(admitted, deferred)

    def _is_admission_paused(self, now: float, view: View, rings: Rings) -> bool:
        """Return whether admissions still wait for more join requests or for a removal."""
        is_quiet = now >= self.last_join_request + JOIN_QUIET_SECONDS
        if not is_quiet and now < self.first_join_request + JOIN_GATHER_SECONDS:
            return True
        if now >= self.first_join_request + JOIN_HOLD_SECONDS:
            return False
        return self._is_removal_pending(now, view, rings)


def chunks(names: list[str], size: int) -> Iterator[list[str]]:
    """Split names into lists of at most `size`."""
    for start in range(0, len(names), size):
        yield names[start : start + size]
