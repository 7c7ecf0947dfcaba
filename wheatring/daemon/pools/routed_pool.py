"""One pool of several: where its endpoint list comes from, whether it may get requests, and how it ends.

States, moved by `PoolSet` alone, but for `is_ready`, which the list moves:

- *made*: it has its parts and hears its list. No request is its own.
- *ready*: its list was received once. The routes may name it.
- *leaving*: no route names it; its requests go on, and it still hears which endpoints drain.
- *closed*: nothing is its own any more: no list, no connection, no timer that starts another.

What must never be: a request in a closed pool.
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

EMPTY_LIST = {"generation": 0, "instances": []}  # of a pool that has just been made


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolEnvironment:
    """What all pools of one sidecar share.

    `front` is the callers' exchange: identifiers and usual durations are the same for all pools. `plain` is
    the pool that has the one endpoint list, and gets no requests.
    """

    reactor: Any
    clock: Clock
    front: Exchange
    settings: Settings
    seed: int
    plain: ServingPool
    budget: ConnectionBudget
    body_room: BodyMemory


class InertBalancer:
    """Decides nothing any more: a timer of a closed pool must not start the next."""

    def handle(self, now: float, event: Event) -> list[Action]:  # noqa: ARG002 - the balancer's signature
        """Return no action."""
        return []


class SharedListClient:
    """The one endpoint list as the driver of a pool knows it.

    The plain pool asks for it, and all pools share what makes its entries doubtful.
    """

    def __init__(self, plain: ServingPool) -> None:
        self.plain = plain

    def subscribe(self) -> None:
        """Do nothing: the plain pool decides the same of the list, and watches it."""

    def unsubscribe(self) -> None:
        """Do nothing: other pools use the list."""

    def fetch(self) -> None:
        """Ask for the list again."""
        self.plain.machine_list.fetch()

    def record_outcome(self, now: float, node: str, outcome: Outcome) -> None:
        """Report how an attempt at a node ended."""
        self.plain.machine_list.record_outcome(now, node, outcome)


class RoutedPool:
    """A pool that the configuration file names."""

    def __init__(self, name: str, table: PoolTable, environment: PoolEnvironment, pace: RequestPace) -> None:
        self.name = name
        self.table = table
        self.serving = _serving_pool(name, environment, pace)
        self.driver = self.serving.driver
        self.pool = self.serving.pool
        assert isinstance(self.pool, BudgetedPool)
        self.connections: BudgetedPool = self.pool
        self.is_ready = self.is_closed = False
        self.selection: EndpointSelection | None = None  # None: it has a list of its own
        self.overrides = EndpointOverrides(self.driver.feed)  # over its own list
        if table.discovery is None:
            self.selection = EndpointSelection(table)
            self.driver.endpoint_list = SharedListClient(environment.plain)
            self.connections.addresses = environment.plain.pool.addresses
        else:
            host, _, port = table.discovery.rpartition(":")
            self.serving.list_from((host, int(port)), self.on_own_list)

    def start(self, shared_list: EndpointListState) -> None:
        """Hear the list from now on."""
        if self.selection is None:
            self.serving.machine_list.load_cached(EMPTY_LIST)
        else:
            self.on_shared_list(shared_list.full_view())

    def on_shared_list(self, view: View) -> None:
        """Take up an update of the one list."""
        if self.selection is not None and not self.is_closed:
            self.is_ready = True
            self.driver.feed(self.selection.select(view))

    def on_own_list(self, view: View) -> None:
        """Take up an update of its own list."""
        if view.kind in (ViewKind.FULL, ViewKind.DELTA):
            self.is_ready = True
        self.overrides.view(view)

    def set_pace(self, pace: RequestPace) -> None:
        """Ask for its own list, if it has one, as often as this says."""
        if self.selection is None:
            self.serving.machine_list.request_schedule.pace = pace

    def close(self, code: str) -> None:
        """End it, as it has no requests, or the sidecar ends."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.selection is None:
            self.serving.machine_list.unsubscribe()
        self.connections.leave(code)
        self.driver.decision_module = InertBalancer()


def _serving_pool(name: str, environment: PoolEnvironment, pace: RequestPace) -> ServingPool:
    """Make the parts of a pool, with an exchange of its own."""
    front = environment.front
    exchange = Exchange(environment.clock, front.answer_slack)
    exchange.open_requests, exchange.latencies = front.open_requests, front.latencies
    # Decisions, and the list's timetable, drawn apart from any other pool's.
    seed = Random(f"{environment.seed}:pool:{name}").getrandbits(63)
    return ServingPool(
        environment.reactor, environment.clock, exchange, environment.settings, seed, 0,
        environment.body_room, pace, partial(BudgetedPool, environment.budget),
    )  # fmt: skip
