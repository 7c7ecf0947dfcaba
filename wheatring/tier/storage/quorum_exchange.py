"""One request to the members that hold a key, under one placement, until a quorum has replied.

The nearest members that are enough are called first; further ones follow where those take long (hedging) or
fail.
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

HEDGE_DELAY_SECONDS = 0.03  # without enough replies, before a further member is called
CALL_TIMEOUT_SECONDS = 1.0  # for one member to reply


class Replies:
    """The replies under one placement."""

    def __init__(self) -> None:
        self.by_replica: dict[str, StorageReply] = {}

    @property
    def replica_ids(self) -> set[str]:
        """Who has replied."""
        return set(self.by_replica)


CompletionCheck = Callable[[KeyPlacement, Replies], bool]


def is_written(key_placement: KeyPlacement, replies: Replies) -> bool:
    """Whether a write quorum has replied."""
    return key_placement.has_write_quorum(replies.replica_ids)


def is_read(key_placement: KeyPlacement, replies: Replies) -> bool:
    """Whether a read quorum has replied."""
    return key_placement.has_read_quorum(replies.replica_ids)


def is_read_and_written(key_placement: KeyPlacement, replies: Replies) -> bool:
    """Whether both quorums have replied."""
    return is_read(key_placement, replies) and is_written(key_placement, replies)


class ExchangeRequest(NamedTuple):
    """What is asked for, independent of the placement.

    Attributes
    ----------
    key
        The turn's id or the program that the records are placed by.
    body
        The request; replica and epoch are set for each member.
    is_complete
        Whether the replies so far are enough.
    deadline
        An instant of the event loop's clock, in seconds.
    fanout
        How many members are called at first; 0: as many as can be enough.
    """

    key: str
    body: StorageRequest
    is_complete: CompletionCheck
    deadline: float
    fanout: int = 0


class QuorumExchange:
    """The calls of one request under one placement. It is run once."""

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
        self._fanout = request.fanout or self._smallest_fanout(self._uncalled)
        self._replies = Replies()
        self.running: dict[asyncio.Task[StorageReply | None], StorageMember] = {}
        self.newer_placement: Placement | None = None  # from a member that knows this one to be stale

    async def run(self) -> Replies | None:
        """Return enough replies; None where the placement is stale or the members were not enough.

        Calls that are still running go on; whoever runs the exchange owns them afterwards.
        """
        request = self._request
        loop = asyncio.get_running_loop()
        while True:
            self._start_calls()
            remaining = request.deadline - loop.time()
            if not self.running or remaining <= 0:
                return None
            timeout = min(remaining, HEDGE_DELAY_SECONDS) if self._uncalled else remaining
            done, _ = await asyncio.wait(self.running, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                self._fanout += 1
                self._suspects.suspect(self.running.values(), loop.time())
            for task in done:
                self._take_reply(task)
                if self.newer_placement is not None:
                    return None
            if request.is_complete(self._key_placement, self._replies):
                return self._replies
            if not self.running and len(self._replies.by_replica) >= self._fanout:
                self._fanout += 1
                if not self._uncalled:
                    return None

    def _start_calls(self) -> None:
        loop = asyncio.get_running_loop()
        while self._uncalled and len(self.running) + len(self._replies.by_replica) < self._fanout:
            member = self._uncalled.pop(0)
            self.running[loop.create_task(self._call(member))] = member

    def _take_reply(self, task: asyncio.Task[StorageReply | None]) -> None:
        member = self.running.pop(task)
        reply = task.result()
        if reply is not None and reply.status == STORAGE_STATUS_STALE_EPOCH:
            self.newer_placement = reply.placement
        elif reply is not None and reply.status == STORAGE_STATUS_DONE:
            self._replies.by_replica[member.replica_id] = reply
            self._suspects.clear(member)
        else:
            self._fanout = max(self._fanout, len(self.running) + len(self._replies.by_replica) + 1)
            self._suspects.suspect([member], asyncio.get_running_loop().time())

    def _smallest_fanout(self, order: Sequence[StorageMember]) -> int:
        """Return how many members, in this order, could be enough."""
        assumed = Replies()
        for count, member in enumerate(order, 1):
            assumed.by_replica[member.replica_id] = StorageReply()
            if self._request.is_complete(self._key_placement, assumed):
                return count
        return len(order)

    async def _call(self, member: StorageMember) -> StorageReply | None:
        """Return one member's reply, None where none came."""
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
