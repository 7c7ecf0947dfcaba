"""Cuts: which reports make one change, whatever their order, and who waits to be let in again."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatring.members.cuts import GATHER, HALF, HOLD, LAST, LONGEST, QUIET, SECOND_LOOK, TRUST, WAIT, Cuts
from wheatring.members.view import Rings, View
from wheatring.members.watch import SILENT
from wheatring.members.words import Placed, Who

NAMES = [f"n{number:02}" for number in range(24)]
RINGS = Rings(NAMES)


def placed(name: str, start: int = 1) -> Placed:
    return Placed(Who(name, "127.0.0.1", 7000 + int(name[1:])), start)


VIEW = View(1, 1, tuple(placed(name) for name in NAMES))


def missed(cuts: Cuts, now: float, *names: str, observers: int = 99, silence: float = SILENT) -> None:
    """So many observers of each report that they miss it."""
    said: dict[str, list[tuple[str, float]]] = {}
    for name in names:
        for observer in RINGS.observers(name)[:observers]:
            said.setdefault(observer, []).append((name, silence))
    for observer in said:
        cuts.report(now, observer, said[observer])


def cut(cuts: Cuts, now: float) -> list[str]:
    cuts.doubts(now, VIEW, RINGS)
    return cuts.going(now, VIEW, RINGS)


def test_one_whom_all_miss_goes_after_the_second_look_and_not_before() -> None:
    cuts = Cuts()
    missed(cuts, 0.0, "n03")
    assert cut(cuts, 0.0) == [] and cut(cuts, SECOND_LOOK - 0.1) == []
    assert cut(cuts, SECOND_LOOK) == ["n03"]


def test_one_that_is_reached_in_the_second_look_stays_whoever_misses_it() -> None:
    cuts = Cuts()
    for now in range(20):
        missed(cuts, now, "n03")
        assert cut(cuts, now) == []
        cuts.reaches(now, ["n03"])


def test_one_that_was_reached_once_and_died_then_goes_after_another_look() -> None:
    cuts = Cuts()
    went: list[float] = []
    for now in range(20):
        missed(cuts, now, "n03")
        went += [now for _ in cut(cuts, now)]
        if now == 0:
            cuts.reaches(now, ["n03"])
    assert TRUST < went[0] <= TRUST + 2 + SECOND_LOOK


def test_who_is_down_waits_for_who_is_unsure_and_then_goes_without_it() -> None:
    cuts = Cuts()
    missed(cuts, 0.0, "n03")
    cuts.doubts(0.0, VIEW, RINGS)
    now = SECOND_LOOK
    missed(cuts, now, "n03")
    for observer in [one for one in RINGS.observers("n10") if one not in RINGS.observers("n03")][:2]:
        cuts.report(now, observer, [("n10", SILENT)])
    assert cuts.marks(now, VIEW, RINGS).unsure == {"n10"}
    assert cut(cuts, now) == [] and cut(cuts, now + WAIT - 0.1) == []
    assert cut(cuts, now + WAIT) == ["n03"]


def test_who_dies_while_another_is_looked_at_again_goes_in_the_same_change() -> None:
    cuts = Cuts()
    missed(cuts, 0.0, "n03")
    cut(cuts, 0.0)
    missed(cuts, SECOND_LOOK, "n03", "n17", silence=SILENT - 1.4)
    assert cut(cuts, SECOND_LOOK) == []
    missed(cuts, SECOND_LOOK + 1.5, "n03", "n17")
    assert cut(cuts, SECOND_LOOK + 1.5) == ["n03", "n17"]


def test_who_is_missed_by_all_for_less_long_goes_in_the_same_change() -> None:
    """Its observers were held up in turn, as on a busy machine, and count for less long than they miss it."""
    cuts = Cuts()
    missed(cuts, 0.0, "n03", "n17")
    cuts.doubts(0.0, VIEW, RINGS)
    for now in (SECOND_LOOK, WAIT, SECOND_LOOK + WAIT):
        missed(cuts, now, "n03", "n17", silence=SILENT - 0.1)
        for observer in RINGS.observers("n03"):
            missing = [("n03", SILENT)]
            if observer in RINGS.observers("n17"):
                missing.append(("n17", SILENT - 0.1))
            cuts.report(now, observer, missing)
        assert cut(cuts, now) == []
    assert cut(cuts, SECOND_LOOK + WAIT + 0.2) == ["n03", "n17"]


def test_who_died_with_another_and_was_looked_at_later_goes_in_the_same_change() -> None:
    """As its observers had just had an answer of it."""
    cuts = Cuts()
    missed(cuts, 0.0, "n03", silence=9.0)
    cuts.doubts(0.0, VIEW, RINGS)
    for now in (SECOND_LOOK, SECOND_LOOK + 1.0, SECOND_LOOK + 2.0):
        missed(cuts, now, "n17", silence=2.6 + now - SECOND_LOOK)
        for observer in RINGS.observers("n03"):
            both = [("n17", 2.6 + now - SECOND_LOOK)] * (observer in RINGS.observers("n17"))
            cuts.report(now, observer, [("n03", 9.0), *both])
        assert cut(cuts, now) == []
    missed(cuts, SECOND_LOOK + 3.0, "n03", "n17", silence=9.0)
    assert cut(cuts, SECOND_LOOK + 3.0) == ["n03", "n17"]


def test_who_is_down_does_not_wait_for_ever_for_who_is_about_to_be() -> None:
    cuts = Cuts()
    went: list[tuple[float, list[str]]] = []
    for tenth in range(80):
        now = tenth / 10
        missed(cuts, now, "n03", "n17", silence=SILENT - 1.0)
        for observer in RINGS.observers("n03"):
            cuts.report(now, observer, [("n03", 9.0), ("n17", SILENT - 1.0)])
        if gone := cut(cuts, now):
            went.append((now, gone))
    at, names = went[0]
    assert names == ["n03"] and at == pytest.approx(SECOND_LOOK + LAST)


reports = st.lists(
    st.tuples(st.sampled_from(NAMES), st.sets(st.sampled_from(NAMES), max_size=8), st.floats(0, 9)),
    max_size=40, unique_by=lambda one: one[0],
)  # fmt: skip


@settings(deadline=None, max_examples=40)
@given(reports, st.randoms(use_true_random=False))
def test_the_order_of_reports_does_not_matter(
    said: list[tuple[str, set[str], float]], random: Random
) -> None:
    one, other = Cuts(), Cuts()
    for observer, names, silence in said:
        one.report(0.0, observer, [(name, silence) for name in sorted(names)])
    random.shuffle(said)
    for observer, names, silence in said:
        other.report(0.0, observer, [(name, silence) for name in sorted(names, reverse=True)])
    assert one.marks(1.0, VIEW, RINGS) == other.marks(1.0, VIEW, RINGS)
    assert [cut(one, now) for now in (1.0, 2.0, 3.4)] == [cut(other, now) for now in (1.0, 2.0, 3.4)]


@settings(deadline=None, max_examples=40)
@given(st.dictionaries(st.sampled_from(NAMES), st.integers(1, 4), max_size=6))
def test_nobody_goes_whom_fewer_than_five_of_six_miss(missing: dict[str, int]) -> None:
    """Observers that are in no doubt themselves: where none of these is left, the second look decides."""
    cuts = Cuts()
    said: dict[str, list[tuple[str, float]]] = {}
    for name, count in missing.items():
        for observer in [one for one in RINGS.observers(name) if one not in missing][:count]:
            said.setdefault(observer, []).append((name, 9.0))
    for observer, silent in said.items():
        cuts.report(0.0, observer, silent)
    down = set().union(*(cut(cuts, now) for now in (0.0, 1.0, 2.0, 3.0)))
    for name in down:
        left = [one for one in RINGS.observers(name) if one not in missing]
        assert min(missing.get(name, 0), len(left)) >= 5 / 6 * len(left)


def test_a_report_that_is_old_counts_for_nothing() -> None:
    cuts = Cuts()
    missed(cuts, 0.0, "n03")
    assert cuts.marks(3.0, VIEW, RINGS).down and not cuts.marks(4.0, VIEW, RINGS).down


def test_who_knocks_together_comes_in_together_and_nobody_waits_for_ever() -> None:
    cuts = Cuts()
    empty = View()
    now = 0.0
    for number in range(int(GATHER / QUIET) + 2):  # somebody new all the time
        now = number * QUIET * 0.9
        cuts.knock(now, placed(f"n{number:02}"))
        if now < GATHER:
            assert cuts.coming(now, empty, Rings(()))[0] == []
    assert len(cuts.coming(GATHER, empty, Rings(()))[0]) > 5


def test_nobody_comes_in_while_somebody_is_about_to_go_but_in_the_end_does() -> None:
    cuts = Cuts()
    came: list[float] = []
    for tenth in range(int(10 * HOLD) + 20):
        now = tenth / 10
        missed(cuts, now, "n03", silence=3.0)
        cuts.knock(now, placed("n05", start=2))
        came += [now for _ in cuts.coming(now, VIEW, RINGS)[0]][:1]
    assert came[0] == pytest.approx(HOLD)


@given(st.lists(st.floats(0.1, 100.0), max_size=12), st.floats(0.0, 300.0))
def test_going_out_again_and_again_costs_more_and_is_forgiven(gaps: list[float], after: float) -> None:
    cuts = Cuts()
    now = 0.0
    for gap in gaps:
        before = cuts.costs(now + gap, "n03")
        now += gap
        cuts.went(now, ["n03"])
        assert cuts.costs(now, "n03") == pytest.approx(before + 1)
        assert cuts.waiting(now, "n03") <= LONGEST + 1e-9
    cost = cuts.costs(now, "n03")
    assert cuts.costs(now + HALF, "n03") == pytest.approx(cost / 2)
    assert cuts.waiting(now + after, "n03") <= cuts.waiting(now, "n03") + 1e-9
    assert cuts.waiting(now, "n03") == pytest.approx(0 if cost < 2 else min(LONGEST, 2**cost))
    assert cuts.waiting(now + LONGEST, "n03") == pytest.approx(0, abs=1e-9)
