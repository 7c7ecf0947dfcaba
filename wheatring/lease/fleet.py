"""One sidecar's part in the fleet: member, voter, and claimant of duties. No I/O.

It knows no sockets and reads no clocks: `Instant` is handed in with every event, and what is to be said is
given back as addresses and words.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from math import inf, isqrt
from random import Random
from typing import Any, NamedTuple, Protocol

from msgspec import structs

from wheatring.lease.acceptor import Acceptor
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
from wheatring.lease.singleton_role import SingletonRole, lease_names
from wheatring.lease.timing import LeaseTiming
from wheatring.lease.voters import VoterSet, numbered_voter
from wheatring.members.membership import Address, Membership
from wheatring.members.messages import (
    LEFT,
    Ack,
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

MAX_CANDIDATES = 5  # sidecars that stand in line for a duty
MAX_RELAY_TARGETS = 64  # members whom one tells what it heard, at most
CANDIDACY_INTERVAL_SECONDS = 0.5  # seconds between looks at who is in line
FleetMessage = SwimMessage | AcceptorRequest | AcceptorResponse | LeaseReleased | Heartbeat
Outgoing = tuple[Address, Any]  # AnyWord, or a word of a piece


class Instant(NamedTuple):
    """One instant on the clocks there are. `now`: monotonic, seconds. `boot`: the same and goes on while the
    machine is suspended; terms are measured on it. `wall`: Unix time in ms, for the order of epochs only.
    """

    now: float
    boot: float
    wall: int


class RoleSettings(NamedTuple):
    """`near`: whoever is in the holder's zone comes first when it is given back or lost. `idle`: seconds for
    which it may be held with nothing done. `asked`: only those that are told to stand in line for it.
    """

    name: str
    slots: int = 1
    prefers_zone: bool = False
    idle_seconds: float = inf
    on_request: bool = False
    voters_only: bool = False


class RoleChange(NamedTuple):
    """A place of a duty came to this sidecar (`epoch`), or went (`why`)."""

    role: str
    epoch: int
    reason: str = ""


class FleetComponent(Protocol):
    """A further decider of the same sidecar: views, plans, the fleet's time. `hears` are the types of its own
    words. What is wanted of others' bodies goes to `Fleet.fetches`.
    """

    message_types: tuple[type, ...]

    @property
    def due(self) -> float:
        """When `tick` has something to do, on the monotonic clock."""

    def tick(self, at: Instant) -> list[Outgoing]: ...

    def receive(self, at: Instant, sender: str, address: Address, word: Any) -> list[Outgoing]: ...

    def receive_payload(self, at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:
        """A body that was fetched, by whichever piece; None: it could not be had there."""


class Fleet:
    """`start` tells this process from earlier ones of its name. `changes` is for whoever acts on duties, and
    is emptied there.
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
        self.role_settings = {plan.name: plan for plan in role_settings}
        places = [lease for plan in role_settings for lease in lease_names(plan.name, plan.slots)]
        self.members = Membership(at.now, me, incarnation, seeds, swim_timing, random, places)
        self.acceptor = Acceptor(at.boot, timing, voters, places)
        self.roles = {
            plan.name: SingletonRole(
                plan.name, plan.slots, me.name, incarnation, timing, voters, random, plan.idle_seconds
            )
            for plan in role_settings
        }
        self.requested_roles: set[str] = {plan.name for plan in role_settings if not plan.on_request}
        self.held_epochs: dict[str, int] = {}  # the epochs of duties held, as far as it was told
        self.role_changes: list[RoleChange] = []
        self.heartbeats: list[Heartbeat] = []  # of holders, for whoever follows them, and emptied there
        self.next_candidacy = at.now
        self.is_leaving = False
        self.components: list[FleetComponent] = []
        self.payloads = PayloadStore()
        self.fetch_requests: list[
            FetchRequest
        ] = []  # bodies that are wanted, for whoever carries them, and emptied there

    @property
    def voters(self) -> VoterSet:
        return self.acceptor.voters

    def is_voter(self) -> bool:
        return not self.is_leaving and bool({*self.voters.names} & {*self.voter_names(self.me)})

    def voter_names(self, who: MemberInfo) -> tuple[str, str]:
        """As which a member may be named among the voters: by its address, or by its number."""
        return f"{who.host}:{who.port}", numbered_voter(who.number)

    def _voter_address(self, name: str) -> Address | None:
        if not name.startswith("#"):
            host, _, port = name.rpartition(":")
            return host, int(port)
        if name == numbered_voter(self.me.number):
            return self.me.host, self.me.port
        # Whoever is suspected is asked too: one that hears nothing suspects all others, and is believed.
        rows = [row for row in self.members.table.records.values() if row.state != LEFT]
        rows = [
            row
            for row in rows
            if row.member.tier == self.me.tier and numbered_voter(row.member.number) == name
        ]
        return max(rows, key=lambda row: row.incarnation).address if rows else None

    # Time

    def seconds_until_due(self, at: Instant) -> float:
        """Seconds until `tick` has something to do."""
        duties = min((duty.due for duty in self.roles.values()), default=inf) - at.boot
        pieces = min((piece.due for piece in self.components), default=inf) - at.now
        return max(0.0, min(self.members.due - at.now, self.next_candidacy - at.now, duties, pieces))

    def tick(self, at: Instant) -> list[Outgoing]:
        if self.is_leaving:
            return []
        out: list[Outgoing] = list(self.members.tick(at.now))
        if at.now >= self.next_candidacy:
            self.next_candidacy = at.now + CANDIDACY_INTERVAL_SECONDS
            out += self._update_candidacies(at)
        for duty in self.roles.values():
            out += self.to_voters(duty.tick(at.boot))
        for piece in self.components:
            if at.now >= piece.due:
                out += piece.tick(at)
        self._report_role_changes(at)
        return out

    def receive_payload(self, at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:
        """What came of a fetch: the whole body, or nothing."""
        if body is not None:
            self.payloads.put(body)
        out = [said for piece in self.components for said in piece.receive_payload(at, digest, body)]
        self._report_role_changes(at)
        return out

    def receive(self, at: Instant, sender: str, address: Address, word: Any) -> list[Outgoing]:
        """A word whose sender is known to be one of the fleet."""
        out: list[Outgoing] = []
        match word:
            case Prepare() | Propose() | Release():
                if word.proposal.proposer == sender and self.is_voter():
                    answer = self.acceptor.receive(at.boot, at.wall, word)
                    out = [(address, answer)] if answer is not None else []
            case Promise() | Accepted() | Rejection():
                out = self._on_acceptor_response(at, sender, word)
            case LeaseReleased():
                if (duty := self._role_of_lease(word.lease)) is not None:
                    duty.note_epoch(word.lease, word.epoch)
                    duty.note_released(at.boot, word.lease, word.next_holder == self.me.name)
            case Heartbeat():
                out = self._on_heartbeat(word)
            case Ping() | Ack() | PingRequest() | Nack() | SyncRequest() | SyncResponse():
                out = list(self.members.receive(at.now, sender, address, word))
            case _:
                for piece in self.components:
                    if isinstance(word, piece.message_types):
                        out += piece.receive(at, sender, address, word)
        for news in self.members.new_facts:
            if (duty := self._role_of_lease(news.key)) is not None:
                duty.note_epoch(news.key, news.version)
        self.members.new_facts.clear()
        self._report_role_changes(at)
        return out

    def _role_of_lease(self, lease: str) -> SingletonRole | None:
        """The duty that a place is of."""
        return self.roles.get(lease.partition("/")[0])

    def _on_acceptor_response(self, at: Instant, sender: str, word: AcceptorResponse) -> list[Outgoing]:
        duty = self._role_of_lease(word.lease)
        if duty is None or word.proposal[1:] != (self.me.name, self.incarnation):
            return []
        for name in self.voter_names_of_sender(sender):
            if name in self.voters.names:
                return self.to_voters(duty.receive(at.boot, name, word))
        return []

    def voter_names_of_sender(self, sender: str) -> tuple[str, ...]:
        """As which a sender may be named among the voters; (): it is not known yet, and is asked again."""
        if sender == self.me.name:
            return self.voter_names(self.me)
        row = self.members.table.records.get(sender)
        return self.voter_names(row.member) if row is not None else ()

    def broadcast(self, word: Any, audience: Collection[str] | None = None) -> list[Outgoing]:
        """Tell all of the tier a word that has a `to`, by some who tell some others: two steps, and nobody
        has many to tell. Who tells whom is drawn anew each time, so that one who is stopped keeps nobody in
        the dark for long. `among`: only those.
        """
        others = [who.name for who in self.members.alive_members() if who.name != self.me.name]
        others = [name for name in others if audience is None or name in audience]
        self.random.shuffle(others)
        branches = isqrt(len(others)) or 1
        out: list[Outgoing] = []
        for number in range(min(branches, len(others))):
            first, *rest = others[number::branches]
            out += self._to_member(first, structs.replace(word, to=tuple(rest)))
        return out

    def relay(self, word: Any) -> list[Outgoing]:
        """What whoever hears such a word owes to those named in it."""
        plain = structs.replace(word, to=())
        return [said for name in word.to[:MAX_RELAY_TARGETS] for said in self._to_member(name, plain)]

    def _on_heartbeat(self, beat: Heartbeat) -> list[Outgoing]:
        self.heartbeats.append(structs.replace(beat, to=()))
        return self.relay(beat)

    def _to_member(self, name: str, word: Any) -> list[Outgoing]:
        where = self.members.address(name)
        return [(where, word)] if where is not None else []

    def to_voters(self, requests: Sequence[tuple[str, Any]]) -> list[Outgoing]:
        """What voters are told, with where they are. Its own vote takes the same way as all."""
        out: list[Outgoing] = []
        for name, word in requests:
            where = self._voter_address(name)
            if where is not None:
                out.append((where, word))
        return out

    # The line

    def _update_candidacies(self, at: Instant) -> list[Outgoing]:
        out: list[Outgoing] = []
        for name, duty in self.roles.items():
            rank: int | None = None
            if name in self.requested_roles:
                if self.role_settings[name].on_request:
                    rank = 0
                elif (
                    not self.role_settings[name].voters_only or self.is_voter()
                ):  # else it is in no such line
                    names = [who.name for who in self.candidates(name)]
                    place = names.index(self.me.name) if self.me.name in names else MAX_CANDIDATES
                    rank = place if place < MAX_CANDIDATES or duty.held_lease is not None else None
            out += self.to_voters(duty.set_rank(at.boot, rank))
        return out

    def candidates(self, name: str) -> list[MemberInfo]:
        """Who would hold a duty, the first first: by number, those near the last holder before others."""
        alive = self.members.alive_members()
        if self.role_settings[name].voters_only:
            voters = {*self.voters.names}
            alive = [who for who in alive if not voters.isdisjoint(self.voter_names(who))]
        if not self.role_settings[name].prefers_zone:
            return alive
        zone = next((who.zone for who in alive if who.name == self.last_known_holder(name)[0]), "")
        return sorted(alive, key=lambda who: (who.zone != zone, who.number, who.name))

    def last_known_holder(self, name: str, slot: int = 0) -> tuple[str, int]:
        """Who holds or last held a place, by what was heard, and in which epoch."""
        news = self.members.facts.facts.get(f"{name}/{slot}")
        return (news.value, news.version) if news is not None else ("", 0)

    def _report_role_changes(self, at: Instant) -> None:
        """Tell of what it has come to hold, or holds no more."""
        for name, duty in self.roles.items():
            epoch = duty.epoch_to_act(at.boot)
            was = self.held_epochs.get(name)
            if epoch == was:
                continue
            if was is not None:
                del self.held_epochs[name]
                self.role_changes.append(RoleChange(name, was, "over"))
            if epoch is not None and duty.held_lease is not None:
                self.held_epochs[name] = epoch
                self.role_changes.append(RoleChange(name, epoch))
                self.members.publish(Fact(duty.held_lease.lease, epoch, self.me.name))

    # What it is told

    def request_role(self, at: Instant, name: str, is_requested: bool) -> list[Outgoing]:
        """Stand in line for a duty that only those told do, or leave the line."""
        if is_requested:
            self.requested_roles.add(name)
            out = self.to_voters(self.roles[name].set_rank(at.boot, 0))
            self._report_role_changes(at)
            return out
        self.requested_roles.discard(name)
        return self.release_role(at, name, 0.0)

    def release_role(self, at: Instant, name: str, exclusion_leases: float = 1.0) -> list[Outgoing]:
        """Give a duty back; the next in line hears of it. Keep out of the line for so many terms."""
        duty = self.roles[name]
        held = duty.held_lease
        out = self.to_voters(duty.step_down(at.boot, exclusion_leases * self.timing.lease_seconds))
        self._report_role_changes(at)
        if held is None:
            return out
        others = [who for who in self.candidates(name) if who.name != self.me.name][:MAX_CANDIDATES]
        for who in others:
            out.append(((who.host, who.port), LeaseReleased(held.lease, held.epoch, others[0].name)))
        return out

    def change_voters(self, at: Instant, voters: VoterSet) -> tuple[str, list[Outgoing]]:
        """Go by other voters; why not, if it does not."""
        others = {row.member.voters_digest for row in self.members.table.records.values() if row.is_present}
        if why := self.acceptor.change_voters(at.boot, voters, voters.digest in others):
            return why, []
        out: list[Outgoing] = []
        for duty in self.roles.values():
            out += self.to_voters(duty.change_voters(at.boot, voters))
        self.me = self.me._replace(voters_digest=voters.digest)
        self.members.update_identity(self.me)
        self._report_role_changes(at)
        return "", out

    def leave(self, at: Instant) -> list[Outgoing]:
        """Give all back, and say that it leaves."""
        out: list[Outgoing] = []
        for name, plan in self.role_settings.items():
            if not plan.on_request:  # else it is kept while this one is away, as long as the term lasts
                out += self.release_role(at, name)
        self.is_leaving = True
        return out + list(self.members.leave(at.now))
