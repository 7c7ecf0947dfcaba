"""A node's HTTP/1.1 server, to which sidecars connect."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple, Protocol

from twisted.internet import protocol
from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure

from wheatring.lab.correlation import CorrelationTable
from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.models.received_attempt import AttemptOutcome, ReceivedAttempt
from wheatring.lab.plan import TierPlan
from wheatring.lab.timers import Timer, Timers
from wheatring.lab.wire.http import MalformedMessageError, Message, MessageParser
from wheatring.lab.wire.request_format import RequestFormat

SERVER_ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
UNPROCESSED = b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class NodeModel(Protocol):
    """The part of a machine's model that its server uses.

    The model records the events of an attempt, except its arrival and its rejection, which the server
    records.
    """

    name: str

    @property
    def is_full(self) -> bool:
        """Whether the connection table is full, so that no further connection is accepted."""

    @property
    def malformed_share(self) -> float:
        """Share of responses that are malformed at present; an equal share has trailing bytes."""

    def connect(self) -> float | None:
        """Accept a connection: return the seconds until it is ready, or None where it is not accepted."""

    def disconnect(self) -> None:
        """Release a connection."""

    def receive(self, attempt: ReceivedAttempt) -> None:
        """Process a request."""

    def abandon(self, attempt: ReceivedAttempt) -> None:
        """Handle the close of a connection before its request was answered."""


def malformed_response(random: Random) -> tuple[bytes, bool]:
    """Draw a malformed response, and whether the connection is closed after it."""
    kind = random.randrange(6)
    closes = random.random() < 0.5
    if kind == 0:
        return random.randbytes(200), closes
    if kind == 1:
        return b"HTTP/1.1 200 OK\r\nX-Pad: " + b"a" * 24_000, closes
    if kind == 2:
        return b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\nhalf an answer", closes
    if kind == 3:
        return b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nand so on", closes
    if kind == 4:
        return b"HTTP/1.1 200 OK\r\nContent-Length: -14\r\n\r\nless than none", closes
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nno chunk\r\n0\r\n\r\n", closes


class NodeConnection(protocol.Protocol):
    """A connection from a sidecar, with one request at a time."""

    transport: Any

    def __init__(self, server: NodeServer, sidecar: str, delay: float) -> None:
        self.server = server
        self.sidecar = sidecar
        self.handshake_delay = delay  # seconds by which the handshake delays the first request
        self.parser = MessageParser(responses=False)
        self.attempt: ReceivedAttempt | None = None
        self.has_begun = False  # the machine has received the attempt
        self.keep_alive = True
        self.is_over = False  # closed by this side, or lost
        self.idle_since = 0.0
        self.sent_at = 0.0  # when the first byte of the request was sent, or received where that is unknown
        self.timer: Timer | None = None

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Register the connection, and start its idle time-out."""
        server = self.server
        server.connections[self] = None
        self.transport.setTcpNoDelay(True)
        self.idle_since = server.timers.now()
        self.timer = server.timers.at(self.idle_since + server.idle_seconds, self._check_idle)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parse bytes received, and pass a complete request to the machine."""
        if self.is_over:
            return
        server, parser = self.server, self.parser
        if self.attempt is not None:
            # Without pipelining, two requests at once make the response ambiguous.
            server.recorder.note("second-request", node=server.node.name, sidecar=self.sidecar)
            self._abort()
            return
        if not parser.is_mid_message:
            sent_at: float | None = getattr(self.transport, "sent_at", None)
            self.sent_at = server.timers.now() if sent_at is None else sent_at
            server.recorder.sending(self.sidecar, server.node.name, self.sent_at)
        try:
            message = parser.feed(data)
        except MalformedMessageError as error:
            self._reject(str(error), "")
            return
        if message is None:
            return
        if parser.is_mid_message:
            self._reject("more than one request", "")
            return
        self._handle_request(message)

    def _reject(self, reason: str, ident: str) -> None:
        """Answer 400 to a request that no caller has sent in this form, and close."""
        server = self.server
        server.recorder.note(
            "bad-request", node=server.node.name, sidecar=self.sidecar, ident=ident, why=reason
        )
        self._write(BAD_REQUEST)
        self._close()

    def _handle_request(self, message: Message) -> None:
        server, fields = self.server, message.fields
        raw_id = fields.get(b"x-correlation-id")
        if raw_id is None:
            self._write(NOT_FOUND)
            return
        ident = raw_id.decode("latin-1")
        origin = server.origins.by_id.get(ident)
        if origin is None:
            self._reject("unknown correlation id", ident)
            return
        if not server.request_format.matches(message, raw_id, origin):
            self._reject("altered in transit", ident)
            return
        time_left = fields.get(b"x-time-left-ms", b"0")
        if not time_left.isdigit() or len(time_left) > 12:
            self._reject("invalid X-Time-Left-Ms", ident)
            return
        self.keep_alive = message.keep_alive
        node = server.node
        now = server.timers.now()
        attempt = self.attempt = ReceivedAttempt(ident, self.sidecar, int(time_left) / 1000, now, self._reply)
        server.recorder.arrived(self.sidecar, node.name, ident, self.sent_at)
        if self.handshake_delay > 0:
            server.timers.at(now + self.handshake_delay, self._start_attempt, attempt)
            self.handshake_delay = 0.0
        else:
            self.has_begun = True
            node.receive(attempt)

    def _start_attempt(self, attempt: ReceivedAttempt) -> None:
        """Start the attempt after the delay of the handshake."""
        if attempt is self.attempt and not self.is_over:
            self.has_begun = True
            self.server.node.receive(attempt)

    def _reply(self, outcome: AttemptOutcome, stamp: str) -> None:
        attempt = self.attempt
        if attempt is None or self.is_over:
            return
        self.attempt = None
        self.has_begun = False
        if outcome is AttemptOutcome.SERVED:
            body = stamp.encode("latin-1")
            response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            malformed_share = self.server.node.malformed_share
            if malformed_share and self.server.random.random() < malformed_share:
                response += response  # a valid response followed by trailing bytes
            self._write(response)
        elif outcome is AttemptOutcome.ERROR:
            self._write(SERVER_ERROR)
        elif outcome is AttemptOutcome.REJECTED:
            self.server.recorder.turned_away(self.server.node.name, attempt.ident)
            self._write(UNPROCESSED)
        elif outcome is AttemptOutcome.RESET:
            self._abort()
        else:
            data, closes = malformed_response(self.server.random)
            self._write(data)
            if closes:
                self._close()
        if not self.keep_alive:
            self._close()

    def _write(self, data: bytes) -> None:
        self.idle_since = self.server.timers.now()
        self.transport.write(data)

    def _close(self) -> None:
        if not self.is_over:
            self.is_over = True
            self.transport.loseConnection()

    def _abort(self) -> None:
        if not self.is_over:
            self._abandon_attempt()
            self.is_over = True
            self.transport.abortConnection()

    def reset(self) -> None:
        """Reset the connection because the node's process has ended."""
        self._abort()
        self.unregister()

    def _check_idle(self) -> None:
        """Close the connection if its idle time-out has expired."""
        server = self.server
        now = server.timers.now()
        self.timer = None
        if self.is_over:
            return
        deadline = (
            self.idle_since + server.idle_seconds if self.attempt is None else now + server.idle_seconds
        )
        if deadline <= now:
            self._close()
        else:
            self.timer = server.timers.at(deadline, self._check_idle)

    def _abandon_attempt(self) -> None:
        """Abandon the attempt, as its response can no longer reach the sidecar."""
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        if self.has_begun:
            self.server.node.abandon(attempt)
        else:
            attempt.is_abandoned = True
            self.server.recorder.ended(self.server.node.name, attempt.ident)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802, ARG002 - Twisted's name and signature
        # A half-close by the sidecar abandons the attempt as well: Twisted then closes both directions.
        """Abandon the attempt, and remove the connection from its server."""
        self.is_over = True
        self._abandon_attempt()
        self.unregister()

    def unregister(self) -> None:
        """Cancel the idle time-out, and remove the connection from its server."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        self.server.remove(self)


class NodeNetwork(NamedTuple):
    """The functions of the network that a node's server uses.

    Attributes
    ----------
    sidecar_of
        Returns the sidecar that connects from a host.
    round_trip
        Returns the present round-trip time to a host, in seconds.
    on_full
        Called with whether the connection table is full when that changes, so that a network can leave
        connects unanswered.
    """

    sidecar_of: Callable[[str], str]
    round_trip: Callable[[str], float]
    on_full: Callable[[bool], None] | None = None


class NodeServer(ServerFactory):
    """The server of one node.

    Notes
    -----
    A request that no caller has sent in this form is answered with 400 and recorded as `bad-request`.
    """

    noisy = False

    def __init__(
        self,
        node: NodeModel,
        tier: TierPlan,
        timers: Timers,
        random: Random,
        origins: CorrelationTable,
        request_format: RequestFormat,
        recorder: EventRecorder,
        network: NodeNetwork,
    ) -> None:
        self.node = node
        self.timers = timers
        self.random = random
        self.origins = origins
        self.request_format = request_format
        self.recorder = recorder
        self.network = network
        self.idle_seconds = tier.conn_idle
        self.handshake_rtts = tier.handshake_rtts
        self.connections: dict[NodeConnection, None] = {}  # in the order in which they were accepted
        self.is_full = False

    def buildProtocol(self, addr: Any) -> NodeConnection | None:  # noqa: N802 - Twisted's name
        """Return a connection, or None to close it if the machine does not accept it."""
        wait = self.node.connect()
        self.update_full()
        if wait is None:
            return None
        return NodeConnection(
            self,
            self.network.sidecar_of(addr.host),
            wait + self.handshake_rtts * self.network.round_trip(addr.host),
        )

    def update_full(self) -> None:
        """Call `on_full` if the connection table has become full or is full no longer."""
        is_full = self.node.is_full
        if is_full != self.is_full:
            self.is_full = is_full
            if self.network.on_full is not None:
                self.network.on_full(is_full)

    def remove(self, connection: NodeConnection) -> None:
        """Remove a connection that has ended."""
        if connection in self.connections:
            del self.connections[connection]
            self.node.disconnect()
            self.update_full()

    def reset(self) -> None:
        """Reset all connections because the node's process has ended."""
        for connection in list(self.connections):
            connection.reset()
