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

from wheatring.members.view import Rings, View
from wheatring.members.watch import SILENT, TELL
from wheatring.members.words import Placed

FRESH = 3.5  # seconds for which a report counts
HIGH, LOW = 5 / 6, 1 / 3  # parts of the observers that make one down, or unsure
WAIT = 2.0  # seconds for which who is down waits for who is unsure,
LAST = 4.0  # and for whom as many miss, but not for long enough yet
SECOND = 4.0  # seconds of silence from which on who may go is looked at once more
QUIET, GATHER = 0.3, 2.5  # seconds without a knock, and since the first, after which all are let in
HOLD = 10.0  # seconds since the first knock for which those who come wait for those who are about to go
HALF = 60.0  # seconds in which what going out cost is halved
LONGEST = 60.0  # seconds that one waits to be let in again
MOST = 4000  # names of whom something is kept


class Marks(NamedTuple):
    down: frozenset[str]
    unsure: frozenset[str]


class _Report(NamedTuple):
    at: float
    silent: dict[str, float]


class Cuts:
    def __init__(self) -> None:
        self.reports: dict[str, _Report] = {}
        self.knocks: dict[str, tuple[float, Placed]] = {}
        self.first_knock = self.last_knock = -inf
        self.reached: dict[str, float] = {}  # by whom it was reached in a second look does not matter
        self.doubted: dict[str, float] = {}  # since when one has been looked at once more
        self.waits = inf  # since when somebody is down and waits for others
        self.cost: dict[str, tuple[float, float]] = {}  # of going out again and again: how much, as of when

    def forget(self) -> None:
        """Of a time in which nothing was heard, nothing counts."""
        self.reports.clear()
        self.doubted.clear()
        self.reached.clear()
        self.waits = inf

    # What is heard

    def report(self, now: float, observer: str, silent: Iterable[tuple[str, float]]) -> None:
        if observer in self.reports or len(self.reports) < MOST:
            self.reports[observer] = _Report(now, dict(silent))

    def knock(self, now: float, placed: Placed) -> None:
        name = placed.who.name
        if name not in self.knocks:
            if len(self.knocks) >= MOST:
                return
            if not self.knocks:
                self.first_knock = now
            self.last_knock = now
        self.knocks[name] = (now, placed)

    def reaches(self, now: float, names: Iterable[str]) -> None:
        """They were reached in a second look."""
        for name in names:
            if name in self.doubted:
                self.reached[name] = now

    # Marks

    def _said(self, now: float, name: str, observer: str, least: float) -> bool:
        report = self.reports.get(observer)
        if report is None or now - report.at > FRESH:
            return False
        silent = report.silent.get(name)
        return silent is not None and silent + now - report.at >= least

    def marks(self, now: float, view: View, rings: Rings, least: float = SILENT) -> Marks:
        """Who is down, and who is neither down nor surely there, by silences of `least` seconds."""
        named = {name for report in self.reports.values() for name in report.silent} & view.names
        said = {
            name: [o for o in rings.observers(name) if self._said(now, name, o, least)]
            for name in sorted(named)
        }
        # Observers that are themselves in doubt are asked in vain: whoever is left decides. So one doubt may
        # bring the next, until no more come.
        doubted: set[str] = set()
        while new := {n for n in said.keys() - doubted if self._doubtful(said[n], rings, n, doubted)}:
            doubted |= new
        down: set[str] = set()
        unsure: set[str] = set()
        for name in sorted(doubted):
            left = [o for o in rings.observers(name) if o not in doubted]
            votes = [o for o in said[name] if o not in doubted]
            # Of one with no observer left, the second look alone decides.
            sure = self._leaves(now, name) or len(votes) >= ceil(HIGH * len(left))
            (down if sure else unsure).add(name)
        for name in sorted({subject for observer in doubted for subject in rings.subjects(observer)}):
            if name not in doubted and doubted.issuperset(rings.observers(name)):
                down.add(name)  # nobody is left who could miss it
        down |= {name for name in self.reports if name in view.names and self._leaves(now, name)}
        return Marks(frozenset(down), frozenset(unsure - down))

    def _doubtful(self, said: list[str], rings: Rings, name: str, doubted: set[str]) -> bool:
        left = [o for o in rings.observers(name) if o not in doubted]
        votes = [o for o in said if o not in doubted]
        return bool(said) and len(votes) >= ceil(LOW * len(left))

    def _leaves(self, now: float, name: str) -> bool:
        """It has said so itself."""
        return self._said(now, name, name, 0.0)

    # What to do

    def doubts(self, now: float, view: View, rings: Rings) -> list[str]:
        """Who is to be looked at once more, as it may have to go."""
        likely = self.marks(now, view, rings, SECOND).down
        # That it was reached does not count for ever: it may have died since, and is looked at anew.
        over = {name for name, at in self.reached.items() if now - at > TRUST}
        self.doubted = {name: at for name, at in self.doubted.items() if name not in over}
        new = sorted(likely - self.doubted.keys())
        self.doubted = {name: self.doubted.get(name, now) for name in likely}
        self.reached = {name: at for name, at in self.reached.items() if name in likely - over}
        return new

    def going(self, now: float, view: View, rings: Rings) -> list[str]:
        """Who goes now, all in one change; [] as long as somebody's case is not clear."""
        marks = self.marks(now, view, rings)
        down = {
            name
            for name in marks.down
            if self._leaves(now, name)
            or (name not in self.reached and now - self.doubted.get(name, inf) >= SECOND_LOOK)
        }
        if not down:
            self.waits = inf
            return []
        self.waits = min(self.waits, now)
        # Who is about to be down, or was not looked at once more yet, is not clear either.
        early = self.marks(now, view, rings, SECOND)
        left_out = down | self.reached.keys()
        soon = (marks.down | self.marks(now, view, rings, TELL).down) - left_out
        unclear = soon | (marks.unsure | early.unsure) - left_out
        # Who died together is not missed for equally long: each is looked at in a turn of its own, and
        # observers that were held up give all the time that they missed.
        if now < self.waits + (LAST if soon else WAIT if unclear else 0.0):
            return []
        return sorted(down)

    def coming(
        self, now: float, view: View, rings: Rings
    ) -> tuple[list[Placed], list[tuple[Placed, float, float]]]:
        """Who comes in now, all in one change; and who has to wait yet: how long, and what going out has
        cost it. A change gives subjects new observers, who begin anew: so nobody comes while somebody is
        about to go, for `HOLD` at most.
        """
        self.knocks = {
            name: (at, placed)
            for name, (at, placed) in self.knocks.items()
            if now - at <= FRESH and view.of(name) != placed
        }
        come, wait = [], []
        for name in sorted(self.knocks):
            _, placed = self.knocks[name]
            left = self.waiting(now, name)
            if left > 0:
                wait.append((placed, left, self.costs(now, name)))
            else:
                come.append(placed)
        if come and now < self.last_knock + QUIET and now < self.first_knock + GATHER:
            return [], wait
        if come and now < self.first_knock + HOLD and self._about(now, view, rings):
            return [], wait
        if come:
            self.first_knock = self.last_knock = -inf
            for placed in come:
                del self.knocks[placed.who.name]
        return come, wait

    def _about(self, now: float, view: View, rings: Rings) -> bool:
        """Whether somebody is about to go."""
        return bool(self.marks(now, view, rings, TELL).down - self.reached.keys())

    def came(self, placed: Iterable[Placed]) -> None:
        """A change has let these in: what was said of earlier processes of their names, by them or others,
        says nothing of them. One that left and came back at once would else be taken out again.
        """
        names = {one.who.name for one in placed}
        self.reports = {
            observer: report._replace(silent={n: s for n, s in report.silent.items() if n not in names})
            for observer, report in self.reports.items()
            if observer not in names
        }

    # Who goes out again and again

    def costs(self, now: float, name: str) -> float:
        cost, at = self.cost.get(name, (0.0, now))
        return cost * float(0.5 ** ((now - at) / HALF))

    def went(self, now: float, names: Iterable[str]) -> None:
        """A change has taken these out."""
        for name in names:
            self.cost[name] = (self.costs(now, name) + 1.0, now)
        while len(self.cost) > MOST:
            del self.cost[next(iter(self.cost))]

    def waiting(self, now: float, name: str) -> float:
        """Seconds that it waits yet; 0: it may come in."""
        cost, at = self.cost.get(name, (0.0, now))
        if cost < 2:
            return 0.0
        return max(0.0, at + min(LONGEST, float(2.0**cost)) - now)


TRUST = 8.0  # seconds for which it counts that one was reached
SECOND_LOOK = 1.0  # seconds for the second look


def groups(names: list[str], size: int) -> Iterator[list[str]]:
    for start in range(0, len(names), size):
        yield names[start : start + size]
