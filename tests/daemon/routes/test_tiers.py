"""Priority tiers: failover and failback without flapping, and the accuracy of the split."""

from __future__ import annotations

from fractions import Fraction
from itertools import pairwise
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheatring.daemon.routes.limit_settings import TierSettings
from wheatring.daemon.routes.tiers import Capacity, TierSelector

STANDBY = Capacity(10, 10)


def selector_for(*capacities: Capacity, settings: TierSettings | None = None) -> TierSelector:
    selector = TierSelector(len(capacities), settings or TierSettings())
    selector.update(0.0, capacities)
    return selector


@given(st.lists(st.integers(0, 20), min_size=1, max_size=5), st.integers(1, 400))
def test_after_any_number_of_requests_each_tier_has_received_its_share(
    weights: list[int], count: int
) -> None:
    """All tiers are short of capacity, so that each has a share in proportion to its capacity."""
    selector = selector_for(*(Capacity(weight, 100) for weight in weights))
    total = sum(weights)
    counts = [0] * len(weights)
    bound = max(Fraction(1, 2), 1 - Fraction(1, max(2, 2 * len(weights) - 2)))
    for number in range(1, count + 1):
        tier = selector.pick(0.0)
        if not total:
            assert tier is None
            return
        assert tier is not None
        counts[tier] += 1
        shares = selector.shares(0.0)
        assert sum(shares) == pytest.approx(1.0)
        for weight, share, count_of_tier in zip(weights, shares, counts, strict=True):
            assert (share > 0) == (weight > 0)
            assert abs(count_of_tier - number * Fraction(share)) <= bound + Fraction(1, 10**6)


def test_the_standby_takes_over_within_two_seconds_and_fails_back_without_flapping() -> None:
    selector = selector_for(STANDBY, STANDBY)
    assert selector.shares(1.0) == [1.0, 0.0]
    selector.update(10.0, (Capacity(4, 10), STANDBY))  # 60 % of the endpoints fail
    assert selector.shares(10.49) == [1.0, 0.0]
    assert selector.shares(10.5) == pytest.approx([0.4 / 0.85, 1 - 0.4 / 0.85])
    # They recover one by one, the last ones intermittently.
    transitions, was_degraded, now = [], True, 20.0
    random = Random(1)
    for step in range(400):
        ready = min(10, 4 + step // 20) - (1 if step > 100 and random.random() < 0.3 else 0)
        now += 0.1
        selector.update(now, (Capacity(ready, 10, 1 - 0.05 * random.random()), STANDBY))
        is_recovered = selector.shares(now)[0] == 1.0
        if is_recovered == was_degraded:
            transitions.append(now)
            was_degraded = not is_recovered
    assert len(transitions) == 1
    selector.update(now, (STANDBY, STANDBY))
    assert selector.shares(now + 5.0) == [1.0, 0.0]


@given(st.floats(0, 1), st.floats(0, 1), st.integers(0, 9))
def test_one_change_of_capacity_causes_at_most_one_transition_within_the_configured_delay(
    before: float, after: float, seed: int
) -> None:
    settings, random = TierSettings(), Random(seed)
    selector = selector_for(Capacity(before, 1), STANDBY, settings=settings)
    selector.pick(0.0)
    selector.update(60.0, (Capacity(before, 1), STANDBY))
    now, degraded = 100.0, [selector.tiers[0].is_degraded]
    for _ in range(200):
        noise = (random.random() - 0.5) * 0.99 * (settings.back - settings.enough)
        selector.update(now, (Capacity(min(1.0, max(0.0, after + noise)), 1), STANDBY))
        selector.pick(now)
        degraded.append(selector.tiers[0].is_degraded)
        now += 0.1
    assert sum(a != b for a, b in pairwise(degraded)) <= 1
    if after < settings.enough - 0.08:
        assert degraded[7] and degraded[-1]
    if after > settings.back + 0.08:
        assert not degraded[-1]


def test_tiers_that_are_empty_unready_or_alone() -> None:
    empty, unready = Capacity(0, 0), Capacity(0, 10)
    assert selector_for(empty).pick(0.0) is None
    assert selector_for(unready, empty).pick(0.0) is None
    assert selector_for(Capacity(1, 10)).pick(0.0) == 0  # a single tier keeps its load
    assert selector_for(empty, STANDBY).shares(0.0) == [0.0, 1.0]  # no primary, or one of weight 0
    assert selector_for(STANDBY, empty).shares(0.0) == [1.0, 0.0]
    assert selector_for(Capacity(5, 10), empty).shares(0.0) == [1.0, 0.0]
    assert selector_for(Capacity(5, 10, 0.0), unready).shares(0.0) == [
        1.0,
        0.0,
    ]  # ready endpoints that don't answer are still used
    selector = selector_for(STANDBY, STANDBY)
    selector.update(1.0, (empty, STANDBY))  # an empty tier is degraded without a delay
    assert selector.shares(1.0) == [0.0, 1.0]
    # A small standby does not get the entire load of a large primary; the rest is spread by capacity.
    small = selector_for(Capacity(2, 10), Capacity(1, 1))
    assert small.shares(0.0) == pytest.approx([2 / 3, 1 / 3])
