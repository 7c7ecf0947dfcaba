"""Random walks through the storage model violate no invariant."""

from __future__ import annotations

import pytest

from wheatring.lab.model_checker.storage_model import StorageRules, random_walk


@pytest.mark.parametrize("losses", [1, 2])
def test_no_storage_walk_violates_an_invariant(losses: int) -> None:
    for seed in range(60):
        result = random_walk(StorageRules(losses), seed)
        assert not result.violation, (seed, result.violation)
