"""A route's requests shared out over its pools: counted, or by customer. No random numbers in either."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import log
from typing import Protocol

from wheatring.routes.words import Route, Weighted

FINE = 1 << 20  # parts of a request in which a debt is kept when weights change

Fields = Mapping[bytes, bytes]


class Split(Protocol):
    """Names a pool for each request. Weights may change while it runs."""

    def pick(self, fields: Fields) -> str:
        """The pool of the next request."""

    def change(self, pools: Sequence[Weighted]) -> None:
        """Go by these weights from the next request on."""


class Turns:
    """Counted: Tijdeman's rule for the chairman's assignment, in whole numbers.

    With k pools of a weight above 0, of the first n requests each has its share to within 1 - 1/(2k - 2),
    and of any n in a row to within twice that: for two pools, to within one. Taking the largest debt
    instead would come to more than one with many pools, and the usual smooth round robin does so as well.

    When weights change, what each pool is still owed goes along, so that a shift in many small steps
    comes out as its shares say and not with the first pool ahead at each step. What was owed to a pool
    that leaves goes to the others, by their shares.
    """

    def __init__(self, pools: Sequence[Weighted]) -> None:
        self.names: list[str] = []
        self.weights: list[int] = []
        self.owed: list[int] = []  # in parts of a request, `one` to a request; they add up to 0
        self.one = 1
        self.change(pools)

    def change(self, pools: Sequence[Weighted]) -> None:
        taking = [w for w in pools if w.weight]
        if not taking:
            raise ValueError("pools: none with a weight above 0")
        before = dict(zip(self.names, self.owed, strict=True))
        total = sum(w.weight for w in taking)
        one = total * FINE
        owed = [before.get(w.pool, 0) * one // self.one for w in taking]
        rest = -sum(owed)
        for i, weighted in enumerate(taking):
            owed[i] += rest * weighted.weight // total
        owed[0] -= sum(owed)
        self.names = [w.pool for w in taking]
        self.weights = [w.weight * FINE for w in taking]
        self.owed, self.one = owed, one

    def pick(self, fields: Fields) -> str:
        weights, owed, one = self.weights, self.owed, self.one
        if len(owed) == 1:
            return self.names[0]
        parts = 2 * len(owed) - 2
        best, ahead = -1, 0
        for i, weight in enumerate(weights):
            owed[i] += weight
            # Who is owed less may not have it yet; of the others, the first that would be owed too much.
            if owed[i] * parts >= one:
                left = (parts - 1) * one - parts * owed[i]
                if best < 0 or left * weights[best] < ahead * weight:
                    best, ahead = i, left
        owed[best] -= one
        return self.names[best]


class ByCustomer:
    """By a header's value: the same value goes to the same pool, in every sidecar and after a restart.

    Each pool draws a number for each customer, from a hash of both, that grows with its weight as a
    drawing of lots does; the highest has it (weighted rendezvous hashing). When one pool's weight
    changes, only it gains customers or only it loses them, and just as many as its share changes by,
    which is the least that can move. With two pools that holds for any change. A request without the
    header is counted (Turns).
    """

    def __init__(self, header: str, pools: Sequence[Weighted]) -> None:
        try:
            from xxhash import xxh3_64_intdigest  # of the extra `routes`, and only where customers are split
        except ImportError:
            raise ValueError(
                "split_by: needs xxhash, which comes with the extra 'routes': 'wheatring[routes]'"
            ) from None
        self.digest = xxh3_64_intdigest
        self.header = header.lower().encode()
        self.nameless = Turns(pools)
        self.pools: list[tuple[str, int, int]] = []  # name, seed of its hash, weight
        self.change(pools)

    def change(self, pools: Sequence[Weighted]) -> None:
        self.nameless.change(pools)
        self.pools = [(w.pool, self.digest(w.pool.encode()), w.weight) for w in pools if w.weight]

    def pick(self, fields: Fields) -> str:
        customer = fields.get(self.header)
        if not customer:
            return self.nameless.pick(fields)
        best, least = "", float("inf")
        for name, seed, weight in self.pools:
            # Never 0 and never 1: a logarithm is taken. Of two that draw alike the first has it.
            drawn = ((self.digest(customer, seed) >> 11) + 0.5) / (1 << 53)
            late = -log(drawn) / weight
            if late < least:
                best, least = name, late
        return best


def split(route: Route) -> Split:
    return ByCustomer(route.split_by, route.pools) if route.split_by else Turns(route.pools)
