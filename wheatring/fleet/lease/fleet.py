"""One sidecar's part in the fleet: member, acceptor of leases, and candidate for singleton roles. No I/O.

It knows no sockets and reads no clocks: an `Instant` is given with every event, and what is to be sent is
returned as addresses and messages.
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
    """What came of a change of voters: why it is rejected ("": it is made), and what is to be sent."""

    objection: str
    outgoing: list[Outgoing]


class Fleet:
    """Hands the events of one process to its deciders, and gathers what they return.

    `incarnation` tells this process from earlier ones of its name. `heartbeats` and `fetch_requests` are for
    the caller, who empties them: what the holders of roles have announced, and which payloads are wanted.
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
        """The voters that this sidecar goes by."""
        return self.acceptor.voters

    @property
    def is_leaving(self) -> bool:
        """Whether it has announced that it leaves."""
        return self.members.gossip.has_left

    def change_voters(self, at: Instant, voters: VoterSet) -> VoterChange:
        """Go by other voters, if nothing speaks against it."""
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
        """Return the seconds until `tick` has something to do."""
        roles = self.role_manager.seconds_until_due(at)
        components = min((component.due for component in self.components), default=inf) - at.now
        return max(0.0, min(self.members.due - at.now, roles, components))

    def tick(self, at: Instant) -> list[Outgoing]:
        """Do what is due."""
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
        """Handle the answer to a fetch request: the complete payload, or None."""
        if payload is not None:
            self.payloads.put(payload)
        out = [
            sent for component in self.components for sent in component.receive_payload(at, digest, payload)
        ]
        self.role_manager.report_changes(at)
        return out

    def receive(self, at: Instant, sender: str, address: Address, message: Any) -> list[Outgoing]:
        """Handle a message whose sender is known to be a member of the fleet."""
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
                    sent
                    for component in self.components
                    if isinstance(message, component.message_types)
                    for sent in component.receive(at, sender, address, message)
                ]

    def _handle_acceptor_request(
        self, at: Instant, sender: str, address: Address, message: AcceptorRequest
    ) -> list[Outgoing]:
        if message.proposal.proposer != sender or not self.electorate.is_voter():
            return []
        response = self.acceptor.receive(at.boot, at.wall, message)
        return [(address, response)] if response is not None else []

    def broadcast(self, message: Any, audience: Collection[str] | None = None) -> list[Outgoing]:
        """Send a message to all members of the tier; see `Relay.broadcast`."""
        return self._relay.broadcast(message, audience)

    def relay(self, message: Any) -> list[Outgoing]:
        """Return what the receiver of a broadcast sends on."""
        return self._relay.relay(message)

    def leave(self, at: Instant) -> list[Outgoing]:
        """Give all roles back, and announce that it leaves."""
        out = self.role_manager.leave(at)
        return out + list(self.members.leave(at.now))
