"""Assembles the components of agreed views and plans, for the daemon and for simulated fleets alike.

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

if TYPE_CHECKING:  # at run time, modules of plans are imported only if plans are enabled
    from wheatring.fleet.peers.plan_coordinator import PlanCoordinator

LEADER_SETTINGS = RoleSettings(LEADER_ROLE, voters_only=True)
VIEW_MESSAGES: Any = FleetMessage | RegisterMessage | ViewMessage
# A subject that does not answer, but sent a check itself within this time, is listed as `deaf`.
HEARD_RECENTLY_SECONDS = 3.0


def messages_with_plans() -> Any:
    """Return the union of all message types, including those of plans."""
    from wheatring.fleet.plan.messages import AnyPlanMessage
    from wheatring.fleet.schedule.messages import AnyScheduleMessage
    from wheatring.fleet.skew.messages import AnySkewMessage

    return VIEW_MESSAGES | AnyPlanMessage | AnySkewMessage | AnyScheduleMessage


class Agreement:
    """One sidecar's part in the agreed membership view and, if plans are enabled, the fleet's plan.

    It adds its components to those of `fleet`.
    """

    def __init__(self, at: Instant, fleet: Fleet, plan: PlanOptions | None = None) -> None:
        self.views = MembershipViews(at, fleet)
        self.plan: PlanCoordinator | None = None
        if plan is not None:
            from wheatring.fleet.peers.plan_coordinator import PlanCoordinator

            self.plan = PlanCoordinator(at, fleet, self.views, plan)
        fleet.components += self.components

    @property
    def components(self) -> list[FleetComponent]:
        """The components, in the order in which they receive events."""
        plan_components = [] if self.plan is None else self.plan.components
        return [self.views, self.views.register, *plan_components]

    def leave(self, at: Instant) -> list[Outgoing]:
        """Announce that this sidecar leaves the view."""
        return self.views.leave(at)

    def status(self, now: float) -> dict[str, Any]:
        """Return the view's status for `GET /control/duties`."""
        views = self.views
        age, deferral = views.stamp_age_seconds(now), views.join_deferral
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
            if deferral is None or views.is_member
            else [round(deferral.retry_after_seconds, 1), deferral.reason],
            "deaf": sorted(
                name
                for name, subject in views.monitor.edge_monitor.subjects.items()
                if subject.missed_checks > 2
                and now - views.monitor.last_heard_from.get(name, -1e9) < HEARD_RECENTLY_SECONDS
            ),
        }
