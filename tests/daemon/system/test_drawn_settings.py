"""Whatever settings the pages allow, a short day by them keeps the four rules, and the file is taken."""

from __future__ import annotations

import json
from pathlib import Path
from random import Random

import msgspec
import pytest

from tests.daemon.system.drawn_settings import Day, ExtremeRandom, drawn
from wheatring.lab.plan import Plan

DATA = Path(__file__).parent / "data"
SEEDS = range(1, 11)  # Hypothesis would draw by the constants of whatever modules are loaded


def check(day: Day) -> None:
    outcome = day.play("wire")
    assert outcome.breaches == [], outcome.breaches[0]
    assert outcome.counts["taken"] > 0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("random_type", [Random, ExtremeRandom])
def test_a_day_by_drawn_settings_keeps_the_rules(
    tmp_path: Path, random_type: type[Random], seed: int
) -> None:
    day = drawn(random_type(seed))
    told = day.read(tmp_path)
    assert {one.name for one in told.settings.classes} == {one.name for one in day.plan.classes}
    check(day)


@pytest.mark.parametrize("path", sorted(DATA.glob("*.json")), ids=lambda path: path.stem)
def test_a_recorded_day_that_broke_a_rule_keeps_the_rules(path: Path) -> None:
    recorded = json.loads(path.read_text(encoding="utf-8"))
    check(Day(msgspec.convert(recorded["plan"], Plan), recorded["beside"]))
