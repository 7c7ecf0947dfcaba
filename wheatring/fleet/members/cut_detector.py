"""Which reports make one change of the view: watermarks, one cut for many failures, and who is admitted.

The leader's part; every voter listens, so that the next leader knows as much. No I/O; `now` is monotonic, in
seconds. After Rapid's multi-process cut detection (Suresh et al., 2018).

What must never hold: a member is removed that fewer than `HIGH_WATERMARK` of its observers miss; one is
removed while another is unsure, before `UNSURE_WAIT_SECONDS` are over, or nearly down, before
`NEARLY_DOWN_WAIT_SECONDS` are; one is removed that an indirect check has reached.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from math import ceil, inf
from typing import NamedTuple

from wheatring.fleet.members.edge_monitor import DOWN_AFTER_SECONDS, REPORT_AFTER_SECONDS
from wheatring.fleet.members.rejoin_penalties import RejoinPenalties
from wheatring.fleet.members.view import Rings, View
from wheatring.fleet.members.view_messages import ViewMember

REPORT_VALID_SECONDS = 3.5  # for which a report counts
HIGH_WATERMARK, LOW_WATERMARK = 5 / 6, 1 / 3  # parts of the observers that make a member down, or unsure
UNSURE_WAIT_SECONDS = 2.0  # for which who is down waits for who is unsure,
NEARLY_DOWN_WAIT_SECONDS = 4.0  # and for whom as many miss, but not for long enough yet
INDIRECT_CHECK_AFTER_SECONDS = 4.0  # of silence, from which on a member is checked indirectly
INDIRECT_CHECK_SECONDS = 1.0  # for the indirect check
REACHED_VALID_SECONDS = 8.0  # for which it counts that an indirect check reached a member
JOIN_QUIET_SECONDS = 0.3  # without a join request, after which all that asked are admitted,
JOIN_GATHER_SECONDS = 2.5  # and since the first request, at the latest
JOIN_HOLD_SECONDS = 10.0  # since the first, for which they wait for those about to be removed
MAX_NAMES = 4000  # members that something is kept of


class SuspectedMembers(NamedTuple):
    """The members that observers miss."""

    down: frozenset[str]
    unsure: frozenset[str]  # neither down nor surely alive


class Deferral(NamedTuple):
    """A member that isn't admitted yet."""

    member: ViewMember
    wait_seconds: float
    penalty: float  # of its removals


class Admissions(NamedTuple):
    """Who is admitted now, all in one change, and who has to wait."""

    admitted: list[ViewMember]
    deferred: list[Deferral]


class _Report(NamedTuple):
    received: float
    silent: dict[str, float]


class CutDetector:
    """Collects what observers report and who asks to join, and says which changes come of it."""

    def __init__(self) -> None:
        self.reports: dict[str, _Report] = {}
        self.join_requests: dict[str, tuple[float, ViewMember]] = {}
        self.first_join_request = self.last_join_request = -inf
        self.reached: dict[str, float] = {}  # by an indirect check of whomever, and when
        self.checked_since: dict[str, float] = {}  # since when a member has been checked indirectly
        self.waiting_since = inf  # since when somebody is down and waits for others
        self.rejoin_penalties = RejoinPenalties()

    def clear_evidence(self) -> None:
        """Forget all evidence after a stop of this process: of a time without messages nothing counts."""
        self.reports.clear()
        self.checked_since.clear()
        self.reached.clear()
        self.waiting_since = inf

    # Evidence

    def add_report(self, now: float, observer: str, silent: Iterable[tuple[str, float]]) -> None:
        """Take an observer's report: its silent subjects, and for how many seconds."""
        if observer in self.reports or len(self.reports) < MAX_NAMES:
            self.reports[observer] = _Report(now, dict(silent))

    def add_join_request(self, now: float, placed: ViewMember) -> None:
        """Take the request of a process to join."""
        name = placed.member.name
        if name not in self.join_requests:
            if len(self.join_requests) >= MAX_NAMES:
                return
            if not self.join_requests:
                self.first_join_request = now
            self.last_join_request = now
        self.join_requests[name] = (now, placed)

    def note_reached(self, now: float, names: Iterable[str]) -> None:
        """Take note of members that an indirect check has reached."""
        for name in names:
            if name in self.checked_since:
                self.reached[name] = now

    def note_admitted(self, placed: Iterable[ViewMember]) -> None:
        """Forget the evidence about earlier processes of members that a change has admitted.

        One that left and came back at once would else be removed again.
        """
        names = {each.member.name for each in placed}
        self.reports = {
            observer: report._replace(
                silent={name: seconds for name, seconds in report.silent.items() if name not in names}
            )
            for observer, report in self.reports.items()
            if observer not in names
        }

    def note_removed(self, now: float, names: Iterable[str]) -> None:
        """Count a removal against the members that a change has removed."""
        self.rejoin_penalties.add(now, names)

    # Watermarks

    def _is_reported(self, now: float, name: str, observer: str, min_unanswered: float) -> bool:
        """Return whether an observer's report counts against a member."""
        report = self.reports.get(observer)
        if report is None or now - report.received > REPORT_VALID_SECONDS:
            return False
        silence = report.silent.get(name)
        return silence is not None and silence + now - report.received >= min_unanswered

    def _is_leaving(self, now: float, name: str) -> bool:
        """Return whether a member has reported itself, as one that leaves does."""
        return self._is_reported(now, name, name, 0.0)

    def suspected_members(
        self, now: float, view: View, rings: Rings, min_unanswered: float = DOWN_AFTER_SECONDS
    ) -> SuspectedMembers:
        """Return who is down, and who is unsure, by silences of `min_unanswered` seconds."""
        named = {name for report in self.reports.values() for name in report.silent} & view.names
        reported_by = {
            name: [
                observer
                for observer in rings.observers(name)
                if self._is_reported(now, name, observer, min_unanswered)
            ]
            for name in sorted(named)
        }
        doubted = self._doubted(reported_by, rings)
        down: set[str] = set()
        unsure: set[str] = set()
        for name in sorted(doubted):
            observers = [observer for observer in rings.observers(name) if observer not in doubted]
            votes = [observer for observer in reported_by[name] if observer not in doubted]
            # Of one with no observer left, the indirect check alone decides.
            is_down = self._is_leaving(now, name) or len(votes) >= ceil(HIGH_WATERMARK * len(observers))
            (down if is_down else unsure).add(name)
        for name in sorted({subject for observer in doubted for subject in rings.subjects(observer)}):
            if name not in doubted and doubted.issuperset(rings.observers(name)):
                down.add(name)  # nobody is left who could miss it
        down |= {name for name in self.reports if name in view.names and self._is_leaving(now, name)}
        return SuspectedMembers(frozenset(down), frozenset(unsure - down))

    def _doubted(self, reported_by: dict[str, list[str]], rings: Rings) -> set[str]:
        """Return the members above the low watermark.

        Observers that are themselves in doubt don't count: whoever is left decides. So one doubt may bring
        the next, until no more come.
        """
        doubted: set[str] = set()
        while new := {
            name
            for name in reported_by.keys() - doubted
            if self._is_doubtful(reported_by[name], rings, name, doubted)
        }:
            doubted |= new
        return doubted

    def _is_doubtful(self, reported_by: list[str], rings: Rings, name: str, doubted: set[str]) -> bool:
        observers = [observer for observer in rings.observers(name) if observer not in doubted]
        votes = [observer for observer in reported_by if observer not in doubted]
        return bool(reported_by) and len(votes) >= ceil(LOW_WATERMARK * len(observers))

    # Removals

    def members_to_check(self, now: float, view: View, rings: Rings) -> list[str]:
        """Return who is to be checked indirectly from now on, as it may have to be removed."""
        likely = self.suspected_members(now, view, rings, INDIRECT_CHECK_AFTER_SECONDS).down
        # That one was reached does not count for ever: it may have failed since, and is checked anew.
        expired = {name for name, at in self.reached.items() if now - at > REACHED_VALID_SECONDS}
        self.checked_since = {name: at for name, at in self.checked_since.items() if name not in expired}
        new = sorted(likely - self.checked_since.keys())
        self.checked_since = {name: self.checked_since.get(name, now) for name in likely}
        self.reached = {name: at for name, at in self.reached.items() if name in likely - expired}
        return new

    def members_to_remove(self, now: float, view: View, rings: Rings) -> list[str]:
        """Return who is removed now, all in one change; [] as long as somebody's case isn't clear."""
        suspected = self.suspected_members(now, view, rings)
        down = {name for name in suspected.down if self._is_removable(now, name)}
        if not down:
            self.waiting_since = inf
            return []
        self.waiting_since = min(self.waiting_since, now)
        # Who is about to be down, or was not checked indirectly yet, isn't clear either.
        early = self.suspected_members(now, view, rings, INDIRECT_CHECK_AFTER_SECONDS)
        reported = self.suspected_members(now, view, rings, REPORT_AFTER_SECONDS)
        decided = down | self.reached.keys()
        nearly_down = (suspected.down | reported.down) - decided
        unclear = nearly_down | (suspected.unsure | early.unsure) - decided
        # Those who died together are not missed for equally long: each is checked in a turn of its own, and
        # observers that were stopped give all the time that they missed.
        wait = UNSURE_WAIT_SECONDS if unclear else 0.0
        if nearly_down:
            wait = NEARLY_DOWN_WAIT_SECONDS
        if now < self.waiting_since + wait:
            return []
        return sorted(down)

    def _is_removable(self, now: float, name: str) -> bool:
        """Return whether a member that is down may be removed: it leaves, or was checked in vain."""
        if self._is_leaving(now, name):
            return True
        checked_for = now - self.checked_since.get(name, inf)
        return name not in self.reached and checked_for >= INDIRECT_CHECK_SECONDS

    def _is_removal_pending(self, now: float, view: View, rings: Rings) -> bool:
        """Return whether somebody is about to be removed."""
        reported = self.suspected_members(now, view, rings, REPORT_AFTER_SECONDS)
        return bool(reported.down - self.reached.keys())

    # Admissions

    def members_to_admit(self, now: float, view: View, rings: Rings) -> Admissions:
        """Return who is admitted now, all in one change, and who has to wait.

        A change gives subjects new observers, who begin anew: so nobody is admitted while somebody is about
        to be removed, for `JOIN_HOLD_SECONDS` at most.
        """
        self.join_requests = {
            name: (at, placed)
            for name, (at, placed) in self.join_requests.items()
            if now - at <= REPORT_VALID_SECONDS and view.member(name) != placed
        }
        admitted: list[ViewMember] = []
        deferred: list[Deferral] = []
        for name in sorted(self.join_requests):
            _, placed = self.join_requests[name]
            wait = self.rejoin_penalties.rejoin_wait_seconds(now, name)
            if wait > 0:
                deferred.append(Deferral(placed, wait, self.rejoin_penalties.penalty(now, name)))
            else:
                admitted.append(placed)
        if not admitted or self._is_admission_paused(now, view, rings):
            return Admissions([], deferred)
        self.first_join_request = self.last_join_request = -inf
        for placed in admitted:
            del self.join_requests[placed.member.name]
        return Admissions(admitted, deferred)

    def _is_admission_paused(self, now: float, view: View, rings: Rings) -> bool:
        """Return whether more join requests, or a removal, are awaited first."""
        is_quiet = now >= self.last_join_request + JOIN_QUIET_SECONDS
        if not is_quiet and now < self.first_join_request + JOIN_GATHER_SECONDS:
            return True
        if now >= self.first_join_request + JOIN_HOLD_SECONDS:
            return False
        return self._is_removal_pending(now, view, rings)


def chunks(names: list[str], size: int) -> Iterator[list[str]]:
    """Split names into lists of `size` at most."""
    for start in range(0, len(names), size):
        yield names[start : start + size]
