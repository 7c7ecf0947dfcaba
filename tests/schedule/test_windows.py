"""Windows: when they open, what is refused, and the timetable against a slow oracle."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from math import inf
from typing import Any
from zoneinfo import ZoneInfo

import pytest
from dateutil.rrule import rrulestr
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatring.plan.document import Plan, PlanRoute, PlanWindow, Ramp
from wheatring.schedule import errors
from wheatring.schedule.timetable import Timetable, blend
from wheatring.schedule.validation import validate_windows
from wheatring.schedule.windows import openings

BASE = {"a": 90, "b": 10}


def window(name: str = "w", **more: Any) -> PlanWindow:
    given = {"route": "r", "weights": {"b": 1}, "start": "2026-12-02T10:00:00", "length": 3600.0, **more}
    return PlanWindow(name=name, **given)


def plan(*windows: PlanWindow) -> Plan:
    return Plan(format=3, routes=(PlanRoute(name="r", weights=BASE),), windows=windows)


def unix(text: str) -> float:
    return datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp()


def opens(one: PlanWindow, after: str, before: str) -> list[str]:
    found = openings(one, unix(after), unix(before))
    return [datetime.fromtimestamp(o.opens / 1e6, UTC).strftime("%m-%dT%H:%M") for o in found]


NIGHTLY = {"zone": "Europe/Dublin", "rrule": "FREQ=DAILY"}


def test_a_repeated_half_past_one_is_the_first_of_the_two() -> None:
    night = window(start="2026-10-23T01:30:00", **NIGHTLY)
    assert opens(night, "2026-10-24", "2026-10-27") == ["10-24T00:30", "10-25T00:30", "10-26T01:30"]


def test_a_skipped_half_past_one_is_read_with_the_offset_before_the_gap() -> None:
    night = window(start="2026-03-01T01:30:00", **NIGHTLY)
    assert opens(night, "2026-03-28", "2026-03-31") == ["03-28T01:30", "03-29T01:30", "03-30T00:30"]


def test_an_hour_that_is_skipped_opens_once_and_not_twice() -> None:
    hourly = window(start="2026-03-29T00:00:00", length=60.0, zone="Europe/Dublin", rrule="FREQ=HOURLY")
    assert opens(hourly, "2026-03-29", "2026-03-29T03") == ["03-29T00:00", "03-29T01:00", "03-29T02:00"]
    validate_windows(plan(hourly))


def test_two_that_a_change_of_the_clocks_puts_out_of_order_open_in_order() -> None:
    rule = "FREQ=DAILY;BYHOUR=2;BYMINUTE=15,30"  # 02:00 to 02:30 is skipped
    two = window(start="2026-10-01T02:15:00", length=60.0, zone="Australia/Lord_Howe", rrule=rule)
    assert opens(two, "2026-10-03T12:00", "2026-10-04T12:00") == ["10-03T15:30", "10-03T15:45"]


def test_a_position_in_the_week_is_counted_from_its_begin_however_far_from_the_start() -> None:
    fourth = window(rrule="FREQ=WEEKLY;BYDAY=MO,TU,WE,TH,FR,SA;BYSETPOS=4")  # from a Wednesday on
    assert opens(fourth, "2026-12-11T12:00", "2026-12-18T12:00") == ["12-17T10:00"]


def test_length_is_real_seconds_through_a_change_of_the_clocks() -> None:
    table = Timetable(plan(window(start="2026-10-25T00:30:00", length=7200.0, zone="Europe/Dublin")))
    begin = unix("2026-10-24T23:30")
    assert [(e.at, e.weights) for e in table.changes(begin - 1, begin + 9000)] == [
        (begin, {"b": 1}),
        (begin + 7200, BASE),
    ]


def test_midnight_in_three_zones() -> None:
    for zone, first in (("Asia/Kathmandu", "18:15"), ("America/St_Johns", "03:30"), ("UTC", "00:00")):
        one = window(start="2026-01-05T00:00:00", zone=zone, rrule="FREQ=WEEKLY;BYDAY=MO")
        assert [at[-5:] for at in opens(one, "2026-01-04", "2026-01-11")] == [first]


def test_a_window_of_one_second_and_two_that_touch() -> None:
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


def test_a_step_takes_its_part_of_the_whole_whatever_weights_are_written_in() -> None:
    assert blend({"a": 90, "b": 10}, {"c": 2}, 1, 2) == {"a": 9, "b": 1, "c": 10}
    assert blend({"a": 1}, {"b": 1}, 1, 3) == {"a": 2, "b": 1}
    rounded = blend({"a": 999_983, "b": 999_979}, {"b": 3, "c": 999_961}, 1, 7)
    assert sum(rounded.values()) == 1_000_000 and rounded["c"] == 142_857


def test_a_ramp_shows_what_lies_below_by_what_is_left_of_it() -> None:
    ramp = window("top", priority=1, weights={"c": 1}, length=100.0, ramp=Ramp(steps=2, every=10.0))
    below = window("low", start="2026-12-02T10:00:05", weights={"b": 1}, length=90.0)
    at = unix("2026-12-02T10:00")
    steps = [(e.at - at, e.weights) for e in Timetable(plan(ramp, below)).changes(at - 1, at + 200)]
    assert steps == [
        (0, {"a": 9, "b": 1, "c": 10}),
        (5, {"b": 1, "c": 1}),
        (10, {"c": 1}),
        (90, {"b": 1, "c": 1}),
        (95, {"a": 9, "b": 1, "c": 10}),
        (100, BASE),
    ]


REFUSED: list[tuple[type[errors.WindowError], list[PlanWindow]]] = [
    (errors.WindowRouteUnknownError, [window(route="x")]),
    (errors.WindowNameDuplicateError, [window(), window()]),
    (errors.WindowWeightsEmptyError, [window(weights={"a": 0})]),
    (errors.WindowZoneUnknownError, [window(zone="Europe/Nowhere")]),
    (errors.WindowZoneUnknownError, [window(zone="../tzdata/zones")]),
    (errors.WindowStartUnreadableError, [window(start="2026-02-30T10:00:00")]),
    (errors.WindowStartUnreadableError, [window(start="9999-12-31T10:00:00")]),
    (errors.WindowRuleTooOftenError, [window(rrule="FREQ=SECONDLY")]),
    (errors.WindowRuleTooOftenError, [window(rrule="FREQ=HOURLY;BYMINUTE=0,10,20,30,40,50")]),
    (errors.WindowRuleTooLongError, [window(rrule="FREQ=DAILY;COUNT=100000")]),
    (errors.WindowRuleTooLongError, [window(rrule="FREQ=YEARLY;COUNT=200")]),
    (errors.WindowNeverOpensError, [window(rrule="FREQ=DAILY;BYMONTH=2;BYMONTHDAY=30")]),
    (errors.WindowNeverOpensError, [window(rrule="FREQ=YEARLY;BYWEEKNO=53;BYMONTH=6;BYDAY=MO")]),
    (errors.WindowNeverOpensError, [window(rrule="FREQ=HOURLY;BYMONTH=2;BYMONTHDAY=30")]),
    (errors.WindowNeverOpensError, [window(rrule="FREQ=DAILY;UNTIL=20200101T000000Z")]),
    (errors.WindowNeverOpensError, [window(except_=("2026-12-02T10:00:00",))]),
    (errors.WindowExceptionUnreadableError, [window(except_=("tomorrow",))]),
    (errors.WindowExceptionUnusedError, [window(rrule="FREQ=DAILY", except_=("2026-12-03T10:00:01",))]),
    (errors.WindowOverlapError, [window(), window("v", start="2026-12-02T10:59:59")]),
    (errors.WindowOverlapError, [window(length=90_000.0, rrule="FREQ=DAILY")]),
    (errors.WindowOverlapError, [window(rrule="FREQ=DAILY"), window("v", start="2030-01-01T10:30:00")]),
    (errors.WindowRampTooLongError, [window(ramp=Ramp(steps=11, every=180.0))]),
    (errors.WindowsTooManyStepsError, [window(str(n), rrule="FREQ=HOURLY;BYMINUTE=0,15,30,45", length=60.0,
                             ramp=Ramp(steps=100, every=0.1)) for n in range(2)]),
]  # fmt: skip
for text in (
    "DAILY", "FREQ=DAILY;FREQ=DAILY", "FREQ=DAILY;FOO=1", "FREQ=DAILY;INTERVAL=0", "FREQ=DAILY;BYHOUR=24",
    "FREQ=DAILY;UNTIL=20270101", "FREQ=DAILY;BYEASTER=0", "FREQ=DAILY;COUNT=2;UNTIL=20270101T000000Z",
    "RRULE:FREQ=DAILY", "FREQ=DAILY\nFREQ=DAILY", "FREQ=WEEKLY;BYDAY=1MO", "FREQ=MONTHLY;BYDAY=1MO,TU",
    "FREQ=DAILY;BYSETPOS=1", "FREQ=MONTHLY;BYMONTHDAY=0", "FREQ=HOURLY;INTERVAL=24;BYHOUR=5",
    "FREQ=FORTNIGHTLY", "FREQ=MONTHLY;BYDAY=53SU", "FREQ=YEARLY;BYMONTH=6;BYDAY=6MO",
    "FREQ=YEARLY;BYWEEKNO=9", "FREQ=HOURLY;BYHOUR=5",
):  # fmt: skip
    REFUSED.append((errors.WindowRuleUnreadableError, [window(rrule=text)]))


@pytest.mark.parametrize(("kind", "windows"), REFUSED)
def test_what_is_refused_and_why(kind: type[errors.WindowError], windows: list[PlanWindow]) -> None:
    with pytest.raises(errors.WindowError) as told:
        validate_windows(plan(*windows))
    assert type(told.value) is kind and "\n" not in str(told.value) and windows[0].name in str(told.value)


def test_windows_of_other_priorities_may_overlap_and_the_highest_counts() -> None:
    both = plan(window(), window("v", priority=2, weights={"c": 1}, length=60.0))
    validate_windows(both)
    noon = unix("2026-12-02T10:00")
    table = Timetable(both)
    assert [table.weights("r", noon + at) for at in (0, 59, 60)] == [{"c": 1}, {"c": 1}, {"b": 1}]
    assert table.weights("r", noon, frozenset({("v", noon)})) == {"b": 1}
    assert table.next_change(noon) == noon + 60 and table.next_change(noon + 1e6) == inf


RULES = st.sampled_from([
    "", "FREQ=DAILY", "FREQ=DAILY;INTERVAL=3;BYHOUR=1,13", "FREQ=WEEKLY;INTERVAL=2;BYDAY=TU,SA;WKST=SU",
        "FREQ=MONTHLY;BYDAY=-1SU", "FREQ=MONTHLY;INTERVAL=5", "FREQ=YEARLY;BYDAY=20MO",
    "FREQ=MONTHLY;BYMONTHDAY=-1,15", "FREQ=HOURLY;INTERVAL=7", "FREQ=YEARLY",
    "FREQ=HOURLY;BYMINUTE=15,45;BYDAY=SU", "FREQ=MONTHLY;BYDAY=MO,TU,WE,TH,FR;BYSETPOS=-1",
    "FREQ=DAILY;COUNT=400", "FREQ=WEEKLY;UNTIL=20261025T013000Z", "FREQ=DAILY;BYMONTH=3,10;BYHOUR=0,1,2,3",
    "FREQ=YEARLY;BYWEEKNO=13,44;BYDAY=SU", "FREQ=WEEKLY;BYDAY=MO,TU,WE,TH,FR,SA;BYSETPOS=4",
])  # fmt: skip
ZONES = st.sampled_from(["UTC", "Europe/Dublin", "America/New_York", "Australia/Lord_Howe", "Asia/Kathmandu"])
NEAR = st.sampled_from(["2026-03-28T22:00", "2026-10-24T20:00", "2026-04-04T12:00", "2026-12-31T00:00"])


@settings(max_examples=150, deadline=None)
@given(RULES, ZONES, NEAR, st.integers(0, 2000), st.integers(0, 86_399))
def test_openings_are_all_that_the_rule_names(rule: str, zone: str, near: str, ago: int, sec: int) -> None:
    """The oracle: the rule from its very start, by the library alone, each local time by the two offsets."""
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


def slow(one: Plan, at: float) -> dict[str, float]:
    """Shares at an instant: each window by itself, the highest last, as a fraction of the whole."""
    shares = {name: weight / 100 for name, weight in BASE.items()}
    for w in sorted(one.windows, key=lambda w: w.priority):
        for o in openings(w, at - w.length - 1, at + 1):
            since, left = at - o.opens / 1e6, o.closes / 1e6 - at
            if since >= 0 and left > 0:
                part, steps = 1.0, w.ramp.steps if w.ramp else 1
                for k in range(1, steps):
                    if w.ramp and (since < k * w.ramp.every or left <= (steps - k) * w.ramp.every):
                        part = min(part, (k if since < k * w.ramp.every else steps - k) / steps)
                own = {name: weight / sum(w.weights.values()) for name, weight in w.weights.items()}
                shares = {n: shares.get(n, 0) * (1 - part) + own.get(n, 0) * part for n in {*shares, *own}}
    return shares


ramps = st.none() | st.builds(Ramp, steps=st.integers(2, 5), every=st.integers(1, 30).map(float))
drawn = st.builds(
    lambda start, length, priority, weights, ramp, rule: window(
        f"w{priority}", start=f"2026-12-02T23:{start:02}:00", length=float(length), priority=priority,
        weights=weights, rrule=rule, ramp=ramp if ramp and 2 * ramp.every * ramp.steps < length else None,
    ),
    st.integers(0, 59), st.integers(1, 900), st.integers(0, 5),
    st.dictionaries(st.sampled_from("abc"), st.integers(1, 50), min_size=1),
    ramps, st.sampled_from(["", "FREQ=DAILY", "FREQ=HOURLY"]),
)  # fmt: skip


@settings(max_examples=15, deadline=None)
@given(st.lists(drawn, min_size=1, max_size=4, unique_by=lambda w: w.name), st.integers(0, 59))
def test_the_timetable_second_by_second_is_what_the_oracle_says(drawn: list[PlanWindow], minute: int) -> None:
    validate_windows(one := plan(*drawn))
    table = Timetable(one)
    begin = unix("2026-12-02T23:00") + 60 * minute
    edges = {edge.at: edge.weights for edge in table.changes(begin - 1, begin + 250)}
    now = table.weights("r", begin - 1)
    for second in range(250):
        at = begin + second
        now = edges.get(at, now)
        weights = table.weights("r", at)
        assert weights == now
        if second % 11 == 0 or at in edges:
            wanted = slow(one, at)
            total = sum(weights.values())
            for name in wanted:
                assert abs(weights.get(name, 0) / total - wanted[name]) < 5e-6
