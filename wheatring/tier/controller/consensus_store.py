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
REWRITE_ABOVE_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class StoredState:
    """The newest record of each kind that the file contains."""

    replica_id: str
    hard_state: HardState
    entry: Entry
    soft_version: int = 0
    soft_state: bytes = b""


def seed_member(address: str) -> Member:
    """Return the identity of a seed in a new system, the same for all that know its address."""
    return Member(replica_id=f"seed-{address}", address=address)


def first_entry(seeds: Sequence[str]) -> Entry:
    """Return the entry with which all seeds of a new system start."""
    ordered = sorted(seeds)
    cluster_id = hashlib.blake2b("\n".join(ordered).encode(), digest_size=8).hexdigest()
    entry = Entry(term=0, index=1, data=ControlState(cluster_id=cluster_id).SerializeToString())
    entry.voters.extend(seed_member(address) for address in ordered)
    return entry


class ConsensusStore:
    """The owner of the consensus file of one controller."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME
        self._file: RecordFile
        self.committer: Committer

    def open(
        self, address: str, seeds: Sequence[str], bootstrap: bool, live_record: Callable[[], bytes]
    ) -> StoredState:
        """Read the file, or start a new one. A damaged file counts as a lost disk.

        Parameters
        ----------
        address
            The IP address of this controller.
        seeds
            The IP addresses of the seeds.
        bootstrap
            Whether the system is new, so that a seed without a file may start from the first entry.
        live_record
            Gives the newest state as a record, for a rewrite of the file.

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
            lambda: [ConsensusRecord(replica_id=replica_id).SerializeToString(), live_record()],
            REWRITE_ABOVE_BYTES,
        )
        return stored

    def _initialize(self, address: str, seeds: Sequence[str], bootstrap: bool) -> StoredState:
        """Write a new identity. It is on disk before this replica speaks to another one."""
        record = ConsensusRecord(replica_id=secrets.token_hex(8))
        if bootstrap and address in seeds:
            record.replica_id = seed_member(address).replica_id
            record.entry.CopyFrom(first_entry(seeds))
        self._file.append([record.SerializeToString()])
        return StoredState(record.replica_id, HardState(), record.entry)
