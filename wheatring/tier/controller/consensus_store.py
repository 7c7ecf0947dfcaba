"""The consensus file of a controller: its identity, term, vote and newest entry."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from wheatring.tier.durable.committer import Committer
from wheatring.tier.durable.record_file import RecordFile, open_or_quarantine
from wheatring.tier.transport.messages_pb2 import ConsensusRecord, ControlState, Entry, HardState, Member

FILE_NAME = "consensus"
COMPACTION_THRESHOLD_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class StoredState:
    """The newest record of each kind in the file."""

    replica_id: str
    hard_state: HardState
    entry: Entry
    soft_version: int = 0
    soft_state: bytes = b""


def seed_member(address: str) -> Member:
    """Return a seed as a member of a new system, with an identity derived from its address."""
    return Member(replica_id=f"seed-{address}", address=address)


def first_entry(seeds: Sequence[str]) -> Entry:
    """Return the initial entry of all seeds of a new system."""
    ordered = sorted(seeds)
    cluster_id = hashlib.blake2b("\n".join(ordered).encode(), digest_size=8).hexdigest()
    entry = Entry(term=0, index=1, data=ControlState(cluster_id=cluster_id).SerializeToString())
    entry.voters.extend(seed_member(address) for address in ordered)
    return entry


class ConsensusStore:
    """Owns the consensus file of a controller."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME
        self._file: RecordFile
        self.committer: Committer

    def open(
        self, address: str, seeds: Sequence[str], bootstrap: bool, current_record: Callable[[], bytes]
    ) -> StoredState:
        """Read the file, or create it. A damaged file is treated as a lost disk.

        Parameters
        ----------
        address
            The IP address of this controller.
        seeds
            The IP addresses of the seeds.
        bootstrap
            Whether the system is new, so that a seed without a file starts from the initial entry.
        current_record
            Returns the current state as a record, for the compaction of the file.

        Raises
        ------
        DiskError
            The file cannot be read or created.
        """
        opened = open_or_quarantine(self._path)
        self._file = opened.file
        stored = StoredState("", HardState(), Entry())
        for payload in opened.payloads:
            record = ConsensusRecord.FromString(payload)
            stored.replica_id = record.replica_id or stored.replica_id
            if record.HasField("hard_state"):
                stored.hard_state = record.hard_state
            if record.HasField("entry"):
                stored.entry = record.entry
            if record.soft_state:
                stored.soft_version, stored.soft_state = record.soft_version, record.soft_state
        if not stored.replica_id:
            stored = self._initialize(address, seeds, bootstrap and not opened.quarantined)
        replica_id = stored.replica_id
        self.committer = Committer(
            self._file,
            lambda: [ConsensusRecord(replica_id=replica_id).SerializeToString(), current_record()],
            COMPACTION_THRESHOLD_BYTES,
        )
        return stored

    def _initialize(self, address: str, seeds: Sequence[str], bootstrap: bool) -> StoredState:
        """Write a new identity, synced to the disk before this replica sends its first message."""
        record = ConsensusRecord(replica_id=secrets.token_hex(8))
        if bootstrap and address in seeds:
            record.replica_id = seed_member(address).replica_id
            record.entry.CopyFrom(first_entry(seeds))
        self._file.append([record.SerializeToString()])
        return StoredState(record.replica_id, HardState(), record.entry)
