"""Cuts: which reports make one change, whatever their order, and who waits to be let in again."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatring.fleet.members.cut_detector import (
    INDIRECT_CHECK_SECONDS,
    JOIN_GATHER_SECONDS,
    JOIN_HOLD_SECONDS,
    JOIN_QUIET_SECONDS,
    NEARLY_DOWN_WAIT_SECONDS,
    REACHED_VALID_SECONDS,
    UNSURE_WAIT_SECONDS,
    CutDetector,
)
from wheatring.fleet.members.edge_monitor import DOWN_AFTER_SECONDS
from wheatring.fleet.members.messages import MemberInfo
from wheatring.fleet.members.rejoin_penalties import MAX_REJOIN_WAIT_SECONDS, PENALTY_HALF_LIFE_SECONDS
from wheatring.fleet.members.view import Rings, View
from wheatring.fleet.members.view_messages import ViewMember

NAMES = [f"n{number:02}" for number in range(24)]
RINGS = Rings(NAMES)


def placed(name: str, start: int = 1) -> ViewMember:
    return ViewMember(MemberInfo(name, "127.0.0.1", 7000 + int(name[1:])), start)


VIEW = View(1, 1, tuple(placed(name) for name in NAMES))


def missed(
    cuts: CutDetector, now: float, *names: str, observers: int = 99, silence: float = DOWN_AFTER_SECONDS
) -> None:
    """So many observers of each report that they miss it."""
    said: dict[str, list[tuple[str, float]]] = {}
    for name in names:
        for observer in RINGS.observers(name)[:observers]:
            said.setdefault(observer, []).append((name, silence))
    for observer in said:
        cuts.add_report(now, observer, said[observer])


def cut(cuts: CutDetector, now: float) -> list[str]:
    cuts.members_to_check(now, VIEW, RINGS)
    return cuts.members_to_remove(now, VIEW, RINGS)


def test_a_member_whom_all_miss_leaves_after_the_second_round_of_checks_and_not_before() -> None:
    cuts = CutDetector()
    missed(cuts, 0.0, "n03")
    assert cut(cuts, 0.0) == [] and cut(cuts, INDIRECT_CHECK_SECONDS - 0.1) == []
    assert cut(cuts, INDIRECT_CHECK_SECONDS) == ["n03"]


def test_a_member_reached_in_the_second_round_of_checks_stays_whoever_misses_it() -> None:
    cuts = CutDetector()
    for now in range(20):
        missed(cuts, now, "n03")
        assert cut(cuts, now) == []
        cuts.note_reached(now, ["n03"])


def test_a_member_that_dies_after_it_was_reached_leaves_after_another_round_of_checks() -> None:
    cuts = CutDetector()
    went: list[float] = []
    for now in range(20):
        missed(cuts, now, "n03")
        went += [now for _ in cut(cuts, now)]
        if now == 0:
            cuts.note_reached(now, ["n03"])
    assert REACHED_VALID_SECONDS < went[0] <= REACHED_VALID_SECONDS + 2 + INDIRECT_CHECK_SECONDS


def test_who_is_down_waits_for_who_is_unsure_and_then_goes_without_it() -> None:
    cuts = CutDetector()
    missed(cuts, 0.0, "n03")
    cuts.members_to_check(0.0, VIEW, RINGS)
    now = INDIRECT_CHECK_SECONDS
    missed(cuts, now, "n03")
    for observer in [one for one in RINGS.observers("n10") if one not in RINGS.observers("n03")][:2]:
        cuts.add_report(now, observer, [("n10", DOWN_AFTER_SECONDS)])
    assert cuts.suspected_members(now, VIEW, RINGS).unsure == {"n10"}
    assert cut(cuts, now) == [] and cut(cuts, now + UNSURE_WAIT_SECONDS - 0.1) == []
    assert cut(cuts, now + UNSURE_WAIT_SECONDS) == ["n03"]


def test_a_member_that_dies_while_another_is_checked_again_leaves_in_the_same_change() -> None:
    cuts = CutDetector()
    missed(cuts, 0.0, "n03")
    cut(cuts, 0.0)
    missed(cuts, INDIRECT_CHECK_SECONDS, "n03", "n17", silence=DOWN_AFTER_SECONDS - 1.4)
    assert cut(cuts, INDIRECT_CHECK_SECONDS) == []
    missed(cuts, INDIRECT_CHECK_SECONDS + 1.5, "n03", "n17")
    assert cut(cuts, INDIRECT_CHECK_SECONDS + 1.5) == ["n03", "n17"]


def test_who_is_missed_by_all_for_less_long_goes_in_the_same_change() -> None:
    """Its observers were held up in turn, as on a busy machine, and count for less long than they miss it."""
    cuts = CutDetector()
    missed(cuts, 0.0, "n03", "n17")
    cuts.members_to_check(0.0, VIEW, RINGS)
    for now in (INDIRECT_CHECK_SECONDS, UNSURE_WAIT_SECONDS, INDIRECT_CHECK_SECONDS + UNSURE_WAIT_SECONDS):
        missed(cuts, now, "n03", "n17", silence=DOWN_AFTER_SECONDS - 0.1)
        for observer in RINGS.observers("n03"):
            missing = [("n03", DOWN_AFTER_SECONDS)]
            if observer in RINGS.observers("n17"):
                missing.append(("n17", DOWN_AFTER_SECONDS - 0.1))
            cuts.add_report(now, observer, missing)
        assert cut(cuts, now) == []
    assert cut(cuts, INDIRECT_CHECK_SECONDS + UNSURE_WAIT_SECONDS + 0.2) == ["n03", "n17"]


def test_a_member_that_died_with_another_and_was_checked_later_leaves_in_the_same_change() -> None:
    """As its observers had just had an answer of it."""
    cuts = CutDetector()
    missed(cuts, 0.0, "n03", silence=9.0)
    cuts.members_to_check(0.0, VIEW, RINGS)
    for now in (INDIRECT_CHECK_SECONDS, INDIRECT_CHECK_SECONDS + 1.0, INDIRECT_CHECK_SECONDS + 2.0):
        missed(cuts, now, "n17", silence=2.6 + now - INDIRECT_CHECK_SECONDS)
        for observer in RINGS.observers("n03"):
            both = [("n17", 2.6 + now - INDIRECT_CHECK_SECONDS)] * (observer in RINGS.observers("n17"))
            cuts.add_report(now, observer, [("n03", 9.0), *both])
        assert cut(cuts, now) == []
    missed(cuts, INDIRECT_CHECK_SECONDS + 3.0, "n03", "n17", silence=9.0)
    assert cut(cuts, INDIRECT_CHECK_SECONDS + 3.0) == ["n03", "n17"]


def test_who_is_down_does_not_wait_for_ever_for_who_is_about_to_be() -> None:
    cuts = CutDetector()
    went: list[tuple[float, list[str]]] = []
    for tenth in range(80):
        now = tenth / 10
        missed(cuts, now, "n03", "n17", silence=DOWN_AFTER_SECONDS - 1.0)
        for observer in RINGS.observers("n03"):
            cuts.add_report(now, observer, [("n03", 9.0), ("n17", DOWN_AFTER_SECONDS - 1.0)])
        if gone := cut(cuts, now):
            went.append((now, gone))
    at, names = went[0]
    assert names == ["n03"] and at == pytest.approx(INDIRECT_CHECK_SECONDS + NEARLY_DOWN_WAIT_SECONDS)


reports = st.lists(
    st.tuples(st.sampled_from(NAMES), st.sets(st.sampled_from(NAMES), max_size=8), st.floats(0, 9)),
    max_size=40, unique_by=lambda one: one[0],
)  # fmt: skip


@settings(deadline=None, max_examples=40)
@given(reports, st.randoms(use_true_random=False))
def test_the_order_of_reports_does_not_matter(
    said: list[tuple[str, set[str], float]], random: Random
) -> None:
    one, other = CutDetector(), CutDetector()
    for observer, names, silence in said:
        one.add_report(0.0, observer, [(name, silence) for name in sorted(names)])
    random.shuffle(said)
    for observer, names, silence in said:
        other.add_report(0.0, observer, [(name, silence) for name in sorted(names, reverse=True)])
    assert one.suspected_members(1.0, VIEW, RINGS) == other.suspected_members(1.0, VIEW, RINGS)
    assert [cut(one, now) for now in (1.0, 2.0, 3.4)] == [cut(other, now) for now in (1.0, 2.0, 3.4)]


@settings(deadline=None, max_examples=40)
@given(st.dictionaries(st.sampled_from(NAMES), st.integers(1, 4), max_size=6))
def test_nobody_goes_whom_fewer_than_five_of_six_miss(missing: dict[str, int]) -> None:
    """Observers that are in no doubt themselves: where none of these is left, the second look decides."""
    cuts = CutDetector()
    said: dict[str, list[tuple[str, float]]] = {}
    for name, count in missing.items():
        for observer in [one for one in RINGS.observers(name) if one not in missing][:count]:
            said.setdefault(observer, []).append((name, 9.0))
    for observer, silent in said.items():
        cuts.add_report(0.0, observer, silent)
    down = set().union(*(cut(cuts, now) for now in (0.0, 1.0, 2.0, 3.0)))
    for name in down:
        left = [one for one in RINGS.observers(name) if one not in missing]
        assert min(missing.get(name, 0), len(left)) >= 5 / 6 * len(left)


def test_a_report_that_is_old_counts_for_nothing() -> None:
    cuts = CutDetector()
    missed(cuts, 0.0, "n03")
    assert cuts.suspected_members(3.0, VIEW, RINGS).down and not cuts.suspected_members(4.0, VIEW, RINGS).down


def test_who_knocks_together_comes_in_together_and_nobody_waits_for_ever() -> None:
    cuts = CutDetector()
    empty = View()
    now = 0.0
    for number in range(int(JOIN_GATHER_SECONDS / JOIN_QUIET_SECONDS) + 2):  # somebody new all the time
        now = number * JOIN_QUIET_SECONDS * 0.9
        cuts.add_join_request(now, placed(f"n{number:02}"))
        if now < JOIN_GATHER_SECONDS:
            assert cuts.members_to_admit(now, empty, Rings(()))[0] == []
    assert len(cuts.members_to_admit(JOIN_GATHER_SECONDS, empty, Rings(()))[0]) > 5


def test_nobody_comes_in_while_somebody_is_about_to_go_but_in_the_end_does() -> None:
    cuts = CutDetector()
    came: list[float] = []
    for tenth in range(int(10 * JOIN_HOLD_SECONDS) + 20):
        now = tenth / 10
        missed(cuts, now, "n03", silence=3.0)
        cuts.add_join_request(now, placed("n05", start=2))
        came += [now for _ in cuts.members_to_admit(now, VIEW, RINGS)[0]][:1]
    assert came[0] == pytest.approx(JOIN_HOLD_SECONDS)


@given(st.lists(st.floats(0.1, 100.0), max_size=12), st.floats(0.0, 300.0))
def test_going_out_again_and_again_costs_more_and_is_forgiven(gaps: list[float], after: float) -> None:
    cuts = CutDetector()
    now = 0.0
    for gap in gaps:
        before = cuts.rejoin_penalties.penalty(now + gap, "n03")
        now += gap
        cuts.note_removed(now, ["n03"])
        assert cuts.rejoin_penalties.penalty(now, "n03") == pytest.approx(before + 1)
        assert cuts.rejoin_penalties.rejoin_wait_seconds(now, "n03") <= MAX_REJOIN_WAIT_SECONDS + 1e-9
    cost = cuts.rejoin_penalties.penalty(now, "n03")
    assert cuts.rejoin_penalties.penalty(now + PENALTY_HALF_LIFE_SECONDS, "n03") == pytest.approx(cost / 2)
    assert (
        cuts.rejoin_penalties.rejoin_wait_seconds(now + after, "n03")
        <= cuts.rejoin_penalties.rejoin_wait_seconds(now, "n03") + 1e-9
    )
    assert cuts.rejoin_penalties.rejoin_wait_seconds(now, "n03") == pytest.approx(
        0 if cost < 2 else min(MAX_REJOIN_WAIT_SECONDS, 2**cost)
    )
    assert cuts.rejoin_penalties.rejoin_wait_seconds(now + MAX_REJOIN_WAIT_SECONDS, "n03") == pytest.approx(
        0, abs=1e-9
    )
