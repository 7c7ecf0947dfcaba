"""The connection pool: idle connections to endpoints, and pending connects."""

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

# Some endpoints send a duplicate response a few milliseconds after the first. If the connection carries the
# next request by then, the duplicate is mistaken for its response. Connections that have been idle for the
# reuse delay are therefore preferred, and after a duplicate was seen, the delay is mandatory for some time.
DUPLICATE_RESPONSE_SECONDS = 1.0  # unsolicited data within this time after a response counts as a duplicate
REUSE_DELAY_SECONDS = 0.03  # idle time without data before a connection is reused
REUSE_DELAY_PERIOD_SECONDS = 60.0  # time after the last duplicate in which the delay is mandatory

SWEEP_SECONDS = 1.0  # interval of the checks for idle connections
# Part of the endpoints' idle time-out after which this side closes: a request that is sent just as the
# endpoint closes would be reset.
IDLE_FRACTION = 0.7


def update_ready(ready: set[str], view: View) -> None:
    """Update the set of endpoints that accept new requests from a view of the endpoint list."""
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
        """The part of a connection that a connection table uses."""

        address: EndpointAddress
        idle_since: float


ConnectionT = TypeVar("ConnectionT", bound="PooledConnection")


class ConnectionTable(Generic[ConnectionT]):
    """The connections of a pool, and the endpoints that accept new requests.

    Attributes
    ----------
    addresses : dict[str, str]
        HOST:PORT by endpoint, maintained by the endpoint list.
    ready_endpoints : set[str]
        Endpoints that accept new requests, by the last view of the endpoint list.
    idle_connections : dict[EndpointAddress, deque[ConnectionT]]
        By address, longest idle first.
    connections : dict[ConnectionT, None]
        All connections, in the order in which they were established.
    """

    def __init__(self) -> None:
        self.addresses: dict[str, str] = {}
        self.ready_endpoints: set[str] = set()
        self.idle_connections: dict[EndpointAddress, deque[ConnectionT]] = {}
        self.connections: dict[ConnectionT, None] = {}

    def is_usable(self, address: EndpointAddress) -> bool:
        """Return whether new requests may be sent to an address."""
        is_current = self.addresses.get(address.endpoint) == address.address
        return address.endpoint in self.ready_endpoints and is_current

    def remove(self, connection: ConnectionT) -> None:
        """Remove a closed connection."""
        self.connections.pop(connection, None)
        idle = self.idle_connections.get(connection.address)
        if idle is not None:
            if connection in idle:
                idle.remove(connection)
            if not idle:
                del self.idle_connections[connection.address]

    def idle_to(self, endpoint: str) -> list[ConnectionT]:
        """Return the idle connections to the current address of an endpoint, longest idle first."""
        address = EndpointAddress(endpoint, self.addresses.get(endpoint, ""))
        return list(self.idle_connections.get(address, ()))

    def oldest_idle(self) -> ConnectionT | None:
        """Return the connection that has been idle for the longest time, or None."""
        oldest = (queue[0] for queue in self.idle_connections.values() if queue)
        return min(oldest, key=lambda connection: connection.idle_since, default=None)


class _PendingConnect(ClientFactory):
    """A pending connect for one attempt. It fails if refused or not established by its deadline."""

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
        """Return the protocol for an established connection."""
        self.finish()
        return _NewConnection(self.pool, self.address, self.attempt)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: ARG002, N802 - Twisted's signature
        """Fail the attempt."""
        self.finish()
        code = "not-up-in-time" if isinstance(reason.value, UserError) else "connect-failed"
        log.line("endpoint-connection", code=code, peer=self.address.address)
        self.pool.exchange.end_attempt(self.attempt, Outcome.CONNECT_FAILED)

    def finish(self) -> None:
        """Remove the connect from the pending ones, and cancel its timer."""
        del self.pool.pending_connects[self]
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def cancel(self) -> None:
        """Let the connect continue: the connection is added to the pool once it is established."""


class _NewConnection(EndpointConnection):
    """A new connection, which first carries the attempt that it was made for if that may still be sent."""

    def __init__(self, pool: ConnectionPool, address: EndpointAddress, attempt: Attempt) -> None:
        super().__init__(pool, address)
        self.pool: ConnectionPool = pool
        self.first_attempt = attempt

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Send the first attempt if it may still be sent; otherwise add the connection to the pool."""
        super().connectionMade()
        self.pool.add(self)
        if self.first_attempt.may_be_sent and self.pool.exchange.check_in_time(self.first_attempt):
            self.send(self.first_attempt)
        else:
            self.pool.keep_idle(self)


class ConnectionPool(ConnectionTable[EndpointConnection]):
    """Starts attempts, and keeps clean connections for reuse.

    Of the idle connections past the reuse delay, the most recently used one is taken first.

    Attributes
    ----------
    connect_timeout, idle_timeout : float
        Time limits in seconds for a connect and for an idle connection.
    reuse_delay_until : float
        Time until which the reuse delay is mandatory.
    pending_connects : dict[_PendingConnect, None]
        Pending connects, oldest first.
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
        # A simulated reactor provides its own function.
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
        self.reuse_delay_until = -inf
        self.pending_connects: dict[_PendingConnect, None] = {}
        exchange.start_attempt = self.start_attempt
        exchange.close_idle = self.close_idle
        exchange.on_endpoint_list = self.apply_endpoint_list
        self.sweep()

    # Attempts

    def start_attempt(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or start a connect for it."""
        location = self.addresses.get(attempt.endpoint)
        if location is None:  # the endpoint is no longer in the list
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
        # The result of a connect is never reported within the same reactor iteration.
        self.pending_connects[_PendingConnect(self, attempt, address)] = None

    def _fail_later(self, attempt: Attempt) -> None:
        end = partial(self.exchange.end_attempt, attempt, Outcome.CONNECT_FAILED)
        self.reactor.callLater(0, end)

    def take_idle(self, address: EndpointAddress) -> EndpointConnection | None:
        """Take the idle connection to use next out of the pool; return None if there is none.

        This is the most recently used one past the reuse delay. If there is none and the delay is not
        mandatory, it is the one idle for the longest time.
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
            is_past_reuse_delay = connection.idle_since <= now - REUSE_DELAY_SECONDS
            if is_past_reuse_delay or now >= self.reuse_delay_until:
                chosen = connection
            if is_past_reuse_delay:
                break
        if chosen is not None:
            idle.remove(chosen)
        return chosen

    def note_unsolicited_data(self, connection: EndpointConnection) -> None:
        """Record data that was received without a request."""
        idle_seconds = self.clock.now() - connection.idle_since
        if connection.is_reused and idle_seconds < DUPLICATE_RESPONSE_SECONDS:
            self.note_duplicate_response()

    def note_duplicate_response(self) -> None:
        """Make the reuse delay mandatory for some time: a duplicate response was received."""
        self.reuse_delay_until = self.clock.now() + REUSE_DELAY_PERIOD_SECONDS

    # The endpoint list

    def apply_endpoint_list(self, view: View) -> None:
        """Cancel connects and close idle connections to endpoints that are draining, removed or have moved.

        The list must be valid when the first byte is sent, not only when the endpoint is chosen: a connect
        may take longer than the time in which a draining endpoint still accepts requests, and the address may
        belong to another endpoint by then.
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
        """Register an established connection."""
        self.connections[connection] = None

    def keep_idle(self, connection: EndpointConnection) -> None:
        """Add a clean connection to the idle ones; close it if its endpoint no longer accepts requests."""
        if not self.is_usable(connection.address):
            connection.close("endpoint-gone")
            return
        connection.is_reused, connection.idle_since = True, self.clock.now()
        self.idle_connections.setdefault(connection.address, deque()).append(connection)

    def idle_count(self, endpoint: str) -> int:
        """Return the number of idle connections to an endpoint."""
        return len(self.idle_to(endpoint))

    def retire_oldest_idle(self) -> bool:
        """Close the connection idle for the longest time; return whether there was one."""
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
        """Reset all connections; no request is in flight any more."""
        if self.sweep_timer.active():
            self.sweep_timer.cancel()
        for connection in list(self.connections):
            connection.abort(code)

    def sweep(self) -> None:
        """Close connections that exceed the idle time-out, now and periodically."""
        now = self.clock.now()
        self.sweep_timer = self.clock.at(now + SWEEP_SECONDS, self.sweep)
        for address, idle in list(self.idle_connections.items()):
            self.retire_stale(address, idle, now)

    def retire_stale(self, address: EndpointAddress, idle: deque[EndpointConnection], now: float) -> None:
        """Close the connections that exceed the idle time-out, or all of them if the address is outdated."""
        is_gone = self.addresses.get(address.endpoint) != address.address
        while idle and (is_gone or now - idle[0].idle_since > self.idle_timeout):
            self.retire(idle[0], "endpoint-gone" if is_gone else "idle")
