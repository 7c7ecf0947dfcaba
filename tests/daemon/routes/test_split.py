"""Each pool gets its share, over any run of requests."""

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
def test_of_any_run_each_pool_gets_its_share_to_within_what_is_stated(weights: list[int]) -> None:
    turns, total = CountedSplit(pools(weights)), sum(weights)
    pool_count = sum(map(bool, weights))
    bound = 1 - Fraction(1, 2 * pool_count - 2) if pool_count > 1 else 0
    got: Counter[str] = Counter()
    off = {f"p{i}": [Fraction(0)] for i in range(len(weights))}
    for n in range(1, 2 * total + 1):
        got[turns.pick({})] += 1
        for i, weight in enumerate(weights):
            off[f"p{i}"].append(got[f"p{i}"] - Fraction(n * weight, total))
    for name, weight in zip(off, weights, strict=True):
        assert got[name] == 2 * weight
        assert max(map(abs, off[name])) <= bound
        assert max(off[name]) - min(off[name]) <= 2 * bound  # a run begins and ends anywhere


@given(
    st.lists(st.tuples(st.lists(st.integers(1, 20), min_size=4, max_size=4), st.integers(0, 3)), max_size=150)
)
def test_a_shift_in_many_steps_comes_out_as_its_shares_say(steps: list[tuple[list[int], int]]) -> None:
    turns = CountedSplit(pools([1, 1, 1, 1]))
    due = dict.fromkeys(("p0", "p1", "p2", "p3"), Fraction(0))
    for weights, count in steps:
        turns.update_weights(pools(weights))
        for _ in range(count):
            due[turns.pick({})] -= 1
            for i, weight in enumerate(weights):
                due[f"p{i}"] += Fraction(weight, sum(weights))
            # Whoever chooses the weights knowing the answers gets to 1.53; shares alone to less than 1.
            assert max(map(abs, due.values())) < 2


@given(WEIGHTS, WEIGHTS)
def test_weights_of_none_and_pools_that_leave_get_nothing(before: list[int], after: list[int]) -> None:
    turns, sticky = CountedSplit(pools(before)), RendezvousSplit("X-Who", pools(before))
    for split in (turns, sticky):
        for i in range(5):
            split.pick({b"x-who": b"%d" % i})
        split.update_weights(pools(after))
        taking = {f"p{i}" for i, weight in enumerate(after) if weight}
        assert {split.pick({b"x-who": b"%d" % i}) for i in range(50)} <= taking
    assert sum(turns.deficits) == 0


def sides(split: RendezvousSplit, count: int = 4000) -> list[str]:
    return [split.pick({b"x-who": b"customer-%d" % i}) for i in range(count)]


def test_a_customer_stays_and_only_the_change_of_the_share_moves() -> None:
    split = RendezvousSplit("X-Who", pools([50, 30, 20]))
    before = sides(split)
    assert sides(split) == before == sides(RendezvousSplit("x-who", pools([50, 30, 20])[::-1]))
    assert all(abs(before.count(f"p{i}") / 4000 - share) < 0.03 for i, share in enumerate((0.5, 0.3, 0.2)))
    split.update_weights(pools([50, 30, 80]))
    moved = [(a, b) for a, b in zip(before, sides(split), strict=True) if a != b]
    assert {b for _, b in moved} == {"p2"}
    assert abs(len(moved) / 4000 - (0.5 - 0.2)) < 0.03
    split.update_weights(pools([50, 30, 20]))
    assert sides(split) == before
    nameless = Counter(split.pick({}) for _ in range(100))
    assert nameless == {"p0": 50, "p1": 30, "p2": 20}
