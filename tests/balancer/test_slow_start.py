"""Slow start: attempts that all balancers together send to a cold endpoint, compared with its budget."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.balancer.cold_fleet import Fleet, random_case
from tests.conftest import CONTRACT, SAFE, Copy, entries
from wheatring.balancer import interface as i

O = i.Outcome


@pytest.mark.parametrize(
    ("balancers", "seed"),
    [(1, 0), (1, 17), (2, 24), (2, 26), (20, 7), (20, 16), (30, 37), (30, 56), (200, 30), (200, 47)],
)
def test_cold_endpoints_are_sent_no_more_than_their_budget(balancers: int, seed: int) -> None:
    starts = Fleet(random_case(seed, balancers), seed).run().cold_starts
    assert sum(start.attempts for start in starts) > 0
    assert [start.entry.endpoint for start in starts if start.attempts_over_bound] == []


@pytest.mark.parametrize("seed", [42, 70])
def test_the_budget_holds_if_all_endpoints_are_cold_and_requests_cross_zones(seed: int) -> None:
    starts = (
        Fleet(replace(random_case(seed, 200), replaced_fraction=1.0, zones=3, failing_fraction=0.0), seed)
        .run()
        .cold_starts
    )
    assert [start.entry.endpoint for start in starts if start.attempts_over_bound] == []


@pytest.mark.parametrize(("balancers", "seed"), [(20, 7), (200, 0), (200, 3), (200, 7)])
def test_a_reinstated_endpoint_gets_a_request_within_3_s_and_no_more_than_its_budget(
    balancers: int, seed: int
) -> None:
    """All balancers are notified simultaneously."""
    starts = (
        Fleet(
            replace(
                random_case(seed, balancers),
                is_reinstated=True,
                notification_spread=0.0,
                restart_interval=0.0,
            ),
            seed,
        )
        .run()
        .cold_starts
    )
    assert [
        start.entry.endpoint for start in starts if start.attempts_over_bound or start.first_attempt_after > 3
    ] == []


def sends(actions: list[i.Action]) -> list[i.Send]:
    return [action for action in actions if isinstance(action, i.Send)]


def request_after(copy: Copy, after: float) -> list[i.Action]:
    copy.now += after
    return copy.ask()


@pytest.mark.parametrize(("balancers", "warm_up"), [(1, 20.0), (6, 20.0), (60, 0.0)])
def test_each_balancer_sends_to_a_reinstated_endpoint_within_3_s_if_its_budget_allows(
    balancers: int, warm_up: float
) -> None:
    """Six balancers reach a cold endpoint within three overload windows; a warm endpoint has no limit."""
    for index in range(balancers):
        copy = Copy(
            index, balancer_index=index, balancer_count=balancers, contract=replace(CONTRACT, warm_up=warm_up)
        )
        copy.view(*entries(*(f"e{n:02}" for n in range(40))))
        copy.view(i.EndpointEntry("back", started_at=copy.now, is_reinstated=True), kind=i.ViewKind.DELTA)
        assert "back" in [send.endpoint for _ in range(30) for send in sends(request_after(copy, 0.1))]


def test_a_reinstated_endpoint_is_not_delayed_by_a_later_one() -> None:
    copy = Copy(balancer_index=5, balancer_count=6)  # its requests are due after 2.5 s
    copy.view(*entries(*(f"e{n:02}" for n in range(40))))
    for name in ("first", "second"):
        copy.view(i.EndpointEntry(name, started_at=copy.now, is_reinstated=True), kind=i.ViewKind.DELTA)
        copy.now += 1
    assert [sends(request_after(copy, after))[0].endpoint for after in (0.55, 1.0)] == ["first", "second"]


def cold_sends(copy: Copy, requests: int, outcome: i.Outcome) -> int:
    """Return how many attempts go to cold endpoints, which serve; at others they end with `outcome`."""
    count = 0
    for _ in range(requests):
        actions = request_after(copy, 0.01)
        for attempt in range(copy.settings.limits.max_attempts):
            if not (sent := sends(actions)):
                break
            is_cold = sent[0].endpoint.startswith("cold")
            count += is_cold
            actions = copy.end(
                sent[0], O.SERVED if is_cold else outcome, attempt, after=0.0, is_request_over=is_cold
            )
    return count


@pytest.mark.parametrize("outcome", [O.CONNECT_FAILED, O.REJECTED])
def test_retries_do_not_advance_the_slow_start(outcome: i.Outcome) -> None:
    """300 requests are 300 / 4.2 slots, however often each is retried."""
    for seed in range(5):
        copy = Copy(seed)
        copy.view(*entries("a", "b", "c", "d"), i.EndpointEntry("cold", started_at=copy.now))
        # The capacity after 3 s, when the test ends.
        share = CONTRACT.initial_capacity + (1 - CONTRACT.initial_capacity) * 3 / CONTRACT.warm_up
        assert cold_sends(copy, 300, outcome) <= 300 / 4.2 * share + 1


@pytest.mark.parametrize("outcome", [O.ERROR, O.REJECTED])
def test_cold_endpoints_take_over_little_of_the_load_of_failing_ones(outcome: i.Outcome) -> None:
    """Three of five endpoints are cold, and get less than half the slots that served requests would give."""
    copy = Copy()
    copy.view(*entries("a", "b"), *(i.EndpointEntry(f"cold-{n}", started_at=copy.now) for n in range(3)))
    # The mean capacity over 10 s.
    share = CONTRACT.initial_capacity + (1 - CONTRACT.initial_capacity) * 5 / CONTRACT.warm_up
    assert 0 < cold_sends(copy, 1000, outcome) < 3 * 1000 / (5 / 1.5) * share / 2


def test_a_cold_endpoint_gets_requests_from_few_balancers() -> None:
    names = [f"e{n:02}" for n in range(40)]
    senders: dict[str, set[int]] = {}
    for index in range(20):
        copy = Copy(index, balancer_index=index, balancer_count=20)
        copy.view(*(i.EndpointEntry(name, started_at=copy.now) for name in names))
        for _ in range(200):
            for send in sends(request_after(copy, 0.01)):
                senders.setdefault(send.endpoint, set()).add(index)
                copy.end(send, O.SERVED, after=0.0, is_request_over=True)
    assert set(senders) == set(names)
    assert max(map(len, senders.values())) <= 3


def test_balancers_do_not_all_send_at_once_to_a_cold_endpoint_that_enters_their_subset() -> None:
    sent = 0
    for index in range(60):
        copy = Copy(index, balancer_index=index, balancer_count=60, classes=(SAFE,))
        cold = i.EndpointEntry("cold", started_at=copy.now)
        copy.view(*entries(*(f"e{n:02}" for n in range(40))), cold)
        copy.serve(60, latency=0.01)
        copy.view(*entries("e00", "e01", "e02"), cold)
        sent += sum(copy.send().endpoint == "cold" for _ in range(4))
    # Four requests are little more than one slot, and the first slot is drawn from five.
    assert 0 < sent <= 60 / 2
