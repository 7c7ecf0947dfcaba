"""Agreed views of real processes: five to eight sidecars on links, whatever is done to them."""

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
def band(tmp_path: Path) -> Iterator[FleetRig]:
    with FleetRig(tmp_path, SIZE, TERM, fleet={"view": "true"}, control=range(SIZE)) as made:
        made.start_all()
        agree(made, made.members)
        yield made
        assert not [e for m in made.members.values() for e in m.events if e[1].startswith("unexpected")]


def views(band: FleetRig, names: Any) -> dict[str, dict[str, Any]]:
    return {name: band.status(name)["view"] for name in names}


def agree(band: FleetRig, names: Any) -> int:
    """Wait until all of these stand in one view of just these, and count on it; its number."""

    def so() -> int:
        seen = views(band, names)
        alike = len({one["number"] for one in seen.values()}) == 1
        whole = all(one["names"] == sorted(names) and one["sure"] for one in seen.values())
        return int(next(iter(seen.values()))["number"]) if alike and whole else 0

    found: int = band.wait_until(so, f"one view of {' '.join(names)}")
    return found


def without(band: FleetRig, *names: str) -> list[str]:
    return [name for name in band.members if name not in names]


def test_two_that_are_killed_go_in_one_change_and_come_back_in_one(band: FleetRig) -> None:
    before = agree(band, band.members)
    band.kill("d4", "d5")
    assert agree(band, without(band, "d4", "d5")) == before + 1
    band.start("d4")
    band.start("d5")
    assert agree(band, band.members) <= before + 3


def test_a_killed_leader_goes_and_the_next_one_goes_on_from_its_number(band: FleetRig) -> None:
    before = agree(band, band.members)
    leader = next(name for name, one in views(band, band.members).items() if one["leads"])
    band.kill(leader)
    assert agree(band, without(band, leader)) > before
    band.start(leader)
    agree(band, band.members)


def test_one_that_is_cut_off_keeps_its_view_and_knows_that_it_is_old(band: FleetRig) -> None:
    before = agree(band, band.members)
    band.isolate("d5")
    agree(band, without(band, "d5"))
    band.wait_until(lambda: not views(band, ["d5"])["d5"]["sure"], "it knows")
    old = views(band, ["d5"])["d5"]
    assert old["number"] == before and old["members"] == SIZE
    band.heal()
    agree(band, band.members)


def test_one_that_ends_by_itself_is_out_at_once(band: FleetRig) -> None:
    from signal import SIGTERM

    before = agree(band, band.members)
    band.signal(SIGTERM, "d5")
    assert agree(band, without(band, "d5")) == before + 1


def test_one_bad_link_takes_nobody_out(band: FleetRig) -> None:
    before = agree(band, band.members)
    band.set_links(["d3"], ["d4"])
    band.set_links(["d4"], ["d5"])
    with pytest.raises(ProcessError):
        band.wait_until(lambda: views(band, ["d0"])["d0"]["number"] != before, "a change", 12.0)
    agree(band, band.members)


def test_a_leader_that_was_stopped_for_ten_terms_leads_nothing_when_it_goes_on(band: FleetRig) -> None:
    leader = next(name for name, one in views(band, band.members).items() if one["leads"])
    rest = without(band, leader)
    band.pause(leader)
    out = agree(band, rest)
    band.kill("d5")  # a change that it knows nothing of
    after = agree(band, [name for name in rest if name != "d5"])
    assert after > out
    band.resume(leader)
    agree(band, without(band, "d5"))
    numbers = [view_entries(band, name) for name in without(band, "d5")]
    for seen in numbers:
        assert [one.number for one in seen] == sorted({one.number for one in seen})
    by_number: dict[int, set[int]] = {}
    for seen in numbers:
        for one in seen:
            by_number.setdefault(one.number, set()).add(one.members)
    assert all(len(sizes) == 1 for sizes in by_number.values())


def test_a_minority_of_voters_changes_nothing_and_all_meet_again(band: FleetRig) -> None:
    before = agree(band, band.members)
    parts = (["d0", "d3"], ["d1", "d4"], ["d2", "d5"])
    for part in parts:
        band.isolate(*part)
    band.wait_until(lambda: not any(one["sure"] for one in views(band, band.members).values()), "all know it")
    assert {one["number"] for one in views(band, band.members).values()} == {before}
    band.heal()
    agree(band, band.members)


def test_all_voters_that_start_anew_go_on_from_what_the_others_know(band: FleetRig) -> None:
    before = agree(band, band.members)
    band.kill("d0", "d1", "d2")
    for name in ("d0", "d1", "d2"):
        band.start(name)
    assert agree(band, band.members) > before
