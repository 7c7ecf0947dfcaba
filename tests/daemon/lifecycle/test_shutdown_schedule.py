"""The shutdown schedule, compared with a simple model of its rules."""

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


def make_schedule(
    history: list[tuple[str, float, float]], sidecar_count: int = 1, idle: int = 0
) -> tuple[ShutdownSchedule, float]:
    """Return a schedule for a history of (class, time since the last, latency), and its SIGTERM time."""
    latency_history, now = LatencyHistory(), 100.0
    for name, interval, latency in history:
        now += interval
        latency_history.record(name, now, latency)
    return ShutdownSchedule(now, CLASSES, sidecar_count, latency_history, idle), now


def probability(history: list[tuple[str, float, float]], request: OpenRequest, until: float) -> float:
    """Return the probability that a request is answered within `until` seconds, by counting."""
    latest = [latency for name, _, latency in history if name == request.class_name][-LATENCIES_KEPT:]
    longer = [latency for latency in latest if latency > request.age]
    if until <= 0:
        return 0.0
    return (sum(latency <= request.age + until for latency in longer) + until / (request.age + until)) / (
        len(longer) + 1
    )


@given(HISTORY, REQUESTS, st.integers(1, 5), st.floats(0.0, 5.0))
def test_requests_continue_exactly_while_some_horizon_has_more_value_than_cost(
    history: list[tuple[str, float, float]], requests: list[OpenRequest], sidecar_count: int, since: float
) -> None:
    schedule, sigterm_at = make_schedule(history, sidecar_count)
    cost = 0.0
    for request_class in CLASSES:
        at, served_at = 100.0, []
        for name, interval, _ in history:
            at += interval
            if name == request_class.name:
                served_at.append(at)
        served_at = served_at[-LATENCIES_KEPT:]
        if len(served_at) > 1 and sigterm_at > served_at[0]:
            cost += (
                request_class.value
                * (len(served_at) - 1)
                / (sigterm_at - served_at[0])
                * min(1.0, UNSERVED_CHANCE / sidecar_count)
            )
    assert isclose(schedule.lost_value_per_second, cost)
    value = dict.fromkeys(HORIZONS_SECONDS, 0.0)
    for request in requests:
        request_class = next(c for c in CLASSES if c.name == request.class_name)
        for ahead in HORIZONS_SECONDS:
            in_time = probability(
                history, request, min(ahead, request.remaining, request_class.latency_target - request.age)
            )
            at_all = probability(history, request, min(ahead, request.remaining))
            value[ahead] += request_class.value * (in_time + request_class.late_value * (at_all - in_time))
    margins = [value[ahead] - cost * ahead for ahead in HORIZONS_SECONDS]
    if any(abs(margin) < 1e-6 * (1 + cost) for margin in margins):
        return  # both results are correct within the rounding error
    is_past_deadline = (
        sigterm_at + since >= sigterm_at + min(6.0, MAX_DEADLINE_SECONDS) + KILL_AFTER_DEADLINE_SECONDS - 0.2
    )
    assert schedule.should_continue(sigterm_at + since, requests) == (
        not is_past_deadline and any(margin > 0 for margin in margins)
    )


@given(HISTORY, REQUESTS, st.floats(0.0, 10.0))
def test_the_shutdown_ends_before_sigkill_and_does_not_wait_without_requests(
    history: list[tuple[str, float, float]], requests: list[OpenRequest], since: float
) -> None:
    schedule, sigterm_at = make_schedule(history)
    killed = (
        sigterm_at
        + min(max(request_class.deadline for request_class in CLASSES), MAX_DEADLINE_SECONDS)
        + KILL_AFTER_DEADLINE_SECONDS
    )
    assert schedule.deadline < killed
    if sigterm_at + since >= killed or not requests or all(request.remaining <= 0 for request in requests):
        assert not schedule.should_continue(sigterm_at + since, requests)


@given(st.lists(st.floats(0.0, 1.5), max_size=8), st.lists(st.floats(0.0, 3.0), max_size=3))
def test_the_listener_closes_after_a_quiet_time_but_not_while_clients_are_queued(
    connects_at: list[float], full_until: list[float]
) -> None:
    """Clients connect at `connects_at`; the connection limit is reached until the last of `full_until`."""
    schedule, sigterm_at = make_schedule([])
    full_end = max(full_until, default=0.0)
    now = 0.0
    while not schedule.should_stop_accepting(
        sigterm_at + now, sigterm_at + max([c for c in connects_at if c <= now], default=-inf), now < full_end
    ):
        now += 0.02
    assert now >= min(full_end, schedule.deadline - sigterm_at - 0.02) - 1e-6
    assert MIN_ACCEPT_SECONDS <= now <= max(MAX_ACCEPT_SECONDS, full_end) + 0.021
    last = max([c for c in connects_at if c <= now], default=-inf)
    assert now >= MAX_ACCEPT_SECONDS - 1e-6 or now - last >= 0.05 - 1e-6


@given(st.integers(0, 900))
def test_idle_connections_are_closed_gradually_and_all_before_the_listener(idle: int) -> None:
    schedule, sigterm_at = make_schedule([], idle=idle)
    kept = [schedule.max_idle(sigterm_at + n * 0.02) for n in range(25)]
    assert kept[0] == idle and kept[int(MIN_ACCEPT_SECONDS / 0.02)] == 0
    assert all(0 <= before - after <= idle / 9 + 1 for before, after in pairwise(kept))


def test_a_request_that_may_have_run_is_rejected_only_if_it_is_idempotent() -> None:
    schedule, _ = make_schedule([])
    assert schedule.may_reject("menu", True) and schedule.may_reject("order", False)
    assert not schedule.may_reject("order", True)


@given(st.lists(st.floats(0.001, 5.0), max_size=70), TIMES, TIMES, TIMES)
def test_answer_probabilities_are_valid_and_increase_with_the_time_ahead(
    latencies: list[float], age: float, ahead: float, extra: float
) -> None:
    latencies.sort()
    shorter, longer_ahead = (
        answer_probability(latencies, age, ahead),
        answer_probability(latencies, age, ahead + extra),
    )
    assert 0 <= shorter <= longer_ahead + 1e-12 and longer_ahead <= 1 + 1e-12


@given(HISTORY, REQUESTS.filter(bool), st.floats(0.0, 5.0))
def test_with_a_serving_successor_requests_continue_until_the_deadline(
    history: list[tuple[str, float, float]], requests: list[OpenRequest], since: float
) -> None:
    _, sigterm_at = make_schedule(history)
    latency_history = LatencyHistory()
    schedule = ShutdownSchedule(sigterm_at, CLASSES, 1, latency_history, 20, has_successor=True)
    assert schedule.should_continue(sigterm_at + since, requests) == (sigterm_at + since < schedule.deadline)
    assert schedule.max_idle(sigterm_at + CLOSE_IDLE_SECONDS) > 10  # without a successor it is 0 by then
    assert schedule.max_idle(sigterm_at + CLOSE_IDLE_WITH_SUCCESSOR_SECONDS) == 0
