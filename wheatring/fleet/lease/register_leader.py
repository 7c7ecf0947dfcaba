"""The leader of a replicated register: proposes entries while it holds the role `lead`.

Phases, all of them left when the lease ends:

    PREPARING  asks the voters what they have accepted; once a majority has answered
               -> ACCEPTING with the highest accepted entry, or READY if there is none
    ACCEPTING  proposes one entry to the voters; once a majority has accepted it
               -> READY, and the entry is chosen
    READY      the next entry may be proposed

Only `tick` starts and ends leadership; within a lease, only responses of its epoch change the phase.
Performs no I/O; the time is passed in.
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
BROADCASTS = 3  # broadcasts of a chosen entry, each through other randomly drawn relays
BROADCAST_INTERVAL_SECONDS = 0.4


class Phase(Enum):
    """The phase of a register's leader; see the module docstring."""

    PREPARING = "asking"
    ACCEPTING = "putting"
    READY = "ready"


class RegisterLeader:
    """Proposes entries of one register to the voters, and broadcasts the chosen ones.

    `recipients` returns the names of the members to broadcast to, None for all. `timestamp_ms` returns the
    `put_at_ms` of a new entry.
    """

    def __init__(self, name: str, fleet: Fleet, learner: RegisterLearner) -> None:
        self.name = name
        self.fleet = fleet
        self.learner = learner
        self.recipients: Callable[[], Collection[str] | None] = lambda: None
        self.timestamp_ms: Callable[[Instant], int] = lambda _at: 0
        self.epoch: int | None = None  # the epoch of the leader's lease; None: this sidecar does not lead
        self.phase = Phase.PREPARING
        self.highest_accepted = NO_ENTRY  # the entry of the highest rank that voters have reported
        self.pending = NO_ENTRY  # the entry that is proposed and not chosen yet
        self.acknowledged_by: set[str] = set()
        self.next_retransmit = inf
        self.broadcasts_left, self.next_broadcast = 0, inf

    @property
    def is_ready(self) -> bool:
        """Whether this sidecar leads and the next entry may be proposed."""
        return self.epoch is not None and self.phase is Phase.READY

    @property
    def due(self) -> float:
        """The time at which the leader next has work to do.

        This is immediately if the lease of the leader's role has been gained or lost.
        """
        held = self.fleet.roles[LEADER_ROLE].held_lease
        if (None if held is None else held.epoch) != self.epoch:
            return -inf
        return min(self.next_retransmit, self.next_broadcast)

    def update_epoch(self, at: Instant) -> None:
        """Start to lead when the lease has been gained, and stop when it has ended."""
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
            The current time.
        payload : bytes
            The payload of the entry.
        number : int, optional
            The expected number of the entry; None accepts whichever is next.

        Raises
        ------
        RegisterNotReadyError
            If this sidecar does not lead, another entry is being chosen, or `number` is not the next number.
        PayloadTooLargeError
            If the payload exceeds `MAX_PAYLOAD_BYTES`.
        """
        if self.epoch is None or not self.is_ready or number not in (None, self.learner.chosen.number + 1):
            raise RegisterNotReadyError(self.name, number)
        key = self.fleet.payloads.put(payload)
        inline = payload if len(payload) <= MAX_INLINE_BYTES else b""
        put_at_ms = self.timestamp_ms(at)
        entry = Entry(self.learner.chosen.number + 1, self.epoch, key, len(payload), inline, put_at_ms)
        return self._start_accepting(at, entry)

    def send_requests(self, at: Instant) -> list[Outgoing]:
        """Send the current phase's request to the voters that have not acknowledged it."""
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
        """Handle a voter's response to a request of this epoch; `names` are the voter's names."""
        if not self._is_acknowledgement(message):
            return []
        self.acknowledged_by.update(names)
        if not self.fleet.voters.has_majority(self.acknowledged_by):
            return []
        if self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot) != self.epoch:
            return []  # the lease has ended in the meantime; the next leader finds the entry
        if self.phase is Phase.PREPARING:
            return self._finish_preparing(at)
        return self._finish_accepting(at, address)

    def _is_acknowledgement(self, message: AcceptorState) -> bool:
        """Return whether an acceptor acknowledges the current request; record what it has accepted."""
        is_promised = message.promised_epoch == self.epoch
        if message.epoch != self.epoch or message.recovering_seconds or not is_promised:
            return False
        if self.phase is Phase.PREPARING:
            self.highest_accepted = max(self.highest_accepted, message.entry, key=lambda entry: entry.rank)
            return True
        return self.phase is Phase.ACCEPTING and message.entry == self.pending

    def _finish_preparing(self, at: Instant) -> list[Outgoing]:
        """Propose again the highest entry that a majority has reported, if there is one."""
        assert self.epoch is not None
        if self.learner.chosen.number > self.highest_accepted.number:
            # A majority has restarted and lost an entry that this sidecar knows to be chosen.
            self.highest_accepted = self.learner.chosen
        if self.highest_accepted == NO_ENTRY:
            self.phase, self.next_retransmit = Phase.READY, inf
            return []
        return self._start_accepting(at, self.highest_accepted._replace(epoch=self.epoch))

    def _finish_accepting(self, at: Instant, address: Address) -> list[Outgoing]:
        """Apply the entry that has just been chosen, and broadcast it."""
        self.phase, self.next_retransmit = Phase.READY, inf
        # Applied here before the broadcast, so that the payload is available to members that fetch it.
        out = self.learner.learn(at, address, self.pending)
        self.broadcasts_left = BROADCASTS
        return out + self.broadcast_chosen(at)

    def broadcast_chosen(self, at: Instant) -> list[Outgoing]:
        """Broadcast the newest applied entry, repeatedly, because some of the relays may have just failed."""
        self.broadcasts_left -= 1
        self.next_broadcast = at.now + BROADCAST_INTERVAL_SECONDS if self.broadcasts_left else inf
        return self.fleet.broadcast(self.learner.chosen_announcement(), self.recipients())
