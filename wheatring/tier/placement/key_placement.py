"""Which storage members hold the records of a key, and how many of them have to answer.

Members are ranked for each key by rendezvous hashing (Thaler and Ravishankar, 1998), taken from different
zones first, so a change of the members moves only the keys of those that came or went. While a placement has
a `next` set, writes and reads that find nothing need quorums of both sets.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from wheatring.tier.transport.messages_pb2 import Placement, StorageMember


@dataclass(frozen=True, slots=True)
class QuorumSizes:
    """How many copies there are of each record, and how many replies a write and a read need."""

    copies: int
    write: int
    read: int


def quorum_sizes(members: int, losses: int) -> QuorumSizes:
    """Return the sizes for a set of members of which `losses` may be gone at one time.

    A write stands on `losses + 1` disks. A read that finds nothing overlaps with every write that was
    acknowledged.
    """
    copies = min(members, 2 * losses + 1)
    write = losses + 1
    return QuorumSizes(copies=copies, write=write, read=max(1, copies - write + 1))


def _rendezvous_weight(key: str, member: StorageMember) -> bytes:
    return hashlib.blake2b(f"{key}\x00{member.replica_id}".encode(), digest_size=8).digest()


def replicas_for(key: str, members: Sequence[StorageMember], copies: int) -> list[StorageMember]:
    """Return the members that hold a key, the highest rank first, from as many zones as there are."""
    if len(members) <= copies:
        return list(members)
    ranked = sorted(members, key=lambda member: _rendezvous_weight(key, member), reverse=True)
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
    write_quorum: int
    read_quorum: int


@dataclass(frozen=True, slots=True)
class KeyPlacement:
    """Who holds one key.

    While a change is under way there are two groups, and what is written or said to be absent needs a quorum
    of each: a write under the placement after the change reaches members of the next set only, and a reader
    that has not received that placement yet must not overlook it.
    """

    members: tuple[StorageMember, ...]
    groups: tuple[ReplicaGroup, ...]

    def has_write_quorum(self, acknowledged: set[str]) -> bool:
        """Whether these replicas make a write quorum of every group."""
        return all(len(group.replica_ids & acknowledged) >= group.write_quorum for group in self.groups)

    def has_read_quorum(self, replied: set[str]) -> bool:
        """Whether what none of these replicas holds has not been acknowledged."""
        return all(len(group.replica_ids & replied) >= group.read_quorum for group in self.groups)


def place_key(key: str, placement: Placement, losses: int) -> KeyPlacement:
    """Return who holds a key; lost members count in the quorums and are never called."""
    groups = []
    members: dict[str, StorageMember] = {}
    for member_set in (placement.current, placement.next):
        if not member_set:
            continue
        sizes = quorum_sizes(len(member_set), losses)
        replicas = [member for member in replicas_for(key, member_set, sizes.copies) if not member.lost]
        replica_ids = frozenset(member.replica_id for member in replicas)
        groups.append(ReplicaGroup(replica_ids, sizes.write, sizes.read))
        for member in replicas:
            members.setdefault(member.replica_id, member)
    return KeyPlacement(tuple(members.values()), tuple(groups))
