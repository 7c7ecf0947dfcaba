"""One sidecar's part in the fleet: member, acceptor of leases, and candidate for singleton roles.

Uses no sockets and reads no clocks: each event is passed in with its `Instant`, and outgoing messages are
returned with their addresses.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from math import inf
from random import Random
from typing import Any, NamedTuple

from msgspec import structs

from wheatring.fleet.lease.acceptor import Acceptor
from wheatring.fleet.lease.component import FleetComponent, Instant, Outgoing
from wheatring.fleet.lease.electorate import Electorate
from wheatring.fleet.lease.messages import (
    Accepted,
    AcceptorRequest,
    AcceptorResponse,
    Heartbeat,
    LeaseReleased,
    Prepare,
    Promise,
    Propose,
    Rejection,
    Release,
)
from wheatring.fleet.lease.payloads import FetchRequest, PayloadStore
from wheatring.fleet.lease.relay import Relay
from wheatring.fleet.lease.role_manager import RoleManager
from wheatring.fleet.lease.singleton_role import RoleSettings, lease_names
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet
from wheatring.fleet.members.membership import Membership
from wheatring.fleet.members.messages import (
    Ack,
    Address,
    MemberInfo,
    Nack,
    Ping,
    PingRequest,
    SwimMessage,
    SyncRequest,
    SyncResponse,
)
from wheatring.fleet.members.timing import SwimTiming

FleetMessage = SwimMessage | AcceptorRequest | AcceptorResponse | LeaseReleased | Heartbeat


class VoterChange(NamedTuple):
    """The result of a change of voters: the reason for a rejection, or "", and the outgoing messages."""

    objection: str
    outgoing: list[Outgoing]


class Fleet:
    """Dispatches the events of one process to its components, and collects their outgoing messages.

    `incarnation` distinguishes this process from earlier ones of the same name. `heartbeats` collects the
    announcements of role holders and `fetch_requests` the payloads to fetch; the caller drains both.
    """

    def __init__(
        self,
        at: Instant,
        me: MemberInfo,
        incarnation: int,
        seeds: list[Address],
        voters: VoterSet,
        role_settings: Sequence[RoleSettings],
        timing: LeaseTiming,
        swim_timing: SwimTiming,
        random: Random,
    ) -> None:
        self.incarnation = incarnation
        self.timing = timing
        self.random = random
        leases = [lease for settings in role_settings for lease in lease_names(settings.name, settings.slots)]
        self.members = Membership(at.now, me, incarnation, seeds, swim_timing, random, leases)
        self.acceptor = Acceptor(at.boot, timing, voters, leases)
        self.electorate = Electorate(self.members, self.acceptor)
        self.role_manager = RoleManager(
            at, incarnation, role_settings, self.members, self.electorate, timing, random
        )
        self.roles = self.role_manager.roles
        self.heartbeats: list[Heartbeat] = []
        self.components: list[FleetComponent] = []
        self.payloads = PayloadStore()
        self.fetch_requests: list[FetchRequest] = []
        self._relay = Relay(self.members, random)

    @property
    def me(self) -> MemberInfo:
        """The description of this sidecar as a member."""
        return self.members.me

    @property
    def voters(self) -> VoterSet:
        """The voter set that this sidecar uses."""
        return self.acceptor.voters

    @property
    def is_leaving(self) -> bool:
        """Whether this sidecar has announced that it is leaving."""
        return self.members.gossip.has_left

    def change_voters(self, at: Instant, voters: VoterSet) -> VoterChange:
        """Switch to another voter set, unless the acceptor rejects the change."""
        adopted = {
            record.member.voters_digest for record in self.members.table.records.values() if record.is_present
        }
        if objection := self.acceptor.change_voters(at.boot, voters, voters.digest in adopted):
            return VoterChange(objection, [])
        out = self.role_manager.change_voters(at, voters)
        self.members.gossip.update_identity(self.me._replace(voters_digest=voters.digest))
        self.role_manager.report_changes(at)
        return VoterChange("", out)

    # Events

    def seconds_until_due(self, at: Instant) -> float:
        """Return the seconds until `tick` next has work to do."""
        roles = self.role_manager.seconds_until_due(at)
        components = min((component.due for component in self.components), default=inf) - at.now
        return max(0.0, min(self.members.due - at.now, roles, components))

    def tick(self, at: Instant) -> list[Outgoing]:
        """Run the due actions of membership, roles and components."""
        if self.is_leaving:
            return []
        out: list[Outgoing] = list(self.members.tick(at.now))
        out += self.role_manager.tick(at)
        for component in self.components:
            if at.now >= component.due:
                out += component.tick(at)
        self.role_manager.report_changes(at)
        return out

    def receive_payload(self, at: Instant, digest: bytes, payload: bytes | None) -> list[Outgoing]:
        """Handle the result of a fetch request: the complete payload, or None."""
        if payload is not None:
            self.payloads.put(payload)
        out = [
            outgoing
            for component in self.components
            for outgoing in component.receive_payload(at, digest, payload)
        ]
        self.role_manager.report_changes(at)
        return out

    def receive(self, at: Instant, sender: str, address: Address, message: Any) -> list[Outgoing]:
        """Handle a message whose sender has been authenticated as a member of the fleet."""
        out = self._dispatch(at, sender, address, message)
        self.role_manager.handle_facts()
        self.role_manager.report_changes(at)
        return out

    def _dispatch(self, at: Instant, sender: str, address: Address, message: Any) -> list[Outgoing]:
        match message:
            case Prepare() | Propose() | Release():
                return self._handle_acceptor_request(at, sender, address, message)
            case Promise() | Accepted() | Rejection():
                return self.role_manager.handle_acceptor_response(at, sender, message)
            case LeaseReleased():
                self.role_manager.handle_released(at, message)
                return []
            case Heartbeat():
                self.heartbeats.append(structs.replace(message, to=()))
                return self.relay(message)
            case Ping() | Ack() | PingRequest() | Nack() | SyncRequest() | SyncResponse():
                return list(self.members.receive(at.now, sender, address, message))
            case _:
                return [
                    outgoing
                    for component in self.components
                    if isinstance(message, component.message_types)
                    for outgoing in component.receive(at, sender, address, message)
                ]

    def _handle_acceptor_request(
        self, at: Instant, sender: str, address: Address, message: AcceptorRequest
    ) -> list[Outgoing]:
        if message.proposal.proposer != sender or not self.electorate.is_voter():
            return []
        response = self.acceptor.receive(at.boot, at.wall, message)
        return [(address, response)] if response is not None else []

    def broadcast(self, message: Any, recipients: Collection[str] | None = None) -> list[Outgoing]:
        """Send a message to the members of the tier; see `Relay.broadcast`."""
        return self._relay.broadcast(message, recipients)

    def relay(self, message: Any) -> list[Outgoing]:
        """Return the messages with which the receiver of a broadcast relays it."""
        return self._relay.relay(message)

    def leave(self, at: Instant) -> list[Outgoing]:
        """Release the roles, except those held on request, and announce that this sidecar leaves."""
        out = self.role_manager.leave(at)
        return out + list(self.members.leave(at.now))
