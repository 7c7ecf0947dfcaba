"""Addresses messages about views to one member or to all voters. Performs no I/O."""

from __future__ import annotations

from wheatring.fleet.lease.component import Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.view_installer import ViewInstaller
from wheatring.fleet.members.view_messages import ViewMessage


class ViewSender:
    """Looks up addresses for messages about views, first in gossip and then in the installed view."""

    def __init__(self, fleet: Fleet, installer: ViewInstaller) -> None:
        self.fleet = fleet
        self.installer = installer

    def to_member(self, name: str, message: ViewMessage) -> list[Outgoing]:
        """Address a message to a member; empty if that is this sidecar or is unknown."""
        if name == self.fleet.me.name:
            return []
        address = self.fleet.members.address(name)
        if address is None:
            view_member = self.installer.view.member(name)
            address = (view_member.member.host, view_member.member.port) if view_member is not None else None
        return [(address, message)] if address is not None else []

    def to_all_voters(self, message: ViewMessage) -> list[Outgoing]:
        """Address a message to each voter."""
        return self.fleet.electorate.to_voters([(voter, message) for voter in self.fleet.voters.names])
