"""The storage membership: which replicas are to store records, and how one set follows another."""

from __future__ import annotations

from tests.tier.placement.storage_members import members
from wheatring.tier.controller.storage_membership import StorageReport, complete_retirements, next_placement
from wheatring.tier.storage.copy_rules import can_skip_copy, copy_sources_required
from wheatring.tier.transport.messages_pb2 import ControlState, Placement, StorageMember


def reports_of(*numbers: int, complete_epoch: int = 0, age: float = 0.1) -> dict[str, StorageReport]:
    return {m.replica_id: StorageReport(m, complete_epoch, age) for m in members(*numbers)}


def state_with(placement: Placement) -> ControlState:
    state = ControlState()
    state.placement.CopyFrom(placement)
    return state


def test_the_first_placement_waits_for_all_that_are_needed() -> None:
    assert next_placement(ControlState(), reports_of(1, 2), 1, 0.1, 9.0) is None
    assert next_placement(ControlState(), reports_of(1, 2), 1, 5.0, 9.0) is not None
    first = next_placement(ControlState(), reports_of(1, 2, 3), 1, 0.1, 9.0)
    assert first is not None and len(first.current) == 3


def test_a_lost_disk_is_replaced_by_the_replica_that_came_in_its_place() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3)))
    fresh = StorageMember(replica_id="new", node="s1", address="a1", zone="z1")
    now = reports_of(2, 3) | {"new": StorageReport(fresh, 0, 0.1)}
    joint = next_placement(state, now, 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"new", "r2", "r3"}
    state.placement.CopyFrom(joint)
    assert next_placement(state, now, 1, 9.0, 9.0) is None  # not whole yet
    whole = reports_of(2, 3, complete_epoch=joint.epoch) | {"new": StorageReport(fresh, joint.epoch, 0.1)}
    done = next_placement(state, whole, 1, 9.0, 9.0)
    assert done is not None and not done.next and {m.replica_id for m in done.current} == {"new", "r2", "r3"}


def test_an_unheard_member_stays_while_no_replica_could_take_its_place() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3)))
    assert next_placement(state, reports_of(2, 3), 1, 9.0, 9.0) is None


def test_a_lost_member_is_removed_where_enough_others_remain() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    now = reports_of(1, 3, 4) | reports_of(2, age=2.5)
    assert next_placement(state, now, 1, 9.0, 9.0) is None
    smaller = next_placement(state, reports_of(1, 3, 4) | reports_of(2, age=3.5), 1, 9.0, 9.0)
    assert smaller is not None and {m.replica_id for m in smaller.next} == {"r1", "r3", "r4"}


def test_a_new_leader_removes_no_member_that_it_has_not_heard_from_yet() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    assert next_placement(state, reports_of(1, 3, 4), 1, 9.0, 0.2) is None
    assert next_placement(state, reports_of(1, 3, 4) | reports_of(2, age=20.0), 1, 9.0, 0.2) is None


def test_a_member_that_shuts_down_hands_over_where_enough_others_remain() -> None:
    ending = {"r2": StorageReport(members(2)[0], 0, 0.1, leaving=True)}
    four = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    smaller = next_placement(four, reports_of(1, 3, 4) | ending, 1, 9.0, 9.0)
    assert smaller is not None and {m.replica_id for m in smaller.next} == {"r1", "r3", "r4"}
    three = state_with(Placement(epoch=1, current=members(1, 2, 3)))
    assert next_placement(three, reports_of(1, 3) | ending, 1, 9.0, 9.0) is None


def test_a_retirement_is_complete_once_its_replica_is_no_member() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    state.retirements.add(node="s1", replica_id="r1")
    joint = next_placement(state, reports_of(1, 2, 3, 4), 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r2", "r3", "r4"}
    state.placement.CopyFrom(joint)
    complete_retirements(state, ())
    assert not state.retirements[0].completed
    done = next_placement(state, reports_of(1, 2, 3, 4, complete_epoch=joint.epoch), 1, 9.0, 9.0)
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
    now = reports_of(3, complete_epoch=2) | {
        "new": StorageReport(fresh, 2, 0.1),
        "new2": StorageReport(second, 0, 0.1),
    }
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
    now = reports_of(3, complete_epoch=2) | {
        "new": StorageReport(fresh, 0, 0.1),
        "new2": StorageReport(second, 0, 0.1),
    }
    assert next_placement(state, now, 1, 9.0, 9.0) is None


def test_more_lost_disks_than_are_tolerated_complete_no_change() -> None:
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


def test_a_lost_member_that_is_still_there_is_added_as_a_new_one() -> None:
    """Even if a member was taken for lost by mistake, it is copied to before it counts again."""
    placement = Placement(epoch=3, current=members(1, 2, 3))
    placement.current[1].lost = True
    joint = next_placement(state_with(placement), reports_of(1, 2, 3, complete_epoch=3), 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r1", "r2", "r3"}
    assert not any(member.lost for member in joint.next)
    assert not can_skip_copy("r2", joint, 1) and can_skip_copy("r1", joint, 1)


def test_an_old_report_of_a_complete_member_completes_a_change() -> None:
    """What it says stays true as long as the disk; waiting for a newer one would undo the other copies."""
    state, fresh = joint_state()
    now = reports_of(2, 3, complete_epoch=2) | {"new": StorageReport(fresh, 2, 25.0)}
    done = next_placement(state, now, 1, 9.0, 9.0)
    assert done is not None and not done.next and not any(member.lost for member in done.current)


def test_a_drained_machine_is_not_added_again() -> None:
    """Between the word that it is empty and its removal, its replica is still there and still speaks."""
    state = state_with(Placement(epoch=5, current=members(2, 3, 4)))
    state.retirements.add(node="s1", replica_id="r1", completed=True)
    assert next_placement(state, reports_of(1, 2, 3, 4), 1, 9.0, 9.0) is None


def test_a_machine_being_retired_is_not_added_again_with_another_disk() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    state.retirements.add(node="s1", replica_id="r1")
    fresh = StorageMember(replica_id="new", node="s1", address="a1", zone="z1")
    joint = next_placement(state, reports_of(2, 3, 4) | {"new": StorageReport(fresh, 0, 0.1)}, 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r2", "r3", "r4"}
    state.placement.CopyFrom(joint)
    assert not complete_retirements(state, ())  # as long as its replica stands in the current set


def test_a_member_being_retired_stays_until_another_takes_its_place() -> None:
    """The one that was to take over is lost after the order was accepted: nobody may leave then."""
    state = state_with(Placement(epoch=1, current=members(1, 2, 3)))
    state.retirements.add(node="s1", replica_id="r1")
    assert next_placement(state, reports_of(1, 2, 3), 1, 9.0, 9.0) is None
    joint = next_placement(state, reports_of(1, 2, 3, 4), 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r2", "r3", "r4"}


def test_a_member_marked_as_lost_leaves_a_set_in_which_enough_others_remain() -> None:
    """Its keys then get their copies again, and only after that a retirement of its machine is complete."""
    state = state_with(Placement(epoch=3, current=members(1, 2, 3, 4)))
    state.placement.current[2].lost = True
    state.retirements.add(node="s3", replica_id="r3")
    assert not complete_retirements(state, ())
    joint = next_placement(state, reports_of(1, 2, 4), 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r1", "r2", "r4"}
    three = state_with(Placement(epoch=3, current=members(1, 2, 3)))
    three.placement.current[2].lost = True
    assert next_placement(three, reports_of(1, 2), 1, 9.0, 9.0) is None  # nobody could take its place
