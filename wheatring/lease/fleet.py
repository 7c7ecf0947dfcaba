"""One sidecar's part in the fleet: member, acceptor of leases, and candidate for singleton roles. No I/O.

It knows no sockets and reads no clocks: an `Instant` is given with every event, and what is to be sent is
returned as addresses and messages.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from math import inf
from random import Random
from typing import Any

from msgspec import structs

from wheatring.lease.acceptor import Acceptor
from wheatring.lease.component import FleetComponent, Instant, Outgoing
from wheatring.lease.messages import (
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
from wheatring.lease.payloads import FetchRequest, PayloadStore
from wheatring.lease.relay import Relay
from wheatring.lease.singleton_role import RoleChange, RoleSettings, SingletonRole, lease_names
from wheatring.lease.timing import LeaseTiming
from wheatring.lease.voters import VoterSet, numbered_voter
from wheatring.members.membership import Membership
from wheatring.members.messages import (
    LEFT,
    Ack,
    Address,
    Fact,
    MemberInfo,
    Nack,
    Ping,
    PingRequest,
    SwimMessage,
    SyncRequest,
    SyncResponse,
)
from wheatring.members.timing import SwimTiming

MAX_CANDIDATES = 5  # sidecars that bid for a role at the same time
CANDIDACY_INTERVAL_SECONDS = 0.5  # between two checks of who is a candidate
FleetMessage = SwimMessage | AcceptorRequest | AcceptorResponse | LeaseReleased | Heartbeat


class Fleet:
    """Everything that one process decides as a member of the fleet.

    `incarnation` tells this process from earlier ones of its name. `role_changes`, `heartbeats` and
    `fetch_requests` are for the caller, who empties them: what roles were gained or lost, what the holders of
    roles have announced, and which payloads are wanted.
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
        self.me = me
        self.incarnation = incarnation
        self.timing = timing
        self.random = random
        self.role_settings = {settings.name: settings for settings in role_settings}
        leases = [lease for settings in role_settings for lease in lease_names(settings.name, settings.slots)]
        self.members = Membership(at.now, me, incarnation, seeds, swim_timing, random, leases)
        self.acceptor = Acceptor(at.boot, timing, voters, leases)
        self.roles = {
            settings.name: SingletonRole(
                settings.name,
                settings.slots,
                me.name,
                incarnation,
                timing,
                voters,
                random,
                settings.idle_seconds,
            )
            for settings in role_settings
        }
        self.requested_roles = {settings.name for settings in role_settings if not settings.on_request}
        self.held_epochs: dict[str, int] = {}  # of roles held, as far as it was reported
        self.role_changes: list[RoleChange] = []
        self.heartbeats: list[Heartbeat] = []
        self.next_candidacy = at.now
        self.is_leaving = False
        self.components: list[FleetComponent] = []
        self.payloads = PayloadStore()
        self.fetch_requests: list[FetchRequest] = []
        self._relay = Relay(self.members, random)

    # Voters

    @property
    def voters(self) -> VoterSet:
        """The voters that this sidecar goes by."""
        return self.acceptor.voters

    def is_voter(self) -> bool:
        """Return whether this sidecar votes."""
        return not self.is_leaving and bool({*self.voters.names} & {*self.voter_names(self.me)})

    def voter_names(self, member: MemberInfo) -> tuple[str, str]:
        """Return the names that a member may have among the voters: its address, and its number."""
        return f"{member.host}:{member.port}", numbered_voter(member.number)

    def voter_names_of_sender(self, sender: str) -> tuple[str, ...]:
        """Return the names that a sender may have among the voters; (): it isn't known yet."""
        if sender == self.me.name:
            return self.voter_names(self.me)
        record = self.members.table.records.get(sender)
        return self.voter_names(record.member) if record is not None else ()

    def to_voters(self, requests: Sequence[tuple[str, Any]]) -> list[Outgoing]:
        """Return messages to voters with their addresses. Its own vote takes the same way as all."""
        out: list[Outgoing] = []
        for name, message in requests:
            address = self._voter_address(name)
            if address is not None:
                out.append((address, message))
        return out

    def _voter_address(self, name: str) -> Address | None:
        if not name.startswith("#"):
            host, _, port = name.rpartition(":")
            return host, int(port)
        if name == numbered_voter(self.me.number):
            return self.me.host, self.me.port
        # Whoever is suspected is asked too: one that hears nothing suspects all others, and is believed.
        records = [
            record
            for record in self.members.table.records.values()
            if record.state != LEFT
            and record.member.tier == self.me.tier
            and numbered_voter(record.member.number) == name
        ]
        return max(records, key=lambda record: record.incarnation).address if records else None

    def change_voters(self, at: Instant, voters: VoterSet) -> tuple[str, list[Outgoing]]:
        """Go by other voters; return why not ("": it does), and what is to be sent."""
        adopted = {
            record.member.voters_digest for record in self.members.table.records.values() if record.is_present
        }
        if objection := self.acceptor.change_voters(at.boot, voters, voters.digest in adopted):
            return objection, []
        out: list[Outgoing] = []
        for role in self.roles.values():
            out += self.to_voters(role.change_voters(at.boot, voters))
        self.me = self.me._replace(voters_digest=voters.digest)
        self.members.gossip.update_identity(self.me)
        self._report_role_changes(at)
        return "", out

    # Events

    def seconds_until_due(self, at: Instant) -> float:
        """Return the seconds until `tick` has something to do."""
        roles = min((role.due for role in self.roles.values()), default=inf) - at.boot
        components = min((component.due for component in self.components), default=inf) - at.now
        return max(0.0, min(self.members.due - at.now, self.next_candidacy - at.now, roles, components))

    def tick(self, at: Instant) -> list[Outgoing]:
        """Do what is due."""
        if self.is_leaving:
            return []
        out: list[Outgoing] = list(self.members.tick(at.now))
        if at.now >= self.next_candidacy:
            self.next_candidacy = at.now + CANDIDACY_INTERVAL_SECONDS
            out += self._update_candidacies(at)
        for role in self.roles.values():
            out += self.to_voters(role.tick(at.boot))
        for component in self.components:
            if at.now >= component.due:
                out += component.tick(at)
        self._report_role_changes(at)
        return out

    def receive_payload(self, at: Instant, digest: bytes, payload: bytes | None) -> list[Outgoing]:
        """Handle the answer to a fetch request: the complete payload, or None."""
        if payload is not None:
            self.payloads.put(payload)
        out = [
            sent for component in self.components for sent in component.receive_payload(at, digest, payload)
        ]
        self._report_role_changes(at)
        return out

    def receive(self, at: Instant, sender: str, address: Address, message: Any) -> list[Outgoing]:
        """Handle a message whose sender is known to be a member of the fleet."""
        out = self._dispatch(at, sender, address, message)
        for fact in self.members.gossip.new_facts:
            if (role := self._role_of_lease(fact.key)) is not None:
                role.note_epoch(fact.key, fact.version)
        self.members.gossip.new_facts.clear()
        self._report_role_changes(at)
        return out

    def _dispatch(self, at: Instant, sender: str, address: Address, message: Any) -> list[Outgoing]:
        match message:
            case Prepare() | Propose() | Release():
                return self._on_acceptor_request(at, sender, address, message)
            case Promise() | Accepted() | Rejection():
                return self._on_acceptor_response(at, sender, message)
            case LeaseReleased():
                if (role := self._role_of_lease(message.lease)) is not None:
                    role.note_epoch(message.lease, message.epoch)
                    role.note_released(at.boot, message.lease, message.next_holder == self.me.name)
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

    def _on_acceptor_request(
        self, at: Instant, sender: str, address: Address, message: AcceptorRequest
    ) -> list[Outgoing]:
        if message.proposal.proposer != sender or not self.is_voter():
            return []
        response = self.acceptor.receive(at.boot, at.wall, message)
        return [(address, response)] if response is not None else []

    def _on_acceptor_response(self, at: Instant, sender: str, message: AcceptorResponse) -> list[Outgoing]:
        role = self._role_of_lease(message.lease)
        if role is None or message.proposal.process != (self.me.name, self.incarnation):
            return []
        for name in self.voter_names_of_sender(sender):
            if name in self.voters.names:
                return self.to_voters(role.receive(at.boot, name, message))
        return []

    def _role_of_lease(self, lease: str) -> SingletonRole | None:
        return self.roles.get(lease.partition("/")[0])

    def broadcast(self, message: Any, audience: Collection[str] | None = None) -> list[Outgoing]:
        """Send a message to all members of the tier; see `Relay.broadcast`."""
        return self._relay.broadcast(message, audience)

    def relay(self, message: Any) -> list[Outgoing]:
        """Return what the receiver of a broadcast sends on."""
        return self._relay.relay(message)

    # Roles

    def _update_candidacies(self, at: Instant) -> list[Outgoing]:
        out: list[Outgoing] = []
        for name, role in self.roles.items():
            out += self.to_voters(role.set_rank(at.boot, self._candidate_rank(name, role)))
        return out

    def _candidate_rank(self, name: str, role: SingletonRole) -> int | None:
        """Return this sidecar's rank among the candidates for a role; None: it is no candidate."""
        if name not in self.requested_roles:
            return None
        if self.role_settings[name].on_request:
            return 0
        if self.role_settings[name].voters_only and not self.is_voter():
            return None
        names = [member.name for member in self.candidates(name)]
        rank = names.index(self.me.name) if self.me.name in names else MAX_CANDIDATES
        return rank if rank < MAX_CANDIDATES or role.held_lease is not None else None

    def candidates(self, name: str) -> list[MemberInfo]:
        """Return who may hold a role, in their order.

        They are ordered by number; where the role `prefers_zone`, those in the last holder's zone come first.
        """
        alive = self.members.alive_members()
        if self.role_settings[name].voters_only:
            voters = {*self.voters.names}
            alive = [member for member in alive if not voters.isdisjoint(self.voter_names(member))]
        if not self.role_settings[name].prefers_zone:
            return alive
        holder = self.last_known_holder(name)[0]
        zone = next((member.zone for member in alive if member.name == holder), "")
        return sorted(alive, key=lambda member: (member.zone != zone, member.number, member.name))

    def last_known_holder(self, name: str, slot: int = 0) -> tuple[str, int]:
        """Return who holds or last held a slot, as far as was heard, and in which epoch."""
        fact = self.members.gossip.facts.facts.get(f"{name}/{slot}")
        return (fact.value, fact.version) if fact is not None else ("", 0)

    def _report_role_changes(self, at: Instant) -> None:
        """Report what it has come to hold, or holds no more."""
        for name, role in self.roles.items():
            epoch = role.epoch_to_act(at.boot)
            was = self.held_epochs.get(name)
            if epoch == was:
                continue
            if was is not None:
                del self.held_epochs[name]
                self.role_changes.append(RoleChange(name, was, "over"))
            if epoch is not None and role.held_lease is not None:
                self.held_epochs[name] = epoch
                self.role_changes.append(RoleChange(name, epoch))
                self.members.gossip.publish(Fact(role.held_lease.lease, epoch, self.me.name))

    def request_role(self, at: Instant, name: str, is_requested: bool) -> list[Outgoing]:
        """Become a candidate for a role that is held on request only, or stop being one."""
        if is_requested:
            self.requested_roles.add(name)
            out = self.to_voters(self.roles[name].set_rank(at.boot, 0))
            self._report_role_changes(at)
            return out
        self.requested_roles.discard(name)
        return self.release_role(at, name, 0.0)

    def release_role(self, at: Instant, name: str, exclusion_leases: float = 1.0) -> list[Outgoing]:
        """Give a role back, announce that to the candidates, and be none for so many lease lengths."""
        role = self.roles[name]
        held = role.held_lease
        out = self.to_voters(role.step_down(at.boot, exclusion_leases * self.timing.lease_seconds))
        self._report_role_changes(at)
        if held is None:
            return out
        others = [member for member in self.candidates(name) if member.name != self.me.name][:MAX_CANDIDATES]
        for member in others:
            out.append(((member.host, member.port), LeaseReleased(held.lease, held.epoch, others[0].name)))
        return out

    def leave(self, at: Instant) -> list[Outgoing]:
        """Give all roles back, and announce that it leaves."""
        out: list[Outgoing] = []
        for name, settings in self.role_settings.items():
            if not settings.on_request:  # else it is kept while this one is away, as long as the lease lasts
                out += self.release_role(at, name)
        self.is_leaving = True
        return out + list(self.members.leave(at.now))
