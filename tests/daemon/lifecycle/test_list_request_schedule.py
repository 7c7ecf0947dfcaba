"""The schedule of list requests, against a discovery service that answers one call at a time."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.lab.direct.direct_world import CallRecorder, Time
from wheatring.daemon.lifecycle import list_request_schedule
from wheatring.daemon.lifecycle.list_request_schedule import ListRequestSchedule
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.endpoint_list_history import RegisteredNode
from wheatring.lab.models.list_request import ListReply, ListRequest
from wheatring.lab.plan import DiscoveryPlan

LINES = 10


class Fleet:
    """Sidecars that start simultaneously without a list, and a service that answers `rate` calls a second.

    Time is virtual; the service becomes available at `opens`.
    """

    def __init__(self, sidecar_count: int, rate: float, seed: int, opens: float = 0.0) -> None:
        self.time = Time(0.0)
        plan = DiscoveryPlan(lines_per_s=rate * LINES, call_lines=LINES - 1, spread=0.0)
        self.registry = Registry(plan, self.time, lambda: 0.0, Random(seed), CallRecorder())
        self.registry.register(RegisteredNode("n", "127.0.0.1:1"))
        if opens:
            self.time.at(opens, self.registry.begin_fault("down"))
        self.schedules = [
            ListRequestSchedule(sidecar_count, n, 10.0, Random(f"{seed}:{n}"), 0.0)
            for n in range(sidecar_count)
        ]
        self.calls: list[float] = []
        self.began: dict[int, float] = {}
        self.failed = 0
        self.answered: dict[int, float] = {}
        for n in range(sidecar_count):
            self.schedule_call(n)

    def schedule_call(self, n: int) -> None:
        self.time.at(self.schedules[n].next_call_at(self.time.now()), self.call, n)

    def call(self, n: int) -> None:
        now = self.time.now()
        self.calls.append(now)
        self.began[n] = now

        def ended(answer: ListReply | None) -> None:
            if answer is not None:
                self.answered[n] = self.time.now()
            else:
                self.failed += 1
                self.retry(n, now)

        call = self.registry.request_list(str(n), None, 0.0, ended)
        self.time.at(now + self.schedules[n].draw_timeout(), self.time_out, n, call)

    def time_out(self, n: int, call: ListRequest) -> None:
        if not call.is_over:
            call.cancel()
            self.retry(n, self.began[n])

    def retry(self, n: int, began: float) -> None:
        self.schedules[n].call_failed(self.time.now(), self.time.now() - began)
        self.schedule_call(n)

    def busiest(self, since: float, span: float = 1.0) -> int:
        """Return the greatest number of calls within any `span` seconds from `since` on."""
        after = [at for at in self.calls if at >= since]
        return max([sum(at <= other < at + span for other in after) for at in after], default=0)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_call_rate_of_200_sidecars_adapts_to_a_service_of_5_calls_a_second(seed: int) -> None:
    fleet = Fleet(200, 5.0, seed)
    fleet.time.run(400.0)
    answered_at = sorted(fleet.answered.values())
    assert len(answered_at) == 200
    assert answered_at[189] < 1.3 * 40  # 95 % of the sidecars; 40 s is the minimum for all
    assert fleet.failed < 0.2 * 200
    assert fleet.busiest(since=3.0) <= 3 * 5 + 5  # three times the service rate, and a random excess


@pytest.mark.parametrize("rate", [2.0, 5.0, 20.0, 100.0])
@pytest.mark.parametrize("sidecar_count", [1, 20, 200])
def test_all_sidecars_get_their_list_at_any_service_rate(sidecar_count: int, rate: float) -> None:
    fleet = Fleet(sidecar_count, rate, 7)
    fleet.time.run(1000.0)
    assert len(fleet.answered) == sidecar_count
    assert max(fleet.answered.values()) < 10 + 4 * sidecar_count / rate + sidecar_count / 4


def test_no_storm_of_calls_meets_a_service_that_returns_after_a_minute() -> None:
    fleet = Fleet(200, 2.5, 5, opens=60.0)
    fleet.time.run(600.0)
    assert len(fleet.answered) == 200
    assert fleet.busiest(since=70.0, span=10.0) <= 2 * 25
    assert sum(at >= 60.0 for at in fleet.calls) < 3 * 200


@given(st.integers(1, 1000), st.integers(0, 999), st.booleans(), st.data())
def test_a_sidecar_with_a_list_calls_within_the_required_time(
    sidecar_count: int, sidecar_index: int, answered: bool, data: st.DataObject
) -> None:
    """Within 10 s of the start and within 40 s of a failure, whatever happened before."""
    schedule = ListRequestSchedule(sidecar_count, sidecar_index, 10.0, Random(sidecar_index), 100.0)
    schedule.start(100.0, has_list=True)
    now = schedule.next_call_at(100.0)
    assert 100.0 <= now < 110.0
    if answered:
        schedule.call_answered()
    for _ in range(8):
        took = data.draw(st.floats(0.0, 60.0))
        now += took
        schedule.call_failed(now, took, data.draw(st.none() | st.floats(0.0, 5.0)))
        assert now < schedule.next_call_at(now) < now + 40.0
        now = schedule.next_call_at(now)


@given(st.integers(2, 500))
def test_sidecars_without_a_list_call_before_those_with_one(sidecar_count: int) -> None:
    without_list = [ListRequestSchedule(sidecar_count, n, 10.0, Random(n), 0.0) for n in range(sidecar_count)]
    with_list = [ListRequestSchedule(sidecar_count, n, 10.0, Random(n), 0.0) for n in range(sidecar_count)]
    for schedule in with_list:
        schedule.start(0.0, has_list=True)
    assert (
        max(schedule.next_call_at(0.0) for schedule in without_list)
        <= min(schedule.next_call_at(0.0) for schedule in with_list) + 1e-9
    )


def test_a_single_sidecar_calls_without_long_waits() -> None:
    schedule = ListRequestSchedule(1, 0, 10.0, Random(1), 0.0)
    assert (
        schedule.next_call_at(0.0) < 0.1
        and schedule.draw_timeout() == list_request_schedule.MAX_QUEUE_SECONDS
    )
    now = 0.0
    for _ in range(12):
        now = schedule.next_call_at(now) + list_request_schedule.MAX_QUEUE_SECONDS
        schedule.call_failed(now)
        assert schedule.next_call_at(now) - now <= 2 * list_request_schedule.MAX_MIN_ROUND_SECONDS
