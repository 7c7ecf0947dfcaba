"""Searches and random walks of the real consensus replica violate no invariant."""

from __future__ import annotations

import pytest

from wheatring.lab.model_checker.consensus_model import Rules
from wheatring.lab.model_checker.search import START_STATES, random_walk, search_exhaustively

FIVE = Rules(names=("A", "B", "C", "D", "E"), losses=2)


@pytest.mark.parametrize("start", START_STATES)
def test_no_sequence_of_three_steps_violates_an_invariant(start: str) -> None:
    result = search_exhaustively(Rules(), start, 3, 20_000)
    assert not result.violation, result.trace
    assert result.states > 200


@pytest.mark.parametrize("rules", [Rules(), FIVE], ids=["three", "five"])
def test_no_random_walk_violates_an_invariant(rules: Rules) -> None:
    for seed in range(12):
        result = random_walk(rules, seed, 400)
        assert not result.violation, (seed, result.violation)
