"""Who is to vote, and why any change of the voters is safe: quorums of entries in sequence overlap."""

from __future__ import annotations

from itertools import chain, combinations

from hypothesis import given
from hypothesis import strategies as st

from wheatring.consensus.electorate import change_voters, finish_change, has_quorum
from wheatring.controller.voter_selection import Candidate, next_voters
from wheatring.transport.messages_pb2 import Entry, Member


def voter(number: int) -> Member:
    return Member(replica_id=f"v{number}", node=f"n{number}", address=f"a{number}")


def waiting(*numbers: int) -> list[Candidate]:
    return [Candidate(voter(number), True) for number in numbers]


def ids(members: list[Member] | None) -> set[str]:
    assert members is not None
    assert len({member.replica_id for member in members}) == len(members)
    return {member.replica_id for member in members}


THREE = [voter(1), voter(2), voter(3)]


def test_a_lost_voter_is_replaced_at_its_address() -> None:
    fresh = Member(replica_id="new", node="n2", address="a2")
    changed = next_voters("v1", THREE, [Candidate(fresh, True)], {"v2": 0.3}, 3)
    assert ids(changed) == {"v1", "v3", "new"}
    assert next_voters("v1", THREE, [Candidate(fresh, False)], {"v2": 9.0}, 3) is None


def test_a_silent_voter_goes_only_for_one_that_waits() -> None:
    assert next_voters("v1", THREE, [], {"v2": 9.0}, 3) is None
    assert ids(next_voters("v1", THREE, waiting(4), {"v2": 9.0, "v3": 0.1}, 3)) == {"v1", "v3", "v4"}
    assert next_voters("v1", THREE, waiting(4), {"v2": 0.2, "v3": 0.1}, 3) is None


def test_there_is_no_interval_with_fewer_voters_than_wanted() -> None:
    """The change that replaces a voter never passes through a set in which any further loss stops all."""
    for silent in ({"v2": 9.0}, {"v2": 9.0, "v3": 9.0}, {}):
        changed = next_voters("v1", THREE, waiting(4, 5), silent, 3, {"n3"} if not silent else ())
        assert changed is not None and len(changed) >= 3


def test_a_retired_machine_gives_its_vote_to_another() -> None:
    assert ids(next_voters("v1", THREE, waiting(4), {}, 3, {"n2"})) == {"v1", "v3", "v4"}
    assert next_voters("v1", THREE, [], {}, 3, {"n2"}) is None  # nobody could take its place
    assert ids(next_voters("v1", [*THREE, voter(4)], [], {}, 3, {"n2"})) == {"v1", "v3", "v4"}


def test_missing_voters_are_added_at_once() -> None:
    assert ids(next_voters("v1", THREE, waiting(4, 5, 6), {}, 5)) == {"v1", "v2", "v3", "v4", "v5"}


@given(
    count=st.integers(1, 5),
    fresh=st.sets(st.integers(6, 9)),
    at=st.sets(st.integers(0, 4)),
    silent=st.sets(st.integers(0, 4)),
    leaving=st.sets(st.integers(0, 4)),
    target=st.sampled_from([1, 3, 5]),
)
def test_a_change_never_takes_a_useful_voter_and_never_shrinks_below_the_target(
    count: int, fresh: set[int], at: set[int], silent: set[int], leaving: set[int], target: int
) -> None:
    voters = [voter(number) for number in range(count)]
    candidates = waiting(*fresh) + [
        Candidate(Member(replica_id=f"w{number}", node=f"n{number}", address=f"a{number}"), True)
        for number in at
    ]
    nodes = {f"n{number}" for number in leaving}
    unheard = {f"v{number}": 9.0 for number in silent if number}
    changed = next_voters("v0", voters, candidates, unheard, target, nodes)
    if changed is None:
        return
    assert len(ids(changed)) >= min(target, count)
    superseded = {candidate.member.address for candidate in candidates}
    for member in voters:
        useful = member.replica_id not in unheard and member.node not in nodes
        if useful and member.address not in superseded:
            assert member in changed
    if "a0" not in superseded and "n0" not in nodes:
        assert voters[0] in changed


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
