"""What the push of a plan asks of whoever judges it: `skew` does, put in by `peers/pieces`.

A verdict belongs to one body and one view. If the view moves before the plan is settled, whoever is new is
surveyed and tried too; who was asked before need not be asked again.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

from wheatring.lease.fleet import Instant, Out
from wheatring.members.view import View
from wheatring.plan.words import Plan


class Stage(Enum):
    SURVEYED = "surveyed"  # being: every member is asked what it can
    TRIED = "tried"  # being: every member compiles it and answers its trials
    YES = "yes"  # of all members of `view`
    NO = "no"


class Reason(NamedTuple):
    """Why a plan is refused or not settled yet: which member ("": the plan itself), the code of an error,
    what is the matter, and what would do.
    """

    member: str
    code: str
    what: str
    do: str


class Verdict(NamedTuple):
    stage: Stage
    view: int  # the number of the view that it belongs to
    asked: int = 0  # members that have answered in this stage,
    of: int = 0  # of so many
    reasons: tuple[Reason, ...] = ()


class Judge(Protocol):
    """Leads the survey and the trial of one plan at a time, at the sidecar that leads. What it says to the
    members goes out with its own ticks and words: it is a piece of the fleet besides.
    """

    def begin(self, at: Instant, digest: bytes, plan: Plan, view: View) -> list[Out]:
        """Judge these bytes anew."""

    def moved(self, at: Instant, view: View) -> list[Out]:
        """The view is another one now."""

    def verdict(self, now: float) -> Verdict: ...

    def end(self) -> None:
        """It is settled or withdrawn."""
