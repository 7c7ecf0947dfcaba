"""What a leader keeps of the one push that is under way. Moved by `plan.lead` alone."""

from __future__ import annotations

from dataclasses import dataclass, field

from wheatring.errors import OperatorError
from wheatring.members.members import Address
from wheatring.members.view import View
from wheatring.members.words import Placed
from wheatring.plan.judge import Reason, Stage, Verdict
from wheatring.plan.messages import OFFERED
from wheatring.plan.words import Plan


def reason(told: OperatorError, member: str = "") -> Reason:
    return Reason(member, told.code, told.what, told.do)


@dataclass
class Push:
    """`held` and `asked` by (name, start) of a member's process."""

    digest: bytes
    source: Address  # where it was offered
    offerer: str
    since: float
    until: float
    first: View  # in which it began
    view: View  # in which members are asked
    state: str = OFFERED
    plan: Plan | None = None
    moves: int = 0
    tried: bool = False  # it has been
    number: int = 0
    fetched: float = float("-inf")
    offers: dict[tuple[str, int], Address] = field(default_factory=dict)
    held: set[tuple[str, int]] = field(default_factory=set)
    asked: dict[tuple[str, int], float] = field(default_factory=dict)
    no: dict[tuple[str, int], Reason] = field(default_factory=dict)  # who cannot read it, and why
    verdict: Verdict = field(default_factory=lambda: Verdict(Stage.SURVEYED, 0))

    @property
    def title(self) -> str:
        return self.plan.title if self.plan is not None else ""


def key(placed: Placed) -> tuple[str, int]:
    return placed.who.name, placed.start
