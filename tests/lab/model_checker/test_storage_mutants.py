"""Random walks, or a scenario, find each mutant of the storage replicas."""

from __future__ import annotations

import pytest

from wheatring.lab.model_checker.storage_model import StorageRules
from wheatring.lab.model_checker.storage_mutants import (
    STORAGE_MUTANTS,
    Mutant,
    find_violation,
    restart_during_retirement,
)


@pytest.mark.parametrize("mutant", STORAGE_MUTANTS, ids=lambda mutant: mutant.name)
def test_a_walk_or_scenario_finds_a_storage_mutant(mutant: Mutant) -> None:
    assert find_violation(mutant, 3000).violation


def test_a_durable_fence_rejects_writes_of_an_older_epoch_after_a_restart() -> None:
    assert not restart_during_retirement(StorageRules()).violation
