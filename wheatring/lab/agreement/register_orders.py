"""The replicated register under random orders of its messages: delayed, lost, duplicated, across terms.

The real register runs on a fake of the rest of a member. There is at most one leader at a time, as the leases
guarantee, but its messages may arrive at any time, even terms later. A voter restarts only while all voters
have recovered: that is what the register guarantees to survive. The same seed gives the same order.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any, NamedTuple

from wheatring.fleet.lease.component import Instant
from wheatring.fleet.lease.payloads import FetchRequest, PayloadStore
from wheatring.fleet.lease.register_leader import LEADER_ROLE
from wheatring.fleet.lease.register_messages import Entry, EntryChosen
from wheatring.fleet.lease.replicated_register import ReplicatedRegister
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet
from wheatring.fleet.members.messages import Address, MemberInfo

STEPS = 500
STEP_SECONDS = 0.05
INITIAL_UPTIME_SECONDS = 100.0
DUPLICATE_CHANCE, RESTART_CHANCE, PUT_CHANCE = 0.05, 0.012, 0.3  # per message, per step and per step
# One of each of these probabilities is drawn for an order.
LOSS_CHANCES = (0.1, 0.3)  # per message
CHOSEN_LOSS_CHANCES = (0.1, 0.9)  # per message about a committed entry
DELAY_CHANCES = (0.05, 0.4)  # per message
TERM_END_CHANCES = (0.02, 0.05)  # per step
MAX_DELAY_SECONDS = 8.0

MakeRegister = Callable[..., ReplicatedRegister]


class InFlight(NamedTuple):
    """A message in flight, which may arrive at `arrives_at` or later."""

    arrives_at: float
    source: str
    target: str
    message: Any


class FakeFleet:
    """The parts of a member that a register uses."""

    def __init__(self, name: str, order: OrderRun) -> None:
        self.order = order
        self.me = MemberInfo(name, name, 1)
        self.voters = order.voters
        self.timing = LeaseTiming()
        self.payloads = PayloadStore()
        self.fetch_requests: list[FetchRequest] = []
        self.random = Random(f"{order.seed}:{name}")
        self.roles = {LEADER_ROLE: self}
        self.electorate = self
        self.members = SimpleNamespace(alive_members=lambda: [MemberInfo(one, one, 1) for one in order.names])

    @property
    def held_lease(self) -> Any:
        """The lease of the role `lead`, if this member holds it."""
        epoch = self.epoch_to_act(0.0)
        return None if epoch is None else SimpleNamespace(epoch=epoch)

    def epoch_to_act(self, now: float) -> int | None:  # noqa: ARG002 - the role's
        """Return the epoch in which this member leads, None if it does not."""
        return self.order.epoch if self.order.leader == self.me.name else None

    def is_voter(self) -> bool:
        """Whether this member is one of the voters."""
        return self.me.name in self.voters.names

    def voter_names(self, member: MemberInfo) -> tuple[str, ...]:
        """Return the names by which a member may be a voter."""
        return (member.name,)

    def voter_names_of_sender(self, sender: str) -> tuple[str, ...]:
        """Return the names by which a sender may be a voter."""
        return (sender,)

    def to_voters(self, messages: list[tuple[str, Any]]) -> list[tuple[Address, Any]]:
        """Return messages to voters, with the voters' addresses."""
        return [((name, 1), message) for name, message in messages]

    def broadcast(self, message: Any, recipients: Any = None) -> list[tuple[Address, Any]]:  # noqa: ARG002 - the fleet's
        """Return a message to all other members."""
        return [((name, 1), message) for name in self.order.names if name != self.me.name]

    def relay(self, _message: Any) -> list[tuple[Address, Any]]:
        """Relay nothing."""
        return []


class OrderResult(NamedTuple):
    """The result of one order."""

    seed: int
    chosen: int  # entries that a member has learned as committed
    terms: int
    restarts: int
    breach: str  # "" if there is none


class OrderRun:
    """One order of messages between three voters and a member without a vote; any of the four may lead."""

    def __init__(self, seed: int, make_register: MakeRegister) -> None:
        self.seed = seed
        self.make_register = make_register
        self.random = Random(f"{seed}:order")
        self.loss_chance, self.chosen_loss_chance, self.delay_chance, self.term_end_chance = (
            self.random.choice(each)
            for each in (LOSS_CHANCES, CHOSEN_LOSS_CHANCES, DELAY_CHANCES, TERM_END_CHANCES)
        )
        self.names = ["v0", "v1", "v2", "m0"]
        self.voters = VoterSet(("v0", "v1", "v2"))
        self.now = 0.0
        self.leader, self.epoch = "", 0
        self.messages: list[InFlight] = []
        self.digests: dict[int, bytes] = {}  # digests of committed entries, by number
        self.positions: dict[str, tuple[int, int]] = dict.fromkeys(self.names, (0, 0))
        self.restarts = 0
        self.breach = ""
        self.registers: dict[str, ReplicatedRegister] = {}
        self.fleets: dict[str, FakeFleet] = {}
        for name in self.names:
            self.start(name)
        self.now = INITIAL_UPTIME_SECONDS
        for name in self.names:
            self.registers[name].tick(self.at)
            self.registers[name].acceptor.has_recovered = True

    @property
    def at(self) -> Instant:
        """The current time, which is the same on all clocks."""
        return Instant(self.now, self.now, 0)

    def start(self, name: str) -> None:
        """Start a process without any state."""
        fleet: Any = FakeFleet(name, self)
        self.fleets[name] = fleet
        self.registers[name] = self.make_register(self.at, "view", fleet, lambda _at, _entry, _body: [])
        self.positions[name] = (0, 0)

    def run(self) -> OrderResult:
        """Run the order to its end, or to the first breach."""
        terms = 0
        for _ in range(STEPS):
            self.now += STEP_SECONDS
            terms += self.change_term()
            if self.random.random() < RESTART_CHANCE and self.have_voters_recovered():
                self.restarts += 1
                self.start(self.random.choice(self.voters.names))
            for name in self.names:
                register = self.registers[name]
                if self.now >= register.due:
                    self.send(name, register.tick(self.at))
                if register.is_ready and self.random.random() < PUT_CHANCE:
                    number = register.chosen.number + 1
                    self.send(name, register.put(self.at, f"{self.epoch}:{number}:{name}".encode(), number))
            self.deliver()
            if self.breach:
                break
        return OrderResult(self.seed, len(self.digests), terms, self.restarts, self.breach)

    def have_voters_recovered(self) -> bool:
        """Whether all voters answer, i.e. none still abstains after a start."""
        return all(self.registers[name].acceptor.has_recovered for name in self.voters.names)

    def change_term(self) -> int:
        """End or begin a term with some probability; return 1 if one begins, else 0.

        The next term begins some steps after the end of the last one, with a higher epoch.
        """
        if self.leader:
            if self.random.random() < self.term_end_chance:
                self.leader = ""
        elif self.random.random() < 0.2:
            self.leader = self.random.choice(self.names)
            self.epoch += 1
            return 1
        return 0

    def deliver(self) -> None:
        """Deliver about half of the messages that may arrive, in any order."""
        arriving = [message for message in self.messages if message.arrives_at <= self.now]
        self.messages = [message for message in self.messages if message.arrives_at > self.now]
        self.random.shuffle(arriving)
        for _ in range(self.random.randint(0, len(arriving))):
            message = arriving.pop()
            if self.random.random() < DUPLICATE_CHANCE:
                again_at = self.now + MAX_DELAY_SECONDS * self.random.random()
                self.messages.append(message._replace(arrives_at=again_at))
            register, address = self.registers[message.target], (message.source, 1)
            self.send(message.target, register.receive(self.at, message.source, address, message.message))
        self.messages += arriving

    def send(self, name: str, out: list[Any]) -> None:
        """Queue a member's messages, with losses and delays, and answer its payload fetches."""
        for address, message in out:
            is_chosen = isinstance(message, EntryChosen)
            if self.random.random() < (self.chosen_loss_chance if is_chosen else self.loss_chance):
                continue
            delay = 0.0
            if self.random.random() < self.delay_chance:
                delay = MAX_DELAY_SECONDS * self.random.random()
            self.messages.append(InFlight(self.now + delay, name, address[0], message))
        del self.messages[:-400]
        fleet = self.fleets[name]
        fetches, fleet.fetch_requests = fleet.fetch_requests, []
        for fetch in fetches:
            body = self.fleets[fetch.address[0]].payloads.get(fetch.digest)
            if body is not None:
                fleet.payloads.put(body)
            self.send(name, self.registers[name].receive_payload(self.at, fetch.digest, body))
        self.check_position(name, self.registers[name].chosen)

    def check_position(self, name: str, entry: Entry) -> None:
        """Check that a number has only one committed entry, and that no member reverts to an older one."""
        if not entry.number:
            return
        prefix = f"{self.now - INITIAL_UPTIME_SECONDS:.2f} s: {name}"
        if self.digests.setdefault(entry.number, entry.digest) != entry.digest:
            self.breach = self.breach or f"{prefix} knows another entry {entry.number}"
        if (entry.number, entry.epoch) < self.positions[name]:
            self.breach = self.breach or f"{prefix} goes back to {entry.number}"
        self.positions[name] = (entry.number, entry.epoch)


def run_order(seed: int, make_register: MakeRegister = ReplicatedRegister) -> OrderResult:
    """Run one order."""
    return OrderRun(seed, make_register).run()
