"""All pools of one sidecar, and the reconfiguration of pools and routes while they serve requests.

A change of the file is first *staged*: new pools are created and receive their lists, while the routes in
force stay. It is then *swapped in*: routes, weights and pools change atomically once each new pool has its
list, or after `LIST_WAIT_SECONDS`. Pools that the new file lacks or defines differently then drain: they are
closed when they have no requests left. After `start`, only `reload` stages, and only `advance` swaps and
closes drained pools. Invariant: the routes and pools in force are of the same file.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from wheatring.balancer.interface import View
from wheatring.common import log
from wheatring.daemon.config.exceptions import ProjectFileError
from wheatring.daemon.config.project_file import PoolTable, ProjectFile
from wheatring.daemon.lifecycle.endpoint_overrides import EndpointListState
from wheatring.daemon.lifecycle.list_request_schedule import RequestPace
from wheatring.daemon.pools.active_route import RoutedRequest
from wheatring.daemon.pools.request_router import RequestRouter
from wheatring.daemon.pools.route_tables import route_from
from wheatring.daemon.pools.routed_pool import PoolEnvironment, RoutedPool

POLL_SECONDS = 0.1  # between two checks of the staged change and the draining pools
LIST_WAIT_SECONDS = 5.0  # for the lists of new pools, before the routes are swapped in without them


class Server(Protocol):
    """The part of the callers' server that is used here."""

    router: Any
    classes: dict[str, Any]

    @property
    def connections(self) -> Mapping[Any, None]:
        """The connections of callers."""


class StagedChange:
    """The pools and routes of a new file; pools in force that it defines identically are kept.

    `swap_deadline` is the instant at which it is swapped in even if lists are missing.
    """

    def __init__(
        self, configuration: ProjectFile, pools: dict[str, RoutedPool], swap_deadline: float
    ) -> None:
        self.configuration = configuration
        self.pools = pools
        self.swap_deadline = swap_deadline
        self.routes = [route_from(name, table) for name, table in configuration.route.items()]

    @property
    def has_lists(self) -> bool:
        """Whether each of its pools has received its endpoint list."""
        return all(pool.is_ready for pool in self.pools.values())


class PoolSet:
    """The pools in force, staged and draining. `path` names the configuration file in errors."""

    def __init__(self, environment: PoolEnvironment, server: Server, pace: RequestPace, path: str) -> None:
        self.environment = environment
        self.clock = environment.clock
        self.budget = environment.budget
        self.server = server
        self.pace = pace
        self.path = path
        self.platform_list = EndpointListState()
        self.offline: frozenset[str] = frozenset()  # endpoints that operators have taken offline
        self.pools: dict[str, RoutedPool] = {}  # in force
        self.router = RequestRouter(self.clock, environment.caller_exchange)
        self.staged: StagedChange | None = None
        self.draining: list[RoutedPool] = []
        self.is_polling = False
        server.router = self.router.route

    def all(self) -> list[RoutedPool]:
        """Return the pools in force, staged and draining."""
        staged = self.staged.pools.values() if self.staged is not None else ()
        return list(dict.fromkeys([*self.pools.values(), *staged, *self.draining]))

    # The platform's list, and endpoints taken offline by operators

    def on_list(self, view: View) -> None:
        """Pass an update of the platform's list to all pools."""
        self.platform_list.view(view)
        self.environment.platform_pool.driver.feed(view)
        for pool in self.all():
            pool.on_platform_list(view)

    def set_offline(self, now: float, endpoints: frozenset[str]) -> None:
        """Set exactly these endpoints offline in the lists that pools have of their own."""
        self.offline = endpoints
        for pool in self.all():
            pool.overrides.set_offline(now, endpoints)

    def start_own_lists(self) -> None:
        """Start the pools with lists of their own, once the platform's list is loaded from its cache."""
        for pool in self.pools.values():
            if pool.selection is None:
                pool.start(self.platform_list)

    # The file

    def start(self, configuration: ProjectFile) -> None:
        """Apply the file with which the sidecar starts. Raises ProjectFileError if it is rejected."""
        if why := self.rejection(configuration):
            raise ProjectFileError(f"{self.path}: {why}")
        self._swap(self._stage(configuration))

    def rejection(self, configuration: ProjectFile) -> str:
        """Return why a file conflicts with the platform's settings, or "" if it does not."""
        for name, table in configuration.route.items():
            if table.class_name and table.class_name not in self.server.classes:
                return f"route.{name}.class_name: not a class of the settings, is {table.class_name!r}"
        reserved = sum([table.least for table in configuration.pool.values()])
        if reserved > self.budget.total:
            return f"pool: least: {reserved} connections together, and there are {self.budget.total}"
        return ""

    def reload(self, configuration: ProjectFile, pace: RequestPace) -> None:
        """Put a file in force once its pools have their lists. `rejection` must be empty for it."""
        self.pace = pace
        self._drop_staged()
        staged = self._stage(configuration)
        for pool in staged.pools.values():
            pool.set_pace(pace)
            if self.pools.get(pool.name) is not pool:
                pool.start(self.platform_list)
        self.advance()

    def _stage(self, configuration: ProjectFile) -> StagedChange:
        pools = {}
        for name, table in configuration.pool.items():
            pool = self.pools.get(name)
            if pool is None or not selects_same_endpoints(pool.table, table):
                pool = self._create_pool(name, table)
            pools[name] = pool
        self.staged = StagedChange(configuration, pools, self.clock.now() + LIST_WAIT_SECONDS)
        return self.staged

    def _create_pool(self, name: str, table: PoolTable) -> RoutedPool:
        pool = RoutedPool(name, table, self.environment, self.pace)
        pool.overrides.set_offline(self.clock.now(), self.offline)
        return pool

    def _drop_staged(self) -> None:
        """Discard a staged change that a newer file supersedes."""
        staged, self.staged = self.staged, None
        if staged is not None:
            for pool in staged.pools.values():
                if self.pools.get(pool.name) is not pool:
                    pool.close("pool-gone")

    def advance(self) -> None:
        """Swap in the staged change and close idle draining pools, if possible; poll while any remain."""
        staged = self.staged
        if staged is not None and (self.clock.now() >= staged.swap_deadline or staged.has_lists):
            self._swap(staged)
        if self.draining:
            self._close_idle_pools()
        if (self.staged is not None or self.draining) and not self.is_polling:
            self.is_polling = True
            self.clock.at(self.clock.now() + POLL_SECONDS, self._poll)

    def _poll(self) -> None:
        self.is_polling = False
        self.advance()

    def _close_idle_pools(self) -> None:
        """Close the draining pools that have no requests."""
        requests = [connection.request for connection in self.server.connections]
        busy = {id(request.pool) for request in requests if isinstance(request, RoutedRequest)}
        for pool in list(self.draining):
            # Only the caller's connection has an incomplete request or an answer that is being sent.
            if not pool.driver.open_requests and id(pool) not in busy:
                self.draining.remove(pool)
                pool.close("pool-gone")
                log.line("pool-gone", pool=pool.name)

    def _swap(self, staged: StagedChange) -> None:
        """Put a staged change in force; pools that it lacks start draining."""
        self.staged = None
        kept = set(staged.pools.values())
        removed = [pool for pool in self.pools.values() if pool not in kept]
        self.router.replace(staged.routes, staged.pools)
        self.pools = staged.pools
        self.draining += removed
        for pool in removed:
            self.budget.reserved[pool.connections] = 0
        for name, table in staged.configuration.pool.items():
            self.budget.reserved[self.pools[name].connections] = table.least
        names = ",".join(self.pools)
        draining = ",".join([pool.name for pool in removed]) or "-"
        log.line("routes", routes=len(self.router.routes), pools=names, leaving=draining)

    def stop(self) -> None:
        """Close all pools. The sidecar stops and has no requests."""
        for pool in self.all():
            pool.close("stopping")


def selects_same_endpoints(first: PoolTable, second: PoolTable) -> bool:
    """Return whether two tables select the same endpoints, so that the pool is kept."""
    keys = ("discovery", "zone", "machine", "cell")
    return all(getattr(first, key) == getattr(second, key) for key in keys)
