"""The front's gate: what would end late is refused early, low worth first."""

from __future__ import annotations

from collections import deque
from dataclasses import replace

import pytest

from tests.balancer.endpoint_model import NODES
from tests.conftest import Copy, entries
from wheatring.balancer import interface as i
from wheatring.balancer.admission import MIN_IN_FLIGHT
from wheatring.balancer.latency_estimate import LatencyEstimate

O = i.Outcome
CHEAP = i.RequestClass(
    "cheap", latency_target=1.0, deadline=4.0, value=1.0, idempotency=i.Idempotency.IDEMPOTENT
)
DEAR = i.RequestClass(
    "dear", latency_target=1.0, deadline=4.0, value=9.0, idempotency=i.Idempotency.IDEMPOTENT
)


def loaded(tier: int = 0, concurrent: int = 48, latency: float = 0.1, seconds: float = 4.0) -> Copy:
    """Return a copy that has served so many requests at a time on twelve endpoints, with that latency."""
    copy = Copy(classes=(CHEAP, DEAR), tier=tier, tiers=("front", "back"))
    copy.view(*entries(*NODES))
    keep(copy, concurrent, latency, seconds)
    return copy


def keep(copy: Copy, concurrent: int, latency: float, seconds: float, silent: str = "") -> int:
    """Keep so many requests in flight, as far as they are admitted, and return how many are rejected.

    Each is answered after that latency, but by the endpoint that is silent.
    """
    refused = 0
    out = deque(
        (copy.now, i.Send(each.request_id, each.attempts[0].entry.endpoint, 1.0))
        for each in copy.balancer.requests.values()
    )
    for n in range(round(concurrent * seconds / latency)):
        action = copy.ask("dear" if n % 2 else "cheap")[0]
        if isinstance(action, i.Send):
            out.append((copy.now + latency, action))
        else:
            refused += 1
        copy.now += latency / concurrent
        while out and out[0][0] <= copy.now:
            send = out.popleft()[1]
            if send.endpoint != silent:
                copy.do(
                    i.AttemptEnded(send.request, 0, O.SERVED, send.endpoint, latency, is_request_over=True)
                )
    return refused


def admitted(copy: Copy, name: str, limit: int = 400) -> int:
    """Return how many requests are in flight at the first rejection, while none is answered."""
    copy.balancer.admission.in_flight = 10 * copy.balancer.throughput.served  # as if they had taken long
    for _ in range(limit):
        if not isinstance(copy.ask(name)[0], i.Send):
            return copy.in_flight
    return limit


def test_overload_is_rejected_lowest_value_first() -> None:
    cheap, dear = admitted(loaded(), "cheap"), admitted(loaded(), "dear")
    assert 0.6 * 48 < cheap < 0.9 * dear < 100


def test_a_rejection_by_admission_control_lets_the_client_retry() -> None:
    copy = loaded()
    admitted(copy, "cheap")
    assert isinstance(copy.ask("cheap")[0], i.Reject)


def test_deeper_tiers_do_not_refuse_what_upper_ones_have_worked_for() -> None:
    assert admitted(loaded(tier=1), "cheap") == 400


def test_a_step_of_the_load_that_is_served_as_fast_is_not_refused() -> None:
    copy = loaded(concurrent=24)
    assert keep(copy, 120, 0.1, 2.0) == 0


def test_servers_that_slow_keep_what_they_bore_and_it_opens_as_they_are_fast_again() -> None:
    copy = loaded()
    assert keep(copy, 400, 0.8, 4.0) > 0
    assert 48 < copy.in_flight < 2 * 48
    keep(copy, 48, 0.1, 2.0)
    assert keep(copy, 48, 0.1, 2.0) == 0


def test_with_half_the_servers_half_as_much_is_let_in() -> None:
    half = loaded()
    keep(half, 400, 0.8, 4.0)
    whole = half.in_flight
    half.view(*entries(*NODES[:6]))
    keep(half, 400, 0.8, 4.0)
    assert 0.4 < half.in_flight / whole < 0.7


def test_without_an_endpoint_all_is_rejected_at_once_and_with_the_first_one_it_goes_on() -> None:
    copy = loaded()
    copy.view()
    assert isinstance(copy.ask("dear")[0], i.Reject)
    copy.view(*entries("new"))
    assert isinstance(copy.ask("dear")[0], i.Send)


def test_from_few_requests_in_flight_no_overload_is_concluded() -> None:
    copy = Copy(classes=(CHEAP, DEAR))
    copy.view(*entries("a", "b"))
    keep(copy, 1, 0.01, 3.0)
    assert MIN_IN_FLIGHT <= admitted(copy, "cheap") < 30


def test_the_first_answers_are_the_fastest_and_do_not_say_what_is_usual() -> None:
    norm = LatencyEstimate()
    for latency in [0.01, *[0.6] * 9]:
        norm.learn(latency, False)
    assert norm.unloaded > 0.3
    norm.learn(60.0, True)  # nor does one that is slow
    assert norm.unloaded < 0.6


def test_what_a_silent_endpoint_holds_shuts_nobody_out() -> None:
    copy = loaded()
    silent = copy.balancer.pool.endpoints[NODES[0]]
    silent.in_flight += 200
    keep(copy, 48, 0.1, 3.0, silent=NODES[0])
    assert silent.in_flight >= 200 and keep(copy, 48, 0.1, 2.0, silent=NODES[0]) == 0


@pytest.mark.parametrize("count", [1, 20])
def test_a_copy_that_knows_nothing_yet_refuses_nothing(count: int) -> None:
    copy = Copy(classes=(CHEAP, DEAR))
    copy.view(*entries("a", "b"))
    assert admitted(copy, "cheap", count) == count


@pytest.mark.parametrize(("late_value", "tier", "seconds"), [(0.0, 0, 1.0), (0.5, 0, 3.0), (0.0, 1, 3.0)])
def test_the_target_is_the_front_s_deadline_where_late_answers_have_no_value(
    late_value: float, tier: int, seconds: float
) -> None:
    cls = i.RequestClass(
        "get", latency_target=1.0, deadline=4.0, late_value=late_value, idempotency=i.Idempotency.IDEMPOTENT
    )
    copy = Copy(classes=(cls,), tier=tier, tiers=("front", "back"))
    copy.view(*entries("a", "b"))
    assert copy.send("get", left=3.0).timeout == pytest.approx(seconds)


def test_a_client_s_retry_has_spent_part_of_its_latency_target() -> None:
    copy = Copy(
        classes=(
            i.RequestClass("get", latency_target=1.0, deadline=4.0, idempotency=i.Idempotency.IDEMPOTENT),
        )
    )
    copy.view(*entries("a", "b"))
    assert copy.send("get", left=3.4, is_client_retry=True).timeout == pytest.approx(0.4)
    assert isinstance(copy.ask("get", left=2.9, is_client_retry=True)[0], i.Reject)


def test_nothing_is_sent_with_less_time_left_than_its_work_could_take(copy: Copy) -> None:
    copy.serve(40, latency=0.2)
    assert isinstance(copy.ask(left=0.05)[0], i.Reject)
    assert isinstance(copy.ask(left=0.5)[0], i.Send)


@pytest.mark.parametrize(("cap", "sends_delay"), [(2.0, True), (0.01, True), (2.0, False)])
def test_a_rejection_says_when_to_retry(cap: float, sends_delay: bool) -> None:
    copy = Copy(limits=i.Limits(sends_retry_after=sends_delay, max_retry_after=cap))  # without an endpoint
    waits = []
    for _ in range(50):
        (action,) = copy.ask()
        assert isinstance(action, i.Reject)
        waits.append(action.retry_after)
    if not sends_delay:
        assert waits == [0.0] * 50
    else:
        assert all(0 < wait <= cap for wait in waits)
        assert cap < 0.1 or len(set(waits)) > 40  # those refused together must not return together


def test_where_nothing_has_a_value_all_have_the_same_capacity() -> None:
    """Worths of 0 can be settings of another customer; a ratio of two of them is none."""
    free = replace(CHEAP, value=0.0)
    copy = Copy(classes=(free, replace(DEAR, value=0.0)), tier=0, tiers=("front", "back"))
    copy.view(*entries(*NODES))
    keep(copy, 48, 0.1, 4.0)
    assert 0 < admitted(copy, "cheap") < 400
