"""When a window is open: its openings as instants, out of local time, rule and exceptions.

An opening is a local time that the rule names; `length` from there is real seconds, whatever the clocks do
meanwhile. RFC 5545 says in 3.3.5 that a local time which a clock change skips is read with the offset before
the gap, and in 3.3.10 that a rule's instance of that kind is left out. The first is kept to for all: a window
that silently does not open one night of the year is worse than one that opens at 02:30 instead of 01:30.
Where two local times come out as one instant, it is one opening.
"""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime, timedelta
from typing import NamedTuple
from zlib import crc32

from wheatring.plan.words import PlanWindow
from wheatring.schedule.errors import ExceptionUnreadable, RuleTooLong, StartUnreadable, ZoneUnknown
from wheatring.schedule.rules import Rule, Searched, read
from wheatring.schedule.zones import instant, local, zone

YEARS = 12  # in which a window that ever opens does so: from 2096 to 2104 there is no leap day
BLOCK = 64 * 86_400  # seconds of openings that are worked out at once
SHAPE = "%Y-%m-%dT%H:%M:%S"
COUNTED = timedelta(days=20 * 366)  # in which a rule with a COUNT is over
GAP = timedelta(days=2)  # by more no zone's offset moves


class Opening(NamedTuple):
    """From `opens` to just before `closes`, Unix microseconds. `start`: the local time."""

    opens: int
    closes: int
    start: datetime


class Window:
    """A window of a plan, read and ready to be asked. Raises what is wrong with it by itself."""

    def __init__(self, plan: PlanWindow) -> None:
        self.plan = plan
        where = f"windows.{plan.name}"
        try:
            self.zone = zone(plan.zone)
        except KeyError:
            raise ZoneUnknown(f"{where}: zone: there is no {plan.zone!r}") from None
        try:
            self.start = datetime.strptime(plan.start, SHAPE)
        except ValueError:
            raise StartUnreadable(f"{where}: start: {plan.start!r} is no time") from None
        if not 1970 <= self.start.year < 2200:
            raise StartUnreadable(f"{where}: start: the year is {self.start.year}")
        self.left_out: frozenset[datetime] = frozenset(self.exception(one) for one in plan.except_)
        self.rule: Rule | None = read(where, plan.rrule, self.start) if plan.rrule else None
        counts = self.rule is not None and self.rule.times is not None
        self.counted = self._count(where, self.rule) if self.rule is not None and counts else ()
        self.blocks: dict[int, list[Opening]] = {}
        self.length = round(plan.length * 1_000_000)

    def exception(self, text: str) -> datetime:
        try:
            return datetime.strptime(text, SHAPE)
        except ValueError:
            raise ExceptionUnreadable(
                f"windows.{self.plan.name}: except_: {text[:40]!r} is no time"
            ) from None

    @property
    def first(self) -> int:
        """Unix seconds of its start."""
        return instant(self.start, self.zone)

    def named(self, after: float, before: float) -> Iterator[tuple[int, datetime]]:
        """Instants and local times that the rule names with an instant from `after` to just before `before`,
        Unix seconds; those that are left out are among them. In the order of local times.
        """
        since = local(max(after, 0.0), self.zone) - GAP
        until = local(max(before, 0.0), self.zone) + GAP
        for found in self._locals(since, until):
            if found >= until:
                return
            unix = instant(found, self.zone)
            if self.rule is not None and self.rule.until is not None and unix > self.rule.until:
                if unix > self.rule.until + 86_400:
                    return
                continue  # 02:00 may be before a 01:30 that was skipped
            if after <= unix < before:
                yield unix, found

    def _locals(self, since: datetime, until: datetime) -> Iterator[datetime]:
        if self.rule is None:
            yield self.start
        elif self.rule.times is not None:
            yield from self.counted
        else:
            yield from self._walked(self.rule, since, until)

    def _walked(self, rule: Rule, since: datetime, until: datetime) -> Iterator[datetime]:
        try:
            yield from rule.walk(self.start, since, until)
        except Searched:
            return  # there is none up to `until`

    def _count(self, where: str, rule: Rule) -> tuple[datetime, ...]:
        """All that a rule with a COUNT names: within 20 years, or it is refused."""
        found: list[datetime] = []
        try:
            for one in rule.walk(self.start, self.start, self.start + COUNTED):
                found.append(one)
        except Searched:
            if found:
                raise RuleTooLong(f"{where}: rrule: COUNT={rule.times} is not over in 20 years") from None
        return tuple(found)

    def openings(self, after: float, before: float) -> list[Opening]:
        """Those that open from `after` to just before `before`, Unix seconds, in order."""
        found = {unix: start for unix, start in self.named(after, before) if start not in self.left_out}
        return [
            Opening(unix * 1_000_000, unix * 1_000_000 + self.length, found[unix]) for unix in sorted(found)
        ]

    def within(self, after: float, before: float) -> list[Opening]:
        """As `openings`, out of blocks that are kept. Where they begin differs from window to window, so that
        not all of a plan's windows are worked out anew on one day.
        """
        found: list[Opening] = []
        shift = crc32(self.plan.name.encode()) % BLOCK
        for block in range((int(after) + shift) // BLOCK, (int(before) + shift) // BLOCK + 1):
            if block not in self.blocks:
                while len(self.blocks) > 3 + self.length // (BLOCK * 1_000_000):
                    del self.blocks[min(self.blocks)]
                begin = block * BLOCK - shift
                self.blocks[block] = self.openings(begin, begin + BLOCK)
            found += [one for one in self.blocks[block] if after <= one.opens / 1_000_000 < before]
        return found

    def ever(self) -> bool:
        """Whether it opens within `YEARS` of its start."""
        far = self.first + YEARS * 366 * 86400
        return any(start not in self.left_out for _, start in self.named(self.first, far))


def openings(window: PlanWindow, after: float, before: float) -> list[Opening]:
    """As `Window.openings`, of a window that is read for this once."""
    return Window(window).openings(after, before)
