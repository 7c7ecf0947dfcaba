"""Removes expired records from a replica, except turns that a conversation on another replica still needs.

A turn is kept for as long as its newest descendant, but the replicas that store a descendant may be others
than those that store the turn. Before a replica removes turns, it therefore asks the other members for how
long they need them. It removes them only after so many replies that one of the replying replicas stores any
acknowledged descendant; until then it keeps them and asks again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from wheatring.tier.event_log import log_event
from wheatring.tier.placement.key_placement import has_replies_of_all_but
from wheatring.tier.storage.replica import Replica
from wheatring.tier.transport.client import ClientTable
from wheatring.tier.transport.exceptions import PeerUnreachableError
from wheatring.tier.transport.messages_pb2 import (
    STORAGE_STATUS_DONE,
    Envelope,
    Placement,
    StorageMember,
    StorageReply,
    StorageRequest,
)

EXPIRY_INTERVAL_SECONDS = 5.0
CALL_TIMEOUT_SECONDS = 1.0
MAX_TURNS_PER_CALL = 1000


class Expirer:
    """Removes the expired records of one replica."""

    def __init__(
        self, replica: Replica, clients: ClientTable, losses: int, clock: Callable[[], float]
    ) -> None:
        """Initialize an expirer.

        Parameters
        ----------
        replica
            The replica.
        clients
            The connections to the other replicas.
        losses
            The number of simultaneous member losses to tolerate.
        clock
            Returns monotonic seconds, as the replica's clock does.
        """
        self._replica = replica
        self._clients = clients
        self._losses = losses
        self._clock = clock

    async def run(self) -> None:
        """Remove expired records periodically until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            await self.remove_expired()

    async def remove_expired(self) -> None:
        """Remove the records that have expired by now and that no other member needs."""
        now = self._clock()
        table = self._replica.table
        kept_turn_ids: set[str] = set()
        expired_turn_ids = table.expired_turn_ids(now)
        for start in range(0, len(expired_turn_ids), MAX_TURNS_PER_CALL):
            turn_ids = expired_turn_ids[start : start + MAX_TURNS_PER_CALL]
            if not await self._extend_needed(turn_ids):
                kept_turn_ids.update(turn_ids)
        removed = table.expire(now, kept_turn_ids)
        if removed or kept_turn_ids:
            log_event("records-expired", records=removed, unanswered=len(kept_turn_ids), left=len(table))

    async def _extend_needed(self, turn_ids: Sequence[str]) -> bool:
        """Extend the retention of turns that other members need; return whether enough of them replied."""
        replica = self._replica
        if not replica.has_current_placement:
            return False
        asked_at = self._clock()
        placement = replica.placement
        members = {member.replica_id: member for member in (*placement.current, *placement.next)}
        others = [m for m in members.values() if not m.lost and m.replica_id != replica.identity]
        replies = await asyncio.gather(*(self._ask(member, placement, turn_ids) for member in others))
        replied_ids = {replica.identity}
        for member, reply in zip(others, replies, strict=True):
            if reply is None:
                continue
            replied_ids.add(member.replica_id)
            # A replica of an earlier version does not know for how long it needs turns, and lists none.
            for turn_id, remaining_ms in zip(turn_ids, reply.remaining_retention_ms, strict=False):
                replica.table.extend_expiry(turn_id, asked_at + remaining_ms / 1000)
        return has_replies_of_all_but(self._losses, placement, replied_ids)

    async def _ask(
        self, member: StorageMember, placement: Placement, turn_ids: Sequence[str]
    ) -> StorageReply | None:
        """Ask a member for how long it needs turns; return None if it does not reply in time."""
        request = StorageRequest(
            replica_id=member.replica_id, epoch=placement.epoch, needed_turn_ids=turn_ids
        )
        client = self._clients.client_for(member.address)
        try:
            envelope = await client.call(Envelope(storage_request=request), CALL_TIMEOUT_SECONDS)
        except PeerUnreachableError:
            return None
        reply = envelope.storage_reply
        return reply if reply.status == STORAGE_STATUS_DONE else None
