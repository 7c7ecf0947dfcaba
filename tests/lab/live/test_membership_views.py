"""Agreed membership views of real processes: six sidecars, with faults of processes and links."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from wheatring.lab.live.fleet_rig import FleetRig
from wheatring.lab.live.process import ProcessError
from wheatring.lab.live.view_cases import view_entries

TERM = 1.0
SIZE = 6


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[FleetRig]:
    with FleetRig(tmp_path, SIZE, TERM, fleet={"view": "true"}, control=range(SIZE)) as created:
        created.start_all()
        agree(created, created.members)
        yield created
        assert not [e for m in created.members.values() for e in m.events if e[1].startswith("unexpected")]


def views(rig: FleetRig, names: Any) -> dict[str, dict[str, Any]]:
    return {name: rig.status(name)["view"] for name in names}


def agree(rig: FleetRig, names: Any) -> int:
    """Wait until members agree on a current view of exactly these members; return its number."""

    def agreed_number() -> int:
        seen = views(rig, names)
        same_number = len({one["number"] for one in seen.values()}) == 1
        is_complete = all(one["names"] == sorted(names) and one["sure"] for one in seen.values())
        return int(next(iter(seen.values()))["number"]) if same_number and is_complete else 0

    found: int = rig.wait_until(agreed_number, f"one view of {' '.join(names)}")
    return found


def without(rig: FleetRig, *names: str) -> list[str]:
    return [name for name in rig.members if name not in names]


def test_two_that_are_killed_go_in_one_change_and_come_back_in_one(rig: FleetRig) -> None:
    before = agree(rig, rig.members)
    rig.kill("d4", "d5")
    assert agree(rig, without(rig, "d4", "d5")) == before + 1
    rig.start("d4")
    rig.start("d5")
    assert agree(rig, rig.members) <= before + 3


def test_a_killed_leader_leaves_and_the_next_one_continues_from_its_number(rig: FleetRig) -> None:
    before = agree(rig, rig.members)
    leader = next(name for name, one in views(rig, rig.members).items() if one["leads"])
    rig.kill(leader)
    assert agree(rig, without(rig, leader)) > before
    rig.start(leader)
    agree(rig, rig.members)


def test_a_partitioned_member_keeps_its_view_and_knows_that_it_is_stale(rig: FleetRig) -> None:
    before = agree(rig, rig.members)
    rig.isolate("d5")
    agree(rig, without(rig, "d5"))
    rig.wait_until(lambda: not views(rig, ["d5"])["d5"]["sure"], "it knows that its view is stale")
    old = views(rig, ["d5"])["d5"]
    assert old["number"] == before and old["members"] == SIZE
    rig.heal()
    agree(rig, rig.members)


def test_a_member_that_shuts_down_leaves_the_view_at_once(rig: FleetRig) -> None:
    from signal import SIGTERM

    before = agree(rig, rig.members)
    rig.signal(SIGTERM, "d5")
    assert agree(rig, without(rig, "d5")) == before + 1


def test_a_broken_link_does_not_remove_members(rig: FleetRig) -> None:
    before = agree(rig, rig.members)
    rig.set_links(["d3"], ["d4"])
    rig.set_links(["d4"], ["d5"])
    with pytest.raises(ProcessError):
        rig.wait_until(lambda: views(rig, ["d0"])["d0"]["number"] != before, "a change", 12.0)
    agree(rig, rig.members)


def test_a_leader_paused_during_view_changes_does_not_lead_when_it_resumes(rig: FleetRig) -> None:
    leader = next(name for name, one in views(rig, rig.members).items() if one["leads"])
    others = without(rig, leader)
    rig.pause(leader)
    without_leader = agree(rig, others)
    rig.kill("d5")  # a change that the paused leader misses
    without_both = agree(rig, [name for name in others if name != "d5"])
    assert without_both > without_leader
    rig.resume(leader)
    agree(rig, without(rig, "d5"))
    numbers = [view_entries(rig, name) for name in without(rig, "d5")]
    for seen in numbers:
        assert [one.number for one in seen] == sorted({one.number for one in seen})
    by_number: dict[int, set[int]] = {}
    for seen in numbers:
        for one in seen:
            by_number.setdefault(one.number, set()).add(one.members)
    assert all(len(sizes) == 1 for sizes in by_number.values())


def test_partitions_without_a_majority_of_voters_keep_the_view_and_recover(rig: FleetRig) -> None:
    before = agree(rig, rig.members)
    parts = (["d0", "d3"], ["d1", "d4"], ["d2", "d5"])
    for part in parts:
        rig.isolate(*part)
    rig.wait_until(
        lambda: not any(one["sure"] for one in views(rig, rig.members).values()),
        "all know that their views are stale",
    )
    assert {one["number"] for one in views(rig, rig.members).values()} == {before}
    rig.heal()
    agree(rig, rig.members)


def test_restarted_voters_continue_with_the_view_number_of_the_other_members(rig: FleetRig) -> None:
    before = agree(rig, rig.members)
    rig.kill("d0", "d1", "d2")
    for name in ("d0", "d1", "d2"):
        rig.start(name)
    assert agree(rig, rig.members) > before
