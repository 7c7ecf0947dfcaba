"""One storage replica: handles reads, writes, and scans by replicas that copy from it.

The replica's identity is generated for a new disk and stored on it. A request is rejected if it names another
identity, for example that of a lost disk, or if its epoch is older than the newest placement or the fence of
this replica. The fence is the newest epoch under which the replica has served a scan or begun a repair; it is
synced before the scan is answered. A write is acknowledged after its sync.
"""

from __future__ import annotations

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
NUMBERING_BITS = 62  # positions, which count on from there, are 64-bit numbers
MAX_ANCESTORS_BYTES = 32 * 1024 * 1024  # input and output of a turn's ancestors in one reply


class Replica:
    """The records of a replica, in memory and on disk.

    Attributes
    ----------
    table
        The records, in memory.
    identity
        A random id that is stored on the disk and lost with it.
    fence_epoch
        The fencing token: requests under older epochs are rejected, also after a restart.
    complete_epoch
        The newest epoch for which this disk holds all records placed on it.
    placement
        The newest placement that this replica has received.
    """

    def __init__(self, folder: Path, losses: int, clock: Callable[[], float]) -> None:
        """Build a replica; `open` reads its file.

        Parameters
        ----------
        folder
            The folder of the file.
        losses
            The number of simultaneous member losses to tolerate.
        clock
            Returns monotonic seconds.
        """
        self._path = folder / FILE_NAME
        self._losses = losses
        self._clock = clock
        self._committer: Committer
        self.table = RecordTable(numbering=1 + secrets.randbits(NUMBERING_BITS))
        self.identity = ""
        self.fence_epoch = 0
        self.complete_epoch = 0
        self.placement = Placement()
        self._unsynced: list[bytes] = []  # applied in memory; the write to disk has failed

    # Disk

    def open(self) -> None:
        """Read the file. Raises DiskError.

        A new or damaged file gets a new identity, so that the old one is treated as a lost disk.
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
        """Sync records together with those of earlier failed writes. Raises DiskError.

        A write without records waits for the batches in flight.
        """
        batch = self._unsynced + payloads
        self._unsynced = []
        try:
            await self._committer.append(batch)
        except DiskError:
            self._unsynced = batch + self._unsynced
            raise

    async def store(self, records: list[StorageRecord]) -> None:
        """Apply records and sync them. Raises DiskError."""
        await self._write(self._apply(records, self._clock()))

    def _apply(self, records: Iterable[StorageRecord], now: float) -> list[bytes]:
        """Apply records; return those that have changed the table, serialized."""
        return [record.SerializeToString() for record in records if self.table.apply(record, now)]

    def renew_turn(self, turn_id: str) -> bool:
        """Restart the retention of a turn; return whether this replica holds it."""
        return self.table.renew_turn(turn_id, self._clock())

    # Epochs

    def adopt_placement(self, placement: Placement) -> None:
        """Replace the known placement by a newer one; ignore an older one."""
        if placement.epoch > self.placement.epoch:
            self.placement = placement

    @property
    def has_current_placement(self) -> bool:
        """Whether a placement is known that is no older than this replica's fence."""
        return self.placement.epoch > 0 and self.placement.epoch >= self.fence_epoch

    async def raise_fence(self, epoch: int) -> None:
        """Reject requests under older epochs from now on, also after a restart. Raises DiskError."""
        if epoch > self.fence_epoch:
            self.fence_epoch = epoch
            await self._write([StorageRecord(fence_epoch=epoch).SerializeToString()])
        else:
            await self._write([])  # the write of the same fence may still be in flight

    async def record_complete_epoch(self, epoch: int) -> None:
        """Record on disk that the copy for an epoch is complete, so that a restart does not repeat it.

        Raises DiskError.
        """
        await self._write([StorageRecord(complete_epoch=epoch).SerializeToString()])
        self.complete_epoch = max(self.complete_epoch, epoch)

    # Requests from sidecars

    async def handle_request(self, request: StorageRequest) -> StorageReply:
        """Handle a read, a write or both; the read sees the write."""
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
        for turn_id in request.needed_turn_ids:
            reply.remaining_retention_ms.append(int(self.table.remaining_seconds(turn_id, now) * 1000))
        if request.records:
            # Even if nothing has changed, an earlier write of the same records may still be in flight.
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
        """Return a turn's ancestors that this replica holds and the reader does not have, newest first."""
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

    # Scans by other replicas

    async def handle_scan(self, request: ScanRequest) -> ScanReply:
        """Return records that are placed on the requester, after fencing all older epochs."""
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
            return self._reply_with_turns(request.turn_ids)
        page = self.table.scan(request.after, request.limit_bytes, self._is_placed_on_requester(request))
        reply = ScanReply(
            status=STORAGE_STATUS_DONE,
            next=page.position,
            done=page.is_last,
            numbering=self.table.numbering,
        )
        for record in map(StorageRecord.FromString, page.payloads):
            if request.list_turns and record.HasField("turn"):
                reply.turn_ids.append(record.turn.id)
            else:
                reply.records.append(record)
        return reply

    def _reply_with_turns(self, turn_ids: Iterable[str]) -> ScanReply:
        """Reply with the requested turns, except expired ones."""
        turns = [self.table.turn(turn_id) for turn_id in turn_ids]
        records = [StorageRecord(turn=turn) for turn in turns if turn is not None]
        return ScanReply(status=STORAGE_STATUS_DONE, records=records, done=True)

    def _is_placed_on_requester(self, request: ScanRequest) -> Callable[[RecordKey], bool]:
        members = list(request.placement.next)
        copies = quorum_sizes(len(members), self._losses).copies

        def is_placed(key: RecordKey) -> bool:
            """Whether a key is placed on the requester in the next set."""
            replicas = replicas_for(key.placement_key, members, copies)
            return any(member.replica_id == request.requester for member in replicas)

        return is_placed
