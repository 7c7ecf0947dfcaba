"""Which storage replicas store records: decides on the next placement.

A change is first a joint phase: the target set stands as `next`, all writes go to both sets, and the members
of the target set copy what they lack. Once all of them report that they are complete for that epoch, it
becomes the current set. Until then the current set has everything, so the target may change at any time.

Where too few members of the current set are there to copy from, the copies that were made are all there is:
the target set then becomes current although a member is incomplete, which is marked as lost. It counts
in the size of the set, and never answers; if it is still there, it is added anew.

That a report of a complete member may be old does no harm: what it says stays true for as long as the
member's disk exists, and a disk lost since then is one of those that a set may lack.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from wheatring.tier.transport.messages_pb2 import ControlState, Placement, StorageMember

REPLACE_AFTER_SECONDS = 2.0  # unheard, where another replica is available
LEAVING_NOTICE_SECONDS = 1.0  # for which the announcement of a shutdown counts
REMOVE_AFTER_SECONDS = 3.0  # unheard, without a successor, where enough others remain
DECLARE_LOST_AFTER_SECONDS = 8.0  # unheard, where too few others remain to copy from
BOOTSTRAP_WAIT_SECONDS = 1.5  # after the first storage replica has come, for the others to come


@dataclass(frozen=True, slots=True)
class StorageReport:
    """The newest report of a storage replica."""

    member: StorageMember
    complete_epoch: int  # the newest epoch for which it has everything that it should
    age: float  # seconds since it was sent
    leaving: bool = False  # the replica is about to shut down


def _initial_placement(
    reports: Mapping[str, StorageReport], losses: int, waited_seconds: float
) -> Placement | None:
    """Return the placement of a new system, or None while replicas are missing.

    Nothing has been written yet, so every replica that is there is complete.
    """
    wanted = 2 * losses + 1
    is_waiting = waited_seconds < BOOTSTRAP_WAIT_SECONDS or len(reports) < losses + 1
    if len(reports) < wanted and is_waiting:
        return None
    members = sorted((r.member for r in reports.values()), key=lambda member: member.replica_id)
    return Placement(epoch=1, current=members)


def _target_members(
    state: ControlState, reports: Mapping[str, StorageReport], losses: int, leader_seconds: float
) -> list[StorageMember]:
    """Return the members that there should be.

    Lost members are replaced before the set grows, so that a repair waits for no copy but its own. A member
    that is being retired stays until enough others are there, also if one of them was lost since.
    """
    placement = state.placement
    current = [member for member in placement.current if not member.lost]
    retiring = _retiring_nodes(state)
    available = _available_members(state, reports, current)
    successors = [member for member in available if _shares_machine_with(member, placement.current)]
    others = [member for member in available if member not in successors]
    present = [member for member in current if not _shares_machine_with(member, successors)]
    staying = [member for member in present if member.node not in retiring]
    leaving = [m for m in present if m.node in retiring and not _is_superseded(m, reports)]
    wanted = min(2 * losses + 1, len(placement.current))
    alive = sum(_is_alive(member, reports) for member in staying)
    missing = max(0, wanted - alive - len(successors))
    joining = successors + (others[:missing] if missing or successors else others)
    target = staying + joining
    target += leaving[: max(0, wanted - len(target))]
    for member in staying:
        report = reports.get(member.replica_id)
        if len(target) > 2 * losses + 1 and _is_removable(report, bool(joining), leader_seconds):
            target.remove(member)
    return sorted(target, key=lambda member: member.replica_id)


def _available_members(
    state: ControlState, reports: Mapping[str, StorageReport], current: Sequence[StorageMember]
) -> list[StorageMember]:
    """Return the replicas that are alive, are no members yet, and may become members."""
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
    """Tell whether one of these is on the same machine."""
    return any(member.address == other.address or member.node == other.node for other in members)


def _retiring_nodes(state: ControlState) -> set[str]:
    """Return the machines that are being drained: no replica on them stays, whatever its disk."""
    return {retirement.node for retirement in state.retirements if not retirement.completed}


def _is_removable(report: StorageReport | None, is_replaced: bool, leader_seconds: float) -> bool:
    """Tell whether a member is gone, or about to shut down."""
    if report is not None and report.leaving and report.age < LEAVING_NOTICE_SECONDS:
        return True
    limit = REPLACE_AFTER_SECONDS if is_replaced else REMOVE_AFTER_SECONDS
    return _unheard_seconds(report, leader_seconds) > limit


def _unheard_seconds(report: StorageReport | None, leader_seconds: float) -> float:
    """Return how long a member has not been heard from.

    That is never longer than this controller leads: a new leader has not heard from all members yet.
    """
    return leader_seconds if report is None else min(report.age, leader_seconds)


def _ids(members: Sequence[StorageMember]) -> list[str]:
    return sorted(member.replica_id for member in members)


def _present_ids(members: Sequence[StorageMember]) -> list[str]:
    return _ids([member for member in members if not member.lost])


def next_placement(
    state: ControlState,
    reports: Mapping[str, StorageReport],
    losses: int,
    waited_seconds: float,
    leader_seconds: float,
) -> Placement | None:
    """Decide on the next placement.

    Parameters
    ----------
    state
        The newest committed state.
    reports
        The newest report of each storage replica, by identity.
    losses
        How many members may be lost at one time.
    waited_seconds
        How long storage replicas have been known.
    leader_seconds
        How long this controller has led.

    Returns
    -------
    The placement to change to, or None where the present one stays.
    """
    placement = state.placement
    if not placement.epoch:
        return _initial_placement(reports, losses, waited_seconds)
    target = _target_members(state, reports, losses, leader_seconds)
    if len(target) < losses + 1:
        return None
    if placement.next:
        return _next_step_of_change(state, target, reports, losses, leader_seconds)
    is_short = len(target) < min(2 * losses + 1, len(placement.current))
    has_lost = any(member.lost for member in placement.current)
    if _ids(target) == _present_ids(placement.current) and (is_short or not has_lost):
        return None
    return Placement(epoch=placement.epoch + 1, current=placement.current, next=target)


def _next_step_of_change(
    state: ControlState,
    target: Sequence[StorageMember],
    reports: Mapping[str, StorageReport],
    losses: int,
    leader_seconds: float,
) -> Placement | None:
    """Decide on a change in progress: it is completed, goes on (None), gets another target, or is aborted."""
    placement = state.placement
    incomplete = [m for m in placement.next if not _is_complete(reports.get(m.replica_id), placement.epoch)]
    if not incomplete:
        return _completed_change(placement, incomplete)
    if not _has_sources(placement, reports, losses, leader_seconds, DECLARE_LOST_AFTER_SECONDS):
        return _completed_change(placement, incomplete) if len(incomplete) <= losses else None
    if not _has_sources(placement, reports, losses, leader_seconds, REPLACE_AFTER_SECONDS):
        return None  # another set could not be copied to either, for now
    is_copying = all(_is_still_copying(member, reports, state) for member in incomplete)
    if _ids(target) == _ids(placement.next) or is_copying:
        return None
    if _ids(target) != _present_ids(placement.current):
        return Placement(epoch=placement.epoch + 1, current=placement.current, next=target)
    if all(_is_alive(member, reports) for member in placement.current):
        return Placement(epoch=placement.epoch + 1, current=placement.current)
    return None  # aborting the change would abandon the copies that were made for those that are gone


def _is_alive(member: StorageMember, reports: Mapping[str, StorageReport]) -> bool:
    report = reports.get(member.replica_id)
    return report is not None and report.age <= REPLACE_AFTER_SECONDS


def _has_sources(
    placement: Placement,
    reports: Mapping[str, StorageReport],
    losses: int,
    leader_seconds: float,
    max_unheard_seconds: float,
) -> bool:
    """Tell whether enough members of the current set remain for a new copy to be complete.

    A member remains if its disk is not known to be lost, and it was heard from within `max_unheard_seconds`.
    """
    remaining = [
        member
        for member in placement.current
        if not member.lost
        and not _is_superseded(member, reports)
        and _unheard_seconds(reports.get(member.replica_id), leader_seconds) <= max_unheard_seconds
    ]
    return len(remaining) >= len(placement.current) - losses


def _completed_change(placement: Placement, lost: Sequence[StorageMember]) -> Placement:
    """Return the placement with the target set as the current one.

    Incomplete members stay in it, marked as lost, so that its quorums are those under which it was
    written; nobody asks them again, even if they are still there.
    """
    completed = Placement(epoch=placement.epoch + 1, current=placement.next)
    lost_ids = {member.replica_id for member in lost}
    for member in completed.current:
        member.lost = member.replica_id in lost_ids
    return completed


def _is_complete(report: StorageReport | None, epoch: int) -> bool:
    return report is not None and report.complete_epoch >= epoch


def _is_superseded(member: StorageMember, reports: Mapping[str, StorageReport]) -> bool:
    """Tell whether another replica has come at a member's address: the member's disk is lost."""
    if member.replica_id in reports:
        return False
    return any(report.member.address == member.address for report in reports.values())


def _is_still_copying(
    member: StorageMember, reports: Mapping[str, StorageReport], state: ControlState
) -> bool:
    """Tell whether an incomplete member can be expected to complete its copy."""
    report = reports.get(member.replica_id)
    if report is None:
        return False
    is_staying = not report.leaving and member.node not in _retiring_nodes(state)
    return report.age <= REPLACE_AFTER_SECONDS and is_staying


def complete_retirements(state: ControlState, voting_nodes: Collection[str]) -> bool:
    """Mark the retirements as completed whose machine has no member of the placement and no vote.

    Returns whether there were any. The machine counts, whatever disk it has now.
    """
    nodes = {member.node for member in (*state.placement.current, *state.placement.next)}
    is_changed = False
    for retirement in state.retirements:
        is_drained = retirement.node not in nodes and retirement.node not in voting_nodes
        if is_drained and not retirement.completed:
            retirement.completed = is_changed = True
    return is_changed
