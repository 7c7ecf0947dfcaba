"""The quorums of an entry: those of entries in sequence overlap, so any change of the voters is safe."""

from __future__ import annotations

from itertools import chain, combinations

from wheatring.tier.consensus.electorate import change_voters, finish_change, has_quorum
from wheatring.tier.transport.messages_pb2 import Entry, Member


def voter(number: int) -> Member:
    return Member(replica_id=f"v{number}", node=f"n{number}", address=f"a{number}")


THREE = [voter(1), voter(2), voter(3)]


def quorums_of(entry: Entry) -> list[set[str]]:
    """All sets of replicas that are a quorum of an entry."""
    everyone = sorted({member.replica_id for member in (*entry.voters, *entry.old_voters)})
    subsets = chain.from_iterable(combinations(everyone, size) for size in range(len(everyone) + 1))
    return [set(subset) for subset in subsets if has_quorum(entry, set(subset))]


def test_quorums_of_entries_in_sequence_overlap_whatever_the_change() -> None:
    """Every change between sets of up to four of five replicas: before, joint and after."""
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
            in_joint = quorums_of(joint)
            for other in (first, joint, final):
                for quorum in quorums_of(other):
                    assert all(quorum & both for both in in_joint), (before, after)


def test_a_description_of_the_same_voters_is_no_change() -> None:
    entry = Entry(voters=THREE)
    described = [Member(replica_id=f"v{n}", node=f"n{n}", address=f"a{n}", zone="z") for n in (3, 2, 1)]
    change_voters(entry, described)
    assert not entry.old_voters and entry.voters[0].zone == "z"
