"""The HTTP/1.1 server for operators' calls: one call per connection, answered as soon as it is complete.

It shares only the parser with the callers' server. Its connections have a limit of their own, so that an
overload of one server does not affect the other. When the limit is reached, a new connection replaces the
oldest one, so that clients that send nothing or an incomplete call can't block other clients.
"""

from __future__ import annotations

from typing import Any

from twisted.internet import protocol
from twisted.internet.tcp import Port
from twisted.python.failure import Failure

from wheatring.common import log
from wheatring.common.exceptions import MalformedMessageError
from wheatring.common.http_parser import MessageParser
from wheatring.daemon.admin.dispatch import Operations, Reply, dispatch
from wheatring.daemon.core.clock import Clock, Timer

MAX_CONNECTIONS = 24
# Limit of connections accepted per event. Their data is read before the next event, so a complete call is
# answered long before its connection can become the oldest and be dropped.
ACCEPTS_PER_EVENT = 4
CALL_TIMEOUT_SECONDS = 6.0  # for receiving the complete call
REPLY_TIMEOUT_SECONDS = 1.0  # for the client to read the reply
MAX_BODY_BYTES = 1024  # limit of the request body if no call needs one
MAX_LOGGED_PATH = 120  # characters
BACKLOG = 256
REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
           409: "Conflict", 500: "Internal Server Error", 503: "Service Unavailable"}  # fmt: skip


def encode_reply(reply: Reply) -> bytes:
    """Return a reply as an HTTP response."""
    body = f"{reply.line}\n"
    allow = f"Allow: {reply.allow}\r\n" if reply.allow else ""
    head = f"HTTP/1.1 {reply.status} {REASONS[reply.status]}\r\nContent-Type: text/plain\r\n{allow}"
    return f"{head}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}".encode()


class AdminConnection(protocol.Protocol):
    """One connection, for one call."""

    transport: Any

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.reader = MessageParser(responses=False, max_body_bytes=server.max_body_bytes)
        self.end_code = ""  # the reason for its end, for the log
        self.timeout: Timer | None = None

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Start the time-out of the call."""
        self.transport.setTcpNoDelay(True)
        clock = self.server.clock
        self.timeout = clock.at(clock.now() + CALL_TIMEOUT_SECONDS, self.abort, "silent")
        self.server.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Answer the call once it is complete."""
        if self.end_code:
            return  # the call has been answered, and further data is ignored
        self.reader.feed(data)
        try:
            message = self.reader.next_message()
        except MalformedMessageError as error:
            self.reply(Reply(400, str(error)))
            return
        if message is not None:
            method, target = message.start_line[:2]
            self.reply(self.server.handle(method, target, message.body))

    def reply(self, reply: Reply) -> None:
        """Send the reply, and start the time-out for the client to read it."""
        self.end_code = f"answered-{reply.status}"
        self.transport.write(encode_reply(reply))
        self.transport.loseConnection()
        self._cancel_timeout()
        clock = self.server.clock
        self.timeout = clock.at(clock.now() + REPLY_TIMEOUT_SECONDS, self.abort, "unread")

    def abort(self, code: str) -> None:
        """Abort the connection. `code` is logged as the reason, unless the call has been answered."""
        self.end_code = self.end_code or code
        self.transport.abortConnection()

    def _cancel_timeout(self) -> None:
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()

    def connectionLost(  # noqa: N802 - Twisted's name
        self,
        reason: Failure = protocol.connectionDone,  # noqa: ARG002 - Twisted's signature
    ) -> None:
        """Remove the connection and log its end."""
        self._cancel_timeout()
        self.server.remove(self)
        log.line("control-connection", code=self.end_code or "peer-closed")


class _Listener(Port):
    def doRead(self) -> None:  # noqa: N802 - Twisted's name
        """Accept at most `ACCEPTS_PER_EVENT` connections."""
        self.numberAccepts = ACCEPTS_PER_EVENT
        super().doRead()  # type: ignore[no-untyped-call]


class AdminServer(protocol.ServerFactory):
    """The admin server of one sidecar: its listening socket and its connections."""

    noisy = False

    def __init__(self, reactor: Any, clock: Clock, operations: Operations) -> None:
        self.reactor = reactor
        self.clock = clock
        self.operations = operations
        self.max_body_bytes = MAX_BODY_BYTES
        self.connections: dict[AdminConnection, None] = {}  # the oldest first
        self.port: Any = None

    def listen(self, host: str, port: int) -> int:
        """Listen, and return the port; port 0 selects a free one."""
        listener: Any = _Listener
        self.port = listener(port, self, BACKLOG, host, self.reactor)
        self.port.startListening()
        bound: int = self.port.getHost().port
        return bound

    def buildProtocol(self, addr: object) -> AdminConnection:  # noqa: N802, ARG002 - Twisted's signature
        """Return the protocol of an accepted connection."""
        return AdminConnection(self)

    def add(self, connection: AdminConnection) -> None:
        """Add a connection, and abort the oldest one if the limit is exceeded."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            # connectionLost is called only after this event; the next accepted one must drop another one.
            del self.connections[oldest]
            oldest.abort("crowded")

    def remove(self, connection: AdminConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.pop(connection, None)

    def handle(self, method: bytes, target: bytes, body: bytes) -> Reply:
        """Carry out a call, and log it."""
        try:
            reply = dispatch(self.operations, method, target, body)
        except Exception as error:  # a bug in this program: log it and still answer the operator
            log.line("control-broken", why=repr(error))
            reply = Reply(500, "internal error")
        path = target[:MAX_LOGGED_PATH].decode("latin-1")
        log.line("control", method=method.decode("latin-1"), path=path, status=reply.status)
        return reply

    def close(self) -> None:
        """Stop listening and abort all connections; complete calls have already been answered."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        for connection in list(self.connections):
            connection.abort("stopping")
