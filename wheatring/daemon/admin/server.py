"""The HTTP/1.1 server of the operators' calls: one call to a connection, answered as soon as it is complete.

It shares nothing with the callers' server but the parser: its connections are its own, so a crowd at one
takes none at the other. A client that sends nothing, or half a call, is dropped for the next one once all
connections are taken.
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
# Accepted at one event at most. All that came with them is read before the next event, so a complete call is
# answered long before so many have come behind it that it would have to make room.
ACCEPTS_PER_EVENT = 4
CALL_TIMEOUT_SECONDS = 6.0  # after which an incomplete call is ended, though there is room
REPLY_TIMEOUT_SECONDS = 1.0  # in which a client has to read its answer
MAX_BODY_BYTES = 1024  # where no call needs a body
MAX_LOGGED_PATH = 120  # characters
BACKLOG = 256
REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
           409: "Conflict", 500: "Internal Server Error", 503: "Service Unavailable"}  # fmt: skip


def encode_reply(reply: Reply) -> bytes:
    """Return a reply as it is sent."""
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
        self.end_code = ""  # why it ended, for the log
        self.timeout: Timer | None = None

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Start the time in which the call has to come."""
        self.transport.setTcpNoDelay(True)
        clock = self.server.clock
        self.timeout = clock.at(clock.now() + CALL_TIMEOUT_SECONDS, self.abort, "silent")
        self.server.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Answer the call once it is complete."""
        if self.end_code:
            return  # answered: what else the client sends is ignored
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
        """Answer the call, and leave the client some time to read that."""
        self.end_code = f"answered-{reply.status}"
        self.transport.write(encode_reply(reply))
        self.transport.loseConnection()
        self._cancel_timeout()
        clock = self.server.clock
        self.timeout = clock.at(clock.now() + REPLY_TIMEOUT_SECONDS, self.abort, "unread")

    def abort(self, code: str) -> None:
        """Drop the connection. `code` says why, unless the call has been answered."""
        self.end_code = self.end_code or code
        self.transport.abortConnection()

    def _cancel_timeout(self) -> None:
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()

    def connectionLost(  # noqa: N802 - Twisted's name
        self,
        reason: Failure = protocol.connectionDone,  # noqa: ARG002 - Twisted's signature
    ) -> None:
        """Make room for another connection, and log the end of this one."""
        self._cancel_timeout()
        self.server.remove(self)
        log.line("control-connection", code=self.end_code or "peer-closed")


class _Listener(Port):
    def doRead(self) -> None:  # noqa: N802 - Twisted's name
        """Accept at most `ACCEPTS_PER_EVENT` connections."""
        self.numberAccepts = ACCEPTS_PER_EVENT
        super().doRead()  # type: ignore[no-untyped-call]


class AdminServer(protocol.ServerFactory):
    """The server of one sidecar's operators: its listening socket and its connections."""

    noisy = False

    def __init__(self, reactor: Any, clock: Clock, operations: Operations) -> None:
        self.reactor = reactor
        self.clock = clock
        self.operations = operations
        self.max_body_bytes = MAX_BODY_BYTES
        self.connections: dict[AdminConnection, None] = {}  # the oldest first
        self.port: Any = None

    def listen(self, host: str, port: int) -> int:
        """Listen, and return the port: 0 asks for any."""
        listener: Any = _Listener
        self.port = listener(port, self, BACKLOG, host, self.reactor)
        self.port.startListening()
        bound: int = self.port.getHost().port
        return bound

    def buildProtocol(self, addr: object) -> AdminConnection:  # noqa: N802, ARG002 - Twisted's signature
        """Make the protocol of a connection that was accepted."""
        return AdminConnection(self)

    def add(self, connection: AdminConnection) -> None:
        """Take a connection in, and drop the oldest one where there are too many."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            # Its end is reported only after this event, and the next new one must find another to drop.
            del self.connections[oldest]
            oldest.abort("crowded")

    def remove(self, connection: AdminConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.pop(connection, None)

    def handle(self, method: bytes, target: bytes, body: bytes) -> Reply:
        """Carry a call out, and log it."""
        try:
            reply = dispatch(self.operations, method, target, body)
        except Exception as error:  # a defect of ours: the operator is answered, and it is logged
            log.line("control-broken", why=repr(error))
            reply = Reply(500, "internal error")
        path = target[:MAX_LOGGED_PATH].decode("latin-1")
        log.line("control", method=method.decode("latin-1"), path=path, status=reply.status)
        return reply

    def close(self) -> None:
        """Accept no more calls; those that are complete have been answered."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        for connection in list(self.connections):
            connection.abort("stopping")
