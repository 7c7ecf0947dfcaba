"""The voters of an entry, and which replicas form a quorum of it.

While the voters change, an entry names two sets, and a quorum needs a majority of each (joint consensus, Raft
section 6). Any quorum of one entry therefore overlaps with any quorum of the entry before it and of the entry
behind it, whatever the two sets are and whichever replicas have been lost.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from wheatring.tier.transport.messages_pb2 import Entry, Member


def member_ids(members: Iterable[Member]) -> set[str]:
    """Return the replica identities of members."""
    return {member.replica_id for member in members}


def is_joint(entry: Entry) -> bool:
    """Tell whether the entry belongs to a voter change that is in progress."""
    return bool(entry.old_voters)


def all_voters(entry: Entry) -> list[Member]:
    """Return the voters of both sets, each once, the old set first."""
    by_id = {member.replica_id: member for member in (*entry.old_voters, *entry.voters)}
    return list(by_id.values())


def majority(count: int) -> int:
    """Return the smallest number of voters that is more than half of `count`."""
    return count // 2 + 1


def has_quorum(entry: Entry, replica_ids: Collection[str]) -> bool:
    """Tell whether these replicas are a majority of each voter set of an entry."""
    return all(
        len(member_ids(voters) & set(replica_ids)) >= majority(len(voters)) for voters in _voter_sets(entry)
    )


def quorum_value(entry: Entry, value_of: Callable[[str], int]) -> int:
    """Return the largest number that a quorum of an entry has reached.

    Parameters
    ----------
    entry
        The entry whose voters count.
    value_of
        Gives the number that one replica, named by its identity, has reached.
    """
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
    """Replace the voters of an entry that names the present ones.

    Where other replicas come to vote, the present voters stay as the entry's old set until it is committed,
    and the entry behind it ends the change. New descriptions of the same replicas need no joint entry.
    """
    present = list(entry.voters)
    wanted = list(voters)
    del entry.voters[:]
    entry.voters.extend(wanted)
    if member_ids(present) != member_ids(wanted):
        entry.old_voters.extend(present)


def finish_change(entry: Entry) -> None:
    """Drop the old voter set from an entry that follows a committed joint one."""
    del entry.old_voters[:]
