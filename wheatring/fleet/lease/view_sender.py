"""Addresses messages on views: to one member of the present view, or to all voters. No I/O."""

from __future__ import annotations

from wheatring.fleet.lease.component import Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.view_installer import ViewInstaller
from wheatring.fleet.members.view_messages import ViewMessage


class ViewSender:
    """Finds the addresses for messages on views, by gossip first and by the view otherwise."""

    def __init__(self, fleet: Fleet, installer: ViewInstaller) -> None:
        self.fleet = fleet
        self.installer = installer

    def to_member(self, name: str, message: ViewMessage) -> list[Outgoing]:
        """Address a message to a member; [] if it is this one, or isn't known."""
        if name == self.fleet.me.name:
            return []
        address = self.fleet.members.address(name)
        if address is None:
            placed = self.installer.view.member(name)
            address = (placed.member.host, placed.member.port) if placed is not None else None
        return [(address, message)] if address is not None else []

    def to_all_voters(self, message: ViewMessage) -> list[Outgoing]:
        """Address a message to each voter."""
        return self.fleet.electorate.to_voters([(voter, message) for voter in self.fleet.voters.names])
