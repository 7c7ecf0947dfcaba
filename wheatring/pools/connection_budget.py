"""Connections to nodes, shared between pools by need: each has some of its own, the rest goes by need.

A pool may grow as long as all others keep what they hold, and their own ones free. So, while the total stays,
what all hold together is never above it, and a pool below its own number can always grow: no pool that is
flooded takes another's last connection. Idle ones above a pool's own number give way to need elsewhere.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from wheatring.core.exchange import Claim
from wheatring.http1.claim import ClaimConnection
from wheatring.http1.client import Pool


class ConnectionUsage(NamedTuple):
    """One pool's connections, those under way among them, and how many are its own in any case."""

    in_use: int
    reserved: int


def available(total: int, others: Iterable[ConnectionUsage]) -> int:
    """How many a pool may hold, beside these others."""
    return total - sum([max(other.in_use, other.reserved) for other in others])


class ConnectionBudget:
    """The connections of all pools. `total` may change while it runs; a lower one is reached as they end."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.least: dict[BudgetedPool, int] = {}  # in the order in which they came

    def in_use(self) -> int:
        return sum([len(pool.connections) + len(pool.dials) for pool in self.least])

    def limit_of(self, pool: BudgetedPool) -> int:
        return available(self.total, [other.places_held() for other in self.least if other is not pool])

    def retire(self, pool: BudgetedPool) -> bool:
        """Have the connection closed that stood idle longest, of the pool itself and of those that hold more
        than is their own. False: there is none.
        """
        found = None
        for each in self.least:
            if each is not pool and (count := each.places_held()).in_use <= count.reserved:
                continue
            oldest = each.oldest_idle()
            if oldest is not None and (found is None or oldest.idle_since < found[1].idle_since):
                found = each, oldest
        if found is None:
            return False
        found[0].retire(found[1], "pool-full")
        return True


class BudgetedPool(Pool):
    """A pool's connections, as many as the places let it have by now."""

    def __init__(self, places: ConnectionBudget, *told: Any) -> None:
        self.places = places
        self.retired: set[ClaimConnection] = set()
        super().__init__(*told)
        places.least[self] = 0

    def places_held(self) -> ConnectionUsage:
        """One that has been told to close gives its place already: it is gone within this turn or the next,
        and counted it would have two more closed in its stead.
        """
        held = len(self.connections) - len(self.retired) + len(self.dials)
        return ConnectionUsage(held, self.places.least[self])

    def retire(self, connection: ClaimConnection, code: str) -> None:
        self.retired.add(connection)
        super().retire(connection, code)

    def gone(self, connection: ClaimConnection) -> None:
        self.retired.discard(connection)
        super().gone(connection)

    def start(self, claim: Claim) -> None:
        self.most = self.places.limit_of(self)
        super().start(claim)

    def retire_oldest(self) -> bool:
        return self.places.retire(self)

    def leave(self, code: str) -> None:
        """Nobody asks for it any more: nothing is kept, and what is on its way up is not waited for."""
        for dial in list(self.dials):
            dial.connector.stopConnecting()
        self.close(code)
        del self.places.least[self]
