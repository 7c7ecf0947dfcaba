"""The pool of a sidecar's connections to nodes, simulated without bytes.

It follows the rules of the HTTP client's pool, and ends attempts with the same outcomes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from wheatring.balancer.interface import Outcome, View
from wheatring.common import log
from wheatring.daemon.core.clock import Timer
from wheatring.daemon.core.exchange import Attempt, Exchange
from wheatring.daemon.http1.connection_pool import IDLE_FRACTION, SWEEP_SECONDS, ConnectionTable, update_ready
from wheatring.daemon.http1.endpoint_connection import EndpointAddress
from wheatring.lab.direct.clock import DirectClock
from wheatring.lab.direct.links import SidecarLinks
from wheatring.lab.direct.node import DirectNode
from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.models.received_attempt import AttemptOutcome, ReceivedAttempt

# Bound as globals because looking up enum members is slow.
SERVED, CONNECT_FAILED, RESET = Outcome.SERVED, Outcome.CONNECT_FAILED, Outcome.RESET
ATTEMPT_SERVED, ATTEMPT_REJECTED, ATTEMPT_RESET = (
    AttemptOutcome.SERVED,
    AttemptOutcome.REJECTED,
    AttemptOutcome.RESET,
)
# Outcomes after which the connection can be reused; any other response is malformed.
OUTCOMES = {
    AttemptOutcome.SERVED: SERVED,
    AttemptOutcome.REJECTED: Outcome.REJECTED,
    AttemptOutcome.ERROR: Outcome.ERROR,
}


class DirectConnection:
    """Both ends of a connection to a node, with one attempt at a time.

    `received`, `has_begun`, `handshake_seconds`, `node_idle_since` and `reply_arrival` are the state of the
    node's end, the other attributes that of the sidecar's. Each end learns of the other's events a link delay
    later.
    """

    __slots__ = (
        "address",
        "arrival",
        "attempt",
        "backward",
        "connect_timer",
        "first_attempt",
        "forward",
        "handshake_seconds",
        "has_begun",
        "idle_since",
        "is_alive",
        "node",
        "node_idle_since",
        "pool",
        "received",
        "reply_arrival",
    )  # fmt: skip

    def __init__(self, pool: DirectConnectionPool, address: EndpointAddress, attempt: Attempt) -> None:
        self.pool = pool
        self.address = address
        self.node: DirectNode  # the node that has accepted the connection
        node_host = address.address.rpartition(":")[0]
        self.forward = pool.links.link(pool.host, node_host)
        self.backward = pool.links.link(node_host, pool.host)
        self.first_attempt: Attempt | None = attempt  # the attempt for which it is opened
        self.connect_timer: Timer | None = None  # runs while the connect is under way
        self.attempt: Attempt | None = None
        self.is_alive = False
        self.idle_since = 0.0
        self.arrival = 0.0  # instant at which the data last sent arrives
        self.received: ReceivedAttempt | None = None
        self.has_begun = False  # the machine has received the attempt
        self.handshake_seconds = 0.0  # seconds by which the handshake delays the first request
        self.node_idle_since = 0.0
        self.reply_arrival = 0.0

    # Connecting

    def connect(self) -> None:
        """Send the connect, with a time-out."""
        pool, attempt = self.pool, self.first_attempt
        assert attempt is not None
        attempt.cancel = self.ignore_cancel
        connect_deadline = min(attempt.deadline, attempt.start_before, pool.clock.now() + pool.connect_time)
        self.connect_timer = pool.clock.at(connect_deadline, self.fail_connect)
        self.forward.send(0.0, self.handle_connect)

    def handle_connect(self) -> None:
        """Pass the connect to the node that listens at the address when it arrives."""
        node = self.pool.nodes.get(self.address.address)
        if node is None:
            self.backward.send(0.0, self.handle_refused)
        else:
            self.node = node
            node.handle_connect(self)

    def ignore_cancel(self) -> None:
        """Do nothing for an attempt cancelled while connecting: the connection is kept for others."""

    def handle_refused(self) -> None:
        """Fail the connect if it is still under way."""
        if self.connect_timer is not None and not self.pool.clock.has_ended:
            self.connect_timer.cancel()
            self.fail_connect()

    def fail_connect(self) -> None:
        """End the attempt because its connect was refused or timed out."""
        attempt, self.first_attempt, self.connect_timer = self.first_attempt, None, None
        del self.pool.connecting[self]
        assert attempt is not None
        self.pool.recorder.note("unconnected", sidecar=self.pool.name)
        self.pool.exchange.end_attempt(attempt, CONNECT_FAILED)

    def handle_accepted(self) -> None:
        """Send the first attempt on the connection, or keep it for others."""
        pool = self.pool
        if self.connect_timer is None or pool.clock.has_ended:
            self.hang_up()  # the connect has failed meanwhile
            return
        self.connect_timer.cancel()
        self.connect_timer = None
        del pool.connecting[self]
        pool.connections[self] = None
        self.is_alive = True
        attempt, self.first_attempt = self.first_attempt, None
        assert attempt is not None
        if attempt.may_be_sent and pool.exchange.check_in_time(attempt):
            self.send(attempt)
        else:
            pool.keep(self)

    # Attempts

    def send(self, attempt: Attempt) -> None:
        """Send an attempt's request. From now on the node may have processed it."""
        pool = self.pool
        self.attempt = attempt
        attempt.cancel = self.drop
        attempt.is_written = True
        now = pool.time.instant
        # Truncated to milliseconds, as in the HTTP header.
        time_left = int((attempt.deadline - now) * 1000) / 1000 or 0.001
        pool.recorder.sending(pool.name, self.node.name, now)
        received = ReceivedAttempt(attempt.request.correlation_id, pool.name, time_left, now, self.reply)
        self.arrival = self.forward.send(self.arrival, self.node.receive_request, self, received)

    def reply(self, attempt_outcome: AttemptOutcome, stamp: str) -> None:
        """At the node: reply to the received attempt, or reset the connection."""
        node = self.node
        received, self.received = self.received, None
        if received is None:
            return
        self.has_begun = False
        if attempt_outcome is ATTEMPT_RESET:
            node.close(self)
            return
        if attempt_outcome is ATTEMPT_REJECTED:
            node.recorder.turned_away(node.name, received.ident)
        self.node_idle_since = node.time.instant
        self.reply_arrival = self.backward.send(self.reply_arrival, self.handle_reply, attempt_outcome, stamp)

    def handle_reply(self, attempt_outcome: AttemptOutcome, stamp: str) -> None:
        """End the attempt with the node's outcome."""
        attempt = self.attempt
        if attempt is None or self.pool.clock.has_ended:
            return
        self.attempt = None
        if attempt_outcome is ATTEMPT_SERVED:
            outcome: Outcome | None = SERVED
        else:
            outcome = OUTCOMES.get(attempt_outcome)
        if outcome is not None:
            self.pool.keep(self)
            self.pool.exchange.end_attempt(attempt, outcome, stamp)
            return
        self.close()
        self.pool.exchange.end_attempt(attempt, RESET)

    # Closing

    def drop(self) -> None:
        """Abandon the attempt by closing the connection."""
        self.attempt = None
        self.close()

    def close(self) -> None:
        """Close the connection from the sidecar's side."""
        if self.is_alive:
            self.is_alive = False
            self.pool.remove(self)
            self.hang_up()

    def hang_up(self) -> None:
        """Close the node's end a link delay later."""
        self.forward.send(self.arrival, self.node.drop, self)

    def handle_node_close(self) -> None:
        """At the sidecar: handle the close of the node's end."""
        if self.connect_timer is not None and not self.pool.clock.has_ended:
            self.connect_timer.cancel()  # the node closed it before the sidecar learned of its acceptance
            self.fail_connect()
        elif self.is_alive and not self.pool.clock.has_ended:
            self.is_alive = False
            self.pool.remove(self)
            attempt, self.attempt = self.attempt, None
            if attempt is not None:
                self.pool.exchange.end_attempt(attempt, RESET)


class ConnectionLimits(NamedTuple):
    """Limits of a sidecar's connections to nodes; `max_connections` includes connects under way."""

    connect_seconds: float
    idle_seconds: float
    max_connections: int


class DirectConnectionPool(ConnectionTable[DirectConnection]):
    """Starts attempts, and keeps reusable connections; the most recently used one is reused first.

    Parameters
    ----------
    nodes
        The node that listens, or last listened, at each address (host:port) of the endpoint list.
    """

    def __init__(
        self,
        sidecar_links: SidecarLinks,
        nodes: Mapping[str, DirectNode],
        clock: DirectClock,
        exchange: Exchange,
        recorder: EventRecorder,
        limits: ConnectionLimits,
    ) -> None:
        super().__init__()
        self.name, self.host, self.links = sidecar_links
        self.nodes = nodes
        self.clock = clock
        self.time = clock.time
        self.exchange = exchange
        self.recorder = recorder
        self.connect_time = limits.connect_seconds
        self.idle_timeout = limits.idle_seconds * IDLE_FRACTION
        self.max_connections = limits.max_connections
        self.connecting: dict[DirectConnection, None] = {}  # connects under way, oldest first
        exchange.start_attempt = self.start
        exchange.close_idle = self.close_idle
        exchange.on_endpoint_list = self.apply_list
        self.sweep()

    def start(self, attempt: Attempt) -> None:
        """Start an attempt on an idle connection or a new one."""
        host_port = self.addresses.get(attempt.endpoint)
        if host_port is None:
            # The endpoint list no longer has the node's address.
            self.clock.at(self.clock.now(), self.exchange.end_attempt, attempt, CONNECT_FAILED)
            return
        address = EndpointAddress(attempt.endpoint, host_port)
        idle = self.idle_connections.get(address)
        if idle:
            idle.pop().send(attempt)
            return
        if len(self.connections) + len(self.connecting) >= self.max_connections and not self.retire_oldest():
            log.line("too-many-connections", most=self.max_connections)
            self.clock.at(self.clock.now(), self.exchange.end_attempt, attempt, CONNECT_FAILED)
            return
        connection = DirectConnection(self, address, attempt)
        self.connecting[connection] = None
        connection.connect()

    def apply_list(self, view: View) -> None:
        """Close what a new endpoint list no longer allows, as the HTTP client does."""
        update_ready(self.ready_endpoints, view)
        for connection in [
            connection for connection in self.connecting if not self.is_usable(connection.address)
        ]:
            connection.handle_refused()
        for address, idle in list(self.idle_connections.items()):
            if not self.is_usable(address):
                for connection in list(idle):
                    connection.close()

    def keep(self, connection: DirectConnection) -> None:
        """Keep a connection for the next attempt."""
        if not self.is_usable(connection.address):
            connection.close()
            return
        connection.idle_since = self.time.instant
        idle = self.idle_connections.get(connection.address)
        if idle is None:
            idle = self.idle_connections[connection.address] = deque()
        idle.append(connection)

    def retire_oldest(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        oldest = self.oldest_idle()
        if oldest is None:
            return False
        oldest.close()
        return True

    def close_idle(self, node: str) -> None:
        """Close the idle connections to a node."""
        for connection in self.idle_to(node):
            connection.close()

    def reset(self) -> None:
        """Reset all connections because nodes have lost them while the host was isolated."""
        for connection in list(self.connections):
            connection.hang_up()
            connection.handle_node_close()

    def close(self) -> None:
        """Close all connections because the process ends."""
        for connection in list(self.connections):
            connection.attempt = None
            connection.close()

    def sweep(self) -> None:
        """Close connections that have been idle for too long, and schedule the next sweep."""
        now = self.clock.now()
        self.clock.at(now + SWEEP_SECONDS, self.sweep)
        for address, idle in list(self.idle_connections.items()):
            is_unlisted = self.addresses.get(address.endpoint) != address.address
            while idle and (is_unlisted or now - idle[0].idle_since > self.idle_timeout):
                idle[0].close()
