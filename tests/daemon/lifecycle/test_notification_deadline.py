"""When a sidecar must next have asked, against the platform's sentences on what counts as told.

The oracle plays seconds of it in small steps: discovery is there, refuses or is not heard of, watches are
reset or fall silent, and at each step it looks up every change that the sidecar does not know yet.
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
TURN = 0.3  # seconds until a call that is taken is answered, or waits for news
Outage = tuple[float, float, str]


class Oracle:
    """One sidecar of `copies` with a list, and a discovery with its outages."""

    def __init__(self, copies: int, number: int, outages: list[Outage], within: float, seed: int) -> None:
        self.outages = outages
        self.within = within
        self.asking = ListRequestSchedule(copies, number, within, Random(seed), 0.0)
        self.freshness = Freshness(copies, number, Random(seed), 0.0, self.asking.notification)
        self.asking.start(0.0, holds=True)
        self.freshness.list_changed(0.0, {"n": True}, True)
        self.watch: float | None = None  # laid then
        self.silent = False
        self.next = self.asking.next_call_at(0.0)
        self.out: tuple[float, str, float] | None = None  # a call on its way: made, how it ends, when
        self.failed = False  # a call has, and none was taken since
        self.known = 0.0  # of what was changed until then

    def fault_at(self, now: float) -> str:
        return next((kind for begin, end, kind in self.outages if begin <= now < end), "")

    def step(self, now: float) -> None:
        fault = self.fault_at(now)
        if self.watch is not None and not self.silent:
            if fault == "hangs":
                self.silent = True  # for good: what is written gets lost
            elif fault == "refuses":
                self.lose(now, self.watch, True)
            else:
                self.known = now
        if self.out is not None and now >= self.out[2]:
            self.end(now)
        second = self.watch is not None
        due = self.freshness.next_ask_at(now) if second else self.next
        if self.out is None and now >= due:
            if second:
                self.freshness.ask_sent(now)
            ends = now + {"refuses": 0.0, "hangs": CONNECT_TIMEOUT_SECONDS}.get(fault, TURN)
            self.out = now, fault, ends

    def end(self, now: float) -> None:
        assert self.out is not None
        (made, how, _), self.out = self.out, None
        if how or self.fault_at(now):
            self.failed = True
            if self.watch is not None:
                self.freshness.ask_failed(now)
            else:
                self.lose(now, made, how != "hangs")
            return
        self.failed = self.silent = False
        self.watch = self.known = now
        self.asking.call_answered()
        self.asking.notification.call_answered(now)
        self.asking.notification.call_accepted(now, WATCH_WAIT_SECONDS)
        self.freshness.watch_started(now)

    def lose(self, now: float, made: float, taken: bool) -> None:
        self.watch = None
        self.failed = True
        self.freshness.watch_stopped()
        self.asking.notification.call_dropped()
        self.asking.call_failed(now, now - made, taken=taken, waits=True)
        self.next = self.asking.next_call_at(now)

    def counts(self, changed: float, now: float) -> float:
        """When that counts as told, by the state of now; anew when discovery is back."""
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
    copies: int, data: st.DataObject, spans: list[tuple[float, float, str]], seed: int
) -> None:
    number = data.draw(st.integers(0, copies - 1))
    one = Oracle(copies, number, [(at, at + length, kind) for at, length, kind in spans], 10.0, seed)
    changes = [at + more for at, length, _ in spans for more in (0.01, length / 2, length, length + 1.0)]
    for tick in range(int(130 / STEP)):
        now = tick * STEP
        one.step(now)
        for changed in changes:
            if one.known < changed <= now:
                assert now <= one.counts(changed, now) + STEP, (changed, now)


@given(st.floats(0.1, 100.0), st.floats(0.0, 60.0), st.sampled_from(["begun", "laid", "answered", "failed"]))
def test_the_deadline_leaves_a_call_the_time_that_it_takes(within: float, wait: float, last: str) -> None:
    told = NotificationDeadline(within, 0.0)
    told.call_accepted(1.0, wait)
    told.call_answered(2.0)
    if last == "begun":
        told.start(2.0)
    elif last == "laid":
        told.call_accepted(2.0, wait)
    elif last == "failed":
        told.call_failed(2.0, 2.0)
    by = told.deadline()
    assert by > 2.0
    if last == "laid":
        assert by + HANGING_CALL_SECONDS <= 2.0 + max(6.0, wait + 2.0)
    elif last == "failed":
        assert by + HANGING_CALL_SECONDS <= 2.0 + 6.0
    else:
        assert by <= 2.0 + within


@pytest.mark.parametrize("copies", [1, 3, 20, 200])
def test_a_sidecar_with_a_list_asks_again_within_three_seconds_however_long_nobody_is_there(
    copies: int,
) -> None:
    """An hour of it: what doubles must not grow for ever."""
    all_of_them = [
        ListRequestSchedule(copies, number, 10.0, Random(number), 0.0) for number in range(0, copies, 7)
    ]
    for one in all_of_them:
        one.start(0.0, holds=True)
        now = one.next_call_at(0.0)
        for _ in range(3000):
            one.call_failed(now)
            assert now < one.next_call_at(now) <= now + RETRY_WITHIN_SECONDS
            now = one.next_call_at(now)


@pytest.mark.parametrize(
    ("copies", "longest"), [(1, RETRY_WITHIN_SECONDS), (12, RETRY_WITHIN_SECONDS), (20, 5.0), (200, 24.0)]
)
def test_a_queue_slows_only_a_fleet_that_is_too_large_for_it(copies: int, longest: float) -> None:
    one, now = ListRequestSchedule(copies, 0, 10.0, Random(1), 0.0), 0.0
    one.start(now, holds=True)
    gaps = []
    for taken in [True] * 12 + [False] * 3:
        now += 2.0
        one.call_failed(now, 2.0, taken=taken)
        gaps.append(one.next_call_at(now) - now)
        now = one.next_call_at(now)
    assert 0.5 * longest <= max(gaps[:12]) <= longest
    assert max(gaps[12:]) <= RETRY_WITHIN_SECONDS  # nobody is there: that costs nothing


@pytest.mark.parametrize("copies", [20, 140, 200, 400])
def test_after_one_failure_in_a_queue_as_many_ask_again_in_time_as_a_fast_discovery_answers(
    copies: int,
) -> None:
    soon = 0
    for number in range(copies):
        one = ListRequestSchedule(copies, number, 10.0, Random(number), 0.0)
        one.start(0.0, holds=True)
        one.call_failed(10.0, 2.0, waits=True)
        soon += one.next_call_at(10.0) <= 10.0 + RETRY_WITHIN_SECONDS
    expected = min(copies, 25 * 6)
    assert (
        expected - 2 <= soon <= expected + (copies - expected) * 0.25
    )  # of those that give way some come early


def test_a_sidecar_without_a_list_still_asks_after_an_hour() -> None:
    one, now = ListRequestSchedule(1, 0, 10.0, Random(1), 0.0), 0.0
    for _ in range(3000):
        now = one.next_call_at(now)
        one.call_failed(now)
        assert one.next_call_at(now) <= now + 2 * list_request_schedule.MAX_MIN_ROUND_SECONDS


ENDS = ["refused", "hangs", "swallowed", "in line"]


@given(st.integers(1, 12), st.booleans(), st.lists(st.tuples(st.sampled_from(ENDS), st.floats(0.0, 4.7))))
def test_failing_calls_begin_no_further_apart_than_updates_may_be_late(
    copies: int, moved: bool, ends: list[tuple[str, float]]
) -> None:
    """Any instant at which discovery is there again is followed by a call that is answered in time."""
    one, now = ListRequestSchedule(copies, copies - 1, 10.0, Random(1), 0.0), 50.0
    one.start(0.0, holds=True)
    one.call_failed(now, 50.0, waits=True)
    if moved:
        one.discovery_moved(now, True, False, 0.0, False)
    for ending, line in ends:
        assert one.next_call_at(now) <= now + RETRY_WITHIN_SECONDS + 1e-9
        now = began = one.next_call_at(now)
        took = {
            "refused": 0.0,
            "hangs": CONNECT_TIMEOUT_SECONDS,
            "swallowed": one.draw_patience(),
            "in line": line,
        }[ending]
        now += took
        one.call_failed(now, took, taken=ending != "hangs", waits=ending == "in line")
        assert one.next_call_at(now) - began <= 6.0 - ANSWER_SECONDS + 1e-9


@pytest.mark.parametrize("answered", [True, False])
def test_a_fleet_whose_watches_end_at_once_is_spread_out_and_stays_so(answered: bool) -> None:
    """They may have been laid after another outage, and have had no news since."""
    fleet = [ListRequestSchedule(200, number, 10.0, Random(number), 0.0) for number in range(200)]
    calls = []
    for one in fleet:
        one.start(0.0, holds=True)
        if answered:
            one.call_answered()
        now = 100.0
        one.call_failed(now, 50.0, waits=True)
        while now < 130.0:
            now = one.next_call_at(now)
            calls.append(now)
            one.call_failed(now)
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
