"""Logs changes of the fleet as seen by one sidecar: members' states, the agreed view, and its validity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wheatring.common import log
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.members.messages import STATES

if TYPE_CHECKING:  # at run time, modules of agreed views are imported only if views are enabled
    from wheatring.fleet.lease.membership_views import MembershipViews


class ChangeLog:
    """Keeps the values logged last, so that only changes are logged."""

    def __init__(self) -> None:
        self.logged_states: dict[str, int] = {}  # by name of the member
        self.logged_view = (0, False)  # its number, and whether this sidecar is a member
        self.logged_validity = (False, "")  # whether the view is current, and how this sidecar is isolated

    def log_members(self, fleet: Fleet) -> None:
        """Log each member whose state has changed."""
        for name in fleet.members.gossip.changed_names:
            record = fleet.members.table.records.get(name)
            if record is not None and self.logged_states.get(name) != record.state:
                self.logged_states[name] = record.state
                log.line("member", name=name, state=STATES[record.state], incarnation=record.incarnation)
        fleet.members.gossip.changed_names.clear()

    def log_view(self, views: MembershipViews, now: float) -> None:
        """Log a new view, and changes of its validity."""
        if self.logged_view != (views.view.number, views.is_member):
            self.logged_view = (views.view.number, views.is_member)
            view = views.view
            log.line("view", number=view.number, members=len(view.members), inside=int(views.is_member))
        validity = (views.is_current(now), views.isolation(now))
        if self.logged_validity != validity and views.view.number:
            self.logged_validity = validity
            log.line("view-standing", sure=int(validity[0]), side=validity[1] or "whole")
