"""The openings of a window as instants, computed from its local start, recurrence rule and exceptions.

An opening starts at a local time given by the rule and lasts `length` elapsed seconds, regardless of clock
changes. For a local time that a clock change skips, RFC 5545 3.3.5 uses the offset before the gap, while
3.3.10 drops such an occurrence of a rule. This module always uses the offset before the gap: a window that
silently does not open one night of the year is worse than one that opens at 02:30 instead of 01:30. If two
local times map to the same instant, they are one opening.
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

SEARCH_YEARS = 12  # covers every rule that ever opens: there is no leap day between 2096 and 2104
BLOCK_SECONDS = 64 * 86_400  # span of openings that is computed and cached at once
LOCAL_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"
COUNT_LIMIT = timedelta(days=20 * 366)  # a rule with a COUNT must end within this time
MAX_OFFSET_CHANGE = timedelta(days=2)  # upper bound on any change of a zone's offset
MICROSECONDS = 1_000_000


class Opening(NamedTuple):
    """One opening from `opens` until before `closes`, in Unix microseconds; `start` is its local time."""

    opens: int
    closes: int
    start: datetime


class Window:
    """A parsed window of a plan, which computes its openings.

    Raises
    ------
    WindowError
        The window is not valid by itself.
    """

    def __init__(self, definition: PlanWindow) -> None:
        self.definition = definition
        where = f"windows.{definition.name}"
        try:
            self.zone = load_zone(definition.zone)
        except KeyError:
            raise WindowZoneUnknownError(f"{where}: zone: there is no {definition.zone!r}") from None
        self.start = _parse_start(where, definition.start)
        self.exceptions: frozenset[datetime] = frozenset(map(self.parse_exception, definition.except_))
        self.rule = parse_rule(where, definition.rrule, self.start) if definition.rrule else None
        has_count = self.rule is not None and self.rule.count_limit is not None
        self.counted_times = (
            self._find_counted_times(where, self.rule) if self.rule is not None and has_count else ()
        )
        self.blocks: dict[int, list[Opening]] = {}
        self.length = round(definition.length * MICROSECONDS)

    def parse_exception(self, text: str) -> datetime:
        """Parse the local time of an exception."""
        try:
            return datetime.strptime(text, LOCAL_TIME_FORMAT)
        except ValueError:
            raise WindowExceptionUnreadableError(
                f"windows.{self.definition.name}: except_: {text[:40]!r} is no time"
            ) from None

    @property
    def start_unix(self) -> int:
        """The start in Unix seconds."""
        return to_unix(self.start, self.zone)

    def occurrences(self, after: float, before: float) -> Iterator[tuple[int, datetime]]:
        """Yield the instants of the rule from `after` until before `before`, in Unix seconds.

        Each is paired with its local time. They are in order of local time and include exceptions.
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
                continue  # not in order of instants: 02:00 may be earlier than a skipped 01:30
            if after <= unix < before:
                yield unix, local

    def _local_times(self, since: datetime, until: datetime) -> Iterator[datetime]:
        if self.rule is None:
            yield self.start
        elif self.rule.count_limit is not None:
            yield from self.counted_times
        else:
            yield from self._search(self.rule, since, until)

    def _search(self, rule: RecurrenceRule, since: datetime, until: datetime) -> Iterator[datetime]:
        try:
            yield from rule.occurrences(self.start, since, until)
        except SearchLimitError:
            return  # no occurrence before `until`

    def _find_counted_times(self, where: str, rule: RecurrenceRule) -> tuple[datetime, ...]:
        """Return all local times of a rule with a COUNT, which must end within 20 years."""
        local_times: list[datetime] = []
        try:
            for local in rule.occurrences(self.start, self.start, self.start + COUNT_LIMIT):
                local_times.append(local)
        except SearchLimitError:
            if local_times:
                what = f"rrule: COUNT={rule.count_limit} is not over in 20 years"
                raise WindowRuleTooLongError(f"{where}: {what}") from None
        return tuple(local_times)

    def openings(self, after: float, before: float) -> list[Opening]:
        """Return the openings that start from `after` until before `before` (Unix seconds), in order."""
        local_times = {
            unix: local for unix, local in self.occurrences(after, before) if local not in self.exceptions
        }
        return [
            Opening(unix * MICROSECONDS, unix * MICROSECONDS + self.length, local_times[unix])
            for unix in sorted(local_times)
        ]

    def cached_openings(self, after: float, before: float) -> list[Opening]:
        """Return the same as `openings`, using cached blocks.

        Block boundaries differ between windows, so that the windows of a plan are not all recomputed on the
        same day.
        """
        cached: list[Opening] = []
        shift = crc32(self.definition.name.encode()) % BLOCK_SECONDS
        first, last = (int(after) + shift) // BLOCK_SECONDS, (int(before) + shift) // BLOCK_SECONDS
        for block in range(first, last + 1):
            if block not in self.blocks:
                while len(self.blocks) > 3 + self.length // (BLOCK_SECONDS * MICROSECONDS):
                    del self.blocks[min(self.blocks)]
                begin = block * BLOCK_SECONDS - shift
                self.blocks[block] = self.openings(begin, begin + BLOCK_SECONDS)
            cached += [
                opening for opening in self.blocks[block] if after <= opening.opens / MICROSECONDS < before
            ]
        return cached

    def ever_opens(self) -> bool:
        """Whether the window opens within `SEARCH_YEARS` of its start."""
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
    """Parse a window and return its openings (`Window.openings`)."""
    return Window(window).openings(after, before)
