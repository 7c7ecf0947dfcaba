"""Mutation testing must detect every planted fault, and fail if one is missed."""

from __future__ import annotations

from unittest.mock import patch

from wheatring.lab import mutation_testing
from wheatring.lab.mutation_testing import run_mutation_tests
from wheatring.lab.planted_faults import FAULTS

SEEDS = range(1, 13)
WORKERS = 4


def test_every_planted_fault_is_found() -> None:
    lines: list[str] = []
    status = run_mutation_tests((), SEEDS, "wire", WORKERS, lines.append)
    assert lines[-1] == f"found {len(FAULTS)} of {len(FAULTS)}"
    assert status == 0


def test_one_undetected_fault_gives_a_failure_status() -> None:
    lines: list[str] = []
    found = {fault.name: mutation_testing.FaultRun(fault.name, 1, "r", "w") for fault in FAULTS[1:]}
    with (
        patch.object(mutation_testing, "_search", lambda *_: found),
        patch.object(mutation_testing, "_run_clean", lambda *_: []),
    ):
        assert run_mutation_tests((), SEEDS, "wire", 1, lines.append) == 1
    assert f"{FAULTS[0].name}: NOT found: {FAULTS[0].what}" in lines
