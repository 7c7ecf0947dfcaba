"""The rollout's part of `GET /control/plan`. The keys are documented for operators and must not change."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from wheatring.fleet.plan.compatibility import Reason
from wheatring.fleet.plan.document import CommittedPlan
from wheatring.fleet.plan.leader import RolloutLeader
from wheatring.fleet.plan.proposals import Proposal


def committed_status(committed: CommittedPlan | None) -> dict[str, Any]:
    """Return the committed plan that this sidecar applies; zeros and "" if there is none."""
    return {
        "number": committed.version if committed is not None else 0,
        "epoch": committed.epoch if committed is not None else 0,
        "digest": committed.digest.hex() if committed is not None else "",
        "title": committed.plan.title if committed is not None else "",
        "format": committed.plan.format if committed is not None else 0,
    }


def leader_status(leader: RolloutLeader, now: float) -> dict[str, Any] | None:
    """Return the rollout that this sidecar leads, or None; `now` is in monotonic seconds."""
    rollout = leader.rollout
    if rollout is None:
        return None
    missing = {view_member.member.name for view_member in leader.missing_members(rollout)}
    return {
        "digest": rollout.digest.hex(),
        "title": rollout.title,
        "from": rollout.proposer,
        "state": rollout.state,
        "for_s": round(now - rollout.started_at, 1),
        "view": rollout.view.number,
        "members": len(rollout.view.members),
        "holds": sorted({view_member.member.name for view_member in rollout.view.members} - missing),
        "reasons": reason_records(leader.pending_reasons(rollout, now)),
    }


def proposal_status(proposal: Proposal, now: float) -> dict[str, Any]:
    """Return one plan that was proposed here; `now` is in monotonic seconds."""
    return {
        "id": proposal.proposal_id,
        "digest": proposal.digest.hex(),
        "title": proposal.title,
        "state": proposal.state,
        "number": proposal.version,
        "hold": proposal.stored,
        "members": proposal.members,
        "for_s": round(now - proposal.proposed_at, 1),
        "reasons": reason_records(proposal.reasons),
        "more": proposal.omitted,
    }


def reason_records(reasons: Iterable[Reason]) -> list[dict[str, str]]:
    """Return reasons as JSON objects."""
    return [reason._asdict() for reason in reasons]
