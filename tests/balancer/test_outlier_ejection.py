"""Outlier ejection: endpoints with several kinds of faults, their return, and a faulty network path."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.balancer.endpoint_model import (
    CORES_PER_ENDPOINT,
    ENDPOINT_NAMES,
    GET,
    IMMEDIATE_OUTCOMES,
    MEAN_WORK_SECONDS,
    EndpointSimulation,
)
from tests.conftest import Copy, entries
from wheatring.balancer import interface as i
from wheatring.balancer.outlier_ejection import EJECTION_SCORES

O = i.Outcome


@pytest.mark.parametrize("kind", [*IMMEDIATE_OUTCOMES, "hanging"])
@pytest.mark.parametrize("count", [3, 6])
def test_failing_endpoints_get_few_requests_and_the_others_an_even_share(kind: str, count: int) -> None:
    simulation = EndpointSimulation(1, kind, ENDPOINT_NAMES[:count], 0.2)
    simulation.run(12)
    result = simulation.result(5)
    assert 0 < result.share(ENDPOINT_NAMES[:count]) < 0.05
    assert result.busiest_ratio(ENDPOINT_NAMES[:count]) < 1.35
    assert result.served / result.requests > 0.95


@pytest.mark.parametrize("kind", [*IMMEDIATE_OUTCOMES, "hanging", "slow"])
def test_recovered_endpoints_return_gradually_to_their_share(kind: str) -> None:
    faulty = ENDPOINT_NAMES[:3]
    simulation = EndpointSimulation(1, kind, faulty, 0.3, until=10.0)
    simulation.run(20)
    at_recovery, later = simulation.result(10.0, 10.5), simulation.result(15.0)
    assert at_recovery.share(faulty) < 0.3  # an even share is 0.25
    assert later.share(faulty) > 0.2


def test_a_balancer_with_a_lossy_network_path_keeps_using_all_endpoints() -> None:
    simulation = EndpointSimulation(2, "refused", ENDPOINT_NAMES, 0.3, fault_probability=0.3)
    simulation.run(10)
    result = simulation.result(4)
    assert result.served / result.requests > 0.99
    assert result.busiest_ratio(()) < 1.4


def test_connects_are_bounded_while_all_endpoints_refuse_and_recovery_is_immediate() -> None:
    simulation = EndpointSimulation(3, "refused", ENDPOINT_NAMES, 0.5, until=5.0)
    simulation.run(12)
    at_first, refusing = simulation.result(3.2, 4.2), simulation.result(4.4, 5.0)
    recovering, recovered = simulation.result(5.0, 6.0), simulation.result(6.0, 7.0)
    assert at_first.sends.total() < 4 * at_first.requests  # five attempts for each request without ejections
    assert 0 < refusing.sends.total() < 1.5 * refusing.requests
    assert recovering.served / recovering.requests > 0.5 and recovered.served / recovered.requests > 0.98
    # No endpoint gets more than its capacity.
    assert max((recovering.sends | recovered.sends).values()) < CORES_PER_ENDPOINT / MEAN_WORK_SECONDS


def test_intermittently_failing_endpoints_are_used_while_healthy() -> None:
    faulty = ENDPOINT_NAMES[:3]
    simulation = EndpointSimulation(4, "failing", faulty, 0.3, fault_period=3.0)
    simulation.run(21)
    while_failing = [simulation.result(at + 0.5, at + 3.0).share(faulty) for at in (9.0, 15.0)]
    while_healthy = [simulation.result(at + 1.0, at + 3.0).share(faulty) for at in (12.0, 18.0)]
    assert max(while_failing) < 0.06 and min(while_healthy) > 0.15


OUTCOMES = st.sampled_from([O.SERVED, *EJECTION_SCORES])


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(OUTCOMES, st.floats(0, 0.5)), max_size=150), st.integers(1, 12), st.integers(0, 99))
def test_at_most_half_of_the_endpoints_are_ejected(
    history: list[tuple[i.Outcome, float]], count: int, seed: int
) -> None:
    copy = Copy(seed, classes=(GET,))
    copy.view(*entries(*ENDPOINT_NAMES[:count]))
    for outcome, after in history:
        actions = copy.ask("get")
        while isinstance(actions[0], i.Send):
            send = actions[0]
            attempt = len(copy.balancer.requests[send.request].attempts) - 1
            actions = copy.end(send, outcome, attempt, after=after / 5, is_request_over=outcome is O.SERVED)
            if not actions or isinstance(actions[0], i.SetTimer):
                copy.do(i.RequestAbandoned(send.request))
                break
    assert not copy.in_flight
    copy.balancer.ejector.rounds += 1.0  # one round
    copy.balancer.throughput.served_at = copy.now
    ejected = [
        e for e in copy.balancer.pool.ready if e.ejections and copy.balancer.ejector.is_ejected(copy.now, e)
    ]
    assert 2 * len(ejected) <= count
    assert isinstance(copy.ask("get")[0], i.Send)


def test_a_cold_endpoint_that_fails_gets_no_more_than_its_share() -> None:
    copy = Copy(1, classes=(GET,))
    copy.view(*entries("a", "b", "c"), i.EndpointEntry("cold", started_at=copy.now))
    cold_sends = 0
    for _ in range(400):
        send = copy.send("get")
        cold_sends += send.endpoint == "cold"
        outcome = O.RESET if send.endpoint == "cold" and cold_sends < 9 else O.SERVED
        copy.end(send, outcome, after=0.0, is_request_over=True)
    assert cold_sends <= 29  # the share of a healthy one: 0.2 to 0.22 of the 125 of a warm one


def test_a_restart_clears_an_ejection(copy: Copy) -> None:
    for _ in range(40):
        send = copy.send()
        copy.end(
            send, O.CONNECT_FAILED if send.endpoint == "a" else O.SERVED, after=0.0, is_request_over=True
        )
    assert copy.balancer.pool.endpoints["a"].ejections
    copy.view(i.EndpointEntry("a", started_at=copy.now - 0.5), kind=i.ViewKind.DELTA)
    assert (
        not copy.balancer.pool.endpoints["a"].ejections and not copy.balancer.ejector.is_majority_unhealthy()
    )


def test_the_in_flight_limit_after_an_ejection_grows_with_each_answer(
    copy: Copy,
) -> None:
    for endpoint in copy.balancer.pool.ready:
        if endpoint.entry.endpoint != "a":
            endpoint.excess_latency, endpoint.updated_at = 1e9, copy.now  # so that "a" is always preferred
    copy.end(copy.send(), O.CONNECT_FAILED)
    endpoint_a = copy.balancer.pool.endpoints["a"]
    assert endpoint_a.ejections
    copy.balancer.ejector.rounds += 100.0
    in_flight: list[int] = []
    while endpoint_a.ejections:
        sends = [send for send in (copy.send() for _ in range(12)) if send.endpoint == "a"]
        in_flight.append(len(sends))
        for send in sends:
            copy.end(send, O.SERVED, after=0.0, is_request_over=True)
    assert in_flight[:3] == [1, 2, 4] and len(in_flight) == 4
