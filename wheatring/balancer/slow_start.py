"""Slow start: how much an endpoint that warms up is sent.

A new endpoint has a part of its capacity and falls over under an even share. Attempts to it come in turns
that count only a part of this balancer's first attempts, and that go on only as answers come back.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.settings import Contract

MAX_CREDIT = 1.5  # most that an endpoint is sent while it warms up, in parts of what others are known to bear
MIN_ADVANCE = 0.05  # part of a turn that each first attempt advances by, whatever is answered


class SlowStart:
    """The turns of endpoints that warm up.

    Attributes
    ----------
    turn : float
        The present turn; an even share of attempts to one warm endpoint is one turn.
    credit : float
        Turns by which it may advance before more is answered.
    """

    def __init__(self, contract: Contract) -> None:
        self.contract = contract
        self.turn = 0.0
        self.credit = MAX_CREDIT

    def capacity(self, now: float, endpoint: Endpoint) -> float:
        """Return the least part of its capacity that an endpoint has by now, at most 1."""
        started_at = endpoint.entry.started_at
        contract = self.contract
        age = now - started_at
        if started_at <= 0 or age >= contract.warm_up:
            return 1.0
        initial = contract.initial_capacity
        return initial + (1 - initial) * max(age, 0.0) / contract.warm_up

    def total_capacity(self, now: float, endpoints: Iterable[Endpoint]) -> float:
        """Return what endpoints can bear by now, in warm ones."""
        capacity = self.capacity
        return sum([1.0 if e.entry.started_at <= 0 else capacity(now, e) for e in endpoints])

    def advance(self, share: float) -> None:
        """Advance by a first attempt; `share` is the part of a turn that it makes up.

        Retries grow with a fault while what an endpoint bears doesn't, so they advance nothing.
        """
        step = max(min(share, self.credit), MIN_ADVANCE * share)
        self.turn += step
        self.credit = max(self.credit - step, 0.0)

    def record_served(self, now: float, endpoint: Endpoint, subset_size: int) -> None:
        """Add what an endpoint of the subset, if it is warm, is known to bear by this answer."""
        borne = 1 / self.capacity(now, endpoint) / max(subset_size, 1)
        self.credit = min(MAX_CREDIT, self.credit + MAX_CREDIT * borne)

    def schedule_first(self, now: float, endpoint: Endpoint, random: Random) -> None:
        """Draw an endpoint's first turn: balancers that learn of it together would otherwise all send."""
        endpoint.next_turn = self.turn + random.random() / self.capacity(now, endpoint)

    def schedule_next(self, now: float, endpoint: Endpoint) -> None:
        """Set the next turn of an endpoint that is sent an attempt."""
        endpoint.next_turn = self.turn + 1 / self.capacity(now, endpoint)
