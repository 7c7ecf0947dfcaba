"""The interface between a rollout and its compatibility check, which `skew.checker` implements.

A verdict belongs to one body and one view. If the view changes before the plan is committed, new members are
checked too; members that have already answered are not asked again.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.members.view import View
from wheatring.fleet.plan.document import Plan


class CheckStage(Enum):
    """How far a compatibility check is. The values are part of `GET /control/plan`."""

    SURVEYING = "surveyed"  # members are asked for their capabilities
    TESTING = "tried"  # members compile the plan and answer its trials
    COMPATIBLE = "yes"  # every member of the verdict's view
    INCOMPATIBLE = "no"


class Reason(NamedTuple):
    """Why a plan is rejected or not committed yet.

    `member` is "" where the plan itself is meant; `code`, `what` and `do` are those of an error: its code,
    what happened, and what an operator can do. The names are keys of `GET /control/plan`.
    """

    member: str
    code: str
    what: str
    do: str


class Verdict(NamedTuple):
    """The result so far: `answered` of `members` have finished the present stage, in view `view_number`."""

    stage: CheckStage
    view_number: int
    answered: int = 0
    members: int = 0
    reasons: tuple[Reason, ...] = ()


class CompatibilityCheck(Protocol):
    """Checks one plan at a time against all members, at the sidecar that leads.

    Its messages to members go out with its own ticks: it is also a component of the fleet.
    """

    def start_check(self, at: Instant, digest: bytes, plan: Plan, view: View) -> list[Outgoing]:
        """Start a new check of the body with this digest."""

    def view_changed(self, at: Instant, view: View) -> list[Outgoing]:
        """Continue the check with the members of another view."""

    def verdict(self, now: float) -> Verdict:
        """Return the result so far, at `now` on the monotonic clock."""

    def stop_check(self) -> None:
        """Forget the check: the plan is committed or its rollout is over."""
