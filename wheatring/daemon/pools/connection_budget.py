"""Connections to endpoints, shared between pools: each has some reserved, the rest is used on demand.

A pool may grow as long as the others keep the connections that they use, and their reserves stay free. So,
while the total is constant, the sum in use never exceeds it, and a pool below its reserve can always grow: an
overloaded pool can't take another's last connection. Idle connections above a pool's reserve are closed when
another pool needs one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from wheatring.daemon.core.exchange import Attempt
from wheatring.daemon.http1.connection_pool import ConnectionPool
from wheatring.daemon.http1.endpoint_connection import EndpointConnection


class ConnectionUsage(NamedTuple):
    """One pool's connections in use, including pending connects, and how many are reserved for it."""

    in_use: int
    reserved: int


def available(total: int, others: Iterable[ConnectionUsage]) -> int:
    """Return how many connections a pool may use, given the usage of all other pools."""
    return total - sum([max(other.in_use, other.reserved) for other in others])


class ConnectionBudget:
    """The connections of all pools.

    `total` may change at runtime; a lower total takes effect as connections end.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.reserved: dict[BudgetedPool, int] = {}  # by pool, in the order of creation

    def in_use(self) -> int:
        """Return the number of connections of all pools, including pending connects."""
        return sum([len(pool.connections) + len(pool.pending_connects) for pool in self.reserved])

    def limit_of(self, pool: BudgetedPool) -> int:
        """Return how many connections a pool may use at present."""
        return available(self.total, [other.usage() for other in self.reserved if other is not pool])

    def close_idle_for(self, pool: BudgetedPool) -> bool:
        """Close the longest-idle connection of the pool itself or of one that exceeds its reserve.

        Returns
        -------
        bool
            False if there is no such connection.
        """
        choice: tuple[BudgetedPool, EndpointConnection] | None = None
        for candidate in self.reserved:
            if candidate is not pool and (usage := candidate.usage()).in_use <= usage.reserved:
                continue
            oldest = candidate.oldest_idle()
            if oldest is not None and (choice is None or oldest.idle_since < choice[1].idle_since):
                choice = candidate, oldest
        if choice is None:
            return False
        choice[0].retire(choice[1], "pool-full")
        return True


class BudgetedPool(ConnectionPool):
    """The connections of one pool, limited by the budget."""

    def __init__(self, budget: ConnectionBudget, *arguments: Any) -> None:
        self.budget = budget
        self.retired: set[EndpointConnection] = set()
        super().__init__(*arguments)
        budget.reserved[self] = 0

    def usage(self) -> ConnectionUsage:
        """Return the connections in use, excluding those that are being closed.

        These end within this iteration of the reactor or the next; if they were counted, one more idle
        connection would be closed for each.
        """
        in_use = len(self.connections) - len(self.retired) + len(self.pending_connects)
        return ConnectionUsage(in_use, self.budget.reserved[self])

    def retire(self, connection: EndpointConnection, code: str) -> None:
        """Close an idle connection."""
        self.retired.add(connection)
        super().retire(connection, code)

    def remove(self, connection: EndpointConnection) -> None:
        """Remove a closed connection."""
        self.retired.discard(connection)
        super().remove(connection)

    def start_attempt(self, attempt: Attempt) -> None:
        """Send an attempt, on a new connection if the budget allows one."""
        self.max_connections = self.budget.limit_of(self)
        super().start_attempt(attempt)

    def retire_oldest_idle(self) -> bool:
        """Close an idle connection of any pool that can spare one; return False if there is none."""
        return self.budget.close_idle_for(self)

    def release(self, code: str) -> None:
        """Close all connections, abort pending connects and give up the reserve. No request uses the pool."""
        for pending in list(self.pending_connects):
            pending.connector.stopConnecting()
        self.close(code)
        del self.budget.reserved[self]
