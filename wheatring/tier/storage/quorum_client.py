"""The sidecar's client of the storage members: reads and writes records by quorum.

Writes are idempotent, so an exchange is retried as a whole when a member reports a newer placement.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from wheatring.tier.placement.key_placement import KeyPlacement, place_key
from wheatring.tier.storage.budget_entries import merge_budget_entries
from wheatring.tier.storage.exceptions import QuorumNotReachedError
from wheatring.tier.storage.quorum_exchange import (
    ExchangeRequest,
    QuorumExchange,
    Replies,
    has_both_quorums,
    has_read_quorum,
    has_write_quorum,
)
from wheatring.tier.storage.suspects import SuspectedMembers
from wheatring.tier.transport.client import ClientTable
from wheatring.tier.transport.messages_pb2 import (
    BudgetEntry,
    Envelope,
    Placement,
    StorageRecord,
    StorageRequest,
    Turn,
)

RETRY_DELAY_SECONDS = 0.05


class QuorumClient:
    """A client of all storage members."""

    def __init__(
        self,
        clients: ClientTable,
        losses: int,
        zone: str,
        placement: Callable[[], Placement],
        adopt: Callable[[Placement], None],
    ) -> None:
        """Build a client.

        Parameters
        ----------
        clients
            The connections to storage members.
        losses
            The number of simultaneous member losses to tolerate.
        zone
            The zone of the caller; members of this zone are called first.
        placement
            Returns the newest placement that the caller knows.
        adopt
            Called with a newer placement that a member has replied with.
        """
        self._clients = clients
        self._losses = losses
        self._placement = placement
        self._adopt = adopt
        self._suspects = SuspectedMembers(zone)
        self._background_tasks: set[asyncio.Task[Any]] = set()

    async def write(self, key: str, records: Sequence[StorageRecord], timeout_seconds: float) -> None:
        """Write records to a write quorum.

        Raises QuorumNotReachedError; some members may have stored the records even then.
        """
        body = StorageRequest(records=records)
        await self._exchange(ExchangeRequest(key, body, has_write_quorum, _deadline(timeout_seconds)))

    async def write_budget(self, entry: BudgetEntry, timeout_seconds: float) -> list[BudgetEntry]:
        """Write an entry to a write quorum, and return all entries of its program from a read quorum.

        Raises QuorumNotReachedError; some members may have stored the entry even then.
        """
        body = StorageRequest(records=[StorageRecord(budget=entry)], program=entry.program)
        request = ExchangeRequest(entry.program, body, has_both_quorums, _deadline(timeout_seconds))
        replies = await self._exchange(request)
        return merge_budget_entries(e for reply in replies.by_replica.values() for e in reply.budget)

    async def read_conversation(
        self, turn_id: str, known_turn_ids: Sequence[str], timeout_seconds: float
    ) -> list[Turn] | None:
        """Return a turn and those of its ancestors that its replicas hold.

        Parameters
        ----------
        turn_id
            The turn.
        known_turn_ids
            Ancestors that the caller already has, which are left out of the replies.
        timeout_seconds
            The time-out of the whole read, with its retries.

        Returns
        -------
        list of Turn or None
            None if a read quorum has replied and no reply has the turn.

        Raises
        ------
        QuorumNotReachedError
            It is unknown whether the turn exists.
        """
        body = StorageRequest(turn_ids=[turn_id], with_ancestors=True, known_turn_ids=known_turn_ids)

        def find_turns(replies: Replies) -> list[Turn]:
            """Return the turns of the first reply that contains the requested turn; else an empty list."""
            for reply in replies.by_replica.values():
                if any(turn.id == turn_id for turn in reply.turns):
                    return list(reply.turns)
            return []

        def is_complete(key_placement: KeyPlacement, replies: Replies) -> bool:
            """Whether a reply contains the turn, which is immutable, or a read quorum has replied."""
            return bool(find_turns(replies)) or has_read_quorum(key_placement, replies)

        request = ExchangeRequest(turn_id, body, is_complete, _deadline(timeout_seconds), fanout=1)
        replies = await self._exchange(request)
        return find_turns(replies) or None

    def extend_retention(self, turn_ids: Sequence[str], retention_seconds: float) -> None:
        """Ask all members to keep turns for longer, without waiting for replies.

        This spares replicas the question whether they may remove a turn (see `expirer`). It is worth its
        messages only if most members that store the turns do not store the newest one, which extends the
        retention of its ancestors: if there are more members than copies of a turn.
        """
        placement = self._placement()
        if len(placement.current) <= 2 * self._losses + 1:
            return
        for member in placement.current:
            if member.lost:
                continue
            request = StorageRequest(
                replica_id=member.replica_id,
                epoch=placement.epoch,
                extended_turn_ids=turn_ids,
                extension_ms=int(retention_seconds * 1000),
            )
            self._clients.client_for(member.address).send(Envelope(storage_request=request))

    def run_in_background(self, task: asyncio.Task[Any]) -> None:
        """Keep a reference to a task until it ends, so that it is not garbage-collected."""
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _exchange(self, request: ExchangeRequest) -> Replies:
        """Run exchanges until one is complete under a single placement. Raises QuorumNotReachedError."""
        loop = asyncio.get_running_loop()
        while True:
            placement = self._placement()
            if placement.epoch:
                replies = await self._exchange_once(placement, request)
                if replies is not None:
                    return replies
            if loop.time() + RETRY_DELAY_SECONDS >= request.deadline:
                raise QuorumNotReachedError(request.key)
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _exchange_once(self, placement: Placement, request: ExchangeRequest) -> Replies | None:
        key_placement = place_key(request.key, placement, self._losses)
        exchange = QuorumExchange(request, placement, key_placement, self._clients, self._suspects)
        try:
            replies = await exchange.run()
            if exchange.newer_placement is not None:
                self._adopt(exchange.newer_placement)
            return replies
        finally:
            # Pending calls continue: each further member that stores a record saves a later repair.
            for task in exchange.pending_calls:
                self.run_in_background(task)


def _deadline(timeout_seconds: float) -> float:
    return asyncio.get_running_loop().time() + timeout_seconds
