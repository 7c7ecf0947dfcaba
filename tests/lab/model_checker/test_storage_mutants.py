"""Mutants of the storage replicas: the walks, or a scenario, find each of them."""

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
def test_a_storage_mutant_is_found(mutant: Mutant) -> None:
    assert find_violation(mutant, 3000).violation


def test_a_fence_on_disk_keeps_a_writer_of_an_older_epoch_out() -> None:
    assert not restart_during_retirement(StorageRules()).violation
