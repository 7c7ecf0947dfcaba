"""A claimant of one place of one duty: asks, claims, holds, lets go. No I/O, clock or chance of its own.

What the safety of a term rests on, on this side:

- a term runs from the instant that was read before the round's first word was made, so that no stall on the
  way there or back can make it longer;
- only answers to this very round of this very ballot count;
- a round of asking and the claim after it are over with the term that began with the asking: a voter that
  started meanwhile has abstained for that long;
- who has been out of office for an instant asks anew, and gets a higher epoch.
"""

from __future__ import annotations

from math import inf
from random import Random

from wheatring.lease.messages import (
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
from wheatring.lease.timing import LeaseTiming
from wheatring.lease.voters import VoterSet

AddressedRequest = tuple[str, AcceptorRequest]  # a voter's name, and what it is told


class Proposer:
    """`who` and `start` name this process. `rank` is its place in the line of those who would hold the duty:
    each waits a moment longer than the one before; None: it does not want to.
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
        self.round_started = 0.0  # the instant that this round's term runs from
        self.is_preparing = self.is_proposing = False
        self.is_renewing = False  # what is asked for or claimed is to follow on the term that it holds
        self.highest_promised = 0  # the highest number that a voter has promised to another ballot
        self.epoch = 0  # of the term held or claimed,
        self.highest_epoch = 0  # and the highest that was heard of
        self.held_until = -inf  # the end of the term held
        self.granted_by: dict[str, int] = {}  # voters that have promised, or granted, in this round
        self.rejected_by: dict[str, float] = {}  # those that have refused, and for how long

    # What it is asked

    def is_holder(self, now: float) -> bool:
        return now < self.held_until

    def epoch_to_act(self, now: float) -> int | None:
        """The epoch to act in; None: it is not in office. To be asked right before every act, each time with
        a clock read after all that the act needs was at hand.
        """
        return self.epoch if self.is_holder(now) else None

    # What it does

    def set_rank(self, now: float, rank: int | None) -> list[AddressedRequest]:
        """Its place in the line; None: not any more, and what it holds is given back."""
        was, self.rank = self.rank, rank
        if rank is None:
            return self.release(now)
        if was is None:
            self.due = now + rank * self.timing.retransmit_seconds
        return []

    def release(self, now: float) -> list[AddressedRequest]:
        """Give back what it holds or has asked for. It is out of office from here on, whoever hears of it."""
        self.held_until = -inf
        self.due = inf if self.rank is None else now + self.timing.lease_seconds
        if self.round == 0:
            return []
        self.is_preparing = self.is_proposing = False
        self.round += 1
        word = Release(self.lease, self.proposal, self.round, self.voters.digest)
        return [(voter, word) for voter in self.voters.names]

    def note_released(self, now: float, is_next: bool) -> None:
        """Somebody says that nobody holds it any more; `first`: and that this one is to be the next."""
        if self.rank is not None and not self.is_holder(now) and not (self.is_preparing or self.is_proposing):
            wait = (
                0.0
                if is_next
                else (self.rank + 1 + self.random.random() / 2) * self.timing.retransmit_seconds
            )
            self.due = min(self.due, now + wait)

    def note_epoch(self, epoch: int) -> None:
        """An epoch that somebody has seen: the next one has to be higher."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    def tick(self, now: float) -> list[AddressedRequest]:
        """Do what is due. Earlier than that it does nothing."""
        if now < self.due or self.rank is None:
            return []
        if self.is_preparing or self.is_proposing:
            # Once more, to those who have not answered. A renewal goes on as the same round as long as there
            # is something to renew: each new one would have the voters keep the duty for a whole term more,
            # though it may be heard and hear nothing itself.
            if now < self.round_started + self.timing.round_timeout_seconds or (
                self.is_renewing and self.is_holder(now)
            ):
                return self._send_requests(now)
            self.is_preparing = self.is_proposing = False
            if not self.is_holder(now):
                # Whom nobody answers is cut off, and may still be heard: others are to have their try.
                self._schedule_retry(
                    now, 0.0 if self.granted_by or self.rejected_by else self.timing.lease_seconds / 2
                )
                return []
        if self.is_holder(now) and self.highest_promised <= self.proposal.number:
            return self._propose(now, now)
        return self._prepare(now)

    def receive(self, now: float, voter: str, word: AcceptorResponse) -> list[AddressedRequest]:
        if word.proposal != self.proposal or word.round != self.round or voter not in self.voters.names:
            return []
        if (
            not (self.is_preparing or self.is_proposing)
            or now >= self.round_started + self.timing.holder_seconds
        ):
            return []
        match word:
            case Promise() if self.is_preparing:
                self.granted_by[voter] = word.epoch
            case Accepted() if self.is_proposing:
                self.granted_by[voter] = 0
            case Rejection():
                self._on_rejection(now, voter, word)
            case _:
                return []
        if self.voters.has_majority(self.granted_by):
            if self.is_renewing and not self.is_holder(now):
                # Too late: it has been out of office, so what comes is another term, by another epoch.
                self.is_preparing = self.is_proposing = False
                self.due = now
                return []
            if self.is_preparing:
                if not self.is_renewing:
                    self.epoch = max(self.highest_epoch, *self.granted_by.values()) + 1
                return self._propose(now, self.round_started)
            self._on_elected(now)
        elif not self.voters.has_majority([v for v in self.voters.names if v not in self.rejected_by]):
            self._on_majority_lost(now)
        return []

    def _prepare(self, now: float) -> list[AddressedRequest]:
        self.proposal = self.proposal._replace(number=max(self.proposal.number, self.highest_promised) + 1)
        self.is_preparing, self.is_proposing = True, False
        self._start_round(now, now)
        return self._send_requests(now)

    def _propose(self, now: float, started: float) -> list[AddressedRequest]:
        self.is_preparing, self.is_proposing = False, True
        self._start_round(now, started)
        return self._send_requests(now)

    def _start_round(self, now: float, started: float) -> None:
        self.round += 1
        self.round_started = started
        self.is_renewing = self.is_holder(now)
        self.granted_by, self.rejected_by = {}, {}

    def _send_requests(self, now: float) -> list[AddressedRequest]:
        self.due = now + self.timing.retransmit_seconds
        about, digest = (self.lease, self.proposal, self.round), self.voters.digest
        word: AcceptorRequest = Prepare(*about, digest)
        if self.is_proposing:
            word = Propose(*about, digest, self.epoch, self.timing.lease_seconds, self.is_renewing)
        return [
            (voter, word)
            for voter in self.voters.names
            if voter not in self.granted_by and voter not in self.rejected_by
        ]

    def _on_elected(self, now: float) -> None:
        self.is_proposing = False
        self.held_until = self.round_started + self.timing.holder_seconds
        self.note_epoch(self.epoch)
        self.due = max(now, self.round_started + self.timing.renew_seconds)

    def _on_rejection(self, now: float, voter: str, word: Rejection) -> None:
        self.rejected_by[voter] = min(max(word.retry_after_seconds, 0.0), self.timing.lease_seconds)
        if word.reason == "passed":
            self.highest_promised = max(self.highest_promised, word.promised_number)
        elif word.reason == "held":
            self.note_epoch(word.epoch)

    def _on_majority_lost(self, now: float) -> None:
        """No majority will come in this round: the next one once so many are free that it could."""
        self.is_preparing = self.is_proposing = False
        free = [voter for voter in self.voters.names if voter not in self.rejected_by]
        waits = iter(sorted((left, voter) for voter, left in self.rejected_by.items()))
        wait = 0.0
        while not self.voters.has_majority(free):
            wait, voter = next(waits)
            free.append(voter)
        self._schedule_retry(now, wait)

    def _schedule_retry(self, now: float, wait: float) -> None:
        again = self.timing.retransmit_seconds
        self.due = now + wait + (self.rank or 0) * again + self.random.random() * again / 2
