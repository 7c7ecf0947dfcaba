"""The singleton roles of one sidecar: its candidacies, ranks and held leases. Performs no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from random import Random

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.electorate import Electorate
from wheatring.fleet.lease.messages import AcceptorResponse, LeaseReleased
from wheatring.fleet.lease.singleton_role import KnownHolder, RoleChange, RoleSettings, SingletonRole
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet
from wheatring.fleet.members.membership import Membership
from wheatring.fleet.members.messages import Fact, MemberInfo

MAX_CANDIDATES = 5  # the most sidecars that compete for a role at the same time
CANDIDACY_INTERVAL_SECONDS = 0.5  # the time between two updates of this sidecar's ranks


class RoleManager:
    """All roles of one sidecar.

    `changes` collects the roles that were gained or lost; the caller drains it.
    """

    def __init__(
        self,
        at: Instant,
        incarnation: int,
        settings: Sequence[RoleSettings],
        members: Membership,
        electorate: Electorate,
        timing: LeaseTiming,
        random: Random,
    ) -> None:
        self.members = members
        self.electorate = electorate
        self.timing = timing
        self.incarnation = incarnation
        self.settings = {role.name: role for role in settings}
        self.roles = {
            role.name: SingletonRole(
                role.name,
                role.slots,
                members.me.name,
                incarnation,
                timing,
                electorate.voters,
                random,
                role.idle_seconds,
            )
            for role in settings
        }
        self.requested = {role.name for role in settings if not role.on_request}
        self.held_epochs: dict[str, int] = {}  # the epochs of held roles that have been reported
        self.changes: list[RoleChange] = []
        self.next_candidacy = at.now

    # Events

    def seconds_until_due(self, at: Instant) -> float:
        """Return the seconds until `tick` next has work to do."""
        roles = min((role.due for role in self.roles.values()), default=inf)
        return min(self.next_candidacy - at.now, roles - at.boot)

    def tick(self, at: Instant) -> list[Outgoing]:
        """Update the ranks if that is due, and run the due actions of all roles."""
        out: list[Outgoing] = []
        if at.now >= self.next_candidacy:
            self.next_candidacy = at.now + CANDIDACY_INTERVAL_SECONDS
            out += self._update_ranks(at)
        for role in self.roles.values():
            out += self.electorate.to_voters(role.tick(at.boot))
        return out

    def handle_acceptor_response(self, at: Instant, sender: str, message: AcceptorResponse) -> list[Outgoing]:
        """Handle a voter's response to a request of this process."""
        role = self._role_of_lease(message.lease)
        own_process = (self.members.me.name, self.incarnation)
        if role is None or message.proposal.process != own_process:
            return []
        for name in self.electorate.voter_names_of_sender(sender):
            if name in self.electorate.voters.names:
                return self.electorate.to_voters(role.receive(at.boot, name, message))
        return []

    def handle_released(self, at: Instant, message: LeaseReleased) -> None:
        """Handle the last holder's hint that a lease is free."""
        if (role := self._role_of_lease(message.lease)) is not None:
            role.record_epoch(message.lease, message.epoch)
            role.handle_released(at.boot, message.lease, message.next_holder == self.members.me.name)

    def handle_facts(self) -> None:
        """Record the lease epochs that were received by gossip."""
        for fact in self.members.gossip.new_facts:
            if (role := self._role_of_lease(fact.key)) is not None:
                role.record_epoch(fact.key, fact.version)
        self.members.gossip.new_facts.clear()

    def change_voters(self, at: Instant, voters: VoterSet) -> list[Outgoing]:
        """Switch all roles to another voter set, and release the held leases."""
        out: list[Outgoing] = []
        for role in self.roles.values():
            out += self.electorate.to_voters(role.change_voters(at.boot, voters))
        return out

    def leave(self, at: Instant) -> list[Outgoing]:
        """Release all roles except those that are held on request.

        Those are kept until their lease expires, even while this sidecar is away.
        """
        out: list[Outgoing] = []
        for name, settings in self.settings.items():
            if not settings.on_request:
                out += self.release(at, name)
        return out

    def _role_of_lease(self, lease: str) -> SingletonRole | None:
        return self.roles.get(lease.partition("/")[0])

    # Candidates

    def _update_ranks(self, at: Instant) -> list[Outgoing]:
        out: list[Outgoing] = []
        for name, role in self.roles.items():
            out += self.electorate.to_voters(role.set_rank(at.boot, self._candidate_rank(name, role)))
        return out

    def _candidate_rank(self, name: str, role: SingletonRole) -> int | None:
        """Return this sidecar's rank among the candidates for a role, or None if it is not a candidate."""
        if name not in self.requested:
            return None
        if self.settings[name].on_request:
            return 0
        if self.settings[name].voters_only and not self.electorate.is_voter():
            return None
        names = [member.name for member in self.candidates(name)]
        rank = names.index(self.members.me.name) if self.members.me.name in names else MAX_CANDIDATES
        return rank if rank < MAX_CANDIDATES or role.held_lease is not None else None

    def candidates(self, name: str) -> list[MemberInfo]:
        """Return the members that may hold a role, in order of preference.

        They are ordered by number; if the role `prefers_zone`, members in the last holder's zone come first.
        """
        alive = self.members.alive_members()
        if self.settings[name].voters_only:
            voters = {*self.electorate.voters.names}
            alive = [member for member in alive if not voters.isdisjoint(self.electorate.voter_names(member))]
        if not self.settings[name].prefers_zone:
            return alive
        holder = self.last_known_holder(name).name
        zone = next((member.zone for member in alive if member.name == holder), "")
        return sorted(alive, key=lambda member: (member.zone != zone, member.number, member.name))

    def last_known_holder(self, name: str, slot: int = 0) -> KnownHolder:
        """Return the last known holder of a slot and its epoch, according to gossip."""
        fact = self.members.gossip.facts.facts.get(f"{name}/{slot}")
        return KnownHolder(fact.value, fact.version) if fact is not None else KnownHolder("", 0)

    def report_changes(self, at: Instant) -> None:
        """Report the roles that were gained or lost since the last call, and gossip the gained ones."""
        for name, role in self.roles.items():
            epoch = role.epoch_to_act(at.boot)
            reported = self.held_epochs.get(name)
            if epoch == reported:
                continue
            if reported is not None:
                del self.held_epochs[name]
                self.changes.append(RoleChange(name, reported, "over"))
            if epoch is not None and role.held_lease is not None:
                self.held_epochs[name] = epoch
                self.changes.append(RoleChange(name, epoch))
                self.members.gossip.publish(Fact(role.held_lease.lease, epoch, self.members.me.name))

    # Requests

    def request(self, at: Instant, name: str, is_requested: bool) -> list[Outgoing]:
        """Become a candidate for a role that is held only on request, or stop being one."""
        if is_requested:
            self.requested.add(name)
            out = self.electorate.to_voters(self.roles[name].set_rank(at.boot, 0))
            self.report_changes(at)
            return out
        self.requested.discard(name)
        return self.release(at, name, 0.0)

    def release(self, at: Instant, name: str, exclusion_leases: float = 1.0) -> list[Outgoing]:
        """Release a role, notify the candidates, and stay excluded for `exclusion_leases` lease lengths."""
        role = self.roles[name]
        held = role.held_lease
        out = self.electorate.to_voters(role.step_down(at.boot, exclusion_leases * self.timing.lease_seconds))
        self.report_changes(at)
        if held is None:
            return out
        others = [member for member in self.candidates(name) if member.name != self.members.me.name]
        others = others[:MAX_CANDIDATES]
        for member in others:
            out.append(((member.host, member.port), LeaseReleased(held.lease, held.epoch, others[0].name)))
        return out
