"""One sidecar's part in the agreed membership view: monitors members, installs views, proposes changes.

A sidecar installs a view only if the register `view` has chosen the entry and its payload is available.
Reports of unresponsive members are evidence only: the leader alone decides who is removed and who is
admitted, from the reports of the observers in the current view. A change takes effect once a majority of the
voters has accepted it.

Safety properties: two views of the same number always have the same members; a sidecar never goes back to a
lower view number; and it does not consider a view current (`is_current`) that no leader has confirmed for
`STAMP_VALID_SECONDS`.
"""

from __future__ import annotations

from typing import get_args

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.join_requester import JoinRequester
from wheatring.fleet.lease.leader_stamps import LeaderStamps
from wheatring.fleet.lease.register_messages import Entry
from wheatring.fleet.lease.replicated_register import ReplicatedRegister
from wheatring.fleet.lease.view_installer import ViewInstaller
from wheatring.fleet.lease.view_leader import ViewLeader
from wheatring.fleet.lease.view_monitor import ViewMonitor
from wheatring.fleet.lease.view_sender import ViewSender
from wheatring.fleet.members.edge_monitor import Isolation
from wheatring.fleet.members.messages import Address
from wheatring.fleet.members.view import View, ViewChange
from wheatring.fleet.members.view_messages import (
    HealthCheck,
    HealthCheckResponse,
    IndirectCheckRequest,
    IndirectCheckResult,
    JoinDeferred,
    JoinRequest,
    LeaderStamp,
    MissedCheck,
    UnresponsiveReport,
    ViewMessage,
)


class MembershipViews:
    """The fleet's component for membership views; its `register` is a separate component."""

    message_types = get_args(ViewMessage)

    def __init__(self, at: Instant, fleet: Fleet) -> None:
        self.fleet = fleet
        self.register = ReplicatedRegister(at, "view", fleet, self._handle_chosen)
        self.register.leader.recipients = lambda: self.view.names
        self.installer = ViewInstaller(at, fleet, self._handle_installed)
        self.stamps = LeaderStamps(at.now)
        sender = ViewSender(fleet, self.installer)
        self.monitor = ViewMonitor(at, fleet, self.installer, self.register, self.stamps, sender)
        self.leader = ViewLeader(at, fleet, self.installer, self.register, self.monitor, self.stamps, sender)
        self.joining = JoinRequester(at.now, fleet, self.installer, sender)
        self.sender = sender

    # State

    @property
    def view(self) -> View:
        """The view that this sidecar has installed."""
        return self.installer.view

    @property
    def is_member(self) -> bool:
        """Whether this process (name and incarnation) is a member of the installed view."""
        return self.installer.is_member

    @property
    def stamp(self) -> LeaderStamp:
        """The newest leader stamp known here."""
        return self.stamps.stamp

    @property
    def join_deferral(self) -> JoinDeferred | None:
        """The leader's last deferral of this sidecar's join request; None once it is a member."""
        return self.joining.deferral

    def stamp_age_seconds(self, now: float) -> float:
        """Return an upper bound of the age of the newest stamp known here, in seconds."""
        return self.stamps.age_seconds(now)

    def is_current(self, now: float) -> bool:
        """Return whether this sidecar may still rely on its installed view."""
        return self.is_member and self.stamps.is_valid(now) and self.stamp.view <= self.view.number

    def isolation(self, now: float) -> Isolation:
        """Return how this member of the view is cut off from the others, if it is."""
        return self.monitor.isolation(now)

    # Events

    @property
    def due(self) -> float:
        """The time at which `tick` next has work to do."""
        return min(self.monitor.due, self.leader.due, self.joining.due, self.installer.next_fetch_retry)

    def tick(self, at: Instant) -> list[Outgoing]:
        """Run the due actions of monitor, join requester, installer and leader."""
        if self.monitor.compensate_stall(at.now):
            self.leader.cut_detector.clear_evidence()
        out = self.monitor.tick(at) + self.joining.tick(at)
        if at.now >= self.installer.next_fetch_retry:
            self.installer.retry_fetch(self.register.learner.payload_source)
        return out + self.leader.tick(at)

    def receive(self, at: Instant, sender: str, address: Address, message: ViewMessage) -> list[Outgoing]:
        """Handle a message about views."""
        now = at.now
        self.monitor.edge_monitor.last_message = now
        match message:
            case HealthCheck():
                return self.monitor.handle_health_check(at, sender, address, message)
            case HealthCheckResponse():
                return self.monitor.handle_health_response(at, sender, address, message)
            case MissedCheck():
                self.monitor.edge_monitor.check_early(now, message.name)
            case UnresponsiveReport():
                return self.leader.handle_report(at, sender, message)
            case JoinRequest():
                return self.leader.handle_join_request(now, sender, address, message)
            case JoinDeferred():
                self.joining.handle_deferral(now, message)
            case IndirectCheckRequest():
                self.monitor.handle_indirect_request(now, address, message)
            case IndirectCheckResult():
                self.leader.cut_detector.record_reached(now, message.names)
        return []

    def receive_payload(self, at: Instant, digest: bytes, payload: bytes | None) -> list[Outgoing]:
        """Handle the result of a fetch; `payload` is None if the member did not have it."""
        return self.installer.receive_payload(at, digest, payload)

    def _handle_chosen(self, at: Instant, entry: Entry, payload: bytes) -> list[Outgoing]:
        return self.installer.handle_chosen(at, entry, payload, self.register.learner.payload_source)

    def _handle_installed(self, at: Instant, previous: View, change: ViewChange) -> list[Outgoing]:
        self.monitor.update_subjects(at.now)
        if self.is_member:
            self.joining.deferral = None
        return self.leader.handle_installed(at.now, previous, change)

    def leave(self, at: Instant) -> list[Outgoing]:  # noqa: ARG002 - the same signature as all events
        """Ask the voters to remove this sidecar immediately."""
        return self.sender.to_all_voters(UnresponsiveReport(self.view.number, ((self.fleet.me.name, 0.0),)))
