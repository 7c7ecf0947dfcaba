"""What a leader keeps of the one push that is under way. Moved by `plan.lead` alone."""

from __future__ import annotations

from dataclasses import dataclass, field

from wheatring.errors import OperatorError
from wheatring.members.members import Address
from wheatring.members.view import View
from wheatring.members.words import Placed
from wheatring.plan.compatibility import CheckStage, Reason, Verdict
from wheatring.plan.document import Plan
from wheatring.plan.messages import OFFERED


def reason_from(told: OperatorError, member: str = "") -> Reason:
    return Reason(member, told.code, told.what, told.do)


@dataclass
class Rollout:
    """`held` and `asked` by (name, start) of a member's process."""

    digest: bytes
    source: Address  # where it was offered
    proposer: str
    started_at: float
    deadline: float
    initial_view: View  # in which it began
    view: View  # in which members are asked
    state: str = OFFERED
    plan: Plan | None = None
    view_changes: int = 0
    was_testing: bool = False  # it has been
    version: int = 0
    fetched_at: float = float("-inf")
    proposals: dict[tuple[str, int], Address] = field(default_factory=dict)
    stored_by: set[tuple[str, int]] = field(default_factory=set)
    requested_at: dict[tuple[str, int], float] = field(default_factory=dict)
    rejections: dict[tuple[str, int], Reason] = field(default_factory=dict)  # who cannot read it, and why
    verdict: Verdict = field(default_factory=lambda: Verdict(CheckStage.SURVEYING, 0))

    @property
    def title(self) -> str:
        return self.plan.title if self.plan is not None else ""


def process_key(placed: Placed) -> tuple[str, int]:
    return placed.who.name, placed.start
