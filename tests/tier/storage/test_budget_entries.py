"""Conflicts between budget entries of one turn: a settled entry wins, then the larger one."""

from __future__ import annotations

from itertools import permutations

import pytest

from wheatring.tier.storage.budget_entries import merge_budget_entries
from wheatring.tier.storage.record_table import RecordTable
from wheatring.tier.transport.messages_pb2 import BudgetEntry, StorageRecord

RESERVED, MORE_RESERVED = BudgetEntry(turn="t1", tokens=50), BudgetEntry(turn="t1", tokens=80)
SETTLED, MORE_SETTLED = (BudgetEntry(turn="t1", tokens=n, settled=True) for n in (20, 30))
OTHER = BudgetEntry(turn="t2", tokens=7)
CASES = [
    ((RESERVED, MORE_RESERVED), MORE_RESERVED),
    ((RESERVED, SETTLED), SETTLED),
    ((MORE_RESERVED, SETTLED, MORE_SETTLED), MORE_SETTLED),
]


@pytest.mark.parametrize(("entries", "winner"), CASES)
def test_merge_returns_the_winning_entry_of_each_turn_in_any_order(
    entries: tuple[BudgetEntry, ...], winner: BudgetEntry
) -> None:
    for order in permutations((*entries, OTHER)):
        merged = sorted(merge_budget_entries(order), key=lambda entry: entry.turn)
        assert merged == [winner, OTHER]


@pytest.mark.parametrize(("entries", "winner"), CASES)
def test_table_keeps_the_winning_entry_of_each_turn_in_any_order(
    entries: tuple[BudgetEntry, ...], winner: BudgetEntry
) -> None:
    for order in permutations((*entries, OTHER)):
        table = RecordTable()
        for entry in order:
            record = StorageRecord(budget=entry)
            record.budget.program = "p"
            table.apply(record, 0.0)
        kept = sorted(table.budget_entries("p"), key=lambda entry: entry.turn)
        assert kept == [winner, OTHER]
        assert len(table) == 2


def test_applying_an_equal_entry_reports_no_change() -> None:
    table = RecordTable()
    record = StorageRecord(budget=BudgetEntry(program="p", turn="t1", tokens=5))
    assert table.apply(record, 0.0)
    assert not table.apply(record, 0.0)
