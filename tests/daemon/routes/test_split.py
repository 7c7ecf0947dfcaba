"""Each pool gets its share of any consecutive requests."""

from __future__ import annotations

from collections import Counter
from fractions import Fraction

from hypothesis import given
from hypothesis import strategies as st

from wheatring.daemon.routes.definitions import WeightedPool
from wheatring.daemon.routes.split import CountedSplit, RendezvousSplit

WEIGHTS = st.lists(st.integers(0, 40), min_size=1, max_size=7).filter(any)


def pools(weights: list[int]) -> list[WeightedPool]:
    return [WeightedPool(f"p{i}", weight) for i, weight in enumerate(weights)]


@given(WEIGHTS)
def test_any_consecutive_requests_are_split_by_the_shares_within_the_bound(weights: list[int]) -> None:
    split, total = CountedSplit(pools(weights)), sum(weights)
    pool_count = sum(map(bool, weights))
    bound = 1 - Fraction(1, 2 * pool_count - 2) if pool_count > 1 else 0
    counts: Counter[str] = Counter()
    deviations = {f"p{i}": [Fraction(0)] for i in range(len(weights))}
    for n in range(1, 2 * total + 1):
        counts[split.pick({})] += 1
        for i, weight in enumerate(weights):
            deviations[f"p{i}"].append(counts[f"p{i}"] - Fraction(n * weight, total))
    for name, weight in zip(deviations, weights, strict=True):
        assert counts[name] == 2 * weight
        assert max(map(abs, deviations[name])) <= bound
        assert max(deviations[name]) - min(deviations[name]) <= 2 * bound  # of any consecutive requests


@given(
    st.lists(st.tuples(st.lists(st.integers(1, 20), min_size=4, max_size=4), st.integers(0, 3)), max_size=150)
)
def test_a_shift_of_weights_in_many_steps_keeps_each_pool_near_its_share(
    steps: list[tuple[list[int], int]],
) -> None:
    split = CountedSplit(pools([1, 1, 1, 1]))
    due = dict.fromkeys(("p0", "p1", "p2", "p3"), Fraction(0))
    for weights, count in steps:
        split.update_weights(pools(weights))
        for _ in range(count):
            due[split.pick({})] -= 1
            for i, weight in enumerate(weights):
                due[f"p{i}"] += Fraction(weight, sum(weights))
            # Weights chosen adversarially reach 1.53; constant shares stay below 1.
            assert max(map(abs, due.values())) < 2


@given(WEIGHTS, WEIGHTS)
def test_pools_of_weight_0_and_removed_pools_get_no_requests(before: list[int], after: list[int]) -> None:
    counted, sticky = CountedSplit(pools(before)), RendezvousSplit("X-Who", pools(before))
    for split in (counted, sticky):
        for i in range(5):
            split.pick({b"x-who": b"%d" % i})
        split.update_weights(pools(after))
        active = {f"p{i}" for i, weight in enumerate(after) if weight}
        assert {split.pick({b"x-who": b"%d" % i}) for i in range(50)} <= active
    assert sum(counted.deficits) == 0


def chosen_pools(split: RendezvousSplit, count: int = 4000) -> list[str]:
    return [split.pick({b"x-who": b"customer-%d" % i}) for i in range(count)]


def test_a_customer_keeps_its_pool_and_a_change_of_weights_moves_the_fewest_customers() -> None:
    split = RendezvousSplit("X-Who", pools([50, 30, 20]))
    before = chosen_pools(split)
    assert chosen_pools(split) == before == chosen_pools(RendezvousSplit("x-who", pools([50, 30, 20])[::-1]))
    assert all(abs(before.count(f"p{i}") / 4000 - share) < 0.03 for i, share in enumerate((0.5, 0.3, 0.2)))
    split.update_weights(pools([50, 30, 80]))
    moved = [(a, b) for a, b in zip(before, chosen_pools(split), strict=True) if a != b]
    assert {b for _, b in moved} == {"p2"}
    assert abs(len(moved) / 4000 - (0.5 - 0.2)) < 0.03
    split.update_weights(pools([50, 30, 20]))
    assert chosen_pools(split) == before
    without_header = Counter(split.pick({}) for _ in range(100))
    assert without_header == {"p0": 50, "p1": 30, "p2": 20}
