"""Reasons why a rollout failed or is still pending, for the operator who proposed the plan."""

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

MEMBERS_PER_ALLOWED_LOSS = 5  # a fifth of the members may leave during a rollout, and always one
MAX_VIEW_CHANGES = 3  # from this number on, a time-out is attributed to view changes as well


def explain_lost_members(rollout: Rollout, missing: Sequence[ViewMember]) -> list[Reason]:
    """Return the reasons if too many members left the view during the rollout, else [].

    Remaining members that have not stored the plan (`missing`) are included.
    """
    initial = rollout.initial_view.names
    lost = sorted(initial - rollout.view.names)
    if len(lost) <= max(1, len(initial) // MEMBERS_PER_ALLOWED_LOSS):
        return []
    left_error = PlanMembersLostError(f"went while it was {rollout.state}, {len(lost)} of {len(initial)}")
    not_stored = PlanNotStoredError("had not told by then that it holds the plan")
    return [
        *(reason_from(left_error, name) for name in lost),
        *(reason_from(not_stored, view_member.member.name) for view_member in missing),
    ]


def explain_timeout(
    rollout: Rollout, missing: Sequence[ViewMember], is_view_sure: bool, view_number: int, now: float
) -> list[Reason]:
    """Return why the rollout did not finish its state by the deadline."""
    reasons = list(rollout.verdict.reasons)
    if rollout.view_changes >= MAX_VIEW_CHANGES:
        reasons.append(reason_from(PlanViewUnstableError(f"{rollout.view_changes} views came meanwhile")))
    within = f"within {now - rollout.started_at:.0f} s"
    not_stored = PlanNotStoredError(f"has not told {within} that it holds the plan")
    reasons += [reason_from(not_stored, view_member.member.name) for view_member in missing]
    if not is_view_sure:
        reasons.append(reason_from(PlanNoViewError("the leader does not count on its view")))
    if not reasons:
        verdict = rollout.verdict
        answered = f"{verdict.answered} of {verdict.members} have answered {within}"
        what = f"{answered}, in view {verdict.view_number}; the view is {view_number}"
        reasons.append(reason_from(PlanNotCheckedError(what)))
    return reasons


def explain_pending(rollout: Rollout, missing: Sequence[ViewMember]) -> list[Reason]:
    """Return why a rollout has not been sent to the voters yet."""
    not_stored = reason_from(PlanNotStoredError("does not hold the plan yet"))
    names = (
        [view_member.member.name for view_member in missing] if rollout.state != RolloutState.PROPOSED else []
    )
    return [*rollout.verdict.reasons, *(not_stored._replace(member=name) for name in names)]


def explain_uncommitted(accepted: int, voters: int, timeout_seconds: float) -> list[Reason]:
    """Return the reason that the voters did not commit the plan within the time limit."""
    what = f"{accepted} of {voters} voters keep it after {timeout_seconds:g} s"
    return [reason_from(PlanNotCommittedError(what))]
