"""Entering and leaving of windows: cases of one sidecar, and random days of several with planted faults."""

from __future__ import annotations

from datetime import UTC, datetime
from math import inf
from random import Random
from typing import Any, Literal

import pytest

from wheatring.fleet.plan.document import Plan, PlanRoute, PlanWindow, Ramp
from wheatring.fleet.schedule import activation as module
from wheatring.fleet.schedule.activation import (
    ACTIVATION_DELAY_SECONDS,
    CONFIRMATION_SECONDS,
    START_TIMEOUT_SECONDS,
    ScheduleUpdate,
    WeightSchedule,
)
from wheatring.fleet.schedule.fleet_clock import UNKNOWN, Reading
from wheatring.fleet.schedule.timetable import Timetable

T0 = 1_800_000_000.0  # Unix seconds at the start of a case, when the monotonic clock is 0
BASE, INSIDE = {"a": 1}, {"b": 1}


def window(
    name: str, opens: float, length: float, when_cut: Literal["follow", "hold"] = "follow", **more: Any
) -> PlanWindow:
    start = datetime.fromtimestamp(T0 + opens, UTC).strftime("%Y-%m-%dT%H:%M:%S")
    values = {"route": "r", "weights": INSIDE, "start": start, "length": length, "when_cut": when_cut, **more}
    return PlanWindow(name=name, **values)


def table(*windows: PlanWindow) -> Timetable:
    return Timetable(Plan(format=3, routes=(PlanRoute(name="r", weights=BASE),), windows=windows))


class ScheduledMember:
    """A sidecar that updates its weights when due; its time is exact, with a configurable uncertainty."""

    def __init__(self, *windows: PlanWindow) -> None:
        self.schedule = WeightSchedule(0.0)
        self.schedule.plan_committed(0.0, 1, table(*windows), T0 - 100)
        self.due = 0.0
        self.confirmed = inf  # time of the last confirmation at most; -inf for none
        self.uncertain = 0.01
        self.changes: list[tuple[float, dict[str, int]]] = []
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def poll(self, now: float) -> ScheduleUpdate:
        time = Reading(T0 + now, self.uncertain) if self.uncertain < inf else UNKNOWN
        update = self.schedule.update(now, time, now - min(now, self.confirmed))
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


def test_a_window_is_entered_and_left_on_time_with_few_updates() -> None:
    member = ScheduledMember(window("w", 30, 10))
    assert member.run(100).changes == [(0, BASE), (30, INSIDE), (40, BASE)]
    assert [fields["late_s"] for fields in member.events("window-left")] == [0.0]
    polls = [0.0]
    while polls[-1] < 140:
        polls.append(member.poll(polls[-1] + 100).due - 100)
    assert len(polls) < 40


def test_a_sidecar_that_starts_in_a_window_applies_it_before_it_is_ready() -> None:
    member = ScheduledMember(window("w", -10, 100))
    member.uncertain = inf
    member.run(START_TIMEOUT_SECONDS - 1)
    assert not member.schedule.is_ready and not member.changes
    member.uncertain = 0.01
    member.run(START_TIMEOUT_SECONDS)
    assert member.schedule.is_ready and [weights for _, weights in member.changes] == [INSIDE]


def test_a_sidecar_without_the_time_serves_base_weights_until_the_time_is_known() -> None:
    member = ScheduledMember(window("w", -10, 100))
    member.uncertain = inf
    member.run(START_TIMEOUT_SECONDS + 1)
    assert member.schedule.is_ready and member.changes == [(START_TIMEOUT_SECONDS, BASE)]
    assert member.lines[-1] == ("weights-by-base", {"without": "time", "plan": 1})
    member.uncertain = 0.01
    member.run(START_TIMEOUT_SECONDS + 2)
    assert member.changes[-1][1] == INSIDE


def test_a_partitioned_sidecar_enters_follow_windows_and_recently_confirmed_hold_windows() -> None:
    member = ScheduledMember(
        window("f", 30, 10), window("h", 50, 10, "hold"), window("later", 70, 10, "hold", priority=1)
    )
    member.confirmed = 50 - CONFIRMATION_SECONDS + 0.1
    member.run(100)
    assert [fields["window"] for fields in member.events("window-entered")] == ["f", "h"]
    assert member.events("window-not-entered") == [
        {"window": "later", "plan": 1, "why": "the plan is not confirmed"}
    ]
    assert member.changes[-1] == (60, BASE)


def test_a_late_confirmation_enters_the_window_with_its_current_weights() -> None:
    member = ScheduledMember(window("h", 30, 60, "hold", ramp=Ramp(steps=3, every=5.0)))
    member.confirmed = 5
    member.run(50)
    assert member.changes == [(0, BASE)]
    member.confirmed = inf
    member.run(60)
    assert member.changes[1][1] == INSIDE and member.events("window-entered")[0]["late_s"] == 20


def test_with_uncertain_time_no_window_is_entered_and_open_ones_are_left_at_the_close() -> None:
    member = ScheduledMember(window("w", 10, 30), window("v", 50, 10))
    member.run(20)
    member.uncertain = 0.3
    member.run(100)
    assert member.changes == [(0, BASE), (10, INSIDE), (40, BASE)]
    assert member.events("window-not-entered") == [{"window": "v", "plan": 1, "why": "the time is unsure"}]


def test_a_stalled_sidecar_applies_all_missed_steps_at_once() -> None:
    member = ScheduledMember(
        window("w", 30, 100, ramp=Ramp(steps=5, every=4.0)), window("missed", 20, 5, priority=1)
    )
    member.run(19)
    member.due = 39.0
    member.run(39)
    assert [weights for _, weights in member.changes[1:]] == [{"a": 2, "b": 3}]


def test_a_window_that_opens_during_the_activation_delay_is_entered_after_it_and_logged() -> None:
    member = ScheduledMember(window("old", 12, 20))
    member.run(10)
    member.schedule.plan_committed(10.0, 2, table(window("new", 16, 60, weights={"c": 1})), T0 + 10)
    member.run(100)
    assert member.changes == [(0, BASE), (12, INSIDE), (10 + ACTIVATION_DELAY_SECONDS, {"c": 1}), (76, BASE)]
    assert member.events("window-inside-lead") == [{"window": "new", "plan": 2, "late_s": 9.0}]


def test_two_plans_within_one_activation_delay_take_effect_in_order() -> None:
    member = ScheduledMember()
    member.run(10)
    for number, at in ((2, 10.0), (3, 14.0), (2, 15.0)):
        weights = {"r": {str(number): 1}}
        timetable = table()
        timetable.base = weights
        member.schedule.plan_committed(at, number, timetable, T0 + at)
    member.run(100)
    assert member.changes == [
        (0, BASE),
        (10 + ACTIVATION_DELAY_SECONDS, {"2": 1}),
        (14 + ACTIVATION_DELAY_SECONDS, {"3": 1}),
    ]


def test_a_wrong_commit_time_does_not_extend_the_activation_delay() -> None:
    member = ScheduledMember()
    member.run(10)
    timetable = table()
    timetable.base = {"r": {"c": 1}}
    member.schedule.plan_committed(10.0, 2, timetable, T0 + 1e6)
    assert member.run(60).changes[1][0] < 10 + ACTIVATION_DELAY_SECONDS + 6


class Member:
    def __init__(self, day: Day, random: Random) -> None:
        self.day, self.random = day, random
        self.time_error = random.uniform(-0.2, 0.2)  # error of its time while it is sure
        self.sure_seconds = random.uniform(10, 150)  # seconds of a partition after which its time is unsure
        self.partitions = sorted(random.uniform(0, 400) for _ in range(4))
        self.stop_times = sorted(random.uniform(0, 400) for _ in range(2))
        self.schedule = WeightSchedule(0.0)
        self.due = 0.0
        self.reported = 0.0
        self.version = 0  # version of its newest plan
        self.stamp = (-inf, 0)  # its time, and its plan's version
        self.confirmed: list[tuple[float, int]] = []
        self.since = 0.0  # when it was last partitioned, stopped or started

    def partitioned_for(self, now: float) -> float:
        """Return for how long it has been partitioned."""
        return max(
            [now - a for a, b in (self.partitions[:2], self.partitions[2:]) if a <= now < b], default=0.0
        )

    def stopped(self, now: float) -> bool:
        return self.stop_times[0] <= now < min(self.stop_times[1], self.stop_times[0] + 40)

    def reading(self, now: float) -> Reading:
        unsure = self.partitioned_for(now) > self.sure_seconds
        self.reported = max(self.reported, T0 + now + self.time_error * (3 if unsure else 1))
        return Reading(self.reported, 0.7 if unsure else 0.21)

    def poll(self, now: float) -> None:
        if not self.partitioned_for(now):
            number, since, plan = max(one for one in self.day.plans if one[1] <= now)
            stamped_at = float(int(now))
            if stamped_at >= since:
                self.stamp = (stamped_at, number)
            if number > self.version and now > since + self.random.uniform(0, 2):
                self.version = number
                self.schedule.plan_committed(now, number, plan, T0 + since)
        if self.stamp[1] == self.version:
            self.confirmed.append((self.stamp[0], self.version))
        age = now - self.stamp[0] if self.stamp[1] == self.version else inf
        self.due = min(self.schedule.update(now, self.reading(now), age).due, now + 1.0)


class Day:
    """400 s of several sidecars with random windows, plan changes, partitions and stops."""

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
            at += random.uniform(ACTIVATION_DELAY_SECONDS + 5, 120)
        self.edges = {one[1] + ACTIVATION_DELAY_SECONDS for one in self.plans}
        for _, _, plan in self.plans:
            self.edges |= {edge for one in plan.windows.values() for edge in self.edges_of(one.definition)}
        self.members = [Member(self, random) for _ in range(6)]
        self.entered: set[tuple[int, tuple[str, float]]] = set()
        self.shared = 0

    @staticmethod
    def edges_of(one: PlanWindow) -> tuple[float, float]:
        opens = datetime.fromisoformat(one.start).replace(tzinfo=UTC).timestamp() - T0
        return opens, opens + one.length

    def run(self) -> Day:
        for tick in range(4000):
            now = tick / 10
            for index, member in enumerate(self.members):
                if member.stopped(now) or member.partitioned_for(now):
                    member.since = now
                if not member.stopped(now):
                    while member.due <= now:
                        member.poll(max(member.due, now - 0.1))
                    self.check(index, member, now)
            self.check_equal_weights(now)
        return self

    def check(self, index: int, member: Member, now: float) -> None:
        for key, opened in member.schedule.entered.items():
            last = opened.closes - T0 + member.reading(now).uncertainty + 0.2
            assert now <= last, f"{now}: not left: {key}"
            if opened.hold and (index, key) not in self.entered:
                least = opened.opens - T0 - CONFIRMATION_SECONDS - 0.4
                is_confirmed = any(
                    at >= least for at, number in member.confirmed if number >= member.schedule.plan_version
                )
                assert is_confirmed, f"{now}: {key} entered unconfirmed"
                self.entered.add((index, key))

    def check_equal_weights(self, now: float) -> None:
        """Check that all connected, running members have equal weights, except within 0.5 s of an edge."""
        if any(abs(now - edge) < 0.5 for edge in self.edges):
            return
        in_force_at = max(one[1] for one in self.plans if one[1] <= now) + ACTIVATION_DELAY_SECONDS
        connected = [member for member in self.members if now - member.since > 3]
        connected = [
            member
            for member in connected
            if member.since < in_force_at - ACTIVATION_DELAY_SECONDS or now > in_force_at
        ]
        assert len({repr(member.schedule.weights) for member in connected}) <= 1, f"{now}: weights differ"
        self.shared += len(connected) > 1 and "a" not in connected[0].schedule.weights["r"]


SEEDS = range(8)


def test_in_random_days_windows_are_left_on_time_entered_if_confirmed_and_weights_are_equal() -> None:
    days = [Day(seed).run() for seed in SEEDS]
    assert sum(len(day.entered) for day in days) > 50 and sum(day.shared for day in days) > 2000


def keep_weights(self: WeightSchedule, now: float, time: Reading, age: float, lines: list[Any]) -> Any:
    """Keep the weights while the time is unsure."""
    return WANTED_WEIGHTS(self, now, time, age, lines) if time.is_sure else self.weights


WANTED_WEIGHTS = WeightSchedule._wanted_weights
FAULTS: list[tuple[Any, str, Any, str]] = [
    (module, "CONFIRMATION_SECONDS", 1e6, "unconfirmed"),
    (module, "ACTIVATION_DELAY_SECONDS", -5.0, "weights differ"),
    (WeightSchedule, "_wanted_weights", keep_weights, "not left"),
]


@pytest.mark.parametrize(("of", "name", "fault", "found"), FAULTS)
def test_random_days_detect_planted_faults(
    monkeypatch: pytest.MonkeyPatch, of: Any, name: str, fault: Any, found: str
) -> None:
    monkeypatch.setattr(of, name, fault)
    with pytest.raises(AssertionError, match=found):
        for seed in SEEDS:
            Day(seed).run()
