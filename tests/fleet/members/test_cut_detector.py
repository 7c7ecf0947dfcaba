"""The cut detector: removals from reports of observers, admissions, and rejoin penalties."""

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
    UNCERTAIN_WAIT_SECONDS,
    CutDetector,
)
from wheatring.fleet.members.edge_monitor import DOWN_AFTER_SECONDS
from wheatring.fleet.members.messages import MemberInfo
from wheatring.fleet.members.rejoin_penalties import MAX_REJOIN_WAIT_SECONDS, PENALTY_HALF_LIFE_SECONDS
from wheatring.fleet.members.view import Rings, View
from wheatring.fleet.members.view_messages import ViewMember

NAMES = [f"n{number:02}" for number in range(24)]
RINGS = Rings(NAMES)


def view_member(name: str, start: int = 1) -> ViewMember:
    return ViewMember(MemberInfo(name, "127.0.0.1", 7000 + int(name[1:])), start)


VIEW = View(1, 1, tuple(view_member(name) for name in NAMES))


def report_silence(
    detector: CutDetector, now: float, *names: str, observers: int = 99, silence: float = DOWN_AFTER_SECONDS
) -> None:
    """Report each member as silent by at most `observers` of its observers."""
    reports: dict[str, list[tuple[str, float]]] = {}
    for name in names:
        for observer in RINGS.observers(name)[:observers]:
            reports.setdefault(observer, []).append((name, silence))
    for observer in reports:
        detector.add_report(now, observer, reports[observer])


def cut(detector: CutDetector, now: float) -> list[str]:
    detector.members_to_check(now, VIEW, RINGS)
    return detector.members_to_remove(now, VIEW, RINGS)


def test_a_member_reported_by_all_observers_is_removed_only_after_its_indirect_check() -> None:
    detector = CutDetector()
    report_silence(detector, 0.0, "n03")
    assert cut(detector, 0.0) == [] and cut(detector, INDIRECT_CHECK_SECONDS - 0.1) == []
    assert cut(detector, INDIRECT_CHECK_SECONDS) == ["n03"]


def test_a_member_reached_by_an_indirect_check_is_not_removed_despite_reports() -> None:
    detector = CutDetector()
    for now in range(20):
        report_silence(detector, now, "n03")
        assert cut(detector, now) == []
        detector.record_reached(now, ["n03"])


def test_a_member_that_fails_after_it_was_reached_is_removed_after_another_indirect_check() -> None:
    detector = CutDetector()
    removed_at: list[float] = []
    for now in range(20):
        report_silence(detector, now, "n03")
        removed_at += [now for _ in cut(detector, now)]
        if now == 0:
            detector.record_reached(now, ["n03"])
    assert REACHED_VALID_SECONDS < removed_at[0] <= REACHED_VALID_SECONDS + 2 + INDIRECT_CHECK_SECONDS


def test_a_removal_waits_a_limited_time_for_an_uncertain_member() -> None:
    detector = CutDetector()
    report_silence(detector, 0.0, "n03")
    detector.members_to_check(0.0, VIEW, RINGS)
    now = INDIRECT_CHECK_SECONDS
    report_silence(detector, now, "n03")
    for observer in [each for each in RINGS.observers("n10") if each not in RINGS.observers("n03")][:2]:
        detector.add_report(now, observer, [("n10", DOWN_AFTER_SECONDS)])
    assert detector.suspected_members(now, VIEW, RINGS).uncertain == {"n10"}
    assert cut(detector, now) == [] and cut(detector, now + UNCERTAIN_WAIT_SECONDS - 0.1) == []
    assert cut(detector, now + UNCERTAIN_WAIT_SECONDS) == ["n03"]


def test_a_member_that_fails_during_the_indirect_check_of_another_is_removed_with_it() -> None:
    detector = CutDetector()
    report_silence(detector, 0.0, "n03")
    cut(detector, 0.0)
    report_silence(detector, INDIRECT_CHECK_SECONDS, "n03", "n17", silence=DOWN_AFTER_SECONDS - 1.4)
    assert cut(detector, INDIRECT_CHECK_SECONDS) == []
    report_silence(detector, INDIRECT_CHECK_SECONDS + 1.5, "n03", "n17")
    assert cut(detector, INDIRECT_CHECK_SECONDS + 1.5) == ["n03", "n17"]


def test_a_member_reported_for_slightly_too_short_a_time_is_removed_in_the_same_change() -> None:
    """On a busy machine observers are paused one after another, which shortens the silence they report."""
    detector = CutDetector()
    report_silence(detector, 0.0, "n03", "n17")
    detector.members_to_check(0.0, VIEW, RINGS)
    for now in (
        INDIRECT_CHECK_SECONDS,
        UNCERTAIN_WAIT_SECONDS,
        INDIRECT_CHECK_SECONDS + UNCERTAIN_WAIT_SECONDS,
    ):
        report_silence(detector, now, "n03", "n17", silence=DOWN_AFTER_SECONDS - 0.1)
        for observer in RINGS.observers("n03"):
            silent = [("n03", DOWN_AFTER_SECONDS)]
            if observer in RINGS.observers("n17"):
                silent.append(("n17", DOWN_AFTER_SECONDS - 0.1))
            detector.add_report(now, observer, silent)
        assert cut(detector, now) == []
    assert cut(detector, INDIRECT_CHECK_SECONDS + UNCERTAIN_WAIT_SECONDS + 0.2) == ["n03", "n17"]


def test_members_that_failed_together_but_were_checked_apart_are_removed_in_one_change() -> None:
    """One of them had answered its observers shortly before it failed, so its silence began later."""
    detector = CutDetector()
    report_silence(detector, 0.0, "n03", silence=9.0)
    detector.members_to_check(0.0, VIEW, RINGS)
    for now in (INDIRECT_CHECK_SECONDS, INDIRECT_CHECK_SECONDS + 1.0, INDIRECT_CHECK_SECONDS + 2.0):
        report_silence(detector, now, "n17", silence=2.6 + now - INDIRECT_CHECK_SECONDS)
        for observer in RINGS.observers("n03"):
            second = [("n17", 2.6 + now - INDIRECT_CHECK_SECONDS)] * (observer in RINGS.observers("n17"))
            detector.add_report(now, observer, [("n03", 9.0), *second])
        assert cut(detector, now) == []
    report_silence(detector, INDIRECT_CHECK_SECONDS + 3.0, "n03", "n17", silence=9.0)
    assert cut(detector, INDIRECT_CHECK_SECONDS + 3.0) == ["n03", "n17"]


def test_a_removal_waits_a_limited_time_for_a_nearly_down_member() -> None:
    detector = CutDetector()
    removals: list[tuple[float, list[str]]] = []
    for tenth in range(80):
        now = tenth / 10
        report_silence(detector, now, "n03", "n17", silence=DOWN_AFTER_SECONDS - 1.0)
        for observer in RINGS.observers("n03"):
            detector.add_report(now, observer, [("n03", 9.0), ("n17", DOWN_AFTER_SECONDS - 1.0)])
        if removed := cut(detector, now):
            removals.append((now, removed))
    removed_at, names = removals[0]
    assert names == ["n03"] and removed_at == pytest.approx(INDIRECT_CHECK_SECONDS + NEARLY_DOWN_WAIT_SECONDS)


report_lists = st.lists(
    st.tuples(st.sampled_from(NAMES), st.sets(st.sampled_from(NAMES), max_size=8), st.floats(0, 9)),
    max_size=40, unique_by=lambda report: report[0],
)  # fmt: skip


@settings(deadline=None, max_examples=40)
@given(report_lists, st.randoms(use_true_random=False))
def test_the_result_is_independent_of_the_order_of_reports(
    reports: list[tuple[str, set[str], float]], random: Random
) -> None:
    first, second = CutDetector(), CutDetector()
    for observer, names, silence in reports:
        first.add_report(0.0, observer, [(name, silence) for name in sorted(names)])
    random.shuffle(reports)
    for observer, names, silence in reports:
        second.add_report(0.0, observer, [(name, silence) for name in sorted(names, reverse=True)])
    assert first.suspected_members(1.0, VIEW, RINGS) == second.suspected_members(1.0, VIEW, RINGS)
    assert [cut(first, now) for now in (1.0, 2.0, 3.4)] == [cut(second, now) for now in (1.0, 2.0, 3.4)]


@settings(deadline=None, max_examples=40)
@given(st.dictionaries(st.sampled_from(NAMES), st.integers(1, 4), max_size=6))
def test_no_member_below_the_high_watermark_is_removed(report_counts: dict[str, int]) -> None:
    """Only observers without reports against them count. If none is left, the indirect check decides."""
    detector = CutDetector()
    reports: dict[str, list[tuple[str, float]]] = {}
    for name, count in report_counts.items():
        for observer in [each for each in RINGS.observers(name) if each not in report_counts][:count]:
            reports.setdefault(observer, []).append((name, 9.0))
    for observer, silent in reports.items():
        detector.add_report(0.0, observer, silent)
    down = set().union(*(cut(detector, now) for now in (0.0, 1.0, 2.0, 3.0)))
    for name in down:
        observers = [each for each in RINGS.observers(name) if each not in report_counts]
        assert min(report_counts.get(name, 0), len(observers)) >= 5 / 6 * len(observers)


def test_an_expired_report_is_ignored() -> None:
    detector = CutDetector()
    report_silence(detector, 0.0, "n03")
    assert (
        detector.suspected_members(3.0, VIEW, RINGS).down
        and not detector.suspected_members(4.0, VIEW, RINGS).down
    )


def test_simultaneous_join_requests_are_admitted_in_one_change_within_a_limited_time() -> None:
    detector = CutDetector()
    empty = View()
    now = 0.0
    for number in range(int(JOIN_GATHER_SECONDS / JOIN_QUIET_SECONDS) + 2):  # new requests all the time
        now = number * JOIN_QUIET_SECONDS * 0.9
        detector.add_join_request(now, view_member(f"n{number:02}"))
        if now < JOIN_GATHER_SECONDS:
            assert detector.members_to_admit(now, empty, Rings(()))[0] == []
    assert len(detector.members_to_admit(JOIN_GATHER_SECONDS, empty, Rings(()))[0]) > 5


def test_a_pending_removal_delays_admissions_for_a_limited_time() -> None:
    detector = CutDetector()
    admitted_at: list[float] = []
    for tenth in range(int(10 * JOIN_HOLD_SECONDS) + 20):
        now = tenth / 10
        report_silence(detector, now, "n03", silence=3.0)
        detector.add_join_request(now, view_member("n05", start=2))
        admitted_at += [now for _ in detector.members_to_admit(now, VIEW, RINGS)[0]][:1]
    assert admitted_at[0] == pytest.approx(JOIN_HOLD_SECONDS)


@given(st.lists(st.floats(0.1, 100.0), max_size=12), st.floats(0.0, 300.0))
def test_repeated_removals_raise_the_rejoin_penalty_and_it_decays(gaps: list[float], after: float) -> None:
    detector = CutDetector()
    now = 0.0
    for gap in gaps:
        before = detector.rejoin_penalties.penalty(now + gap, "n03")
        now += gap
        detector.penalize_removed(now, ["n03"])
        assert detector.rejoin_penalties.penalty(now, "n03") == pytest.approx(before + 1)
        assert detector.rejoin_penalties.rejoin_wait_seconds(now, "n03") <= MAX_REJOIN_WAIT_SECONDS + 1e-9
    penalty = detector.rejoin_penalties.penalty(now, "n03")
    assert detector.rejoin_penalties.penalty(now + PENALTY_HALF_LIFE_SECONDS, "n03") == pytest.approx(
        penalty / 2
    )
    assert (
        detector.rejoin_penalties.rejoin_wait_seconds(now + after, "n03")
        <= detector.rejoin_penalties.rejoin_wait_seconds(now, "n03") + 1e-9
    )
    assert detector.rejoin_penalties.rejoin_wait_seconds(now, "n03") == pytest.approx(
        0 if penalty < 2 else min(MAX_REJOIN_WAIT_SECONDS, 2**penalty)
    )
    assert detector.rejoin_penalties.rejoin_wait_seconds(
        now + MAX_REJOIN_WAIT_SECONDS, "n03"
    ) == pytest.approx(0, abs=1e-9)
