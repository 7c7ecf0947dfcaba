"""Reads and writes records by quorum, from a sidecar.

The nearest members that are enough are asked first; others follow where those take long or fail. Every record
may be written again without harm, so an exchange simply starts anew under a newer placement.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from wheatring.placement.key_placement import KeyPlacement, place_key
from wheatring.transport.client import ClientTable
from wheatring.transport.exceptions import PeerUnreachableError
from wheatring.transport.messages_pb2 import (
    STORAGE_STATUS_DONE,
    STORAGE_STATUS_STALE_EPOCH,
    BudgetEntry,
    Envelope,
    Placement,
    StorageMember,
    StorageRecord,
    StorageReply,
    StorageRequest,
    Turn,
)

HEDGE_DELAY_SECONDS = 0.03  # without enough replies, before further members are asked
CALL_TIMEOUT_SECONDS = 1.0  # for one member to reply
RETRY_DELAY_SECONDS = 0.05
SUSPECT_SECONDS = 2.0  # for which a member that did not answer is asked last


class QuorumNotReachedError(Exception):
    """No quorum could be reached in time: nothing is known of the record."""


@dataclass(slots=True)
class Replies:
    """What has come under one placement."""

    by_replica: dict[str, StorageReply] = field(default_factory=dict)

    @property
    def acknowledged(self) -> set[str]:
        return set(self.by_replica)


Enough = Callable[[KeyPlacement, Replies], bool]


def _written(key_placement: KeyPlacement, replies: Replies) -> bool:
    return key_placement.has_write_quorum(replies.acknowledged)


def _read(key_placement: KeyPlacement, replies: Replies) -> bool:
    return key_placement.has_read_quorum(replies.acknowledged)


def _read_and_written(key_placement: KeyPlacement, replies: Replies) -> bool:
    return _read(key_placement, replies) and _written(key_placement, replies)


class QuorumClient:
    """The storage members as one store."""

    def __init__(
        self,
        clients: ClientTable,
        losses: int,
        zone: str,
        placement: Callable[[], Placement],
        adopt: Callable[[Placement], None],
    ) -> None:
        """`placement` gives the newest one that is known here, `adopt` takes a newer one that a member
        told.
        """
        self._clients = clients
        self._losses = losses
        self._zone = zone
        self._placement = placement
        self._adopt = adopt
        self._suspects: dict[str, float] = {}
        self._background: set[asyncio.Task[Any]] = set()

    # What can be asked for

    async def write(self, key: str, records: Sequence[StorageRecord], timeout_seconds: float) -> None:
        """Have records on enough disks. Raises QuorumNotReachedError."""
        request = StorageRequest(records=records)
        await self._exchange(key, request, _written, timeout_seconds)

    async def write_budget(self, entry: BudgetEntry, timeout_seconds: float) -> list[BudgetEntry]:
        """Have an entry on enough disks; returns all entries of its program. Raises QuorumNotReachedError."""
        request = StorageRequest(records=[StorageRecord(budget=entry)], program=entry.program)
        replies = await self._exchange(entry.program, request, _read_and_written, timeout_seconds)
        return _merged([e for reply in replies.by_replica.values() for e in reply.budget])

    async def read_conversation(
        self, turn_id: str, known_turn_ids: Sequence[str], timeout_seconds: float
    ) -> list[Turn] | None:
        """A turn with those of its ancestors that its replicas hold; None where there certainly is no such
        turn.

        Raises QuorumNotReachedError.
        """
        request = StorageRequest(turn_ids=[turn_id], with_ancestors=True, known_turn_ids=known_turn_ids)

        def found(replies: Replies) -> list[Turn]:
            for reply in replies.by_replica.values():
                if any(turn.id == turn_id for turn in reply.turns):
                    return list(reply.turns)
            return []

        def enough(key_placement: KeyPlacement, replies: Replies) -> bool:
            return bool(found(replies)) or _read(key_placement, replies)

        replies = await self._exchange(turn_id, request, enough, timeout_seconds, first=1)
        return found(replies) or None

    def extend_retention(self, turn_ids: Sequence[str], retention_seconds: float) -> None:
        """Have turns kept for longer on all members, without waiting for it. Only where members hold
        different turns: else the members that hold the newest turn hold its ancestors too.
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

    def run_in_background(self, work: asyncio.Task[Any]) -> None:
        """Keep a task until it has ended."""
        self._background.add(work)
        work.add_done_callback(self._background.discard)

    # How

    async def _exchange(
        self, key: str, request: StorageRequest, enough: Enough, seconds: float, first: int = 0
    ) -> Replies:
        """Ask members until enough have replied under one placement."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while True:
            placement = self._placement()
            if placement.epoch:
                replies = await self._under(placement, key, request, enough, deadline, first)
                if replies is not None:
                    return replies
            if loop.time() + RETRY_DELAY_SECONDS >= deadline:
                raise QuorumNotReachedError(f"no quorum of storage members for {key}")
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _under(
        self,
        placement: Placement,
        key: str,
        request: StorageRequest,
        enough: Enough,
        deadline: float,
        first: int,
    ) -> Replies | None:
        """The same under one placement; None where it has become stale or the members asked were not
        enough.
        """
        loop = asyncio.get_running_loop()
        key_placement = place_key(key, placement, self._losses)
        order = self._ordered(key_placement.members, loop.time())
        replies = Replies()
        running: dict[asyncio.Task[StorageReply | None], StorageMember] = {}
        wanted = first or self._least(key_placement, order, enough)
        try:
            while True:
                while order and len(running) + len(replies.by_replica) < wanted:
                    member = order.pop(0)
                    running[loop.create_task(self._ask(member, placement, request, deadline))] = member
                left = deadline - loop.time()
                if not running or left <= 0:
                    return None
                pause = min(left, HEDGE_DELAY_SECONDS) if order else left
                done, _ = await asyncio.wait(running, timeout=pause, return_when=asyncio.FIRST_COMPLETED)
                if not done:
                    wanted += 1
                    self._suspect(running.values(), loop.time())
                for task in done:
                    member = running.pop(task)
                    reply = task.result()
                    if reply is not None and reply.status == STORAGE_STATUS_STALE_EPOCH:
                        self._adopt(reply.placement)
                        return None
                    if reply is not None and reply.status == STORAGE_STATUS_DONE:
                        replies.by_replica[member.replica_id] = reply
                        self._suspects.pop(member.replica_id, None)
                    else:
                        wanted = max(wanted, len(running) + len(replies.by_replica) + 1)
                        self._suspect([member], loop.time())
                if enough(key_placement, replies):
                    return replies
                if not running and len(replies.by_replica) >= wanted:
                    wanted += 1
                    if not order:
                        return None
        finally:
            self._let_run_out(running)

    def _let_run_out(self, running: dict[asyncio.Task[StorageReply | None], StorageMember]) -> None:
        """What is under way to other members goes on: each copy more is one that need not be repaired."""
        for task in running:
            self.run_in_background(task)

    def _ordered(self, members: Sequence[StorageMember], now: float) -> list[StorageMember]:
        """Members that have answered lately first, and of these the ones in this zone."""

        def rank(member: StorageMember) -> tuple[bool, bool]:
            return self._suspects.get(member.replica_id, 0.0) > now, member.zone != self._zone

        return sorted(members, key=rank)

    def _least(self, key_placement: KeyPlacement, order: Sequence[StorageMember], enough: Enough) -> int:
        """How many members, in this order, could be enough."""
        hoped = Replies()
        for number, member in enumerate(order, 1):
            hoped.by_replica[member.replica_id] = StorageReply()
            if enough(key_placement, hoped):
                return number
        return len(order)

    def _suspect(self, members: Iterable[StorageMember], now: float) -> None:
        for member in members:
            self._suspects[member.replica_id] = now + SUSPECT_SECONDS

    async def _ask(
        self, member: StorageMember, placement: Placement, request: StorageRequest, deadline: float
    ) -> StorageReply | None:
        """One member's reply, None where none came."""
        mine = StorageRequest()
        mine.CopyFrom(request)
        mine.replica_id = member.replica_id
        mine.epoch = placement.epoch
        seconds = min(CALL_TIMEOUT_SECONDS, deadline - asyncio.get_running_loop().time())
        try:
            envelope = await self._clients.client_for(member.address).call(
                Envelope(storage_request=mine), seconds
            )
        except PeerUnreachableError:
            return None
        return envelope.storage_reply


def _merged(entries: Sequence[BudgetEntry]) -> list[BudgetEntry]:
    """One entry for each turn: a settled one before a reserved one, then the larger one."""
    best: dict[str, BudgetEntry] = {}
    for entry in entries:
        known = best.get(entry.turn)
        if known is None or (known.settled, known.tokens) < (entry.settled, entry.tokens):
            best[entry.turn] = entry
    return list(best.values())
