"""Endpoint selection, subsets and subscriptions, and rules 3 (drains) and 4 (cold endpoints)."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.conftest import CONTRACT, Copy, entries
from wheatring.balancer import interface as i

O = i.Outcome


def test_the_endpoint_with_fewer_own_attempts_in_flight_is_picked() -> None:
    copy = Copy(contract=CONTRACT)
    copy.view(*entries("a", "b"))
    attempts_to: Counter[str] = Counter()
    for _ in range(60):
        attempts_to[copy.send().endpoint] += 1
    assert abs(attempts_to["a"] - attempts_to["b"]) <= 6  # a single random choice would deviate more


def test_a_send_lists_its_candidates_with_their_attempts_in_flight() -> None:
    copy = Copy()
    copy.view(*entries("a"), i.EndpointEntry("b", started_at=copy.now))
    sends = [copy.send() for _ in range(20)]
    in_flight = Counter[str]()
    skipped = 0
    for send in sends:
        assert send.endpoint in {drawn.endpoint for drawn in send.candidates} <= {"a", "b"}
        assert all(
            (drawn.in_flight, drawn.reported) == (in_flight[drawn.endpoint], None)
            for drawn in send.candidates
        )
        least_loaded = min(send.candidates, key=lambda drawn: drawn.in_flight)
        skipped += least_loaded.endpoint != send.endpoint  # cold, before its slot
        in_flight[send.endpoint] += 1
    assert skipped


def test_slow_failing_and_unresponsive_endpoints_are_avoided() -> None:
    def share(fault: str) -> float:
        copy = Copy(3)
        copy.view(*entries("a", "b", "c", "bad"))
        attempts = 0
        unanswered = 0
        for n in range(400):
            send = copy.send()
            if n >= 100:
                attempts += send.endpoint == "bad"
            if send.endpoint != "bad" or n < 40:
                copy.end(send, O.SERVED, is_request_over=True)
            elif fault == "slow":
                copy.end(send, O.SERVED, after=1.0, is_request_over=True)
            elif fault == "failing":
                copy.end(send, O.ERROR, after=0.001, is_request_over=True)
            else:
                unanswered += 1
        return attempts / 300

    for fault in ("slow", "failing", "unresponsive"):
        assert share(fault) < 0.06, fault


def test_the_load_multiplier_of_a_failure_decays() -> None:
    copy = Copy()
    copy.view(*entries("a", "b"))
    while not copy.balancer.pool.endpoints["a"].failures:
        send = copy.send()
        copy.end(send, O.ERROR if send.endpoint == "a" else O.SERVED, is_request_over=True)
    bad = copy.balancer.load.multiplier(copy.now, copy.balancer.pool.endpoints["a"])
    copy.now += 60
    assert copy.balancer.load.multiplier(copy.now, copy.balancer.pool.endpoints["a"]) < 0.5 * bad


def test_load_reports_raise_the_load_multiplier_and_lose_weight_with_age() -> None:
    copy = Copy()
    copy.view(*entries("a", "b"))
    for _ in range(30):
        sends = [copy.send()]
        while len({send.endpoint for send in sends}) < 2:
            sends.append(copy.send())
        for send in sends:
            report = i.LoadReport(in_flight=20.0 if send.endpoint == "a" else 2.0)
            copy.end(send, O.SERVED, after=0.05, is_request_over=True, report=report)
    a, b = (copy.balancer.pool.endpoints[name] for name in "ab")
    fresh = copy.balancer.load.multiplier(copy.now, a) / copy.balancer.load.multiplier(copy.now, b)
    copy.now += 30
    old = copy.balancer.load.multiplier(copy.now, a) / copy.balancer.load.multiplier(copy.now, b)
    assert fresh > 2 and abs(old - 1) < 0.2


def test_endpoints_with_a_higher_rating_get_more_requests() -> None:
    copy = Copy()
    copy.view(i.EndpointEntry("big", rating=3.0), i.EndpointEntry("small", rating=1.0))
    attempts_to = Counter(copy.send().endpoint for _ in range(80))
    assert attempts_to["big"] > 2 * attempts_to["small"]


def test_subsets_are_small_even_and_stable() -> None:
    names = [f"e{n:03}" for n in range(60)]
    balancers_of: Counter[str] = Counter()
    for index in range(40):
        copy = Copy(balancer_count=40, balancer_index=index)
        copy.view(*entries(*reversed(names)))
        subset = [e.entry.endpoint for e in copy.balancer.pool.local]
        assert len(subset) < 15
        balancers_of.update(subset)
        copy.view(i.EndpointEntry(names[5], i.EndpointState.GONE), kind=i.ViewKind.DELTA)
        after = {e.entry.endpoint for e in copy.balancer.pool.local}
        assert len(set(subset) & after) >= len(subset) - 2
    assert set(balancers_of) == set(names)
    assert max(balancers_of.values()) <= 2 * min(balancers_of.values())


def test_endpoints_outside_the_subset_are_drawn_if_the_subset_is_unhealthy() -> None:
    copy = Copy(balancer_count=40)
    copy.view(*entries(*(f"e{n:03}" for n in range(60))))
    for endpoint in copy.balancer.pool.local:
        endpoint.failures, endpoint.outcomes, endpoint.updated_at = 9.0, 9.0, copy.now
    subset = {e.entry.endpoint for e in copy.balancer.pool.local}
    sent = [copy.send().endpoint for _ in range(20)]
    assert sum(name in subset for name in sent) <= 4


def test_requests_stay_in_their_zone_until_it_is_loaded() -> None:
    copy = Copy(zone="x", zones=("x", "y"))
    copy.view(
        *entries(*(f"x{n}" for n in range(8)), zone="x"), *entries(*(f"y{n}" for n in range(8)), zone="y")
    )
    first = [copy.send().endpoint for _ in range(4)]
    assert all(name.startswith("x") for name in first)
    later = [copy.send().endpoint for _ in range(60)]
    assert any(name.startswith("y") for name in later)


def test_a_request_without_an_endpoint_is_rejected_immediately() -> None:
    copy = Copy()
    assert isinstance(copy.ask()[0], i.Reject)
    copy.view()
    assert isinstance(copy.ask("order")[0], i.Reject)


# Rule 3: draining endpoints get no new attempts.


@pytest.mark.parametrize("state", [i.EndpointState.DRAINING, i.EndpointState.GONE])
def test_draining_and_gone_endpoints_get_no_new_attempts(state: i.EndpointState) -> None:
    copy = Copy()
    copy.view(*entries("a", "b"))
    (timer,) = copy.end(copy.send(), O.ERROR)
    assert isinstance(timer, i.SetTimer)
    copy.view(i.EndpointEntry("a", state), kind=i.ViewKind.DELTA)
    assert [copy.send().endpoint for _ in range(30)] == ["b"] * 30
    (retry,) = copy.do(i.TimerDue(timer.token), timer.delay)
    assert isinstance(retry, i.Send) and retry.endpoint == "b"
    copy.view(i.EndpointEntry("b", state), kind=i.ViewKind.DELTA)
    assert isinstance(copy.ask()[0], i.Reject)


@pytest.mark.parametrize("kind", [i.ViewKind.FULL, i.ViewKind.CACHED])
def test_an_endpoint_missing_from_a_full_list_is_gone(kind: i.ViewKind) -> None:
    copy = Copy()
    copy.view(*entries("a", "b"))
    copy.view(*entries("b"), kind=kind)
    assert {copy.send().endpoint for _ in range(30)} == {"b"}


def test_a_failed_discovery_call_keeps_the_endpoint_list(copy: Copy) -> None:
    copy.view(kind=i.ViewKind.FAILED)
    assert len({copy.send().endpoint for _ in range(30)}) == 4


def test_balancers_subscribe_with_jitter_and_again_after_failures() -> None:
    delays = []
    for seed in range(20):
        copy = Copy(seed, must_subscribe=True)
        (timer,) = copy.view(*entries("a"), kind=i.ViewKind.CACHED)
        assert isinstance(timer, i.SetTimer) and timer.delay < CONTRACT.subscribe_within / 2
        delays.append(timer.delay)
        assert copy.do(i.TimerDue(timer.token), timer.delay) == [i.Subscribe()]
        for _ in range(8):
            (timer,) = copy.view(kind=i.ViewKind.FAILED)
            assert isinstance(timer, i.SetTimer) and timer.delay < CONTRACT.subscribe_within / 2
            assert copy.view(kind=i.ViewKind.FAILED) == []  # one timer at a time
            assert copy.do(i.TimerDue(timer.token), timer.delay) == [i.Subscribe()]
        assert copy.view(*entries("a")) == []
    assert len(set(delays)) == len(delays)  # jitter


def test_balancers_that_are_pushed_the_list_do_not_subscribe(copy: Copy) -> None:
    assert copy.view(*entries("a"), kind=i.ViewKind.CACHED) == []
    assert copy.view(kind=i.ViewKind.FAILED) == []


# Rule 4: cold endpoints are not overloaded.


def sends_to(copy: Copy, name: str, count: int, every: float) -> int:
    attempts = 0
    for _ in range(count):
        copy.now += every
        for action in copy.ask():
            if isinstance(action, i.Send):
                attempts += action.endpoint == name
                copy.end(action, O.SERVED, after=0.0, is_request_over=True)
    return attempts


def test_a_cold_endpoint_gets_requests_in_proportion_to_its_capacity() -> None:
    for seed in range(5):
        copy = Copy(seed)
        copy.view(*entries("a", "b", "c"), i.EndpointEntry("cold", started_at=copy.now))
        # 0.2 to 0.22 of the share of a warm endpoint, which is 125 of 400 attempts.
        assert 10 <= sends_to(copy, "cold", 400, 0.001) <= 29
        copy.now += 21
        assert sends_to(copy, "cold", 400, 0.001) > 60


def test_balancers_notified_simultaneously_do_not_all_send_at_the_same_time() -> None:
    early_sends = 0
    for seed in range(100):
        copy = Copy(seed)
        copy.view(*entries("a", "b", "c"), i.EndpointEntry("cold", started_at=copy.now))
        early_sends += "cold" in [copy.send().endpoint for _ in range(4)]
    # Four requests are little more than one slot, and the first slot is drawn from five.
    assert early_sends < 40


def test_a_restarted_endpoint_is_cold_and_has_no_history() -> None:
    copy = Copy()
    copy.view(*entries("a", "b"))
    endpoint = copy.balancer.pool.endpoints["a"]
    endpoint.failures = 1.0
    copy.now += 5
    copy.view(i.EndpointEntry("a", started_at=copy.now - 0.5), kind=i.ViewKind.DELTA)
    fresh = copy.balancer.pool.endpoints["a"]
    assert fresh.failures == 0 and fresh.in_flight == 0
    assert copy.balancer.slow_start.capacity(copy.now, fresh) < 0.25


def test_a_fleet_that_restarts_simultaneously_is_not_overloaded() -> None:
    copy = Copy()
    copy.view(*(i.EndpointEntry(f"e{n}", started_at=copy.now) for n in range(4)))
    sent = sum(sends_to(copy, f"e{n}", 1, 0.001) for _ in range(100) for n in range(4))
    assert sent > 0
    sent = 0
    for _ in range(400):
        for action in copy.ask():
            if isinstance(action, i.Send):
                sent += 1
                copy.end(action, O.SERVED, after=0.0, is_request_over=True)
    # At most 1.5 x 0.22 of the even share of 100 each, and one slot that was due.
    assert sent <= 4 * (1.5 * 0.22 * 100 + 1)
