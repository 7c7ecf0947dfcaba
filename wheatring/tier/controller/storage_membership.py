"""Decides on the next placement: which storage replicas store records.

A change starts with a joint phase: the target set is recorded as `next`, all writes go to both sets, and the
members of the target set copy the records they lack. Once all of them report that they are complete for that
epoch, the target set becomes the current set. Until then the current set is complete, so the target may
change at any time.

If too few members of the current set remain to copy from, no further copies are possible. The target set then
becomes current although a member is incomplete, and that member is marked as lost. It counts in the size of
the set, but never replies; if the replica is alive, it is added again as a new member.

An old report of a complete member is safe to use: it stays true for as long as the member's disk exists, and
a disk lost since then counts towards the losses that a set tolerates.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from wheatring.tier.transport.messages_pb2 import ControlState, Placement, StorageMember

# Time since the last contact after which a member is replaced by an available replica.
REPLACE_AFTER_SECONDS = 2.0
# An announced shutdown is ignored after this time.
LEAVING_VALIDITY_SECONDS = 1.0
# Time since the last contact after which a member is removed without a replacement, if enough others remain.
REMOVE_AFTER_SECONDS = 3.0
# Time since the last contact after which a member is declared lost, if too few others remain to copy from.
DECLARE_LOST_AFTER_SECONDS = 8.0
# A new system waits for this time after the first storage replica for the others to register.
BOOTSTRAP_WAIT_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class StorageReport:
    """The newest report of a storage replica."""

    member: StorageMember
    complete_epoch: int  # the newest epoch for which the replica has all its records
    age: float  # seconds since the report was sent
    leaving: bool = False  # the replica is about to shut down


def _initial_placement(
    reports: Mapping[str, StorageReport], losses: int, bootstrap_seconds: float
) -> Placement | None:
    """Return the placement of a new system, or None while replicas are missing.

    Nothing has been written yet, so every replica is complete.
    """
    target_size = 2 * losses + 1
    is_waiting = bootstrap_seconds < BOOTSTRAP_WAIT_SECONDS or len(reports) < losses + 1
    if len(reports) < target_size and is_waiting:
        return None
    members = sorted((r.member for r in reports.values()), key=lambda member: member.replica_id)
    return Placement(epoch=1, current=members)


def _target_members(
    state: ControlState, reports: Mapping[str, StorageReport], losses: int, leadership_seconds: float
) -> list[StorageMember]:
    """Return the target set.

    Lost members are replaced before the set grows, so that a repair waits for its own copies only. A member
    that is being retired stays until enough others are alive, even if one of them was lost in the meantime.
    """
    placement = state.placement
    current = [member for member in placement.current if not member.lost]
    retiring_nodes = _retiring_nodes(state)
    available = _available_members(state, reports, current)
    successors = [member for member in available if _shares_machine_with(member, placement.current)]
    others = [member for member in available if member not in successors]
    present = [member for member in current if not _shares_machine_with(member, successors)]
    staying = [member for member in present if member.node not in retiring_nodes]
    retiring_members = [m for m in present if m.node in retiring_nodes and not _is_superseded(m, reports)]
    target_size = min(2 * losses + 1, len(placement.current))
    alive = sum(_is_alive(member, reports) for member in staying)
    missing = max(0, target_size - alive - len(successors))
    joining = successors + (others[:missing] if missing or successors else others)
    target = staying + joining
    target += retiring_members[: max(0, target_size - len(target))]
    for member in staying:
        report = reports.get(member.replica_id)
        if len(target) > 2 * losses + 1 and _is_removable(report, bool(joining), leadership_seconds):
            target.remove(member)
    return sorted(target, key=lambda member: member.replica_id)


def _available_members(
    state: ControlState, reports: Mapping[str, StorageReport], current: Sequence[StorageMember]
) -> list[StorageMember]:
    """Return the live replicas that are not members yet and may become members."""
    excluded = {member.replica_id for member in current}
    excluded |= {retirement.replica_id for retirement in state.retirements}
    retiring = _retiring_nodes(state)
    return [
        report.member
        for replica_id, report in reports.items()
        if report.age <= REPLACE_AFTER_SECONDS
        and replica_id not in excluded
        and report.member.node not in retiring
        and not report.leaving
    ]


def _shares_machine_with(member: StorageMember, members: Sequence[StorageMember]) -> bool:
    """Return whether one of the members is on the same machine as `member`."""
    return any(member.address == other.address or member.node == other.node for other in members)


def _retiring_nodes(state: ControlState) -> set[str]:
    """Return the machines that are being retired: no replica on them stays, even one with a new disk."""
    return {retirement.node for retirement in state.retirements if not retirement.completed}


def _is_removable(report: StorageReport | None, is_replaced: bool, leadership_seconds: float) -> bool:
    """Return whether a member can be removed, as it is unreachable or about to shut down."""
    if report is not None and report.leaving and report.age < LEAVING_VALIDITY_SECONDS:
        return True
    limit = REPLACE_AFTER_SECONDS if is_replaced else REMOVE_AFTER_SECONDS
    return _seconds_since_contact(report, leadership_seconds) > limit


def _seconds_since_contact(report: StorageReport | None, leadership_seconds: float) -> float:
    """Return the seconds since the last contact with a member, at most the time of leadership.

    A new leader has not received reports from all members yet.
    """
    return leadership_seconds if report is None else min(report.age, leadership_seconds)


def _replica_ids(members: Sequence[StorageMember]) -> list[str]:
    return sorted(member.replica_id for member in members)


def _present_replica_ids(members: Sequence[StorageMember]) -> list[str]:
    return _replica_ids([member for member in members if not member.lost])


def next_placement(
    state: ControlState,
    reports: Mapping[str, StorageReport],
    losses: int,
    bootstrap_seconds: float,
    leadership_seconds: float,
) -> Placement | None:
    """Decide on the next placement.

    Parameters
    ----------
    state
        The newest committed state.
    reports
        The newest report of each storage replica, by identity.
    losses
        The number of simultaneous member losses to tolerate.
    bootstrap_seconds
        Seconds since the first storage replica registered.
    leadership_seconds
        Seconds for which this controller has led.

    Returns
    -------
    The placement to change to, or None if the current one stays.
    """
    placement = state.placement
    if not placement.epoch:
        return _initial_placement(reports, losses, bootstrap_seconds)
    target = _target_members(state, reports, losses, leadership_seconds)
    if len(target) < losses + 1:
        return None
    if placement.next:
        return _continue_change(state, target, reports, losses, leadership_seconds)
    is_below_target_size = len(target) < min(2 * losses + 1, len(placement.current))
    has_lost = any(member.lost for member in placement.current)
    if _replica_ids(target) == _present_replica_ids(placement.current) and (
        is_below_target_size or not has_lost
    ):
        return None
    return Placement(epoch=placement.epoch + 1, current=placement.current, next=target)


def _continue_change(
    state: ControlState,
    target: Sequence[StorageMember],
    reports: Mapping[str, StorageReport],
    losses: int,
    leadership_seconds: float,
) -> Placement | None:
    """Decide on a change in progress: complete it, wait (None), change its target, or abort it."""
    placement = state.placement
    incomplete = [m for m in placement.next if not _is_complete(reports.get(m.replica_id), placement.epoch)]
    if not incomplete:
        return _completed_change(placement, incomplete)
    if not _has_enough_copy_sources(
        placement, reports, losses, leadership_seconds, DECLARE_LOST_AFTER_SECONDS
    ):
        return _completed_change(placement, incomplete) if len(incomplete) <= losses else None
    if not _has_enough_copy_sources(placement, reports, losses, leadership_seconds, REPLACE_AFTER_SECONDS):
        return None  # another target set could not be copied to either
    is_copying = all(_is_copying(member, reports, state) for member in incomplete)
    if _replica_ids(target) == _replica_ids(placement.next) or is_copying:
        return None
    if _replica_ids(target) != _present_replica_ids(placement.current):
        return Placement(epoch=placement.epoch + 1, current=placement.current, next=target)
    if all(_is_alive(member, reports) for member in placement.current):
        return Placement(epoch=placement.epoch + 1, current=placement.current)
    return None  # an abort would discard the copies that replace the unreachable members


def _is_alive(member: StorageMember, reports: Mapping[str, StorageReport]) -> bool:
    report = reports.get(member.replica_id)
    return report is not None and report.age <= REPLACE_AFTER_SECONDS


def _has_enough_copy_sources(
    placement: Placement,
    reports: Mapping[str, StorageReport],
    losses: int,
    leadership_seconds: float,
    contact_timeout_seconds: float,
) -> bool:
    """Return whether enough members of the current set remain for a new copy to be complete.

    A member remains if its disk is not known to be lost and its last contact is within the time-out.
    """
    remaining = [
        member
        for member in placement.current
        if not member.lost
        and not _is_superseded(member, reports)
        and _seconds_since_contact(reports.get(member.replica_id), leadership_seconds)
        <= contact_timeout_seconds
    ]
    return len(remaining) >= len(placement.current) - losses


def _completed_change(placement: Placement, lost: Sequence[StorageMember]) -> Placement:
    """Return the placement with the target set as the current one.

    Incomplete members stay in the set, marked as lost, so that its quorums are those under which records were
    written. They receive no requests, even if they are alive.
    """
    completed = Placement(epoch=placement.epoch + 1, current=placement.next)
    lost_ids = {member.replica_id for member in lost}
    for member in completed.current:
        member.lost = member.replica_id in lost_ids
    return completed


def _is_complete(report: StorageReport | None, epoch: int) -> bool:
    return report is not None and report.complete_epoch >= epoch


def _is_superseded(member: StorageMember, reports: Mapping[str, StorageReport]) -> bool:
    """Return whether another replica is at the member's address, so that the member's disk is lost."""
    if member.replica_id in reports:
        return False
    return any(report.member.address == member.address for report in reports.values())


def _is_copying(member: StorageMember, reports: Mapping[str, StorageReport], state: ControlState) -> bool:
    """Return whether an incomplete member is expected to complete its copy."""
    report = reports.get(member.replica_id)
    if report is None:
        return False
    is_staying = not report.leaving and member.node not in _retiring_nodes(state)
    return report.age <= REPLACE_AFTER_SECONDS and is_staying


def complete_retirements(state: ControlState, voting_nodes: Collection[str]) -> bool:
    """Mark retirements as completed if their machine has no member of the placement and no vote.

    Machines are compared by node, so a machine with a new disk counts too. Returns whether any was completed.
    """
    nodes = {member.node for member in (*state.placement.current, *state.placement.next)}
    is_changed = False
    for retirement in state.retirements:
        is_drained = retirement.node not in nodes and retirement.node not in voting_nodes
        if is_drained and not retirement.completed:
            retirement.completed = is_changed = True
    return is_changed
