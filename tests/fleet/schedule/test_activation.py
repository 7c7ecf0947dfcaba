"""Who enters which window when: cases of one sidecar, and drawn days of several with a planted fault."""

from __future__ import annotations

from datetime import UTC, datetime
from math import inf
from random import Random
from typing import Any, Literal

import pytest

from wheatring.fleet.plan.document import Plan, PlanRoute, PlanWindow, Ramp
from wheatring.fleet.schedule import activation as module
from wheatring.fleet.schedule.activation import (
    CONFIRMATION_SECONDS,
    LEAD_SECONDS,
    START_SECONDS,
    ScheduleUpdate,
    WeightSchedule,
)
from wheatring.fleet.schedule.fleet_clock import UNKNOWN, Reading
from wheatring.fleet.schedule.timetable import Timetable

T0 = 1_800_000_000.0  # Unix seconds at which a case begins; its own clock reads 0 then
BASE, INSIDE = {"a": 1}, {"b": 1}


def window(
    name: str, opens: float, length: float, when_cut: Literal["follow", "hold"] = "follow", **more: Any
) -> PlanWindow:
    start = datetime.fromtimestamp(T0 + opens, UTC).strftime("%Y-%m-%dT%H:%M:%S")
    given = {"route": "r", "weights": INSIDE, "start": start, "length": length, "when_cut": when_cut, **more}
    return PlanWindow(name=name, **given)


def table(*windows: PlanWindow) -> Timetable:
    return Timetable(Plan(format=3, routes=(PlanRoute(name="r", weights=BASE),), windows=windows))


class ScheduledMember:
    """A sidecar that looks whenever it is due, with a time that is right unless told otherwise."""

    def __init__(self, *windows: PlanWindow) -> None:
        self.edges = WeightSchedule(0.0)
        self.edges.plan_committed(0.0, 1, table(*windows), T0 - 100)
        self.due = 0.0
        self.confirmed = inf  # no later than this; -inf: never
        self.uncertain = 0.01
        self.changes: list[tuple[float, dict[str, int]]] = []
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def poll(self, now: float) -> ScheduleUpdate:
        time = Reading(T0 + now, self.uncertain) if self.uncertain < inf else UNKNOWN
        update = self.edges.update(now, time, now - min(now, self.confirmed))
        self.changes += [(round(now, 2), weights) for weights in update.changed.values()]
        self.lines += [(line.event, line.fields) for line in update.events]
        self.due = update.due
        return update

    def run(self, until: float) -> ScheduledMember:
        while self.due <= until:
            self.poll(self.due)
        return self

    def events(self, event: str) -> list[dict[str, Any]]:
        return [fields for name, fields in self.lines if name == event]


def test_it_enters_and_leaves_by_the_calendar_with_few_polls() -> None:
    one = ScheduledMember(window("w", 30, 10))
    assert one.run(100).changes == [(0, BASE), (30, INSIDE), (40, BASE)]
    assert [fields["late_s"] for fields in one.events("window-left")] == [0.0]
    polls = [0.0]
    while polls[-1] < 140:
        polls.append(one.poll(polls[-1] + 100).due - 100)
    assert len(polls) < 40


def test_who_starts_in_a_window_is_in_it_before_it_is_ready() -> None:
    one = ScheduledMember(window("w", -10, 100))
    one.uncertain = inf
    one.run(START_SECONDS - 1)
    assert not one.edges.is_ready and not one.changes
    one.uncertain = 0.01
    one.run(START_SECONDS)
    assert one.edges.is_ready and [weights for _, weights in one.changes] == [INSIDE]


def test_who_starts_without_the_time_serves_the_base_says_so_and_enters_once_it_knows() -> None:
    one = ScheduledMember(window("w", -10, 100))
    one.uncertain = inf
    one.run(START_SECONDS + 1)
    assert one.edges.is_ready and one.changes == [(START_SECONDS, BASE)]
    assert one.lines[-1] == ("weights-by-base", {"without": "time", "plan": 1})
    one.uncertain = 0.01
    one.run(START_SECONDS + 2)
    assert one.changes[-1][1] == INSIDE


def test_cut_off_follow_goes_on_and_hold_enters_only_what_was_confirmed_within_the_lease() -> None:
    one = ScheduledMember(
        window("f", 30, 10), window("h", 50, 10, "hold"), window("later", 70, 10, "hold", priority=1)
    )
    one.confirmed = 50 - CONFIRMATION_SECONDS + 0.1
    one.run(100)
    assert [fields["window"] for fields in one.events("window-entered")] == ["f", "h"]
    assert one.events("window-not-entered") == [
        {"window": "later", "plan": 1, "why": "the plan is not confirmed"}
    ]
    assert one.changes[-1] == (60, BASE)


def test_a_member_confirmed_again_enters_late_and_completely() -> None:
    one = ScheduledMember(window("h", 30, 60, "hold", ramp=Ramp(steps=3, every=5.0)))
    one.confirmed = 5
    one.run(50)
    assert one.changes == [(0, BASE)]
    one.confirmed = inf
    one.run(60)
    assert one.changes[1][1] == INSIDE and one.events("window-entered")[0]["late_s"] == 20


def test_unsure_it_enters_nothing_and_leaves_at_the_close() -> None:
    one = ScheduledMember(window("w", 10, 30), window("v", 50, 10))
    one.run(20)
    one.uncertain = 0.3
    one.run(100)
    assert one.changes == [(0, BASE), (10, INSIDE), (40, BASE)]
    assert one.events("window-not-entered") == [{"window": "v", "plan": 1, "why": "the time is unsure"}]


def test_a_member_that_was_delayed_takes_all_missed_steps_together() -> None:
    one = ScheduledMember(
        window("w", 30, 100, ramp=Ramp(steps=5, every=4.0)), window("missed", 20, 5, priority=1)
    )
    one.run(19)
    one.due = 39.0
    one.run(39)
    assert [weights for _, weights in one.changes[1:]] == [{"a": 2, "b": 3}]


def test_a_change_inside_the_lead_takes_effect_after_it_and_says_so() -> None:
    one = ScheduledMember(window("old", 12, 20))
    one.run(10)
    one.edges.plan_committed(10.0, 2, table(window("new", 16, 60, weights={"c": 1})), T0 + 10)
    one.run(100)
    assert one.changes == [(0, BASE), (12, INSIDE), (10 + LEAD_SECONDS, {"c": 1}), (76, BASE)]
    assert one.events("window-inside-lead") == [{"window": "new", "plan": 2, "late_s": 9.0}]


def test_two_plans_within_one_lead_come_into_force_one_after_the_other() -> None:
    one = ScheduledMember()
    one.run(10)
    for number, at in ((2, 10.0), (3, 14.0), (2, 15.0)):
        weights = {"r": {str(number): 1}}
        made = table()
        made.base = weights
        one.edges.plan_committed(at, number, made, T0 + at)
    one.run(100)
    assert one.changes == [(0, BASE), (10 + LEAD_SECONDS, {"2": 1}), (14 + LEAD_SECONDS, {"3": 1})]


def test_a_wrongly_reported_commit_delays_no_plan_for_longer_than_a_lead() -> None:
    one = ScheduledMember()
    one.run(10)
    made = table()
    made.base = {"r": {"c": 1}}
    one.edges.plan_committed(10.0, 2, made, T0 + 1e6)
    assert one.run(60).changes[1][0] < 10 + LEAD_SECONDS + 6


class Member:
    def __init__(self, day: Day, random: Random) -> None:
        self.day, self.random = day, random
        self.wrong = random.uniform(-0.2, 0.2)  # by so much its time is, as long as it is sure
        self.patience = random.uniform(10, 150)  # seconds cut off after which it is not
        self.cut = sorted(random.uniform(0, 400) for _ in range(4))
        self.stop = sorted(random.uniform(0, 400) for _ in range(2))
        self.edges = WeightSchedule(0.0)
        self.due = 0.0
        self.told = 0.0
        self.number = 0  # of the newest plan that it has
        self.stamp = (-inf, 0)  # when minted, and its plan's number
        self.confirmed: list[tuple[float, int]] = []
        self.since = 0.0  # when it was last cut off, stopped or started

    def off(self, now: float) -> float:
        """For how long it has been cut off."""
        return max([now - a for a, b in (self.cut[:2], self.cut[2:]) if a <= now < b], default=0.0)

    def stopped(self, now: float) -> bool:
        return self.stop[0] <= now < min(self.stop[1], self.stop[0] + 40)

    def reading(self, now: float) -> Reading:
        unsure = self.off(now) > self.patience
        self.told = max(self.told, T0 + now + self.wrong * (3 if unsure else 1))
        return Reading(self.told, 0.7 if unsure else 0.21)

    def poll(self, now: float) -> None:
        if not self.off(now):
            number, since, plan = max(one for one in self.day.plans if one[1] <= now)
            minted = float(int(now))
            if minted >= since:
                self.stamp = (minted, number)
            if number > self.number and now > since + self.random.uniform(0, 2):
                self.number = number
                self.edges.plan_committed(now, number, plan, T0 + since)
        if self.stamp[1] == self.number:
            self.confirmed.append((self.stamp[0], self.number))
        age = now - self.stamp[0] if self.stamp[1] == self.number else inf
        self.due = min(self.edges.update(now, self.reading(now), age).due, now + 1.0)


class Day:
    """400 s of several sidecars: drawn windows, changes of the plan, cuts and stops."""

    def __init__(self, seed: int) -> None:
        random = Random(seed)
        self.plans: list[tuple[int, float, Timetable]] = []
        windows: list[PlanWindow] = []
        at = -20.0
        for number in range(1, 6):
            for _ in range(3):
                begin, kind = random.randint(int(at), int(at) + 150), random.choice(["follow", "hold"])
                name = f"{kind}{len(windows)}-{number}"
                more = {"priority": 10 * number + len(windows), "weights": {name: 1}}
                windows.append(window(name, begin, random.randint(10, 60), kind, **more))  # type: ignore[arg-type]
            windows = random.sample(windows, k=min(len(windows), 5))
            self.plans.append((number, at, table(*windows)))
            at += random.uniform(LEAD_SECONDS + 5, 120)
        self.edges = {one[1] + LEAD_SECONDS for one in self.plans}
        for _, _, plan in self.plans:
            self.edges |= {edge for one in plan.windows.values() for edge in self.ends(one.plan)}
        self.members = [Member(self, random) for _ in range(6)]
        self.entered: set[tuple[int, tuple[str, float]]] = set()
        self.shared = 0

    @staticmethod
    def ends(one: PlanWindow) -> tuple[float, float]:
        opens = datetime.fromisoformat(one.start).replace(tzinfo=UTC).timestamp() - T0
        return opens, opens + one.length

    def run(self) -> Day:
        for tick in range(4000):
            now = tick / 10
            for index, one in enumerate(self.members):
                if one.stopped(now) or one.off(now):
                    one.since = now
                if not one.stopped(now):
                    while one.due <= now:
                        one.poll(max(one.due, now - 0.1))
                    self.check(index, one, now)
            self.alike(now)
        return self

    def check(self, index: int, one: Member, now: float) -> None:
        for key, opened in one.edges.entered.items():
            last = opened.closes - T0 + one.reading(now).uncertainty + 0.2
            assert now <= last, f"{now}: left behind in {key}"
            if opened.hold and (index, key) not in self.entered:
                least = opened.opens - T0 - CONFIRMATION_SECONDS - 0.4
                held = any(at >= least for at, number in one.confirmed if number >= one.edges.plan_version)
                assert held, f"{now}: {key} entered unconfirmed"
                self.entered.add((index, key))

    def alike(self, now: float) -> None:
        """All that are neither cut off nor held up have one set of weights, but within 0.5 s of an edge."""
        if any(abs(now - edge) < 0.5 for edge in self.edges):
            return
        lead = max(one[1] for one in self.plans if one[1] <= now) + LEAD_SECONDS
        well = [one for one in self.members if now - one.since > 3]
        well = [one for one in well if one.since < lead - LEAD_SECONDS or now > lead]
        assert len({repr(one.edges.weights) for one in well}) <= 1, f"{now}: not alike"
        self.shared += len(well) > 1 and "a" not in well[0].edges.weights["r"]


SEEDS = range(8)


def test_drawn_days_nobody_is_left_behind_nobody_enters_unconfirmed_and_all_are_alike() -> None:
    days = [Day(seed).run() for seed in SEEDS]
    assert sum(len(day.entered) for day in days) > 50 and sum(day.shared for day in days) > 2000


def stays(self: WeightSchedule, now: float, time: Reading, age: float, lines: list[Any]) -> Any:
    """While it is unsure it does nothing."""
    return WANTED(self, now, time, age, lines) if time.is_sure else self.weights


WANTED = WeightSchedule._wanted_weights
FAULTS: list[tuple[Any, str, Any, str]] = [
    (module, "CONFIRMATION_SECONDS", 1e6, "unconfirmed"),
    (module, "LEAD_SECONDS", -5.0, "not alike"),
    (WeightSchedule, "_wanted_weights", stays, "left behind"),
]


@pytest.mark.parametrize(("of", "name", "fault", "found"), FAULTS)
def test_the_drawn_days_find_planted_faults(
    monkeypatch: pytest.MonkeyPatch, of: Any, name: str, fault: Any, found: str
) -> None:
    monkeypatch.setattr(of, name, fault)
    with pytest.raises(AssertionError, match=found):
        for seed in SEEDS:
            Day(seed).run()
