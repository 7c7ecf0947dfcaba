"""Conflict resolution between budget entries for the same turn, used by replicas and readers alike."""

from __future__ import annotations

from collections.abc import Iterable

from wheatring.tier.transport.messages_pb2 import BudgetEntry


def budget_entry_rank(entry: BudgetEntry) -> tuple[bool, int]:
    """Return the sort key of an entry: of several entries for one turn, the one with the largest key wins."""
    return entry.settled, entry.tokens


def merge_budget_entries(entries: Iterable[BudgetEntry]) -> list[BudgetEntry]:
    """Return the winning entry of each turn."""
    winners: dict[str, BudgetEntry] = {}
    for entry in entries:
        existing = winners.get(entry.turn)
        if existing is None or budget_entry_rank(existing) < budget_entry_rank(entry):
            winners[entry.turn] = entry
    return list(winners.values())
