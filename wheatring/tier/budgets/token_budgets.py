"""Token budgets of programs, kept over all sidecars.

A turn first reserves the most that it may generate at a write quorum, and in the same exchange reads the
program's entries from a read quorum. Of two turns that reserve at one time at least one sees the other, so
together they never pass the budget. A turn that has ended is settled at what was delivered; one whose
sidecar has died stays at what it reserved.
"""

from __future__ import annotations

import asyncio

from wheatring.tier.budgets.exceptions import BudgetExceededError
from wheatring.tier.event_log import log_event
from wheatring.tier.storage.exceptions import QuorumNotReachedError
from wheatring.tier.storage.quorum_client import QuorumClient
from wheatring.tier.transport.messages_pb2 import BudgetEntry, StorageRecord

SETTLE_TIMEOUT_SECONDS = 5.0


class TokenBudgets:
    """Reserves and settles tokens of programs, from a sidecar."""

    def __init__(self, store: QuorumClient) -> None:
        self._store = store

    async def reserve(
        self, program: str, turn: str, max_tokens: int, budget: int, timeout_seconds: float
    ) -> None:
        """Reserve what one turn may generate.

        However it ends, the caller settles the turn afterwards: the reservation may count though this raised.

        Parameters
        ----------
        program, turn
            The program, and the id of its turn.
        max_tokens
            What the turn may generate.
        budget
            The program's tokens over all turns.
        timeout_seconds
            For the exchange with the storage members.

        Raises
        ------
        BudgetExceededError
            The other turns leave less than `max_tokens`.
        QuorumNotReachedError
            Whether the budget suffices is unknown.
        """
        entry = BudgetEntry(program=program, turn=turn, tokens=max_tokens)
        entries = await self._store.write_budget(entry, timeout_seconds)
        reserved = sum(other.tokens for other in entries if other.turn != turn)
        if reserved + max_tokens > budget:
            raise BudgetExceededError(reserved, max_tokens, budget)

    def settle(self, program: str, turn: str, tokens: int) -> None:
        """Replace a turn's reservation by the tokens that were delivered, without waiting for it."""
        task = asyncio.get_running_loop().create_task(self._settle(program, turn, tokens))
        self._store.run_in_background(task)

    async def _settle(self, program: str, turn: str, tokens: int) -> None:
        entry = BudgetEntry(program=program, turn=turn, tokens=tokens, settled=True)
        try:
            await self._store.write(program, [StorageRecord(budget=entry)], SETTLE_TIMEOUT_SECONDS)
        except QuorumNotReachedError:
            # The reservation stays: the program has less than its budget, never more.
            log_event("budget-not-settled", program=program, turn=turn, tokens=tokens)
