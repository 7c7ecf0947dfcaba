"""When the endpoint list is suspect, compared with a simple model, and how often it may be requested."""

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
    SUSPECT_ENDPOINT_SECONDS,
    SUSPICION_MEMORY_SECONDS,
    Freshness,
)

FAULTS = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.REJECTED)
NO_EVIDENCE = (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.NOT_SENT)


class ReferenceModel:
    """A slow reference model that replays all events for each query."""

    def __init__(self) -> None:
        self.events: list[tuple[float, str, str, float]] = []  # time, kind of event, node, weight

    def suspicion(self, now: float) -> float:
        last_change = max(at for at, kind, _, _ in self.events if kind == "change")
        total = 0.0
        for node in {node for _, _, node, _ in self.events if node}:
            weight, since, last = 0.0, inf, -inf
            for at, kind, name, more in self.events:
                if name != node:
                    continue
                if kind == "clear" or at - last > SUSPICION_MEMORY_SECONDS:
                    weight, since = 0.0, inf
                if kind == "fault":
                    weight, last = weight + more, at
                    if weight >= 1 and since == inf:
                        since = at
            if since < inf and now - last <= SUSPICION_MEMORY_SECONDS:
                total += now - max(since, last_change)
        return total


@pytest.mark.parametrize("seed", range(12))
def test_a_list_is_suspect_exactly_when_its_suspicion_reaches_the_threshold(seed: int) -> None:
    random = Random(seed)
    names = [f"n{n}" for n in range(5)]
    now = 100.0
    tracker, reference = Freshness(1, 0, Random(seed), now), ReferenceModel()
    tracker.list_changed(now, dict.fromkeys(names, True), True)
    tracker.watch_started(now)
    reference.events.append((now, "change", "", 0.0))
    suspect_count = 0
    for _ in range(400):
        now += random.choice((0.0, 0.1, 0.6, 2.0, 2.0 if seed % 2 else 25.0)) * random.random()
        node = random.choice(names)
        kind = random.random()
        if kind < 0.6:
            outcome = random.choice(FAULTS)
            tracker.attempt_ended(now, node, outcome)
            reference.events.append((now, "fault", node, freshness.FAULT_WEIGHTS[outcome]))
        elif kind < 0.75:
            tracker.attempt_ended(now, node, random.choice((Outcome.SERVED, Outcome.ERROR)))
            reference.events.append((now, "clear", node, 0.0))
        elif kind < 0.8:
            tracker.list_changed(now, {node: True}, False)
            reference.events += [(now, "clear", node, 0.0), (now, "change", "", 0.0)]
        elif kind < 0.85:
            assert not tracker.attempt_ended(now, node, random.choice(NO_EVIDENCE))
            assert not tracker.attempt_ended(now, "unlisted", Outcome.CONNECT_FAILED)
        due, suspicion = tracker.next_ask_at(now), reference.suspicion(now)
        assert (tracker.suspect_since is not None) == (suspicion >= SUSPECT_ENDPOINT_SECONDS - 1e-9) or abs(
            suspicion - SUSPECT_ENDPOINT_SECONDS
        ) < 1e-6
        if suspicion >= SUSPECT_ENDPOINT_SECONDS + 1e-6 and now > 200.0:
            suspect_count += 1
            assert due <= now + freshness.MIN_SPREAD_SECONDS
        tracker.watch_started(min(now, 150.0))  # the watch began long ago
    assert suspect_count > 5


def watching(sidecar_count: int, sidecar_index: int, nodes: int = 12) -> Freshness:
    tracker = Freshness(sidecar_count, sidecar_index, Random(f"{sidecar_count}:{sidecar_index}"), 0.0)
    tracker.list_changed(0.0, {f"n{n}": True for n in range(nodes)}, True)
    tracker.watch_started(0.0)
    return tracker


def asks(tracker: Freshness, until: float, change_delay: float = inf) -> list[float]:
    """Return the ask times while all nodes refuse from 10 s on and each ask brings a change."""
    asked_at = []
    now, change_at = 10.0, inf
    while now < until:
        for node in list(tracker.serving):
            tracker.attempt_ended(now, node, Outcome.CONNECT_FAILED)
        if now >= change_at:
            tracker.list_changed(now, {"n0": True}, False)
            change_at = inf
        if tracker.next_ask_at(now) <= now:
            asked_at.append(now)
            tracker.ask_sent(now)
            tracker.watch_started(now)
            change_at = now + change_delay
        now += 0.05
    return asked_at


def test_asks_keep_the_minimum_interval_and_back_off_while_they_bring_no_change() -> None:
    without_changes, with_changes = asks(watching(1, 0), 300.0), asks(watching(1, 0), 300.0, 0.5)
    assert without_changes[0] < 10.0 + SUSPECT_ENDPOINT_SECONDS / 12 + freshness.MIN_SPREAD_SECONDS + 0.1
    for asked_at in (without_changes, with_changes):
        assert all(b - a >= MIN_ASK_INTERVAL_SECONDS for a, b in pairwise(asked_at))
    gaps = [b - a for a, b in pairwise(without_changes)]
    assert max(gaps[:2]) < 2.6 * MIN_ASK_INTERVAL_SECONDS and min(gaps[4:]) >= min(
        RENEWAL_SECONDS, MAX_ASK_INTERVAL_SECONDS
    )
    assert len(without_changes) <= 5 + 300 / RENEWAL_SECONDS and len(with_changes) > 40


@pytest.mark.parametrize("sidecar_count", [1, 17, 1000])
def test_the_sidecars_of_a_tier_together_stay_below_the_maximum_ask_rate(sidecar_count: int) -> None:
    """All nodes start to refuse connects simultaneously, as in a network failure, and stay so."""
    stride = 1 if sidecar_count < 1000 else 10  # of this many sidecars one is simulated
    asked_at = sorted(
        at for n in range(0, sidecar_count, stride) for at in asks(watching(sidecar_count, n, 2), 130.0)
    )
    window: deque[float] = deque()
    for at in asked_at:
        window.append(at)
        while window[0] <= at - 4.0:
            window.popleft()
        assert len(window) * stride <= max(sidecar_count, 4.0 * MAX_ASK_RATE * 1.2)
    assert (
        len(asked_at) * stride <= sidecar_count * (1 + 120.0 / MIN_ASK_INTERVAL_SECONDS)
        and len(asked_at) * stride <= 130.0 * MAX_ASK_RATE
    )


def test_an_ask_with_a_late_position_is_due_at_the_announced_time() -> None:
    tracker = watching(100, 90)
    for n in range(12):
        tracker.attempt_ended(10.0, f"n{n}", Outcome.CONNECT_FAILED)
    at = tracker.next_ask_at(10.0)
    assert (
        10.0 + SUSPECT_ENDPOINT_SECONDS / 12 + 3.5
        < at
        < 10.0 + SUSPECT_ENDPOINT_SECONDS / 12 + 100 / MAX_ASK_RATE
    )
    assert tracker.next_ask_at(at) <= at


def test_a_single_flapping_endpoint_does_not_cause_frequent_asks() -> None:
    tracker = watching(1, 0)
    asked_at, now = [], 10.0
    while now < 60.0:
        tracker.attempt_ended(now, "n0", Outcome.CONNECT_FAILED if now % 6 < 3 else Outcome.SERVED)
        if tracker.next_ask_at(now) <= now:
            asked_at.append(now)
            tracker.ask_sent(now)
            tracker.watch_started(now)
        now += 0.1
    assert len(asked_at) <= 2  # only the renewals of a silent watch


def test_an_empty_list_is_suspect_and_without_a_watch_no_ask_is_due() -> None:
    tracker = watching(1, 0, 1)
    tracker.watch_started(20.0)
    tracker.list_changed(20.0, {"n0": False}, False)
    assert 20.0 + MAX_EMPTY_SECONDS <= tracker.next_ask_at(20.0) <= 20.0 + MIN_ASK_INTERVAL_SECONDS
    tracker.watch_stopped()
    assert tracker.next_ask_at(21.0) == inf
