"""Placement: quorums overlap under every pair of epochs, and few keys move when members change."""

from __future__ import annotations

from itertools import combinations

from hypothesis import given, settings
from hypothesis import strategies as st

from wheatring.controller.members import Reported, complete_retirements, next_placement
from wheatring.controller.voters import Candidate, next_voters
from wheatring.placement.placement import place, quorums, replicas_for
from wheatring.transport.messages_pb2 import ControlState, Member, Placement, StorageMember


def members(*numbers: int) -> list[StorageMember]:
    return [
        StorageMember(replica_id=f"r{n}", node=f"s{n}", address=f"a{n}", zone=f"z{n % 3}") for n in numbers
    ]


@given(count=st.integers(1, 9), losses=st.integers(0, 2))
def test_reads_overlap_with_writes(count: int, losses: int) -> None:
    if count < losses + 1:
        return
    figures = quorums(count, losses)
    assert figures.write == losses + 1
    assert figures.read + figures.write > figures.copies
    assert figures.read <= figures.copies
    if count >= 2 * losses + 1:
        assert figures.write + losses <= figures.copies  # a write goes through with that many lost
        assert figures.read + losses <= figures.copies


@given(key=st.text(max_size=12), count=st.integers(3, 9))
def test_copies_stand_in_different_zones(key: str, count: int) -> None:
    chosen = replicas_for(key, members(*range(count)), 3)
    assert len({member.zone for member in chosen}) == min(3, len({m.zone for m in members(*range(count))}))
    assert len({member.replica_id for member in chosen}) == 3


def test_a_member_that_comes_takes_only_its_share() -> None:
    before, after = members(*range(8)), members(*range(9))
    moved = 0
    for number in range(600):
        old = {m.replica_id for m in replicas_for(f"k{number}", before, 3)}
        new = {m.replica_id for m in replicas_for(f"k{number}", after, 3)}
        moved += len(new - old)
    assert moved < 600 * 3 * 0.25  # a ninth would be its even share


@given(
    old=st.sets(st.integers(0, 6), min_size=3, max_size=5),
    new=st.sets(st.integers(0, 6), min_size=3, max_size=5),
    key=st.text(max_size=6),
)
@settings(max_examples=80)
def test_a_write_in_a_joint_phase_is_seen_by_both_epochs(old: set[int], new: set[int], key: str) -> None:
    joint = Placement(epoch=2, current=members(*sorted(old)), next=members(*sorted(new)))
    at = place(key, joint, 1)
    readers_before = place(key, Placement(epoch=2, current=joint.current), 1)
    readers_after = place(key, Placement(epoch=3, current=joint.next), 1)
    ids = [member.replica_id for member in at.writers]
    for size in range(1, len(ids) + 1):
        for chosen in combinations(ids, size):
            if not at.is_written(set(chosen)):
                continue
            for reading in (readers_before, readers_after):
                names = [member.replica_id for member in reading.readers]
                for quorum in combinations(names, reading.read_quorum):
                    assert set(quorum) & set(chosen)


def reported(*numbers: int, whole: int = 0, age: float = 0.1) -> dict[str, Reported]:
    return {m.replica_id: Reported(m, whole, age) for m in members(*numbers)}


def state_with(placement: Placement) -> ControlState:
    state = ControlState()
    state.placement.CopyFrom(placement)
    return state


def test_the_first_placement_waits_for_all_that_are_needed() -> None:
    assert next_placement(ControlState(), reported(1, 2), 1, 0.1, 9.0) is None
    assert next_placement(ControlState(), reported(1, 2), 1, 5.0, 9.0) is not None
    first = next_placement(ControlState(), reported(1, 2, 3), 1, 0.1, 9.0)
    assert first is not None and len(first.current) == 3


def test_a_lost_disk_is_replaced_by_the_replica_that_came_in_its_place() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3)))
    fresh = StorageMember(replica_id="new", node="s1", address="a1", zone="z1")
    now = reported(2, 3) | {"new": Reported(fresh, 0, 0.1)}
    joint = next_placement(state, now, 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"new", "r2", "r3"}
    state.placement.CopyFrom(joint)
    assert next_placement(state, now, 1, 9.0, 9.0) is None  # not whole yet
    whole = reported(2, 3, whole=joint.epoch) | {"new": Reported(fresh, joint.epoch, 0.1)}
    done = next_placement(state, whole, 1, 9.0, 9.0)
    assert done is not None and not done.next and {m.replica_id for m in done.current} == {"new", "r2", "r3"}


def test_a_silent_member_stays_while_nobody_could_take_its_place() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3)))
    assert next_placement(state, reported(2, 3), 1, 9.0, 9.0) is None


def test_a_member_that_is_gone_leaves_where_enough_others_are() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    now = reported(1, 3, 4) | reported(2, age=2.5)
    assert next_placement(state, now, 1, 9.0, 9.0) is None
    smaller = next_placement(state, reported(1, 3, 4) | reported(2, age=3.5), 1, 9.0, 9.0)
    assert smaller is not None and {m.replica_id for m in smaller.next} == {"r1", "r3", "r4"}


def test_a_new_leader_takes_nobody_for_gone_that_it_has_not_heard_yet() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    assert next_placement(state, reported(1, 3, 4), 1, 9.0, 0.2) is None
    assert next_placement(state, reported(1, 3, 4) | reported(2, age=20.0), 1, 9.0, 0.2) is None


def test_a_member_that_ends_hands_over_where_enough_others_are() -> None:
    ending = {"r2": Reported(members(2)[0], 0, 0.1, leaving=True)}
    four = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    smaller = next_placement(four, reported(1, 3, 4) | ending, 1, 9.0, 9.0)
    assert smaller is not None and {m.replica_id for m in smaller.next} == {"r1", "r3", "r4"}
    three = state_with(Placement(epoch=1, current=members(1, 2, 3)))
    assert next_placement(three, reported(1, 3) | ending, 1, 9.0, 9.0) is None


def test_a_retirement_is_complete_once_its_replica_is_out() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    state.retirements.add(node="s1", replica_id="r1")
    joint = next_placement(state, reported(1, 2, 3, 4), 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r2", "r3", "r4"}
    state.placement.CopyFrom(joint)
    complete_retirements(state, ())
    assert not state.retirements[0].completed
    done = next_placement(state, reported(1, 2, 3, 4, whole=joint.epoch), 1, 9.0, 9.0)
    assert done is not None
    state.placement.CopyFrom(done)
    complete_retirements(state, ())
    assert state.retirements[0].completed


def voter(number: int) -> Member:
    return Member(replica_id=f"v{number}", node=f"n{number}", address=f"a{number}")


def test_a_lost_voter_is_replaced_at_its_address_in_one_step() -> None:
    fresh = Member(replica_id="new", node="n2", address="a2")
    voters = [voter(1), voter(2), voter(3)]
    changed = next_voters("v1", voters, [Candidate(fresh, True)], {"v2": 0.3}, 3)
    assert changed is not None and {v.replica_id for v in changed} == {"v1", "v3", "new"}
    assert next_voters("v1", voters, [Candidate(fresh, False)], {"v2": 9.0}, 3) is None


def test_a_silent_voter_is_removed_only_for_one_that_waits() -> None:
    voters = [voter(1), voter(2), voter(3)]
    assert next_voters("v1", voters, [], {"v2": 9.0}, 3) is None
    without = next_voters("v1", voters, [Candidate(voter(4), True)], {"v2": 9.0, "v3": 0.1}, 3)
    assert without == [voter(1), voter(3)]
    assert next_voters("v1", without, [Candidate(voter(4), True)], {}, 3) == [voter(1), voter(3), voter(4)]


def test_a_retired_machine_gives_its_vote_to_another_first() -> None:
    voters = [voter(1), voter(2), voter(3)]
    more = next_voters("v1", voters, [Candidate(voter(4), True)], {}, 3, {"n2"})
    assert more == [*voters, voter(4)]
    assert next_voters("v1", more, [], {}, 3, {"n2"}) == [voter(1), voter(3), voter(4)]
    assert next_voters("v1", voters, [], {}, 3, {"n2"}) is None  # nobody could take its place


def test_each_change_of_voters_overlaps_with_the_one_before() -> None:
    for count in range(1, 7):
        before = [voter(n) for n in range(count)]
        for after in ([*before, voter(9)], before[1:]):
            if not after:
                continue
            majority_before, majority_after = count // 2 + 1, len(after) // 2 + 1
            shared = len({v.replica_id for v in before} | {v.replica_id for v in after})
            assert majority_before + majority_after > shared
