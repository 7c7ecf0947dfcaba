"""The leader's state of the rollout in progress. Only `plan.leader` changes it."""

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

ProcessKey = tuple[str, int]  # identifies a member's process: name and incarnation
ProposalKey = tuple[str, int]  # identifies a proposal: the proposer's name and its proposal id


@dataclass
class Rollout:
    """The rollout of one plan to all members. Instants are monotonic seconds of the leader's clock."""

    digest: bytes
    source: Address  # address of the first proposer, which has the body
    proposer: str
    started_at: float
    deadline: float  # deadline of the current state
    initial_view: View  # the view at the start of the first survey
    view: View  # the view whose members are checked now
    state: RolloutState = RolloutState.PROPOSED
    plan: Plan | None = None  # None until the body is fetched and parsed
    view_changes: int = 0
    was_testing: bool = False  # the time limit of TESTING starts only once
    version: int = 0  # 0 until it is sent to the voters
    fetched_at: float = -inf
    proposals: dict[ProposalKey, Address] = field(default_factory=dict)  # proposers to notify of the outcome
    stored_by: set[ProcessKey] = field(default_factory=set)
    requested_at: dict[ProcessKey, float] = field(default_factory=dict)
    rejections: dict[ProcessKey, Reason] = field(default_factory=dict)  # members that cannot read it
    verdict: Verdict = field(default_factory=lambda: Verdict(CheckStage.SURVEYING, 0))

    @property
    def title(self) -> str:
        """The plan's title; "" until the body is parsed."""
        return self.plan.title if self.plan is not None else ""


def process_key(view_member: ViewMember) -> ProcessKey:
    """Return the key of a member's process; it differs after a restart of the member."""
    return view_member.member.name, view_member.incarnation


def reason_from(error: OperatorError, member: str = "") -> Reason:
    """Return an error as a reason concerning one member, or the plan itself if `member` is ""."""
    return Reason(member, error.code, error.what, error.do)
