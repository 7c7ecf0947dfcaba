"""A proposer of one lease: prepares, proposes, holds, releases. No I/O, clock or chance of its own.

What the safety of a lease rests on, on this side:

- a lease runs from the instant that was read before the round's first request was made, so that no stall on
  the way there or back can make it longer;
- only answers to this very round of this very proposal count;
- a round of preparing and the one of proposing after it are over with the lease that began with the
  preparing: an acceptor that started meanwhile has abstained for that long;
- a proposer that has been without the lease for an instant prepares anew, and gets a higher epoch.
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

AddressedRequest = tuple[str, AcceptorRequest]  # an acceptor's name among the voters, and what it is sent


class ProposerPhase(Enum):
    """What the round under way is for."""

    IDLE = "no round is under way"
    PREPARING = "acceptors are to promise the number of a proposal"
    PROPOSING = "acceptors are to accept it"


class Proposer:
    """One process's bid for one lease.

    `rank` is its place among the candidates for the lease: each waits a moment longer than the one before it;
    None: it is no candidate.
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
        self.due = inf  # when `tick` has something to do
        self.proposal = ProposalNumber(0, name, incarnation)
        self.round = 0
        self.round_started = 0.0  # the instant that this round's lease runs from
        self.phase = ProposerPhase.IDLE
        self.is_renewing = False  # the round is to extend the lease that it holds
        self.highest_promised = 0  # the highest number that an acceptor has promised to another proposal
        self.epoch = 0  # of the lease held or proposed,
        self.highest_epoch = 0  # and the highest that was heard of
        self.held_until = -inf  # the end of the lease held
        self.granted_by: dict[str, int] = {}  # acceptors that have promised, or granted, in this round
        self.rejected_by: dict[str, float] = {}  # those that have rejected, and for how many seconds

    def owns_lease(self, now: float) -> bool:
        """Return whether it holds the lease."""
        return now < self.held_until

    def epoch_to_act(self, now: float) -> int | None:
        """Return the epoch to act in, which is the fencing token; None: it doesn't hold the lease.

        To be asked right before every act, each time with a clock read after all that the act needs was at
        hand: a stall between the two would let it act after the lease's end.
        """
        return self.epoch if self.owns_lease(now) else None

    # Events

    def set_rank(self, now: float, rank: int | None) -> list[AddressedRequest]:
        """Set its place among the candidates; with None it stops, and gives back what it holds."""
        was, self.rank = self.rank, rank
        if rank is None:
            return self.release(now)
        if was is None:
            self.due = now + rank * self.timing.retransmit_seconds
        return []

    def release(self, now: float) -> list[AddressedRequest]:
        """Give back what it holds or has proposed. It no longer holds the lease, whoever hears of it."""
        self.held_until = -inf
        self.due = inf if self.rank is None else now + self.timing.lease_seconds
        if self.round == 0:
            return []
        self.phase = ProposerPhase.IDLE
        self.round += 1
        message = Release(self.lease, self.proposal, self.round, self.voters.digest)
        return [(voter, message) for voter in self.voters.names]

    def note_released(self, now: float, is_next: bool) -> None:
        """Take note that the lease is free by what somebody says; `is_next`: this proposer is to have it."""
        if self.rank is None or self.owns_lease(now) or self.phase is not ProposerPhase.IDLE:
            return
        delay = 0.0
        if not is_next:
            delay = (self.rank + 1 + self.random.random() / 2) * self.timing.retransmit_seconds
        self.due = min(self.due, now + delay)

    def note_epoch(self, epoch: int) -> None:
        """Take note of an epoch that somebody has seen: the next one has to be higher."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    def tick(self, now: float) -> list[AddressedRequest]:
        """Do what is due. Earlier than that it does nothing."""
        if now < self.due or self.rank is None:
            return []
        if self.phase is not ProposerPhase.IDLE:
            # Retransmit to those that have not answered. A renewal goes on as the same round as long as there
            # is something to renew: each new one would have the acceptors keep the lease for its full length
            # again, though this process may be heard and hear nothing itself.
            is_in_time = now < self.round_started + self.timing.round_timeout_seconds
            if is_in_time or (self.is_renewing and self.owns_lease(now)):
                return self._send_requests(now)
            self.phase = ProposerPhase.IDLE
            if not self.owns_lease(now):
                # Whom nobody answers is cut off, and may still be heard: others are to have their attempt.
                is_answered = self.granted_by or self.rejected_by
                self._schedule_retry(now, 0.0 if is_answered else self.timing.lease_seconds / 2)
                return []
        if self.owns_lease(now) and self.highest_promised <= self.proposal.number:
            return self._propose(now, now)
        return self._prepare(now)

    def receive(self, now: float, voter: str, message: AcceptorResponse) -> list[AddressedRequest]:
        """Handle an acceptor's answer; a late one, or one of a stranger, doesn't count."""
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
        """Return whether this answers the round under way, and in time."""
        is_this_round = message.proposal == self.proposal and message.round == self.round
        if not is_this_round or voter not in self.voters.names:
            return False
        is_open = self.phase is not ProposerPhase.IDLE
        return is_open and now < self.round_started + self.timing.owner_seconds

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
        self.is_renewing = self.owns_lease(now)
        self.granted_by, self.rejected_by = {}, {}

    def _send_requests(self, now: float) -> list[AddressedRequest]:
        """Send the round's request to all acceptors that have not answered."""
        self.due = now + self.timing.retransmit_seconds
        header, digest = (self.lease, self.proposal, self.round), self.voters.digest
        message: AcceptorRequest = Prepare(*header, digest)
        if self.phase is ProposerPhase.PROPOSING:
            message = Propose(*header, digest, self.epoch, self.timing.lease_seconds, self.is_renewing)
        answered = self.granted_by.keys() | self.rejected_by.keys()
        return [(voter, message) for voter in self.voters.names if voter not in answered]

    def _handle_majority(self, now: float) -> list[AddressedRequest]:
        if self.is_renewing and not self.owns_lease(now):
            # Too late: its lease has ended meanwhile, so what comes is another lease, with another epoch.
            self.phase = ProposerPhase.IDLE
            self.due = now
            return []
        if self.phase is ProposerPhase.PREPARING:
            if not self.is_renewing:
                self.epoch = max(self.highest_epoch, *self.granted_by.values()) + 1
            return self._propose(now, self.round_started)
        self._handle_elected(now)
        return []

    def _handle_elected(self, now: float) -> None:
        self.phase = ProposerPhase.IDLE
        self.held_until = self.round_started + self.timing.owner_seconds
        self.note_epoch(self.epoch)
        self.due = max(now, self.round_started + self.timing.renew_seconds)

    def _handle_rejection(self, voter: str, message: Rejection) -> None:
        self.rejected_by[voter] = min(max(message.retry_after_seconds, 0.0), self.timing.lease_seconds)
        if message.reason == "passed":
            self.highest_promised = max(self.highest_promised, message.promised_number)
        elif message.reason == "held":
            self.note_epoch(message.epoch)

    def _handle_majority_lost(self, now: float) -> None:
        """End a round that no majority can come of; the next one waits until enough acceptors are free."""
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
