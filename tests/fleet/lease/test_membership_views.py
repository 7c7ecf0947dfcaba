"""Membership views of simulated fleets: which view changes follow from failures, joins and partitions."""

from __future__ import annotations

from random import Random

import pytest

from wheatring.fleet.members.edge_monitor import EARLY_CHECK_SECONDS, EdgeMonitor
from wheatring.lab.agreement import view_days
from wheatring.lab.agreement.view_cases import CaseRun, Measurement, measure
from wheatring.lab.agreement.view_fleet import views_of
from wheatring.lab.leases.cluster import PARTITIONED

SIZE = 15


def run_case(name: str, seed: int = 1, span: float = 20.0) -> Measurement:
    return measure(name, SIZE, seed, span)


def test_failed_third_is_removed_in_one_change_within_eight_seconds() -> None:
    measured = run_case("kill-third", span=12.0)
    assert (measured.removals, measured.admissions, measured.wrongly_removed) == (1, 0, 0)
    assert 5.5 < measured.converged_seconds < 8


@pytest.mark.parametrize("name", ["loss-30", "loss-80-one", "pair", "half", "pause-5", "voters-apart"])
def test_faults_without_failed_members_remove_nobody(name: str) -> None:
    measured = run_case(name)
    assert (measured.removals, measured.admissions, measured.converged_seconds) == (0, 0, 0.0)
    assert measured.agreement_share > 0.98


def test_third_paused_for_15_s_is_removed_once_and_readmitted_once() -> None:
    measured = run_case("pause-15")
    assert (measured.removals, measured.admissions) == (1, 1)
    assert 0 < measured.converged_seconds <= 3


@pytest.mark.parametrize("name", ["mute", "deaf"])
def test_member_with_one_way_packet_loss_is_removed_once(name: str) -> None:
    measured = run_case(name)
    assert (measured.removals, measured.admissions, measured.wrongly_removed) == (1, 0, 0)


def test_member_restarted_at_another_address_is_known_there_within_four_seconds() -> None:
    measured = run_case("moves", span=10.0)
    assert 0 < measured.converged_seconds < 4 and measured.wrongly_removed == 0


def test_new_members_join_while_a_third_fails() -> None:
    measured = run_case("join")
    assert measured.removals == 1 and measured.wrongly_removed == 0 and 0 < measured.converged_seconds < 12


def test_idle_member_sends_at_most_four_datagrams_per_second() -> None:
    measured = run_case("rest", span=10.0)
    assert measured.datagrams <= 4 and measured.bytes_sent <= 2000


def test_indirect_checks_end() -> None:
    case_run = CaseRun(SIZE, 1)
    case_run.fleet.run(20)
    case_run.stop(case_run.names[8:10], 5.0)
    case_run.fleet.run(26)
    all_views = [views for node in case_run.fleet.nodes.values() if (views := views_of(node)) is not None]
    assert any(views.monitor.indirect_checks.active for views in all_views)
    case_run.fleet.run(35)
    all_views = [views for node in case_run.fleet.nodes.values() if (views := views_of(node)) is not None]
    assert not any(views.monitor.indirect_checks.active for views in all_views)


def test_partitioned_minority_keeps_its_view_and_reports_it_as_stale() -> None:
    case_run = CaseRun(SIZE, 1)
    fleet = case_run.fleet
    fleet.run(20)
    before = case_run.observer.newest
    fleet.isolate(["n0", "n9"], PARTITIONED)
    fleet.run(40)
    minority, majority = views_of(fleet.nodes["n9"]), views_of(fleet.nodes["n4"])
    assert minority is not None and majority is not None
    assert minority.view.number == before < majority.view.number
    assert not minority.is_current(40) and majority.is_current(40)
    fleet.heal()
    assert case_run.observer.run_until_converged(case_run.names, 10) >= 0


@pytest.mark.parametrize("seed", range(1, 3))
def test_random_days_violate_no_invariant(seed: int) -> None:
    day = view_days.play(seed)
    assert day.breaches == [] and day.views


def test_leader_reported_by_members_that_receive_nothing_does_not_remove_itself() -> None:
    """Two of seven members hear only each other and report all the others, so nobody is unsuspected."""
    assert view_days.play(381).breaches == []


def test_same_seed_gives_the_same_day() -> None:
    assert view_days.play(3, "together") == view_days.play(3, "together")


def test_member_whose_subjects_all_fail_reports_them() -> None:
    case_run = CaseRun(24, 1)
    fleet = case_run.fleet
    fleet.run(20)
    first = views_of(fleet.nodes["n0"])
    assert first is not None
    voters = {"n0", "n1", "n2"}
    observer = next(
        name for name in case_run.names[3:] if not voters & {*first.installer.rings.subjects(name)}
    )
    case_run.kill(first.installer.rings.subjects(observer))
    case_run.observer.clear()
    assert case_run.observer.run_until_converged(set(case_run.names) - case_run.removed, 8.5) > 0
    assert [change.removed for change in case_run.observer.changes] == [case_run.removed]


def test_started_member_checks_all_subjects_early_when_one_misses_a_check() -> None:
    """Otherwise members that failed together are detected seconds apart, and removed in two changes."""
    monitor = EdgeMonitor(0.0, Random(1))
    monitor.set_subjects(0.0, ["a", "b"])
    for name, sequence, _ in monitor.due_checks(EARLY_CHECK_SECONDS):
        monitor.receive_response(EARLY_CHECK_SECONDS, name, sequence)
    assert min(subject.due for subject in monitor.subjects.values()) > 2 * EARLY_CHECK_SECONDS
    monitor.check_early(EARLY_CHECK_SECONDS, "a")
    assert max(subject.due for subject in monitor.subjects.values()) <= 2 * EARLY_CHECK_SECONDS


def test_late_response_withdraws_the_report_immediately() -> None:
    monitor = EdgeMonitor(0.0, Random(1))
    monitor.set_subjects(0.0, ["a", "b"])
    unanswered: list[int] = []
    now = 0.0
    while not monitor.last_report:
        now += 0.05
        for name, sequence, _ in monitor.due_checks(now):
            if name == "a":
                monitor.receive_response(now, name, sequence)
            else:
                unanswered.append(sequence)
        monitor.due_report(now)
    assert monitor.receive_response(now + 0.01, "b", unanswered[-1]) is not None
    assert monitor.due_report(now + 0.01) == ()
