"""All pools of one sidecar, and how pools and routes change while they serve.

A change of the file goes: *staged* (new pools are made, and hear their lists; the routes in force stand) ->
*swapped* (routes, weights and pools at once, when each new pool has its list, or after
`LIST_WAIT_SECONDS`). Pools that the new file lacks, or defines otherwise, then leave: they are closed when
they have no requests left. Only `reload` stages, only `advance` swaps and closes. What must never be: routes
of one file with pools of another.
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

POLL_SECONDS = 0.1  # between two looks at what is staged and what leaves
LIST_WAIT_SECONDS = 5.0  # for the lists of new pools, before the routes go to them without


class Server(Protocol):
    """The callers' side, as far as it is steered and asked here."""

    router: Any
    classes: dict[str, Any]

    @property
    def connections(self) -> Mapping[Any, None]:
        """The callers' connections."""


class StagedChange:
    """What a file makes of the pools: those in force that it defines alike are kept.

    `until` is when it is swapped in though lists are missing, in monotonic seconds.
    """

    def __init__(self, configuration: ProjectFile, pools: dict[str, RoutedPool], until: float) -> None:
        self.configuration = configuration
        self.pools = pools
        self.until = until
        self.routes = [route_from(name, table) for name, table in configuration.route.items()]

    @property
    def has_lists(self) -> bool:
        """Whether each of its pools has its endpoint list."""
        return all(pool.is_ready for pool in self.pools.values())


class PoolSet:
    """The pools in force, staged and leaving. `path` is the configuration file's, for errors."""

    def __init__(self, environment: PoolEnvironment, server: Server, pace: RequestPace, path: str) -> None:
        self.environment = environment
        self.clock = environment.clock
        self.budget = environment.budget
        self.server = server
        self.pace = pace
        self.path = path
        self.shared_list = EndpointListState()
        self.taken_out: frozenset[str] = frozenset()  # endpoints, by operators
        self.pools: dict[str, RoutedPool] = {}  # in force
        self.router = RequestRouter(self.clock, environment.front)
        self.staged: StagedChange | None = None
        self.leaving: list[RoutedPool] = []
        self.is_polling = False
        server.router = self.router.route

    def all(self) -> list[RoutedPool]:
        """Return the pools in force, staged and leaving."""
        staged = self.staged.pools.values() if self.staged is not None else ()
        return list(dict.fromkeys([*self.pools.values(), *staged, *self.leaving]))

    # The one list, and endpoints taken out by operators

    def on_list(self, view: View) -> None:
        """Hand an update of the one list to all pools."""
        self.shared_list.view(view)
        self.environment.plain.driver.feed(view)
        for pool in self.all():
            pool.on_shared_list(view)

    def take_out(self, now: float, endpoints: frozenset[str]) -> None:
        """Take these endpoints out, and no others, of the lists that pools have of their own."""
        self.taken_out = endpoints
        for pool in self.all():
            pool.overrides.set_offline(now, endpoints)

    def known(self) -> None:
        """Let pools with lists of their own begin to ask for them: the list as last saved has been read."""
        for pool in self.pools.values():
            if pool.selection is None:
                pool.start(self.shared_list)

    # The file

    def start(self, configuration: ProjectFile) -> None:
        """Serve by the file with which the sidecar starts; ProjectFileError where it is rejected."""
        if why := self.rejection(configuration):
            raise ProjectFileError(f"{self.path}: {why}")
        self._swap(self._stage(configuration))

    def rejection(self, configuration: ProjectFile) -> str:
        """Return what of a file contradicts the platform's settings; "" where nothing does."""
        for name, table in configuration.route.items():
            if table.class_name and table.class_name not in self.server.classes:
                return f"route.{name}.class_name: not a class of the settings, is {table.class_name!r}"
        reserved = sum([table.least for table in configuration.pool.values()])
        if reserved > self.budget.total:
            return f"pool: least: {reserved} connections together, and there are {self.budget.total}"
        return ""

    def reload(self, configuration: ProjectFile, pace: RequestPace) -> None:
        """Put another file in force as soon as its pools have their lists; it must have no `rejection`."""
        self.pace = pace
        self._drop_staged()
        staged = self._stage(configuration)
        for pool in staged.pools.values():
            pool.set_pace(pace)
            if self.pools.get(pool.name) is not pool:
                pool.start(self.shared_list)
        self.advance()

    def _stage(self, configuration: ProjectFile) -> StagedChange:
        pools = {}
        for name, table in configuration.pool.items():
            pool = self.pools.get(name)
            if pool is None or not selects_alike(pool.table, table):
                pool = self._make(name, table)
            pools[name] = pool
        self.staged = StagedChange(configuration, pools, self.clock.now() + LIST_WAIT_SECONDS)
        return self.staged

    def _make(self, name: str, table: PoolTable) -> RoutedPool:
        pool = RoutedPool(name, table, self.environment, self.pace)
        pool.overrides.set_offline(self.clock.now(), self.taken_out)
        return pool

    def _drop_staged(self) -> None:
        """Give up a staged change, as a newer file has come before its pools had their lists."""
        staged, self.staged = self.staged, None
        if staged is not None:
            for pool in staged.pools.values():
                if self.pools.get(pool.name) is not pool:
                    pool.close("pool-gone")

    def advance(self) -> None:
        """Swap what is staged and close what leaves, as far as they can be; poll while there is more."""
        staged = self.staged
        if staged is not None and (self.clock.now() >= staged.until or staged.has_lists):
            self._swap(staged)
        if self.leaving:
            self._close_idle_pools()
        if (self.staged is not None or self.leaving) and not self.is_polling:
            self.is_polling = True
            self.clock.at(self.clock.now() + POLL_SECONDS, self._poll)

    def _poll(self) -> None:
        self.is_polling = False
        self.advance()

    def _close_idle_pools(self) -> None:
        """Close the pools that leave and have no requests."""
        requests = [connection.request for connection in self.server.connections]
        busy = {id(request.pool) for request in requests if isinstance(request, RoutedRequest)}
        for pool in list(self.leaving):
            # An incomplete request, or an answer that is being sent, is known to its connection alone.
            if not pool.driver.open_requests and id(pool) not in busy:
                self.leaving.remove(pool)
                pool.close("pool-gone")
                log.line("pool-gone", pool=pool.name)

    def _swap(self, staged: StagedChange) -> None:
        """Put a staged change in force; pools that it lacks leave."""
        self.staged = None
        kept = set(staged.pools.values())
        gone = [pool for pool in self.pools.values() if pool not in kept]
        self.router.replace(staged.routes, staged.pools)
        self.pools = staged.pools
        self.leaving += gone
        for pool in gone:
            self.budget.reserved[pool.connections] = 0
        for name, table in staged.configuration.pool.items():
            self.budget.reserved[self.pools[name].connections] = table.least
        names = ",".join(self.pools)
        leaving = ",".join([pool.name for pool in gone]) or "-"
        log.line("routes", routes=len(self.router.routes), pools=names, leaving=leaving)

    def stop(self) -> None:
        """Close all pools, as the sidecar ends and has no requests."""
        for pool in self.all():
            pool.close("stopping")


def selects_alike(first: PoolTable, second: PoolTable) -> bool:
    """Whether two tables select the same endpoints: then a pool goes on as it is."""
    keys = ("discovery", "zone", "machine", "cell")
    return all(getattr(first, key) == getattr(second, key) for key in keys)
