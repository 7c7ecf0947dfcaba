"""The same events and seed have the same decisions as before the module was split."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.balancer.recorded_decisions import WORLDS, RecordedWorld


@pytest.mark.parametrize("name", WORLDS)
def test_each_event_has_the_decisions_that_were_recorded(name: str) -> None:
    world = RecordedWorld(name)
    decisions: Counter[str] = Counter()
    for number, recorded, decided in world.play():
        assert decided == recorded, f"event {number}: {world.steps[number]}"
        decisions.update(action[0] for action in decided)
    assert len(world.steps) >= 5000
    assert min(decisions[kind] for kind in ("send", "refuse", "fail", "timer")) > 10


@pytest.mark.parametrize("name", WORLDS)
def test_as_many_random_numbers_are_drawn_as_were_recorded(name: str) -> None:
    world = RecordedWorld(name)
    for _ in world.play():
        pass
    assert world.balancer.random.random() == world.next_draw
