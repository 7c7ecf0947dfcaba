"""The interface between a rollout and its compatibility check, which `skew.checker` implements.

A verdict holds for one plan body and one view. If the view changes before the plan is committed, the new
members are checked as well; members that have already answered are not asked again.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.members.view import View
from wheatring.fleet.plan.document import Plan


class CheckStage(Enum):
    """The stage of a compatibility check. The values appear in `GET /control/plan`."""

    SURVEYING = "surveyed"  # collecting the members' capabilities
    TESTING = "tried"  # members compile the plan and evaluate its trials
    COMPATIBLE = "yes"  # all members of the verdict's view can apply the plan
    INCOMPATIBLE = "no"


class Reason(NamedTuple):
    """Why a plan is rejected or not committed yet.

    `member` is the member at fault, "" if the fault is in the plan itself. `code`, `what` and `do` come from
    an `OperatorError`: its code, what happened, and what an operator can do. The field names are keys of `GET
    /control/plan`.
    """

    member: str
    code: str
    what: str
    do: str


class Verdict(NamedTuple):
    """The result so far: `answered` of `members` in view `view_number` have finished the current stage."""

    stage: CheckStage
    view_number: int
    answered: int = 0
    members: int = 0
    reasons: tuple[Reason, ...] = ()


class CompatibilityCheck(Protocol):
    """Checks one plan at a time against all members; runs at the leader.

    The implementation is also a fleet component and sends its messages to members in its own ticks.
    """

    def start_check(self, at: Instant, digest: bytes, plan: Plan, view: View) -> list[Outgoing]:
        """Start a new check of the plan body with this digest."""

    def view_changed(self, at: Instant, view: View) -> list[Outgoing]:
        """Continue the check with the members of a new view."""

    def verdict(self, now: float) -> Verdict:
        """Return the result so far, at `now` on the monotonic clock."""

    def stop_check(self) -> None:
        """Discard the check once the plan is committed or its rollout has ended."""
