"""The split of a route's requests over its pools: counted, or by customer. Neither draws random numbers."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import log
from typing import Protocol

from wheatring.daemon.routes.definitions import Route, WeightedPool

DEFICIT_RESOLUTION = 1 << 20  # parts of a request in which a deficit is kept when weights change
HASH_BITS = 53  # of a customer's hash that are used: as many as a float keeps exactly

Fields = Mapping[bytes, bytes]


class TrafficSplit(Protocol):
    """Chooses a pool for each request. Weights may change while it runs."""

    def pick(self, fields: Fields, /) -> str:
        """Return the pool of the next request, which has these header fields."""

    def update_weights(self, pools: Sequence[WeightedPool]) -> None:
        """Go by these weights from the next request on."""


class CountedSplit:
    """Counts requests: Tijdeman's rule for the chairman assignment problem, in integers.

    With k pools of a weight above 0, of the first n requests each has its share to within 1 - 1/(2k - 2),
    and of any n in a row to within twice that: for two pools, to within one. Serving the largest deficit
    instead would come to more than one with many pools, and the usual smooth round robin does so as well.

    When weights change, the deficits of the pools are kept, so that a shift in many small steps comes out as
    its shares say and not with the first pool ahead at each step. The deficit of a pool that leaves goes to
    the others, by their shares.
    """

    def __init__(self, pools: Sequence[WeightedPool]) -> None:
        self.names: list[str] = []
        self.weights: list[int] = []
        self.deficits: list[int] = []  # `request_unit` to a request; they add up to 0
        self.request_unit = 1
        self.update_weights(pools)

    def update_weights(self, pools: Sequence[WeightedPool]) -> None:
        """Go by these weights from the next request on. Raises ValueError where none is above 0."""
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
            # A pool with a smaller deficit may not have the request yet; of the others, the first whose
            # deficit would become too large.
            if deficits[i] * parts >= unit:
                slack = (parts - 1) * unit - parts * deficits[i]
                if best < 0 or slack * weights[best] < best_slack * weight:
                    best, best_slack = i, slack
        deficits[best] -= unit
        return self.names[best]


class RendezvousSplit:
    """Splits by a header's value: the same value goes to the same pool, in every sidecar and after a restart.

    Weighted rendezvous hashing: each pool has a score for each customer, from a hash of both, that is
    distributed as its weight says; the lowest score wins. When one pool's weight changes, only it gains
    customers or only it loses them, and just as many as its share changes by, which is the least that can
    move. With two pools that holds for any change. A request without the header is counted.

    Raises ValueError where the extra `routes` is not installed.
    """

    def __init__(self, header: str, pools: Sequence[WeightedPool]) -> None:
        try:
            from xxhash import xxh3_64_intdigest  # of the extra `routes`, and only where customers are split
        except ImportError:
            raise ValueError(
                "split_by: needs xxhash, which comes with the extra 'routes': 'wheatring[routes]'"
            ) from None
        self.digest = xxh3_64_intdigest
        self.header = header.lower().encode()
        self.without_header = CountedSplit(pools)
        self.pools: list[tuple[str, int, int]] = []  # name, seed of its hash, weight
        self.update_weights(pools)

    def update_weights(self, pools: Sequence[WeightedPool]) -> None:
        """Go by these weights from the next request on. Raises ValueError where none is above 0."""
        self.without_header.update_weights(pools)
        self.pools = [
            (pool.pool, self.digest(pool.pool.encode()), pool.weight) for pool in pools if pool.weight
        ]

    def pick(self, fields: Fields, /) -> str:
        """Return the pool of the customer that these header fields name."""
        customer = fields.get(self.header)
        if not customer:
            return self.without_header.pick(fields)
        best, best_score = "", float("inf")
        for name, seed, weight in self.pools:
            # Never 0 and never 1: a logarithm is taken. Of two equal scores the first pool wins.
            uniform = ((self.digest(customer, seed) >> (64 - HASH_BITS)) + 0.5) / (1 << HASH_BITS)
            score = -log(uniform) / weight
            if score < best_score:
                best, best_score = name, score
        return best


def split_for(route: Route) -> TrafficSplit:
    """Return the split that a route asks for. Raises ValueError where the extra it needs is missing."""
    return RendezvousSplit(route.split_by, route.pools) if route.split_by else CountedSplit(route.pools)
