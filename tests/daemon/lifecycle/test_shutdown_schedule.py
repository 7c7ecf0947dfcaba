"""Leaving: what the planner promises, against a slow and obvious statement of it."""

from __future__ import annotations

from itertools import pairwise
from math import inf, isclose

from hypothesis import given
from hypothesis import strategies as st

from wheatring.balancer.interface import Idempotency, RequestClass
from wheatring.daemon.lifecycle.shutdown_schedule import (
    CLOSE_IDLE_SECONDS,
    CLOSE_IDLE_WITH_SUCCESSOR_SECONDS,
    HORIZONS_SECONDS,
    KILL_AFTER_DEADLINE_SECONDS,
    LATENCIES_KEPT,
    MAX_ACCEPT_SECONDS,
    MAX_DEADLINE_SECONDS,
    MIN_ACCEPT_SECONDS,
    UNSERVED_CHANCE,
    LatencyHistory,
    OpenRequest,
    ShutdownSchedule,
    answer_probability,
)  # fmt: skip

CLASSES = (
    RequestClass("menu", 2.0, 6.0, value=1.0, late_value=0.25, idempotency=Idempotency.IDEMPOTENT),
    RequestClass("order", 1.0, 2.0, value=5.0, idempotency=Idempotency.KEYED),
)
TIMES = st.floats(0.0, 8.0)
HISTORY = st.lists(st.tuples(st.sampled_from(("menu", "order")), st.floats(0.0, 0.5), st.floats(0.001, 3.0)))
REQUESTS = st.lists(
    st.builds(OpenRequest, st.sampled_from(("menu", "order")), TIMES, st.floats(0.0, 6.0)), max_size=6
)


def planned(
    history: list[tuple[str, float, float]], copies: int = 1, idle: int = 0
) -> tuple[ShutdownSchedule, float]:
    """Return a shutdown schedule after services (class, time since the last, latency), and its SIGTERM."""
    usual, now = LatencyHistory(), 100.0
    for name, later, latency in history:
        now += later
        usual.record(name, now, latency)
    return ShutdownSchedule(now, CLASSES, copies, usual, idle), now


def likely(history: list[tuple[str, float, float]], request: OpenRequest, until: float) -> float:
    """Chance that a job is answered within `until` seconds, by counting."""
    latest = [latency for name, _, latency in history if name == request.class_name][-LATENCIES_KEPT:]
    longer = [latency for latency in latest if latency > request.age]
    if until <= 0:
        return 0.0
    return (sum(latency <= request.age + until for latency in longer) + until / (request.age + until)) / (
        len(longer) + 1
    )


@given(HISTORY, REQUESTS, st.integers(1, 5), st.floats(0.0, 5.0))
def test_requests_continue_just_while_some_time_ahead_brings_more_value_than_it_costs(
    history: list[tuple[str, float, float]], requests: list[OpenRequest], copies: int, since: float
) -> None:
    leaving, sigterm_at = planned(history, copies)
    cost = 0.0
    for each in CLASSES:
        at, stamps = 100.0, []
        for name, later, _ in history:
            at += later
            if name == each.name:
                stamps.append(at)
        stamps = stamps[-LATENCIES_KEPT:]
        if len(stamps) > 1 and sigterm_at > stamps[0]:
            cost += (
                each.value * (len(stamps) - 1) / (sigterm_at - stamps[0]) * min(1.0, UNSERVED_CHANCE / copies)
            )
    assert isclose(leaving.value_per_second_away, cost)
    value = dict.fromkeys(HORIZONS_SECONDS, 0.0)
    for request in requests:
        each = next(c for c in CLASSES if c.name == request.class_name)
        for ahead in HORIZONS_SECONDS:
            in_time = likely(
                history, request, min(ahead, request.remaining, each.latency_target - request.age)
            )
            at_all = likely(history, request, min(ahead, request.remaining))
            value[ahead] += each.value * (in_time + each.late_value * (at_all - in_time))
    margins = [value[ahead] - cost * ahead for ahead in HORIZONS_SECONDS]
    if any(abs(margin) < 1e-6 * (1 + cost) for margin in margins):
        return  # either is right
    due = (
        sigterm_at + since >= sigterm_at + min(6.0, MAX_DEADLINE_SECONDS) + KILL_AFTER_DEADLINE_SECONDS - 0.2
    )
    assert leaving.should_continue(sigterm_at + since, requests) == (
        not due and any(margin > 0 for margin in margins)
    )


@given(HISTORY, REQUESTS, st.floats(0.0, 10.0))
def test_it_never_runs_into_sigkill_and_never_holds_out_for_nothing(
    history: list[tuple[str, float, float]], requests: list[OpenRequest], since: float
) -> None:
    leaving, sigterm_at = planned(history)
    killed = (
        sigterm_at
        + min(max(each.deadline for each in CLASSES), MAX_DEADLINE_SECONDS)
        + KILL_AFTER_DEADLINE_SECONDS
    )
    assert leaving.deadline < killed
    if sigterm_at + since >= killed or not requests or all(request.remaining <= 0 for request in requests):
        assert not leaving.should_continue(sigterm_at + since, requests)


@given(st.lists(st.floats(0.0, 1.5), max_size=8), st.lists(st.floats(0.0, 3.0), max_size=3))
def test_the_listener_closes_once_nobody_comes_and_rejects_nobody_who_waits(
    comes: list[float], full: list[float]
) -> None:
    """Callers that come at these instants, and instants until which the place is crowded."""
    leaving, sigterm_at = planned([])
    crowded = max(full, default=0.0)
    now = 0.0
    while not leaving.should_stop_accepting(
        sigterm_at + now, sigterm_at + max([c for c in comes if c <= now], default=-inf), now < crowded
    ):
        now += 0.02
    assert now >= min(crowded, leaving.deadline - sigterm_at - 0.02) - 1e-6
    assert MIN_ACCEPT_SECONDS <= now <= max(MAX_ACCEPT_SECONDS, crowded) + 0.021
    last = max([c for c in comes if c <= now], default=-inf)
    assert now >= MAX_ACCEPT_SECONDS - 1e-6 or now - last >= 0.05 - 1e-6


@given(st.integers(0, 900))
def test_idle_connections_are_closed_a_few_at_a_time_and_all_before_the_listener(idle: int) -> None:
    leaving, sigterm_at = planned([], idle=idle)
    kept = [leaving.max_idle(sigterm_at + n * 0.02) for n in range(25)]
    assert kept[0] == idle and kept[int(MIN_ACCEPT_SECONDS / 0.02)] == 0
    assert all(0 <= before - after <= idle / 9 + 1 for before, after in pairwise(kept))


def test_what_may_have_run_is_rejected_only_where_a_retry_does_no_harm() -> None:
    leaving, _ = planned([])
    assert leaving.may_reject("menu", True) and leaving.may_reject("order", False)
    assert not leaving.may_reject("order", True)


@given(st.lists(st.floats(0.001, 5.0), max_size=70), TIMES, TIMES, TIMES)
def test_chances_are_chances_and_grow_with_the_time_ahead(
    latencies: list[float], age: float, ahead: float, more: float
) -> None:
    latencies.sort()
    less, greater = (
        answer_probability(latencies, age, ahead),
        answer_probability(latencies, age, ahead + more),
    )
    assert 0 <= less <= greater + 1e-12 and greater <= 1 + 1e-12


@given(HISTORY, REQUESTS.filter(bool), st.floats(0.0, 5.0))
def test_nobody_waits_for_the_end_of_a_process_whose_successor_serves(
    history: list[tuple[str, float, float]], requests: list[OpenRequest], since: float
) -> None:
    _, sigterm_at = planned(history)
    usual = LatencyHistory()
    leaving = ShutdownSchedule(sigterm_at, CLASSES, 1, usual, 20, has_successor=True)
    assert leaving.should_continue(sigterm_at + since, requests) == (sigterm_at + since < leaving.deadline)
    assert leaving.max_idle(sigterm_at + CLOSE_IDLE_SECONDS) > 10  # where nobody follows it is none by then
    assert leaving.max_idle(sigterm_at + CLOSE_IDLE_WITH_SUCCESSOR_SECONDS) == 0
