"""The voter sets of an entry, and its quorums.

During a voter change an entry has two voter sets, and a quorum needs a majority of each (joint consensus,
section 6 of the Raft paper). Every quorum of an entry therefore overlaps with every quorum of the entries
directly before and after it, for any two sets and any loss of replicas.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from wheatring.tier.transport.messages_pb2 import Entry, Member


def member_ids(members: Iterable[Member]) -> set[str]:
    """Return the replica identities of members."""
    return {member.replica_id for member in members}


def is_joint(entry: Entry) -> bool:
    """Whether the entry is part of a voter change in progress."""
    return bool(entry.old_voters)


def all_voters(entry: Entry) -> list[Member]:
    """Return the voters of both sets without duplicates, the old set first."""
    by_id = {member.replica_id: member for member in (*entry.old_voters, *entry.voters)}
    return list(by_id.values())


def majority(count: int) -> int:
    """Return the smallest number of voters that is a majority of `count`."""
    return count // 2 + 1


def has_quorum(entry: Entry, replica_ids: Collection[str]) -> bool:
    """Whether these replicas include a majority of each voter set of an entry."""
    return all(
        len(member_ids(voters) & set(replica_ids)) >= majority(len(voters)) for voters in _voter_sets(entry)
    )


def quorum_value(entry: Entry, value_of: Callable[[str], int]) -> int:
    """Return the largest value that every replica of some quorum of an entry has reached.

    Parameters
    ----------
    entry
        The entry that names the voters.
    value_of
        Returns the value that a replica has reached, by its identity.
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
    """Replace the voters of an entry that has been created with the current ones.

    If the set of replicas changes, the entry becomes a joint one: the current voters are kept as its old set,
    and the next entry after its commit ends the change. If only descriptions of the same replicas change, no
    joint entry is needed.
    """
    current = list(entry.voters)
    requested = list(voters)
    del entry.voters[:]
    entry.voters.extend(requested)
    if member_ids(current) != member_ids(requested):
        entry.old_voters.extend(current)


def finish_change(entry: Entry) -> None:
    """Remove the old voter set from an entry that follows a committed joint entry."""
    del entry.old_voters[:]
