"""Mutants of the consensus deciders: the walks find each of them."""

from __future__ import annotations

import pytest

from wheatring.lab.model_checker.consensus_mutants import CONSENSUS_MUTANTS, Mutant, find_violation

QUICK = [mutant for mutant in CONSENSUS_MUTANTS if "reply of an earlier" not in mutant.name]


@pytest.mark.parametrize("mutant", QUICK, ids=lambda mutant: mutant.name)
def test_a_mutant_is_found(mutant: Mutant) -> None:
    assert find_violation(mutant, 3000).violation
