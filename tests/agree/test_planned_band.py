"""One plan of real processes: pushed, held back where one can't read it, and its windows entered by all."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.agree.test_view_band import TERM, agree, without
from wheatring.lab.live import planned
from wheatring.lab.live.band import Band

SIZE = 6


@pytest.fixture
def band(tmp_path: Path) -> Iterator[Band]:
    with Band(tmp_path, SIZE, TERM, fleet={"view": "true"}, control=range(SIZE), plan={}) as made:
        made.begin()
        agree(made, made.members)
        yield made
        assert planned.two_bodies(made) == []
        assert not [e for m in made.members.values() for e in m.events if e[1].startswith("unexpected")]


def known(band: Band, number: int) -> None:
    """Wait until all know that plan settled."""
    planned.settled(band, band.members, number, 0.0)


def test_a_large_plan_is_with_all_and_the_next_one_survives_its_leader(band: Band) -> None:
    planned.push(band, "d3", planned.document("large", 100_000))
    assert planned.ended(band, "d3")["state"] == "settled"
    known(band, 1)
    leader = next(name for name in band.members if band.seen(name)["view"]["leads"])
    other = next(name for name in ("d3", "d4") if name != leader)
    planned.push(band, other, planned.document("next", 100_000))
    band.kill(leader)
    assert planned.ended(band, other)["state"] in ("settled", "refused")
    band.start(leader)
    agree(band, band.members)
    known(band, planned.state(band, other)["newest"])


def test_two_that_are_pushed_at_once_end_in_one_that_all_have(band: Band) -> None:
    planned.push(band, "d3", planned.document("one"))
    planned.push(band, "d4", planned.document("other"))
    how = {planned.ended(band, name)["state"] for name in ("d3", "d4")}
    assert how <= {"settled", "refused"} and "settled" in how
    known(band, planned.state(band, "d3")["newest"])


def test_one_that_reads_less_is_named_and_one_that_comes_back_older_stays_out(band: Band) -> None:
    band.own_plan["d5"] = {"formats": "[1]"}
    band.kill("d5")
    agree(band, without(band, "d5"))
    band.start("d5")
    agree(band, band.members)
    planned.push(band, "d3", planned.document("windows", window=3600.0))
    how = planned.ended(band, "d3")
    assert how["state"] == "refused" and {one["member"] for one in how["reasons"]} == {"d5"}
    assert planned.state(band, "d3")["newest"] == 0
    band.own_plan["d5"] = {}
    band.kill("d5")
    agree(band, without(band, "d5"))
    planned.push(band, "d3", planned.document("windows", window=3600.0))
    assert planned.ended(band, "d3")["state"] == "settled"
    band.own_plan["d5"] = {"formats": "[1]"}
    band.start("d5")
    waits = band.until(lambda: band.seen("d5")["view"]["waits"], "it is told why it waits")
    assert "format" in waits[1]
    agree(band, without(band, "d5"))
    band.own_plan["d5"] = {}
    band.kill("d5")
    band.start("d5")
    agree(band, band.members)
    known(band, 1)


def test_all_enter_and_leave_a_window_and_one_that_was_stopped_follows(band: Band) -> None:
    since = planned.push(band, "d3", planned.document("window", window=planned.AHEAD))
    assert planned.ended(band, "d3")["state"] == "settled"
    time.sleep(max(0.0, since + planned.AHEAD - 1.5 - time.monotonic()))
    band.stop("d5")
    rest = without(band, "d5")

    def said(name: str, word: str) -> bool:
        return bool(planned.events(band, name, word, since))

    band.until(lambda: all(said(name, "window-entered") for name in rest), "they enter it")
    assert not said("d5", "window-entered")
    band.go_on("d5")
    band.until(lambda: all(said(name, "window-entered") for name in band.members), "all are in it")
    band.until(lambda: all(said(name, "window-left") for name in band.members), "all have left it")
    for name in band.members:  # each once, in its order
        lines = [text for _, text in band.members[name].events if text.startswith("window-")]
        assert [line.split()[0] for line in lines] == ["window-entered", "window-left"]
