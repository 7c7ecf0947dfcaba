"""Which reports make one change of the view: high and low marks, one cut for many, turns for who comes again.

The leader's part; every voter listens, so that the next leader knows as much. No I/O; `now` in seconds of the
monotonic clock. After Rapid (Suresh et al., 2018) and BGP's flap damping (RFC 2439).

What must never hold: somebody goes whom fewer than HIGH of its observers miss; somebody goes while another is
unsure, before `WAIT` is over, or about to go, before `LAST` is; somebody goes who is reached in the second
look.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from math import ceil, inf
from typing import NamedTuple

from wheatring.members.edge_monitor import DOWN_AFTER_SECONDS, REPORT_AFTER_SECONDS
from wheatring.members.messages import ViewMember
from wheatring.members.view import Rings, View

REPORT_VALID_SECONDS = 3.5  # seconds for which a report counts
HIGH_WATERMARK, LOW_WATERMARK = 5 / 6, 1 / 3  # parts of the observers that make one down, or unsure
UNSURE_WAIT_SECONDS = 2.0  # seconds for which who is down waits for who is unsure,
NEARLY_DOWN_WAIT_SECONDS = 4.0  # and for whom as many miss, but not for long enough yet
INDIRECT_CHECK_AFTER_SECONDS = 4.0  # seconds of silence from which on who may go is looked at once more
JOIN_QUIET_SECONDS, JOIN_GATHER_SECONDS = (
    0.3,
    2.5,
)  # seconds without a knock, and since the first, after which all are let in
JOIN_HOLD_SECONDS = (
    10.0  # seconds since the first knock for which those who come wait for those who are about to go
)
PENALTY_HALF_LIFE_SECONDS = 60.0  # seconds in which what going out cost is halved
MAX_REJOIN_WAIT_SECONDS = 60.0  # seconds that one waits to be let in again
MAX_NAMES = 4000  # names of whom something is kept


class SuspectedMembers(NamedTuple):
    down: frozenset[str]
    unsure: frozenset[str]


class _Report(NamedTuple):
    received: float
    silent: dict[str, float]


class CutDetector:
    def __init__(self) -> None:
        self.reports: dict[str, _Report] = {}
        self.join_requests: dict[str, tuple[float, ViewMember]] = {}
        self.first_join_request = self.last_join_request = -inf
        self.reached: dict[str, float] = {}  # by whom it was reached in a second look does not matter
        self.checked_since: dict[str, float] = {}  # since when one has been looked at once more
        self.waiting_since = inf  # since when somebody is down and waits for others
        self.penalties: dict[
            str, tuple[float, float]
        ] = {}  # of going out again and again: how much, as of when

    def clear_evidence(self) -> None:
        """Of a time in which nothing was heard, nothing counts."""
        self.reports.clear()
        self.checked_since.clear()
        self.reached.clear()
        self.waiting_since = inf

    # What is heard

    def add_report(self, now: float, observer: str, silent: Iterable[tuple[str, float]]) -> None:
        if observer in self.reports or len(self.reports) < MAX_NAMES:
            self.reports[observer] = _Report(now, dict(silent))

    def add_join_request(self, now: float, placed: ViewMember) -> None:
        name = placed.member.name
        if name not in self.join_requests:
            if len(self.join_requests) >= MAX_NAMES:
                return
            if not self.join_requests:
                self.first_join_request = now
            self.last_join_request = now
        self.join_requests[name] = (now, placed)

    def note_reached(self, now: float, names: Iterable[str]) -> None:
        """They were reached in a second look."""
        for name in names:
            if name in self.checked_since:
                self.reached[name] = now

    # Marks

    def _is_reported(self, now: float, name: str, observer: str, min_silence: float) -> bool:
        report = self.reports.get(observer)
        if report is None or now - report.received > REPORT_VALID_SECONDS:
            return False
        silent = report.silent.get(name)
        return silent is not None and silent + now - report.received >= min_silence

    def suspected_members(
        self, now: float, view: View, rings: Rings, min_silence: float = DOWN_AFTER_SECONDS
    ) -> SuspectedMembers:
        """Who is down, and who is neither down nor surely there, by silences of `least` seconds."""
        named = {name for report in self.reports.values() for name in report.silent} & view.names
        said = {
            name: [o for o in rings.observers(name) if self._is_reported(now, name, o, min_silence)]
            for name in sorted(named)
        }
        # Observers that are themselves in doubt are asked in vain: whoever is left decides. So one doubt may
        # bring the next, until no more come.
        doubted: set[str] = set()
        while new := {n for n in said.keys() - doubted if self._is_doubtful(said[n], rings, n, doubted)}:
            doubted |= new
        down: set[str] = set()
        unsure: set[str] = set()
        for name in sorted(doubted):
            left = [o for o in rings.observers(name) if o not in doubted]
            votes = [o for o in said[name] if o not in doubted]
            # Of one with no observer left, the second look alone decides.
            sure = self._is_leaving(now, name) or len(votes) >= ceil(HIGH_WATERMARK * len(left))
            (down if sure else unsure).add(name)
        for name in sorted({subject for observer in doubted for subject in rings.subjects(observer)}):
            if name not in doubted and doubted.issuperset(rings.observers(name)):
                down.add(name)  # nobody is left who could miss it
        down |= {name for name in self.reports if name in view.names and self._is_leaving(now, name)}
        return SuspectedMembers(frozenset(down), frozenset(unsure - down))

    def _is_doubtful(self, said: list[str], rings: Rings, name: str, doubted: set[str]) -> bool:
        left = [o for o in rings.observers(name) if o not in doubted]
        votes = [o for o in said if o not in doubted]
        return bool(said) and len(votes) >= ceil(LOW_WATERMARK * len(left))

    def _is_leaving(self, now: float, name: str) -> bool:
        """It has said so itself."""
        return self._is_reported(now, name, name, 0.0)

    # What to do

    def members_to_check(self, now: float, view: View, rings: Rings) -> list[str]:
        """Who is to be looked at once more, as it may have to go."""
        likely = self.suspected_members(now, view, rings, INDIRECT_CHECK_AFTER_SECONDS).down
        # That it was reached does not count for ever: it may have died since, and is looked at anew.
        over = {name for name, at in self.reached.items() if now - at > REACHED_VALID_SECONDS}
        self.checked_since = {name: at for name, at in self.checked_since.items() if name not in over}
        new = sorted(likely - self.checked_since.keys())
        self.checked_since = {name: self.checked_since.get(name, now) for name in likely}
        self.reached = {name: at for name, at in self.reached.items() if name in likely - over}
        return new

    def members_to_remove(self, now: float, view: View, rings: Rings) -> list[str]:
        """Who goes now, all in one change; [] as long as somebody's case is not clear."""
        marks = self.suspected_members(now, view, rings)
        down = {
            name
            for name in marks.down
            if self._is_leaving(now, name)
            or (
                name not in self.reached and now - self.checked_since.get(name, inf) >= INDIRECT_CHECK_SECONDS
            )
        }
        if not down:
            self.waiting_since = inf
            return []
        self.waiting_since = min(self.waiting_since, now)
        # Who is about to be down, or was not looked at once more yet, is not clear either.
        early = self.suspected_members(now, view, rings, INDIRECT_CHECK_AFTER_SECONDS)
        left_out = down | self.reached.keys()
        soon = (marks.down | self.suspected_members(now, view, rings, REPORT_AFTER_SECONDS).down) - left_out
        unclear = soon | (marks.unsure | early.unsure) - left_out
        # Who died together is not missed for equally long: each is looked at in a turn of its own, and
        # observers that were held up give all the time that they missed.
        if now < self.waiting_since + (
            NEARLY_DOWN_WAIT_SECONDS if soon else UNSURE_WAIT_SECONDS if unclear else 0.0
        ):
            return []
        return sorted(down)

    def members_to_admit(
        self, now: float, view: View, rings: Rings
    ) -> tuple[list[ViewMember], list[tuple[ViewMember, float, float]]]:
        """Who comes in now, all in one change; and who has to wait yet: how long, and what going out has
        cost it. A change gives subjects new observers, who begin anew: so nobody comes while somebody is
        about to go, for `HOLD` at most.
        """
        self.join_requests = {
            name: (at, placed)
            for name, (at, placed) in self.join_requests.items()
            if now - at <= REPORT_VALID_SECONDS and view.member(name) != placed
        }
        come, wait = [], []
        for name in sorted(self.join_requests):
            _, placed = self.join_requests[name]
            left = self.rejoin_wait_seconds(now, name)
            if left > 0:
                wait.append((placed, left, self.penalty(now, name)))
            else:
                come.append(placed)
        if (
            come
            and now < self.last_join_request + JOIN_QUIET_SECONDS
            and now < self.first_join_request + JOIN_GATHER_SECONDS
        ):
            return [], wait
        if (
            come
            and now < self.first_join_request + JOIN_HOLD_SECONDS
            and self._is_removal_pending(now, view, rings)
        ):
            return [], wait
        if come:
            self.first_join_request = self.last_join_request = -inf
            for placed in come:
                del self.join_requests[placed.member.name]
        return come, wait

    def _is_removal_pending(self, now: float, view: View, rings: Rings) -> bool:
        """Whether somebody is about to go."""
        return bool(self.suspected_members(now, view, rings, REPORT_AFTER_SECONDS).down - self.reached.keys())

    def note_admitted(self, placed: Iterable[ViewMember]) -> None:
        """A change has let these in: what was said of earlier processes of their names, by them or others,
        says nothing of them. One that left and came back at once would else be taken out again.
        """
        names = {one.member.name for one in placed}
        self.reports = {
            observer: report._replace(silent={n: s for n, s in report.silent.items() if n not in names})
            for observer, report in self.reports.items()
            if observer not in names
        }

    # Who goes out again and again

    def penalty(self, now: float, name: str) -> float:
        cost, at = self.penalties.get(name, (0.0, now))
        return cost * float(0.5 ** ((now - at) / PENALTY_HALF_LIFE_SECONDS))

    def note_removed(self, now: float, names: Iterable[str]) -> None:
        """A change has taken these out."""
        for name in names:
            self.penalties[name] = (self.penalty(now, name) + 1.0, now)
        while len(self.penalties) > MAX_NAMES:
            del self.penalties[next(iter(self.penalties))]

    def rejoin_wait_seconds(self, now: float, name: str) -> float:
        """Seconds that it waits yet; 0: it may come in."""
        cost, at = self.penalties.get(name, (0.0, now))
        if cost < 2:
            return 0.0
        return max(0.0, at + min(MAX_REJOIN_WAIT_SECONDS, float(2.0**cost)) - now)


REACHED_VALID_SECONDS = 8.0  # seconds for which it counts that one was reached
INDIRECT_CHECK_SECONDS = 1.0  # seconds for the second look


def chunks(names: list[str], size: int) -> Iterator[list[str]]:
    for start in range(0, len(names), size):
        yield names[start : start + size]
