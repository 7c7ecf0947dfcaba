"""Who votes under an entry, and which replicas are a quorum of it.

While the voters change, an entry names two sets, and a quorum needs a majority of each (joint consensus, Raft
section 6). Any quorum of one entry then overlaps with any quorum of the entry before it and of the one behind
it, whatever the two sets are and whichever replicas have been lost.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from wheatring.transport.messages_pb2 import Entry, Member


def member_ids(members: Iterable[Member]) -> set[str]:
    """The identities of members."""
    return {member.replica_id for member in members}


def is_joint(entry: Entry) -> bool:
    """Whether the entry belongs to a change of the voters that is under way."""
    return bool(entry.old_voters)


def all_voters(entry: Entry) -> list[Member]:
    """The members of both sets, each once."""
    known = {member.replica_id: member for member in (*entry.old_voters, *entry.voters)}
    return list(known.values())


def majority(count: int) -> int:
    """The least number of so many voters that is more than half."""
    return count // 2 + 1


def has_quorum(entry: Entry, replica_ids: Collection[str]) -> bool:
    """Whether these replicas are a majority of each set of voters of an entry."""
    return all(
        len(member_ids(voters) & set(replica_ids)) >= majority(len(voters)) for voters in _voter_sets(entry)
    )


def quorum_value(entry: Entry, value_of: Callable[[str], int]) -> int:
    """The largest number that a quorum has reached; `value_of` gives the number that one replica has."""
    reached = []
    for voters in _voter_sets(entry):
        values = sorted((value_of(voter.replica_id) for voter in voters), reverse=True)
        reached.append(values[majority(len(values)) - 1])
    return min(reached, default=0)


def _voter_sets(entry: Entry) -> list[list[Member]]:
    sets = [list(entry.voters)]
    if is_joint(entry):
        sets.append(list(entry.old_voters))
    return sets


def change_voters(entry: Entry, voters: Iterable[Member]) -> None:
    """Name new voters in an entry that holds the present ones. Where other replicas come to vote, the present
    ones stay beside them until the entry is committed, and the one behind it ends the change.
    """
    present = list(entry.voters)
    wanted = list(voters)
    del entry.voters[:]
    entry.voters.extend(wanted)
    if member_ids(present) != member_ids(wanted):
        entry.old_voters.extend(present)


def finish_change(entry: Entry) -> None:
    """Drop the set before from an entry that follows a committed joint one."""
    del entry.old_voters[:]
