"""Connections to nodes, shared between pools by need: each has some reserved, the rest goes by need.

A pool may grow as long as all others keep what they use, and what is reserved for them stays free. So, while
the total stays, what all use together never exceeds it, and a pool below its reserve can always grow: no
overloaded pool takes another's last connection. Idle connections above a pool's reserve are closed for those
that need one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from wheatring.daemon.core.exchange import Attempt
from wheatring.daemon.http1.connection_pool import ConnectionPool
from wheatring.daemon.http1.endpoint_connection import EndpointConnection


class ConnectionUsage(NamedTuple):
    """One pool's connections in use, those being made among them, and how many are reserved for it."""

    in_use: int
    reserved: int


def available(total: int, others: Iterable[ConnectionUsage]) -> int:
    """Return how many connections a pool may use beside these others."""
    return total - sum([max(other.in_use, other.reserved) for other in others])


class ConnectionBudget:
    """The connections of all pools.

    `total` may change while it runs; a lower one is reached as connections end.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.reserved: dict[BudgetedPool, int] = {}  # by pool, in the order in which they came

    def in_use(self) -> int:
        """Count the connections of all pools, those being made among them."""
        return sum([len(pool.connections) + len(pool.pending_connects) for pool in self.reserved])

    def limit_of(self, pool: BudgetedPool) -> int:
        """Return how many connections a pool may use now."""
        return available(self.total, [other.usage() for other in self.reserved if other is not pool])

    def close_idle_for(self, pool: BudgetedPool) -> bool:
        """Close the longest idle connection of the pool itself or of one that uses more than its reserve.

        Returns
        -------
        bool
            False where there is none.
        """
        found: tuple[BudgetedPool, EndpointConnection] | None = None
        for candidate in self.reserved:
            if candidate is not pool and (usage := candidate.usage()).in_use <= usage.reserved:
                continue
            oldest = candidate.oldest_idle()
            if oldest is not None and (found is None or oldest.idle_since < found[1].idle_since):
                found = candidate, oldest
        if found is None:
            return False
        found[0].retire(found[1], "pool-full")
        return True


class BudgetedPool(ConnectionPool):
    """One pool's connections, as many as the budget allows."""

    def __init__(self, budget: ConnectionBudget, *arguments: Any) -> None:
        self.budget = budget
        self.retired: set[EndpointConnection] = set()
        super().__init__(*arguments)
        budget.reserved[self] = 0

    def usage(self) -> ConnectionUsage:
        """Count the connections, but those that are being closed.

        These are gone within this turn of the reactor or the next; counted, each would have one more closed.
        """
        in_use = len(self.connections) - len(self.retired) + len(self.pending_connects)
        return ConnectionUsage(in_use, self.budget.reserved[self])

    def retire(self, connection: EndpointConnection, code: str) -> None:
        """Close a connection that carries nothing."""
        self.retired.add(connection)
        super().retire(connection, code)

    def remove(self, connection: EndpointConnection) -> None:
        """Forget a connection that is closed."""
        self.retired.discard(connection)
        super().remove(connection)

    def start_attempt(self, attempt: Attempt) -> None:
        """Send an attempt, on a new connection if the budget allows one."""
        self.max_connections = self.budget.limit_of(self)
        super().start_attempt(attempt)

    def retire_oldest_idle(self) -> bool:
        """Close an idle connection of any pool that may lose one; False where there is none."""
        return self.budget.close_idle_for(self)

    def leave(self, code: str) -> None:
        """Close all, and stop all that are being made, as no request needs them any more."""
        for dial in list(self.pending_connects):
            dial.connector.stopConnecting()
        self.close(code)
        del self.budget.reserved[self]
