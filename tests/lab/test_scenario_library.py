"""The library: every scenario draws a sound plan, whatever the seed."""

from __future__ import annotations

import pytest

from tests.lab.scenarios import unsound
from wheatring.lab.scenario.draw import draw
from wheatring.lab.scenario.load import load, names


@pytest.mark.parametrize("name", names())
def test_each_scenario_draws_sound_plans(name: str) -> None:
    found = load(name)
    big = found.scenario.tiers[0].nodes
    seeds = range(4 if isinstance(big, int) and big >= 100 else 50)
    for seed in seeds:
        assert unsound(draw(found, seed)) == []
