"""Requests admission for a sidecar that is not in the membership view. Performs no I/O."""

from __future__ import annotations

from math import inf

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.view_installer import ViewInstaller
from wheatring.fleet.lease.view_sender import ViewSender
from wheatring.fleet.members.view_messages import JoinDeferred, JoinRequest

JOIN_REQUEST_INTERVAL_SECONDS = 1.0  # the mean time between two join requests of a sidecar
MAX_DEFERRAL_SECONDS = 10.0  # the upper bound for the delay that a leader may request


class JoinRequester:
    """Requests admission from the voters until it is granted, and waits if a leader defers it.

    `deferral` is the leader's last deferral, None once this sidecar is a member.
    """

    def __init__(self, now: float, fleet: Fleet, installer: ViewInstaller, sender: ViewSender) -> None:
        self.fleet = fleet
        self.installer = installer
        self.sender = sender
        self.deferral: JoinDeferred | None = None
        self.next_request = now

    @property
    def due(self) -> float:
        """The time at which `tick` next has work to do."""
        return inf if self.installer.is_member else self.next_request

    def tick(self, at: Instant) -> list[Outgoing]:
        """Send a join request to the voters, if this sidecar is not a member and the request is due."""
        if self.installer.is_member or at.now < self.next_request:
            return []
        interval = JOIN_REQUEST_INTERVAL_SECONDS * (0.9 + 0.2 * self.fleet.random.random())
        self.next_request = at.now + interval
        request = JoinRequest(self.installer.view.number, self.installer.self_member)
        return self.sender.to_all_voters(request)

    def handle_deferral(self, now: float, message: JoinDeferred) -> None:
        """Wait for as long as a leader requests, up to `MAX_DEFERRAL_SECONDS`."""
        self.deferral = message
        earliest = now + min(message.retry_after_seconds, MAX_DEFERRAL_SECONDS) + 0.05
        self.next_request = max(self.next_request, earliest)
