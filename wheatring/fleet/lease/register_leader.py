"""The leader of a replicated register: proposes entries while it holds the role `lead`.

States, all of them lost with the lease:

    PREPARING  asks the voters what they have accepted; a majority answers
               -> ACCEPTING with the highest of these, READY if there is none
    ACCEPTING  proposes one entry to the voters; a majority accepts it
               -> READY, and the entry is chosen
    READY      the next entry may be put

Only `tick` moves in and out of a lease, only answers to this epoch move within it. No I/O, clock or chance of
its own.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from enum import Enum
from math import inf

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.exceptions import RegisterNotReadyError
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.register_learner import RegisterLearner
from wheatring.fleet.lease.register_messages import (
    MAX_INLINE_BYTES,
    NO_ENTRY,
    AcceptorState,
    Entry,
    RegisterAccept,
    RegisterPrepare,
)
from wheatring.fleet.members.messages import Address

LEADER_ROLE = "lead"  # the role whose holder leads all registers
BROADCASTS = 3  # how often a leader broadcasts what is chosen, each time by other members,
BROADCAST_INTERVAL_SECONDS = 0.4  # and the time between two of them


class Phase(Enum):
    """What the leader of a register does; see the module."""

    PREPARING = "asking"
    ACCEPTING = "putting"
    READY = "ready"


class RegisterLeader:
    """Proposes entries of one register to the voters, and broadcasts what they have chosen.

    `audience` returns the members to broadcast to, and `timestamp_ms` the time that a new entry bears.
    """

    def __init__(self, name: str, fleet: Fleet, learner: RegisterLearner) -> None:
        self.name = name
        self.fleet = fleet
        self.learner = learner
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
    def due(self) -> float:
        """When `update_epoch` or `tick` has something to do.

        That is at once where the lease of the leader's role came or went.
        """
        held = self.fleet.roles[LEADER_ROLE].held_lease
        if (None if held is None else held.epoch) != self.epoch:
            return -inf
        return min(self.next_retransmit, self.next_broadcast)

    def update_epoch(self, at: Instant) -> None:
        """Start to lead with a new lease, and stop when it has ended."""
        epoch = self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot)
        if epoch == self.epoch:
            return
        self.epoch = epoch
        self.phase = Phase.PREPARING
        self.highest_accepted, self.pending, self.acknowledged_by = self.learner.chosen, NO_ENTRY, set()
        self.next_retransmit = inf if epoch is None else at.now
        self.next_broadcast = inf

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
        if self.epoch is None or not self.is_ready or number not in (None, self.learner.chosen.number + 1):
            raise RegisterNotReadyError(self.name, number)
        key = self.fleet.payloads.put(payload)
        inline = payload if len(payload) <= MAX_INLINE_BYTES else b""
        put_at_ms = self.timestamp_ms(at)
        entry = Entry(self.learner.chosen.number + 1, self.epoch, key, len(payload), inline, put_at_ms)
        return self._start_accepting(at, entry)

    def send_requests(self, at: Instant) -> list[Outgoing]:
        """Send the phase's request to those voters that have not answered."""
        assert self.epoch is not None
        self.next_retransmit = at.now + self.fleet.timing.retransmit_seconds
        digest = self.fleet.voters.digest
        message: RegisterPrepare | RegisterAccept = RegisterPrepare(self.name, self.epoch, digest)
        if self.phase is Phase.ACCEPTING:
            message = RegisterAccept(self.name, self.epoch, digest, self.pending)
        return self.fleet.electorate.to_voters(
            [(name, message) for name in self.fleet.voters.names if name not in self.acknowledged_by]
        )

    def _start_accepting(self, at: Instant, entry: Entry) -> list[Outgoing]:
        self.phase, self.pending, self.acknowledged_by = Phase.ACCEPTING, entry, set()
        return self.send_requests(at)

    def handle_acceptor_state(
        self, at: Instant, names: list[str], address: Address, message: AcceptorState
    ) -> list[Outgoing]:
        """Handle a voter's answer to a request of this epoch; `names` are the voter's."""
        if not self._is_acknowledgement(message):
            return []
        self.acknowledged_by.update(names)
        if not self.fleet.voters.has_majority(self.acknowledged_by):
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
        if self.learner.chosen.number > self.highest_accepted.number:
            # A majority has forgotten what this one knows chosen.
            self.highest_accepted = self.learner.chosen
        if self.highest_accepted == NO_ENTRY:
            self.phase, self.next_retransmit = Phase.READY, inf
            return []
        return self._start_accepting(at, self.highest_accepted._replace(epoch=self.epoch))

    def _finish_accepting(self, at: Instant, address: Address) -> list[Outgoing]:
        """Apply the entry that is chosen now, and broadcast it."""
        self.phase, self.next_retransmit = Phase.READY, inf
        # First it applies the entry itself, so that who asks it for the payload finds it there.
        out = self.learner.learn(at, address, self.pending)
        self.broadcasts_left = BROADCASTS
        return out + self.broadcast_chosen(at)

    def broadcast_chosen(self, at: Instant) -> list[Outgoing]:
        """Broadcast what is chosen, repeatedly: some of those who are to relay it may have died just now."""
        self.broadcasts_left -= 1
        self.next_broadcast = at.now + BROADCAST_INTERVAL_SECONDS if self.broadcasts_left else inf
        return self.fleet.broadcast(self.learner.chosen_announcement(), self.audience())
