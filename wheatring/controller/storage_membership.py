"""Which storage replicas hold records: decides on the next placement.

A change is first a joint phase: the set aimed at stands as `next`, all writes go to both sets, and its
members copy what they lack. Once all of them say that they are whole for that epoch, it becomes the current
set. Until then the current set holds everything, so the aim may change at any time.

Where too few members of the current set are there to copy from, the copies that were made are all there is:
the set aimed at then becomes current although a member is behind, which is marked as lost. It counts in the
size of the set, and never answers; if it is still there, it is taken in anew.

That a report of a whole member may be old does no harm: what it says stays true for as long as the member's
disk exists, and a disk lost since then is one of those that a set may lack.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from wheatring.transport.messages_pb2 import ControlState, Placement, StorageMember

REPLACE_AFTER_SECONDS = 2.0  # after which a member is replaced, where another replica waits
LEAVING_NOTICE_SECONDS = 1.0  # for which a word that a member is about to end counts
REMOVE_AFTER_SECONDS = 3.0  # after which one goes without a successor, where enough others are left
DECLARE_LOST_AFTER_SECONDS = (
    8.0  # after which a member is taken for lost where too few others are left to copy from
)
BOOTSTRAP_WAIT_SECONDS = 1.5  # after the first storage replica has come, for the others to come


@dataclass(frozen=True, slots=True)
class StorageReport:
    """A storage replica as it last said, and how long ago (seconds)."""

    member: StorageMember
    whole_epoch: int
    age: float
    leaving: bool = False


def _initial_placement(reported: Mapping[str, StorageReport], losses: int, waited: float) -> Placement | None:
    """The placement of a new system: nothing has been written yet, so all that are there hold everything."""
    wanted = 2 * losses + 1
    if len(reported) < wanted and (waited < BOOTSTRAP_WAIT_SECONDS or len(reported) < losses + 1):
        return None
    members = sorted((r.member for r in reported.values()), key=lambda member: member.replica_id)
    return Placement(epoch=1, current=members)


def _target_members(
    state: ControlState, reported: Mapping[str, StorageReport], losses: int, led: float
) -> list[StorageMember]:
    """The set of members that there should be.

    What was lost is made good before the set grows, so that a repair waits for no other copy than its own. A
    member that is being retired stays until enough others are there, also if one of them was lost since.
    """
    placement = state.placement
    current = [member for member in placement.current if not member.lost]
    held = {member.replica_id for member in current}
    retiring = _retiring_nodes(state)
    alive = {i: r for i, r in reported.items() if r.age <= REPLACE_AFTER_SECONDS}
    retired = {retirement.replica_id for retirement in state.retirements}
    waiting = [
        report.member
        for replica_id, report in alive.items()
        if replica_id not in held | retired and report.member.node not in retiring and not report.leaving
    ]
    successors = [member for member in waiting if _shares_machine_with(member, placement.current)]
    others = [member for member in waiting if member not in successors]
    present = [member for member in current if not _shares_machine_with(member, successors)]
    staying = [member for member in present if member.node not in retiring]
    leaving = [m for m in present if m.node in retiring and not _is_superseded(m, reported)]
    wanted = min(2 * losses + 1, len(placement.current))
    lacking = max(0, wanted - sum(member.replica_id in alive for member in staying) - len(successors))
    joining = successors + (others[:lacking] if lacking or successors else others)
    aim = staying + joining
    aim += leaving[: max(0, wanted - len(aim))]
    for member in staying:
        report = reported.get(member.replica_id)
        if len(aim) > 2 * losses + 1 and _is_removable(report, bool(joining), led):
            aim.remove(member)
    return sorted(aim, key=lambda member: member.replica_id)


def _shares_machine_with(member: StorageMember, members: Sequence[StorageMember]) -> bool:
    """Whether one of these is on the same machine."""
    return any(member.address == other.address or member.node == other.node for other in members)


def _retiring_nodes(state: ControlState) -> set[str]:
    """Machines that are being emptied: neither the replica there nor one with another disk stays."""
    return {retirement.node for retirement in state.retirements if not retirement.completed}


def _is_removable(report: StorageReport | None, replaced: bool, led: float) -> bool:
    """Whether a member is gone, or about to go."""
    if report is not None and report.leaving and report.age < LEAVING_NOTICE_SECONDS:
        return True
    return _unheard_seconds(report, led) > (REPLACE_AFTER_SECONDS if replaced else REMOVE_AFTER_SECONDS)


def _unheard_seconds(report: StorageReport | None, led: float) -> float:
    """For how many seconds a member has not been heard; a new leader has not heard from all of them yet."""
    return led if report is None else min(report.age, led)


def _ids(members: Sequence[StorageMember]) -> list[str]:
    return sorted(member.replica_id for member in members)


def _present_ids(members: Sequence[StorageMember]) -> list[str]:
    return _ids([member for member in members if not member.lost])


def next_placement(
    state: ControlState, reported: Mapping[str, StorageReport], losses: int, waited: float, led: float
) -> Placement | None:
    """The placement to change to, or None. `waited` is how long storage replicas have been known, `led` how
    long this controller has led (seconds).
    """
    placement = state.placement
    if not placement.epoch:
        return _initial_placement(reported, losses, waited)
    aim = _target_members(state, reported, losses, led)
    if len(aim) < losses + 1:
        return None
    if placement.next:
        return _next_step_of_change(state, aim, reported, losses, led)
    lacking = len(aim) < min(2 * losses + 1, len(placement.current))
    lost = any(member.lost for member in placement.current)
    if _ids(aim) == _present_ids(placement.current) and (lacking or not lost):
        return None
    return Placement(epoch=placement.epoch + 1, current=placement.current, next=aim)


def _next_step_of_change(
    state: ControlState,
    aim: Sequence[StorageMember],
    reported: Mapping[str, StorageReport],
    losses: int,
    led: float,
) -> Placement | None:
    """What becomes of a change that is under way: it is completed, goes on (None), gets another aim, or is
    given up.
    """
    placement = state.placement
    behind = [m for m in placement.next if not _is_complete(reported.get(m.replica_id), placement.epoch)]
    if not behind:
        return _completed_change(placement, behind)
    if not _has_sources(placement, reported, losses, led, DECLARE_LOST_AFTER_SECONDS):
        return _completed_change(placement, behind) if len(behind) <= losses else None
    if not _has_sources(placement, reported, losses, led, REPLACE_AFTER_SECONDS):
        return None  # another set could not be copied to either, for now
    under_way = all(_is_still_copying(member, reported, state) for member in behind)
    if _ids(aim) == _ids(placement.next) or under_way:
        return None
    if _ids(aim) != _present_ids(placement.current):
        return Placement(epoch=placement.epoch + 1, current=placement.current, next=aim)
    if all(_is_alive(member, reported) for member in placement.current):
        return Placement(epoch=placement.epoch + 1, current=placement.current)
    return None  # to give the change up would give up the copies that were made for those that are gone


def _is_alive(member: StorageMember, reported: Mapping[str, StorageReport]) -> bool:
    report = reported.get(member.replica_id)
    return report is not None and report.age <= REPLACE_AFTER_SECONDS


def _has_sources(
    placement: Placement, reported: Mapping[str, StorageReport], losses: int, led: float, silence: float
) -> bool:
    """Whether enough members of the current set are left for a new copy to be complete: their disks are not
    known to be lost, and they have been heard within `silence` seconds.
    """
    left = [
        member
        for member in placement.current
        if not member.lost
        and not _is_superseded(member, reported)
        and _unheard_seconds(reported.get(member.replica_id), led) <= silence
    ]
    return len(left) >= len(placement.current) - losses


def _completed_change(placement: Placement, lost: Sequence[StorageMember]) -> Placement:
    """The set aimed at as the current one. Members that are behind stay in it, marked as lost, so that its
    quorums are those under which it was written; nobody asks them again, even if they are still there.
    """
    done = Placement(epoch=placement.epoch + 1, current=placement.next)
    lost_ids = {member.replica_id for member in lost}
    for member in done.current:
        member.lost = member.replica_id in lost_ids
    return done


def _is_complete(report: StorageReport | None, epoch: int) -> bool:
    return report is not None and report.whole_epoch >= epoch


def _is_superseded(member: StorageMember, reported: Mapping[str, StorageReport]) -> bool:
    """Whether another replica has come in a member's place: its disk is lost."""
    if member.replica_id in reported:
        return False
    return any(report.member.address == member.address for report in reported.values())


def _is_still_copying(
    member: StorageMember, reported: Mapping[str, StorageReport], state: ControlState
) -> bool:
    """Whether a member that is behind is still at its copy."""
    report = reported.get(member.replica_id)
    if report is None:
        return False
    staying = not report.leaving and member.node not in _retiring_nodes(state)
    return report.age <= REPLACE_AFTER_SECONDS and staying


def complete_retirements(state: ControlState, voting_nodes: Collection[str]) -> bool:
    """Mark those as completed whose machine holds no member of the placement, whatever disk it has now, and
    has no vote. Returns whether there were any.
    """
    nodes = {member.node for member in (*state.placement.current, *state.placement.next)}
    changed = False
    for retirement in state.retirements:
        gone = retirement.node not in nodes and retirement.node not in voting_nodes
        if gone and not retirement.completed:
            retirement.completed = changed = True
    return changed
