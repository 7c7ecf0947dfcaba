"""Rules of recurrence, RFC 5545 3.3.10, read strictly and walked at a bounded cost.

`dateutil.rrule` knows which days a rule names, but it reads what it likes and searches to the year 9999 for a
rule that names none. This file guards both: only what RFC 5545 allows is let through, each part within its
range, and the days that are looked at are counted.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple

from dateutil.rrule import DAILY, HOURLY, MONTHLY, WEEKLY, YEARLY, rrule, weekday

from wheatring.schedule.errors import (
    WindowRuleTooLongError,
    WindowRuleTooOftenError,
    WindowRuleUnreadableError,
)

MAX_OPENINGS_PER_DAY = 96  # openings of one window: one in a quarter of an hour
MAX_COUNT = 1000
MAX_LIST_VALUES = 96  # values of one part
DAYS = ("MO", "TU", "WE", "TH", "FR", "SA", "SU")
FREQUENCIES = {"YEARLY": YEARLY, "MONTHLY": MONTHLY, "WEEKLY": WEEKLY, "DAILY": DAILY, "HOURLY": HOURLY}

# Least, most, whether below 0 counts from the end, and with which frequencies. RFC 5545 takes BYYEARDAY also
# with HOURLY, and BYHOUR and BYSETPOS; such a rule can be had with YEARLY or DAILY and BYHOUR.
_DATED = ("YEARLY", "MONTHLY", "DAILY", "HOURLY")
_DAYS = ("YEARLY", "MONTHLY", "WEEKLY", "DAILY")
_LISTS: dict[str, tuple[int, int, bool, tuple[str, ...]]] = {
    "BYMONTH": (1, 12, False, tuple(FREQUENCIES)),
    "BYWEEKNO": (1, 53, True, ("YEARLY",)),
    "BYYEARDAY": (1, 366, True, ("YEARLY",)),
    "BYMONTHDAY": (1, 31, True, _DATED),
    "BYHOUR": (0, 23, False, _DAYS),
    "BYMINUTE": (0, 59, False, tuple(FREQUENCIES)),
    "BYSECOND": (0, 59, False, tuple(FREQUENCIES)),
    "BYSETPOS": (1, 366, True, _DAYS),
}


class SearchLimitError(Exception):
    """So many days were looked at, and no more are."""


class _Counted(tuple[int, ...]):
    """A set of months or weekdays that `rrule` asks once for each day, so that days can be counted."""

    left: int = 0

    def __contains__(self, value: object) -> bool:
        self.left -= 1
        if self.left < 0:
            raise SearchLimitError
        return super().__contains__(value)


class RecurrenceRule(NamedTuple):
    """`parts`: what `rrule` is made with. `times`: its COUNT. `until`: Unix seconds. `a_day`: openings in one
    day at most.
    """

    frequency: str
    parts: dict[str, Any]
    interval: int
    count_limit: int | None
    until_unix: float | None
    openings_per_day: int

    def occurrences(self, start: datetime, after: datetime, before: datetime) -> Iterator[datetime]:
        """Local times that the rule names, from a `start` on: all that are after `after`, and maybe some
        before. A `start` that the rule does not name itself is none of them. Raises `Searched` once as many
        days were looked at as there are up to `before` and some; a year is looked at whole.
        """
        if self.count_limit is None and after > start:
            start = self._nearer(start, after)
        made = rrule(
            FREQUENCIES[self.frequency],
            dtstart=start,
            interval=self.interval,
            count=self.count_limit,
            **self.parts,
        )
        # Months are asked for first, and where there are none, weekdays are, unless it is a week of the year.
        if made._bymonth:
            made._bymonth = counted = _Counted(made._bymonth)
        else:
            made._byweekday = counted = _Counted(made._byweekday or range(7))
        days = max(0, (before - start).days) + 2 * 366
        counted.left = 24 * days if self.frequency == "HOURLY" else days
        yield from made

    def _nearer(self, start: datetime, after: datetime) -> datetime:
        """A start that is later by whole intervals, so that what is long past is not walked through. What
        `rrule` takes from the start (month, day, weekday, time) stays the same but for the hour of an hourly
        rule, which is none of it. One interval is kept before, as positions in the week of the start itself
        are counted from the start.
        """
        unit = {"WEEKLY": 7 * 24, "DAILY": 24, "HOURLY": 1}.get(self.frequency)
        if unit is not None:
            whole = timedelta(hours=unit * self.interval)
            return start + max(0, (after - start) // whole - 1) * whole
        if start.day > 28:
            return start  # which not all months have
        months = self.interval * (12 if self.frequency == "YEARLY" else 1)
        past = 12 * (after.year - start.year) + after.month - start.month
        year, month = divmod(12 * start.year + start.month - 1 + max(0, past // months - 1) * months, 12)
        return start.replace(year=year, month=month + 1)


def parse_rule(where: str, text: str, start: datetime) -> RecurrenceRule:
    """Raises RuleUnreadable, RuleTooOften, RuleTooLong; `where` names the window in them."""

    def bad(what: str) -> WindowRuleUnreadableError:
        return WindowRuleUnreadableError(f"{where}: rrule: {what}")

    pairs: dict[str, str] = {}
    for part in text.split(";"):
        key, _, value = part.partition("=")
        if not value or key in pairs:
            raise bad(f"{part[:40]!r} is no part, or is there twice")
        pairs[key] = value
    frequency = pairs.pop("FREQ", "")
    if frequency in ("SECONDLY", "MINUTELY"):
        raise WindowRuleTooOftenError(
            f"{where}: rrule: FREQ={frequency}, {MAX_OPENINGS_PER_DAY} openings a day are the most"
        )
    if frequency not in FREQUENCIES:
        raise bad(f"FREQ={frequency[:20]!r}, may be {', '.join(FREQUENCIES)}")
    interval = _number(bad, "INTERVAL", pairs.pop("INTERVAL", "1"), 1, 10_000)
    count = _number(bad, "COUNT", pairs.pop("COUNT"), 1, 10**9) if "COUNT" in pairs else None
    if count is not None and count > MAX_COUNT:
        raise WindowRuleTooLongError(f"{where}: rrule: COUNT={count}, {MAX_COUNT} are the most")
    until = _until(bad, pairs.pop("UNTIL")) if "UNTIL" in pairs else None
    if count is not None and until is not None:
        raise bad("COUNT and UNTIL exclude each other")
    parts: dict[str, Any] = {}
    if "WKST" in pairs:
        week = pairs.pop("WKST")
        if week not in DAYS:
            raise bad(f"WKST={week[:20]!r}, may be {', '.join(DAYS)}")
        parts["wkst"] = DAYS.index(week)
    if "BYDAY" in pairs:
        parts["byweekday"] = _days(bad, pairs.pop("BYDAY"), frequency, pairs)
    elif "BYWEEKNO" in pairs:
        raise bad("BYWEEKNO goes with BYDAY only")  # `rrule` would take all seven days
    for key, value in pairs.items():
        if key not in _LISTS:
            raise bad(f"{key[:20]!r} is no part")
        least, most, back, with_ = _LISTS[key]
        if frequency not in with_:
            raise bad(f"{key} goes with FREQ={' or '.join(with_)} only")
        parts[key.lower()] = _list(bad, key, value, least, most, back)
    if "bysetpos" in parts and len(parts) - ("wkst" in parts) == 1:
        raise bad("BYSETPOS goes with another BY part only")
    a_day = 1
    for key, given in (("byhour", 24 if frequency == "HOURLY" else 1), ("byminute", 1), ("bysecond", 1)):
        a_day *= len(parts[key]) if key in parts else given
    if a_day > MAX_OPENINGS_PER_DAY:
        raise WindowRuleTooOftenError(
            f"{where}: rrule: {a_day} openings a day, {MAX_OPENINGS_PER_DAY} are the most"
        )
    rule = RecurrenceRule(frequency, parts, interval, count, until, a_day)
    try:
        rrule(FREQUENCIES[frequency], dtstart=start, interval=interval, **parts)
    except ValueError as error:  # hours that no interval ever comes to
        raise bad(str(error)) from None
    return rule


def _number(bad: Any, key: str, text: str, least: int, most: int) -> int:
    if not re.fullmatch(r"[+-]?\d{1,9}", text) or not least <= int(text) <= most:
        raise bad(f"{key}={text[:20]}, may be {least} to {most}")
    return int(text)


def _list(bad: Any, key: str, text: str, least: int, most: int, back: bool) -> tuple[int, ...]:
    found = {_number(bad, key, one, -most if back else least, most) for one in text.split(",")}
    if (back and 0 in found) or len(found) > MAX_LIST_VALUES:
        raise bad(f"{key}={text[:20]}, counts from {least}, {MAX_LIST_VALUES} values are the most")
    return tuple(sorted(found))


def _days(bad: Any, text: str, frequency: str, pairs: dict[str, str]) -> tuple[Any, ...]:
    days: list[Any] = []
    most = {"MONTHLY": 5, "YEARLY": 53}.get(frequency, 0)
    if "BYMONTH" in pairs or "BYWEEKNO" in pairs:
        most = min(most, 5 if "BYWEEKNO" not in pairs else 0)
    for one in text.split(","):
        match = re.fullmatch(r"([+-]?\d{1,2})?([A-Z]{2})", one)
        if match is None or match[2] not in DAYS:
            raise bad(f"BYDAY={one[:20]!r} is no weekday")
        if match[1] and not 1 <= abs(int(match[1])) <= most:
            raise bad(f"BYDAY={one}: goes with FREQ=MONTHLY, 1 to 5, or YEARLY, 1 to 53, without BYWEEKNO")
        days.append(weekday(DAYS.index(match[2]), int(match[1]) if match[1] else None))
    if len({day.n is None for day in days}) > 1:
        raise bad("BYDAY: with numbers and without is two rules")  # `rrule` would take what is in both
    return tuple(days)


def _until(bad: Any, text: str) -> float:
    try:
        return datetime.strptime(text, "%Y%m%dT%H%M%SZ").replace(tzinfo=UTC).timestamp()
    except ValueError:
        raise bad(f"UNTIL={text[:20]}, is written in UTC, as 20270101T000000Z") from None
