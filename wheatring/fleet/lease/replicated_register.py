"""A replicated register: one numbered sequence of entries, the same for all members of the fleet.

The holder of the role `lead` proposes entries, and the voters accept them. Safety properties:

- At most one digest is chosen for a number: an acceptor accepts no entry of an epoch below the one that it
  has promised (`RegisterAcceptor`), and a new leader first proposes again the highest entry that a majority
  has reported (`RegisterLeader`).
- The payload of a chosen entry is never lost with its leader: an acceptor accepts an entry only once it has
  stored the payload.
- An acceptor that has lost its state in a restart does not answer before it has recovered
  (`AcceptorRecovery`).
- A sidecar never goes back from a chosen entry to one of a lower version (`RegisterLearner`).

Single-decree Paxos (Lamport, "Paxos Made Simple", 2001) for each number, with lease epochs as proposal
numbers. Performs no I/O; the time and the random generator are passed in.
"""

from __future__ import annotations

from typing import get_args

from wheatring.fleet.lease.acceptor_recovery import AcceptorRecovery
from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.register_acceptor import RegisterAcceptor
from wheatring.fleet.lease.register_leader import RegisterLeader
from wheatring.fleet.lease.register_learner import OnChosen, RegisterLearner
from wheatring.fleet.lease.register_messages import (
    RECOVERY_EPOCH,
    AcceptorState,
    Entry,
    EntryChosen,
    NewestQuery,
    RegisterAccept,
    RegisterMessage,
    RegisterPrepare,
)
from wheatring.fleet.members.messages import Address


class ReplicatedRegister:
    """One sidecar's part in a register: learner, acceptor if it votes, and leader if it holds the role.

    `on_chosen` is called with each applied entry and its payload.
    """

    message_types = get_args(RegisterMessage)

    def __init__(self, at: Instant, name: str, fleet: Fleet, on_chosen: OnChosen) -> None:
        self.name = name
        self.fleet = fleet
        self.on_chosen = on_chosen
        self.learner = RegisterLearner(at, name, fleet, self._handle_applied)
        self.acceptor = RegisterAcceptor(name, fleet, self.learner)
        self.recovery = AcceptorRecovery(at, fleet, self.learner, self.acceptor)
        self.leader = RegisterLeader(name, fleet, self.learner)

    def _handle_applied(self, at: Instant, entry: Entry, payload: bytes) -> list[Outgoing]:
        self.acceptor.record_applied(entry)
        return self.on_chosen(at, entry, payload)

    @property
    def chosen(self) -> Entry:
        """The newest chosen entry known."""
        return self.learner.chosen

    @property
    def applied(self) -> Entry:
        """The newest chosen entry whose payload is stored here."""
        return self.learner.applied

    @property
    def epoch(self) -> int | None:
        """The epoch of the leader's lease, or None if this sidecar does not lead."""
        return self.leader.epoch

    @property
    def is_ready(self) -> bool:
        """Whether this sidecar leads and the next entry may be proposed."""
        return self.leader.is_ready

    @property
    def is_stable(self) -> bool:
        """Whether this sidecar leads, no entry is being chosen, and the newest chosen one is applied."""
        return self.is_ready and self.applied == self.chosen

    def put(self, at: Instant, payload: bytes, number: int | None = None) -> list[Outgoing]:
        """Propose a payload as the next entry; see `RegisterLeader.put`."""
        return self.leader.put(at, payload, number)

    @property
    def due(self) -> float:
        """The time at which `tick` next has work to do."""
        return min(self.leader.due, self.learner.due, self.recovery.due)

    def tick(self, at: Instant) -> list[Outgoing]:
        """Run the due steps of recovery, leader and learner."""
        out = self.recovery.tick(at)
        self.leader.update_epoch(at)
        if at.now >= self.leader.next_retransmit:
            out += self.leader.send_requests(at)
        out += self.learner.tick(at)
        if at.now >= self.leader.next_broadcast:
            out += self.leader.broadcast_chosen(at)
        return out

    def receive(self, at: Instant, sender: str, address: Address, message: RegisterMessage) -> list[Outgoing]:
        """Handle a message about this register; messages about other registers are ignored."""
        if message.register != self.name:
            return []
        match message:
            case RegisterPrepare() | RegisterAccept():
                return self.acceptor.handle_leader_request(at, address, message)
            case AcceptorState():
                return self._handle_acceptor_state(at, sender, address, message)
            case EntryChosen():
                return self.learner.handle_chosen(at, address, message)
            case NewestQuery():
                return self._handle_newest_query(address, message)

    def receive_payload(self, at: Instant, digest: bytes, payload: bytes | None) -> list[Outgoing]:
        """Handle the result of a fetch; `payload` is None if the member did not have it."""
        return self.learner.receive_payload(at, digest, payload)

    def _handle_acceptor_state(
        self, at: Instant, sender: str, address: Address, message: AcceptorState
    ) -> list[Outgoing]:
        voters = self.fleet.voters
        names = [name for name in self.fleet.electorate.voter_names_of_sender(sender) if name in voters.names]
        if not names:
            return []
        if message.epoch == RECOVERY_EPOCH:
            self.recovery.handle_state(names, message)
            return []
        return self.leader.handle_acceptor_state(at, names, address, message)

    def _handle_newest_query(self, address: Address, message: NewestQuery) -> list[Outgoing]:
        out: list[Outgoing] = []
        if self.applied.version > (message.number, message.epoch):
            out.append((address, self.learner.chosen_announcement()))
        if message.wants_accepted and self.fleet.electorate.is_voter():
            out.append((address, self.acceptor.state(RECOVERY_EPOCH)))
        return out
