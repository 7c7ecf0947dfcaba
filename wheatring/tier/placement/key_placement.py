"""Computes which storage members hold the records of a key, and which quorums its reads and writes need.

For each key, members are ranked by rendezvous hashing (Thaler and Ravishankar, 1998) and chosen from
different zones where possible. A membership change therefore only moves keys of the members that joined or
left. While a placement has a `next` set, writes need quorums of both sets, and so do reads that find nothing.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from wheatring.tier.transport.messages_pb2 import Placement, StorageMember


@dataclass(frozen=True, slots=True)
class QuorumSizes:
    """The number of copies of each record, and the number of replies that a write and a read need."""

    copies: int
    write: int
    read: int


def quorum_sizes(member_count: int, losses: int) -> QuorumSizes:
    """Return the sizes for a set of this many members, of which `losses` may be lost simultaneously.

    A write is acknowledged once it is on `losses + 1` disks. The read quorum of a read that finds nothing
    overlaps with the write quorum of every acknowledged write.
    """
    copies = min(member_count, 2 * losses + 1)
    write = losses + 1
    return QuorumSizes(copies=copies, write=write, read=max(1, copies - write + 1))


def _rendezvous_weight(key: str, member: StorageMember) -> bytes:
    return hashlib.blake2b(f"{key}\x00{member.replica_id}".encode(), digest_size=8).digest()


def replicas_for(key: str, members: Sequence[StorageMember], copies: int) -> list[StorageMember]:
    """Return the members that hold a key, from as many zones as possible and in order of rank per zone."""
    if len(members) <= copies:
        return list(members)
    ranked = sorted(members, key=lambda member: _rendezvous_weight(key, member), reverse=True)
    chosen: list[StorageMember] = []
    zones: set[str] = set()
    for member in ranked:
        if member.zone not in zones and len(chosen) < copies:
            zones.add(member.zone)
            chosen.append(member)
    chosen_ids = {member.replica_id for member in chosen}
    for member in ranked:
        if len(chosen) >= copies:
            break
        if member.replica_id not in chosen_ids:
            chosen.append(member)
    return chosen


@dataclass(frozen=True, slots=True)
class ReplicaGroup:
    """The members of one set that hold one key, and the sizes of their quorums."""

    replica_ids: frozenset[str]
    write_quorum: int
    read_quorum: int


@dataclass(frozen=True, slots=True)
class KeyPlacement:
    """The members that hold one key, and their quorums.

    During a membership change there are two groups, and a write needs a quorum of each, as does a read that
    finds nothing. A write under the placement that follows the change reaches only members of the next set,
    and a reader that has not received that placement yet must not miss it.
    """

    members: tuple[StorageMember, ...]
    groups: tuple[ReplicaGroup, ...]

    def has_write_quorum(self, acknowledged: set[str]) -> bool:
        """Whether the replicas that acknowledged a write form a write quorum of every group."""
        return all(len(group.replica_ids & acknowledged) >= group.write_quorum for group in self.groups)

    def has_read_quorum(self, replied: set[str]) -> bool:
        """Whether a record that none of these replicas holds cannot have been acknowledged."""
        return all(len(group.replica_ids & replied) >= group.read_quorum for group in self.groups)


def has_replies_of_all_but(losses: int, placement: Placement, replied: set[str]) -> bool:
    """Whether at most `losses` members of each set have not replied.

    Then any record that has been acknowledged, whatever its key, is on one of the replicas that have replied.
    """
    member_sets = [members for members in (placement.current, placement.next) if members]
    return all(
        sum(not member.lost and member.replica_id in replied for member in members) >= len(members) - losses
        for members in member_sets
    )


def place_key(key: str, placement: Placement, losses: int) -> KeyPlacement:
    """Return the placement of a key; lost members count towards the quorum sizes but are never called."""
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
