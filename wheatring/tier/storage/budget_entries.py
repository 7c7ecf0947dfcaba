"""Which of several entries for one turn of a program counts, at a replica and at a reader."""

from __future__ import annotations

from collections.abc import Iterable

from wheatring.tier.transport.messages_pb2 import BudgetEntry


def budget_entry_rank(entry: BudgetEntry) -> tuple[bool, int]:
    """Return what decides which of two entries for one turn counts: the greater one does."""
    return entry.settled, entry.tokens


def merge_budget_entries(entries: Iterable[BudgetEntry]) -> list[BudgetEntry]:
    """Return one entry for each turn, the one that counts."""
    counting: dict[str, BudgetEntry] = {}
    for entry in entries:
        known = counting.get(entry.turn)
        if known is None or budget_entry_rank(known) < budget_entry_rank(entry):
            counting[entry.turn] = entry
    return list(counting.values())
