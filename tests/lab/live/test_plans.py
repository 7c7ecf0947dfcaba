"""One plan of real processes: pushed, held back where one can't read it, and its windows entered by all."""

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
    with FleetRig(tmp_path, SIZE, TERM, fleet={"view": "true"}, control=range(SIZE), plan={}) as made:
        made.start_all()
        agree(made, made.members)
        yield made
        assert plan_cases.conflicting_plans(made) == []
        assert not [e for m in made.members.values() for e in m.events if e[1].startswith("unexpected")]


def known(rig: FleetRig, number: int) -> None:
    """Wait until all know that plan settled."""
    plan_cases.wait_until_committed(rig, rig.members, number, 0.0)


def test_a_large_plan_reaches_all_and_the_next_one_survives_its_leader(rig: FleetRig) -> None:
    plan_cases.propose(rig, "d3", plan_cases.document("large", 100_000))
    assert plan_cases.wait_until_ended(rig, "d3")["state"] == "settled"
    known(rig, 1)
    leader = next(name for name in rig.members if rig.status(name)["view"]["leads"])
    other = next(name for name in ("d3", "d4") if name != leader)
    plan_cases.propose(rig, other, plan_cases.document("next", 100_000))
    rig.kill(leader)
    assert plan_cases.wait_until_ended(rig, other)["state"] in ("settled", "refused")
    rig.start(leader)
    agree(rig, rig.members)
    known(rig, plan_cases.plan_status(rig, other)["newest"])


def test_two_concurrent_plans_end_in_one_that_all_have(rig: FleetRig) -> None:
    plan_cases.propose(rig, "d3", plan_cases.document("one"))
    plan_cases.propose(rig, "d4", plan_cases.document("other"))
    how = {plan_cases.wait_until_ended(rig, name)["state"] for name in ("d3", "d4")}
    assert how <= {"settled", "refused"} and "settled" in how
    known(rig, plan_cases.plan_status(rig, "d3")["newest"])


def test_a_member_that_reads_less_is_named_and_one_that_restarts_older_stays_out(rig: FleetRig) -> None:
    rig.member_plans["d5"] = {"formats": "[1]"}
    rig.kill("d5")
    agree(rig, without(rig, "d5"))
    rig.start("d5")
    agree(rig, rig.members)
    plan_cases.propose(rig, "d3", plan_cases.document("windows", window=3600.0))
    how = plan_cases.wait_until_ended(rig, "d3")
    assert how["state"] == "refused" and {one["member"] for one in how["reasons"]} == {"d5"}
    assert plan_cases.plan_status(rig, "d3")["newest"] == 0
    rig.member_plans["d5"] = {}
    rig.kill("d5")
    agree(rig, without(rig, "d5"))
    plan_cases.propose(rig, "d3", plan_cases.document("windows", window=3600.0))
    assert plan_cases.wait_until_ended(rig, "d3")["state"] == "settled"
    rig.member_plans["d5"] = {"formats": "[1]"}
    rig.start("d5")
    waits = rig.wait_until(lambda: rig.status("d5")["view"]["waits"], "it is told why it waits")
    assert "format" in waits[1]
    agree(rig, without(rig, "d5"))
    rig.member_plans["d5"] = {}
    rig.kill("d5")
    rig.start("d5")
    agree(rig, rig.members)
    known(rig, 1)


def test_all_enter_and_leave_a_window_and_a_stopped_member_follows(rig: FleetRig) -> None:
    since = plan_cases.propose(
        rig, "d3", plan_cases.document("window", window=plan_cases.WINDOW_LEAD_SECONDS)
    )
    assert plan_cases.wait_until_ended(rig, "d3")["state"] == "settled"
    time.sleep(max(0.0, since + plan_cases.WINDOW_LEAD_SECONDS - 1.5 - time.monotonic()))
    rig.pause("d5")
    rest = without(rig, "d5")

    def said(name: str, word: str) -> bool:
        return bool(plan_cases.events(rig, name, word, since))

    rig.wait_until(lambda: all(said(name, "window-entered") for name in rest), "they enter it")
    assert not said("d5", "window-entered")
    rig.resume("d5")
    rig.wait_until(lambda: all(said(name, "window-entered") for name in rig.members), "all are in it")
    rig.wait_until(lambda: all(said(name, "window-left") for name in rig.members), "all have left it")
    for name in rig.members:  # each once, in its order
        lines = [text for _, text in rig.members[name].events if text.startswith("window-")]
        assert [line.split()[0] for line in lines] == ["window-entered", "window-left"]
