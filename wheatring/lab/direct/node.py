"""A node's end of the connections of the grain `exchange`."""

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

    It replies by `attempt.reply`, also from within `receive`, and records all that becomes of an attempt,
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
        """Handle that a request's connection was closed before its response."""


class ConnectingSidecar(Protocol):
    """The sidecar's pool that a connection is of."""

    host: str


class NodeConnection(Protocol):
    """A connection, as far as the node's end uses it; see `connection_pool.DirectConnection`."""

    received: ReceivedAttempt | None
    has_begun: bool
    handshake: float
    node_idle: float
    reply_arrival: float
    backward: Link

    @property
    def pool(self) -> ConnectingSidecar:
        """The pool at the sidecar's end."""

    def refused(self) -> None:
        """Fail the connect, if it is still under way."""

    def accepted(self) -> None:
        """Bring the connection up at the sidecar's end."""

    def ended(self) -> None:
        """Close the sidecar's end."""


class DirectNode:
    """The server of one machine; `down` is called when its process has ended or its host is back."""

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
        self.connections: dict[NodeConnection, None] = {}  # accepted, in the order in which they came

    # Connects

    def handle_connect(self, connection: NodeConnection) -> None:
        """Handle a connect that has arrived, late where a fault delays connects."""
        delay = self.machine.faults.connect_delay
        if delay > 0 and self.machine.running:
            self.time.at(self.time.instant + delay, self.accept, connection)
        else:
            self.accept(connection)

    def accept(self, connection: NodeConnection) -> None:
        """Accept or refuse a connect, or leave it unanswered where the table of connections is full."""
        machine = self.machine
        if not machine.running or machine.faults.refuses_connections:
            connection.backward.send(0.0, connection.refused)
            return
        wait = machine.connect()
        if wait is None:  # its table is full: the connect gets no answer
            return
        now = self.time.instant
        client_host = connection.pool.host
        round_trip = self.links.delay(client_host, self.host) + self.links.delay(self.host, client_host)
        connection.handshake = wait + self.round_trips * round_trip
        connection.node_idle = now
        self.connections[connection] = None
        self.time.at(now + self.idle_seconds, self.check_idle, connection)
        connection.reply_arrival = connection.backward.send(0.0, connection.accepted)

    # Requests

    def request(self, connection: NodeConnection, attempt: ReceivedAttempt) -> None:
        """Handle the last byte of a request, unless its connection has been closed on this side."""
        if connection not in self.connections:
            return
        connection.received = attempt
        sent, attempt.arrived_at = attempt.arrived_at, self.time.instant
        self.recorder.arrived(attempt.sidecar, self.name, attempt.ident, sent)
        if connection.handshake > 0:
            self.time.at(attempt.arrived_at + connection.handshake, self.start_attempt, connection, attempt)
            connection.handshake = 0.0
        else:
            connection.has_begun = True
            self.machine.receive(attempt)

    def start_attempt(self, connection: NodeConnection, attempt: ReceivedAttempt) -> None:
        """Start the attempt, as the handshake is over."""
        if connection.received is attempt:
            connection.has_begun = True
            self.machine.receive(attempt)

    # Ends

    def drop(self, connection: NodeConnection) -> None:
        """Remove this end of a connection, for whatever reason."""
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
        connection.backward.send(connection.reply_arrival, connection.ended)

    def down(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            self.close(connection)

    def check_idle(self, connection: NodeConnection) -> None:
        """Close a connection that has been idle for too long."""
        if connection not in self.connections:
            return
        now = self.time.instant
        due = (
            now + self.idle_seconds
            if connection.received is not None
            else connection.node_idle + self.idle_seconds
        )
        if due <= now:
            self.close(connection)
        else:
            self.time.at(due, self.check_idle, connection)
