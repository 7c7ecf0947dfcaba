"""Slow start: limits the requests to an endpoint that warms up.

A new endpoint has only part of its capacity, and an even share would overload it. It is sent at most one
attempt per 1/capacity slots. Slots advance with this balancer's first attempts, and only as fast as endpoints
answer.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.settings import Contract

# Limit of the credit, and slots credited per slot of answers. Relative to its capacity, an endpoint that
# warms up is sent at most this multiple of what the other endpoints are known to serve.
MAX_CREDIT = 1.5
MIN_ADVANCE = 0.05  # Fraction of its share by which a first attempt advances even without credit.


class SlowStart:
    """Assigns slots to endpoints that warm up.

    Attributes
    ----------
    current_slot : float
        Position in slots. One slot is the time in which each warm endpoint is sent one attempt on average.
    credit : float
        Slots by which it may advance before further answers.
    """

    def __init__(self, contract: Contract) -> None:
        self.contract = contract
        self.current_slot = 0.0
        self.credit = MAX_CREDIT

    def capacity(self, now: float, endpoint: Endpoint) -> float:
        """Return the minimum fraction of its capacity that an endpoint has at a time, at most 1."""
        started_at = endpoint.entry.started_at
        contract = self.contract
        age = now - started_at
        if started_at <= 0 or age >= contract.warm_up:
            return 1.0
        initial = contract.initial_capacity
        return initial + (1 - initial) * max(age, 0.0) / contract.warm_up

    def total_capacity(self, now: float, endpoints: Iterable[Endpoint]) -> float:
        """Return the capacity of endpoints at a time, in warm endpoints."""
        capacity = self.capacity
        return sum([1.0 if e.entry.started_at <= 0 else capacity(now, e) for e in endpoints])

    def advance(self, share: float) -> None:
        """Advance by a first attempt; `share` is the fraction of a slot that it stands for.

        Retries don't advance the slots: a fault causes more of them, but doesn't add capacity.
        """
        step = max(min(share, self.credit), MIN_ADVANCE * share)
        self.current_slot += step
        self.credit = max(self.credit - step, 0.0)

    def record_served(self, now: float, endpoint: Endpoint, subset_size: int) -> None:
        """Add credit for an answer; at an endpoint that warms up, it counts as 1/capacity answers."""
        served_share = 1 / self.capacity(now, endpoint) / max(subset_size, 1)
        self.credit = min(MAX_CREDIT, self.credit + MAX_CREDIT * served_share)

    def schedule_first(self, now: float, endpoint: Endpoint, random: Random) -> None:
        """Draw an endpoint's first slot, since balancers are notified of new endpoints simultaneously."""
        endpoint.next_slot = self.current_slot + random.random() / self.capacity(now, endpoint)

    def schedule_next(self, now: float, endpoint: Endpoint) -> None:
        """Set the next slot of an endpoint that is sent an attempt."""
        endpoint.next_slot = self.current_slot + 1 / self.capacity(now, endpoint)
