"""Random valid settings are accepted, and a short simulated day with them breaks none of the four rules."""

from __future__ import annotations

import json
from pathlib import Path
from random import Random

import msgspec
import pytest

from tests.daemon.system.drawn_settings import Day, ExtremeRandom, draw_day
from wheatring.lab.plan import Plan

DATA = Path(__file__).parent / "data"
SEEDS = range(1, 11)  # not Hypothesis, whose draws depend on the constants in the loaded modules


def check(day: Day) -> None:
    outcome = day.play("wire")
    assert outcome.breaches == [], outcome.breaches[0]
    assert outcome.counts["taken"] > 0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("random_type", [Random, ExtremeRandom])
def test_a_day_with_random_settings_keeps_the_rules(
    tmp_path: Path, random_type: type[Random], seed: int
) -> None:
    day = draw_day(random_type(seed))
    config = day.read(tmp_path)
    assert {each.name for each in config.settings.classes} == {each.name for each in day.plan.classes}
    check(day)


@pytest.mark.parametrize("path", sorted(DATA.glob("*.json")), ids=lambda path: path.stem)
def test_a_recorded_day_that_once_broke_a_rule_keeps_the_rules(path: Path) -> None:
    recorded = json.loads(path.read_text(encoding="utf-8"))
    check(Day(msgspec.convert(recorded["plan"], Plan), recorded["beside"]))
