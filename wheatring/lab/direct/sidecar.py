"""One sidecar process without bytes: the service's core and decisions, wired as the daemon wires them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from math import inf
from typing import TYPE_CHECKING, Any

from wheatring.balancer.balancer import Balancer
from wheatring.balancer.interface import Settings
from wheatring.core.driver import Driver
from wheatring.core.exchange import Exchange, Request
from wheatring.daemon.shutdown import SHUTDOWN_POLL_SECONDS
from wheatring.daemon.sidecar import NODE_CONNECTION_SHARE, RESERVED_DESCRIPTORS
from wheatring.lab.book import Book
from wheatring.lab.direct.clock import DirectClock
from wheatring.lab.direct.connection_pool import DirectConnectionPool
from wheatring.lab.direct.endpoint_list import DirectEndpointList, Registry
from wheatring.lab.direct.links import Links
from wheatring.lab.direct.node import DirectNode
from wheatring.lab.timers import PlayedTime
from wheatring.lifecycle.freshness import list_schedules
from wheatring.lifecycle.shutdown_schedule import ShutdownSchedule

if TYPE_CHECKING:
    from wheatring.lab.direct.sidecar_client import DirectRequest, DirectSidecarClient


class DirectSidecar:
    """One process of a sidecar, from its start to its end; a restart is another one.

    `known` is the list as last held, in the platform's form; `unix` its host's Unix time in seconds;
    `on_end` is told of its end, and whether it was killed.
    """

    def __init__(
        self,
        name: str,
        host: str,
        settings: Settings,
        seed: int,
        known: object,
        *,
        time: PlayedTime,
        unix: Callable[[], float],
        links: Links,
        nodes: Mapping[str, DirectNode],
        registry: Registry,
        discovery: tuple[str, int],
        book: Book,
        way: DirectSidecarClient,
        sockets: int = 1024,
        on_end: Callable[[bool], None] = lambda killed: None,
    ) -> None:
        self.name = name
        self.host = host
        self.known = known
        self.book = book
        self.way = way
        self.on_end = on_end
        self.clock = DirectClock(time, unix)
        self.exchange = Exchange(self.clock, settings.contract.answer_grace)
        self.driver = Driver(Balancer(settings, seed), self.exchange, self.clock)
        places = sockets - RESERVED_DESCRIPTORS
        claims = int(places * NODE_CONNECTION_SHARE)
        limits = settings.limits
        self.pool = DirectConnectionPool(
            name, host, nodes, self.clock, self.exchange, links, book, limits.connect_timeout,
            limits.idle_timeout, claims,
        )  # fmt: skip
        asking, freshness = list_schedules(settings, seed, self.clock.now())
        self.machine_list = DirectEndpointList(
            self.clock, name, host, discovery, registry, links, self.pool.addresses, self.driver.feed,
            freshness, asking, not settings.must_subscribe,
        )  # fmt: skip
        self.driver.endpoint_list = self.machine_list
        self.classes = settings.classes
        self.copies = settings.balancer_count
        self.came_at = -inf  # the last request
        self.most = places - claims  # callers at once; more wait at the door
        self.held: dict[DirectRequest, None] = {}  # taken and not answered, in the order in which they came
        self.door: deque[DirectRequest] = deque()
        self.open = False  # it takes requests
        self.stopping = False

    def start(self) -> None:
        """It listens from now on."""
        self.machine_list.load_cached(self.known)
        self.open = True
        self.way.running[self.name] = self
        self.book.sidecar_up(self.name)

    # Requests

    def take(self, asked: DirectRequest) -> None:
        """A request has arrived."""
        self.came_at = self.clock.now()
        if len(self.held) >= self.most:
            self.door.append(asked)
            return
        cls = self.classes[asked.index]
        left = asked.left
        if cls.deadline < left:
            left = cls.deadline  # no caller waits longer than its class
        answered: Any = asked
        job = asked.job = Request(
            asked.ident, cls.name, self.clock.time.instant + left, asked, asked.repeat, answered
        )
        self.held[asked] = None
        self.exchange.submit(job)

    def done(self, asked: DirectRequest) -> None:
        """It is answered."""
        del self.held[asked]
        if self.door:
            self.next()

    def leave(self, asked: DirectRequest) -> None:
        """Its caller has closed its connection."""
        if self.clock.over:
            return
        if asked.job is None:  # answered, or never read
            if asked in self.door:
                self.door.remove(asked)
            return
        job, asked.job = asked.job, None
        self.exchange.withdraw(job)
        self.done(asked)

    def next(self) -> None:
        """A place is free: not from within the end of the last one that had it."""
        self.clock.at(self.clock.now(), self.admit)

    def admit(self) -> None:
        while self.door and len(self.held) < self.most:
            self.take(self.door.popleft())

    def reset(self) -> None:
        """Its host is back after a silence: nobody knows any more of the connections that it had."""
        for asked in [*self.held, *self.door]:
            asked.cut_off()
            self.leave(asked)
        self.pool.reset()

    # Its end

    def terminate(self) -> None:
        """SIGTERM: answer what has come and what still arrives, as the daemon does, then end."""
        if not self.stopping and not self.clock.over:
            self.stopping = True
            self.book.sidecar_stopping(self.name)
            now = self.clock.now()
            self.leaving = ShutdownSchedule(now, self.classes, self.copies, self.exchange.latencies)
            self.look()

    def look(self) -> None:
        now, leaving = self.clock.now(), self.leaving
        if not self.open:
            if not leaving.should_continue(now, self.exchange.open_snapshot(now)):
                self.exchange.answer_all(leaving)
                if not self.door:
                    self.machine_list.unsubscribe()
                    self.end(killed=False)
                    return
        elif leaving.should_stop_accepting(now, self.came_at, bool(self.door)):
            self.open = False
        self.clock.at(now + SHUTDOWN_POLL_SECONDS, self.look)

    def kill(self) -> None:
        """Its process ends at once."""
        if not self.clock.over:
            self.machine_list.die()
            self.end(killed=True)

    def end(self, killed: bool) -> None:
        self.open = False
        self.pool.close()
        self.clock.over = True
        if self.way.running.get(self.name) is self:
            del self.way.running[self.name]
        self.book.sidecar_down(self.name, killed)
        for asked in [*self.held, *self.door]:
            asked.cut_off()
        self.held.clear()
        self.door.clear()
        self.on_end(killed)
