"""Compatibility checks in simulated fleets: all members of the view must be able to apply a plan."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

import msgspec
import pytest

from wheatring.fleet.plan.compatibility import CheckStage
from wheatring.fleet.plan.document import Plan
from wheatring.fleet.skew.capabilities import Capabilities, local_capabilities
from wheatring.fleet.skew.capability_table import LEGACY_AFTER_SECONDS
from wheatring.fleet.skew.checker import CompatibilityChecker
from wheatring.lab.agreement.plan_driver import PlanDriver, ToyEvaluator, draw_plan
from wheatring.lab.agreement.skew_days import AdmitsEveryMember, Day, SilenceIsConsent, VerdictOutlivesView
from wheatring.lab.live.links.link_state import LinkState

NEWER, OLDER = local_capabilities(version=str), local_capabilities([1], version=str)


def plan(format: int) -> Plan:
    return draw_plan(Random(7), format)


class Fleet(Day):
    """A simulated fleet; `stopped` are killed at the start, `message_counts` are counts by message type."""

    def __init__(
        self,
        *stopped: str,
        size: int = 7,
        checker_type: type[CompatibilityChecker] = CompatibilityChecker,
        **capabilities: Capabilities | None,
    ) -> None:
        super().__init__(5, size, checker_type)
        self.next_capabilities |= capabilities
        self.message_counts: Counter[str] = Counter()
        deliver = self.cluster.deliver

        def count_and_deliver(node: Any, sender: str, message: Any) -> None:
            self.message_counts[type(message).__name__] += 1
            deliver(node, sender, message)

        self.cluster.deliver = count_and_deliver  # type: ignore[method-assign]
        for name in stopped:
            self.cluster.schedule(1.0, self.cluster.kill, self.cluster.nodes[name])
        self.run_for(20.0 if stopped else 6.0)
        assert self.view.names == self.cluster.nodes.keys() - {*stopped}

    def run_for(self, seconds: float) -> None:
        self.cluster.run(self.cluster.now + seconds)

    def propose_and_run(self, format: int, seconds: float = 2.0) -> str:
        """Propose a plan of a format, and return the outcome after so many seconds."""
        before = self.counts["settled"]
        self.propose(plan(format))
        self.run_for(seconds)
        if self.counts["settled"] > before:
            return "settled"
        return "refused" if self.rejections else "open"

    def start(self, name: str, capabilities: Capabilities | None) -> None:
        self.next_capabilities[name] = capabilities
        self.cluster.start(self.cluster.nodes[name])

    def leader(self) -> PlanDriver:
        at = self.cluster.instant(self.cluster.nodes["n0"])
        return next(
            driver
            for name, driver in self.drivers.items()
            if self.cluster.nodes[name].fleet and driver.is_leading(at)
        )

    def rejection_codes(self) -> list[tuple[str, str]]:
        return sorted({(reason.member, reason.code) for reason in self.rejections})


def test_a_compatible_plan_is_committed_after_one_request_to_each_member() -> None:
    fleet = Fleet()
    assert fleet.propose_and_run(3, 1.0) == "settled" and not fleet.breaches
    assert (
        fleet.message_counts["CapabilityRequest"],
        fleet.message_counts["TrialRequest"],
        fleet.message_counts["TrialResult"],
    ) == (
        7,
        7,
        7,
    )


def test_a_rejection_names_older_members_with_their_missing_capabilities() -> None:
    fleet = Fleet(n4=OLDER, n5=local_capabilities([1, 2], version=str))
    assert fleet.propose_and_run(3) == "refused" and fleet.newest is None
    assert {name for name, _ in fleet.rejection_codes()} == {"n4", "n5"}
    assert ("n4", "unable") in fleet.rejection_codes() and (
        "n5",
        "unreadable-format",
    ) in fleet.rejection_codes()
    assert fleet.propose_and_run(1) == "settled"


@pytest.mark.parametrize("checker_type", [CompatibilityChecker, SilenceIsConsent])
def test_a_member_that_does_not_answer_is_named_in_the_rejection(
    checker_type: type[CompatibilityChecker],
) -> None:
    fleet = Fleet(checker_type=checker_type, n5=None)  # a program that does not know these messages
    fleet.propose(plan(2))
    fleet.run_for(12.0)
    if checker_type is CompatibilityChecker:
        assert fleet.rejection_codes() == [("n5", "silent")] and not fleet.breaches and fleet.newest is None
        assert "has not answered the survey for 8" in fleet.rejections[0].what
    else:  # with the planted fault the simulation detects a violation
        assert fleet.breaches


def test_a_member_that_stops_after_the_survey_is_reported_while_the_check_waits() -> None:
    fleet = Fleet()
    leader = fleet.leader()
    fleet.propose(plan(1))
    while leader.checker.verdict(fleet.cluster.now).stage is CheckStage.SURVEYING:
        fleet.run_for(0.005)
    fleet.cluster.stop(fleet.cluster.nodes["n6"])
    fleet.run_for(4.0)
    verdict = leader.checker.verdict(fleet.cluster.now)
    assert (verdict.stage, verdict.answered, verdict.members) == (CheckStage.TESTING, 6, 7)
    assert [(reason.member, reason.code) for reason in verdict.reasons] == [("n6", "silent")]
    fleet.cluster.resume(fleet.cluster.nodes["n6"])
    fleet.run_for(1.0)
    assert fleet.counts["settled"] == 1


def test_a_member_with_differing_answers_is_named_with_the_first_differing_request() -> None:
    fleet = Fleet("n5")

    def evaluate_differently(body: bytes) -> tuple[Plan, ToyEvaluator]:
        made = msgspec.json.decode(body, type=Plan)
        return made, ToyEvaluator(made, ignores_segments=True)

    fleet.compiles["n5"] = evaluate_differently
    fleet.start("n5", msgspec.structs.replace(NEWER, versions=(("re2", "1"), ("tzdata", "2020.1"))))
    fleet.run_for(4.0)
    assert fleet.propose_and_run(2) == "refused" and fleet.rejection_codes() == [("n5", "disagrees")]
    assert fleet.rejections[0].what == (
        "it answers otherwise than 6 of 7: GET /r0x host=any.test: r0 instead of none; "
        "it has tzdata 2020.1 instead of tzdata"
    )
    assert fleet.message_counts["AnswerRequest"] <= 2 * 10


def test_a_member_that_cannot_compile_the_plan_is_named_with_its_error() -> None:
    fleet = Fleet("n5")

    def fail_to_compile(_body: bytes) -> tuple[Plan, ToyEvaluator]:
        raise ValueError("routes[0].match:\n no such thing")

    fleet.compiles["n5"] = fail_to_compile
    fleet.start("n5", NEWER)
    fleet.run_for(4.0)
    assert fleet.propose_and_run(1, 4.0) == "refused" and fleet.rejection_codes() == [("n5", "not-compiled")]
    assert fleet.rejections[0].what == "routes[0].match: no such thing"


def join_during_rollout(
    capabilities: Capabilities, checker_type: type[CompatibilityChecker] = CompatibilityChecker
) -> Fleet:
    """Start a member during a rollout that a stopped member delays."""
    fleet = Fleet("n6", checker_type=checker_type)
    fleet.cluster.stop(fleet.cluster.nodes["n5"])
    fleet.propose(plan(3))
    fleet.start("n6", capabilities)
    fleet.run_for(2.0)
    assert "n6" in fleet.view.names and fleet.newest is None
    fleet.cluster.resume(fleet.cluster.nodes["n5"])
    fleet.run_for(4.0)
    return fleet


def test_a_member_that_joins_during_the_check_is_asked_and_none_is_asked_twice() -> None:
    fleet = join_during_rollout(NEWER)
    assert fleet.counts["settled"] == 1 and not fleet.breaches
    assert (
        fleet.message_counts["TrialRequest"] == 7 and fleet.message_counts["CapabilityRequest"] <= 6 + 1 + 5
    )


def test_an_older_member_that_joins_during_the_check_causes_a_rejection() -> None:
    fleet = join_during_rollout(OLDER)
    assert fleet.newest is None and {name for name, _ in fleet.rejection_codes()} == {"n6"}
    assert join_during_rollout(OLDER, VerdictOutlivesView).breaches


def test_a_process_that_cannot_read_the_committed_plan_is_not_admitted_and_gets_the_reason() -> None:
    fleet = Fleet("n6")
    assert fleet.propose_and_run(3) == "settled"
    fleet.start("n6", OLDER)
    fleet.run_for(5.0)
    deferral = fleet.drivers["n6"].views.join_deferral
    assert (
        "n6" not in fleet.view.names and deferral is not None and "in format 3, it reads 1" in deferral.reason
    )
    assert fleet.propose_and_run(1) == "settled"
    fleet.run_for(2.0)
    assert "n6" in fleet.view.names and not fleet.breaches


def test_without_the_admission_check_an_incompatible_process_joins() -> None:
    fleet = Fleet("n6", checker_type=AdmitsEveryMember)
    assert fleet.propose_and_run(3) == "settled"
    fleet.start("n6", OLDER)
    fleet.run_for(5.0)
    assert fleet.breaches


def test_a_program_without_these_messages_counts_as_one_that_reads_format_1() -> None:
    fleet = Fleet("n6")
    assert fleet.propose_and_run(1) == "settled"
    fleet.start("n6", None)
    fleet.run_for(LEGACY_AFTER_SECONDS - 1.0)
    assert "n6" not in fleet.view.names
    fleet.run_for(4.0)
    assert "n6" in fleet.view.names
    fleet = Fleet("n6")
    assert fleet.propose_and_run(3) == "settled"
    fleet.start("n6", None)
    fleet.run_for(LEGACY_AFTER_SECONDS + 5.0)
    assert "n6" not in fleet.view.names


def test_the_next_leader_applies_the_admission_check_to_the_committed_plan() -> None:
    fleet = Fleet("n6")
    assert fleet.propose_and_run(3) == "settled"
    fleet.cluster.kill(fleet.cluster.nodes[fleet.leader().fleet.me.name])
    fleet.start("n6", OLDER)
    fleet.run_for(25.0)
    assert "n6" not in fleet.view.names and len(fleet.view.names) == 5 and not fleet.breaches


def test_a_leader_that_cannot_read_the_committed_plan_admits_no_process() -> None:
    fleet = Fleet()
    leader = fleet.leader()
    leader.checker.plan_committed(None, b"x" * 9)
    at = fleet.cluster.instant(fleet.cluster.nodes["n0"])
    view_member = fleet.view.members[-1]
    assert [reason.code for reason in leader.checker.admission_refusals(at, view_member)] == [
        "settled-unreadable"
    ]
    assert [reason.code for reason in leader.checker.own_refusals()] == ["settled-unreadable"]


def test_no_admission_during_a_plan_commit_and_no_plan_during_a_view_commit() -> None:
    fleet = Fleet()
    checker = fleet.leader().checker
    at = fleet.cluster.instant(fleet.cluster.nodes["n0"])
    view_member = fleet.view.members[-1]
    assert checker.admission_refusals(at, view_member) == ()
    checker.is_plan_stable = lambda: False
    assert [reason.code for reason in checker.admission_refusals(at, view_member)] == ["unsurveyed"]
    checker.is_view_stable = lambda: False
    fleet.propose(plan(1))
    fleet.run_for(2.0)
    assert checker.verdict(fleet.cluster.now).stage is CheckStage.TESTING and fleet.newest is None
    checker.is_view_stable = lambda: True
    assert checker.verdict(fleet.cluster.now).stage is CheckStage.COMPATIBLE


def test_a_check_succeeds_with_a_third_of_all_messages_lost() -> None:
    fleet = Fleet()
    fleet.cluster.default_link = LinkState(delay=0.0005, jitter=0.0005, drop=0.3)
    assert fleet.propose_and_run(3, 15.0) == "settled" and not fleet.breaches


def test_the_minimum_format_keeps_older_members_out_and_changes_by_a_call_only() -> None:
    fleet = Fleet("n6", n5=local_capabilities([1, 2], version=str))
    for format in (3, 3, 2):  # the first request finds no known capabilities
        fleet.move_minimum(format)
        fleet.run_for(1.0)
    assert fleet.counts["floor: unsurveyed"] == fleet.counts["floor: below-floor"] == 1
    assert {driver.checker.minimum_format for name, driver in fleet.drivers.items() if name != "n6"} == {2}
    fleet.start("n6", OLDER)
    fleet.run_for(5.0)
    deferral = fleet.drivers["n6"].views.join_deferral
    assert (
        "n6" not in fleet.view.names and deferral is not None and "the fleet's floor is 2" in deferral.reason
    )
    assert fleet.propose_and_run(2) == "settled"
    fleet.move_minimum(1)
    fleet.run_for(1.0)
    assert fleet.counts["floor: floor-in-use"] == 1 and fleet.propose_and_run(1) == "settled"
    fleet.move_minimum(1)
    fleet.run_for(3.0)
    assert fleet.minimum[1] == 1 and "n6" in fleet.view.names and not fleet.breaches


def test_in_random_days_no_member_is_in_a_view_whose_plan_it_cannot_read() -> None:
    committed = 0
    for seed in range(3):
        day = Day(seed)
        day.play(40.0)
        assert day.breaches == []
        committed += day.counts["settled"]
    assert committed >= 3
