"""Recurrence rules (RFC 5545 3.3.10), parsed strictly and evaluated at a bounded cost.

`dateutil.rrule` computes the occurrences of a rule, but it accepts more than the RFC, and it searches until
the year 9999 for a rule without occurrences. This module accepts only rules that RFC 5545 allows, checks the
range of each part, and limits the number of days that are searched.
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

MAX_OPENINGS_PER_DAY = 96  # limit for one window: one opening every 15 minutes
MAX_COUNT = 1000
MAX_LIST_VALUES = 96  # limit for one part of a rule
WEEKDAYS = ("MO", "TU", "WE", "TH", "FR", "SA", "SU")
FREQUENCIES = {"YEARLY": YEARLY, "MONTHLY": MONTHLY, "WEEKLY": WEEKLY, "DAILY": DAILY, "HOURLY": HOURLY}

_Unreadable = Callable[[str], WindowRuleUnreadableError]  # creates the error with the window's name


class _ListPart(NamedTuple):
    """A part whose value is a list of numbers; with `from_end`, negative numbers count from the end."""

    minimum: int
    maximum: int
    from_end: bool
    frequencies: tuple[str, ...]  # the frequencies that allow this part


# RFC 5545 also allows BYYEARDAY, BYHOUR and BYSETPOS with HOURLY; such a rule can be written with YEARLY or
# DAILY and BYHOUR.
_MONTH_DAY_FREQUENCIES = ("YEARLY", "MONTHLY", "DAILY", "HOURLY")
_DAILY_OR_LONGER = ("YEARLY", "MONTHLY", "WEEKLY", "DAILY")
_LIST_PARTS = {
    "BYMONTH": _ListPart(1, 12, False, tuple(FREQUENCIES)),
    "BYWEEKNO": _ListPart(1, 53, True, ("YEARLY",)),
    "BYYEARDAY": _ListPart(1, 366, True, ("YEARLY",)),
    "BYMONTHDAY": _ListPart(1, 31, True, _MONTH_DAY_FREQUENCIES),
    "BYHOUR": _ListPart(0, 23, False, _DAILY_OR_LONGER),
    "BYMINUTE": _ListPart(0, 59, False, tuple(FREQUENCIES)),
    "BYSECOND": _ListPart(0, 59, False, tuple(FREQUENCIES)),
    "BYSETPOS": _ListPart(1, 366, True, _DAILY_OR_LONGER),
}


class SearchLimitError(Exception):
    """The search for occurrences reached its limit of days."""


class _LimitedTuple(tuple[int, ...]):
    """Months or weekdays with a limit on lookups: `rrule` makes one for each day that it searches."""

    remaining: int = 0

    def __contains__(self, value: object) -> bool:
        self.remaining -= 1
        if self.remaining < 0:
            raise SearchLimitError
        return super().__contains__(value)


class RecurrenceRule(NamedTuple):
    """A parsed rule.

    `parts` are keyword arguments for `rrule`, `count_limit` is the COUNT, `until_unix` is the UNTIL in Unix
    seconds, and `openings_per_day` is an upper bound.
    """

    frequency: str
    parts: dict[str, Any]
    interval: int
    count_limit: int | None
    until_unix: float | None
    openings_per_day: int

    def occurrences(self, start: datetime, after: datetime, before: datetime) -> Iterator[datetime]:
        """Yield the local times of the rule from `start` on: all after `after`, and possibly earlier ones.

        `start` itself is included only if it is an occurrence of the rule.

        Raises
        ------
        SearchLimitError
            The search reached its limit, which covers the time up to `before` and a reserve, as `rrule`
            always searches whole years.
        """
        if self.count_limit is None and after > start:
            start = self._later_start(start, after)
        occurrences = rrule(
            FREQUENCIES[self.frequency],
            dtstart=start,
            interval=self.interval,
            count=self.count_limit,
            **self.parts,
        )
        # `rrule` first tests each day's month or, without months, its weekday (except for BYWEEKNO).
        if occurrences._bymonth:
            occurrences._bymonth = limited = _LimitedTuple(occurrences._bymonth)
        else:
            occurrences._byweekday = limited = _LimitedTuple(occurrences._byweekday or range(7))
        days = max(0, (before - start).days) + 2 * 366
        limited.remaining = 24 * days if self.frequency == "HOURLY" else days
        yield from occurrences

    def _later_start(self, start: datetime, after: datetime) -> datetime:
        """Return `start` advanced by whole intervals, so that the distant past is not searched.

        The values that `rrule` takes from the start (month, day, weekday, time) do not change, except for the
        hour of an hourly rule, which `rrule` does not use. One more interval is kept before `after`, because
        positions within the week of the start are counted from the start.
        """
        unit_hours = {"WEEKLY": 7 * 24, "DAILY": 24, "HOURLY": 1}.get(self.frequency)
        if unit_hours is not None:
            period = timedelta(hours=unit_hours * self.interval)
            return start + max(0, (after - start) // period - 1) * period
        if start.day > 28:
            return start  # not all months have this day
        months = self.interval * (12 if self.frequency == "YEARLY" else 1)
        elapsed = 12 * (after.year - start.year) + after.month - start.month
        year, month = divmod(12 * start.year + start.month - 1 + max(0, elapsed // months - 1) * months, 12)
        return start.replace(year=year, month=month + 1)


def parse_rule(where: str, text: str, start: datetime) -> RecurrenceRule:
    """Parse the rule of a window that starts at local time `start`.

    `where` identifies the window in errors.

    Raises
    ------
    WindowRuleUnreadableError, WindowRuleTooOftenError, WindowRuleTooLongError
        The rule is rejected.
    """

    def unreadable(what: str) -> WindowRuleUnreadableError:
        """Return an error that identifies the window."""
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
    except ValueError as error:  # BYHOUR values that the interval never reaches
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
    """Return the keyword arguments for `rrule` from WKST and the BY parts in `pairs`."""
    parts: dict[str, Any] = {}
    if "WKST" in pairs:
        week_start = pairs.pop("WKST")
        if week_start not in WEEKDAYS:
            raise unreadable(f"WKST={week_start[:20]!r}, may be {', '.join(WEEKDAYS)}")
        parts["wkst"] = WEEKDAYS.index(week_start)
    if "BYDAY" in pairs:
        parts["byweekday"] = _parse_days(unreadable, pairs.pop("BYDAY"), frequency, pairs)
    elif "BYWEEKNO" in pairs:
        raise unreadable("BYWEEKNO goes with BYDAY only")  # `rrule` would select all seven days
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
    values = {_parse_number(unreadable, key, item, lowest, maximum) for item in text.split(",")}
    if (from_end and 0 in values) or len(values) > MAX_LIST_VALUES:
        what = f"counts from {minimum}, {MAX_LIST_VALUES} values are the most"
        raise unreadable(f"{key}={text[:20]}, {what}")
    return tuple(sorted(values))


def _parse_days(unreadable: _Unreadable, text: str, frequency: str, pairs: dict[str, str]) -> tuple[Any, ...]:
    days: list[Any] = []
    maximum = {"MONTHLY": 5, "YEARLY": 53}.get(frequency, 0)
    if "BYMONTH" in pairs or "BYWEEKNO" in pairs:
        maximum = min(maximum, 5 if "BYWEEKNO" not in pairs else 0)
    for item in text.split(","):
        match = re.fullmatch(r"([+-]?\d{1,2})?([A-Z]{2})", item)
        if match is None or match[2] not in WEEKDAYS:
            raise unreadable(f"BYDAY={item[:20]!r} is no weekday")
        if match[1] and not 1 <= abs(int(match[1])) <= maximum:
            what = "goes with FREQ=MONTHLY, 1 to 5, or YEARLY, 1 to 53, without BYWEEKNO"
            raise unreadable(f"BYDAY={item}: {what}")
        days.append(weekday(WEEKDAYS.index(match[2]), int(match[1]) if match[1] else None))
    if len({day.n is None for day in days}) > 1:
        # `rrule` would select only the days in both.
        raise unreadable("BYDAY: with numbers and without is two rules")
    return tuple(days)


def _parse_until(unreadable: _Unreadable, text: str) -> float:
    try:
        return datetime.strptime(text, "%Y%m%dT%H%M%SZ").replace(tzinfo=UTC).timestamp()
    except ValueError:
        raise unreadable(f"UNTIL={text[:20]}, is written in UTC, as 20270101T000000Z") from None
