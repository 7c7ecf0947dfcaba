"""The timetable by which sidecars ask for the list, before a service that answers one call at a time."""

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
    """So many sidecars, started at once with no list, before a service of `rate` calls a second.

    Time is virtual; the service opens at `opens`.
    """

    def __init__(self, copies: int, rate: float, seed: int, opens: float = 0.0) -> None:
        self.time = Time(0.0)
        plan = DiscoveryPlan(lines_per_s=rate * LINES, call_lines=LINES - 1, spread=0.0)
        self.registry = Registry(plan, self.time, lambda: 0.0, Random(seed), CallRecorder())
        self.registry.register(RegisteredNode("n", "127.0.0.1:1"))
        if opens:
            self.time.at(opens, self.registry.begin_fault("down"))
        self.fleet = [ListRequestSchedule(copies, n, 10.0, Random(f"{seed}:{n}"), 0.0) for n in range(copies)]
        self.calls: list[float] = []
        self.began: dict[int, float] = {}
        self.failed = 0
        self.answered: dict[int, float] = {}
        for n in range(copies):
            self.wait(n)

    def wait(self, n: int) -> None:
        self.time.at(self.fleet[n].next_call_at(self.time.now()), self.call, n)

    def call(self, n: int) -> None:
        now = self.time.now()
        self.calls.append(now)
        self.began[n] = now

        def ended(answer: ListReply | None) -> None:
            if answer is not None:
                self.answered[n] = self.time.now()
            else:
                self.failed += 1
                self.again(n, now)

        call = self.registry.request_list(str(n), None, 0.0, ended)
        self.time.at(now + self.fleet[n].draw_patience(), self.leave, n, call)

    def leave(self, n: int, call: ListRequest) -> None:
        if not call.is_over:
            call.cancel()
            self.again(n, self.began[n])

    def again(self, n: int, began: float) -> None:
        self.fleet[n].call_failed(self.time.now(), self.time.now() - began)
        self.wait(n)

    def busiest(self, since: float, span: float = 1.0) -> int:
        """Return the number of calls in the busiest span from then on."""
        after = [at for at in self.calls if at >= since]
        return max([sum(at <= other < at + span for other in after) for at in after], default=0)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_hundred_sidecars_without_a_list_settle_at_five_calls_a_second(seed: int) -> None:
    fleet = Fleet(200, 5.0, seed)
    fleet.time.run(400.0)
    ends = sorted(fleet.answered.values())
    assert len(ends) == 200
    assert ends[189] < 1.3 * 40  # of all but a few; 40 s is the least there is
    assert fleet.failed < 0.2 * 200
    assert fleet.busiest(since=3.0) <= 3 * 5 + 5  # three times what it takes, and what chance adds


@pytest.mark.parametrize("rate", [2.0, 5.0, 20.0, 100.0])
@pytest.mark.parametrize("copies", [1, 20, 200])
def test_all_get_their_list_whatever_the_service_can_take(copies: int, rate: float) -> None:
    fleet = Fleet(copies, rate, 7)
    fleet.time.run(1000.0)
    assert len(fleet.answered) == copies
    assert max(fleet.answered.values()) < 10 + 4 * copies / rate + copies / 4


def test_the_service_back_after_a_minute_sees_no_storm() -> None:
    fleet = Fleet(200, 2.5, 5, opens=60.0)
    fleet.time.run(600.0)
    assert len(fleet.answered) == 200
    assert fleet.busiest(since=70.0, span=10.0) <= 2 * 25
    assert sum(at >= 60.0 for at in fleet.calls) < 3 * 200


@given(st.integers(1, 1000), st.integers(0, 999), st.booleans(), st.data())
def test_the_rule_on_asking_is_kept_by_who_holds_a_list(
    copies: int, number: int, answered: bool, data: st.DataObject
) -> None:
    """Within ten seconds from the start, and within forty of a failure, whatever came before."""
    one = ListRequestSchedule(copies, number, 10.0, Random(number), 100.0)
    one.start(100.0, holds=True)
    now = one.next_call_at(100.0)
    assert 100.0 <= now < 110.0
    if answered:
        one.call_answered()
    for _ in range(8):
        took = data.draw(st.floats(0.0, 60.0))
        now += took
        one.call_failed(now, took, data.draw(st.none() | st.floats(0.0, 5.0)))
        assert now < one.next_call_at(now) < now + 40.0
        now = one.next_call_at(now)


@given(st.integers(2, 500))
def test_those_with_nothing_to_go_by_ask_first(copies: int) -> None:
    with_none = [ListRequestSchedule(copies, n, 10.0, Random(n), 0.0) for n in range(copies)]
    holders = [ListRequestSchedule(copies, n, 10.0, Random(n), 0.0) for n in range(copies)]
    for one in holders:
        one.start(0.0, holds=True)
    assert (
        max(one.next_call_at(0.0) for one in with_none)
        <= min(one.next_call_at(0.0) for one in holders) + 1e-9
    )


def test_what_a_single_sidecar_waits_is_no_longer_than_before() -> None:
    one = ListRequestSchedule(1, 0, 10.0, Random(1), 0.0)
    assert one.next_call_at(0.0) < 0.1 and one.draw_patience() == list_request_schedule.MAX_PATIENCE_SECONDS
    now = 0.0
    for _ in range(12):
        now = one.next_call_at(now) + list_request_schedule.MAX_PATIENCE_SECONDS
        one.call_failed(now)
        assert one.next_call_at(now) - now <= 2 * list_request_schedule.MAX_MIN_ROUND_SECONDS
