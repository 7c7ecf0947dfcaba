"""Recurrence rules, RFC 5545 3.3.10, parsed strictly and evaluated at a bounded cost.

`dateutil.rrule` knows which days a rule names, but it accepts more than the RFC and searches to the year 9999
for a rule that names none. Here only what RFC 5545 allows is let through, each part within its range, and the
days that are looked at are counted.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple

from dateutil.rrule import DAILY, HOURLY, MONTHLY, WEEKLY, YEARLY, rrule, weekday

from wheatring.fleet.schedule.errors import (
    WindowRuleTooLongError,
    WindowRuleTooOftenError,
    WindowRuleUnreadableError,
)

MAX_OPENINGS_PER_DAY = 96  # of one window: one in a quarter of an hour
MAX_COUNT = 1000
MAX_LIST_VALUES = 96  # of one part
DAYS = ("MO", "TU", "WE", "TH", "FR", "SA", "SU")
FREQUENCIES = {"YEARLY": YEARLY, "MONTHLY": MONTHLY, "WEEKLY": WEEKLY, "DAILY": DAILY, "HOURLY": HOURLY}

_Unreadable = Callable[[str], WindowRuleUnreadableError]  # makes the error, with the window's name in it


class _ListPart(NamedTuple):
    """A part that lists numbers; with `from_end`, those below 0 count from the end."""

    minimum: int
    maximum: int
    from_end: bool
    frequencies: tuple[str, ...]  # that it goes with


# RFC 5545 takes BYYEARDAY also with HOURLY, and BYHOUR and BYSETPOS; such a rule can be had with YEARLY or
# DAILY and BYHOUR.
_DATED = ("YEARLY", "MONTHLY", "DAILY", "HOURLY")
_DAYS = ("YEARLY", "MONTHLY", "WEEKLY", "DAILY")
_LIST_PARTS = {
    "BYMONTH": _ListPart(1, 12, False, tuple(FREQUENCIES)),
    "BYWEEKNO": _ListPart(1, 53, True, ("YEARLY",)),
    "BYYEARDAY": _ListPart(1, 366, True, ("YEARLY",)),
    "BYMONTHDAY": _ListPart(1, 31, True, _DATED),
    "BYHOUR": _ListPart(0, 23, False, _DAYS),
    "BYMINUTE": _ListPart(0, 59, False, tuple(FREQUENCIES)),
    "BYSECOND": _ListPart(0, 59, False, tuple(FREQUENCIES)),
    "BYSETPOS": _ListPart(1, 366, True, _DAYS),
}


class SearchLimitError(Exception):
    """As many days were looked at as may be, and no more are."""


class _CountingSet(tuple[int, ...]):
    """A set of months or weekdays that `rrule` asks once for each day, so that days can be counted."""

    remaining: int = 0

    def __contains__(self, value: object) -> bool:
        self.remaining -= 1
        if self.remaining < 0:
            raise SearchLimitError
        return super().__contains__(value)


class RecurrenceRule(NamedTuple):
    """A parsed rule.

    `parts` are the arguments of `rrule`, `count_limit` is its COUNT, `until_unix` its UNTIL in Unix seconds,
    and `openings_per_day` an upper bound.
    """

    frequency: str
    parts: dict[str, Any]
    interval: int
    count_limit: int | None
    until_unix: float | None
    openings_per_day: int

    def occurrences(self, start: datetime, after: datetime, before: datetime) -> Iterator[datetime]:
        """Yield the local times that the rule names from a `start` on: all after `after`, maybe some before.

        A `start` that the rule does not name itself is none of them.

        Raises
        ------
        SearchLimitError
            As many days were looked at as there are up to `before` and some; a year is looked at whole.
        """
        if self.count_limit is None and after > start:
            start = self._later_start(start, after)
        found = rrule(
            FREQUENCIES[self.frequency],
            dtstart=start,
            interval=self.interval,
            count=self.count_limit,
            **self.parts,
        )
        # `rrule` asks for months first, and where there are none, for weekdays, but for a week of the year.
        if found._bymonth:
            found._bymonth = counting = _CountingSet(found._bymonth)
        else:
            found._byweekday = counting = _CountingSet(found._byweekday or range(7))
        days = max(0, (before - start).days) + 2 * 366
        counting.remaining = 24 * days if self.frequency == "HOURLY" else days
        yield from found

    def _later_start(self, start: datetime, after: datetime) -> datetime:
        """Return a start that is later by whole intervals, so that the distant past is not searched.

        What `rrule` takes from the start (month, day, weekday, time) stays the same but for the hour of an
        hourly rule, which is none of it. One interval is kept before, as positions in the week of the start
        itself are counted from the start.
        """
        unit_hours = {"WEEKLY": 7 * 24, "DAILY": 24, "HOURLY": 1}.get(self.frequency)
        if unit_hours is not None:
            whole = timedelta(hours=unit_hours * self.interval)
            return start + max(0, (after - start) // whole - 1) * whole
        if start.day > 28:
            return start  # which not all months have
        months = self.interval * (12 if self.frequency == "YEARLY" else 1)
        past = 12 * (after.year - start.year) + after.month - start.month
        year, month = divmod(12 * start.year + start.month - 1 + max(0, past // months - 1) * months, 12)
        return start.replace(year=year, month=month + 1)


def parse_rule(where: str, text: str, start: datetime) -> RecurrenceRule:
    """Parse a rule of a window that starts at local time `start`.

    `where` names the window in errors.

    Raises
    ------
    WindowRuleUnreadableError, WindowRuleTooOftenError, WindowRuleTooLongError
        The rule is refused.
    """

    def unreadable(what: str) -> WindowRuleUnreadableError:
        """Return the error that names the rule."""
        return WindowRuleUnreadableError(f"{where}: rrule: {what}")

    pairs = _split(unreadable, text)
    frequency = _parse_frequency(where, unreadable, pairs.pop("FREQ", ""))
    interval = _parse_number(unreadable, "INTERVAL", pairs.pop("INTERVAL", "1"), 1, 10_000)
    count = _parse_number(unreadable, "COUNT", pairs.pop("COUNT"), 1, 10**9) if "COUNT" in pairs else None
    if count is not None and count > MAX_COUNT:
        raise WindowRuleTooLongError(f"{where}: rrule: COUNT={count}, {MAX_COUNT} are the most")
    until = _parse_until(unreadable, pairs.pop("UNTIL")) if "UNTIL" in pairs else None
    if count is not None and until is not None:
        raise unreadable("COUNT and UNTIL exclude each other")
    parts = _parse_parts(unreadable, frequency, pairs)
    openings = _openings_per_day(frequency, parts)
    if openings > MAX_OPENINGS_PER_DAY:
        what = f"{openings} openings a day, {MAX_OPENINGS_PER_DAY} are the most"
        raise WindowRuleTooOftenError(f"{where}: rrule: {what}")
    rule = RecurrenceRule(frequency, parts, interval, count, until, openings)
    try:
        rrule(FREQUENCIES[frequency], dtstart=start, interval=interval, **parts)
    except ValueError as error:  # hours that no interval ever comes to
        raise unreadable(str(error)) from None
    return rule


def _split(unreadable: _Unreadable, text: str) -> dict[str, str]:
    pairs: dict[str, str] = {}
    for part in text.split(";"):
        key, _, value = part.partition("=")
        if not value or key in pairs:
            raise unreadable(f"{part[:40]!r} is no part, or is there twice")
        pairs[key] = value
    return pairs


def _parse_frequency(where: str, unreadable: _Unreadable, text: str) -> str:
    if text in ("SECONDLY", "MINUTELY"):
        what = f"FREQ={text}, {MAX_OPENINGS_PER_DAY} openings a day are the most"
        raise WindowRuleTooOftenError(f"{where}: rrule: {what}")
    if text not in FREQUENCIES:
        raise unreadable(f"FREQ={text[:20]!r}, may be {', '.join(FREQUENCIES)}")
    return text


def _parse_parts(unreadable: _Unreadable, frequency: str, pairs: dict[str, str]) -> dict[str, Any]:
    """Return the arguments for `rrule` from WKST and the BY parts, which are taken out of `pairs`."""
    parts: dict[str, Any] = {}
    if "WKST" in pairs:
        week_start = pairs.pop("WKST")
        if week_start not in DAYS:
            raise unreadable(f"WKST={week_start[:20]!r}, may be {', '.join(DAYS)}")
        parts["wkst"] = DAYS.index(week_start)
    if "BYDAY" in pairs:
        parts["byweekday"] = _parse_days(unreadable, pairs.pop("BYDAY"), frequency, pairs)
    elif "BYWEEKNO" in pairs:
        raise unreadable("BYWEEKNO goes with BYDAY only")  # `rrule` would take all seven days
    for key, value in pairs.items():
        if key not in _LIST_PARTS:
            raise unreadable(f"{key[:20]!r} is no part")
        if frequency not in _LIST_PARTS[key].frequencies:
            allowed = " or ".join(_LIST_PARTS[key].frequencies)
            raise unreadable(f"{key} goes with FREQ={allowed} only")
        parts[key.lower()] = _parse_list(unreadable, key, value)
    if "bysetpos" in parts and len(parts) - ("wkst" in parts) == 1:
        raise unreadable("BYSETPOS goes with another BY part only")
    return parts


def _openings_per_day(frequency: str, parts: dict[str, Any]) -> int:
    openings = 1
    for key, default in (("byhour", 24 if frequency == "HOURLY" else 1), ("byminute", 1), ("bysecond", 1)):
        openings *= len(parts[key]) if key in parts else default
    return openings


def _parse_number(unreadable: _Unreadable, key: str, text: str, minimum: int, maximum: int) -> int:
    if not re.fullmatch(r"[+-]?\d{1,9}", text) or not minimum <= int(text) <= maximum:
        raise unreadable(f"{key}={text[:20]}, may be {minimum} to {maximum}")
    return int(text)


def _parse_list(unreadable: _Unreadable, key: str, text: str) -> tuple[int, ...]:
    minimum, maximum, from_end, _ = _LIST_PARTS[key]
    lowest = -maximum if from_end else minimum
    found = {_parse_number(unreadable, key, item, lowest, maximum) for item in text.split(",")}
    if (from_end and 0 in found) or len(found) > MAX_LIST_VALUES:
        what = f"counts from {minimum}, {MAX_LIST_VALUES} values are the most"
        raise unreadable(f"{key}={text[:20]}, {what}")
    return tuple(sorted(found))


def _parse_days(unreadable: _Unreadable, text: str, frequency: str, pairs: dict[str, str]) -> tuple[Any, ...]:
    days: list[Any] = []
    maximum = {"MONTHLY": 5, "YEARLY": 53}.get(frequency, 0)
    if "BYMONTH" in pairs or "BYWEEKNO" in pairs:
        maximum = min(maximum, 5 if "BYWEEKNO" not in pairs else 0)
    for item in text.split(","):
        match = re.fullmatch(r"([+-]?\d{1,2})?([A-Z]{2})", item)
        if match is None or match[2] not in DAYS:
            raise unreadable(f"BYDAY={item[:20]!r} is no weekday")
        if match[1] and not 1 <= abs(int(match[1])) <= maximum:
            what = "goes with FREQ=MONTHLY, 1 to 5, or YEARLY, 1 to 53, without BYWEEKNO"
            raise unreadable(f"BYDAY={item}: {what}")
        days.append(weekday(DAYS.index(match[2]), int(match[1]) if match[1] else None))
    if len({day.n is None for day in days}) > 1:
        # `rrule` would take what is in both.
        raise unreadable("BYDAY: with numbers and without is two rules")
    return tuple(days)


def _parse_until(unreadable: _Unreadable, text: str) -> float:
    try:
        return datetime.strptime(text, "%Y%m%dT%H%M%SZ").replace(tzinfo=UTC).timestamp()
    except ValueError:
        raise unreadable(f"UNTIL={text[:20]}, is written in UTC, as 20270101T000000Z") from None
