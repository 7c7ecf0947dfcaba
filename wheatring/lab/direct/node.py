"""The node's end of connections in grain `exchange`."""

from __future__ import annotations

from typing import Protocol

from wheatring.lab.direct.links import Link, Links
from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.models.received_attempt import ReceivedAttempt
from wheatring.lab.plan import TierPlan
from wheatring.lab.timers import PlayedTime


class MachineFaults(Protocol):
    """The part of a machine's faults that its server uses."""

    refuses_connections: bool
    connect_delay: float


class Machine(Protocol):
    """The part of a node's model that its server uses.

    It replies with `attempt.reply`, possibly from within `receive`, and records all events of an attempt
    except its arrival and its rejection.
    """

    name: str
    running: bool

    @property
    def faults(self) -> MachineFaults:
        """The machine's present faults."""

    def connect(self) -> float | None:
        """Accept a connection: return the seconds until it is ready, or None where it is not accepted."""

    def disconnect(self) -> None:
        """Release a connection."""

    def receive(self, attempt: ReceivedAttempt) -> None:
        """Process a request."""

    def abandon(self, attempt: ReceivedAttempt) -> None:
        """Handle the close of a connection before its request was answered."""


class ConnectingSidecar(Protocol):
    """The sidecar's connection pool, as far as the node's end uses it."""

    host: str


class NodeConnection(Protocol):
    """A connection, as far as the node's end uses it; see `connection_pool.DirectConnection`."""

    received: ReceivedAttempt | None
    has_begun: bool
    handshake_seconds: float
    node_idle_since: float
    reply_arrival: float
    backward: Link

    @property
    def pool(self) -> ConnectingSidecar:
        """The pool at the sidecar's end."""

    def handle_refused(self) -> None:
        """Fail the connect if it is still under way."""

    def handle_accepted(self) -> None:
        """Bring the connection up at the sidecar's end."""

    def handle_node_close(self) -> None:
        """Close the sidecar's end."""


class DirectNode:
    """The server of a machine. Its connections are reset when its process ends or its host is reconnected."""

    def __init__(
        self,
        machine: Machine,
        host: str,
        tier: TierPlan,
        time: PlayedTime,
        links: Links,
        recorder: EventRecorder,
    ) -> None:
        self.machine = machine
        self.name = machine.name
        self.host = host
        self.time = time
        self.links = links
        self.recorder = recorder
        self.round_trips = tier.handshake_rtts
        self.idle_seconds = tier.conn_idle
        self.connections: dict[NodeConnection, None] = {}  # in the order in which they were accepted

    # Connects

    def handle_connect(self, connection: NodeConnection) -> None:
        """Handle an incoming connect, after a delay if a fault requires it."""
        delay = self.machine.faults.connect_delay
        if delay > 0 and self.machine.running:
            self.time.at(self.time.instant + delay, self.accept, connection)
        else:
            self.accept(connection)

    def accept(self, connection: NodeConnection) -> None:
        """Accept or refuse a connect, or leave it unanswered if the connection table is full."""
        machine = self.machine
        if not machine.running or machine.faults.refuses_connections:
            connection.backward.send(0.0, connection.handle_refused)
            return
        wait = machine.connect()
        if wait is None:  # the connection table is full
            return
        now = self.time.instant
        client_host = connection.pool.host
        round_trip = self.links.delay(client_host, self.host) + self.links.delay(self.host, client_host)
        connection.handshake_seconds = wait + self.round_trips * round_trip
        connection.node_idle_since = now
        self.connections[connection] = None
        self.time.at(now + self.idle_seconds, self.check_idle, connection)
        connection.reply_arrival = connection.backward.send(0.0, connection.handle_accepted)

    # Requests

    def receive_request(self, connection: NodeConnection, attempt: ReceivedAttempt) -> None:
        """Handle a received request, unless this side has closed the connection."""
        if connection not in self.connections:
            return
        connection.received = attempt
        sent_at, attempt.arrived_at = attempt.arrived_at, self.time.instant
        self.recorder.arrived(attempt.sidecar, self.name, attempt.ident, sent_at)
        if connection.handshake_seconds > 0:
            self.time.at(
                attempt.arrived_at + connection.handshake_seconds, self.start_attempt, connection, attempt
            )
            connection.handshake_seconds = 0.0
        else:
            connection.has_begun = True
            self.machine.receive(attempt)

    def start_attempt(self, connection: NodeConnection, attempt: ReceivedAttempt) -> None:
        """Start the attempt after the delay of the handshake."""
        if connection.received is attempt:
            connection.has_begun = True
            self.machine.receive(attempt)

    # Closing

    def drop(self, connection: NodeConnection) -> None:
        """Remove this end of a connection, and abandon its attempt."""
        if connection not in self.connections:
            return
        del self.connections[connection]
        attempt, connection.received = connection.received, None
        if attempt is not None:
            if connection.has_begun:
                self.machine.abandon(attempt)
            else:
                attempt.is_abandoned = True
                self.recorder.ended(self.name, attempt.ident)
        self.machine.disconnect()

    def close(self, connection: NodeConnection) -> None:
        """Close a connection from this side."""
        self.drop(connection)
        connection.backward.send(connection.reply_arrival, connection.handle_node_close)

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            self.close(connection)

    def check_idle(self, connection: NodeConnection) -> None:
        """Close a connection whose idle time-out has expired."""
        if connection not in self.connections:
            return
        now = self.time.instant
        deadline = (
            now + self.idle_seconds
            if connection.received is not None
            else connection.node_idle_since + self.idle_seconds
        )
        if deadline <= now:
            self.close(connection)
        else:
            self.time.at(deadline, self.check_idle, connection)
