"""The connection pool: idle connections to endpoints, and the connects for new ones."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from math import inf
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from twisted.internet.error import UserError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from wheatring.balancer.interface import EndpointState, Outcome, View, ViewKind
from wheatring.common import log
from wheatring.common.body import BodyMemory
from wheatring.common.http_parser import ForwardedRequest
from wheatring.daemon.core.clock import Clock, Timer
from wheatring.daemon.core.exchange import Attempt, Exchange
from wheatring.daemon.http1.connection import has_undelivered_bytes
from wheatring.daemon.http1.endpoint_connection import EndpointAddress, EndpointConnection

# Some endpoints answer a request a second time, some milliseconds late. On a connection that carries the next
# request by then, the duplicate would pass for its answer. So a connection that has rested is used first, and
# once a duplicate was seen, connections are used only after a rest.
DUPLICATE_ANSWER_SECONDS = 1.0  # after an answer, data is a duplicate of it; later, other noise
REST_SECONDS = 0.03  # without data after an answer, before the next request
CAUTION_SECONDS = 60.0  # for which all must rest after the last duplicate

SWEEP_SECONDS = 1.0  # between two checks for connections that have been idle for too long
IDLE_FRACTION = 0.7  # of the endpoints' own idle time: a request written as that ends would be reset


def update_ready(ready: set[str], view: View) -> None:
    """Bring the set of endpoints that may be sent something new up to date with the endpoint list."""
    if view.kind in (ViewKind.FULL, ViewKind.CACHED):
        ready.clear()
    for entry in view.entries:
        if entry.state is EndpointState.READY:
            ready.add(entry.endpoint)
        else:
            ready.discard(entry.endpoint)


if TYPE_CHECKING:
    from typing import Protocol

    class PooledConnection(Protocol):
        """A connection, as far as the table of a pool uses it."""

        address: EndpointAddress
        idle_since: float


ConnectionT = TypeVar("ConnectionT", bound="PooledConnection")


class ConnectionTable(Generic[ConnectionT]):
    """The connections of a pool, and the endpoints that they may be used for.

    Attributes
    ----------
    addresses : dict[str, str]
        HOST:PORT by endpoint, kept by the endpoint list.
    ready_endpoints : set[str]
        Those to which something new may be sent, by the last view of the list.
    idle_connections : dict[EndpointAddress, deque[ConnectionT]]
        By address, the one idle for longest first.
    connections : dict[ConnectionT, None]
        All connections, in the order in which they came up.
    """

    def __init__(self) -> None:
        self.addresses: dict[str, str] = {}
        self.ready_endpoints: set[str] = set()
        self.idle_connections: dict[EndpointAddress, deque[ConnectionT]] = {}
        self.connections: dict[ConnectionT, None] = {}

    def is_usable(self, address: EndpointAddress) -> bool:
        """Return whether something new may be sent there."""
        is_current = self.addresses.get(address.endpoint) == address.address
        return address.endpoint in self.ready_endpoints and is_current

    def remove(self, connection: ConnectionT) -> None:
        """Forget a connection that has ended."""
        self.connections.pop(connection, None)
        idle = self.idle_connections.get(connection.address)
        if idle is not None:
            if connection in idle:
                idle.remove(connection)
            if not idle:
                del self.idle_connections[connection.address]

    def idle_to(self, endpoint: str) -> list[ConnectionT]:
        """Return the idle connections to an endpoint at its present address, longest idle first."""
        address = EndpointAddress(endpoint, self.addresses.get(endpoint, ""))
        return list(self.idle_connections.get(address, ()))

    def oldest_idle(self) -> ConnectionT | None:
        """Return the connection that has been idle for longest."""
        oldest = (queue[0] for queue in self.idle_connections.values() if queue)
        return min(oldest, key=lambda connection: connection.idle_since, default=None)


class _PendingConnect(ClientFactory):
    """One connect under way for one attempt. Refused or not up by its deadline, it has failed."""

    noisy = False

    def __init__(self, pool: ConnectionPool, attempt: Attempt, address: EndpointAddress) -> None:
        self.pool = pool
        self.attempt = attempt
        self.address = address
        host, _, port = address.address.rpartition(":")
        self.timer: Timer | None = None
        attempt.cancel = self.cancel
        self.connector: Any = pool.reactor.connectTCP(host, int(port), self, timeout=None)
        deadline = min(attempt.deadline, attempt.start_before, pool.clock.now() + pool.connect_timeout)
        self.timer = pool.clock.at(deadline, self.connector.stopConnecting)

    def buildProtocol(self, addr: object) -> EndpointConnection:  # noqa: ARG002, N802 - Twisted's signature
        """Make the connection that has come up."""
        self.finish()
        return _NewConnection(self.pool, self.address, self.attempt)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: ARG002, N802 - Twisted's signature
        """Report the failed connect to its attempt."""
        self.finish()
        code = "not-up-in-time" if isinstance(reason.value, UserError) else "connect-failed"
        log.line("endpoint-connection", code=code, peer=self.address.address)
        self.pool.exchange.end_attempt(self.attempt, Outcome.CONNECT_FAILED)

    def finish(self) -> None:
        """Remove the connect from those pending, and cancel its timer."""
        del self.pool.pending_connects[self]
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def cancel(self) -> None:
        """Leave the connect under way: the connection, once up, is kept for other attempts."""


class _NewConnection(EndpointConnection):
    """A connection made for one attempt, which it carries first if that may still be sent."""

    def __init__(self, pool: ConnectionPool, address: EndpointAddress, attempt: Attempt) -> None:
        super().__init__(pool, address)
        self.pool: ConnectionPool = pool
        self.first_attempt = attempt

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Send the attempt that the connection was made for, if it may still be sent."""
        super().connectionMade()
        self.pool.add(self)
        if self.first_attempt.may_be_sent and self.pool.exchange.check_in_time(self.first_attempt):
            self.send(self.first_attempt)
        else:
            self.pool.keep_idle(self)


class ConnectionPool(ConnectionTable[EndpointConnection]):
    """Starts attempts, and keeps clean connections for the next ones.

    Of the idle connections that have rested, the one used last goes out first.

    Attributes
    ----------
    connect_timeout, idle_timeout : float
        Seconds in which a connection must be up, and for which it may be idle.
    cautious_until : float
        The instant until which connections are used only after a rest.
    pending_connects : dict[_PendingConnect, None]
        The connects under way, in the order in which they began.
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
        super().__init__()
        # A simulated reactor answers this itself.
        self.has_undelivered_bytes: Callable[[Any], bool] = getattr(
            reactor, "has_undelivered_bytes", has_undelivered_bytes
        )
        self.reactor = reactor
        self.clock = clock
        self.exchange = exchange
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout * IDLE_FRACTION
        self.max_connections = max_connections
        self.body_memory = body_memory
        self.cautious_until = -inf
        self.pending_connects: dict[_PendingConnect, None] = {}
        exchange.start_attempt = self.start_attempt
        exchange.close_idle = self.close_idle
        exchange.on_endpoint_list = self.apply_endpoint_list
        self.sweep()

    # Attempts

    def start_attempt(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or begin a connect for it."""
        location = self.addresses.get(attempt.endpoint)
        if location is None:  # the list says no more where the endpoint is
            self._fail_later(attempt)
            return
        address = EndpointAddress(attempt.endpoint, location)
        content = attempt.request.content
        if isinstance(content, ForwardedRequest) and content.stream is not None:
            content.stream.rewind()
        if (connection := self.take_idle(address)) is not None:
            connection.send(attempt)
            return
        in_use = len(self.connections) + len(self.pending_connects)
        if in_use >= self.max_connections and not self.retire_oldest_idle():
            log.line("too-many-connections", most=self.max_connections)
            self._fail_later(attempt)
            return
        # The end of a connect is never reported within this turn of the reactor.
        self.pending_connects[_PendingConnect(self, attempt, address)] = None

    def _fail_later(self, attempt: Attempt) -> None:
        end = partial(self.exchange.end_attempt, attempt, Outcome.CONNECT_FAILED)
        self.reactor.callLater(0, end)

    def take_idle(self, address: EndpointAddress) -> EndpointConnection | None:
        """Return the connection to use, no more idle, or None.

        That is the one used last of those that have rested; where none has, and none must, the one that has
        rested longest.
        """
        idle = self.idle_connections.get(address)
        if not idle:
            return None
        now = self.clock.now()
        self.retire_stale(address, idle, now)
        chosen = None
        for connection in reversed(idle):
            if not connection.is_connected or connection.close_code:
                continue
            has_rested = connection.idle_since <= now - REST_SECONDS
            if has_rested or now >= self.cautious_until:
                chosen = connection
            if has_rested:
                break
        if chosen is not None:
            idle.remove(chosen)
        return chosen

    def note_unsolicited_data(self, connection: EndpointConnection) -> None:
        """Note data that answers no request."""
        idle_seconds = self.clock.now() - connection.idle_since
        if connection.is_reused and idle_seconds < DUPLICATE_ANSWER_SECONDS:
            self.note_duplicate_answer()

    def note_duplicate_answer(self) -> None:
        """Have all connections rest for some time: a duplicate answer was seen."""
        self.cautious_until = self.clock.now() + CAUTION_SECONDS

    # The endpoint list

    def apply_endpoint_list(self, view: View) -> None:
        """End the connects and idle connections to endpoints that take nothing new, or have moved.

        What counts is the list at the first byte, not at the decision: a connect may take longer than
        requests may be sent to a draining endpoint, and its address may be another's by then.
        """
        update_ready(self.ready_endpoints, view)
        for connect in [each for each in self.pending_connects if not self.is_usable(each.address)]:
            connect.connector.stopConnecting()
        for address in [address for address in self.idle_connections if not self.is_usable(address)]:
            is_gone = self.addresses.get(address.endpoint) != address.address
            for connection in list(self.idle_connections[address]):
                self.retire(connection, "endpoint-gone" if is_gone else "close-idle")

    # Connections

    def add(self, connection: EndpointConnection) -> None:
        """Take a connection that has come up."""
        self.connections[connection] = None

    def keep_idle(self, connection: EndpointConnection) -> None:
        """Keep a clean connection for the next attempt, if its endpoint still takes any."""
        if not self.is_usable(connection.address):
            connection.close("endpoint-gone")
            return
        connection.is_reused, connection.idle_since = True, self.clock.now()
        self.idle_connections.setdefault(connection.address, deque()).append(connection)

    def idle_count(self, endpoint: str) -> int:
        """Return the number of idle connections to an endpoint."""
        return len(self.idle_to(endpoint))

    def retire_oldest_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        oldest = self.oldest_idle()
        if oldest is None:
            return False
        self.retire(oldest, "pool-full")
        return True

    def retire(self, connection: EndpointConnection, code: str) -> None:
        """Close an idle connection."""
        self.idle_connections[connection.address].remove(connection)
        connection.close(code)

    def close_idle(self, endpoint: str) -> None:
        """Close all idle connections to an endpoint."""
        for connection in self.idle_to(endpoint):
            self.retire(connection, "close-idle")

    def close(self, code: str = "stopping") -> None:
        """Reset all connections: no request is left that would need them."""
        if self.sweep_timer.active():
            self.sweep_timer.cancel()
        for connection in list(self.connections):
            connection.abort(code)

    def sweep(self) -> None:
        """Close what has been idle for too long, now and from time to time."""
        now = self.clock.now()
        self.sweep_timer = self.clock.at(now + SWEEP_SECONDS, self.sweep)
        for address, idle in list(self.idle_connections.items()):
            self.retire_stale(address, idle, now)

    def retire_stale(self, address: EndpointAddress, idle: deque[EndpointConnection], now: float) -> None:
        """Close the connections that have been idle for too long; all, if their address is out of date."""
        is_gone = self.addresses.get(address.endpoint) != address.address
        while idle and (is_gone or now - idle[0].idle_since > self.idle_timeout):
            self.retire(idle[0], "endpoint-gone" if is_gone else "idle")
