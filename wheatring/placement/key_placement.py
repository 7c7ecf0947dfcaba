"""Which storage members hold the records of a key, and how many of them have to answer.

Members are ranked for each key by rendezvous hashing, taken from different zones first, so a change of the
members moves only the keys of those that came or went. While a placement has a `next` set, writes and reads
that find nothing need quorums of both sets.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from wheatring.transport.messages_pb2 import Placement, StorageMember


@dataclass(frozen=True, slots=True)
class QuorumSizes:
    """How many copies there are of each record, and how many replies a write and a read need."""

    copies: int
    write: int
    read: int


def quorum_sizes(members: int, losses: int) -> QuorumSizes:
    """For so many members, where `losses` of them may be gone at one time.

    A write stands on `losses + 1` disks. A read that finds nothing overlaps with every write that was
    acknowledged.
    """
    copies = min(members, 2 * losses + 1)
    write = losses + 1
    return QuorumSizes(copies=copies, write=write, read=max(1, copies - write + 1))


def _score(key: str, member: StorageMember) -> bytes:
    return hashlib.blake2b(f"{key}\x00{member.replica_id}".encode(), digest_size=8).digest()


def replicas_for(key: str, members: Sequence[StorageMember], copies: int) -> list[StorageMember]:
    """The members that hold a key, best first."""
    if len(members) <= copies:
        return list(members)
    ranked = sorted(members, key=lambda member: _score(key, member), reverse=True)
    chosen: list[StorageMember] = []
    zones: set[str] = set()
    for member in ranked:
        if member.zone not in zones and len(chosen) < copies:
            zones.add(member.zone)
            chosen.append(member)
    taken = {member.replica_id for member in chosen}
    for member in ranked:
        if len(chosen) >= copies:
            break
        if member.replica_id not in taken:
            chosen.append(member)
    return chosen


@dataclass(frozen=True, slots=True)
class ReplicaGroup:
    """The members of one set that hold one key, and how many of them make a quorum."""

    replica_ids: frozenset[str]
    write: int
    read: int


@dataclass(frozen=True, slots=True)
class KeyPlacement:
    """Who holds one key. While a change is under way there are two groups, and what is written or said to be
    absent needs a quorum of each: a write under the placement after the change reaches members of the next
    set only, and a reader that has not heard of that placement yet must not overlook it.
    """

    members: tuple[StorageMember, ...]
    groups: tuple[ReplicaGroup, ...]

    def has_write_quorum(self, acknowledged: set[str]) -> bool:
        """Whether these replicas make a write quorum of every group."""
        return all(len(group.replica_ids & acknowledged) >= group.write for group in self.groups)

    def has_read_quorum(self, replied: set[str]) -> bool:
        """Whether what none of these replicas holds has not been acknowledged."""
        return all(len(group.replica_ids & replied) >= group.read for group in self.groups)


def place_key(key: str, placement: Placement, losses: int) -> KeyPlacement:
    """Who holds a key under a placement. Members that are lost count in the quorums and are never asked."""
    groups = []
    members: dict[str, StorageMember] = {}
    for side in (placement.current, placement.next):
        if not side:
            continue
        figures = quorum_sizes(len(side), losses)
        chosen = [m for m in replicas_for(key, side, figures.copies) if not m.lost]
        groups.append(ReplicaGroup(frozenset(m.replica_id for m in chosen), figures.write, figures.read))
        for member in chosen:
            members.setdefault(member.replica_id, member)
    return KeyPlacement(tuple(members.values()), tuple(groups))
