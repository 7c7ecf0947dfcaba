"""The split of a route's requests over its pools: by count or by customer. Uses no random numbers."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import log
from typing import Protocol

from wheatring.daemon.routes.definitions import Route, WeightedPool

DEFICIT_RESOLUTION = 1 << 20  # units per request, for exact deficits across changes of weights
HASH_BITS = 53  # bits of a customer's hash that are used; a float represents that many exactly

Fields = Mapping[bytes, bytes]


class TrafficSplit(Protocol):
    """Chooses a pool for each request. Weights may change at runtime."""

    def pick(self, fields: Fields, /) -> str:
        """Return the pool of the next request, which has these header fields."""

    def update_weights(self, pools: Sequence[WeightedPool]) -> None:
        """Set the weights from the next request on."""


class CountedSplit:
    """Counts requests: Tijdeman's algorithm for the chairman assignment problem, in integers.

    With k pools of a weight above 0, the count of each deviates from its share of the first n requests by at
    most 1 - 1/(2k - 2), and of any n consecutive requests by at most twice that, which is one for two pools.
    Serving the largest deficit instead would exceed one with many pools, as does smooth weighted round robin.

    Deficits are kept when weights change, so that a shift in many small steps does not favour the first pool
    at each step. The deficit of a removed pool is distributed over the others by their shares.
    """

    def __init__(self, pools: Sequence[WeightedPool]) -> None:
        self.names: list[str] = []
        self.weights: list[int] = []
        self.deficits: list[int] = []  # in units of 1/`request_unit` request; their sum is 0
        self.request_unit = 1
        self.update_weights(pools)

    def update_weights(self, pools: Sequence[WeightedPool]) -> None:
        """Set the weights from the next request on. Raises ValueError if none is above 0."""
        active = [pool for pool in pools if pool.weight]
        if not active:
            raise ValueError("pools: none with a weight above 0")
        previous = dict(zip(self.names, self.deficits, strict=True))
        total = sum(pool.weight for pool in active)
        unit = total * DEFICIT_RESOLUTION
        deficits = [previous.get(pool.pool, 0) * unit // self.request_unit for pool in active]
        rest = -sum(deficits)
        for i, pool in enumerate(active):
            deficits[i] += rest * pool.weight // total
        deficits[0] -= sum(deficits)
        self.names = [pool.pool for pool in active]
        self.weights = [pool.weight * DEFICIT_RESOLUTION for pool in active]
        self.deficits, self.request_unit = deficits, unit

    def pick(self, _fields: Fields, /) -> str:
        """Return the pool of the next request."""
        weights, deficits, unit = self.weights, self.deficits, self.request_unit
        if len(deficits) == 1:
            return self.names[0]
        parts = 2 * len(deficits) - 2
        best, best_slack = -1, 0
        for i, weight in enumerate(weights):
            deficits[i] += weight
            # A pool with a smaller deficit would get too far ahead. Of the others, choose the one whose
            # deficit would become too large first.
            if deficits[i] * parts >= unit:
                slack = (parts - 1) * unit - parts * deficits[i]
                if best < 0 or slack * weights[best] < best_slack * weight:
                    best, best_slack = i, slack
        deficits[best] -= unit
        return self.names[best]


class RendezvousSplit:
    """Splits by a header's value: the same value goes to the same pool, in every sidecar and after a restart.

    Weighted rendezvous hashing: the score of a pool for a customer is an exponential variate, derived from a
    hash of both, with the pool's weight as its rate; the lowest score wins. When one pool's weight changes,
    customers move only to or only from that pool, and no more than its share changes by: the minimum.
    With two pools this holds for any change. Requests without the header are split by count.

    Raises ValueError if the extra `routes` is not installed.
    """

    def __init__(self, header: str, pools: Sequence[WeightedPool]) -> None:
        try:
            from xxhash import (
                xxh3_64_intdigest,
            )  # in the extra `routes`; imported only for a split by customer
        except ImportError:
            raise ValueError(
                "split_by: needs xxhash, which comes with the extra 'routes': 'wheatring[routes]'"
            ) from None
        self.digest = xxh3_64_intdigest
        self.header = header.lower().encode()
        self.fallback = CountedSplit(pools)
        self.pools: list[tuple[str, int, int]] = []  # name, hash seed, weight
        self.update_weights(pools)

    def update_weights(self, pools: Sequence[WeightedPool]) -> None:
        """Set the weights from the next request on. Raises ValueError if none is above 0."""
        self.fallback.update_weights(pools)
        self.pools = [
            (pool.pool, self.digest(pool.pool.encode()), pool.weight) for pool in pools if pool.weight
        ]

    def pick(self, fields: Fields, /) -> str:
        """Return the pool of the customer in these header fields."""
        customer = fields.get(self.header)
        if not customer:
            return self.fallback.pick(fields)
        best, best_score = "", float("inf")
        for name, seed, weight in self.pools:
            # Strictly between 0 and 1, for the logarithm. Of two equal scores the first pool wins.
            uniform = ((self.digest(customer, seed) >> (64 - HASH_BITS)) + 0.5) / (1 << HASH_BITS)
            score = -log(uniform) / weight
            if score < best_score:
                best, best_score = name, score
        return best


def split_for(route: Route) -> TrafficSplit:
    """Return a route's split. Raises ValueError if an extra that it needs is not installed."""
    return RendezvousSplit(route.split_by, route.pools) if route.split_by else CountedSplit(route.pools)
