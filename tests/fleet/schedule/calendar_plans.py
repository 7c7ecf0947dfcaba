"""Windows and plans shared by the tests of the calendar."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

from hypothesis import strategies as st

from wheatring.fleet.plan.document import Plan, PlanRoute, PlanWindow
from wheatring.fleet.schedule.windows import openings

BASE = {"a": 90, "b": 10}


def window(name: str = "w", **fields: Any) -> PlanWindow:
    values = {"route": "r", "weights": {"b": 1}, "start": "2026-12-02T10:00:00", "length": 3600.0, **fields}
    return PlanWindow(name=name, **values)


def plan(*windows: PlanWindow) -> Plan:
    return Plan(format=3, routes=(PlanRoute(name="r", weights=BASE),), windows=windows)


def unix(text: str) -> float:
    return datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp()


def opens(one: PlanWindow, after: str, before: str) -> list[str]:
    found = openings(one, unix(after), unix(before))
    return [datetime.fromtimestamp(o.opens / 1e6, UTC).strftime("%m-%dT%H:%M") for o in found]


NIGHTLY = {"zone": "Europe/Dublin", "rrule": "FREQ=DAILY"}

# Rules, zones and starts near changes of the clocks.
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
