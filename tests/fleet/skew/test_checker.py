"""A plan is held back until every member of the view understands it: fleets in virtual time."""

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
from wheatring.lab.agreement.skew_days import Day, OpenGate, OutlivesItsView, SilentIsYes
from wheatring.lab.live.links.link_state import LinkState

NEWER, OLDER = local_capabilities(version=str), local_capabilities([1], version=str)


def plan(format: int) -> Plan:
    return draw_plan(Random(7), format)


class Fleet(Day):
    """`out` are not started with the rest; `count` counts words, by their types."""

    def __init__(
        self,
        *out: str,
        size: int = 7,
        skew: type[CompatibilityChecker] = CompatibilityChecker,
        **next_: Capabilities | None,
    ) -> None:
        super().__init__(5, size, skew)
        self.next_capabilities |= next_
        self.count: Counter[str] = Counter()
        arrive = self.cluster.deliver

        def counted(node: Any, sender: str, message: Any) -> None:
            self.count[type(message).__name__] += 1
            arrive(node, sender, message)

        self.cluster.deliver = counted  # type: ignore[method-assign]
        for name in out:
            self.cluster.schedule(1.0, self.cluster.kill, self.cluster.nodes[name])
        self.after(20.0 if out else 6.0)
        assert self.view.names == self.cluster.nodes.keys() - {*out}

    def after(self, seconds: float) -> None:
        self.cluster.run(self.cluster.now + seconds)

    def pushed(self, format: int, seconds: float = 2.0) -> str:
        """Push, and say what came of it within so many seconds."""
        before = self.counts["settled"]
        self.propose(plan(format))
        self.after(seconds)
        if self.counts["settled"] > before:
            return "settled"
        return "refused" if self.rejections else "open"

    def start(self, name: str, abilities: Capabilities | None) -> None:
        self.next_capabilities[name] = abilities
        self.cluster.start(self.cluster.nodes[name])

    def leader(self) -> PlanDriver:
        at = self.cluster.instant(self.cluster.nodes["n0"])
        return next(p for n, p in self.drivers.items() if self.cluster.nodes[n].fleet and p.is_leading(at))

    def why(self) -> list[tuple[str, str]]:
        return sorted({(one.member, one.code) for one in self.rejections})


def test_a_plan_that_all_understand_is_settled_and_each_is_asked_once() -> None:
    fleet = Fleet()
    assert fleet.pushed(3, 1.0) == "settled" and not fleet.breaches
    assert (fleet.count["CapabilityRequest"], fleet.count["TrialRequest"], fleet.count["TrialResult"]) == (
        7,
        7,
        7,
    )


def test_who_is_older_is_named_with_what_it_lacks_and_nothing_is_settled() -> None:
    fleet = Fleet(n4=OLDER, n5=local_capabilities([1, 2], version=str))
    assert fleet.pushed(3) == "refused" and fleet.newest is None
    assert {name for name, _ in fleet.why()} == {"n4", "n5"}
    assert ("n4", "unable") in fleet.why() and ("n5", "unreadable-format") in fleet.why()
    assert fleet.pushed(1) == "settled"


@pytest.mark.parametrize("skew", [CompatibilityChecker, SilentIsYes])
def test_a_member_that_does_not_answer_is_named_in_the_rejection(skew: type[CompatibilityChecker]) -> None:
    fleet = Fleet(skew=skew, n5=None)  # a program that has not these words
    fleet.propose(plan(2))
    fleet.after(12.0)
    if skew is CompatibilityChecker:
        assert fleet.why() == [("n5", "silent")] and not fleet.breaches and fleet.newest is None
        assert "has not answered the survey for 8" in fleet.rejections[0].what
    else:  # what the rule above guards against, and that it is seen
        assert fleet.breaches


def test_a_member_that_stops_after_the_survey_is_waited_for_and_named_meanwhile() -> None:
    fleet = Fleet()
    leader = fleet.leader()
    fleet.propose(plan(1))
    while leader.skew.verdict(fleet.cluster.now).stage is CheckStage.SURVEYING:
        fleet.after(0.005)
    fleet.cluster.stop(fleet.cluster.nodes["n6"])
    fleet.after(4.0)
    late = leader.skew.verdict(fleet.cluster.now)
    assert (late.stage, late.answered, late.members) == (CheckStage.TESTING, 6, 7)
    assert [(one.member, one.code) for one in late.reasons] == [("n6", "silent")]
    fleet.cluster.resume(fleet.cluster.nodes["n6"])
    fleet.after(1.0)
    assert fleet.counts["settled"] == 1


def test_who_decides_otherwise_is_named_with_the_first_request_that_differs() -> None:
    fleet = Fleet("n5")

    def odd(body: bytes) -> tuple[Plan, ToyEvaluator]:
        made = msgspec.json.decode(body, type=Plan)
        return made, ToyEvaluator(made, odd=True)

    fleet.compiles["n5"] = odd
    fleet.start("n5", msgspec.structs.replace(NEWER, versions=(("re2", "1"), ("tzdata", "2020.1"))))
    fleet.after(4.0)
    assert fleet.pushed(2) == "refused" and fleet.why() == [("n5", "disagrees")]
    assert fleet.rejections[0].what == (
        "it answers otherwise than 6 of 7: GET /r0x host=any.test: r0 instead of none; "
        "it has tzdata 2020.1 instead of tzdata"
    )
    assert fleet.count["AnswerRequest"] <= 2 * 10


def test_who_can_not_compile_it_is_named_with_its_error() -> None:
    fleet = Fleet("n5")

    def fails(_body: bytes) -> tuple[Plan, ToyEvaluator]:
        raise ValueError("routes[0].match:\n no such thing")

    fleet.compiles["n5"] = fails
    fleet.start("n5", NEWER)
    fleet.after(4.0)
    assert fleet.pushed(1, 4.0) == "refused" and fleet.why() == [("n5", "not-compiled")]
    assert fleet.rejections[0].what == "routes[0].match: no such thing"


def joins(abilities: Capabilities, skew: type[CompatibilityChecker] = CompatibilityChecker) -> Fleet:
    """One comes in while a plan is pushed, and another is slow to answer."""
    fleet = Fleet("n6", skew=skew)
    fleet.cluster.stop(fleet.cluster.nodes["n5"])
    fleet.propose(plan(3))
    fleet.start("n6", abilities)
    fleet.after(2.0)
    assert "n6" in fleet.view.names and fleet.newest is None
    fleet.cluster.resume(fleet.cluster.nodes["n5"])
    fleet.after(4.0)
    return fleet


def test_who_comes_in_meanwhile_is_asked_too_and_nobody_twice() -> None:
    fleet = joins(NEWER)
    assert fleet.counts["settled"] == 1 and not fleet.breaches
    assert fleet.count["TrialRequest"] == 7 and fleet.count["CapabilityRequest"] <= 6 + 1 + 5


def test_who_comes_in_meanwhile_and_is_older_keeps_the_plan_from_being_settled() -> None:
    fleet = joins(OLDER)
    assert fleet.newest is None and {name for name, _ in fleet.why()} == {"n6"}
    assert joins(OLDER, OutlivesItsView).breaches


def test_a_member_that_can_not_read_the_committed_plan_does_not_join_and_learns_why() -> None:
    fleet = Fleet("n6")
    assert fleet.pushed(3) == "settled"
    fleet.start("n6", OLDER)
    fleet.after(5.0)
    waits = fleet.drivers["n6"].views.join_deferral
    assert "n6" not in fleet.view.names and waits is not None and "in format 3, it reads 1" in waits.reason
    assert fleet.pushed(1) == "settled"
    fleet.after(2.0)
    assert "n6" in fleet.view.names and not fleet.breaches


def test_the_check_at_joining_is_what_keeps_it_out() -> None:
    fleet = Fleet("n6", skew=OpenGate)
    assert fleet.pushed(3) == "settled"
    fleet.start("n6", OLDER)
    fleet.after(5.0)
    assert fleet.breaches


def test_a_program_without_these_messages_counts_as_one_that_reads_format_1() -> None:
    fleet = Fleet("n6")
    assert fleet.pushed(1) == "settled"
    fleet.start("n6", None)
    fleet.after(LEGACY_AFTER_SECONDS - 1.0)
    assert "n6" not in fleet.view.names
    fleet.after(4.0)
    assert "n6" in fleet.view.names
    fleet = Fleet("n6")
    assert fleet.pushed(3) == "settled"
    fleet.start("n6", None)
    fleet.after(LEGACY_AFTER_SECONDS + 5.0)
    assert "n6" not in fleet.view.names


def test_the_next_leader_knows_the_committed_plan_and_keeps_the_check_at_joining() -> None:
    fleet = Fleet("n6")
    assert fleet.pushed(3) == "settled"
    fleet.cluster.kill(fleet.cluster.nodes[fleet.leader().fleet.me.name])
    fleet.start("n6", OLDER)
    fleet.after(25.0)
    assert "n6" not in fleet.view.names and len(fleet.view.names) == 5 and not fleet.breaches


def test_a_leader_that_can_not_read_what_is_settled_lets_nobody_in() -> None:
    fleet = Fleet()
    leader = fleet.leader()
    leader.skew.plan_committed(None, b"x" * 9)
    at = fleet.cluster.instant(fleet.cluster.nodes["n0"])
    placed = fleet.view.members[-1]
    assert [one.code for one in leader.skew.admission_refusals(at, placed)] == ["settled-unreadable"]
    assert [one.code for one in leader.skew.own_refusals()] == ["settled-unreadable"]


def test_nobody_comes_in_while_a_plan_is_chosen_nor_a_plan_while_a_view_is() -> None:
    fleet = Fleet()
    skew = fleet.leader().skew
    at = fleet.cluster.instant(fleet.cluster.nodes["n0"])
    placed = fleet.view.members[-1]
    assert skew.admission_refusals(at, placed) == ()
    skew.is_plan_stable = lambda: False
    assert [one.code for one in skew.admission_refusals(at, placed)] == ["unsurveyed"]
    skew.is_view_stable = lambda: False
    fleet.propose(plan(1))
    fleet.after(2.0)
    assert skew.verdict(fleet.cluster.now).stage is CheckStage.TESTING and fleet.newest is None
    skew.is_view_stable = lambda: True
    assert skew.verdict(fleet.cluster.now).stage is CheckStage.COMPATIBLE


def test_loss_of_a_third_delays_and_no_more() -> None:
    fleet = Fleet()
    fleet.cluster.default_link = LinkState(delay=0.0005, jitter=0.0005, drop=0.3)
    assert fleet.pushed(3, 15.0) == "settled" and not fleet.breaches


def test_the_minimum_format_keeps_older_members_out_and_changes_by_a_call_only() -> None:
    fleet = Fleet("n6", n5=local_capabilities([1, 2], version=str))
    for format in (3, 3, 2):  # at first nobody has been asked yet
        fleet.move_minimum(format)
        fleet.after(1.0)
    assert fleet.counts["floor: unsurveyed"] == fleet.counts["floor: below-floor"] == 1
    assert {pusher.skew.minimum_format for name, pusher in fleet.drivers.items() if name != "n6"} == {2}
    fleet.start("n6", OLDER)
    fleet.after(5.0)
    waits = fleet.drivers["n6"].views.join_deferral
    assert "n6" not in fleet.view.names and waits is not None and "the fleet's floor is 2" in waits.reason
    assert fleet.pushed(2) == "settled"
    fleet.move_minimum(1)
    fleet.after(1.0)
    assert fleet.counts["floor: floor-in-use"] == 1 and fleet.pushed(1) == "settled"
    fleet.move_minimum(1)
    fleet.after(3.0)
    assert fleet.minimum[1] == 1 and "n6" in fleet.view.names and not fleet.breaches


def test_in_drawn_days_nobody_is_in_a_plan_that_it_can_not_read() -> None:
    settled = 0
    for seed in range(3):
        day = Day(seed)
        day.play(40.0)
        assert day.breaches == []
        settled += day.counts["settled"]
    assert settled >= 3
