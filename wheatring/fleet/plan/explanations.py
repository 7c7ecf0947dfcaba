"""Why a rollout failed or is not finished: reasons for the operator who proposed the plan."""

from __future__ import annotations

from collections.abc import Sequence

from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.plan.compatibility import Reason
from wheatring.fleet.plan.errors import (
    PlanMembersLostError,
    PlanNotCheckedError,
    PlanNotCommittedError,
    PlanNotStoredError,
    PlanNoViewError,
    PlanViewUnstableError,
)
from wheatring.fleet.plan.messages import RolloutState
from wheatring.fleet.plan.rollout import Rollout, reason_from

MEMBERS_PER_ALLOWED_LOSS = 5  # one of so many members may leave during a rollout, and one in any case
MAX_VIEW_CHANGES = 3  # from so many on, the changes of the view are named as what kept a plan back


def explain_lost_members(rollout: Rollout, missing: Sequence[ViewMember]) -> list[Reason]:
    """Return why too many members left during the rollout; [] while few enough did.

    Members that stay but have not stored the plan (`missing`) are named too.
    """
    initial = rollout.initial_view.names
    lost = sorted(initial - rollout.view.names)
    if len(lost) <= max(1, len(initial) // MEMBERS_PER_ALLOWED_LOSS):
        return []
    left = PlanMembersLostError(f"went while it was {rollout.state}, {len(lost)} of {len(initial)}")
    not_stored = PlanNotStoredError("had not told by then that it holds the plan")
    return [
        *(reason_from(left, name) for name in lost),
        *(reason_from(not_stored, placed.member.name) for placed in missing),
    ]


def explain_timeout(
    rollout: Rollout, missing: Sequence[ViewMember], is_view_sure: bool, view_number: int, now: float
) -> list[Reason]:
    """Return why the rollout was not committed by the deadline of its state."""
    reasons = list(rollout.verdict.reasons)
    if rollout.view_changes >= MAX_VIEW_CHANGES:
        reasons.append(reason_from(PlanViewUnstableError(f"{rollout.view_changes} views came meanwhile")))
    within = f"within {now - rollout.started_at:.0f} s"
    not_stored = PlanNotStoredError(f"has not told {within} that it holds the plan")
    reasons += [reason_from(not_stored, placed.member.name) for placed in missing]
    if not is_view_sure:
        reasons.append(reason_from(PlanNoViewError("the leader does not count on its view")))
    if not reasons:
        verdict = rollout.verdict
        answered = f"{verdict.answered} of {verdict.members} have answered {within}"
        what = f"{answered}, in view {verdict.view_number}; the view is {view_number}"
        reasons.append(reason_from(PlanNotCheckedError(what)))
    return reasons


def explain_pending(rollout: Rollout, missing: Sequence[ViewMember]) -> list[Reason]:
    """Return why a rollout that is not put to the voters yet has to wait."""
    waiting = reason_from(PlanNotStoredError("does not hold the plan yet"))
    names = [placed.member.name for placed in missing] if rollout.state != RolloutState.PROPOSED else []
    return [*rollout.verdict.reasons, *(waiting._replace(member=name) for name in names)]


def explain_uncommitted(accepted: int, voters: int, timeout_seconds: float) -> list[Reason]:
    """Return that the voters have not committed the plan within the time that they should need."""
    what = f"{accepted} of {voters} voters keep it after {timeout_seconds:g} s"
    return [reason_from(PlanNotCommittedError(what))]
