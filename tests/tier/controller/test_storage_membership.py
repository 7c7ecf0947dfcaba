"""Decisions on the storage placement: replacements, removals, retirements and lost members."""

from __future__ import annotations

from tests.tier.placement.storage_members import members
from wheatring.tier.controller.storage_membership import StorageReport, complete_retirements, next_placement
from wheatring.tier.storage.copy_rules import can_skip_copy, copy_sources_required
from wheatring.tier.transport.messages_pb2 import ControlState, Placement, StorageMember


def reports_from(*numbers: int, complete_epoch: int = 0, age: float = 0.1) -> dict[str, StorageReport]:
    return {m.replica_id: StorageReport(m, complete_epoch, age) for m in members(*numbers)}


def state_with(placement: Placement) -> ControlState:
    state = ControlState()
    state.placement.CopyFrom(placement)
    return state


def test_initial_placement_waits_for_the_full_number_of_replicas() -> None:
    assert next_placement(ControlState(), reports_from(1, 2), 1, 0.1, 9.0) is None
    assert next_placement(ControlState(), reports_from(1, 2), 1, 5.0, 9.0) is not None
    initial = next_placement(ControlState(), reports_from(1, 2, 3), 1, 0.1, 9.0)
    assert initial is not None and len(initial.current) == 3


def test_member_with_lost_disk_is_replaced_by_new_replica_at_its_address() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3)))
    replacement = StorageMember(replica_id="new", node="s1", address="a1", zone="z1")
    reports = reports_from(2, 3) | {"new": StorageReport(replacement, 0, 0.1)}
    joint = next_placement(state, reports, 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"new", "r2", "r3"}
    state.placement.CopyFrom(joint)
    assert next_placement(state, reports, 1, 9.0, 9.0) is None  # not complete yet
    complete_reports = reports_from(2, 3, complete_epoch=joint.epoch) | {
        "new": StorageReport(replacement, joint.epoch, 0.1)
    }
    completed = next_placement(state, complete_reports, 1, 9.0, 9.0)
    assert (
        completed is not None
        and not completed.next
        and {m.replica_id for m in completed.current} == {"new", "r2", "r3"}
    )


def test_unreachable_member_stays_without_an_available_replacement() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3)))
    assert next_placement(state, reports_from(2, 3), 1, 9.0, 9.0) is None


def test_unreachable_member_is_removed_if_enough_others_remain() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    reports = reports_from(1, 3, 4) | reports_from(2, age=2.5)
    assert next_placement(state, reports, 1, 9.0, 9.0) is None
    reduced = next_placement(state, reports_from(1, 3, 4) | reports_from(2, age=3.5), 1, 9.0, 9.0)
    assert reduced is not None and {m.replica_id for m in reduced.next} == {"r1", "r3", "r4"}


def test_new_leader_does_not_remove_members_before_their_first_report() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    assert next_placement(state, reports_from(1, 3, 4), 1, 9.0, 0.2) is None
    assert next_placement(state, reports_from(1, 3, 4) | reports_from(2, age=20.0), 1, 9.0, 0.2) is None


def test_member_that_shuts_down_is_removed_if_enough_others_remain() -> None:
    leaving_report = {"r2": StorageReport(members(2)[0], 0, 0.1, leaving=True)}
    four = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    reduced = next_placement(four, reports_from(1, 3, 4) | leaving_report, 1, 9.0, 9.0)
    assert reduced is not None and {m.replica_id for m in reduced.next} == {"r1", "r3", "r4"}
    three = state_with(Placement(epoch=1, current=members(1, 2, 3)))
    assert next_placement(three, reports_from(1, 3) | leaving_report, 1, 9.0, 9.0) is None


def test_retirement_is_completed_once_its_replica_is_not_a_member() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    state.retirements.add(node="s1", replica_id="r1")
    joint = next_placement(state, reports_from(1, 2, 3, 4), 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r2", "r3", "r4"}
    state.placement.CopyFrom(joint)
    complete_retirements(state, ())
    assert not state.retirements[0].completed
    completed = next_placement(state, reports_from(1, 2, 3, 4, complete_epoch=joint.epoch), 1, 9.0, 9.0)
    assert completed is not None
    state.placement.CopyFrom(completed)
    complete_retirements(state, ())
    assert state.retirements[0].completed


def joint_state() -> tuple[ControlState, StorageMember]:
    """Return a joint phase in which the replica `new` replaces r1 after s1 lost its disk."""
    replacement = StorageMember(replica_id="new", node="s1", address="a1", zone="z1")
    target = [replacement, *members(2, 3)]
    return state_with(Placement(epoch=2, current=members(1, 2, 3), next=target)), replacement


def test_second_lost_disk_does_not_discard_a_finished_repair() -> None:
    """If a second disk is lost before the first repair is committed, the finished copy still counts."""
    state, replacement = joint_state()
    second_replacement = StorageMember(replica_id="new2", node="s2", address="a2", zone="z2")
    reports = reports_from(3, complete_epoch=2) | {
        "new": StorageReport(replacement, 2, 0.1),
        "new2": StorageReport(second_replacement, 0, 0.1),
    }
    completed = next_placement(state, reports, 1, 9.0, 9.0)
    assert completed is not None and not completed.next
    assert [(m.replica_id, m.lost) for m in completed.current] == [
        ("new", False),
        ("r2", True),
        ("r3", False),
    ]
    state.placement.CopyFrom(completed)
    joint = next_placement(state, reports, 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"new", "new2", "r3"}
    assert copy_sources_required(joint, 1) == 2  # "new" and r3


def test_second_lost_disk_during_a_repair_does_not_change_the_target() -> None:
    state, replacement = joint_state()
    second_replacement = StorageMember(replica_id="new2", node="s2", address="a2", zone="z2")
    reports = reports_from(3, complete_epoch=2) | {
        "new": StorageReport(replacement, 0, 0.1),
        "new2": StorageReport(second_replacement, 0, 0.1),
    }
    assert next_placement(state, reports, 1, 9.0, 9.0) is None


def test_change_is_not_completed_with_more_lost_disks_than_tolerated() -> None:
    state, replacement = joint_state()
    second_replacement = StorageMember(replica_id="new2", node="s2", address="a2", zone="z2")
    third_replacement = StorageMember(replica_id="new3", node="s3", address="a3", zone="z0")
    reports = {
        "new": StorageReport(replacement, 2, 0.1),
        "new2": StorageReport(second_replacement, 0, 0.1),
        "new3": StorageReport(third_replacement, 0, 0.1),
    }
    completed = next_placement(state, reports, 1, 9.0, 9.0)
    assert completed is None or completed.next


def test_live_member_marked_as_lost_is_added_as_a_new_member() -> None:
    """A member wrongly marked as lost must copy all records before it counts again."""
    placement = Placement(epoch=3, current=members(1, 2, 3))
    placement.current[1].lost = True
    joint = next_placement(state_with(placement), reports_from(1, 2, 3, complete_epoch=3), 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r1", "r2", "r3"}
    assert not any(member.lost for member in joint.next)
    assert not can_skip_copy("r2", joint, 1) and can_skip_copy("r1", joint, 1)


def test_old_report_of_a_complete_member_completes_a_change() -> None:
    """The report stays true while the disk exists; waiting for a newer one would discard finished copies."""
    state, replacement = joint_state()
    reports = reports_from(2, 3, complete_epoch=2) | {"new": StorageReport(replacement, 2, 25.0)}
    completed = next_placement(state, reports, 1, 9.0, 9.0)
    assert (
        completed is not None and not completed.next and not any(member.lost for member in completed.current)
    )


def test_retired_machine_is_not_added_again() -> None:
    """Between the completed retirement and the removal of the machine, its replica still sends reports."""
    state = state_with(Placement(epoch=5, current=members(2, 3, 4)))
    state.retirements.add(node="s1", replica_id="r1", completed=True)
    assert next_placement(state, reports_from(1, 2, 3, 4), 1, 9.0, 9.0) is None


def test_machine_being_retired_is_not_added_again_with_another_disk() -> None:
    state = state_with(Placement(epoch=1, current=members(1, 2, 3, 4)))
    state.retirements.add(node="s1", replica_id="r1")
    replacement = StorageMember(replica_id="new", node="s1", address="a1", zone="z1")
    joint = next_placement(
        state, reports_from(2, 3, 4) | {"new": StorageReport(replacement, 0, 0.1)}, 1, 9.0, 9.0
    )
    assert joint is not None and {m.replica_id for m in joint.next} == {"r2", "r3", "r4"}
    state.placement.CopyFrom(joint)
    assert not complete_retirements(state, ())  # its replica is still in the current set


def test_member_being_retired_stays_until_a_replacement_is_available() -> None:
    """The intended replacement is lost after the command was accepted, so the member must stay."""
    state = state_with(Placement(epoch=1, current=members(1, 2, 3)))
    state.retirements.add(node="s1", replica_id="r1")
    assert next_placement(state, reports_from(1, 2, 3), 1, 9.0, 9.0) is None
    joint = next_placement(state, reports_from(1, 2, 3, 4), 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r2", "r3", "r4"}


def test_member_marked_as_lost_is_removed_if_enough_others_remain() -> None:
    """The records are copied to other members, and only then is a retirement of its machine completed."""
    state = state_with(Placement(epoch=3, current=members(1, 2, 3, 4)))
    state.placement.current[2].lost = True
    state.retirements.add(node="s3", replica_id="r3")
    assert not complete_retirements(state, ())
    joint = next_placement(state, reports_from(1, 2, 4), 1, 9.0, 9.0)
    assert joint is not None and {m.replica_id for m in joint.next} == {"r1", "r2", "r4"}
    three = state_with(Placement(epoch=3, current=members(1, 2, 3)))
    three.placement.current[2].lost = True
    assert next_placement(three, reports_from(1, 2), 1, 9.0, 9.0) is None  # no replacement is available
