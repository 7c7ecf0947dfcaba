"""Faults planted in the deciders, each of which the model checker has to find."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from math import inf
from typing import NamedTuple

from wheatring.fleet.lease.acceptor import Acceptor
from wheatring.fleet.lease.fencing import FencingGuard
from wheatring.fleet.lease.messages import AcceptorRequest, AcceptorResponse, Promise, Release
from wheatring.fleet.lease.proposer import AddressedRequest, Proposer
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.lab.leases.model import Bounds, Deciders, Model
from wheatring.lab.leases.search import SearchResult, search


class NotAbstaining(Acceptor):
    """An acceptor that does not abstain after a start."""

    def receive(self, now: float, wall: int, message: AcceptorRequest) -> AcceptorResponse | None:
        """Answer at once."""
        self.abstains_until = -inf
        return super().receive(now, wall, message)


class PromiseBreaking(Acceptor):
    """An acceptor that promises a lower proposal after a higher one."""

    def receive(self, now: float, wall: int, message: AcceptorRequest) -> AcceptorResponse | None:
        """Forget a promise that is in the way."""
        state = self.leases[message.lease]
        if not isinstance(message, Release):
            state.promised = min(state.promised, message.proposal)
        return super().receive(now, wall, message)


class ActingAfterTheEnd(Proposer):
    """A holder that reads its clock after the act: it acts as it held the lease when it last checked."""

    def epoch_to_act(self, now: float) -> int | None:  # noqa: ARG002 - the fault is that it isn't used
        """Return the epoch of a lease that may have ended."""
        return self.epoch if self.held_until > -inf else None


class EpochRepeating(Proposer):
    """A proposer whose epoch is the highest that it hears of, and not above it."""

    def receive(self, now: float, voter: str, message: AcceptorResponse) -> list[AddressedRequest]:
        """Understate the epoch of a promise."""
        if isinstance(message, Promise):
            epoch = max(0, message.epoch - 1)
            message = Promise(message.lease, message.proposal, message.round, epoch)
        return super().receive(now, voter, message)


class AdmittingAll(FencingGuard):
    """A receiver that admits acts of older leases, too."""

    def admit(self, token: int) -> bool:
        """Admit the act."""
        self.highest_token = max(self.highest_token, token)
        return True


class NoDriftBound(LeaseTiming):
    """Timing by which a holder's lease is as long as the acceptors', whatever the clocks do."""

    @property
    def holder_seconds(self) -> float:
        """The whole lease, without the margin for clock drift."""
        return self.lease_seconds


class PlantedFault(NamedTuple):
    """A fault, and the bounds within which it is found."""

    description: str
    deciders: Deciders
    bounds: Bounds = Bounds()


EARLY_BOUNDS = Bounds(ticks=2, faults=2)
PLANTED_FAULTS = (
    PlantedFault("a voter that does not abstain", Deciders(acceptor=NotAbstaining), EARLY_BOUNDS),
    PlantedFault(
        "a holder that reads its clock after the act", Deciders(proposer=ActingAfterTheEnd), Bounds(faults=1)
    ),
    PlantedFault("an epoch that repeats", Deciders(proposer=EpochRepeating), Bounds(faults=1)),
    PlantedFault(
        "a voter that takes back a promise",
        Deciders(acceptor=PromiseBreaking),
        Bounds(ticks=1, starts_together=True),
    ),
    PlantedFault("a receiver that lets older terms in", Deciders(guard=AdmittingAll), Bounds(faults=2)),
    PlantedFault(
        "no bound on how far clocks differ",
        Deciders(timing=NoDriftBound(lease_seconds=6.0, max_clock_drift=0.1)),
        Bounds(faults=2, proposer_drift=-0.1, acceptor_drift=0.1),
    ),
)


def find_planted(
    max_states: int, on_progress: Callable[[str], object] = lambda _line: None
) -> Iterator[tuple[PlantedFault, SearchResult]]:
    """Search for each planted fault in `max_states` states at most."""
    for planted in PLANTED_FAULTS:
        on_progress(f"looking for {planted.description}")
        yield planted, search(Model(planted.bounds, planted.deciders), max_states)
