"""The deadline of the next list request, compared with the platform's rules on notifications.

The oracle simulates outages in small time steps: discovery answers, refuses or hangs, and watches are reset
or stop responding. At each step it checks every change that the sidecar does not know yet.
"""

from __future__ import annotations

from math import inf
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.conftest import Copy, entries
from wheatring.balancer import interface as i
from wheatring.daemon.http1.discovery_client import CONNECT_TIMEOUT_SECONDS, WATCH_WAIT_SECONDS
from wheatring.daemon.lifecycle import list_request_schedule
from wheatring.daemon.lifecycle.freshness import Freshness
from wheatring.daemon.lifecycle.list_request_schedule import ListRequestSchedule
from wheatring.daemon.lifecycle.notification_deadline import (
    ANSWER_SECONDS,
    HANGING_CALL_SECONDS,
    RETRY_WITHIN_SECONDS,
    NotificationDeadline,
)

STEP = 0.1
ANSWER_AFTER = 0.3  # seconds until an accepted call is answered or begins to wait for changes
Outage = tuple[float, float, str]


class Oracle:
    """One sidecar that has a list, of `sidecar_count`, and a discovery service with outages."""

    def __init__(
        self, sidecar_count: int, sidecar_index: int, outages: list[Outage], within: float, seed: int
    ) -> None:
        self.outages = outages
        self.within = within
        self.asking = ListRequestSchedule(sidecar_count, sidecar_index, within, Random(seed), 0.0)
        self.freshness = Freshness(sidecar_count, sidecar_index, Random(seed), 0.0, self.asking.notification)
        self.asking.start(0.0, has_list=True)
        self.freshness.list_changed(0.0, {"n": True}, True)
        self.watch: float | None = None  # when it began
        self.silent = False
        self.next = self.asking.next_call_at(0.0)
        self.pending: tuple[float, str, float] | None = None  # the pending call: start, fault, end
        self.failed = False  # a call has failed, and none has been accepted since
        self.known = 0.0  # all changes up to this time are known

    def fault_at(self, now: float) -> str:
        return next((kind for begin, end, kind in self.outages if begin <= now < end), "")

    def step(self, now: float) -> None:
        fault = self.fault_at(now)
        if self.watch is not None and not self.silent:
            if fault == "hangs":
                self.silent = True  # permanently: whatever is written is lost
            elif fault == "refuses":
                self.lose_watch(now, self.watch, True)
            else:
                self.known = now
        if self.pending is not None and now >= self.pending[2]:
            self.end(now)
        has_watch = self.watch is not None
        due = self.freshness.next_ask_at(now) if has_watch else self.next
        if self.pending is None and now >= due:
            if has_watch:
                self.freshness.ask_sent(now)
            ends = now + {"refuses": 0.0, "hangs": CONNECT_TIMEOUT_SECONDS}.get(fault, ANSWER_AFTER)
            self.pending = now, fault, ends

    def end(self, now: float) -> None:
        assert self.pending is not None
        (call_began_at, call_fault, _), self.pending = self.pending, None
        if call_fault or self.fault_at(now):
            self.failed = True
            if self.watch is not None:
                self.freshness.ask_failed(now)
            else:
                self.lose_watch(now, call_began_at, call_fault != "hangs")
            return
        self.failed = self.silent = False
        self.watch = self.known = now
        self.asking.call_answered()
        self.asking.notification.call_answered(now)
        self.asking.notification.call_accepted(now, WATCH_WAIT_SECONDS)
        self.freshness.watch_started(now)

    def lose_watch(self, now: float, call_began_at: float, was_sent: bool) -> None:
        self.watch = None
        self.failed = True
        self.freshness.watch_stopped()
        self.asking.notification.call_dropped()
        self.asking.call_failed(now, now - call_began_at, was_sent=was_sent, can_wait=True)
        self.next = self.asking.next_call_at(now)

    def notified_at(self, changed: float, now: float) -> float:
        """Return when a change counts as notified in the current state; it is extended after an outage."""
        if self.fault_at(now):
            return inf
        back = max([changed, *(end for _, end, _ in self.outages if end <= now)])
        if self.failed:
            return back + 6.0
        if self.watch is not None:
            return max(back + 6.0, self.watch + WATCH_WAIT_SECONDS + 2.0)
        return changed + self.within


SPANS = st.tuples(st.floats(1.0, 90.0), st.floats(0.1, 25.0), st.sampled_from(["refuses", "hangs"]))


@settings(max_examples=25)
@given(st.integers(1, 300), st.data(), st.lists(SPANS, max_size=4), st.integers(0, 1000))
def test_no_change_counts_as_notified_before_it_is_known(
    sidecar_count: int, data: st.DataObject, spans: list[tuple[float, float, str]], seed: int
) -> None:
    sidecar_index = data.draw(st.integers(0, sidecar_count - 1))
    oracle = Oracle(
        sidecar_count, sidecar_index, [(at, at + length, kind) for at, length, kind in spans], 10.0, seed
    )
    changes = [at + more for at, length, _ in spans for more in (0.01, length / 2, length, length + 1.0)]
    for tick in range(int(130 / STEP)):
        now = tick * STEP
        oracle.step(now)
        for changed in changes:
            if oracle.known < changed <= now:
                assert now <= oracle.notified_at(changed, now) + STEP, (changed, now)


@given(
    st.floats(0.1, 100.0),
    st.floats(0.0, 60.0),
    st.sampled_from(["started", "accepted", "answered", "failed"]),
)
def test_the_deadline_leaves_enough_time_for_a_call(within: float, wait: float, last: str) -> None:
    deadline = NotificationDeadline(within, 0.0)
    deadline.call_accepted(1.0, wait)
    deadline.call_answered(2.0)
    if last == "started":
        deadline.start(2.0)
    elif last == "accepted":
        deadline.call_accepted(2.0, wait)
    elif last == "failed":
        deadline.call_failed(2.0, 2.0)
    due = deadline.deadline()
    assert due > 2.0
    if last == "accepted":
        assert due + HANGING_CALL_SECONDS <= 2.0 + max(6.0, wait + 2.0)
    elif last == "failed":
        assert due + HANGING_CALL_SECONDS <= 2.0 + 6.0
    else:
        assert due <= 2.0 + within


@pytest.mark.parametrize("sidecar_count", [1, 3, 20, 200])
def test_a_sidecar_with_a_list_retries_within_three_seconds_during_any_outage(
    sidecar_count: int,
) -> None:
    """For an hour: the doubled values must not grow without bound."""
    schedules = [
        ListRequestSchedule(sidecar_count, sidecar_index, 10.0, Random(sidecar_index), 0.0)
        for sidecar_index in range(0, sidecar_count, 7)
    ]
    for schedule in schedules:
        schedule.start(0.0, has_list=True)
        now = schedule.next_call_at(0.0)
        for _ in range(3000):
            schedule.call_failed(now)
            assert now < schedule.next_call_at(now) <= now + RETRY_WITHIN_SECONDS
            now = schedule.next_call_at(now)


@pytest.mark.parametrize(
    ("sidecar_count", "longest"),
    [(1, RETRY_WITHIN_SECONDS), (12, RETRY_WITHIN_SECONDS), (20, 5.0), (200, 24.0)],
)
def test_queued_calls_slow_down_only_a_fleet_too_large_for_the_queue(
    sidecar_count: int, longest: float
) -> None:
    schedule, now = ListRequestSchedule(sidecar_count, 0, 10.0, Random(1), 0.0), 0.0
    schedule.start(now, has_list=True)
    gaps = []
    for was_sent in [True] * 12 + [False] * 3:
        now += 2.0
        schedule.call_failed(now, 2.0, was_sent=was_sent)
        gaps.append(schedule.next_call_at(now) - now)
        now = schedule.next_call_at(now)
    assert 0.5 * longest <= max(gaps[:12]) <= longest
    assert max(gaps[12:]) <= RETRY_WITHIN_SECONDS  # the connect failed, which costs discovery nothing


@pytest.mark.parametrize("sidecar_count", [20, 140, 200, 400])
def test_after_one_queued_failure_as_many_retry_in_time_as_a_fast_discovery_answers(
    sidecar_count: int,
) -> None:
    retried_in_time = 0
    for sidecar_index in range(sidecar_count):
        schedule = ListRequestSchedule(sidecar_count, sidecar_index, 10.0, Random(sidecar_index), 0.0)
        schedule.start(0.0, has_list=True)
        schedule.call_failed(10.0, 2.0, can_wait=True)
        retried_in_time += schedule.next_call_at(10.0) <= 10.0 + RETRY_WITHIN_SECONDS
    expected = min(sidecar_count, 25 * 6)
    assert (
        expected - 2 <= retried_in_time <= expected + (sidecar_count - expected) * 0.25
    )  # some of those that back off draw an early time


def test_a_sidecar_without_a_list_still_calls_after_an_hour() -> None:
    schedule, now = ListRequestSchedule(1, 0, 10.0, Random(1), 0.0), 0.0
    for _ in range(3000):
        now = schedule.next_call_at(now)
        schedule.call_failed(now)
        assert schedule.next_call_at(now) <= now + 2 * list_request_schedule.MAX_MIN_ROUND_SECONDS


ENDS = ["refused", "hangs", "swallowed", "queued"]


@given(st.integers(1, 12), st.booleans(), st.lists(st.tuples(st.sampled_from(ENDS), st.floats(0.0, 4.7))))
def test_failing_calls_begin_within_the_allowed_notification_delay(
    sidecar_count: int, moved: bool, ends: list[tuple[str, float]]
) -> None:
    """Whenever discovery becomes reachable again, a call follows that is answered in time."""
    schedule, now = ListRequestSchedule(sidecar_count, sidecar_count - 1, 10.0, Random(1), 0.0), 50.0
    schedule.start(0.0, has_list=True)
    schedule.call_failed(now, 50.0, can_wait=True)
    if moved:
        schedule.discovery_moved(now, True, False, 0.0, False)
    for ending, queue_seconds in ends:
        assert schedule.next_call_at(now) <= now + RETRY_WITHIN_SECONDS + 1e-9
        now = began = schedule.next_call_at(now)
        took = {
            "refused": 0.0,
            "hangs": CONNECT_TIMEOUT_SECONDS,
            "swallowed": schedule.draw_timeout(),
            "queued": queue_seconds,
        }[ending]
        now += took
        schedule.call_failed(now, took, was_sent=ending != "hangs", can_wait=ending == "queued")
        assert schedule.next_call_at(now) - began <= 6.0 - ANSWER_SECONDS + 1e-9


@pytest.mark.parametrize("answered", [True, False])
def test_a_fleet_whose_watches_end_simultaneously_stays_spread_out(answered: bool) -> None:
    """The watches may have begun after another outage and have reported no change since."""
    fleet = [
        ListRequestSchedule(200, sidecar_index, 10.0, Random(sidecar_index), 0.0)
        for sidecar_index in range(200)
    ]
    calls = []
    for schedule in fleet:
        schedule.start(0.0, has_list=True)
        if answered:
            schedule.call_answered()
        now = 100.0
        schedule.call_failed(now, 50.0, can_wait=True)
        while now < 130.0:
            now = schedule.next_call_at(now)
            calls.append(now)
            schedule.call_failed(now)
    for second in range(100, 130):
        assert sum(second <= at < second + 1 for at in calls) <= 1.7 * 200 / RETRY_WITHIN_SECONDS


def test_the_balancer_subscribes_again_after_an_hour_without_discovery() -> None:
    copy = Copy(1, must_subscribe=True)
    (timer,) = copy.view(*entries("a"), kind=i.ViewKind.CACHED)
    for _ in range(1500):
        assert isinstance(timer, i.SetTimer) and timer.delay <= RETRY_WITHIN_SECONDS
        assert copy.do(i.TimerDue(timer.token), timer.delay) == [i.Subscribe()]
        (timer,) = copy.view(kind=i.ViewKind.FAILED)


def test_a_list_request_that_fails_for_days_is_still_made() -> None:
    fresh = Freshness(1, 0, Random(1), 0.0)
    fresh.list_changed(0.0, {"n": True}, True)
    fresh.watch_started(0.0)
    fresh.attempt_ended(0.0, "n", i.Outcome.CONNECT_FAILED)
    now = 0.0
    for _ in range(1500):
        fresh.attempt_ended(now, "n", i.Outcome.CONNECT_FAILED)
        now = fresh.next_ask_at(now)
        assert now < inf
        fresh.ask_sent(now)
        fresh.watch_started(now)
