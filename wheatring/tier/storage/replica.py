"""One storage replica: answers reads and writes under the placement that it knows, and serves copies.

The identity is drawn with the disk. A request for another identity, as one for a disk that was lost, is
refused, and so is one under an epoch older than the newest that this replica has been shown (the fence, which
is on disk before a scan under that epoch is answered). A write is answered after its sync.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Iterable
from pathlib import Path

from wheatring.tier.durable.committer import Committer
from wheatring.tier.durable.exceptions import DiskError
from wheatring.tier.durable.record_file import open_or_quarantine
from wheatring.tier.placement.key_placement import quorum_sizes, replicas_for
from wheatring.tier.storage.record_table import RecordKey, RecordTable
from wheatring.tier.transport.messages_pb2 import (
    STORAGE_STATUS_DISK_FAILED,
    STORAGE_STATUS_DONE,
    STORAGE_STATUS_STALE_EPOCH,
    STORAGE_STATUS_WRONG_REPLICA,
    Placement,
    ScanReply,
    ScanRequest,
    StorageRecord,
    StorageReply,
    StorageRequest,
    Turn,
)

FILE_NAME = "records"
COMPACTION_THRESHOLD_BYTES = 24 * 1024 * 1024
MAX_ANCESTORS_BYTES = 32 * 1024 * 1024  # of a conversation sent in one reply


class Replica:
    """The owner of a replica's table and file.

    Attributes
    ----------
    table
        The records, in memory.
    identity
        Drawn with the disk and lost with it.
    fence_epoch
        The newest epoch under which a scan was answered: requests under older ones are refused.
    complete_epoch
        The newest epoch whose copy is complete on this disk.
    placement
        The newest placement that this replica knows.
    """

    def __init__(self, folder: Path, losses: int, clock: Callable[[], float]) -> None:
        """Prepare a replica; `open` reads its file.

        Parameters
        ----------
        folder
            Where the file is.
        losses
            How many disks may be lost at one time.
        clock
            Returns monotonic seconds.
        """
        self._path = folder / FILE_NAME
        self._losses = losses
        self._clock = clock
        self._committer: Committer
        self.table = RecordTable()
        self.identity = ""
        self.fence_epoch = 0
        self.complete_epoch = 0
        self.placement = Placement()
        self._unsynced: list[bytes] = []  # applied in memory, but refused by the disk so far

    # Its own disk

    def open(self) -> None:
        """Read the file. Raises DiskError.

        A new or damaged file gets a new identity: it then counts as a lost disk.
        """
        opened = open_or_quarantine(self._path)
        now = self._clock()
        for payload in opened.payloads:
            record = StorageRecord.FromString(payload)
            if not self.table.apply(record, now):
                self.identity = record.identity or self.identity
                self.fence_epoch = max(self.fence_epoch, record.fence_epoch)
                self.complete_epoch = max(self.complete_epoch, record.complete_epoch)
        if not self.identity:
            self.identity = secrets.token_hex(8)
            opened.file.append([StorageRecord(identity=self.identity).SerializeToString()])
        self._committer = Committer(opened.file, self._live_records, COMPACTION_THRESHOLD_BYTES)

    def _live_records(self) -> list[bytes]:
        own = [
            StorageRecord(identity=self.identity),
            StorageRecord(fence_epoch=self.fence_epoch),
            StorageRecord(complete_epoch=self.complete_epoch),
        ]
        return [record.SerializeToString() for record in own] + self.table.payloads()

    async def _write(self, payloads: list[bytes]) -> None:
        """Sync records, and with them all that an earlier write has failed to. Raises DiskError.

        An empty batch waits behind those in flight.
        """
        batch = self._unsynced + payloads
        self._unsynced = []
        try:
            await self._committer.append(batch)
        except DiskError:
            self._unsynced = batch + self._unsynced
            raise

    async def store(self, records: list[StorageRecord]) -> None:
        """Take records in and sync them. Raises DiskError."""
        await self._write(self._apply(records, self._clock()))

    def _apply(self, records: Iterable[StorageRecord], now: float) -> list[bytes]:
        """Take records in; return those that have changed anything, serialized."""
        return [record.SerializeToString() for record in records if self.table.apply(record, now)]

    def renew_turn(self, turn_id: str) -> bool:
        """Keep a turn that another replica holds for its full time here too; return whether it is here."""
        return self.table.renew_turn(turn_id, self._clock())

    async def run_expirer(self, interval_seconds: float) -> None:
        """Drop expired records, for as long as the process runs."""
        while True:
            await asyncio.sleep(interval_seconds)
            self.table.expire(self._clock())

    # Epochs

    def adopt_placement(self, placement: Placement) -> None:
        """Take a placement over where it is newer than the one known."""
        if placement.epoch > self.placement.epoch:
            self.placement = placement

    async def raise_fence(self, epoch: int) -> None:
        """From now on, also after a restart, refuse older epochs. Raises DiskError."""
        if epoch > self.fence_epoch:
            self.fence_epoch = epoch
            await self._write([StorageRecord(fence_epoch=epoch).SerializeToString()])
        else:
            await self._write([])  # the same fence may still be on its way to the disk

    async def record_complete_epoch(self, epoch: int) -> None:
        """Note on disk that the copy for an epoch is complete. Raises DiskError.

        It stays so for as long as the disk, so it holds after a restart too.
        """
        await self._write([StorageRecord(complete_epoch=epoch).SerializeToString()])
        self.complete_epoch = max(self.complete_epoch, epoch)

    # Requests of sidecars

    async def handle_request(self, request: StorageRequest) -> StorageReply:
        """Answer a read, a write or both; the read sees the write."""
        if request.replica_id != self.identity:
            return StorageReply(status=STORAGE_STATUS_WRONG_REPLICA)
        if request.epoch < max(self.fence_epoch, self.placement.epoch):
            return StorageReply(status=STORAGE_STATUS_STALE_EPOCH, placement=self.placement)
        now = self._clock()
        changed = self._apply(request.records, now)
        for turn_id in request.extended_turn_ids:
            self.table.extend_expiry(turn_id, now + request.extension_ms / 1000)
        reply = StorageReply(status=STORAGE_STATUS_DONE)
        if request.program:
            reply.budget.extend(self.table.budget_entries(request.program))
        self._add_turns(request, reply)
        if request.records:
            # An equal record that is known already may still be on its way to the disk: wait behind it.
            try:
                await self._write(changed)
            except DiskError:
                return StorageReply(status=STORAGE_STATUS_DISK_FAILED)
        return reply

    def _add_turns(self, request: StorageRequest, reply: StorageReply) -> None:
        known_turn_ids = set(request.known_turn_ids)
        for turn_id in request.turn_ids:
            turn = self.table.turn(turn_id)
            if turn is None:
                continue
            if request.with_ancestors:
                reply.turns.extend(self._ancestors(turn, known_turn_ids))
            reply.turns.append(turn)

    def _ancestors(self, turn: Turn, known_turn_ids: set[str]) -> list[Turn]:
        """Return those of a turn's ancestors that this replica holds and the reader does not know."""
        ancestors: list[Turn] = []
        size_bytes = 0
        for ancestor_id in reversed(turn.ancestors):
            if ancestor_id in known_turn_ids:
                continue
            ancestor = self.table.turn(ancestor_id)
            if ancestor is None:
                continue
            size_bytes += len(ancestor.input) + len(ancestor.output)
            if size_bytes > MAX_ANCESTORS_BYTES:
                break
            ancestors.append(ancestor)
        return ancestors

    # Copies by other replicas

    async def handle_scan(self, request: ScanRequest) -> ScanReply:
        """Hand over what another replica is to hold, after fencing all older epochs."""
        if request.replica_id != self.identity:
            return ScanReply(status=STORAGE_STATUS_WRONG_REPLICA)
        self.adopt_placement(request.placement)
        if request.placement.epoch < self.placement.epoch:
            return ScanReply(status=STORAGE_STATUS_STALE_EPOCH)
        try:
            await self.raise_fence(request.placement.epoch)
        except DiskError:
            return ScanReply(status=STORAGE_STATUS_DISK_FAILED)
        if request.turn_ids:
            return self._named_turns(request.turn_ids)
        page = self.table.scan(request.after, request.limit_bytes, self._is_placed_on_requester(request))
        reply = ScanReply(status=STORAGE_STATUS_DONE, next=page.position, done=page.is_last)
        for record in map(StorageRecord.FromString, page.payloads):
            if request.list_turns and record.HasField("turn"):
                reply.turn_ids.append(record.turn.id)
            else:
                reply.records.append(record)
        return reply

    def _named_turns(self, turn_ids: Iterable[str]) -> ScanReply:
        """Reply with those of some turns that have not expired."""
        turns = [self.table.turn(turn_id) for turn_id in turn_ids]
        records = [StorageRecord(turn=turn) for turn in turns if turn is not None]
        return ScanReply(status=STORAGE_STATUS_DONE, records=records, done=True)

    def _is_placed_on_requester(self, request: ScanRequest) -> Callable[[RecordKey], bool]:
        members = list(request.placement.next)
        copies = quorum_sizes(len(members), self._losses).copies

        def is_placed(key: RecordKey) -> bool:
            """Whether the requester holds a key under the next placement."""
            replicas = replicas_for(key.placement_key, members, copies)
            return any(member.replica_id == request.requester for member in replicas)

        return is_placed
