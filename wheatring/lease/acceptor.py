"""A voter: promises, grants and forgets. All in memory; a process that has started abstains at first.

Rules that the safety of a term rests on:

- a promise is never broken within the life of the process, and what a process has forgotten it can't break,
  as it abstains for as long as any round that it took part in may last;
- a grant stands for a whole term on this clock, from when its round first arrived, and nobody else is
  promised anything meanwhile;
- voters grant only to those who go by the same voters.
"""

from __future__ import annotations

from collections.abc import Collection

from wheatring.lease.messages import (
    NO_PROPOSAL,
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


class _LeaseState:
    __slots__ = ("epoch", "held_until", "holder", "promised", "round")

    def __init__(self) -> None:
        self.promised = NO_PROPOSAL
        self.holder = NO_PROPOSAL
        self.held_until = 0.0
        self.epoch = 0
        self.round = 0  # that was granted last


class Acceptor:
    """`leases` are the names of all places of all duties: a word about any other is not answered."""

    def __init__(self, now: float, timing: LeaseTiming, voters: VoterSet, leases: Collection[str]) -> None:
        self.timing = timing
        self.voters = voters
        self.abstains_until = now + timing.abstain_seconds
        self.leases = {lease: _LeaseState() for lease in leases}
        self.voters_in_force = (
            0  # the digest of the voters by whom a term has been chosen, as far as was seen
        )

    def receive(self, now: float, wall: int, word: AcceptorRequest) -> AcceptorResponse | None:
        """`now` on the clock that terms are measured on. `wall` is Unix time in milliseconds: it orders
        epochs where all that knew the last one are gone, and decides nothing else.
        """
        place = self.leases.get(word.lease)
        if place is None or word.voters_digest != self.voters.digest:
            if isinstance(word, Release) or place is None:
                return None
            return Rejection(*_about(word), "voters", self.timing.lease_seconds)
        match word:
            case Release():
                # A late one, of a term that the same process held earlier, must not end this one.
                if place.holder[1:] == word.proposal[1:] and place.holder <= word.proposal:
                    place.held_until = now
                return None
            case Prepare():
                return self._rejection(now, place, word) or self._promise(place, wall, word)
            case Propose():
                return self._rejection(now, place, word) or self._accept(now, place, word)

    def _rejection(self, now: float, place: _LeaseState, word: Prepare | Propose) -> Rejection | None:
        if now < self.abstains_until:
            return Rejection(*_about(word), "starting", self.abstains_until - now)
        if now < place.held_until and place.holder[1:] != word.proposal[1:]:
            left = place.held_until - now
            return Rejection(*_about(word), "held", left, holder=place.holder, epoch=place.epoch)
        if word.proposal < place.promised:
            return Rejection(
                *_about(word), "passed", self.timing.retransmit_seconds, promised_number=place.promised.number
            )
        return None

    def _promise(self, place: _LeaseState, wall: int, word: Prepare) -> Promise:
        place.promised = word.proposal
        return Promise(*_about(word), max(place.epoch, wall))

    def _accept(self, now: float, place: _LeaseState, word: Propose) -> AcceptorResponse:
        if word.lease_seconds > self.timing.lease_seconds:
            return Rejection(*_about(word), "voters", self.timing.lease_seconds)
        if now >= place.held_until or (place.holder, place.round) != (word.proposal, word.round):
            # Said once more, it is the same grant, and lasts no longer.
            place.held_until = now + self.timing.lease_seconds
        place.promised = place.holder = word.proposal
        place.round = word.round
        place.epoch = max(place.epoch, word.epoch)
        if word.is_renewal:
            self.voters_in_force = word.voters_digest
        return Accepted(*_about(word))

    # What is known of it

    def holder_of(self, now: float, lease: str) -> tuple[ProposalNumber, int, float] | None:
        """Who holds a place as far as this voter has granted it, in which epoch, for how long yet."""
        place = self.leases[lease]
        return (place.holder, place.epoch, place.held_until - now) if now < place.held_until else None

    def change_voters(self, now: float, voters: VoterSet, adopted_elsewhere: bool = False) -> str:
        """Go by other voters from now on; "" or why it does not. It abstains anew: what it has granted before
        may stand for a term yet. `taken`: another sidecar goes by them already, so it has seen a term in
        force by the step before; one that does not vote, or was late, may never see one itself.
        """
        if voters == self.voters:
            return ""
        if why := self.voters.objection_to(
            voters, self.voters.digest if adopted_elsewhere else self.voters_in_force
        ):
            return why
        self.voters = voters
        self.abstains_until = now + self.timing.abstain_seconds
        return ""


def _about(word: AcceptorRequest) -> tuple[str, ProposalNumber, int]:
    return word.lease, word.proposal, word.round
