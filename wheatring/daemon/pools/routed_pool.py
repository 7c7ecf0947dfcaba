"""One of several pools: the source of its endpoint list, its readiness, and its shutdown.

States; `PoolSet` makes all transitions, except that the first list update makes a pool ready:

- *created*: it receives updates of its list and has no requests.
- *ready*: its list was received at least once. Routes may refer to it.
- *draining*: no route refers to it; its requests continue, and it still receives updates of its list.
- *closed*: it has no list, no connection, and no timer that starts another.

Invariant: a closed pool has no requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from wheatring.balancer.interface import Action, Event, Outcome, Settings, View, ViewKind
from wheatring.common.body import BodyMemory
from wheatring.daemon.config.project_file import PoolTable
from wheatring.daemon.core.clock import Clock
from wheatring.daemon.core.exchange import Exchange
from wheatring.daemon.lifecycle.endpoint_overrides import EndpointListState, EndpointOverrides
from wheatring.daemon.lifecycle.list_request_schedule import RequestPace
from wheatring.daemon.pools.connection_budget import BudgetedPool, ConnectionBudget
from wheatring.daemon.pools.endpoint_selection import EndpointSelection
from wheatring.daemon.serving_pool import ServingPool

EMPTY_LIST = {"generation": 0, "instances": []}  # of a pool that has just been created


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolEnvironment:
    """What all pools of one sidecar share.

    `caller_exchange` holds the open requests and latencies of all pools. `platform_pool` is the pool that
    watches the platform's endpoint list; it gets no requests.
    """

    reactor: Any
    clock: Clock
    caller_exchange: Exchange
    settings: Settings
    seed: int
    platform_pool: ServingPool
    budget: ConnectionBudget
    body_memory: BodyMemory


class InertBalancer:
    """Replaces the balancer of a closed pool and returns no actions, so that no timer starts the next."""

    def handle(self, now: float, event: Event) -> list[Action]:  # noqa: ARG002 - the balancer's signature
        """Return no action."""
        return []


class PlatformListClient:
    """The platform's endpoint list as a pool's driver uses it.

    The platform pool fetches it; outcomes of attempts in all pools count for its freshness.
    """

    def __init__(self, platform_pool: ServingPool) -> None:
        self.platform_pool = platform_pool

    def subscribe(self) -> None:
        """Do nothing, as the platform pool watches the list."""

    def unsubscribe(self) -> None:
        """Do nothing, as other pools use the list."""

    def fetch(self) -> None:
        """Fetch the list again."""
        self.platform_pool.endpoint_list.fetch()

    def record_outcome(self, now: float, endpoint: str, outcome: Outcome) -> None:
        """Record the outcome of an attempt at an endpoint."""
        self.platform_pool.endpoint_list.record_outcome(now, endpoint, outcome)


class RoutedPool:
    """A pool of the configuration file."""

    def __init__(self, name: str, table: PoolTable, environment: PoolEnvironment, pace: RequestPace) -> None:
        self.name = name
        self.table = table
        self.serving = _serving_pool(name, environment, pace)
        self.driver = self.serving.driver
        self.pool = self.serving.pool
        assert isinstance(self.pool, BudgetedPool)
        self.connections: BudgetedPool = self.pool
        self.is_ready = self.is_closed = False
        self.selection: EndpointSelection | None = None  # None if it has a list of its own
        self.overrides = EndpointOverrides(self.driver.feed)  # of its own list
        if table.discovery is None:
            self.selection = EndpointSelection(table)
            self.driver.endpoint_list = PlatformListClient(environment.platform_pool)
            self.connections.addresses = environment.platform_pool.pool.addresses
        else:
            host, _, port = table.discovery.rpartition(":")
            self.serving.list_from((host, int(port)), self.on_own_list)

    def start(self, platform_list: EndpointListState) -> None:
        """Start receiving updates of the list."""
        if self.selection is None:
            self.serving.endpoint_list.load_cached(EMPTY_LIST)
        else:
            self.on_platform_list(platform_list.full_view())

    def on_platform_list(self, view: View) -> None:
        """Apply an update of the platform's list."""
        if self.selection is not None and not self.is_closed:
            self.is_ready = True
            self.driver.feed(self.selection.select(view))

    def on_own_list(self, view: View) -> None:
        """Apply an update of its own list."""
        if view.kind in (ViewKind.FULL, ViewKind.DELTA):
            self.is_ready = True
        self.overrides.view(view)

    def set_pace(self, pace: RequestPace) -> None:
        """Set the pace of requests for its own list, if it has one."""
        if self.selection is None:
            self.serving.endpoint_list.request_schedule.pace = pace

    def close(self, code: str) -> None:
        """Close the pool. It has no requests, or the sidecar stops."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.selection is None:
            self.serving.endpoint_list.unsubscribe()
        self.connections.release(code)
        self.driver.decision_module = InertBalancer()


def _serving_pool(name: str, environment: PoolEnvironment, pace: RequestPace) -> ServingPool:
    """Create the components of a pool, with an exchange of its own."""
    caller_exchange = environment.caller_exchange
    exchange = Exchange(environment.clock, caller_exchange.answer_slack)
    exchange.open_requests, exchange.latencies = caller_exchange.open_requests, caller_exchange.latencies
    # Each pool draws random numbers of its own, for decisions and for the schedule of list requests.
    seed = Random(f"{environment.seed}:pool:{name}").getrandbits(63)
    return ServingPool(
        environment.reactor, environment.clock, exchange, environment.settings, seed, 0,
        environment.body_memory, pace, partial(BudgetedPool, environment.budget),
    )  # fmt: skip
