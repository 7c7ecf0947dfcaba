"""The leader's state of the one rollout in progress. Changed by `plan.leader` alone."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from wheatring.common.errors import OperatorError
from wheatring.fleet.members.messages import Address
from wheatring.fleet.members.view import View
from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.plan.compatibility import CheckStage, Reason, Verdict
from wheatring.fleet.plan.document import Plan
from wheatring.fleet.plan.messages import RolloutState

ProcessKey = tuple[str, int]  # a member's process: its name, and its incarnation
ProposalKey = tuple[str, int]  # a proposal: the sidecar that made it, and its number there


@dataclass
class Rollout:
    """One plan on its way to all members. Instants are monotonic seconds of the leader's clock."""

    digest: bytes
    source: Address  # of the sidecar that proposed it first
    proposer: str
    started_at: float
    deadline: float  # of the present state
    initial_view: View  # at the first survey
    view: View  # whose members are asked now
    state: RolloutState = RolloutState.PROPOSED
    plan: Plan | None = None  # once the body is here and parsed
    view_changes: int = 0
    was_testing: bool = False  # the time limit for testing counts from the first time only
    version: int = 0  # once it is put to the voters
    fetched_at: float = -inf
    proposals: dict[ProposalKey, Address] = field(default_factory=dict)  # whom to tell how it ends
    stored_by: set[ProcessKey] = field(default_factory=set)
    requested_at: dict[ProcessKey, float] = field(default_factory=dict)
    rejections: dict[ProcessKey, Reason] = field(default_factory=dict)  # of members that can't read it
    verdict: Verdict = field(default_factory=lambda: Verdict(CheckStage.SURVEYING, 0))

    @property
    def title(self) -> str:
        """The plan's title; "" until the body is parsed."""
        return self.plan.title if self.plan is not None else ""


def process_key(placed: ViewMember) -> ProcessKey:
    """Return the key of a member's process, which a restarted member does not share with the earlier one."""
    return placed.member.name, placed.incarnation


def reason_from(error: OperatorError, member: str = "") -> Reason:
    """Return an error as a reason about one member ("": about the plan)."""
    return Reason(member, error.code, error.what, error.do)
