"""Copies what a replica is to hold under the next placement from those that hold it under the current one.

Nearly every record is held by several sources, and a turn is large beside its id. So sources list the turns
that they hold, and each turn that is lacking is fetched from one of them, from the first to name it. One that
is here already is kept for its full time again, since this replica may have missed that it was touched.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field

from wheatring.durable.exceptions import DiskError
from wheatring.event_log import log_event
from wheatring.placement.key_placement import quorum_sizes
from wheatring.storage.replica import Replica
from wheatring.transport.client import ClientTable
from wheatring.transport.exceptions import PeerUnreachableError
from wheatring.transport.messages_pb2 import (
    STORAGE_STATUS_DONE,
    Envelope,
    Placement,
    ScanReply,
    ScanRequest,
    StorageMember,
)

PAGE_BYTES = 512 * 1024
PAGE_TIMEOUT_SECONDS = 1.5  # for one page to come
RETRY_DELAY_SECONDS = 0.2
FETCH_TIMEOUT_SECONDS = 0.5  # for the first attempt, while other sources wait to be asked
CONCURRENT_FETCH_POLL_SECONDS = 0.005  # between looks at turns that are on their way from another source


def can_skip_copy(identity: str, placement: Placement, losses: int) -> bool:
    """Whether a replica may stay as it is in the next set.

    Where every current member is a replica of every key, those that lack an acknowledged write are fewer than
    a read quorum of the current set. They stay fewer than one of the next set if that is no smaller; else a
    member that lacks a write could answer alone that it does not exist.
    """
    in_current = any(member.replica_id == identity and not member.lost for member in placement.current)
    now = quorum_sizes(len(placement.current), losses)
    following = quorum_sizes(len(placement.next), losses)
    return in_current and len(placement.current) <= now.copies and following.read >= now.read


def copy_sources_required(placement: Placement, losses: int) -> int:
    """Of how many current members a copy has to be complete: every acknowledged write is on one of them."""
    return max(1, len(placement.current) - losses)


@dataclass(slots=True)
class CopyProgress:
    """What all sources of one copy have to do with each other: turns by id."""

    fetching: set[str] = field(default_factory=set)  # on their way here from any source
    renewed: set[str] = field(default_factory=set)  # were here already, and are kept anew


class Repair:
    """Brings one replica up to each placement that names it, one after the other."""

    def __init__(self, replica: Replica, clients: ClientTable, losses: int) -> None:
        self._replica = replica
        self._clients = clients
        self._losses = losses
        self._task: asyncio.Task[None] | None = None
        self._epoch = 0

    @property
    def complete_epoch(self) -> int:
        """The newest epoch for which the replica holds all that it is to hold."""
        return self._replica.complete_epoch

    def on_placement(self, placement: Placement) -> None:
        """A placement is in force: begin what it asks of this replica."""
        self._replica.adopt_placement(placement)
        if placement.epoch <= self._epoch:
            return
        self._epoch = placement.epoch
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if all(member.replica_id != self._replica.identity for member in placement.next):
            return
        if self.complete_epoch >= placement.epoch:
            return  # it was whole before this process began
        self._task = asyncio.get_running_loop().create_task(self._follow(placement))

    async def _follow(self, placement: Placement) -> None:
        """Fence older epochs, copy what is lacking, and note that this replica is whole.

        Every member of the next set fences itself, also one that lacks nothing: once that set is the current
        one, nobody can read or write under the epoch before the change with its help.
        """
        epoch = placement.epoch
        await self._until_on_disk(lambda: self._replica.raise_fence(epoch))
        if not can_skip_copy(self._replica.identity, placement, self._losses):
            await self._copy(placement)
            log_event("repair-complete", epoch=epoch, records=len(self._replica.table))
        await self._until_on_disk(lambda: self._replica.record_complete_epoch(epoch))

    async def _copy(self, placement: Placement) -> None:
        """Run the copies side by side until enough are complete."""
        identity = self._replica.identity
        present = [member for member in placement.current if not member.lost]
        others = [member for member in present if member.replica_id != identity]
        needed = copy_sources_required(placement, self._losses) - (len(present) - len(others))
        progress = CopyProgress()
        tasks = [asyncio.create_task(self._copy_from(member, placement, progress)) for member in others]
        try:
            await _complete(tasks, needed)
        finally:
            for task in tasks:
                task.cancel()

    @staticmethod
    async def _until_on_disk(write: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await write()
                return
            except DiskError:
                await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _copy_from(self, member: StorageMember, placement: Placement, progress: CopyProgress) -> None:
        """Copy page by page; a source that does not answer is asked again."""
        position, done = 0, False
        while not done:
            request = ScanRequest(after=position, limit_bytes=PAGE_BYTES, list_turns=True)
            reply = await self._scan(member, placement, request, PAGE_TIMEOUT_SECONDS)
            if reply is None:
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            lacking = self._lacking(reply.turn_ids, progress)
            await self._fetch(member, placement, lacking, progress.fetching)
            position, done = reply.next, reply.done

    def _lacking(self, turn_ids: Iterable[str], progress: CopyProgress) -> set[str]:
        """Those of these turns that are not here; the others are kept anew, once in a copy."""
        lacking = set()
        for turn_id in turn_ids:
            if turn_id in progress.renewed:
                continue
            if self._replica.renew_turn(turn_id):
                progress.renewed.add(turn_id)
            else:
                lacking.add(turn_id)
        return lacking

    async def _fetch(
        self, member: StorageMember, placement: Placement, lacking: set[str], fetching: set[str]
    ) -> None:
        """Have all of these turns here, those from this source that no other one is sending. A source that
        fails leaves them to the others for a while.
        """
        table = self._replica.table
        seconds = FETCH_TIMEOUT_SECONDS
        while lacking:
            asked = lacking - fetching
            pause = CONCURRENT_FETCH_POLL_SECONDS
            if asked:
                fetching |= asked
                try:
                    reply = await self._scan(member, placement, ScanRequest(turn_ids=sorted(asked)), seconds)
                finally:
                    fetching -= asked
                if reply is not None:
                    lacking -= asked  # what the source has dropped since it listed it has expired
                    continue
                seconds, pause = PAGE_TIMEOUT_SECONDS, RETRY_DELAY_SECONDS
            await asyncio.sleep(pause)
            lacking = {turn_id for turn_id in lacking if not table.has_turn(turn_id)}

    async def _scan(
        self, member: StorageMember, placement: Placement, request: ScanRequest, seconds: float
    ) -> ScanReply | None:
        """A source's reply, whose records are stored by then; None where there is none."""
        request.replica_id = member.replica_id
        request.placement.CopyFrom(placement)
        request.requester = self._replica.identity
        client = self._clients.client_for(member.address)
        try:
            envelope = await client.call(Envelope(scan_request=request), seconds)
            if envelope.scan_reply.status != STORAGE_STATUS_DONE:
                return None
            await self._replica.store(list(envelope.scan_reply.records))
        except (PeerUnreachableError, DiskError):
            return None
        return envelope.scan_reply


async def _complete(tasks: Sequence[asyncio.Task[None]], needed: int) -> None:
    """Wait until so many of the tasks have ended."""
    running = set(tasks)
    while running and len(tasks) - len(running) < needed:
        _, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
