"""Nodes that fail, each in its way: what they are sent, how they come back, and what a bad sidecar may do."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.balancer.endpoint_model import CORES, GET, NODES, QUICK, WORK, Nodes
from tests.conftest import Copy, entries
from wheatring.balancer import interface as i
from wheatring.balancer.outlier_ejection import EJECTION_SCORES

O = i.Outcome


@pytest.mark.parametrize("kind", [*QUICK, "hanging"])
@pytest.mark.parametrize("count", [3, 6])
def test_endpoints_that_fail_get_a_trickle_and_the_others_an_even_share(kind: str, count: int) -> None:
    nodes = Nodes(1, kind, NODES[:count], 0.2)
    nodes.play(12)
    played = nodes.played(5)
    assert 0 < played.share(NODES[:count]) < 0.05
    assert played.busiest(NODES[:count]) < 1.35
    assert played.served / played.asked > 0.95


@pytest.mark.parametrize("kind", [*QUICK, "hanging", "slow"])
def test_ejected_endpoints_return_soon_after_they_are_healthy_and_without_a_rush(kind: str) -> None:
    bad = NODES[:3]
    nodes = Nodes(1, kind, bad, 0.3, until=10.0)
    nodes.play(20)
    first, then = nodes.played(10.0, 10.5), nodes.played(15.0)
    assert first.share(bad) < 0.3  # an even share is 0.25
    assert then.share(bad) > 0.2


def test_a_copy_whose_own_link_is_bad_goes_on_with_all() -> None:
    nodes = Nodes(2, "refused", NODES, 0.3, chance=0.3)
    nodes.play(10)
    played = nodes.played(4)
    assert played.served / played.asked > 0.99
    assert played.busiest(()) < 1.4


def test_when_all_refuse_connects_are_bounded_and_they_are_back_at_once_and_evenly() -> None:
    nodes = Nodes(3, "refused", NODES, 0.5, until=5.0)
    nodes.play(12)
    first, gone = nodes.played(3.2, 4.2), nodes.played(4.4, 5.0)
    back, soon = nodes.played(5.0, 6.0), nodes.played(6.0, 7.0)
    assert first.sends.total() < 4 * first.asked  # and not five for each
    assert 0 < gone.sends.total() < 1.5 * gone.asked
    assert back.served / back.asked > 0.5 and soon.served / soon.asked > 0.98
    assert max((back.sends | soon.sends).values()) < CORES / WORK  # none gets more than it can do


def test_an_endpoint_that_is_healthy_at_times_is_used_then() -> None:
    bad = NODES[:3]
    nodes = Nodes(4, "failing", bad, 0.3, every=3.0)
    nodes.play(21)
    unhealthy = [nodes.played(at + 0.5, at + 3.0).share(bad) for at in (9.0, 15.0)]
    well = [nodes.played(at + 1.0, at + 3.0).share(bad) for at in (12.0, 18.0)]
    assert max(unhealthy) < 0.06 and min(well) > 0.15


OUTCOMES = st.sampled_from([O.SERVED, *EJECTION_SCORES])


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(OUTCOMES, st.floats(0, 0.5)), max_size=150), st.integers(1, 12), st.integers(0, 99))
def test_whatever_has_failed_no_more_than_half_of_the_list_is_left_alone(
    history: list[tuple[i.Outcome, float]], count: int, seed: int
) -> None:
    copy = Copy(seed, classes=(GET,))
    copy.view(*entries(*NODES[:count]))
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
    copy.balancer.ejector.rounds += 1.0  # an even share for each
    copy.balancer.throughput.served_at = copy.now
    alone = [
        e for e in copy.balancer.pool.ready if e.ejections and copy.balancer.ejector.is_ejected(copy.now, e)
    ]
    assert 2 * len(alone) <= count
    assert isinstance(copy.ask("get")[0], i.Send)


def test_a_cold_endpoint_that_has_failed_gets_no_more_than_its_share() -> None:
    copy = Copy(1, classes=(GET,))
    copy.view(*entries("a", "b", "c"), i.EndpointEntry("cold", started_at=copy.now))
    got = 0
    for _ in range(400):
        send = copy.send("get")
        got += send.endpoint == "cold"
        outcome = O.RESET if send.endpoint == "cold" and got < 9 else O.SERVED
        copy.end(send, outcome, after=0.0, is_request_over=True)
    assert got <= 29  # as a well one: 0.2 to 0.22 of a warm one's 125


def test_a_restarted_endpoint_is_healthy_again(copy: Copy) -> None:
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


def test_an_ejected_endpoint_gets_one_request_then_one_more_with_each_answer_until_it_is_healthy(
    copy: Copy,
) -> None:
    for endpoint in copy.balancer.pool.ready:
        if endpoint.entry.endpoint != "a":
            endpoint.excess_latency, endpoint.updated_at = 1e9, copy.now  # so that it is always preferred
    copy.end(copy.send(), O.CONNECT_FAILED)
    record = copy.balancer.pool.endpoints["a"]
    assert record.ejections
    copy.balancer.ejector.rounds += 100.0
    in_flight: list[int] = []
    while record.ejections:
        sends = [send for send in (copy.send() for _ in range(12)) if send.endpoint == "a"]
        in_flight.append(len(sends))
        for send in sends:
            copy.end(send, O.SERVED, after=0.0, is_request_over=True)
    assert in_flight[:3] == [1, 2, 4] and len(in_flight) == 4
