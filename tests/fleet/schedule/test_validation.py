"""Rejection of invalid windows."""

from __future__ import annotations

import pytest

from tests.fleet.schedule.calendar_plans import plan, window
from wheatring.fleet.plan.document import PlanWindow, Ramp
from wheatring.fleet.schedule import errors
from wheatring.fleet.schedule.validation import validate_windows

REJECTED: list[tuple[type[errors.WindowError], list[PlanWindow]]] = [
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
    REJECTED.append((errors.WindowRuleUnreadableError, [window(rrule=text)]))


@pytest.mark.parametrize(("kind", "windows"), REJECTED)
def test_an_invalid_window_raises_its_error(
    kind: type[errors.WindowError], windows: list[PlanWindow]
) -> None:
    with pytest.raises(errors.WindowError) as error:
        validate_windows(plan(*windows))
    assert type(error.value) is kind and "\n" not in str(error.value) and windows[0].name in str(error.value)
