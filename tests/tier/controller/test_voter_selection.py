"""The selection of voters: who is replaced, added and removed."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wheatring.tier.controller.voter_selection import Candidate, next_voters
from wheatring.tier.transport.messages_pb2 import Member


def voter(number: int) -> Member:
    return Member(replica_id=f"v{number}", node=f"n{number}", address=f"a{number}")


def candidates_of(*numbers: int) -> list[Candidate]:
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


def test_a_silent_voter_is_replaced_only_where_another_one_waits() -> None:
    assert next_voters("v1", THREE, [], {"v2": 9.0}, 3) is None
    assert ids(next_voters("v1", THREE, candidates_of(4), {"v2": 9.0, "v3": 0.1}, 3)) == {"v1", "v3", "v4"}
    assert next_voters("v1", THREE, candidates_of(4), {"v2": 0.2, "v3": 0.1}, 3) is None


def test_there_is_no_interval_with_fewer_voters_than_wanted() -> None:
    """The change that replaces a voter never passes through a set in which any further loss stops all."""
    for silent in ({"v2": 9.0}, {"v2": 9.0, "v3": 9.0}, {}):
        changed = next_voters("v1", THREE, candidates_of(4, 5), silent, 3, {"n3"} if not silent else ())
        assert changed is not None and len(changed) >= 3


def test_a_retired_machine_gives_its_vote_to_another() -> None:
    assert ids(next_voters("v1", THREE, candidates_of(4), {}, 3, {"n2"})) == {"v1", "v3", "v4"}
    assert next_voters("v1", THREE, [], {}, 3, {"n2"}) is None  # nobody could take its place
    assert ids(next_voters("v1", [*THREE, voter(4)], [], {}, 3, {"n2"})) == {"v1", "v3", "v4"}


def test_missing_voters_are_added_at_once() -> None:
    assert ids(next_voters("v1", THREE, candidates_of(4, 5, 6), {}, 5)) == {"v1", "v2", "v3", "v4", "v5"}


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
    candidates = candidates_of(*fresh) + [
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
