"""Tiers: the standby takes over in time, gives back without flapping, and the split is exact."""

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


def tiers(*capacities: Capacity, law: TierSettings | None = None) -> TierSelector:
    made = TierSelector(len(capacities), law or TierSettings())
    made.update(0.0, capacities)
    return made


@given(st.lists(st.integers(0, 20), min_size=1, max_size=5), st.integers(1, 400))
def test_after_any_number_of_requests_each_tier_has_had_its_share(parts: list[int], count: int) -> None:
    """All are short, so that they share by what they have; checked after each request, in exact numbers."""
    made = tiers(*(Capacity(part, 100) for part in parts))
    total = sum(parts)
    had = [0] * len(parts)
    bound = max(Fraction(1, 2), 1 - Fraction(1, max(2, 2 * len(parts) - 2)))
    for number in range(1, count + 1):
        tier = made.pick(0.0)
        if not total:
            assert tier is None
            return
        assert tier is not None
        had[tier] += 1
        shares = made.shares(0.0)
        assert sum(shares) == pytest.approx(1.0)
        for part, share, mine in zip(parts, shares, had, strict=True):
            assert (share > 0) == (part > 0)
            assert abs(mine - number * Fraction(share)) <= bound + Fraction(1, 10**6)


def test_the_standby_takes_over_within_two_seconds_and_gives_back_without_flapping() -> None:
    made = tiers(STANDBY, STANDBY)
    assert made.shares(1.0) == [1.0, 0.0]
    made.update(10.0, (Capacity(4, 10), STANDBY))  # 60 % die at once
    assert made.shares(10.49) == [1.0, 0.0]
    assert made.shares(10.5) == pytest.approx([0.4 / 0.85, 1 - 0.4 / 0.85])
    # They come back one by one, the last ones unsteadily.
    crossings, last, now = [], True, 20.0
    random = Random(1)
    for step in range(400):
        ready = min(10, 4 + step // 20) - (1 if step > 100 and random.random() < 0.3 else 0)
        now += 0.1
        made.update(now, (Capacity(ready, 10, 1 - 0.05 * random.random()), STANDBY))
        whole = made.shares(now)[0] == 1.0
        if whole == last:
            crossings.append(now)
            last = not whole
    assert len(crossings) == 1
    made.update(now, (STANDBY, STANDBY))
    assert made.shares(now + 5.0) == [1.0, 0.0]


@given(st.floats(0, 1), st.floats(0, 1), st.integers(0, 9))
def test_one_change_makes_one_crossing_at_most_within_the_time_stated(
    before: float, after: float, seed: int
) -> None:
    law, random = TierSettings(), Random(seed)
    made = tiers(Capacity(before, 1), STANDBY, law=law)
    made.pick(0.0)
    made.update(60.0, (Capacity(before, 1), STANDBY))
    now, seen = 100.0, [made.tiers[0].is_degraded]
    for _ in range(200):
        noise = (random.random() - 0.5) * 0.99 * (law.back - law.enough)
        made.update(now, (Capacity(min(1.0, max(0.0, after + noise)), 1), STANDBY))
        made.pick(now)
        seen.append(made.tiers[0].is_degraded)
        now += 0.1
    assert sum(a != b for a, b in pairwise(seen)) <= 1
    if after < law.enough - 0.08:
        assert seen[7] and seen[-1]
    if after > law.back + 0.08:
        assert not seen[-1]


def test_the_edges_have_an_answer() -> None:
    none, gone = Capacity(0, 0), Capacity(0, 10)
    assert tiers(none).pick(0.0) is None
    assert tiers(gone, none).pick(0.0) is None
    assert tiers(Capacity(1, 10)).pick(0.0) == 0  # one tier has nobody to hand on to
    assert tiers(none, STANDBY).shares(0.0) == [0.0, 1.0]  # all standby, or a primary of weight 0
    assert tiers(STANDBY, none).shares(0.0) == [1.0, 0.0]
    assert tiers(Capacity(5, 10), none).shares(0.0) == [1.0, 0.0]
    assert tiers(Capacity(5, 10, 0.0), gone).shares(0.0) == [1.0, 0.0]  # ready, if deaf: all that there is
    made = tiers(STANDBY, STANDBY)
    made.update(1.0, (none, STANDBY))  # a tier that empties has nobody to wait for
    assert made.shares(1.0) == [0.0, 1.0]
    # A small standby is not given the load of a large primary; the rest is spread by what they have.
    small = tiers(Capacity(2, 10), Capacity(1, 1))
    assert small.shares(0.0) == pytest.approx([2 / 3, 1 / 3])
