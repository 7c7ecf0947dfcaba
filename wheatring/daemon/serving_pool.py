"""One pool of endpoints: its balancer, driver, connections to endpoints and endpoint list.

A sidecar without routes has exactly one. The parts of a pool are isolated from those of other pools: they
share no decisions, connections, lists or suspicions. The driver and the connections register with the
exchange that they are given, so each pool needs an exchange of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from wheatring.balancer.balancer import Balancer
from wheatring.balancer.interface import Settings, View
from wheatring.common.body import BodyMemory
from wheatring.daemon.core.clock import Clock
from wheatring.daemon.core.driver import Driver
from wheatring.daemon.core.exchange import Exchange
from wheatring.daemon.http1.connection_pool import ConnectionPool
from wheatring.daemon.http1.endpoint_list import EndpointList
from wheatring.daemon.lifecycle.freshness import list_schedules
from wheatring.daemon.lifecycle.list_request_schedule import DEFAULT_PACE, RequestPace


class ServingPool:
    """The parts of one pool.

    Parameters
    ----------
    seed : int
        The seed of the balancer; the seeds of `list_schedules` are derived from it.
    max_connections : int
        The limit of simultaneous connections to endpoints.
    body_memory : BodyMemory
        The memory for bodies, shared by all pools.
    pace : RequestPace
        The rates of requests for the endpoint list.
    connections : Callable[..., ConnectionPool]
        Creates the pool of connections to endpoints.
    """

    __slots__ = (
        "balancer", "clock", "driver", "endpoint_list", "freshness", "pool", "reactor", "request_schedule",
    )  # fmt: skip

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        exchange: Exchange,
        settings: Settings,
        seed: int,
        max_connections: int,
        body_memory: BodyMemory,
        pace: RequestPace = DEFAULT_PACE,
        connections: Callable[..., ConnectionPool] = ConnectionPool,
    ) -> None:
        limits = settings.limits
        self.reactor = reactor
        self.clock = clock
        self.balancer = Balancer(settings, seed)
        self.driver = Driver(self.balancer, exchange, clock)
        self.pool = connections(
            reactor,
            clock,
            exchange,
            limits.connect_timeout,
            limits.idle_timeout,
            max_connections,
            body_memory,
        )
        self.request_schedule, self.freshness = list_schedules(settings, seed, clock.now(), pace)
        self.endpoint_list: EndpointList

    def list_from(self, discovery: tuple[str, int], on_view: Callable[[View], None]) -> EndpointList:
        """Create the client of its endpoint list.

        Parameters
        ----------
        discovery : tuple[str, int]
            Host and port of the discovery service.
        on_view : Callable[[View], None]
            Receives each update and passes it to the driver.
        """
        self.endpoint_list = EndpointList(
            self.reactor, self.clock, discovery, self.pool.addresses, on_view, self.freshness,
            self.request_schedule, is_pushed=not self.balancer.settings.must_subscribe,
        )  # fmt: skip
        self.driver.endpoint_list = self.endpoint_list
        return self.endpoint_list
