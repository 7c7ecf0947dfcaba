"""Quorums of consecutive entries overlap during any voter change."""

from __future__ import annotations

from itertools import chain, combinations

from wheatring.tier.consensus.electorate import change_voters, finish_change, has_quorum
from wheatring.tier.transport.messages_pb2 import Entry, Member


def voter(number: int) -> Member:
    return Member(replica_id=f"v{number}", node=f"n{number}", address=f"a{number}")


THREE = [voter(1), voter(2), voter(3)]


def quorums_of(entry: Entry) -> list[set[str]]:
    """Return all sets of replicas that form a quorum of an entry."""
    replica_ids = sorted({member.replica_id for member in (*entry.voters, *entry.old_voters)})
    subsets = chain.from_iterable(combinations(replica_ids, size) for size in range(len(replica_ids) + 1))
    return [set(subset) for subset in subsets if has_quorum(entry, set(subset))]


def test_quorums_of_consecutive_entries_overlap_in_every_voter_change() -> None:
    """Checks all changes between sets of one to four of five replicas: before, joint and after."""
    numbers = range(5)
    sets = [list(s) for size in range(1, 5) for s in combinations(numbers, size)]
    for before in sets:
        first = Entry(voters=[voter(number) for number in before])
        for after in sets:
            if before == after:
                continue
            joint = Entry(voters=first.voters)
            change_voters(joint, [voter(number) for number in after])
            final = Entry(voters=joint.voters, old_voters=joint.old_voters)
            finish_change(final)
            joint_quorums = quorums_of(joint)
            for other in (first, joint, final):
                for quorum in quorums_of(other):
                    assert all(quorum & joint_quorum for joint_quorum in joint_quorums), (before, after)


def test_new_description_of_the_same_voters_needs_no_joint_entry() -> None:
    entry = Entry(voters=THREE)
    same_voters = [Member(replica_id=f"v{n}", node=f"n{n}", address=f"a{n}", zone="z") for n in (3, 2, 1)]
    change_voters(entry, same_voters)
    assert not entry.old_voters and entry.voters[0].zone == "z"
