"""Which endpoint a request goes to, rules 3 and 4, and what discovery is asked."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.conftest import CONTRACT, Copy, entries
from wheatring.balancer import interface as i

O = i.Outcome


def test_the_lighter_by_own_calls_in_flight_is_chosen() -> None:
    copy = Copy(contract=CONTRACT)
    copy.view(*entries("a", "b"))
    in_flight_of: Counter[str] = Counter()
    for _ in range(60):
        in_flight_of[copy.send().endpoint] += 1
    assert abs(in_flight_of["a"] - in_flight_of["b"]) <= 6  # one random choice would stray by more


def test_a_send_says_which_endpoints_were_drawn_and_how_many_requests_they_had_in_flight() -> None:
    copy = Copy()
    copy.view(*entries("a"), i.EndpointEntry("b", started_at=copy.now))
    sends = [copy.send() for _ in range(20)]
    busy = Counter[str]()
    passed_over = 0
    for send in sends:
        assert send.endpoint in {drawn.endpoint for drawn in send.candidates} <= {"a", "b"}
        assert all(
            (drawn.in_flight, drawn.reported) == (busy[drawn.endpoint], None) for drawn in send.candidates
        )
        lightest = min(send.candidates, key=lambda drawn: drawn.in_flight)
        passed_over += lightest.endpoint != send.endpoint  # cold, and it is not its turn yet
        busy[send.endpoint] += 1
    assert passed_over


def test_slow_failing_and_silent_endpoints_are_avoided() -> None:
    def share(spoil: str) -> float:
        copy = Copy(3)
        copy.view(*entries("a", "b", "c", "bad"))
        got = 0
        stuck = 0
        for n in range(400):
            send = copy.send()
            if n >= 100:
                got += send.endpoint == "bad"
            if send.endpoint != "bad" or n < 40:
                copy.end(send, O.SERVED, is_request_over=True)
            elif spoil == "slow":
                copy.end(send, O.SERVED, after=1.0, is_request_over=True)
            elif spoil == "failing":
                copy.end(send, O.ERROR, after=0.001, is_request_over=True)
            else:
                stuck += 1
        return got / 300

    for spoil in ("slow", "failing", "silent"):
        assert share(spoil) < 0.06, spoil


def test_the_burden_of_failures_decays() -> None:
    copy = Copy()
    copy.view(*entries("a", "b"))
    while not copy.balancer.pool.endpoints["a"].failures:
        send = copy.send()
        copy.end(send, O.ERROR if send.endpoint == "a" else O.SERVED, is_request_over=True)
    bad = copy.balancer.load.multiplier(copy.now, copy.balancer.pool.endpoints["a"])
    copy.now += 60
    assert copy.balancer.load.multiplier(copy.now, copy.balancer.pool.endpoints["a"]) < 0.5 * bad


def test_load_reports_scale_and_grow_old() -> None:
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


def test_better_rated_endpoints_take_more() -> None:
    copy = Copy()
    copy.view(i.EndpointEntry("big", rating=3.0), i.EndpointEntry("small", rating=1.0))
    in_flight_of = Counter(copy.send().endpoint for _ in range(80))
    assert in_flight_of["big"] > 2 * in_flight_of["small"]


def test_subsets_are_small_even_and_stable() -> None:
    names = [f"e{n:03}" for n in range(60)]
    cover: Counter[str] = Counter()
    for number in range(40):
        copy = Copy(balancer_count=40, balancer_index=number)
        copy.view(*entries(*reversed(names)))
        near = [e.entry.endpoint for e in copy.balancer.pool.local]
        assert len(near) < 15
        cover.update(near)
        copy.view(i.EndpointEntry(names[5], i.EndpointState.GONE), kind=i.ViewKind.DELTA)
        after = {e.entry.endpoint for e in copy.balancer.pool.local}
        assert len(set(near) & after) >= len(near) - 2
    assert set(cover) == set(names)
    assert max(cover.values()) <= 2 * min(cover.values())


def test_the_draw_goes_wider_when_the_subset_is_unfit() -> None:
    copy = Copy(balancer_count=40)
    copy.view(*entries(*(f"e{n:03}" for n in range(60))))
    for endpoint in copy.balancer.pool.local:
        endpoint.failures, endpoint.outcomes, endpoint.updated_at = 9.0, 9.0, copy.now
    near = {e.entry.endpoint for e in copy.balancer.pool.local}
    sent = [copy.send().endpoint for _ in range(20)]
    assert sum(name in near for name in sent) <= 4


def test_the_own_zone_comes_first_and_spills_over() -> None:
    copy = Copy(zone="x", zones=("x", "y"))
    copy.view(
        *entries(*(f"x{n}" for n in range(8)), zone="x"), *entries(*(f"y{n}" for n in range(8)), zone="y")
    )
    first = [copy.send().endpoint for _ in range(4)]
    assert all(name.startswith("x") for name in first)
    later = [copy.send().endpoint for _ in range(60)]
    assert any(name.startswith("y") for name in later)


def test_no_endpoint_at_all_is_a_refusal_at_once() -> None:
    copy = Copy()
    assert isinstance(copy.ask()[0], i.Reject)
    copy.view()
    assert isinstance(copy.ask("order")[0], i.Reject)


# Rule 3: drains are kept.


@pytest.mark.parametrize("state", [i.EndpointState.DRAINING, i.EndpointState.GONE])
def test_nothing_new_goes_to_an_endpoint_reported_draining_or_gone(state: i.EndpointState) -> None:
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


def test_a_failed_call_leaves_the_list_as_it_is(copy: Copy) -> None:
    copy.view(kind=i.ViewKind.FAILED)
    assert len({copy.send().endpoint for _ in range(30)}) == 4


def test_copies_that_must_ask_subscribe_soon_and_again_after_failures() -> None:
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
            assert copy.view(kind=i.ViewKind.FAILED) == []  # one call at a time
            assert copy.do(i.TimerDue(timer.token), timer.delay) == [i.Subscribe()]
        assert copy.view(*entries("a")) == []
    assert len(set(delays)) == len(delays)  # jitter: no herd


def test_copies_that_are_pushed_to_ask_nothing(copy: Copy) -> None:
    assert copy.view(*entries("a"), kind=i.ViewKind.CACHED) == []
    assert copy.view(kind=i.ViewKind.FAILED) == []


# Rule 4: a cold endpoint is not pushed over.


def sends_to(copy: Copy, name: str, count: int, every: float) -> int:
    got = 0
    for _ in range(count):
        copy.now += every
        for action in copy.ask():
            if isinstance(action, i.Send):
                got += action.endpoint == name
                copy.end(action, O.SERVED, after=0.0, is_request_over=True)
    return got


def test_a_cold_endpoint_takes_no_more_than_its_part() -> None:
    for seed in range(5):
        copy = Copy(seed)
        copy.view(*entries("a", "b", "c"), i.EndpointEntry("cold", started_at=copy.now))
        # 0.2 to 0.22 of what each warm one takes: 400 sends are 125 a warm one
        assert 10 <= sends_to(copy, "cold", 400, 0.001) <= 29
        copy.now += 21
        assert sends_to(copy, "cold", 400, 0.001) > 60


def test_copies_notified_together_do_not_all_send_at_once() -> None:
    first = 0
    for seed in range(100):
        copy = Copy(seed)
        copy.view(*entries("a", "b", "c"), i.EndpointEntry("cold", started_at=copy.now))
        first += "cold" in [copy.send().endpoint for _ in range(4)]
    assert first < 40  # four requests are little more than one turn, of the five that it waits at most


def test_a_restarted_endpoint_is_cold_and_its_record_is_forgotten() -> None:
    copy = Copy()
    copy.view(*entries("a", "b"))
    record = copy.balancer.pool.endpoints["a"]
    record.failures = 1.0
    copy.now += 5
    copy.view(i.EndpointEntry("a", started_at=copy.now - 0.5), kind=i.ViewKind.DELTA)
    fresh = copy.balancer.pool.endpoints["a"]
    assert fresh.failures == 0 and fresh.in_flight == 0
    assert copy.balancer.slow_start.capacity(copy.now, fresh) < 0.25


def test_a_fleet_that_restarts_as_one_is_not_overloaded() -> None:
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
    # the even share is 100 each: no more than 1.5 x 0.22 of it, and a turn that was open
    assert sent <= 4 * (1.5 * 0.22 * 100 + 1)
