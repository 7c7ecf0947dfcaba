"""The proposer of one lease: prepares, proposes, holds and releases it.

Performs no I/O; the time and the random generator are passed in. The proposer's part of the safety argument:

- A lease is measured from a clock reading taken before the round's first request was sent, so a delay of the
  requests or the responses cannot extend it.
- Only responses to the current round of the current proposal count.
- A new lease is measured from the start of its prepare round, and responses that arrive after its end are
  ignored. An acceptor that restarted in the meantime abstains for at least that long.
- A proposer whose lease has expired, however briefly, runs a new prepare round and gets a higher epoch.
"""

from __future__ import annotations

from enum import Enum
from math import inf
from random import Random

from wheatring.fleet.lease.messages import (
    Accepted,
    AcceptorRequest,
    AcceptorResponse,
    Prepare,
    Promise,
    ProposalNumber,
    Propose,
    Rejection,
    Release,
)
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet

AddressedRequest = tuple[str, AcceptorRequest]  # the acceptor's voter name and the request


class ProposerPhase(Enum):
    """The phase of the current round."""

    IDLE = "no round in progress"
    PREPARING = "waiting for acceptors to promise the proposal number"
    PROPOSING = "waiting for acceptors to accept the proposal"


class Proposer:
    """The proposer of one process for one lease.

    `rank` is its position among the candidates for the lease, None if it is not a candidate. Each candidate
    waits one retransmission interval longer than the one before it.
    """

    def __init__(
        self, lease: str, name: str, incarnation: int, timing: LeaseTiming, voters: VoterSet, random: Random
    ) -> None:
        self.lease = lease
        self.name = name
        self.incarnation = incarnation
        self.timing = timing
        self.voters = voters
        self.random = random
        self.rank: int | None = None
        self.due = inf  # the time at which `tick` next has work to do
        self.proposal = ProposalNumber(0, name, incarnation)
        self.round = 0
        self.round_started = 0.0  # the time that this round's lease is measured from
        self.phase = ProposerPhase.IDLE
        self.is_renewing = False  # whether this round extends a lease that is already held
        self.highest_promised = 0  # the highest number that an acceptor has promised to another proposal
        self.epoch = 0  # the epoch of the lease that is held or proposed
        self.highest_epoch = 0  # the highest epoch known
        self.held_until = -inf  # when the held lease expires
        # Acceptors that promised (with their epoch) or accepted (with 0) in this round.
        self.granted_by: dict[str, int] = {}
        self.rejected_by: dict[str, float] = {}  # acceptors that rejected, with the seconds until a retry

    def holds_lease(self, now: float) -> bool:
        """Return whether this proposer holds the lease."""
        return now < self.held_until

    def epoch_to_act(self, now: float) -> int | None:
        """Return the lease's epoch, which is the fencing token, or None if the lease is not held.

        Call this immediately before each action, with a clock reading taken after everything else that the
        action needs is ready. A stall between the reading and the action could let it run after the lease
        has expired.
        """
        return self.epoch if self.holds_lease(now) else None

    # Events

    def set_rank(self, now: float, rank: int | None) -> list[AddressedRequest]:
        """Set the rank among the candidates; with None, stop being a candidate and release the lease."""
        previous, self.rank = self.rank, rank
        if rank is None:
            return self.release(now)
        if previous is None:
            self.due = now + rank * self.timing.retransmit_seconds
        return []

    def release(self, now: float) -> list[AddressedRequest]:
        """Release the lease that is held or proposed.

        The lease ends here immediately, whether or not any acceptor receives the message.
        """
        self.held_until = -inf
        self.due = inf if self.rank is None else now + self.timing.lease_seconds
        if self.round == 0:
            return []
        self.phase = ProposerPhase.IDLE
        self.round += 1
        message = Release(self.lease, self.proposal, self.round, self.voters.digest)
        return [(voter, message) for voter in self.voters.names]

    def handle_released(self, now: float, is_next: bool) -> None:
        """Handle a hint that the lease is free; `is_next` says whether this proposer is to take it."""
        if self.rank is None or self.holds_lease(now) or self.phase is not ProposerPhase.IDLE:
            return
        delay = 0.0
        if not is_next:
            delay = (self.rank + 1 + self.random.random() / 2) * self.timing.retransmit_seconds
        self.due = min(self.due, now + delay)

    def record_epoch(self, epoch: int) -> None:
        """Record an epoch that another member has seen; the next lease's epoch has to be higher."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    def tick(self, now: float) -> list[AddressedRequest]:
        """Retransmit, renew or start a round if that is due; before `due` this does nothing."""
        if now < self.due or self.rank is None:
            return []
        if self.phase is not ProposerPhase.IDLE:
            # Retransmits to the acceptors that have not answered. A renewal stays in the same round as long
            # as the lease is held: each new round would make the acceptors extend their grants by a full
            # lease, even if this process can send but receives nothing.
            is_in_time = now < self.round_started + self.timing.round_timeout_seconds
            if is_in_time or (self.is_renewing and self.holds_lease(now)):
                return self._send_requests(now)
            self.phase = ProposerPhase.IDLE
            if not self.holds_lease(now):
                # Without any response this process is probably cut off, but others may still receive its
                # requests. A longer delay gives the other candidates a chance to acquire the lease.
                is_answered = self.granted_by or self.rejected_by
                self._schedule_retry(now, 0.0 if is_answered else self.timing.lease_seconds / 2)
                return []
        if self.holds_lease(now) and self.highest_promised <= self.proposal.number:
            return self._propose(now, now)
        return self._prepare(now)

    def receive(self, now: float, voter: str, message: AcceptorResponse) -> list[AddressedRequest]:
        """Handle an acceptor's response; late ones and those of non-voters are ignored."""
        if not self._is_awaited(now, voter, message):
            return []
        match message:
            case Promise() if self.phase is ProposerPhase.PREPARING:
                self.granted_by[voter] = message.epoch
            case Accepted() if self.phase is ProposerPhase.PROPOSING:
                self.granted_by[voter] = 0
            case Rejection():
                self._handle_rejection(voter, message)
            case _:
                return []
        if self.voters.has_majority(self.granted_by):
            return self._handle_majority(now)
        if not self.voters.has_majority([name for name in self.voters.names if name not in self.rejected_by]):
            self._handle_majority_lost(now)
        return []

    def _is_awaited(self, now: float, voter: str, message: AcceptorResponse) -> bool:
        """Return whether this response belongs to the current round and arrived in time."""
        is_this_round = message.proposal == self.proposal and message.round == self.round
        if not is_this_round or voter not in self.voters.names:
            return False
        is_open = self.phase is not ProposerPhase.IDLE
        return is_open and now < self.round_started + self.timing.holder_seconds

    # Rounds

    def _prepare(self, now: float) -> list[AddressedRequest]:
        number = max(self.proposal.number, self.highest_promised) + 1
        self.proposal = self.proposal._replace(number=number)
        self.phase = ProposerPhase.PREPARING
        self._start_round(now, now)
        return self._send_requests(now)

    def _propose(self, now: float, started: float) -> list[AddressedRequest]:
        self.phase = ProposerPhase.PROPOSING
        self._start_round(now, started)
        return self._send_requests(now)

    def _start_round(self, now: float, started: float) -> None:
        self.round += 1
        self.round_started = started
        self.is_renewing = self.holds_lease(now)
        self.granted_by, self.rejected_by = {}, {}

    def _send_requests(self, now: float) -> list[AddressedRequest]:
        """Send the current round's request to all acceptors that have not answered."""
        self.due = now + self.timing.retransmit_seconds
        header, digest = (self.lease, self.proposal, self.round), self.voters.digest
        message: AcceptorRequest = Prepare(*header, digest)
        if self.phase is ProposerPhase.PROPOSING:
            message = Propose(*header, digest, self.epoch, self.timing.lease_seconds, self.is_renewing)
        answered = self.granted_by.keys() | self.rejected_by.keys()
        return [(voter, message) for voter in self.voters.names if voter not in answered]

    def _handle_majority(self, now: float) -> list[AddressedRequest]:
        if self.is_renewing and not self.holds_lease(now):
            # The lease expired before the renewal completed, so it has to be acquired again with a new epoch.
            self.phase = ProposerPhase.IDLE
            self.due = now
            return []
        if self.phase is ProposerPhase.PREPARING:
            if not self.is_renewing:
                self.epoch = max(self.highest_epoch, *self.granted_by.values()) + 1
            return self._propose(now, self.round_started)
        self._handle_lease_granted(now)
        return []

    def _handle_lease_granted(self, now: float) -> None:
        self.phase = ProposerPhase.IDLE
        self.held_until = self.round_started + self.timing.holder_seconds
        self.record_epoch(self.epoch)
        self.due = max(now, self.round_started + self.timing.renew_seconds)

    def _handle_rejection(self, voter: str, message: Rejection) -> None:
        self.rejected_by[voter] = min(max(message.retry_after_seconds, 0.0), self.timing.lease_seconds)
        if message.reason == "passed":
            self.highest_promised = max(self.highest_promised, message.promised_number)
        elif message.reason == "held":
            self.record_epoch(message.epoch)

    def _handle_majority_lost(self, now: float) -> None:
        """End a round that can no longer reach a majority, and retry once enough acceptors are free."""
        self.phase = ProposerPhase.IDLE
        free = [voter for voter in self.voters.names if voter not in self.rejected_by]
        waits = iter(sorted((seconds, voter) for voter, seconds in self.rejected_by.items()))
        delay = 0.0
        while not self.voters.has_majority(free):
            delay, voter = next(waits)
            free.append(voter)
        self._schedule_retry(now, delay)

    def _schedule_retry(self, now: float, delay: float) -> None:
        step = self.timing.retransmit_seconds
        self.due = now + delay + (self.rank or 0) * step + self.random.random() * step / 2
