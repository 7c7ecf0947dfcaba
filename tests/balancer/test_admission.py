"""Admission control at the front tier: excess requests are rejected before any attempt, low value first."""

from __future__ import annotations

from collections import deque
from dataclasses import replace

import pytest

from tests.balancer.endpoint_model import ENDPOINT_NAMES
from tests.conftest import Copy, entries
from wheatring.balancer import interface as i
from wheatring.balancer.admission import MIN_IN_FLIGHT
from wheatring.balancer.latency_estimate import LatencyEstimate

O = i.Outcome
LOW_VALUE = i.RequestClass(
    "low", latency_target=1.0, deadline=4.0, value=1.0, idempotency=i.Idempotency.IDEMPOTENT
)
HIGH_VALUE = i.RequestClass(
    "high", latency_target=1.0, deadline=4.0, value=9.0, idempotency=i.Idempotency.IDEMPOTENT
)


def loaded(tier: int = 0, concurrent: int = 48, latency: float = 0.1, seconds: float = 4.0) -> Copy:
    """Return a balancer that has served `concurrent` requests at a time on twelve endpoints."""
    copy = Copy(classes=(LOW_VALUE, HIGH_VALUE), tier=tier, tiers=("front", "back"))
    copy.view(*entries(*ENDPOINT_NAMES))
    keep_in_flight(copy, concurrent, latency, seconds)
    return copy


def keep_in_flight(
    copy: Copy, concurrent: int, latency: float, seconds: float, unresponsive: str = ""
) -> int:
    """Keep `concurrent` requests in flight, as far as they are admitted, and return how many are rejected.

    Each is answered after `latency`, except at the unresponsive endpoint.
    """
    rejected = 0
    in_flight = deque(
        (copy.now, i.Send(each.request_id, each.attempts[0].entry.endpoint, 1.0))
        for each in copy.balancer.requests.values()
    )
    for n in range(round(concurrent * seconds / latency)):
        action = copy.ask("high" if n % 2 else "low")[0]
        if isinstance(action, i.Send):
            in_flight.append((copy.now + latency, action))
        else:
            rejected += 1
        copy.now += latency / concurrent
        while in_flight and in_flight[0][0] <= copy.now:
            send = in_flight.popleft()[1]
            if send.endpoint != unresponsive:
                copy.do(
                    i.AttemptEnded(send.request, 0, O.SERVED, send.endpoint, latency, is_request_over=True)
                )
    return rejected


def admitted(copy: Copy, name: str, limit: int = 400) -> int:
    """Return how many requests are in flight at the first rejection, without any answers."""
    copy.balancer.admission.in_flight = 10 * copy.balancer.throughput.served  # as under congestion
    for _ in range(limit):
        if not isinstance(copy.ask(name)[0], i.Send):
            return copy.in_flight
    return limit


def test_requests_of_low_value_are_rejected_first_under_overload() -> None:
    low, high = admitted(loaded(), "low"), admitted(loaded(), "high")
    assert 0.6 * 48 < low < 0.9 * high < 100


def test_admission_control_answers_with_a_retryable_rejection() -> None:
    copy = loaded()
    admitted(copy, "low")
    assert isinstance(copy.ask("low")[0], i.Reject)


def test_tiers_behind_the_front_admit_everything() -> None:
    assert admitted(loaded(tier=1), "low") == 400


def test_a_load_step_that_does_not_raise_latency_is_admitted() -> None:
    copy = loaded(concurrent=24)
    assert keep_in_flight(copy, 120, 0.1, 2.0) == 0


def test_slow_endpoints_are_limited_to_their_known_throughput_until_they_recover() -> None:
    copy = loaded()
    assert keep_in_flight(copy, 400, 0.8, 4.0) > 0
    assert 48 < copy.in_flight < 2 * 48
    keep_in_flight(copy, 48, 0.1, 2.0)
    assert keep_in_flight(copy, 48, 0.1, 2.0) == 0


def test_the_admission_limit_scales_with_the_number_of_endpoints() -> None:
    copy = loaded()
    keep_in_flight(copy, 400, 0.8, 4.0)
    full_limit = copy.in_flight
    copy.view(*entries(*ENDPOINT_NAMES[:6]))
    keep_in_flight(copy, 400, 0.8, 4.0)
    assert 0.4 < copy.in_flight / full_limit < 0.7


def test_requests_are_rejected_while_there_is_no_endpoint() -> None:
    copy = loaded()
    copy.view()
    assert isinstance(copy.ask("high")[0], i.Reject)
    copy.view(*entries("new"))
    assert isinstance(copy.ask("high")[0], i.Send)


def test_few_requests_in_flight_are_not_rejected() -> None:
    copy = Copy(classes=(LOW_VALUE, HIGH_VALUE))
    copy.view(*entries("a", "b"))
    keep_in_flight(copy, 1, 0.01, 3.0)
    assert MIN_IN_FLIGHT <= admitted(copy, "low") < 30


def test_outliers_among_the_answers_hardly_change_the_unloaded_latency() -> None:
    estimate = LatencyEstimate()
    for latency in [0.01, *[0.6] * 9]:
        estimate.learn(latency, False)
    assert estimate.unloaded > 0.3
    estimate.learn(60.0, True)
    assert estimate.unloaded < 0.6


def test_attempts_at_an_unresponsive_endpoint_do_not_count_for_admission() -> None:
    copy = loaded()
    unresponsive = copy.balancer.pool.endpoints[ENDPOINT_NAMES[0]]
    unresponsive.in_flight += 200
    keep_in_flight(copy, 48, 0.1, 3.0, unresponsive=ENDPOINT_NAMES[0])
    assert (
        unresponsive.in_flight >= 200
        and keep_in_flight(copy, 48, 0.1, 2.0, unresponsive=ENDPOINT_NAMES[0]) == 0
    )


@pytest.mark.parametrize("count", [1, 20])
def test_a_new_balancer_admits_everything(count: int) -> None:
    copy = Copy(classes=(LOW_VALUE, HIGH_VALUE))
    copy.view(*entries("a", "b"))
    assert admitted(copy, "low", count) == count


@pytest.mark.parametrize(("late_value", "tier", "seconds"), [(0.0, 0, 1.0), (0.5, 0, 3.0), (0.0, 1, 3.0)])
def test_the_latency_target_is_the_deadline_at_the_front_if_late_answers_have_no_value(
    late_value: float, tier: int, seconds: float
) -> None:
    request_class = i.RequestClass(
        "get", latency_target=1.0, deadline=4.0, late_value=late_value, idempotency=i.Idempotency.IDEMPOTENT
    )
    copy = Copy(classes=(request_class,), tier=tier, tiers=("front", "back"))
    copy.view(*entries("a", "b"))
    assert copy.send("get", left=3.0).timeout == pytest.approx(seconds)


def test_a_client_retry_has_used_part_of_its_latency_target() -> None:
    copy = Copy(
        classes=(
            i.RequestClass("get", latency_target=1.0, deadline=4.0, idempotency=i.Idempotency.IDEMPOTENT),
        )
    )
    copy.view(*entries("a", "b"))
    assert copy.send("get", left=3.4, is_client_retry=True).timeout == pytest.approx(0.4)
    assert isinstance(copy.ask("get", left=2.9, is_client_retry=True)[0], i.Reject)


def test_a_request_with_too_little_time_left_is_rejected(copy: Copy) -> None:
    copy.serve(40, latency=0.2)
    assert isinstance(copy.ask(left=0.05)[0], i.Reject)
    assert isinstance(copy.ask(left=0.5)[0], i.Send)


@pytest.mark.parametrize(("max_delay", "sends_retry_after"), [(2.0, True), (0.01, True), (2.0, False)])
def test_a_rejection_specifies_a_random_retry_delay(max_delay: float, sends_retry_after: bool) -> None:
    copy = Copy(limits=i.Limits(sends_retry_after=sends_retry_after, max_retry_after=max_delay))
    delays = []
    for _ in range(50):
        (action,) = copy.ask()
        assert isinstance(action, i.Reject)
        delays.append(action.retry_after)
    if not sends_retry_after:
        assert delays == [0.0] * 50
    else:
        assert all(0 < delay <= max_delay for delay in delays)
        assert max_delay < 0.1 or len(set(delays)) > 40  # jitter for clients rejected simultaneously


def test_classes_without_value_have_a_finite_admission_limit() -> None:
    """With all values 0, the relative value of a class would be a division by zero."""
    without_value = replace(LOW_VALUE, value=0.0)
    copy = Copy(classes=(without_value, replace(HIGH_VALUE, value=0.0)), tier=0, tiers=("front", "back"))
    copy.view(*entries(*ENDPOINT_NAMES))
    keep_in_flight(copy, 48, 0.1, 4.0)
    assert 0 < admitted(copy, "low") < 400
