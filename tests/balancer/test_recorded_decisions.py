"""The same events and seed lead to the same decisions as in the recordings of an earlier version."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.balancer.recorded_decisions import RECORDINGS, Recording


@pytest.mark.parametrize("name", RECORDINGS)
def test_decisions_match_the_recording(name: str) -> None:
    recording = Recording(name)
    decisions: Counter[str] = Counter()
    for number, recorded, actual in recording.replay():
        assert actual == recorded, f"event {number}: {recording.steps[number]}"
        decisions.update(action[0] for action in actual)
    assert len(recording.steps) >= 5000
    assert min(decisions[kind] for kind in ("send", "refuse", "fail", "timer")) > 10


@pytest.mark.parametrize("name", RECORDINGS)
def test_the_random_state_at_the_end_matches_the_recording(name: str) -> None:
    recording = Recording(name)
    for _ in recording.replay():
        pass
    assert recording.balancer.random.random() == recording.next_draw
