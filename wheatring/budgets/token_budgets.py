"""Token budgets of programs, kept over all sidecars.

A turn first reserves the most that it may generate at a write quorum, and in the same exchange reads the
program's entries from a read quorum. Of two turns that reserve at one time at least one sees the other, so
together they never pass the budget. A turn that has ended is settled at what was handed out; one whose
sidecar has died stays at its most.
"""

from __future__ import annotations

import asyncio

from wheatring.event_log import log_event
from wheatring.storage.exceptions import QuorumNotReachedError
from wheatring.storage.quorum_client import QuorumClient
from wheatring.transport.messages_pb2 import BudgetEntry, StorageRecord

SETTLE_TIMEOUT_SECONDS = 5.0  # for which settling is tried


class BudgetExceededError(Exception):
    """The budget does not hold the turn."""


class TokenBudgets:
    """Reserves and settles."""

    def __init__(self, store: QuorumClient) -> None:
        self._store = store

    async def reserve(
        self, program: str, turn: str, max_tokens: int, budget: int, timeout_seconds: float
    ) -> None:
        """Reserve `max_tokens` of a program's budget for one turn.

        However it ends, the caller settles the turn afterwards. Raises BudgetExceededError or
        QuorumNotReachedError.
        """
        entry = BudgetEntry(program=program, turn=turn, tokens=max_tokens)
        entries = await self._store.write_budget(entry, timeout_seconds)
        others = sum(other.tokens for other in entries if other.turn != turn)
        if others + max_tokens > budget:
            raise BudgetExceededError(f"{others} of {budget} tokens are taken, {max_tokens} are asked for")

    def settle(self, program: str, turn: str, tokens: int) -> None:
        """The turn has ended with so many tokens handed out. Told without waiting."""
        self._store.run_in_background(
            asyncio.get_running_loop().create_task(self._settle(program, turn, tokens))
        )

    async def _settle(self, program: str, turn: str, tokens: int) -> None:
        entry = BudgetEntry(program=program, turn=turn, tokens=tokens, settled=True)
        try:
            await self._store.write(program, [StorageRecord(budget=entry)], SETTLE_TIMEOUT_SECONDS)
        except QuorumNotReachedError:
            log_event("budget-not-settled", program=program, turn=turn, tokens=tokens)
