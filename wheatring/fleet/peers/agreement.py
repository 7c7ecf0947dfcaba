"""Puts together the deciders of what a fleet agrees on: the same for the daemon and for the virtual fleet.

Imported only with `[fleet] view = true`. No I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wheatring.fleet.lease.component import FleetComponent, Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet, FleetMessage
from wheatring.fleet.lease.membership_views import MembershipViews
from wheatring.fleet.lease.register_leader import LEADER_ROLE
from wheatring.fleet.lease.register_messages import RegisterMessage
from wheatring.fleet.lease.singleton_role import RoleSettings
from wheatring.fleet.members.view_messages import ViewMessage
from wheatring.fleet.peers.options import PlanOptions
from wheatring.fleet.peers.status_values import shown_age

if TYPE_CHECKING:  # what belongs to plans is imported with them
    from wheatring.fleet.peers.plan_coordinator import PlanCoordinator

LEADER_SETTINGS = RoleSettings(LEADER_ROLE, voters_only=True)
VIEW_MESSAGES: Any = FleetMessage | RegisterMessage | ViewMessage
UNREACHED_SECONDS = 3.0  # without an answer, after which a watched member is listed as not answering


def messages_with_plans() -> Any:
    """Return the union of all message types, those of plans among them."""
    from wheatring.fleet.plan.messages import AnyPlanMessage
    from wheatring.fleet.schedule.messages import AnyScheduleMessage
    from wheatring.fleet.skew.messages import AnySkewMessage

    return VIEW_MESSAGES | AnyPlanMessage | AnySkewMessage | AnyScheduleMessage


class Agreement:
    """One sidecar's share in what the fleet agrees on: the view of its members, and its plan if there is one.

    It adds its deciders to those of `fleet`.
    """

    def __init__(self, at: Instant, fleet: Fleet, plan: PlanOptions | None = None) -> None:
        self.views = MembershipViews(at, fleet)
        self.plan: PlanCoordinator | None = None
        if plan is not None:
            from wheatring.fleet.peers.plan_coordinator import PlanCoordinator

            self.plan = PlanCoordinator(at, fleet, self.views, plan)
        fleet.components += self.deciders

    @property
    def deciders(self) -> list[FleetComponent]:
        """The deciders, in the order in which they receive events."""
        of_plan = [] if self.plan is None else self.plan.deciders
        return [self.views, self.views.register, *of_plan]

    def leave(self, at: Instant) -> list[Outgoing]:
        """Announce that this sidecar leaves the view."""
        return self.views.leave(at)

    def status(self, now: float) -> dict[str, Any]:
        """Describe the view for `GET /control/duties`."""
        views = self.views
        age, wait = views.stamp_age_seconds(now), views.join_deferral
        return {
            "number": views.view.number,
            "epoch": views.view.epoch,
            "members": len(views.view.members),
            "names": sorted(views.view.names),
            "inside": views.is_member,
            "sure": views.is_current(now),
            "age_s": shown_age(age),
            "for_s": round(now - views.installer.changed_at, 1),
            "moved": views.installer.change_count,
            "leads": views.register.is_ready,
            "side": views.isolation(now),
            "waits": None
            if wait is None or views.is_member
            else [round(wait.retry_after_seconds, 1), wait.reason],
            "deaf": sorted(
                name
                for name, subject in views.monitor.edge_monitor.subjects.items()
                if subject.missed_checks > 2
                and now - views.monitor.last_heard_from.get(name, -1e9) < UNREACHED_SECONDS
            ),
        }
