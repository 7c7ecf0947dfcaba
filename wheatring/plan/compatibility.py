"""What the push of a plan asks of whoever judges it: `skew` does, put in by `peers/pieces`.

A verdict belongs to one body and one view. If the view moves before the plan is settled, whoever is new is
surveyed and tried too; who was asked before need not be asked again.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

from wheatring.lease.fleet import Instant, Out
from wheatring.members.view import View
from wheatring.plan.document import Plan


class CheckStage(Enum):
    SURVEYING = "surveyed"  # being: every member is asked what it can
    TESTING = "tried"  # being: every member compiles it and answers its trials
    COMPATIBLE = "yes"  # of all members of `view`
    INCOMPATIBLE = "no"


class Reason(NamedTuple):
    """Why a plan is refused or not settled yet: which member ("": the plan itself), the code of an error,
    what is the matter, and what would do.
    """

    member: str
    code: str
    what: str
    do: str


class Verdict(NamedTuple):
    stage: CheckStage
    view_number: int  # the number of the view that it belongs to
    answered: int = 0  # members that have answered in this stage,
    members: int = 0  # of so many
    reasons: tuple[Reason, ...] = ()


class CompatibilityCheck(Protocol):
    """Leads the survey and the trial of one plan at a time, at the sidecar that leads. What it says to the
    members goes out with its own ticks and words: it is a piece of the fleet besides.
    """

    def start_check(self, at: Instant, digest: bytes, plan: Plan, view: View) -> list[Out]:
        """Judge these bytes anew."""

    def view_changed(self, at: Instant, view: View) -> list[Out]:
        """The view is another one now."""

    def verdict(self, now: float) -> Verdict: ...

    def stop_check(self) -> None:
        """It is settled or withdrawn."""
