"""The client side: a pool of kept connections to execute nodes, and the connects for new ones."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from math import inf
from typing import Any

from twisted.internet.error import UserError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from wheatring import log
from wheatring.balancer.interface import EndpointState, Outcome, View, ViewKind
from wheatring.core.body import BodyMemory
from wheatring.core.clock import Clock, Timer
from wheatring.core.exchange import Attempt, Exchange
from wheatring.http1.connection import has_undelivered_bytes
from wheatring.http1.endpoint_connection import EndpointAddress, EndpointConnection
from wheatring.http1.parser import ForwardedRequest

# Some endpoints answer a request a second time, some milliseconds late. On a connection that carries the next
# one by then, the old answer would pass for the new one's. So one that has rested goes first, and where a
# second answer was seen, all others must rest.
DUPLICATE_ANSWER_SECONDS = (
    1.0  # seconds after an answer within which a second one is no other noise of an idle connection
)
REST_SECONDS = 0.03  # seconds without a word after an answer, before the next request
CAUTION_SECONDS = 60.0  # seconds for which they rest after the last second answer

SWEEP_SECONDS = 1.0  # seconds between looks for connections that have stood idle for too long


def update_ready(ready: set[str], view: View) -> None:
    """Keep the names of those that may be sent something new."""
    if view.kind in (ViewKind.FULL, ViewKind.CACHED):
        ready.clear()
    for entry in view.entries:
        if entry.state is EndpointState.READY:
            ready.add(entry.endpoint)
        else:
            ready.discard(entry.endpoint)


class _PendingConnect(ClientFactory):
    """One connect under way for one claim. Refused or not up by its deadline, it has failed."""

    noisy = False

    def __init__(self, pool: ConnectionPool, claim: Attempt, place: EndpointAddress) -> None:
        self.pool = pool
        self.attempt = claim
        self.address = place
        host, _, port = place.address.rpartition(":")
        self.timer: Timer | None = None
        claim.cancel = self.cancel
        self.connector: Any = pool.reactor.connectTCP(host, int(port), self, timeout=None)
        by = min(claim.deadline, claim.start_before, pool.clock.now() + pool.connect_timeout)
        self.timer = pool.clock.at(by, self.connector.stopConnecting)

    def buildProtocol(self, addr: object) -> EndpointConnection:
        self.finish()
        return _NewConnection(self.pool, self.address, self.attempt)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.finish()
        code = "not-up-in-time" if isinstance(reason.value, UserError) else "connect-failed"
        log.line("claim-connection", code=code, peer=self.address.address)
        self.pool.exchange.end_attempt(self.attempt, Outcome.CONNECT_FAILED)

    def finish(self) -> None:
        del self.pool.pending_connects[self]
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def cancel(self) -> None:
        """The claim is not wanted any more; the connection, once up, is kept for others."""


class _NewConnection(EndpointConnection):
    """A connection made for one claim, which it carries first if that is still wanted."""

    def __init__(self, pool: ConnectionPool, place: EndpointAddress, claim: Attempt) -> None:
        super().__init__(pool, place)
        self.first_attempt = claim

    def connectionMade(self) -> None:
        super().connectionMade()
        self.pool.add(self)
        if self.first_attempt.may_be_sent and self.pool.exchange.check_in_time(self.first_attempt):
            self.send(self.first_attempt)
        else:
            self.pool.keep_idle(self)


class ConnectionPool:
    """Starts claims, and keeps clean connections for the next ones; of those that have rested, the last one
    used goes out first.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        exchange: Exchange,
        connect_timeout: float,
        idle_timeout: float,
        max_connections: int,
        body_memory: BodyMemory,
    ) -> None:
        self.has_undelivered_bytes: Callable[[Any], bool] = getattr(
            reactor, "has_undelivered_bytes", has_undelivered_bytes
        )
        self.reactor = reactor
        self.clock = clock
        self.exchange = exchange
        self.connect_timeout = connect_timeout
        # The node's machine closes a connection at `idle`, and a claim written then would end in a reset.
        self.idle_timeout = idle_timeout * 0.7
        self.max_connections = max_connections
        self.body_memory = body_memory
        self.addresses: dict[str, str] = {}
        self.cautious_until = -inf
        self.ready_endpoints: set[str] = set()  # the nodes that the decisions may send to, as last told
        self.idle_connections: dict[EndpointAddress, deque[EndpointConnection]] = {}
        self.connections: dict[EndpointConnection, None] = {}  # in the order in which they came
        self.pending_connects: dict[_PendingConnect, None] = {}  # under way, in the order in which they began
        exchange.start_attempt = self.start_attempt
        exchange.close_idle = self.close_idle
        exchange.on_endpoint_list = self.apply_endpoint_list
        self.sweep()

    def start_attempt(self, claim: Attempt) -> None:
        address = self.addresses.get(claim.endpoint)
        if address is None:
            # The list no longer says where the node is.
            self.reactor.callLater(0, partial(self.exchange.end_attempt, claim, Outcome.CONNECT_FAILED))
            return
        place = EndpointAddress(claim.endpoint, address)
        request = claim.request.content
        if isinstance(request, ForwardedRequest) and request.stream is not None:
            request.stream.rewind()
        if (connection := self.take_idle(place)) is not None:
            connection.send(claim)
            return
        if (
            len(self.connections) + len(self.pending_connects) >= self.max_connections
            and not self.retire_oldest_idle()
        ):
            log.line("too-many-connections", most=self.max_connections)
            self.reactor.callLater(0, partial(self.exchange.end_attempt, claim, Outcome.CONNECT_FAILED))
            return
        self.pending_connects[_PendingConnect(self, claim, place)] = (
            None  # its end is never reported in this turn of the reactor
        )

    def take_idle(self, place: EndpointAddress) -> EndpointConnection | None:
        """The one used last of those that have rested; where none has or must, the one that did longest."""
        idle = self.idle_connections.get(place)
        if not idle:
            return None
        now = self.clock.now()
        self.retire_stale(place, idle, now)
        chosen = None
        for connection in reversed(idle):
            if not connection.is_connected or connection.close_code:
                continue
            rested = connection.idle_since <= now - REST_SECONDS
            if rested or now >= self.cautious_until:
                chosen = connection
            if rested:
                break
        if chosen is not None:
            idle.remove(chosen)
        return chosen

    def note_unsolicited_data(self, connection: EndpointConnection) -> None:
        """Something came on it that answers nothing."""
        if connection.is_reused and self.clock.now() - connection.idle_since < DUPLICATE_ANSWER_SECONDS:
            self.note_duplicate_answer()

    def note_duplicate_answer(self) -> None:
        """A second answer was seen."""
        self.cautious_until = self.clock.now() + CAUTION_SECONDS

    def apply_endpoint_list(self, view: View) -> None:
        """What counts is the list at the first byte, not at the choice: a connect may take longer than sends
        may go on to a node that drains, and its address may be another's by then.
        """
        update_ready(self.ready_endpoints, view)
        for dial in [dial for dial in self.pending_connects if not self.is_usable(dial.address)]:
            dial.connector.stopConnecting()
        for place in [place for place in self.idle_connections if not self.is_usable(place)]:
            gone = self.addresses.get(place.endpoint) != place.address
            for connection in list(self.idle_connections[place]):
                self.retire(connection, "node-gone" if gone else "close-idle")

    def is_usable(self, place: EndpointAddress) -> bool:
        """Something new may go there."""
        return place.endpoint in self.ready_endpoints and self.addresses.get(place.endpoint) == place.address

    def add(self, connection: EndpointConnection) -> None:
        self.connections[connection] = None

    def keep_idle(self, connection: EndpointConnection) -> None:
        if not self.is_usable(connection.address):
            connection.close("node-gone")
            return
        connection.is_reused, connection.idle_since = True, self.clock.now()
        self.idle_connections.setdefault(connection.address, deque()).append(connection)

    def remove(self, connection: EndpointConnection) -> None:
        self.connections.pop(connection, None)
        idle = self.idle_connections.get(connection.address)
        if idle is not None:
            if connection in idle:
                idle.remove(connection)
            if not idle:
                del self.idle_connections[connection.address]

    def idle_count(self, node: str) -> int:
        return len(self.idle_connections.get(EndpointAddress(node, self.addresses.get(node, "")), ()))

    def oldest_idle(self) -> EndpointConnection | None:
        return min(
            (q[0] for q in self.idle_connections.values() if q), key=lambda c: c.idle_since, default=None
        )

    def retire_oldest_idle(self) -> bool:
        oldest = self.oldest_idle()
        if oldest is None:
            return False
        self.retire(oldest, "pool-full")
        return True

    def retire(self, connection: EndpointConnection, code: str) -> None:
        self.idle_connections[connection.address].remove(connection)
        connection.close(code)

    def close_idle(self, node: str) -> None:
        place = EndpointAddress(node, self.addresses.get(node, ""))
        for connection in list(self.idle_connections.get(place, ())):
            self.retire(connection, "close-idle")

    def close(self, code: str = "stopping") -> None:
        """End all connections: there is no job left that would need them."""
        if self.sweep_timer.active():
            self.sweep_timer.cancel()
        for connection in list(self.connections):
            connection.abort(code)

    def sweep(self) -> None:
        now = self.clock.now()
        self.sweep_timer = self.clock.at(now + SWEEP_SECONDS, self.sweep)
        for place, idle in list(self.idle_connections.items()):
            self.retire_stale(place, idle, now)

    def retire_stale(self, place: EndpointAddress, idle: deque[EndpointConnection], now: float) -> None:
        gone = self.addresses.get(place.endpoint) != place.address
        while idle and (gone or now - idle[0].idle_since > self.idle_timeout):
            self.retire(idle[0], "node-gone" if gone else "idle")
