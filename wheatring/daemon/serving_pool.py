"""One pool that serves: its balancer, driver, connections to nodes, and endpoint list.

The plain daemon has exactly one. Guards that the parts of one pool know each other and nothing of another's:
what is decided, connected, listed and doubted here stays here. Driver and connections register with the
exchange that they are given, so no two pools may have the same one.
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
        The balancer's; the list's timetables draw from seeds that begin with its text.
    max_connections : int
        To nodes, at once.
    body_room : Room
        The memory for bodies, shared by all pools.
    pace : Pace
        How often the endpoint list may be asked for.
    connections : Callable[..., Pool]
        Makes the connections to nodes.
    """

    __slots__ = ("asking", "balancer", "clock", "driver", "freshness", "machine_list", "pool", "reactor")

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        exchange: Exchange,
        settings: Settings,
        seed: int,
        max_connections: int,
        body_room: BodyMemory,
        pace: RequestPace = DEFAULT_PACE,
        connections: Callable[..., ConnectionPool] = ConnectionPool,
    ) -> None:
        limits = settings.limits
        self.reactor = reactor
        self.clock = clock
        self.balancer = Balancer(settings, seed)
        self.driver = Driver(self.balancer, exchange, clock)
        self.pool = connections(
            reactor, clock, exchange, limits.connect_timeout, limits.idle_timeout, max_connections, body_room
        )
        self.asking, self.freshness = list_schedules(settings, seed, clock.now(), pace)
        self.machine_list: EndpointList

    def list_from(self, discovery: tuple[str, int], on_view: Callable[[View], None]) -> EndpointList:
        """Make its endpoint list's client.

        Parameters
        ----------
        discovery : tuple[str, int]
            Host and port of the service that answers it.
        on_view : Callable[[View], None]
            Receives each update, and hands it to the driver.
        """
        self.machine_list = EndpointList(
            self.reactor, self.clock, discovery, self.pool.addresses, on_view, self.freshness, self.asking,
            is_pushed=not self.balancer.settings.must_subscribe,
        )  # fmt: skip
        self.driver.endpoint_list = self.machine_list
        return self.machine_list
