"""Reads and writes records by quorum, from a sidecar.

Every record may be written again without harm, so an exchange simply starts anew under a newer placement.
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
    is_read,
    is_read_and_written,
    is_written,
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
    """The storage members as one store. Time-outs are seconds."""

    def __init__(
        self,
        clients: ClientTable,
        losses: int,
        zone: str,
        placement: Callable[[], Placement],
        adopt: Callable[[Placement], None],
    ) -> None:
        """Prepare a client.

        Parameters
        ----------
        clients
            The connections to storage members.
        losses
            How many disks may be lost at one time.
        zone
            Where the caller is; members of this zone are called first.
        placement
            Returns the newest placement that the caller knows.
        adopt
            Takes a newer placement that a member replied with.
        """
        self._clients = clients
        self._losses = losses
        self._placement = placement
        self._adopt = adopt
        self._suspects = SuspectedMembers(zone)
        self._background_tasks: set[asyncio.Task[Any]] = set()

    async def write(self, key: str, records: Sequence[StorageRecord], timeout_seconds: float) -> None:
        """Have records on enough disks. Raises QuorumNotReachedError: they may be on some."""
        body = StorageRequest(records=records)
        await self._exchange(ExchangeRequest(key, body, is_written, _deadline(timeout_seconds)))

    async def write_budget(self, entry: BudgetEntry, timeout_seconds: float) -> list[BudgetEntry]:
        """Have an entry on enough disks; return all entries of its program.

        Raises QuorumNotReachedError: the entry may count all the same.
        """
        body = StorageRequest(records=[StorageRecord(budget=entry)], program=entry.program)
        request = ExchangeRequest(entry.program, body, is_read_and_written, _deadline(timeout_seconds))
        replies = await self._exchange(request)
        return merge_budget_entries(e for reply in replies.by_replica.values() for e in reply.budget)

    async def read_conversation(
        self, turn_id: str, known_turn_ids: Sequence[str], timeout_seconds: float
    ) -> list[Turn] | None:
        """Return a turn with those of its ancestors that its replicas hold.

        Parameters
        ----------
        turn_id
            The turn.
        known_turn_ids
            Ancestors that need not be sent.
        timeout_seconds
            For all of it.

        Returns
        -------
        list of Turn or None
            None where there certainly is no such turn: a read quorum has said so.

        Raises
        ------
        QuorumNotReachedError
            Whether there is such a turn is unknown.
        """
        body = StorageRequest(turn_ids=[turn_id], with_ancestors=True, known_turn_ids=known_turn_ids)

        def find_turns(replies: Replies) -> list[Turn]:
            """Return the turns of a reply that has the one wanted; empty where none has it."""
            for reply in replies.by_replica.values():
                if any(turn.id == turn_id for turn in reply.turns):
                    return list(reply.turns)
            return []

        def is_complete(key_placement: KeyPlacement, replies: Replies) -> bool:
            """Whether a reply has the turn (it never changes), or a read quorum has not."""
            return bool(find_turns(replies)) or is_read(key_placement, replies)

        request = ExchangeRequest(turn_id, body, is_complete, _deadline(timeout_seconds), fanout=1)
        replies = await self._exchange(request)
        return find_turns(replies) or None

    def extend_retention(self, turn_ids: Sequence[str], retention_seconds: float) -> None:
        """Have turns kept for longer on all members, without waiting for it.

        Only where members hold different turns: else the members that hold the newest turn hold its ancestors
        too, and extend them by themselves.
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
        """Hold a task until it has ended."""
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _exchange(self, request: ExchangeRequest) -> Replies:
        """Call members until enough have replied under one placement. Raises QuorumNotReachedError."""
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
            # Calls to other members go on: each further copy is one that need not be repaired.
            for task in exchange.running:
                self.run_in_background(task)


def _deadline(timeout_seconds: float) -> float:
    return asyncio.get_running_loop().time() + timeout_seconds
