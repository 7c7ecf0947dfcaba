"""Cold endpoints: what all copies together send one, against what its settings allow it then."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.balancer.cold_fleet import Fleet, drawn
from tests.conftest import CONTRACT, SAFE, Copy, entries
from wheatring.balancer import interface as i

O = i.Outcome


@pytest.mark.parametrize(
    ("copies", "seed"),
    [(1, 0), (1, 17), (2, 24), (2, 26), (20, 7), (20, 16), (30, 37), (30, 56), (200, 30), (200, 47)],
)
def test_no_window_of_a_cold_endpoint_is_over_its_budget(copies: int, seed: int) -> None:
    starts = Fleet(drawn(seed, copies), seed).play().starts
    assert sum(start.total for start in starts) > 0
    assert [start.entry.endpoint for start in starts if start.over] == []


@pytest.mark.parametrize("seed", [42, 70])
def test_no_window_is_over_its_budget_where_all_are_cold_and_copies_reach_into_other_zones(seed: int) -> None:
    starts = Fleet(replace(drawn(seed, 200), cold_part=1.0, zones=3, failing=0.0), seed).play().starts
    assert [start.entry.endpoint for start in starts if start.over] == []


@pytest.mark.parametrize(("copies", "seed"), [(20, 7), (200, 0), (200, 3), (200, 7)])
def test_an_endpoint_restored_by_operators_gets_a_request_in_3_s_and_no_more_than_its_budget(
    copies: int, seed: int
) -> None:
    """All copies are told at once."""
    starts = Fleet(replace(drawn(seed, copies), owed=True, spread=0.0, looping=0.0), seed).play().starts
    assert [start.entry.endpoint for start in starts if start.over or start.first > 3] == []


def sends(actions: list[i.Action]) -> list[i.Send]:
    return [action for action in actions if isinstance(action, i.Send)]


def ask(copy: Copy, after: float) -> list[i.Action]:
    copy.now += after
    return copy.ask()


@pytest.mark.parametrize(("copies", "cold"), [(1, 20.0), (6, 20.0), (60, 0.0)])
def test_each_copy_calls_a_restored_endpoint_within_3_s_where_its_budget_allows(
    copies: int, cold: float
) -> None:
    """The sixth call of a cold one comes in its third window; a warm one bears all."""
    for number in range(copies):
        copy = Copy(
            number, balancer_index=number, balancer_count=copies, contract=replace(CONTRACT, warm_up=cold)
        )
        copy.view(*entries(*(f"e{n:02}" for n in range(40))))
        copy.view(i.EndpointEntry("back", started_at=copy.now, is_reinstated=True), kind=i.ViewKind.DELTA)
        assert "back" in [send.endpoint for _ in range(30) for send in sends(ask(copy, 0.1))]


def test_a_restored_endpoint_waits_for_no_later_one() -> None:
    copy = Copy(balancer_index=5, balancer_count=6)  # its calls are due after 2.5 s
    copy.view(*entries(*(f"e{n:02}" for n in range(40))))
    for name in ("first", "second"):
        copy.view(i.EndpointEntry(name, started_at=copy.now, is_reinstated=True), kind=i.ViewKind.DELTA)
        copy.now += 1
    assert [sends(ask(copy, after))[0].endpoint for after in (0.55, 1.0)] == ["first", "second"]


def cold_sends(copy: Copy, requests: int, outcome: i.Outcome) -> int:
    """Return how many of so many requests go to cold endpoints, which serve; at the others each ends so."""
    count = 0
    for _ in range(requests):
        actions = ask(copy, 0.01)
        for attempt in range(copy.settings.limits.max_attempts):
            if not (sent := sends(actions)):
                break
            cold = sent[0].endpoint.startswith("cold")
            count += cold
            actions = copy.end(
                sent[0], O.SERVED if cold else outcome, attempt, after=0.0, is_request_over=cold
            )
    return count


@pytest.mark.parametrize("outcome", [O.CONNECT_FAILED, O.REJECTED])
def test_retries_bring_no_turn_of_a_cold_endpoint(outcome: i.Outcome) -> None:
    """300 requests are 300 / 4.2 turns, however often each is tried."""
    for seed in range(5):
        copy = Copy(seed)
        copy.view(*entries("a", "b", "c", "d"), i.EndpointEntry("cold", started_at=copy.now))
        share = (
            CONTRACT.initial_capacity + (1 - CONTRACT.initial_capacity) * 3 / CONTRACT.warm_up
        )  # the most in 3 s
        assert cold_sends(copy, 300, outcome) <= 300 / 4.2 * share + 1


@pytest.mark.parametrize("outcome", [O.ERROR, O.REJECTED])
def test_cold_endpoints_take_little_of_what_the_others_can_not_carry(outcome: i.Outcome) -> None:
    """Three of five are new. Of the turns that would come with the sends they get less than half."""
    copy = Copy()
    copy.view(*entries("a", "b"), *(i.EndpointEntry(f"cold-{n}", started_at=copy.now) for n in range(3)))
    share = (
        CONTRACT.initial_capacity + (1 - CONTRACT.initial_capacity) * 5 / CONTRACT.warm_up
    )  # the mean over 10 s
    assert 0 < cold_sends(copy, 1000, outcome) < 3 * 1000 / (5 / 1.5) * share / 2


def test_a_cold_endpoint_is_sent_to_by_few_of_many_copies() -> None:
    names = [f"e{n:02}" for n in range(40)]
    senders: dict[str, set[int]] = {}
    for number in range(20):
        copy = Copy(number, balancer_index=number, balancer_count=20)
        copy.view(*(i.EndpointEntry(name, started_at=copy.now) for name in names))
        for _ in range(200):
            for send in sends(ask(copy, 0.01)):
                senders.setdefault(send.endpoint, set()).add(number)
                copy.end(send, O.SERVED, after=0.0, is_request_over=True)
    assert set(senders) == set(names)
    assert max(map(len, senders.values())) <= 3


def test_copies_whose_subset_a_cold_endpoint_enters_do_not_all_send_at_once() -> None:
    sent = 0
    for number in range(60):
        copy = Copy(number, balancer_index=number, balancer_count=60, classes=(SAFE,))
        cold = i.EndpointEntry("cold", started_at=copy.now)
        copy.view(*entries(*(f"e{n:02}" for n in range(40))), cold)
        copy.serve(60, latency=0.01)
        copy.view(*entries("e00", "e01", "e02"), cold)
        sent += sum(copy.send().endpoint == "cold" for _ in range(4))
    assert 0 < sent <= 60 / 2  # four requests are a bit over one turn of the five that it waits at most
