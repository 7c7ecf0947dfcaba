"""Which storage members hold the records of a key, and how many of them have to answer.

Members are ranked for each key by rendezvous hashing, taken from different zones first, so a change of the
members moves only the keys of those that came or went. While a placement has a `next` set, writes need
quorums of both sets."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from wheatring.transport.messages_pb2 import Placement, StorageMember


@dataclass(frozen=True, slots=True)
class Quorums:
    """How many copies there are of each record, and how many replies a write and a read need."""

    copies: int
    write: int
    read: int


def quorums(members: int, losses: int) -> Quorums:
    """For so many members, where `losses` of them may be gone at one time.

    A write stands on `losses + 1` disks. A read that finds nothing overlaps with every write that was
    acknowledged."""
    copies = min(members, 2 * losses + 1)
    write = losses + 1
    return Quorums(copies=copies, write=write, read=max(1, copies - write + 1))


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
class KeyPlacement:
    """Who holds one key: `groups` of members, each of which needs its own write quorum."""

    readers: tuple[StorageMember, ...]
    read_quorum: int
    groups: tuple[tuple[frozenset[str], int], ...]  # replica ids, and how many of them have to acknowledge
    writers: tuple[StorageMember, ...]

    def is_written(self, acknowledged: set[str]) -> bool:
        """Whether these replicas make a write quorum of every group."""
        return all(len(group & acknowledged) >= needed for group, needed in self.groups)


def place(key: str, placement: Placement, losses: int) -> KeyPlacement:
    """Who holds a key under a placement."""
    current = quorums(len(placement.current), losses)
    readers = replicas_for(key, placement.current, current.copies)
    groups = [(frozenset(member.replica_id for member in readers), current.write)]
    writers = {member.replica_id: member for member in readers}
    if placement.next:
        following = quorums(len(placement.next), losses)
        chosen = replicas_for(key, placement.next, following.copies)
        groups.append((frozenset(member.replica_id for member in chosen), following.write))
        writers.update((member.replica_id, member) for member in chosen)
    return KeyPlacement(tuple(readers), current.read, tuple(groups), tuple(writers.values()))
