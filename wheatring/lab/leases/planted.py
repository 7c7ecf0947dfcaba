"""Faults planted in the deciders, each of which the model checker has to find."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from math import inf
from typing import NamedTuple

from wheatring.lab.leases.model import Bounds, Makes, Model
from wheatring.lab.leases.search import Found, search
from wheatring.lease.acceptor import Acceptor
from wheatring.lease.fencing import FencingGuard
from wheatring.lease.messages import AcceptorRequest, AcceptorResponse, Promise, Release
from wheatring.lease.proposer import AddressedRequest, Proposer
from wheatring.lease.timing import LeaseTiming


class Hasty(Acceptor):
    """Does not abstain."""

    def receive(self, now: float, wall: int, word: AcceptorRequest) -> AcceptorResponse | None:
        self.abstains_until = -inf
        return super().receive(now, wall, word)


class Fickle(Acceptor):
    """Promises a lower ballot after a higher one."""

    def receive(self, now: float, wall: int, word: AcceptorRequest) -> AcceptorResponse | None:
        place = self.leases[word.lease]
        if not isinstance(word, Release):
            place.promised = min(place.promised, word.proposal)
        return super().receive(now, wall, word)


class Trusting(Proposer):
    """Reads its clock after the act: it acts as it was in office when it last looked."""

    def epoch_to_act(self, now: float) -> int | None:
        return self.epoch if self.held_until > -inf else None


class Repeating(Proposer):
    """Its epoch is the highest that it hears of, and not above it."""

    def receive(self, now: float, voter: str, word: AcceptorResponse) -> list[AddressedRequest]:
        if isinstance(word, Promise):
            word = Promise(word.lease, word.proposal, word.round, max(0, word.epoch - 1))
        return super().receive(now, voter, word)


class Open(FencingGuard):
    """Lets everything in."""

    def admit(self, token: int) -> bool:
        self.highest_token = max(self.highest_token, token)
        return True


class Planted(NamedTuple):
    what: str
    makes: Makes
    bounds: Bounds = Bounds()


class NoBound(LeaseTiming):
    """The holder's term is as long as the voter's, whatever the clocks."""

    @property
    def holder_seconds(self) -> float:
        return self.lease_seconds


EARLY = Bounds(ticks=2, faults=2)
PLANTED = (
    Planted("a voter that does not abstain", Makes(voter=Hasty), EARLY),
    Planted("a holder that reads its clock after the act", Makes(claimant=Trusting), Bounds(faults=1)),
    Planted("an epoch that repeats", Makes(claimant=Repeating), Bounds(faults=1)),
    Planted("a voter that takes back a promise", Makes(voter=Fickle), Bounds(ticks=1, together=True)),
    Planted("a receiver that lets older terms in", Makes(fence=Open), Bounds(faults=2)),
    Planted(
        "no bound on how far clocks differ",
        Makes(terms=NoBound(lease_seconds=6.0, max_clock_drift=0.1)),
        Bounds(faults=2, claimants_fast=-0.1, voters_fast=0.1),
    ),
)


def find(most: int, tell: Callable[[str], object] = lambda line: None) -> Iterator[tuple[Planted, Found]]:
    """Look for each planted fault."""
    for planted in PLANTED:
        tell(f"looking for {planted.what}")
        yield planted, search(Model(planted.bounds, planted.makes), most)
