"""The client side without bytes: attempts on a pool of kept connections to nodes.

It keeps to the rules of the HTTP client's pool, and gives the outcomes that this would give.
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

# Looked up once: an enum takes its time.
SERVED, CONNECT_FAILED, RESET = Outcome.SERVED, Outcome.CONNECT_FAILED, Outcome.RESET
ATTEMPT_SERVED, ATTEMPT_REJECTED, ATTEMPT_RESET = (
    AttemptOutcome.SERVED,
    AttemptOutcome.REJECTED,
    AttemptOutcome.RESET,
)
# Of answers that leave a clean connection; any other can't be read.
OUTCOMES = {
    AttemptOutcome.SERVED: SERVED,
    AttemptOutcome.REJECTED: Outcome.REJECTED,
    AttemptOutcome.ERROR: Outcome.ERROR,
}


class DirectConnection:
    """One connection to a node, both ends of it, with one attempt on it at a time.

    `is_alive`, `attempt` and what is about it are the sidecar's, to which events come a link's delay after
    they happened; `received`, `has_begun`, `handshake`, `node_idle` and `reply_arrival` are the node's.
    """

    __slots__ = (
        "address",
        "arrival",
        "attempt",
        "backward",
        "connect_timer",
        "first",
        "forward",
        "handshake",
        "has_begun",
        "idle_since",
        "is_alive",
        "node",
        "node_idle",
        "pool",
        "received",
        "reply_arrival",
    )  # fmt: skip

    def __init__(self, pool: DirectConnectionPool, address: EndpointAddress, attempt: Attempt) -> None:
        self.pool = pool
        self.address = address
        self.node: DirectNode  # who took it at that address
        there = address.address.rpartition(":")[0]
        self.forward = pool.links.link(pool.host, there)
        self.backward = pool.links.link(there, pool.host)
        self.first: Attempt | None = attempt  # for which it is made
        self.connect_timer: Timer | None = None  # while it comes up
        self.attempt: Attempt | None = None
        self.is_alive = False
        self.idle_since = 0.0
        self.arrival = 0.0  # of what was last sent on it
        self.received: ReceivedAttempt | None = None
        self.has_begun = False  # the received attempt is at the machine
        self.handshake = 0.0  # seconds that it still costs the first request
        self.node_idle = 0.0
        self.reply_arrival = 0.0

    # Coming up

    def connect(self) -> None:
        """Send the connect, with a time-out."""
        pool, attempt = self.pool, self.first
        assert attempt is not None
        attempt.cancel = self.keep_on
        by = min(attempt.deadline, attempt.start_before, pool.clock.now() + pool.connect_time)
        self.connect_timer = pool.clock.at(by, self.fail_connect)
        self.forward.send(0.0, self.handle_connect)

    def handle_connect(self) -> None:
        """Hand the connect that has arrived to whoever is at that address by now."""
        node = self.pool.nodes.get(self.address.address)
        if node is None:
            self.backward.send(0.0, self.refused)
        else:
            self.node = node
            node.handle_connect(self)

    def keep_on(self) -> None:
        """Do nothing for an attempt cancelled early: the connection, once up, is kept for others."""

    def refused(self) -> None:
        """Fail the connect, if it is still under way."""
        if self.connect_timer is not None and not self.pool.clock.over:
            self.connect_timer.cancel()
            self.fail_connect()

    def fail_connect(self) -> None:
        """End the attempt, as its connect was refused or timed out."""
        attempt, self.first, self.connect_timer = self.first, None, None
        del self.pool.connecting[self]
        assert attempt is not None
        self.pool.recorder.note("unconnected", sidecar=self.pool.name)
        self.pool.exchange.end_attempt(attempt, CONNECT_FAILED)

    def accepted(self) -> None:
        """Send the first attempt on the connection, or keep it for others."""
        pool = self.pool
        if self.connect_timer is None or pool.clock.over:
            self.hang_up()  # it was given up meanwhile
            return
        self.connect_timer.cancel()
        self.connect_timer = None
        del pool.connecting[self]
        pool.connections[self] = None
        self.is_alive = True
        attempt, self.first = self.first, None
        assert attempt is not None
        if attempt.may_be_sent and pool.exchange.check_in_time(attempt):
            self.send(attempt)
        else:
            pool.keep(self)

    # Attempts

    def send(self, attempt: Attempt) -> None:
        """Write an attempt's request: from here on it may have run."""
        pool = self.pool
        self.attempt = attempt
        attempt.cancel = self.drop
        attempt.is_written = True
        now = pool.time.instant
        left = int((attempt.deadline - now) * 1000) / 1000 or 0.001  # as the wire states it
        pool.recorder.sending(pool.name, self.node.name, now)
        received = ReceivedAttempt(attempt.request.correlation_id, pool.name, left, now, self.reply)
        self.arrival = self.forward.send(self.arrival, self.node.request, self, received)

    def reply(self, attempt_outcome: AttemptOutcome, stamp: str) -> None:
        """At the node: answer the received attempt, or reset the connection."""
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
        self.node_idle = node.time.instant
        self.reply_arrival = self.backward.send(self.reply_arrival, self.answered, attempt_outcome, stamp)

    def answered(self, attempt_outcome: AttemptOutcome, stamp: str) -> None:
        """End the attempt with the node's outcome."""
        attempt = self.attempt
        if attempt is None or self.pool.clock.over:
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

    # Its end

    def drop(self) -> None:
        """Stop working on the attempt: to a node, abandoning is closing."""
        self.attempt = None
        self.close()

    def close(self) -> None:
        """Close the connection from the sidecar's side."""
        if self.is_alive:
            self.is_alive = False
            self.pool.remove(self)
            self.hang_up()

    def hang_up(self) -> None:
        """Have the node's end close a link's delay later."""
        self.forward.send(self.arrival, self.node.drop, self)

    def ended(self) -> None:
        """Handle at the sidecar that the node's end has closed."""
        if self.connect_timer is not None and not self.pool.clock.over:
            self.connect_timer.cancel()  # it ended before it was heard to be up
            self.fail_connect()
        elif self.is_alive and not self.pool.clock.over:
            self.is_alive = False
            self.pool.remove(self)
            attempt, self.attempt = self.attempt, None
            if attempt is not None:
                self.pool.exchange.end_attempt(attempt, RESET)


class ConnectionLimits(NamedTuple):
    """What holds for a sidecar's connections to nodes; `max_connections` counts those under way too."""

    connect_seconds: float
    idle_seconds: float
    max_connections: int


class DirectConnectionPool(ConnectionTable[DirectConnection]):
    """Starts attempts, and keeps clean connections for the next ones; the one used last is reused first.

    Parameters
    ----------
    nodes
        Who listens, or did last, at each address as the endpoint list gives it (host:port).
    """

    def __init__(
        self,
        place: SidecarLinks,
        nodes: Mapping[str, DirectNode],
        clock: DirectClock,
        exchange: Exchange,
        recorder: EventRecorder,
        limits: ConnectionLimits,
    ) -> None:
        super().__init__()
        self.name, self.host, self.links = place
        self.nodes = nodes
        self.clock = clock
        self.time = clock.time
        self.exchange = exchange
        self.recorder = recorder
        self.connect_time = limits.connect_seconds
        self.idle_timeout = limits.idle_seconds * IDLE_FRACTION
        self.max_connections = limits.max_connections
        self.connecting: dict[DirectConnection, None] = {}  # under way, in the order in which they began
        exchange.start_attempt = self.start
        exchange.close_idle = self.close_idle
        exchange.on_endpoint_list = self.apply_list
        self.sweep()

    def start(self, attempt: Attempt) -> None:
        """Start an attempt on an idle connection or a new one."""
        location = self.addresses.get(attempt.endpoint)
        if location is None:
            # The list no longer says where the node is.
            self.clock.at(self.clock.now(), self.exchange.end_attempt, attempt, CONNECT_FAILED)
            return
        address = EndpointAddress(attempt.endpoint, location)
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
            connection.refused()
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
        """Reset all connections, as the host is back and no node knows of them any more."""
        for connection in list(self.connections):
            connection.hang_up()
            connection.ended()

    def close(self) -> None:
        """Close all connections, as the process ends."""
        for connection in list(self.connections):
            connection.attempt = None
            connection.close()

    def sweep(self) -> None:
        """Close connections that have been idle for too long, and schedule the next sweep."""
        now = self.clock.now()
        self.clock.at(now + SWEEP_SECONDS, self.sweep)
        for address, idle in list(self.idle_connections.items()):
            gone = self.addresses.get(address.endpoint) != address.address
            while idle and (gone or now - idle[0].idle_since > self.idle_timeout):
                idle[0].close()
