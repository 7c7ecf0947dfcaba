"""The selection of voters: replacements, additions and removals."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wheatring.tier.controller.voter_selection import Candidate, next_voters
from wheatring.tier.transport.messages_pb2 import Member


def voter(number: int) -> Member:
    return Member(replica_id=f"v{number}", node=f"n{number}", address=f"a{number}")


def caught_up_candidates(*numbers: int) -> list[Candidate]:
    return [Candidate(voter(number), True) for number in numbers]


def ids(members: list[Member] | None) -> set[str]:
    assert members is not None
    assert len({member.replica_id for member in members}) == len(members)
    return {member.replica_id for member in members}


THREE = [voter(1), voter(2), voter(3)]


def test_voter_with_lost_disk_is_replaced_by_new_replica_at_its_address() -> None:
    successor = Member(replica_id="new", node="n2", address="a2")
    changed = next_voters("v1", THREE, [Candidate(successor, True)], {"v2": 0.3}, 3)
    assert ids(changed) == {"v1", "v3", "new"}
    assert next_voters("v1", THREE, [Candidate(successor, False)], {"v2": 9.0}, 3) is None


def test_unreachable_voter_is_replaced_only_by_an_available_candidate() -> None:
    assert next_voters("v1", THREE, [], {"v2": 9.0}, 3) is None
    assert ids(next_voters("v1", THREE, caught_up_candidates(4), {"v2": 9.0, "v3": 0.1}, 3)) == {
        "v1",
        "v3",
        "v4",
    }
    assert next_voters("v1", THREE, caught_up_candidates(4), {"v2": 0.2, "v3": 0.1}, 3) is None


def test_replacement_never_leaves_fewer_voters_than_the_target() -> None:
    """A smaller interim set would lose its quorum with one further failure."""
    for unreachable in ({"v2": 9.0}, {"v2": 9.0, "v3": 9.0}, {}):
        changed = next_voters(
            "v1", THREE, caught_up_candidates(4, 5), unreachable, 3, {"n3"} if not unreachable else ()
        )
        assert changed is not None and len(changed) >= 3


def test_voter_on_a_retired_machine_is_replaced_or_removed() -> None:
    assert ids(next_voters("v1", THREE, caught_up_candidates(4), {}, 3, {"n2"})) == {"v1", "v3", "v4"}
    assert next_voters("v1", THREE, [], {}, 3, {"n2"}) is None  # no replacement is available
    assert ids(next_voters("v1", [*THREE, voter(4)], [], {}, 3, {"n2"})) == {"v1", "v3", "v4"}


def test_all_missing_voters_are_added_in_one_change() -> None:
    assert ids(next_voters("v1", THREE, caught_up_candidates(4, 5, 6), {}, 5)) == {
        "v1",
        "v2",
        "v3",
        "v4",
        "v5",
    }


@given(
    count=st.integers(1, 5),
    new_numbers=st.sets(st.integers(6, 9)),
    successor_numbers=st.sets(st.integers(0, 4)),
    unreachable=st.sets(st.integers(0, 4)),
    leaving=st.sets(st.integers(0, 4)),
    target=st.sampled_from([1, 3, 5]),
)
def test_change_keeps_usable_voters_and_does_not_shrink_below_the_target(
    count: int,
    new_numbers: set[int],
    successor_numbers: set[int],
    unreachable: set[int],
    leaving: set[int],
    target: int,
) -> None:
    voters = [voter(number) for number in range(count)]
    candidates = caught_up_candidates(*new_numbers) + [
        Candidate(Member(replica_id=f"w{number}", node=f"n{number}", address=f"a{number}"), True)
        for number in successor_numbers
    ]
    nodes = {f"n{number}" for number in leaving}
    seconds_since_contact = {f"v{number}": 9.0 for number in unreachable if number}
    changed = next_voters("v0", voters, candidates, seconds_since_contact, target, nodes)
    if changed is None:
        return
    assert len(ids(changed)) >= min(target, count)
    superseded = {candidate.member.address for candidate in candidates}
    for member in voters:
        is_usable = member.replica_id not in seconds_since_contact and member.node not in nodes
        if is_usable and member.address not in superseded:
            assert member in changed
    if "a0" not in superseded and "n0" not in nodes:
        assert voters[0] in changed
