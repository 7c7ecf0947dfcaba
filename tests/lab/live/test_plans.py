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
def band(tmp_path: Path) -> Iterator[FleetRig]:
    with FleetRig(tmp_path, SIZE, TERM, fleet={"view": "true"}, control=range(SIZE), plan={}) as made:
        made.start_all()
        agree(made, made.members)
        yield made
        assert plan_cases.conflicting_plans(made) == []
        assert not [e for m in made.members.values() for e in m.events if e[1].startswith("unexpected")]


def known(band: FleetRig, number: int) -> None:
    """Wait until all know that plan settled."""
    plan_cases.wait_until_committed(band, band.members, number, 0.0)


def test_a_large_plan_is_with_all_and_the_next_one_survives_its_leader(band: FleetRig) -> None:
    plan_cases.propose(band, "d3", plan_cases.document("large", 100_000))
    assert plan_cases.wait_until_ended(band, "d3")["state"] == "settled"
    known(band, 1)
    leader = next(name for name in band.members if band.status(name)["view"]["leads"])
    other = next(name for name in ("d3", "d4") if name != leader)
    plan_cases.propose(band, other, plan_cases.document("next", 100_000))
    band.kill(leader)
    assert plan_cases.wait_until_ended(band, other)["state"] in ("settled", "refused")
    band.start(leader)
    agree(band, band.members)
    known(band, plan_cases.plan_status(band, other)["newest"])


def test_two_that_are_pushed_at_once_end_in_one_that_all_have(band: FleetRig) -> None:
    plan_cases.propose(band, "d3", plan_cases.document("one"))
    plan_cases.propose(band, "d4", plan_cases.document("other"))
    how = {plan_cases.wait_until_ended(band, name)["state"] for name in ("d3", "d4")}
    assert how <= {"settled", "refused"} and "settled" in how
    known(band, plan_cases.plan_status(band, "d3")["newest"])


def test_one_that_reads_less_is_named_and_one_that_comes_back_older_stays_out(band: FleetRig) -> None:
    band.member_plans["d5"] = {"formats": "[1]"}
    band.kill("d5")
    agree(band, without(band, "d5"))
    band.start("d5")
    agree(band, band.members)
    plan_cases.propose(band, "d3", plan_cases.document("windows", window=3600.0))
    how = plan_cases.wait_until_ended(band, "d3")
    assert how["state"] == "refused" and {one["member"] for one in how["reasons"]} == {"d5"}
    assert plan_cases.plan_status(band, "d3")["newest"] == 0
    band.member_plans["d5"] = {}
    band.kill("d5")
    agree(band, without(band, "d5"))
    plan_cases.propose(band, "d3", plan_cases.document("windows", window=3600.0))
    assert plan_cases.wait_until_ended(band, "d3")["state"] == "settled"
    band.member_plans["d5"] = {"formats": "[1]"}
    band.start("d5")
    waits = band.wait_until(lambda: band.status("d5")["view"]["waits"], "it is told why it waits")
    assert "format" in waits[1]
    agree(band, without(band, "d5"))
    band.member_plans["d5"] = {}
    band.kill("d5")
    band.start("d5")
    agree(band, band.members)
    known(band, 1)


def test_all_enter_and_leave_a_window_and_one_that_was_stopped_follows(band: FleetRig) -> None:
    since = plan_cases.propose(
        band, "d3", plan_cases.document("window", window=plan_cases.WINDOW_LEAD_SECONDS)
    )
    assert plan_cases.wait_until_ended(band, "d3")["state"] == "settled"
    time.sleep(max(0.0, since + plan_cases.WINDOW_LEAD_SECONDS - 1.5 - time.monotonic()))
    band.pause("d5")
    rest = without(band, "d5")

    def said(name: str, word: str) -> bool:
        return bool(plan_cases.events(band, name, word, since))

    band.wait_until(lambda: all(said(name, "window-entered") for name in rest), "they enter it")
    assert not said("d5", "window-entered")
    band.resume("d5")
    band.wait_until(lambda: all(said(name, "window-entered") for name in band.members), "all are in it")
    band.wait_until(lambda: all(said(name, "window-left") for name in band.members), "all have left it")
    for name in band.members:  # each once, in its order
        lines = [text for _, text in band.members[name].events if text.startswith("window-")]
        assert [line.split()[0] for line in lines] == ["window-entered", "window-left"]
