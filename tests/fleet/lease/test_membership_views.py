"""Fleets in virtual time that stand in views: what is done to them, and which changes come of it."""

from __future__ import annotations

from random import Random

import pytest

from wheatring.fleet.members.edge_monitor import EARLY_CHECK_SECONDS, EdgeMonitor
from wheatring.lab.agreement import view_days
from wheatring.lab.agreement.view_cases import CaseRun, Measurement, measure
from wheatring.lab.agreement.view_fleet import views_of
from wheatring.lab.leases.cluster import PARTITIONED

SIZE = 15


def case(name: str, seed: int = 1, span: float = 20.0) -> Measurement:
    return measure(name, SIZE, seed, span)


def test_a_dead_third_leaves_in_one_change_within_eight_seconds() -> None:
    found = case("kill-third", span=12.0)
    assert (found.removals, found.admissions, found.wrongly_removed) == (1, 0, 0)
    assert 5.5 < found.converged_seconds < 8


@pytest.mark.parametrize("name", ["loss-30", "loss-80-one", "pair", "half", "pause-5", "voters-apart"])
def test_what_is_no_death_removes_nobody(name: str) -> None:
    found = case(name)
    assert (found.removals, found.admissions, found.converged_seconds) == (0, 0, 0.0)
    assert found.agreement_share > 0.98


def test_a_third_stopped_for_long_leaves_once_and_returns_once() -> None:
    found = case("pause-15")
    assert (found.removals, found.admissions) == (1, 1)
    assert 0 < found.converged_seconds <= 3


@pytest.mark.parametrize("name", ["mute", "deaf"])
def test_a_member_that_is_mute_or_deaf_leaves_once(name: str) -> None:
    found = case(name)
    assert (found.removals, found.admissions, found.wrongly_removed) == (1, 0, 0)


def test_who_comes_back_elsewhere_is_known_there_within_seconds() -> None:
    found = case("moves", span=10.0)
    assert 0 < found.converged_seconds < 4 and found.wrongly_removed == 0


def test_as_many_more_come_while_a_third_dies() -> None:
    found = case("join")
    assert found.removals == 1 and found.wrongly_removed == 0 and 0 < found.converged_seconds < 12


def test_an_idle_member_sends_little() -> None:
    found = case("rest", span=10.0)
    assert found.datagrams <= 4 and found.bytes_sent <= 2000


def test_a_second_round_of_checks_ends() -> None:
    scene = CaseRun(SIZE, 1)
    scene.fleet.run(20)
    scene.stop(scene.names[8:10], 5.0)
    scene.fleet.run(26)
    found = [one for node in scene.fleet.nodes.values() if (one := views_of(node)) is not None]
    assert any(one.monitor.indirect_checks.active for one in found)
    scene.fleet.run(35)
    found = [one for node in scene.fleet.nodes.values() if (one := views_of(node)) is not None]
    assert not any(one.monitor.indirect_checks.active for one in found)


def test_a_minority_keeps_its_view_and_reports_it_as_stale() -> None:
    scene = CaseRun(SIZE, 1)
    fleet = scene.fleet
    fleet.run(20)
    before = scene.observer.newest
    fleet.isolate(["n0", "n9"], PARTITIONED)
    fleet.run(40)
    cut_off, rest = views_of(fleet.nodes["n9"]), views_of(fleet.nodes["n4"])
    assert cut_off is not None and rest is not None
    assert cut_off.view.number == before < rest.view.number
    assert not cut_off.is_current(40) and rest.is_current(40)
    fleet.heal()
    assert scene.observer.run_until_converged(scene.names, 10) >= 0


@pytest.mark.parametrize("seed", range(1, 3))
def test_drawn_days_break_no_rule(seed: int) -> None:
    day = view_days.play(seed)
    assert day.breaches == [] and day.views


def test_a_leader_whom_the_deaf_report_does_not_take_itself_out() -> None:
    """Two of seven hear nobody but each other, and report all the others: nobody is out of doubt."""
    assert view_days.play(381).breaches == []


def test_the_same_seed_gives_the_same_day() -> None:
    assert view_days.play(3, "together") == view_days.play(3, "together")


def test_a_member_all_of_whose_subjects_die_reports_them() -> None:
    scene = CaseRun(24, 1)
    fleet = scene.fleet
    fleet.run(20)
    first = views_of(fleet.nodes["n0"])
    assert first is not None
    voters = {"n0", "n1", "n2"}
    lonely = next(name for name in scene.names[3:] if not voters & {*first.installer.rings.subjects(name)})
    scene.kill(first.installer.rings.subjects(lonely))
    scene.observer.clear()
    assert scene.observer.run_until_converged(set(scene.names) - scene.removed, 8.5) > 0
    assert [move.removed for move in scene.observer.changes] == [scene.removed]


def test_a_member_that_has_just_started_checks_all_early_where_one_is_missed() -> None:
    """Or who died together then would be missed seconds apart, and go in two changes."""
    watch = EdgeMonitor(0.0, Random(1))
    watch.set_subjects(0.0, ["a", "b"])
    for name, seq, _ in watch.due_checks(EARLY_CHECK_SECONDS):
        watch.receive_response(EARLY_CHECK_SECONDS, name, seq)
    assert min(one.due for one in watch.subjects.values()) > 2 * EARLY_CHECK_SECONDS
    watch.check_early(EARLY_CHECK_SECONDS, "a")
    assert max(one.due for one in watch.subjects.values()) <= 2 * EARLY_CHECK_SECONDS


def test_a_member_that_missed_another_withdraws_its_report_at_once() -> None:
    watch = EdgeMonitor(0.0, Random(1))
    watch.set_subjects(0.0, ["a", "b"])
    seen: list[int] = []
    now = 0.0
    while not watch.last_report:
        now += 0.05
        for name, seq, _ in watch.due_checks(now):
            if name == "a":
                watch.receive_response(now, name, seq)
            else:
                seen.append(seq)
        watch.due_report(now)
    assert watch.receive_response(now + 0.01, "b", seen[-1]) is not None
    assert watch.due_report(now + 0.01) == ()
