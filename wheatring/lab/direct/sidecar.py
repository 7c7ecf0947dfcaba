"""A sidecar process without sockets: the service's core and balancer, wired as in the daemon."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from math import inf
from typing import TYPE_CHECKING, Any, NamedTuple

from wheatring.balancer.balancer import Balancer
from wheatring.balancer.interface import Settings
from wheatring.daemon.core.driver import Driver
from wheatring.daemon.core.exchange import Exchange, Request
from wheatring.daemon.lifecycle.freshness import list_schedules
from wheatring.daemon.lifecycle.shutdown_schedule import ShutdownSchedule
from wheatring.daemon.shutdown import SHUTDOWN_POLL_SECONDS
from wheatring.daemon.sidecar import ENDPOINT_CONNECTION_SHARE, RESERVED_DESCRIPTORS
from wheatring.lab.direct.clock import DirectClock
from wheatring.lab.direct.connection_pool import ConnectionLimits, DirectConnectionPool
from wheatring.lab.direct.endpoint_list import DirectEndpointList, Registry
from wheatring.lab.direct.links import Links, SidecarLinks
from wheatring.lab.direct.node import DirectNode
from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.timers import PlayedTime

if TYPE_CHECKING:
    from wheatring.lab.direct.sidecar_client import DirectRequest, DirectSidecarClient


class SidecarConfig(NamedTuple):
    """The configuration of a sidecar's process.

    Attributes
    ----------
    settings
        The parsed settings.
    seed
        The seed of its random numbers.
    known
        The last known endpoint list, in the platform file's format.
    sockets
        The limit of open descriptors of the process.
    """

    settings: Settings
    seed: int
    known: object
    sockets: int = 1024

    @property
    def free_sockets(self) -> int:
        """Number of descriptors available for connections."""
        return self.sockets - RESERVED_DESCRIPTORS

    @property
    def max_node_connections(self) -> int:
        """Limit of open connections to nodes."""
        return int(self.free_sockets * ENDPOINT_CONNECTION_SHARE)

    @property
    def max_callers(self) -> int:
        """Limit of callers served at once; further ones wait in the backlog."""
        return self.free_sockets - self.max_node_connections


class SidecarNetwork(NamedTuple):
    """The peers of a sidecar, and the links to them."""

    links: Links
    nodes: Mapping[str, DirectNode]  # by address
    registry: Registry
    discovery: tuple[str, int]  # host and port
    client: DirectSidecarClient  # of the callers


class DirectSidecar:
    """One process of a sidecar; a restart creates another.

    Parameters
    ----------
    unix
        Returns its host's Unix time in seconds.
    on_end
        Called with whether it was killed, once the process has ended.
    """

    def __init__(
        self,
        name: str,
        host: str,
        config: SidecarConfig,
        network: SidecarNetwork,
        *,
        time: PlayedTime,
        unix: Callable[[], float],
        recorder: EventRecorder,
        on_end: Callable[[bool], None] = lambda _killed: None,
    ) -> None:
        settings = config.settings
        self.name = name
        self.host = host
        self.known = config.known
        self.recorder = recorder
        self.client = network.client
        self.on_end = on_end
        self.clock = DirectClock(time, unix)
        self.exchange = Exchange(self.clock, settings.contract.answer_grace)
        self.driver = Driver(Balancer(settings, config.seed), self.exchange, self.clock)
        self.pool = self._create_pool(config, network)
        self.endpoint_list = self._create_endpoint_list(config, network)
        self.driver.endpoint_list = self.endpoint_list
        self.classes = settings.classes
        self.balancer_count = settings.balancer_count
        self.last_arrival_at = -inf  # when the last request arrived
        self.max_in_flight = config.max_callers
        # Requests accepted and not answered, oldest first.
        self.in_flight: dict[DirectRequest, None] = {}
        self.backlog: deque[DirectRequest] = deque()
        self.is_open = False  # it accepts requests
        self.is_stopping = False

    def _create_pool(self, config: SidecarConfig, network: SidecarNetwork) -> DirectConnectionPool:
        limits = config.settings.limits
        return DirectConnectionPool(
            SidecarLinks(self.name, self.host, network.links),
            network.nodes,
            self.clock,
            self.exchange,
            self.recorder,
            ConnectionLimits(limits.connect_timeout, limits.idle_timeout, config.max_node_connections),
        )

    def _create_endpoint_list(self, config: SidecarConfig, network: SidecarNetwork) -> DirectEndpointList:
        settings = config.settings
        request_schedule, freshness = list_schedules(settings, config.seed, self.clock.now())
        return DirectEndpointList(
            SidecarLinks(self.name, self.host, network.links),
            self.clock,
            network.discovery,
            network.registry,
            self.pool.addresses,
            self.driver.feed,
            freshness,
            request_schedule,
            not settings.must_subscribe,
        )

    def start(self) -> None:
        """Start to accept requests."""
        self.endpoint_list.load_cached(self.known)
        self.is_open = True
        self.client.running[self.name] = self
        self.recorder.sidecar_up(self.name)

    # Requests

    def accept(self, request: DirectRequest) -> None:
        """Accept a request, or queue it in the backlog if the limit of requests is reached."""
        self.last_arrival_at = self.clock.now()
        if len(self.in_flight) >= self.max_in_flight:
            self.backlog.append(request)
            return
        cls = self.classes[request.index]
        time_left = request.time_left
        if cls.deadline < time_left:
            time_left = cls.deadline  # a caller's deadline is at most that of its class
        answered: Any = request
        core_request = request.core_request = Request(
            request.ident,
            cls.name,
            self.clock.time.instant + time_left,
            request,
            request.is_marked_retry,
            answered,
        )
        self.in_flight[request] = None
        self.exchange.submit(core_request)

    def finish(self, request: DirectRequest) -> None:
        """Remove a request that has been answered."""
        del self.in_flight[request]
        if self.backlog:
            self.schedule_admission()

    def abandon(self, request: DirectRequest) -> None:
        """Withdraw a request whose caller has closed its connection."""
        if self.clock.has_ended:
            return
        if request.core_request is None:  # answered, or still in the backlog
            if request in self.backlog:
                self.backlog.remove(request)
            return
        core_request, request.core_request = request.core_request, None
        self.exchange.withdraw(core_request)
        self.finish(request)

    def schedule_admission(self) -> None:
        """Schedule the admission from the backlog, so that it doesn't run within the end of a request."""
        self.clock.at(self.clock.now(), self.admit)

    def admit(self) -> None:
        """Accept requests of the backlog while there is capacity."""
        while self.backlog and len(self.in_flight) < self.max_in_flight:
            self.accept(self.backlog.popleft())

    def reset(self) -> None:
        """Reset all connections because peers have lost them while the host was isolated."""
        for request in [*self.in_flight, *self.backlog]:
            request.reset_connection()
            self.abandon(request)
        self.pool.reset()

    # Shutdown

    def terminate(self) -> None:
        """Shut down gracefully on SIGTERM: answer requests in flight and those still arriving, then end."""
        if not self.is_stopping and not self.clock.has_ended:
            self.is_stopping = True
            self.recorder.sidecar_stopping(self.name)
            now = self.clock.now()
            self.shutdown = ShutdownSchedule(now, self.classes, self.balancer_count, self.exchange.latencies)
            self.poll_shutdown()

    def poll_shutdown(self) -> None:
        """Take the next step of the shutdown that is due, and schedule the next poll."""
        now, shutdown = self.clock.now(), self.shutdown
        if not self.is_open:
            if not shutdown.should_continue(now, self.exchange.open_snapshot(now)):
                self.exchange.answer_all(shutdown)
                if not self.backlog:
                    self.endpoint_list.unsubscribe()
                    self.end(killed=False)
                    return
        elif shutdown.should_stop_accepting(now, self.last_arrival_at, bool(self.backlog)):
            self.is_open = False
        self.clock.at(now + SHUTDOWN_POLL_SECONDS, self.poll_shutdown)

    def kill(self) -> None:
        """End the process immediately, as by SIGKILL."""
        if not self.clock.has_ended:
            self.endpoint_list.kill()
            self.end(killed=True)

    def end(self, killed: bool) -> None:
        """Close all connections, and report the end of the process."""
        self.is_open = False
        self.pool.close()
        self.clock.has_ended = True
        if self.client.running.get(self.name) is self:
            del self.client.running[self.name]
        self.recorder.sidecar_down(self.name, killed)
        for request in [*self.in_flight, *self.backlog]:
            request.reset_connection()
        self.in_flight.clear()
        self.backlog.clear()
        self.on_end(killed)
