"""When a window is open: its openings as instants, from local time, recurrence rule and exceptions.

An opening is a local time that the rule names; `length` from there is real seconds, whatever the clocks do
meanwhile. RFC 5545 says in 3.3.5 that a local time which a clock change skips is read with the offset before
the gap, and in 3.3.10 that a rule's occurrence of that kind is left out. The first is applied to all: a
window that silently does not open one night of the year is worse than one that opens at 02:30 instead of
01:30. Where two local times are one instant, it is one opening.
"""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime, timedelta
from typing import NamedTuple
from zlib import crc32

from wheatring.fleet.plan.document import PlanWindow
from wheatring.fleet.schedule.errors import (
    WindowExceptionUnreadableError,
    WindowRuleTooLongError,
    WindowStartUnreadableError,
    WindowZoneUnknownError,
)
from wheatring.fleet.schedule.recurrence import RecurrenceRule, SearchLimitError, parse_rule
from wheatring.fleet.schedule.zones import load_zone, to_local, to_unix

SEARCH_YEARS = 12  # in which a window that ever opens does so: from 2096 to 2104 there is no leap day
BLOCK_SECONDS = 64 * 86_400  # of openings that are worked out at once
LOCAL_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"
COUNT_LIMIT = timedelta(days=20 * 366)  # in which a rule with a COUNT is over
MAX_OFFSET_CHANGE = timedelta(days=2)  # by more no zone's offset changes
MICROSECONDS = 1_000_000


class Opening(NamedTuple):
    """From `opens` to just before `closes`, Unix microseconds. `start` is the local time."""

    opens: int
    closes: int
    start: datetime


class Window:
    """A window of a plan, parsed and ready to be asked for its openings.

    Raises
    ------
    WindowError
        The window by itself is not valid.
    """

    def __init__(self, plan: PlanWindow) -> None:
        self.plan = plan
        where = f"windows.{plan.name}"
        try:
            self.zone = load_zone(plan.zone)
        except KeyError:
            raise WindowZoneUnknownError(f"{where}: zone: there is no {plan.zone!r}") from None
        self.start = _parse_start(where, plan.start)
        self.exceptions: frozenset[datetime] = frozenset(map(self.parse_exception, plan.except_))
        self.rule = parse_rule(where, plan.rrule, self.start) if plan.rrule else None
        has_count = self.rule is not None and self.rule.count_limit is not None
        self.counted = self._all_counted(where, self.rule) if self.rule is not None and has_count else ()
        self.blocks: dict[int, list[Opening]] = {}
        self.length = round(plan.length * MICROSECONDS)

    def parse_exception(self, text: str) -> datetime:
        """Return the local time of an exception."""
        try:
            return datetime.strptime(text, LOCAL_TIME_FORMAT)
        except ValueError:
            raise WindowExceptionUnreadableError(
                f"windows.{self.plan.name}: except_: {text[:40]!r} is no time"
            ) from None

    @property
    def start_unix(self) -> int:
        """Its start in Unix seconds."""
        return to_unix(self.start, self.zone)

    def occurrences(self, after: float, before: float) -> Iterator[tuple[int, datetime]]:
        """Yield the instants that the rule names from `after` to just before `before`, Unix seconds.

        Each comes with its local time, in whose order they are; exceptions are among them.
        """
        since = to_local(max(after, 0.0), self.zone) - MAX_OFFSET_CHANGE
        until = to_local(max(before, 0.0), self.zone) + MAX_OFFSET_CHANGE
        for local in self._local_times(since, until):
            if local >= until:
                return
            unix = to_unix(local, self.zone)
            if self.rule is not None and self.rule.until_unix is not None and unix > self.rule.until_unix:
                if unix > self.rule.until_unix + 86_400:
                    return
                continue  # 02:00 may be before a 01:30 that was skipped
            if after <= unix < before:
                yield unix, local

    def _local_times(self, since: datetime, until: datetime) -> Iterator[datetime]:
        if self.rule is None:
            yield self.start
        elif self.rule.count_limit is not None:
            yield from self.counted
        else:
            yield from self._search(self.rule, since, until)

    def _search(self, rule: RecurrenceRule, since: datetime, until: datetime) -> Iterator[datetime]:
        try:
            yield from rule.occurrences(self.start, since, until)
        except SearchLimitError:
            return  # there is none up to `until`

    def _all_counted(self, where: str, rule: RecurrenceRule) -> tuple[datetime, ...]:
        """Return all local times of a rule with a COUNT, which has to be over within 20 years."""
        found: list[datetime] = []
        try:
            for local in rule.occurrences(self.start, self.start, self.start + COUNT_LIMIT):
                found.append(local)
        except SearchLimitError:
            if found:
                what = f"rrule: COUNT={rule.count_limit} is not over in 20 years"
                raise WindowRuleTooLongError(f"{where}: {what}") from None
        return tuple(found)

    def openings(self, after: float, before: float) -> list[Opening]:
        """Return the openings from `after` to just before `before`, Unix seconds, in order."""
        found = {
            unix: local for unix, local in self.occurrences(after, before) if local not in self.exceptions
        }
        return [
            Opening(unix * MICROSECONDS, unix * MICROSECONDS + self.length, found[unix])
            for unix in sorted(found)
        ]

    def cached_openings(self, after: float, before: float) -> list[Opening]:
        """Return the same as `openings`, from blocks that are kept.

        Where the blocks begin differs from window to window, so that not all windows of a plan are worked out
        anew on one day.
        """
        found: list[Opening] = []
        shift = crc32(self.plan.name.encode()) % BLOCK_SECONDS
        first, last = (int(after) + shift) // BLOCK_SECONDS, (int(before) + shift) // BLOCK_SECONDS
        for block in range(first, last + 1):
            if block not in self.blocks:
                while len(self.blocks) > 3 + self.length // (BLOCK_SECONDS * MICROSECONDS):
                    del self.blocks[min(self.blocks)]
                begin = block * BLOCK_SECONDS - shift
                self.blocks[block] = self.openings(begin, begin + BLOCK_SECONDS)
            found += [
                opening for opening in self.blocks[block] if after <= opening.opens / MICROSECONDS < before
            ]
        return found

    def opens_ever(self) -> bool:
        """Whether it opens within `SEARCH_YEARS` of its start."""
        end = self.start_unix + SEARCH_YEARS * 366 * 86400
        return any(local not in self.exceptions for _, local in self.occurrences(self.start_unix, end))


def _parse_start(where: str, text: str) -> datetime:
    try:
        start = datetime.strptime(text, LOCAL_TIME_FORMAT)
    except ValueError:
        raise WindowStartUnreadableError(f"{where}: start: {text!r} is no time") from None
    if not 1970 <= start.year < 2200:
        raise WindowStartUnreadableError(f"{where}: start: the year is {start.year}")
    return start


def openings(window: PlanWindow, after: float, before: float) -> list[Opening]:
    """Return the openings of a window, as `Window.openings`, that is parsed for this once."""
    return Window(window).openings(after, before)
