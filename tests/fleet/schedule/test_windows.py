"""Openings of windows, in particular around clock changes."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from math import inf
from zoneinfo import ZoneInfo

from dateutil.rrule import rrulestr
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fleet.schedule.calendar_plans import BASE, NEAR, NIGHTLY, RULES, ZONES, opens, plan, unix, window
from wheatring.fleet.schedule.timetable import Timetable
from wheatring.fleet.schedule.validation import validate_windows
from wheatring.fleet.schedule.windows import openings


def test_a_local_time_that_occurs_twice_opens_at_the_first_one() -> None:
    night = window(start="2026-10-23T01:30:00", **NIGHTLY)
    assert opens(night, "2026-10-24", "2026-10-27") == ["10-24T00:30", "10-25T00:30", "10-26T01:30"]


def test_a_skipped_local_time_uses_the_offset_before_the_gap() -> None:
    night = window(start="2026-03-01T01:30:00", **NIGHTLY)
    assert opens(night, "2026-03-28", "2026-03-31") == ["03-28T01:30", "03-29T01:30", "03-30T00:30"]


def test_an_hourly_window_opens_once_for_a_skipped_hour() -> None:
    hourly = window(start="2026-03-29T00:00:00", length=60.0, zone="Europe/Dublin", rrule="FREQ=HOURLY")
    assert opens(hourly, "2026-03-29", "2026-03-29T03") == ["03-29T00:00", "03-29T01:00", "03-29T02:00"]
    validate_windows(plan(hourly))


def test_openings_that_a_clock_change_reorders_are_sorted_by_instant() -> None:
    rule = "FREQ=DAILY;BYHOUR=2;BYMINUTE=15,30"  # 02:00 to 02:30 is skipped
    two = window(start="2026-10-01T02:15:00", length=60.0, zone="Australia/Lord_Howe", rrule=rule)
    assert opens(two, "2026-10-03T12:00", "2026-10-04T12:00") == ["10-03T15:30", "10-03T15:45"]


def test_bysetpos_counts_from_the_start_of_the_week_far_from_the_first_opening() -> None:
    fourth = window(rrule="FREQ=WEEKLY;BYDAY=MO,TU,WE,TH,FR,SA;BYSETPOS=4")  # from a Wednesday on
    assert opens(fourth, "2026-12-11T12:00", "2026-12-18T12:00") == ["12-17T10:00"]


def test_length_is_elapsed_time_across_a_clock_change() -> None:
    table = Timetable(plan(window(start="2026-10-25T00:30:00", length=7200.0, zone="Europe/Dublin")))
    begin = unix("2026-10-24T23:30")
    assert [(e.at, e.weights) for e in table.changes(begin - 1, begin + 9000)] == [
        (begin, {"b": 1}),
        (begin + 7200, BASE),
    ]


def test_local_midnight_in_three_zones() -> None:
    for zone, first in (("Asia/Kathmandu", "18:15"), ("America/St_Johns", "03:30"), ("UTC", "00:00")):
        one = window(start="2026-01-05T00:00:00", zone=zone, rrule="FREQ=WEEKLY;BYDAY=MO")
        assert [at[-5:] for at in opens(one, "2026-01-04", "2026-01-11")] == [first]


def test_adjacent_windows_do_not_overlap() -> None:
    noon, later = unix("2026-12-02T10:00"), window("v", start="2026-12-02T10:00:01", weights={"c": 1})
    table = Timetable(both := plan(window(length=1.0), later))
    validate_windows(both)
    found = [table.weights("r", noon + at) for at in (-0.001, 0, 0.999, 1)]
    assert found == [BASE, {"b": 1}, {"b": 1}, {"c": 1}]


def test_exceptions_and_until_and_count() -> None:
    five = window(rrule="FREQ=DAILY;COUNT=5", except_=("2026-12-04T10:00:00",))
    assert opens(five, "2026-12-01", "2027-01-01") == [f"12-0{day}T10:00" for day in (2, 3, 5, 6)]
    until = window(zone="America/New_York", rrule="FREQ=DAILY;UNTIL=20261204T150000Z")
    assert opens(until, "2026-12-01", "2027-01-01") == [f"12-0{day}T15:00" for day in (2, 3, 4)]


@settings(max_examples=150, deadline=None)
@given(RULES, ZONES, NEAR, st.integers(0, 2000), st.integers(0, 86_399))
def test_openings_equal_all_occurrences_of_the_rule(
    rule: str, zone: str, near: str, ago: int, sec: int
) -> None:
    """The oracle evaluates the rule from its start with `dateutil` and converts each local time."""
    start = (datetime(2026, 10, 25) - timedelta(days=ago) + timedelta(seconds=sec)).replace(microsecond=0)
    one = window(start=start.isoformat(), zone=zone, rrule=rule)
    after = unix(near)
    before = after + 3 * 86400
    until = datetime(2027, 2, 1)
    text, _, bound = rule.partition(";UNTIL=")
    named = rrulestr(text, dtstart=start).between(start, until, inc=True) if rule else [start]
    last = datetime.strptime(bound, "%Y%m%dT%H%M%SZ").replace(tzinfo=UTC).timestamp() if bound else inf
    instants = {round(local.replace(tzinfo=ZoneInfo(zone)).timestamp()) for local in named}
    wanted = sorted(at for at in instants if after <= at < before and at <= last)
    assert [o.opens // 1_000_000 for o in openings(one, after, before)] == wanted
