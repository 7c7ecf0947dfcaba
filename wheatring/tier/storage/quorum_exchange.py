"""Sends one request to the members that hold a key, under one placement, until a quorum has replied.

The smallest sufficient number of members is called first, those in the caller's zone before others. Further
members are called when these are slow (hedging) or fail.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from wheatring.tier.placement.key_placement import KeyPlacement
from wheatring.tier.storage.suspects import SuspectedMembers
from wheatring.tier.transport.client import ClientTable
from wheatring.tier.transport.exceptions import PeerUnreachableError
from wheatring.tier.transport.messages_pb2 import (
    STORAGE_STATUS_DONE,
    STORAGE_STATUS_STALE_EPOCH,
    Envelope,
    Placement,
    StorageMember,
    StorageReply,
    StorageRequest,
)

HEDGE_DELAY_SECONDS = 0.03  # wait without any reply before one more member is called
CALL_TIMEOUT_SECONDS = 1.0  # time-out for the reply of one member


class Replies:
    """The successful replies under one placement, by replica id."""

    def __init__(self) -> None:
        self.by_replica: dict[str, StorageReply] = {}

    @property
    def replica_ids(self) -> set[str]:
        """The ids of the replicas that have replied."""
        return set(self.by_replica)


CompletionCheck = Callable[[KeyPlacement, Replies], bool]


def has_write_quorum(key_placement: KeyPlacement, replies: Replies) -> bool:
    """Whether a write quorum has replied."""
    return key_placement.has_write_quorum(replies.replica_ids)


def has_read_quorum(key_placement: KeyPlacement, replies: Replies) -> bool:
    """Whether a read quorum has replied."""
    return key_placement.has_read_quorum(replies.replica_ids)


def has_both_quorums(key_placement: KeyPlacement, replies: Replies) -> bool:
    """Whether both quorums have replied."""
    return has_read_quorum(key_placement, replies) and has_write_quorum(key_placement, replies)


class ExchangeRequest(NamedTuple):
    """A request that does not depend on the placement.

    Attributes
    ----------
    key
        The placement key of the records: the turn's id or the program.
    body
        The message; `replica_id` and `epoch` are set on a copy for each member.
    is_complete
        Tells whether the replies so far are sufficient.
    deadline
        The deadline on the event loop's clock, in seconds.
    fanout
        The number of members called first; 0 for the smallest number that can be sufficient.
    """

    key: str
    body: StorageRequest
    is_complete: CompletionCheck
    deadline: float
    fanout: int = 0


class QuorumExchange:
    """The calls of one request under one placement; `run` may be called only once."""

    def __init__(
        self,
        request: ExchangeRequest,
        placement: Placement,
        key_placement: KeyPlacement,
        clients: ClientTable,
        suspects: SuspectedMembers,
    ) -> None:
        self._request = request
        self._placement = placement
        self._key_placement = key_placement
        self._clients = clients
        self._suspects = suspects
        now = asyncio.get_running_loop().time()
        self._uncalled = suspects.in_call_order(key_placement.members, now)
        self._fanout = request.fanout or self._minimum_fanout(self._uncalled)
        self._replies = Replies()
        self.pending_calls: dict[asyncio.Task[StorageReply | None], StorageMember] = {}
        self.newer_placement: Placement | None = None  # from a member that rejected this one as stale

    async def run(self) -> Replies | None:
        """Return sufficient replies; None if the placement is stale or too few members replied in time.

        The calls in `pending_calls` continue, and the caller has to keep references to their tasks.
        """
        request = self._request
        loop = asyncio.get_running_loop()
        while True:
            self._start_calls()
            remaining = request.deadline - loop.time()
            if not self.pending_calls or remaining <= 0:
                return None
            timeout = min(remaining, HEDGE_DELAY_SECONDS) if self._uncalled else remaining
            done, _ = await asyncio.wait(
                self.pending_calls, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                self._fanout += 1
                self._suspects.suspect(self.pending_calls.values(), loop.time())
            for task in done:
                self._record_reply(task)
                if self.newer_placement is not None:
                    return None
            if request.is_complete(self._key_placement, self._replies):
                return self._replies
            if not self.pending_calls and len(self._replies.by_replica) >= self._fanout:
                self._fanout += 1
                if not self._uncalled:
                    return None

    def _start_calls(self) -> None:
        loop = asyncio.get_running_loop()
        while self._uncalled and len(self.pending_calls) + len(self._replies.by_replica) < self._fanout:
            member = self._uncalled.pop(0)
            self.pending_calls[loop.create_task(self._call(member))] = member

    def _record_reply(self, task: asyncio.Task[StorageReply | None]) -> None:
        member = self.pending_calls.pop(task)
        reply = task.result()
        if reply is not None and reply.status == STORAGE_STATUS_STALE_EPOCH:
            self.newer_placement = reply.placement
        elif reply is not None and reply.status == STORAGE_STATUS_DONE:
            self._replies.by_replica[member.replica_id] = reply
            self._suspects.clear(member)
        else:
            self._fanout = max(self._fanout, len(self.pending_calls) + len(self._replies.by_replica) + 1)
            self._suspects.suspect([member], asyncio.get_running_loop().time())

    def _minimum_fanout(self, order: Sequence[StorageMember]) -> int:
        """Return the smallest number of members, called in this order, whose replies can be sufficient."""
        assumed = Replies()
        for count, member in enumerate(order, 1):
            assumed.by_replica[member.replica_id] = StorageReply()
            if self._request.is_complete(self._key_placement, assumed):
                return count
        return len(order)

    async def _call(self, member: StorageMember) -> StorageReply | None:
        """Return the reply of one member; None if it did not reply in time."""
        body = StorageRequest()
        body.CopyFrom(self._request.body)
        body.replica_id = member.replica_id
        body.epoch = self._placement.epoch
        remaining = self._request.deadline - asyncio.get_running_loop().time()
        client = self._clients.client_for(member.address)
        try:
            envelope = await client.call(Envelope(storage_request=body), min(CALL_TIMEOUT_SECONDS, remaining))
        except PeerUnreachableError:
            return None
        return envelope.storage_reply
