"""Puts the further deciders of one sidecar together: the same for the daemon and for the virtual fleet.

Imported only with `[fleet] view = true`. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from wheatring.lease.fleet import AnyWord, DutyPlan, Fleet, Instant, Piece
from wheatring.lease.register import LEAD
from wheatring.lease.views import Views
from wheatring.lease.words import RegisterWord
from wheatring.members.words import AnyViewWord

if TYPE_CHECKING:  # what belongs to plans is imported with them
    from wheatring.peers.plan_coordinator import PlanCoordinator

LEADER_DUTY = DutyPlan(LEAD, voters=True)
VIEW_MESSAGES: Any = AnyWord | RegisterWord | AnyViewWord


def messages_with_plans() -> Any:
    """Those, and the words on plans."""
    from wheatring.plan.messages import PushWord
    from wheatring.schedule.words import ScheduleWord
    from wheatring.skew.words import SkewWord

    return VIEW_MESSAGES | PushWord | SkewWord | ScheduleWord


class PlanOptions(NamedTuple):
    """What a sidecar that goes by the fleet's plan needs besides; see `planned.Planned`."""

    formats: tuple[int, ...] | None
    weigh: Callable[[str, Mapping[str, int]], None]
    tell: Callable[[str, dict[str, Any]], None]
    first: bytes = b""


class Agreement:
    """What one sidecar has of all that is agreed. `plan` None: who is there, and nothing else."""

    def __init__(self, at: Instant, fleet: Fleet, plan: PlanOptions | None = None) -> None:
        self.views = Views(at, fleet)
        self.planned: PlanCoordinator | None = None
        if plan is not None:
            from wheatring.peers.plan_coordinator import PlanCoordinator

            self.planned = PlanCoordinator(at, fleet, self.views, *plan)
        fleet.pieces += self.deciders

    @property
    def deciders(self) -> list[Piece]:
        more = [] if self.planned is None else self.planned.deciders
        return [self.views, self.views.register, *more]

    def leave(self, at: Instant) -> list[Any]:
        return self.views.leave(at)

    def status(self, now: float) -> dict[str, Any]:
        """For `GET /control/duties`."""
        views = self.views
        age, wait = views.age(now), views.told_wait
        return {
            "number": views.view.number,
            "epoch": views.view.epoch,
            "members": len(views.view.members),
            "names": sorted(views.view.names),
            "inside": views.inside,
            "sure": views.sure(now),
            "age_s": None if age > 1e6 else round(age, 1),
            "for_s": round(now - views.since, 1),
            "moved": views.moved,
            "leads": views.register.ready,
            "side": views.side(now),
            "waits": None if wait is None or views.inside else [round(wait.left, 1), wait.why],
            "deaf": sorted(
                name
                for name, subject in views.watch.subjects.items()
                if subject.looks > 2 and now - views.sides.get(name, -1e9) < 3.0
            ),
        }
