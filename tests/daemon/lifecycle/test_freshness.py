"""When the machine list counts as old, against a slow statement of it, and how often it may be asked for."""

from __future__ import annotations

from collections import deque
from itertools import pairwise
from math import inf
from random import Random

import pytest

from wheatring.balancer.interface import Outcome
from wheatring.daemon.lifecycle import freshness
from wheatring.daemon.lifecycle.freshness import (
    MAX_ASK_INTERVAL_SECONDS,
    MAX_ASK_RATE,
    MAX_EMPTY_SECONDS,
    MIN_ASK_INTERVAL_SECONDS,
    RENEWAL_SECONDS,
    SUSPECT_NODE_SECONDS,
    SUSPICION_MEMORY_SECONDS,
    Freshness,
)

BAD = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.REJECTED)
SAYS_NOTHING = (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.NOT_SENT)


class Slow:
    """All that has happened, gone through anew for each question."""

    def __init__(self) -> None:
        self.past: list[tuple[float, str, str, float]] = []  # instant, what, node, weight

    def doubt(self, now: float) -> float:
        news = max(at for at, what, _, _ in self.past if what == "news")
        total = 0.0
        for node in {node for _, _, node, _ in self.past if node}:
            weight, since, last = 0.0, inf, -inf
            for at, what, name, more in self.past:
                if name != node:
                    continue
                if what == "clear" or at - last > SUSPICION_MEMORY_SECONDS:
                    weight, since = 0.0, inf
                if what == "strike":
                    weight, last = weight + more, at
                    if weight >= 1 and since == inf:
                        since = at
            if since < inf and now - last <= SUSPICION_MEMORY_SECONDS:
                total += now - max(since, news)
        return total


@pytest.mark.parametrize("seed", range(12))
def test_a_list_is_suspect_just_when_its_failing_endpoints_add_up_to_enough_seconds(seed: int) -> None:
    random = Random(seed)
    names = [f"n{n}" for n in range(5)]
    now = 100.0
    fresh, slow = Freshness(1, 0, Random(seed), now), Slow()
    fresh.list_changed(now, dict.fromkeys(names, True), True)
    fresh.watch_started(now)
    slow.past.append((now, "news", "", 0.0))
    found = 0
    for _ in range(400):
        now += random.choice((0.0, 0.1, 0.6, 2.0, 2.0 if seed % 2 else 25.0)) * random.random()
        node = random.choice(names)
        what = random.random()
        if what < 0.6:
            outcome = random.choice(BAD)
            fresh.attempt_ended(now, node, outcome)
            slow.past.append((now, "strike", node, freshness.FAULT_WEIGHTS[outcome]))
        elif what < 0.75:
            fresh.attempt_ended(now, node, random.choice((Outcome.SERVED, Outcome.ERROR)))
            slow.past.append((now, "clear", node, 0.0))
        elif what < 0.8:
            fresh.list_changed(now, {node: True}, False)
            slow.past += [(now, "clear", node, 0.0), (now, "news", "", 0.0)]
        elif what < 0.85:
            assert not fresh.attempt_ended(now, node, random.choice(SAYS_NOTHING))
            assert not fresh.attempt_ended(now, "unlisted", Outcome.CONNECT_FAILED)
        due, doubt = fresh.next_ask_at(now), slow.doubt(now)
        assert (fresh.suspect_since is not None) == (doubt >= SUSPECT_NODE_SECONDS - 1e-9) or abs(
            doubt - SUSPECT_NODE_SECONDS
        ) < 1e-6
        if doubt >= SUSPECT_NODE_SECONDS + 1e-6 and now > 200.0:
            found += 1
            assert due <= now + freshness.MIN_SPREAD_SECONDS
        fresh.watch_started(min(now, 150.0))  # laid long ago
    assert found > 5


def struck(copies: int, number: int, nodes: int = 12) -> Freshness:
    fresh = Freshness(copies, number, Random(f"{copies}:{number}"), 0.0)
    fresh.list_changed(0.0, {f"n{n}": True for n in range(nodes)}, True)
    fresh.watch_started(0.0)
    return fresh


def asks(fresh: Freshness, until: float, news: float = inf) -> list[float]:
    """When it asks, all of its nodes refusing from 10 s on and news coming so long after each ask."""
    made = []
    now, told = 10.0, inf
    while now < until:
        for node in list(fresh.serving):
            fresh.attempt_ended(now, node, Outcome.CONNECT_FAILED)
        if now >= told:
            fresh.list_changed(now, {"n0": True}, False)
            told = inf
        if fresh.next_ask_at(now) <= now:
            made.append(now)
            fresh.ask_sent(now)
            fresh.watch_started(now)
            told = now + news
        now += 0.05
    return made


def test_asks_are_never_nearer_than_the_floor_and_grow_rarer_while_they_bring_nothing() -> None:
    fruitless, fruitful = asks(struck(1, 0), 300.0), asks(struck(1, 0), 300.0, 0.5)
    assert fruitless[0] < 10.0 + SUSPECT_NODE_SECONDS / 12 + freshness.MIN_SPREAD_SECONDS + 0.1
    for made in (fruitless, fruitful):
        assert all(b - a >= MIN_ASK_INTERVAL_SECONDS for a, b in pairwise(made))
    gaps = [b - a for a, b in pairwise(fruitless)]
    assert max(gaps[:2]) < 2.6 * MIN_ASK_INTERVAL_SECONDS and min(gaps[4:]) >= min(
        RENEWAL_SECONDS, MAX_ASK_INTERVAL_SECONDS
    )
    assert len(fruitless) <= 5 + 300 / RENEWAL_SECONDS and len(fruitful) > 40


@pytest.mark.parametrize("copies", [1, 17, 1000])
def test_all_copies_of_a_tier_together_ask_no_more_than_so_often(copies: int) -> None:
    """All nodes refuse everywhere at one instant, as when the network goes, and stay so."""
    each = 1 if copies < 1000 else 10  # of so many copies one is played
    made = sorted(at for n in range(0, copies, each) for at in asks(struck(copies, n, 2), 130.0))
    window: deque[float] = deque()
    for at in made:
        window.append(at)
        while window[0] <= at - 4.0:
            window.popleft()
        assert len(window) * each <= max(copies, 4.0 * MAX_ASK_RATE * 1.2)
    assert (
        len(made) * each <= copies * (1 + 120.0 / MIN_ASK_INTERVAL_SECONDS)
        and len(made) * each <= 130.0 * MAX_ASK_RATE
    )


def test_what_is_due_at_an_instant_is_due_then_however_late_its_turn_among_the_copies() -> None:
    fresh = struck(100, 90)
    for n in range(12):
        fresh.attempt_ended(10.0, f"n{n}", Outcome.CONNECT_FAILED)
    at = fresh.next_ask_at(10.0)
    assert 10.0 + SUSPECT_NODE_SECONDS / 12 + 3.5 < at < 10.0 + SUSPECT_NODE_SECONDS / 12 + 100 / MAX_ASK_RATE
    assert fresh.next_ask_at(at) <= at


def test_one_endpoint_that_flaps_or_few_among_many_are_no_reason_to_ask_often() -> None:
    fresh = struck(1, 0)
    made, now = [], 10.0
    while now < 60.0:
        fresh.attempt_ended(now, "n0", Outcome.CONNECT_FAILED if now % 6 < 3 else Outcome.SERVED)
        if fresh.next_ask_at(now) <= now:
            made.append(now)
            fresh.ask_sent(now)
            fresh.watch_started(now)
        now += 0.1
    assert len(made) <= 2  # for its silence alone


def test_an_empty_list_is_suspect_by_itself_and_without_a_watch_nothing_is_due() -> None:
    fresh = struck(1, 0, 1)
    fresh.watch_started(20.0)
    fresh.list_changed(20.0, {"n0": False}, False)
    assert 20.0 + MAX_EMPTY_SECONDS <= fresh.next_ask_at(20.0) <= 20.0 + MIN_ASK_INTERVAL_SECONDS
    fresh.watch_stopped()
    assert fresh.next_ask_at(21.0) == inf
