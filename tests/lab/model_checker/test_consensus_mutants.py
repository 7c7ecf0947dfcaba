"""Random walks find each mutant of the consensus replica."""

from __future__ import annotations

import pytest

from wheatring.lab.model_checker.consensus_mutants import CONSENSUS_MUTANTS, Mutant, find_violation

QUICK = [mutant for mutant in CONSENSUS_MUTANTS if "reply of an earlier" not in mutant.name]


@pytest.mark.parametrize("mutant", QUICK, ids=lambda mutant: mutant.name)
def test_random_walks_find_a_consensus_mutant(mutant: Mutant) -> None:
    assert find_violation(mutant, 3000).violation
