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

from wheatring.plan.document import PlanWindow
from wheatring.schedule.errors import (
    WindowExceptionUnreadableError,
    WindowRuleTooLongError,
    WindowStartUnreadableError,
    WindowZoneUnknownError,
)
from wheatring.schedule.recurrence import RecurrenceRule, SearchLimitError, parse_rule
from wheatring.schedule.zones import load_zone, to_local, to_unix

SEARCH_YEARS = 12  # in which a window that ever opens does so: from 2096 to 2104 there is no leap day
BLOCK_SECONDS = 64 * 86_400  # seconds of openings that are worked out at once
LOCAL_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"
COUNT_LIMIT = timedelta(days=20 * 366)  # in which a rule with a COUNT is over
MAX_OFFSET_CHANGE = timedelta(days=2)  # by more no zone's offset moves


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
            self.zone = load_zone(plan.zone)
        except KeyError:
            raise WindowZoneUnknownError(f"{where}: zone: there is no {plan.zone!r}") from None
        try:
            self.start = datetime.strptime(plan.start, LOCAL_TIME_FORMAT)
        except ValueError:
            raise WindowStartUnreadableError(f"{where}: start: {plan.start!r} is no time") from None
        if not 1970 <= self.start.year < 2200:
            raise WindowStartUnreadableError(f"{where}: start: the year is {self.start.year}")
        self.exceptions: frozenset[datetime] = frozenset(self.parse_exception(one) for one in plan.except_)
        self.rule: RecurrenceRule | None = parse_rule(where, plan.rrule, self.start) if plan.rrule else None
        counts = self.rule is not None and self.rule.count_limit is not None
        self.counted = self._count(where, self.rule) if self.rule is not None and counts else ()
        self.blocks: dict[int, list[Opening]] = {}
        self.length = round(plan.length * 1_000_000)

    def parse_exception(self, text: str) -> datetime:
        try:
            return datetime.strptime(text, LOCAL_TIME_FORMAT)
        except ValueError:
            raise WindowExceptionUnreadableError(
                f"windows.{self.plan.name}: except_: {text[:40]!r} is no time"
            ) from None

    @property
    def start_unix(self) -> int:
        """Unix seconds of its start."""
        return to_unix(self.start, self.zone)

    def occurrences(self, after: float, before: float) -> Iterator[tuple[int, datetime]]:
        """Instants and local times that the rule names with an instant from `after` to just before `before`,
        Unix seconds; those that are left out are among them. In the order of local times.
        """
        since = to_local(max(after, 0.0), self.zone) - MAX_OFFSET_CHANGE
        until = to_local(max(before, 0.0), self.zone) + MAX_OFFSET_CHANGE
        for found in self._locals(since, until):
            if found >= until:
                return
            unix = to_unix(found, self.zone)
            if self.rule is not None and self.rule.until_unix is not None and unix > self.rule.until_unix:
                if unix > self.rule.until_unix + 86_400:
                    return
                continue  # 02:00 may be before a 01:30 that was skipped
            if after <= unix < before:
                yield unix, found

    def _locals(self, since: datetime, until: datetime) -> Iterator[datetime]:
        if self.rule is None:
            yield self.start
        elif self.rule.count_limit is not None:
            yield from self.counted
        else:
            yield from self._walked(self.rule, since, until)

    def _walked(self, rule: RecurrenceRule, since: datetime, until: datetime) -> Iterator[datetime]:
        try:
            yield from rule.occurrences(self.start, since, until)
        except SearchLimitError:
            return  # there is none up to `until`

    def _count(self, where: str, rule: RecurrenceRule) -> tuple[datetime, ...]:
        """All that a rule with a COUNT names: within 20 years, or it is refused."""
        found: list[datetime] = []
        try:
            for one in rule.occurrences(self.start, self.start, self.start + COUNT_LIMIT):
                found.append(one)
        except SearchLimitError:
            if found:
                raise WindowRuleTooLongError(
                    f"{where}: rrule: COUNT={rule.count_limit} is not over in 20 years"
                ) from None
        return tuple(found)

    def openings(self, after: float, before: float) -> list[Opening]:
        """Those that open from `after` to just before `before`, Unix seconds, in order."""
        found = {
            unix: start for unix, start in self.occurrences(after, before) if start not in self.exceptions
        }
        return [
            Opening(unix * 1_000_000, unix * 1_000_000 + self.length, found[unix]) for unix in sorted(found)
        ]

    def cached_openings(self, after: float, before: float) -> list[Opening]:
        """As `openings`, out of blocks that are kept. Where they begin differs from window to window, so that
        not all of a plan's windows are worked out anew on one day.
        """
        found: list[Opening] = []
        shift = crc32(self.plan.name.encode()) % BLOCK_SECONDS
        for block in range((int(after) + shift) // BLOCK_SECONDS, (int(before) + shift) // BLOCK_SECONDS + 1):
            if block not in self.blocks:
                while len(self.blocks) > 3 + self.length // (BLOCK_SECONDS * 1_000_000):
                    del self.blocks[min(self.blocks)]
                begin = block * BLOCK_SECONDS - shift
                self.blocks[block] = self.openings(begin, begin + BLOCK_SECONDS)
            found += [one for one in self.blocks[block] if after <= one.opens / 1_000_000 < before]
        return found

    def opens_ever(self) -> bool:
        """Whether it opens within `YEARS` of its start."""
        far = self.start_unix + SEARCH_YEARS * 366 * 86400
        return any(start not in self.exceptions for _, start in self.occurrences(self.start_unix, far))


def openings(window: PlanWindow, after: float, before: float) -> list[Opening]:
    """As `Window.openings`, of a window that is read for this once."""
    return Window(window).openings(after, before)
