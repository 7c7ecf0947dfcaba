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

from wheatring.lease.terms import Terms
from wheatring.lease.voters import Voters
from wheatring.lease.words import (
    NOBODY,
    Ask,
    Ballot,
    Claim,
    FromVoter,
    Grant,
    Promise,
    Refusal,
    Release,
    ToVoter,
)


class _Place:
    __slots__ = ("epoch", "holder", "promised", "round", "until")

    def __init__(self) -> None:
        self.promised = NOBODY
        self.holder = NOBODY
        self.until = 0.0
        self.epoch = 0
        self.round = 0  # that was granted last


class Voter:
    """`leases` are the names of all places of all duties: a word about any other is not answered."""

    def __init__(self, now: float, terms: Terms, voters: Voters, leases: Collection[str]) -> None:
        self.terms = terms
        self.voters = voters
        self.silent = now + terms.abstain
        self.places = {lease: _Place() for lease in leases}
        self.in_force = 0  # the digest of the voters by whom a term has been chosen, as far as was seen

    def hear(self, now: float, wall: int, word: ToVoter) -> FromVoter | None:
        """`now` on the clock that terms are measured on. `wall` is Unix time in milliseconds: it orders
        epochs where all that knew the last one are gone, and decides nothing else.
        """
        place = self.places.get(word.lease)
        if place is None or word.voters != self.voters.digest:
            if isinstance(word, Release) or place is None:
                return None
            return Refusal(*_about(word), "voters", self.terms.term)
        match word:
            case Release():
                # A late one, of a term that the same process held earlier, must not end this one.
                if place.holder[1:] == word.ballot[1:] and place.holder <= word.ballot:
                    place.until = now
                return None
            case Ask():
                return self._refused(now, place, word) or self._promise(place, wall, word)
            case Claim():
                return self._refused(now, place, word) or self._grant(now, place, word)

    def _refused(self, now: float, place: _Place, word: Ask | Claim) -> Refusal | None:
        if now < self.silent:
            return Refusal(*_about(word), "starting", self.silent - now)
        if now < place.until and place.holder[1:] != word.ballot[1:]:
            left = place.until - now
            return Refusal(*_about(word), "held", left, holder=place.holder, epoch=place.epoch)
        if word.ballot < place.promised:
            return Refusal(*_about(word), "passed", self.terms.again, number=place.promised.number)
        return None

    def _promise(self, place: _Place, wall: int, word: Ask) -> Promise:
        place.promised = word.ballot
        return Promise(*_about(word), max(place.epoch, wall))

    def _grant(self, now: float, place: _Place, word: Claim) -> FromVoter:
        if word.term > self.terms.term:
            return Refusal(*_about(word), "voters", self.terms.term)
        if now >= place.until or (place.holder, place.round) != (word.ballot, word.round):
            # Said once more, it is the same grant, and lasts no longer.
            place.until = now + self.terms.term
        place.promised = place.holder = word.ballot
        place.round = word.round
        place.epoch = max(place.epoch, word.epoch)
        if word.chosen:
            self.in_force = word.voters
        return Grant(*_about(word))

    # What is known of it

    def holder(self, now: float, lease: str) -> tuple[Ballot, int, float] | None:
        """Who holds a place as far as this voter has granted it, in which epoch, for how long yet."""
        place = self.places[lease]
        return (place.holder, place.epoch, place.until - now) if now < place.until else None

    def change(self, now: float, voters: Voters, taken: bool = False) -> str:
        """Go by other voters from now on; "" or why it does not. It abstains anew: what it has granted before
        may stand for a term yet. `taken`: another sidecar goes by them already, so it has seen a term in
        force by the step before; one that does not vote, or was late, may never see one itself.
        """
        if voters == self.voters:
            return ""
        if why := self.voters.unsafe(voters, self.voters.digest if taken else self.in_force):
            return why
        self.voters = voters
        self.silent = now + self.terms.abstain
        return ""


def _about(word: ToVoter) -> tuple[str, Ballot, int]:
    return word.lease, word.ballot, word.round
