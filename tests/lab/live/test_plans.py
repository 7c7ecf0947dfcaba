"""A routing plan for a fleet of real processes: proposals, unsupported formats, and windows."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.lab.live.test_membership_views import TERM, agree, without
from wheatring.lab.live import plan_cases
from wheatring.lab.live.fleet_rig import FleetRig

SIZE = 6


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[FleetRig]:
    with FleetRig(tmp_path, SIZE, TERM, fleet={"view": "true"}, control=range(SIZE), plan={}) as created:
        created.start_all()
        agree(created, created.members)
        yield created
        assert plan_cases.conflicting_plans(created) == []
        assert not [e for m in created.members.values() for e in m.events if e[1].startswith("unexpected")]


def wait_until_applied(rig: FleetRig, number: int) -> None:
    """Wait until all members have applied the committed plan."""
    plan_cases.wait_until_committed(rig, rig.members, number, 0.0)


def test_a_large_plan_reaches_all_and_a_proposal_is_decided_after_its_leader_is_killed(rig: FleetRig) -> None:
    plan_cases.propose(rig, "d3", plan_cases.document("large", 100_000))
    assert plan_cases.wait_until_ended(rig, "d3")["state"] == "settled"
    wait_until_applied(rig, 1)
    leader = next(name for name in rig.members if rig.status(name)["view"]["leads"])
    other = next(name for name in ("d3", "d4") if name != leader)
    plan_cases.propose(rig, other, plan_cases.document("next", 100_000))
    rig.kill(leader)
    assert plan_cases.wait_until_ended(rig, other)["state"] in ("settled", "refused")
    rig.start(leader)
    agree(rig, rig.members)
    wait_until_applied(rig, plan_cases.plan_status(rig, other)["newest"])


def test_two_concurrent_proposals_leave_all_members_with_the_same_plan(rig: FleetRig) -> None:
    plan_cases.propose(rig, "d3", plan_cases.document("one"))
    plan_cases.propose(rig, "d4", plan_cases.document("other"))
    outcome = {plan_cases.wait_until_ended(rig, name)["state"] for name in ("d3", "d4")}
    assert outcome <= {"settled", "refused"} and "settled" in outcome
    wait_until_applied(rig, plan_cases.plan_status(rig, "d3")["newest"])


def test_a_plan_is_refused_by_an_old_member_and_a_downgraded_member_is_not_admitted(rig: FleetRig) -> None:
    rig.member_plans["d5"] = {"formats": "[1]"}
    rig.kill("d5")
    agree(rig, without(rig, "d5"))
    rig.start("d5")
    agree(rig, rig.members)
    plan_cases.propose(rig, "d3", plan_cases.document("windows", window=3600.0))
    outcome = plan_cases.wait_until_ended(rig, "d3")
    assert outcome["state"] == "refused" and {one["member"] for one in outcome["reasons"]} == {"d5"}
    assert plan_cases.plan_status(rig, "d3")["newest"] == 0
    rig.member_plans["d5"] = {}
    rig.kill("d5")
    agree(rig, without(rig, "d5"))
    plan_cases.propose(rig, "d3", plan_cases.document("windows", window=3600.0))
    assert plan_cases.wait_until_ended(rig, "d3")["state"] == "settled"
    rig.member_plans["d5"] = {"formats": "[1]"}
    rig.start("d5")
    waits = rig.wait_until(lambda: rig.status("d5")["view"]["waits"], "it reports why it is not admitted")
    assert "format" in waits[1]
    agree(rig, without(rig, "d5"))
    rig.member_plans["d5"] = {}
    rig.kill("d5")
    rig.start("d5")
    agree(rig, rig.members)
    wait_until_applied(rig, 1)


def test_all_members_enter_and_leave_a_window_and_a_paused_one_catches_up(rig: FleetRig) -> None:
    since = plan_cases.propose(
        rig, "d3", plan_cases.document("window", window=plan_cases.WINDOW_LEAD_SECONDS)
    )
    assert plan_cases.wait_until_ended(rig, "d3")["state"] == "settled"
    time.sleep(max(0.0, since + plan_cases.WINDOW_LEAD_SECONDS - 1.5 - time.monotonic()))
    rig.pause("d5")
    others = without(rig, "d5")

    def has_logged(name: str, code: str) -> bool:
        return bool(plan_cases.events(rig, name, code, since))

    rig.wait_until(
        lambda: all(has_logged(name, "window-entered") for name in others), "the running members enter it"
    )
    assert not has_logged("d5", "window-entered")
    rig.resume("d5")
    rig.wait_until(lambda: all(has_logged(name, "window-entered") for name in rig.members), "all are in it")
    rig.wait_until(lambda: all(has_logged(name, "window-left") for name in rig.members), "all have left it")
    for name in rig.members:  # each event once, in this order
        lines = [text for _, text in rig.members[name].events if text.startswith("window-")]
        assert [line.split()[0] for line in lines] == ["window-entered", "window-left"]
