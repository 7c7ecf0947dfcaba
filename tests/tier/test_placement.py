"""Placement: quorums overlap under every pair of epochs, and few keys move when members change."""

from __future__ import annotations

from collections.abc import Callable
from itertools import combinations

from hypothesis import given, settings
from hypothesis import strategies as st

from wheatring.controller.storage_membership import StorageReport, complete_retirements, next_placement
from wheatring.placement.key_placement import place_key, quorum_sizes, replicas_for
from wheatring.storage.copy_rules import can_skip_copy, copy_sources_required
from wheatring.transport.messages_pb2 import ControlState, Placement, StorageMember


def members(*numbers: int) -> list[StorageMember]:
    return [
        StorageMember(replica_id=f"r{n}", node=f"s{n}", address=f"a{n}", zone=f"z{n % 3}") for n in numbers
    ]


@given(count=st.integers(1, 9), losses=st.integers(0, 2))
def test_reads_overlap_with_writes(count: int, losses: int) -> None:
    if count < losses + 1:
        return
    figures = quorum_sizes(count, losses)
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


def read_quorums(placement: Placement, key: str, losses: int) -> list[set[str]]:
    """All least sets of members whose replies say that nothing was acknowledged."""
    at = place_key(key, placement, losses)
    return _least_sets([m.replica_id for m in at.members], at.has_read_quorum)


def write_quorums(placement: Placement, key: str, losses: int) -> list[set[str]]:
    """All least sets of members whose replies acknowledge a write."""
    at = place_key(key, placement, losses)
    return _least_sets([m.replica_id for m in at.members], at.has_write_quorum)


def _least_sets(ids: list[str], is_enough: Callable[[set[str]], bool]) -> list[set[str]]:
    found: list[set[str]] = []
    for size in range(len(ids) + 1):
        for chosen in map(set, combinations(ids, size)):
            if is_enough(chosen) and not any(smaller <= chosen for smaller in found):
                found.append(chosen)
    return found


@given(
    old=st.sets(st.integers(0, 6), min_size=3, max_size=5),
    new=st.sets(st.integers(0, 6), min_size=3, max_size=5),
    key=st.text(max_size=6),
)
@settings(max_examples=80)
def test_what_is_written_is_seen_under_the_epochs_beside(old: set[int], new: set[int], key: str) -> None:
    """Reads and writes of two epochs in sequence overlap both ways, whoever has heard of the newer one."""
    before = Placement(epoch=1, current=members(*sorted(old)))
    joint = Placement(epoch=2, current=before.current, next=members(*sorted(new)))
    after = Placement(epoch=3, current=joint.next)
    for one, other in ((before, joint), (joint, joint), (joint, after), (joint, before), (after, joint)):
        for written in write_quorums(one, key, 1):
            assert all(written & read for read in read_quorums(other, key, 1))


@given(
    numbers=st.sets(st.integers(0, 8), min_size=3, max_size=6),
    losses=st.integers(1, 2),
    lost=st.sets(st.integers(0, 5), max_size=2),
    key=st.text(max_size=6),
)
@settings(max_examples=80)
def test_what_was_written_before_a_member_was_lost_is_seen_after(
    numbers: set[int], losses: int, lost: set[int], key: str
) -> None:
    whole = Placement(epoch=1, current=members(*sorted(numbers)))
    lacking = Placement(epoch=2, current=whole.current)
    gone = [member for n, member in enumerate(lacking.current) if n in lost][:losses]
    for member in gone:
        member.lost = True
    names = {member.replica_id for member in gone}
    assert not any(names & {m.replica_id for m in place_key(key, lacking, losses).members} for _ in "x")
    for written in write_quorums(whole, key, losses):
        assert all(written & read for read in read_quorums(lacking, key, losses))


def reported(*numbers: int, whole: int = 0, age: float = 0.1) -> dict[str, StorageReport]:
    return {m.replica_id: StorageReport(m, whole, age) for m in members(*numbers)}


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
    now = reported(2, 3) | {"new": StorageReport(fresh, 0, 0.1)}
    joint = next_placement(state, now, 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"new", "r2", "r3"}
    state.placement.CopyFrom(joint)
    assert next_placement(state, now, 1, 9.0, 9.0) is None  # not whole yet
    whole = reported(2, 3, whole=joint.epoch) | {"new": StorageReport(fresh, joint.epoch, 0.1)}
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
    ending = {"r2": StorageReport(members(2)[0], 0, 0.1, leaving=True)}
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


def joint_state() -> tuple[ControlState, StorageMember]:
    """s1 has lost its disk: the replica `new` is to take the place of r1."""
    fresh = StorageMember(replica_id="new", node="s1", address="a1", zone="z1")
    following = [fresh, *members(2, 3)]
    return state_with(Placement(epoch=2, current=members(1, 2, 3), next=following)), fresh


def test_a_disk_lost_right_after_a_repair_does_not_undo_it() -> None:
    """A second disk goes before the first repair is committed: the copy that was made still counts."""
    state, fresh = joint_state()
    second = StorageMember(replica_id="new2", node="s2", address="a2", zone="z2")
    now = reported(3, whole=2) | {"new": StorageReport(fresh, 2, 0.1), "new2": StorageReport(second, 0, 0.1)}
    done = next_placement(state, now, 1, 9.0, 9.0)
    assert done is not None and not done.next
    assert [(m.replica_id, m.lost) for m in done.current] == [("new", False), ("r2", True), ("r3", False)]
    state.placement.CopyFrom(done)
    joint = next_placement(state, now, 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"new", "new2", "r3"}
    assert copy_sources_required(joint, 1) == 2  # which "new" and r3 are


def test_a_second_disk_lost_during_a_repair_waits_for_it() -> None:
    state, fresh = joint_state()
    second = StorageMember(replica_id="new2", node="s2", address="a2", zone="z2")
    now = reported(3, whole=2) | {"new": StorageReport(fresh, 0, 0.1), "new2": StorageReport(second, 0, 0.1)}
    assert next_placement(state, now, 1, 9.0, 9.0) is None


def test_more_lost_disks_than_are_borne_complete_nothing() -> None:
    state, fresh = joint_state()
    second = StorageMember(replica_id="new2", node="s2", address="a2", zone="z2")
    third = StorageMember(replica_id="new3", node="s3", address="a3", zone="z0")
    now = {
        "new": StorageReport(fresh, 2, 0.1),
        "new2": StorageReport(second, 0, 0.1),
        "new3": StorageReport(third, 0, 0.1),
    }
    done = next_placement(state, now, 1, 9.0, 9.0)
    assert done is None or done.next


def test_a_lost_member_that_is_still_there_comes_back_as_a_new_one() -> None:
    """Even if a member was taken for lost by mistake, it is copied to before it counts again."""
    placement = Placement(epoch=3, current=members(1, 2, 3))
    placement.current[1].lost = True
    joint = next_placement(state_with(placement), reported(1, 2, 3, whole=3), 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r1", "r2", "r3"}
    assert not any(member.lost for member in joint.next)
    assert not can_skip_copy("r2", joint, 1) and can_skip_copy("r1", joint, 1)


def test_an_old_report_of_a_whole_member_completes_a_change() -> None:
    """What it says stays true as long as the disk; waiting for a newer one would undo the other copies."""
    state, fresh = joint_state()
    now = reported(2, 3, whole=2) | {"new": StorageReport(fresh, 2, 25.0)}
    done = next_placement(state, now, 1, 9.0, 9.0)
    assert done is not None and not done.next and not any(member.lost for member in done.current)


def test_a_machine_that_was_emptied_does_not_come_back() -> None:
    """Between the word that it is empty and its removal, its replica is still there and still speaks."""
    state = state_with(Placement(epoch=5, current=members(2, 3, 4)))
    state.retirements.add(node="s1", replica_id="r1", completed=True)
    assert next_placement(state, reported(1, 2, 3, 4), 1, 9.0, 9.0) is None


def test_a_machine_being_retired_is_not_taken_in_again_with_another_disk() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    state.retirements.add(node="s1", replica_id="r1")
    fresh = StorageMember(replica_id="new", node="s1", address="a1", zone="z1")
    joint = next_placement(state, reported(2, 3, 4) | {"new": StorageReport(fresh, 0, 0.1)}, 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r2", "r3", "r4"}
    state.placement.CopyFrom(joint)
    assert not complete_retirements(state, ())  # as long as its replica stands in the current set


def test_a_member_being_retired_stays_until_another_is_there_in_its_place() -> None:
    """The one that was to take over is lost after the order was accepted: nobody may leave then."""
    state = state_with(Placement(epoch=1, current=members(1, 2, 3)))
    state.retirements.add(node="s1", replica_id="r1")
    assert next_placement(state, reported(1, 2, 3), 1, 9.0, 9.0) is None
    joint = next_placement(state, reported(1, 2, 3, 4), 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r2", "r3", "r4"}


def test_a_lost_member_leaves_a_set_in_which_enough_others_are() -> None:
    """Its keys then get their copies again, and only after that a retirement of its machine is complete."""
    state = state_with(Placement(epoch=3, current=members(1, 2, 3, 4)))
    state.placement.current[2].lost = True
    state.retirements.add(node="s3", replica_id="r3")
    assert not complete_retirements(state, ())
    joint = next_placement(state, reported(1, 2, 4), 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r1", "r2", "r4"}
    three = state_with(Placement(epoch=3, current=members(1, 2, 3)))
    three.placement.current[2].lost = True
    assert next_placement(three, reported(1, 2), 1, 9.0, 9.0) is None  # nobody could take its place
