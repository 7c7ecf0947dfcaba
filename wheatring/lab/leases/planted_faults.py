"""Planted faults of the lease protocol, each of which the model checker must find."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from math import inf
from typing import NamedTuple

from wheatring.fleet.lease.acceptor import Acceptor
from wheatring.fleet.lease.fencing import FencingGuard
from wheatring.fleet.lease.messages import AcceptorRequest, AcceptorResponse, Promise, Release
from wheatring.fleet.lease.proposer import AddressedRequest, Proposer
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.lab.leases.model import Bounds, Implementation, Model
from wheatring.lab.leases.search import SearchResult, search


class NotAbstaining(Acceptor):
    """An acceptor that does not abstain after a start."""

    def receive(self, now: float, wall: int, message: AcceptorRequest) -> AcceptorResponse | None:
        """Answer without abstaining."""
        self.abstains_until = -inf
        return super().receive(now, wall, message)


class PromiseBreaking(Acceptor):
    """An acceptor that promises a lower proposal after a higher one."""

    def receive(self, now: float, wall: int, message: AcceptorRequest) -> AcceptorResponse | None:
        """Lower the promise before the message is handled."""
        state = self.leases[message.lease]
        if not isinstance(message, Release):
            state.promised = min(state.promised, message.proposal)
        return super().receive(now, wall, message)


class ActingAfterExpiry(Proposer):
    """A holder that acts without checking whether its lease has expired."""

    def epoch_to_act(self, now: float) -> int | None:  # noqa: ARG002 - the fault is that it isn't used
        """Return the epoch of a lease that may have expired."""
        return self.epoch if self.held_until > -inf else None


class EpochRepeating(Proposer):
    """A proposer that reuses the highest epoch it has seen instead of exceeding it."""

    def receive(self, now: float, voter: str, message: AcceptorResponse) -> list[AddressedRequest]:
        """Understate the epoch of a promise."""
        if isinstance(message, Promise):
            epoch = max(0, message.epoch - 1)
            message = Promise(message.lease, message.proposal, message.round, epoch)
        return super().receive(now, voter, message)


class AdmittingAll(FencingGuard):
    """A receiver that also admits acts of older leases."""

    def admit(self, token: int) -> bool:
        """Admit the act."""
        self.highest_token = max(self.highest_token, token)
        return True


class NoDriftBound(LeaseTiming):
    """Timing by which the holder's lease is as long as the acceptors', without a margin for clock drift."""

    @property
    def holder_seconds(self) -> float:
        """The whole lease."""
        return self.lease_seconds


class PlantedFault(NamedTuple):
    """A fault, and the bounds within which it is found."""

    description: str
    implementation: Implementation
    bounds: Bounds = Bounds()


EARLY_BOUNDS = Bounds(ticks=2, faults=2)
PLANTED_FAULTS = (
    PlantedFault("a voter that does not abstain", Implementation(acceptor=NotAbstaining), EARLY_BOUNDS),
    PlantedFault(
        "a holder that acts after its lease has expired",
        Implementation(proposer=ActingAfterExpiry),
        Bounds(faults=1),
    ),
    PlantedFault("an epoch that is used twice", Implementation(proposer=EpochRepeating), Bounds(faults=1)),
    PlantedFault(
        "a voter that breaks a promise",
        Implementation(acceptor=PromiseBreaking),
        Bounds(ticks=1, starts_together=True),
    ),
    PlantedFault("a receiver that admits older epochs", Implementation(guard=AdmittingAll), Bounds(faults=2)),
    PlantedFault(
        "no margin for clock drift",
        Implementation(timing=NoDriftBound(lease_seconds=6.0, max_clock_drift=0.1)),
        Bounds(faults=2, proposer_drift=-0.1, acceptor_drift=0.1),
    ),
)


def find_planted(
    max_states: int, on_progress: Callable[[str], object] = lambda _line: None
) -> Iterator[tuple[PlantedFault, SearchResult]]:
    """Search for each planted fault, in at most `max_states` states each."""
    for planted in PLANTED_FAULTS:
        on_progress(f"looking for {planted.description}")
        yield planted, search(Model(planted.bounds, planted.implementation), max_states)
