"""Token budgets of agent programs, enforced across all sidecars.

Before it starts, a turn reserves the maximum number of tokens that it may generate at a write quorum, and in
the same exchange reads the program's entries from a read quorum. If two turns reserve concurrently, at least
one of them sees the other, so together they never exceed the budget. When a turn ends, its reservation is
replaced by the number of tokens delivered. If its sidecar crashes, the full reservation remains.
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
        """Reserve the tokens that a turn may generate.

        The caller must settle the turn afterwards even if this raises: the reservation may still count.

        Parameters
        ----------
        program, turn
            The program, and the id of its turn.
        max_tokens
            The maximum number of tokens that the turn may generate.
        budget
            The program's token budget for all its turns.
        timeout_seconds
            The time-out of the exchange with the storage replicas.

        Raises
        ------
        BudgetExceededError
            The other turns leave fewer than `max_tokens`.
        QuorumNotReachedError
            It is unknown whether the budget suffices.
        """
        entry = BudgetEntry(program=program, turn=turn, tokens=max_tokens)
        entries = await self._store.write_budget(entry, timeout_seconds)
        reserved = sum(other.tokens for other in entries if other.turn != turn)
        if reserved + max_tokens > budget:
            raise BudgetExceededError(reserved, max_tokens, budget)

    def settle(self, program: str, turn: str, tokens: int) -> None:
        """Replace a turn's reservation by the number of tokens delivered, in the background."""
        task = asyncio.get_running_loop().create_task(self._settle(program, turn, tokens))
        self._store.run_in_background(task)

    async def _settle(self, program: str, turn: str, tokens: int) -> None:
        entry = BudgetEntry(program=program, turn=turn, tokens=tokens, settled=True)
        try:
            await self._store.write(program, [StorageRecord(budget=entry)], SETTLE_TIMEOUT_SECONDS)
        except QuorumNotReachedError:
            # The reservation remains, so the program may get less than its budget but never more.
            log_event("budget-not-settled", program=program, turn=turn, tokens=tokens)
