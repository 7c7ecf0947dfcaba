"""One storage replica: answers reads and writes under the placement that it knows, and lets others copy from
it.

The identity is drawn with the disk. A request for another identity, as one for a disk that was lost, is
refused, and so is one under an epoch older than the newest that this replica has been shown (the fence, which
is on disk before a scan under that epoch is answered). A write is answered after its sync.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Iterable
from pathlib import Path

from wheatring.durable.committer import Committer
from wheatring.durable.exceptions import DiskError
from wheatring.durable.record_file import open_or_quarantine
from wheatring.placement.key_placement import quorum_sizes, replicas_for
from wheatring.storage.record_table import RecordKey, RecordTable, placement_key
from wheatring.transport.messages_pb2 import (
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
COMPACTION_THRESHOLD_BYTES = 24 * 1024 * 1024  # bytes of the file, from which it is rewritten
MAX_ANCESTORS_BYTES = 32 * 1024 * 1024  # of a conversation sent in one reply


class Replica:
    """The owner of a replica's table and file."""

    def __init__(self, folder: Path, losses: int, clock: Callable[[], float]) -> None:
        self._path = folder / FILE_NAME
        self._losses = losses
        self._clock = clock
        self._committer: Committer
        self.table = RecordTable()
        self.identity = ""
        self.fence_epoch = 0
        self.complete_epoch = 0  # the newest epoch whose copy is complete here, on disk
        self.placement = Placement()
        self._unwritten: list[bytes] = []  # taken in, but refused by the disk so far

    def open(self) -> None:
        """Read the file. A new or damaged one gets a new identity: it then counts as a lost disk."""
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

    def adopt_placement(self, placement: Placement) -> None:
        """A newer placement is in force."""
        if placement.epoch > self.placement.epoch:
            self.placement = placement

    async def store(self, records: list[StorageRecord]) -> None:
        """Take records in and sync them. Raises DiskError."""
        now = self._clock()
        changed = [record.SerializeToString() for record in records if self.table.apply(record, now)]
        await self._write(changed)

    async def _write(self, payloads: list[bytes]) -> None:
        """Sync records, and with them all that an earlier write has failed to. An empty batch waits behind
        those under way. Raises DiskError.
        """
        batch = self._unwritten + payloads
        self._unwritten = []
        try:
            await self._committer.append(batch)
        except DiskError:
            self._unwritten = batch + self._unwritten
            raise

    def renew_turn(self, turn_id: str) -> bool:
        """Another replica holds a turn: keep it here as long as one that comes now. Returns whether it is
        here.
        """
        return self.table.renew_turn(turn_id, self._clock())

    async def raise_fence(self, epoch: int) -> None:
        """From now on, also after a restart, refuse older epochs. Raises DiskError."""
        if epoch > self.fence_epoch:
            self.fence_epoch = epoch
            await self._write([StorageRecord(fence_epoch=epoch).SerializeToString()])
        else:
            await self._write([])  # the same fence may still be on its way to the disk

    async def record_complete_epoch(self, epoch: int) -> None:
        """The copy for an epoch is complete, and stays so for as long as this disk. Raises DiskError."""
        await self._write([StorageRecord(complete_epoch=epoch).SerializeToString()])
        self.complete_epoch = max(self.complete_epoch, epoch)

    async def handle_request(self, request: StorageRequest) -> StorageReply:
        """Answer a read, a write or both; the read sees the write."""
        if request.replica_id != self.identity:
            return StorageReply(status=STORAGE_STATUS_WRONG_REPLICA)
        if request.epoch < max(self.fence_epoch, self.placement.epoch):
            return StorageReply(status=STORAGE_STATUS_STALE_EPOCH, placement=self.placement)
        now = self._clock()
        changed = [record.SerializeToString() for record in request.records if self.table.apply(record, now)]
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
        known = set(request.known_turn_ids)
        for turn_id in request.turn_ids:
            turn = self.table.turn(turn_id)
            if turn is None:
                continue
            if request.with_ancestors:
                reply.turns.extend(self._ancestors(turn, known))
            reply.turns.append(turn)

    def _ancestors(self, turn: Turn, known: set[str]) -> list[Turn]:
        """Those of a turn's ancestors that this replica holds and the reader does not know."""
        found: list[Turn] = []
        size = 0
        for ancestor_id in reversed(turn.ancestors):
            if ancestor_id in known:
                continue
            ancestor = self.table.turn(ancestor_id)
            if ancestor is None:
                continue
            size += len(ancestor.input) + len(ancestor.output)
            if size > MAX_ANCESTORS_BYTES:
                break
            found.append(ancestor)
        return found

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
        wanted = self._wanted_by(request)
        payloads, position, done = self.table.scan(request.after, request.limit_bytes, wanted)
        reply = ScanReply(status=STORAGE_STATUS_DONE, next=position, done=done)
        for record in map(StorageRecord.FromString, payloads):
            if request.list_turns and record.HasField("turn"):
                reply.turn_ids.append(record.turn.id)
            else:
                reply.records.append(record)
        return reply

    def _named_turns(self, turn_ids: Iterable[str]) -> ScanReply:
        """Those of some turns that are still here."""
        turns = [self.table.turn(turn_id) for turn_id in turn_ids]
        records = [StorageRecord(turn=turn) for turn in turns if turn is not None]
        return ScanReply(status=STORAGE_STATUS_DONE, records=records, done=True)

    def _wanted_by(self, request: ScanRequest) -> Callable[[RecordKey], bool]:
        members = list(request.placement.next)
        copies = quorum_sizes(len(members), self._losses).copies

        def wanted(key: RecordKey) -> bool:
            chosen = replicas_for(placement_key(key), members, copies)
            return any(member.replica_id == request.requester for member in chosen)

        return wanted

    async def run_expirer(self, interval_seconds: float) -> None:
        """Drop expired records, for as long as the process runs."""
        while True:
            await asyncio.sleep(interval_seconds)
            self.table.expire(self._clock())
