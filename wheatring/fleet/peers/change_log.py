"""Logs what changes in the fleet as one sidecar knows it: members, the agreed view, how far it is trusted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wheatring.common import log
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.members.messages import STATES

if TYPE_CHECKING:  # what belongs to agreed views is imported with them
    from wheatring.fleet.lease.membership_views import MembershipViews


class ChangeLog:
    """Keeps what was logged last, so that only changes are logged."""

    def __init__(self) -> None:
        self.states: dict[str, int] = {}  # of members, by name
        self.view = (0, False)  # its number, and whether this sidecar is in it
        self.standing = (False, "")  # whether the view is confirmed, and on which side of a partition

    def log_members(self, fleet: Fleet) -> None:
        """Log each member whose state has changed."""
        for name in fleet.members.gossip.changed_names:
            row = fleet.members.table.records.get(name)
            if row is not None and self.states.get(name) != row.state:
                self.states[name] = row.state
                log.line("member", name=name, state=STATES[row.state], incarnation=row.incarnation)
        fleet.members.gossip.changed_names.clear()

    def log_view(self, views: MembershipViews, now: float) -> None:
        """Log a new view, and whether it may be relied on."""
        if self.view != (views.view.number, views.is_member):
            self.view = (views.view.number, views.is_member)
            view = views.view
            log.line("view", number=view.number, members=len(view.members), inside=int(views.is_member))
        standing = (views.is_current(now), views.isolation(now))
        if self.standing != standing and views.view.number:
            self.standing = standing
            log.line("view-standing", sure=int(standing[0]), side=standing[1] or "whole")
