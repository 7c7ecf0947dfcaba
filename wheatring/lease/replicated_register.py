"""A replicated register: one numbered sequence of entries, the same for all members of the fleet.

The voters accept entries; the holder of the role `lead` leads and proposes them. States of a leader, all of
it lost with its lease:

    PREPARING  asks the voters what they have accepted; a majority answers
               -> ACCEPTING with the highest of these, READY if there is none
    ACCEPTING  proposes one entry to the voters; a majority accepts it
               -> READY, and the entry is chosen
    READY      the next entry may be put

Only `tick` moves in and out of a lease, only answers to this epoch move within it. What must never hold:

- two digests chosen under one number: an acceptor accepts nothing of an epoch below one that it has promised,
  and a leader first proposes again the highest that a majority has told;
- an entry chosen whose payload nobody has: an acceptor accepts it only once it holds the payload;
- an acceptor that answers out of what it has forgotten (`RegisterAcceptor`);
- a sidecar that goes from one chosen entry to one of a lower version (`RegisterLearner`).

Single-decree Paxos (Lamport, "Paxos Made Simple", 2001) for each number, with the epochs of leases for
proposal numbers. No I/O, clock or chance of its own.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from enum import Enum
from math import inf
from typing import get_args

from wheatring.lease.component import Instant, Outgoing
from wheatring.lease.exceptions import RegisterNotReadyError
from wheatring.lease.fleet import Fleet
from wheatring.lease.register_acceptor import RegisterAcceptor
from wheatring.lease.register_learner import OnChosen
from wheatring.lease.register_messages import (
    MAX_INLINE_BYTES,
    NO_ENTRY,
    AcceptorState,
    Entry,
    EntryChosen,
    NewestQuery,
    RegisterAccept,
    RegisterMessage,
    RegisterPrepare,
)
from wheatring.members.messages import Address

LEADER_ROLE = "lead"  # the role whose holder leads all registers
BROADCASTS = 3  # how often a leader broadcasts what is chosen, each time by other members,
BROADCAST_INTERVAL_SECONDS = 0.4  # and the time between two of them


class Phase(Enum):
    """What the leader of a register does; see the module."""

    PREPARING = "asking"
    ACCEPTING = "putting"
    READY = "ready"


class ReplicatedRegister(RegisterAcceptor):
    """One sidecar's part in a register: learner, acceptor where it votes, and leader where it holds the role.

    `audience` returns the members that a leader broadcasts to, and `timestamp_ms` the time that a new entry
    bears.
    """

    message_types = get_args(RegisterMessage)

    def __init__(self, at: Instant, name: str, fleet: Fleet, on_chosen: OnChosen) -> None:
        super().__init__(at, name, fleet, on_chosen)
        self.audience: Callable[[], Collection[str] | None] = lambda: None
        self.timestamp_ms: Callable[[Instant], int] = lambda _at: 0
        self.epoch: int | None = None  # of the lease by which it leads
        self.phase = Phase.PREPARING
        self.highest_accepted = NO_ENTRY  # of those that voters told it
        self.pending = NO_ENTRY  # proposed, and not chosen yet
        self.acknowledged_by: set[str] = set()
        self.next_retransmit = inf
        self.broadcasts_left, self.next_broadcast = 0, inf

    @property
    def is_ready(self) -> bool:
        """Whether it leads, and the next entry may be put."""
        return self.epoch is not None and self.phase is Phase.READY

    @property
    def is_settled(self) -> bool:
        """Whether it leads, nothing is being chosen, and what is chosen is applied."""
        return self.is_ready and self.applied == self.chosen

    def put(self, at: Instant, payload: bytes, number: int | None = None) -> list[Outgoing]:
        """Propose a payload as the next entry.

        Parameters
        ----------
        at : Instant
            Now.
        payload : bytes
            What the entry's digest is to stand for.
        number : int, optional
            The number that the entry is to have; None: whichever is next.

        Raises
        ------
        RegisterNotReadyError
            It doesn't lead, another entry is being chosen, or the next number is another one.
        PayloadTooLargeError
            The payload is larger than one may be.
        """
        if self.epoch is None or not self.is_ready or number not in (None, self.chosen.number + 1):
            raise RegisterNotReadyError(self.name, number)
        key = self.fleet.payloads.put(payload)
        inline = payload if len(payload) <= MAX_INLINE_BYTES else b""
        put_at_ms = self.timestamp_ms(at)
        entry = Entry(self.chosen.number + 1, self.epoch, key, len(payload), inline, put_at_ms)
        return self._start_accepting(at, entry)

    # Time

    @property
    def due(self) -> float:
        """When `tick` has something to do: at once where the lease of the leader's role came or went."""
        held = self.fleet.roles[LEADER_ROLE].held_lease
        if (None if held is None else held.epoch) != self.epoch:
            return -inf
        return min(
            self.next_retransmit,
            self.next_sync,
            self.next_recovery,
            self.next_fetch_retry,
            self.next_broadcast,
        )

    def tick(self, at: Instant) -> list[Outgoing]:
        """Do what is due."""
        out = self._recover(at)
        self._update_epoch(at)
        if at.now >= self.next_retransmit:
            out += self._send_requests(at)
        if at.now >= self.next_sync:
            out += self._sync(at)
        if at.now >= self.next_fetch_retry:
            out += self._retry_fetch(at)
        if at.now >= self.next_broadcast:
            out += self._broadcast_chosen(at)
        return out

    def _update_epoch(self, at: Instant) -> None:
        """Start to lead with a new lease, and stop when it has ended."""
        epoch = self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot)
        if epoch == self.epoch:
            return
        self.epoch = epoch
        self.phase = Phase.PREPARING
        self.highest_accepted, self.pending, self.acknowledged_by = self.chosen, NO_ENTRY, set()
        self.next_retransmit = inf if epoch is None else at.now
        self.next_broadcast = inf

    # Messages

    def receive(self, at: Instant, sender: str, address: Address, message: RegisterMessage) -> list[Outgoing]:
        """Handle a message on this register; those on others are ignored."""
        if message.register != self.name:
            return []
        match message:
            case RegisterPrepare() | RegisterAccept():
                return self._on_leader_request(at, address, message)
            case AcceptorState():
                return self._on_acceptor_state(at, sender, address, message)
            case EntryChosen():
                return self._on_chosen(at, address, message)
            case NewestQuery():
                return self._on_newest_query(address, message)

    # The leader

    def _send_requests(self, at: Instant) -> list[Outgoing]:
        """Send the phase's request to those voters that have not answered."""
        assert self.epoch is not None
        self.next_retransmit = at.now + self.fleet.timing.retransmit_seconds
        digest = self.fleet.voters.digest
        message: RegisterPrepare | RegisterAccept = RegisterPrepare(self.name, self.epoch, digest)
        if self.phase is Phase.ACCEPTING:
            message = RegisterAccept(self.name, self.epoch, digest, self.pending)
        return self.fleet.to_voters(
            [(name, message) for name in self.fleet.voters.names if name not in self.acknowledged_by]
        )

    def _start_accepting(self, at: Instant, entry: Entry) -> list[Outgoing]:
        self.phase, self.pending, self.acknowledged_by = Phase.ACCEPTING, entry, set()
        return self._send_requests(at)

    def _on_acceptor_state(
        self, at: Instant, sender: str, address: Address, message: AcceptorState
    ) -> list[Outgoing]:
        voters = self.fleet.voters
        names = [name for name in self.fleet.voter_names_of_sender(sender) if name in voters.names]
        if not names:
            return []
        if message.epoch == -1:  # sent to an acceptor that recovers
            self._recover_from(names, message)
            return []
        if not self._is_acknowledgement(message):
            return []
        self.acknowledged_by.update(names)
        if not voters.has_majority(self.acknowledged_by):
            return []
        if self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot) != self.epoch:
            return []  # the lease has ended meanwhile: whoever leads next finds the entry
        if self.phase is Phase.PREPARING:
            return self._finish_preparing(at)
        return self._finish_accepting(at, address)

    def _is_acknowledgement(self, message: AcceptorState) -> bool:
        """Return whether an acceptor acknowledges this epoch's request; note what it has accepted."""
        is_promised = message.promised_epoch == self.epoch
        if message.epoch != self.epoch or message.recovering_seconds or not is_promised:
            return False
        if self.phase is Phase.PREPARING:
            self.highest_accepted = max(self.highest_accepted, message.entry, key=lambda entry: entry.rank)
            return True
        return self.phase is Phase.ACCEPTING and message.entry == self.pending

    def _finish_preparing(self, at: Instant) -> list[Outgoing]:
        """Propose again the highest entry that a majority has told."""
        assert self.epoch is not None
        if self.chosen.number > self.highest_accepted.number:
            # A majority has forgotten what this one knows chosen.
            self.highest_accepted = self.chosen
        if self.highest_accepted == NO_ENTRY:
            self.phase, self.next_retransmit = Phase.READY, inf
            return []
        return self._start_accepting(at, self.highest_accepted._replace(epoch=self.epoch))

    def _finish_accepting(self, at: Instant, address: Address) -> list[Outgoing]:
        """Apply the entry that is chosen now, and broadcast it."""
        self.phase, self.next_retransmit = Phase.READY, inf
        # First it applies the entry itself, so that who asks it for the payload finds it there.
        out = self.learn(at, address, self.pending)
        self.broadcasts_left = BROADCASTS
        return out + self._broadcast_chosen(at)

    def _broadcast_chosen(self, at: Instant) -> list[Outgoing]:
        """Broadcast what is chosen, repeatedly: some of those who are to relay it may have died just now."""
        self.broadcasts_left -= 1
        self.next_broadcast = at.now + BROADCAST_INTERVAL_SECONDS if self.broadcasts_left else inf
        return self.fleet.broadcast(self.chosen_announcement(), self.audience())
