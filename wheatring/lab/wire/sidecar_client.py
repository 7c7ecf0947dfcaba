"""HTTP/1.1 clients of sidecars, for the simulated clients and for nodes that call the next tier."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from wheatring.lab.event_recorder import EventRecorder, ResponseKind
from wheatring.lab.models.request_transport import PendingRequest, ResponseCallback, SidecarRequest
from wheatring.lab.timers import Timers
from wheatring.lab.wire.http import MalformedMessageError, Message, MessageParser
from wheatring.lab.wire.request_format import RequestFormat

_SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


class _PendingRequest:
    """One request in flight or waiting for a connection."""

    __slots__ = (
        "connect_attempt", "connection", "deadline", "done", "ident", "index", "is_marked_retry", "is_over",
        "is_resent", "key", "pool",
    )  # fmt: skip

    def __init__(
        self,
        pool: _ConnectionPool,
        request: SidecarRequest,
        deadline: float,
        done: ResponseCallback,
    ) -> None:
        self.pool = pool
        self.ident = request.ident
        self.index = request.index
        self.deadline = deadline
        self.key = request.key
        self.is_marked_retry = request.is_marked_retry
        self.done = done
        self.connection: _Connection | None = None  # the connection on which it was sent
        self.connect_attempt: _ConnectAttempt | None = None  # the connect made for it
        self.is_resent = False
        self.is_over = False

    def abandon(self) -> None:
        """Abandon the request."""
        if not self.is_over:
            self.is_over = True
            self.pool.abandon(self)

    def end(self, kind: Any, retry_after: float = 0.0) -> None:
        """Report the outcome of the request, once."""
        if not self.is_over:
            self.is_over = True
            self.done(kind, retry_after)


class _Connection(protocol.Protocol):
    """A connection to a sidecar, opened for the request `first`, with one request at a time."""

    transport: Any

    def __init__(self, pool: _ConnectionPool, first: _PendingRequest) -> None:
        self.pool = pool
        self.first = first
        self.parser = MessageParser(responses=True)
        self.request: _PendingRequest | None = None
        self.is_reused = False  # it has carried an earlier request
        self.has_received = False  # part of the response has been received
        self.is_over = False  # closed by this side, or lost
        self.response_sent_at: float | None = None  # when the response's first byte was sent, if known
        self.written = 0  # total bytes
        self.peer_read: Callable[[], int] | None = None

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Send the request for which the connection was opened."""
        self.transport.setTcpNoDelay(True)
        self.peer_read = getattr(self.transport, "peer_read", None)
        self.send(self.first)

    def send(self, request: _PendingRequest) -> None:
        """Send a request."""
        pool = self.pool
        now = pool.client.timers.now()
        time_left_ms = max(1, int((request.deadline - now) * 1000))
        self.request = request
        self.has_received = False
        request.connection = self
        data = pool.client.request_format.encode(
            request.index, request.ident, time_left_ms, request.key, request.is_marked_retry
        )
        self.written += len(data)
        self.transport.write(data)
        deadline = now + time_left_ms / 1000
        pool.client.recorder.taken(pool.sidecar, request.ident, request.index, request.key, deadline)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parse bytes received, and handle a complete response."""
        if self.is_over:
            return
        if self.request is None:
            self.pool.client.recorder.note("unasked-data", sidecar=self.pool.sidecar, data=data[:64])
            self.end()
            return
        if not self.has_received:
            self.has_received = True
            self.response_sent_at = getattr(self.transport, "sent_at", None)
        try:
            message = self.parser.feed(data)
            while message is not None and message.status < 200:
                message = self.parser.next_message()
        except MalformedMessageError as error:
            self.reject_response(str(error))
            return
        if message is not None:
            self.handle_response(message)

    def handle_response(self, message: Message) -> None:
        """End the request with its response, and release or close the connection."""
        request, pool = self.request, self.pool
        assert request is not None
        recorder = pool.client.recorder
        kind: ResponseKind = "failed"
        wait, stamp = 0.0, ""
        if message.status == 200:
            kind = "served"
            stamp = message.body.decode("latin-1")
        elif message.status in (429, 503):
            kind = "refused"
            retry_after_value = message.fields.get(b"retry-after")
            if retry_after_value is not None:
                if not _SECONDS.fullmatch(retry_after_value):
                    self.reject_response("Retry-After")
                    return
                wait = float(retry_after_value)
        self.request = request.connection = None
        recorder.answered(pool.sidecar, request.ident, kind, stamp, wait, self.response_sent_at)
        if self.parser.is_mid_message:
            recorder.note("unasked-data", sidecar=pool.sidecar, data=b"")
            self.end()
        elif not message.keep_alive:
            self.end()
        elif not self.is_over:
            pool.release(self)
        request.end(kind, wait)

    def reject_response(self, why: str) -> None:
        """End the request as lost because its response is malformed."""
        request, self.request = self.request, None
        self.end()
        if request is not None:
            request.connection = None
            self.pool.client.recorder.lost(self.pool.sidecar, request.ident, why)
            request.end("lost")

    def end(self) -> None:
        """Close the connection, which abandons a request in flight."""
        if not self.is_over:
            self.is_over = True
            self.pool.remove(self)
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802 - Twisted's name
        """End the request, or resend it once if the sidecar has not read it."""
        graceful = isinstance(reason.value, ConnectionDone)
        was_over, self.is_over = self.is_over, True
        if not was_over:
            self.pool.remove(self)
        request = self.request
        if request is None:
            return
        message = self.parser.finish() if graceful else None
        if message is not None:
            self.handle_response(message)
            return
        self.request = request.connection = None
        pool, recorder = self.pool, self.pool.client.recorder
        if self.has_received or not self.is_unread():
            ending = "closed" if graceful else "reset"
            recorder.lost(
                pool.sidecar,
                request.ident,
                f"{ending} in mid-answer" if self.has_received else f"{ending} unanswered",
            )
            request.end("lost")
            return
        recorder.untaken(pool.sidecar, request.ident)
        if request.is_resent:
            request.end("unreached")
        else:
            request.is_resent = True
            pool.connect(request)

    def is_unread(self) -> bool:
        """Return whether the sidecar ended the connection before it read the request.

        A simulated network can tell. On a real one it is assumed if a reused connection ended before any byte
        of the response.
        """
        if self.peer_read is None:
            return self.is_reused
        return self.peer_read() < self.written


class _ConnectAttempt(ClientFactory):
    """A connect under way for a request."""

    noisy = False

    def __init__(self, pool: _ConnectionPool, request: _PendingRequest) -> None:
        self.pool = pool
        self.request: _PendingRequest | None = request
        request.connect_attempt = self
        self.connector: Any = None

    def buildProtocol(self, addr: object) -> _Connection | None:  # noqa: N802, ARG002 - Twisted's name and signature
        """Return the connection, or None to close it if the request has ended meanwhile."""
        request, self.request = self.request, None
        if request is None:
            return None
        request.connect_attempt = None
        return _Connection(self.pool, request)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802, ARG002 - Twisted's name and signature
        """End the request as unreached."""
        request, self.request = self.request, None
        if request is not None:
            request.connect_attempt = None
            self.pool.connection_closed()
            request.end("unreached")

    def cancel(self) -> None:
        """Cancel the connect because its request was abandoned."""
        self.request = None
        self.pool.connection_closed()
        if self.connector is not None:
            self.connector.disconnect()


class _ConnectionPool:
    """The connections from a caller's host to a sidecar; the most recently used one is reused first."""

    def __init__(self, client: SidecarClient, sidecar: str) -> None:
        self.client = client
        self.sidecar = sidecar
        self.idle: list[_Connection] = []
        self.open_count = 0  # open connections and connects under way
        self.waiting: deque[_PendingRequest] = deque()  # requests waiting for a connection

    def submit(self, request: _PendingRequest) -> None:
        """Send a request on an idle or a new connection, or queue it if the limit is reached."""
        if self.idle:
            connection = self.idle.pop()
            connection.is_reused = True
            connection.send(request)
        elif not self.client.max_connections or self.open_count < self.client.max_connections:
            self.connect(request)
        else:
            self.waiting.append(request)

    def connect(self, request: _PendingRequest) -> None:
        """Open a connection for a request."""
        client = self.client
        host, port = client.address_of(self.sidecar)
        self.open_count += 1
        attempt = _ConnectAttempt(self, request)
        source = (client.host, 0) if client.host else None
        attempt.connector = client.reactor.connectTCP(host, port, attempt, timeout=None, bindAddress=source)

    def release(self, connection: _Connection) -> None:
        """Send the next waiting request on a connection, or add the connection to the idle ones."""
        if self.waiting:
            connection.is_reused = True
            connection.send(self.waiting.popleft())
        else:
            self.idle.append(connection)

    def remove(self, connection: _Connection) -> None:
        """Remove a connection that has ended."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.connection_closed()

    def connection_closed(self) -> None:
        """Decrement the count of connections, and open one for the next waiting request."""
        self.open_count -= 1
        if self.waiting and self.open_count < self.client.max_connections:
            self.connect(self.waiting.popleft())

    def abandon(self, request: _PendingRequest) -> None:
        """Abandon a request and close its connection."""
        connection = request.connection
        if connection is not None:
            connection.request = request.connection = None
            self.client.recorder.left(self.sidecar, request.ident)
            connection.end()
        elif request.connect_attempt is not None:
            attempt, request.connect_attempt = request.connect_attempt, None
            attempt.cancel()
        elif request in self.waiting:
            self.waiting.remove(request)


class SidecarClient:
    """Client of all sidecars for the callers in one process: the `RequestTransport` of grain `wire`.

    Parameters
    ----------
    address_of
        Returns a sidecar's host and port.
    host
        The source address of connections; "" for the reactor's default.
    max_connections
        Limit of open connections to one sidecar; 0 for no limit.
    """

    def __init__(
        self,
        reactor: Any,
        timers: Timers,
        recorder: EventRecorder,
        request_format: RequestFormat,
        address_of: Callable[[str], tuple[str, int]],
        host: str = "",
        max_connections: int = 0,
    ) -> None:
        self.reactor = reactor
        self.timers = timers
        self.recorder = recorder
        self.request_format = request_format
        self.address_of = address_of
        self.host = host
        self.max_connections = max_connections
        self.pools: dict[str, _ConnectionPool] = {}

    def send(self, request: SidecarRequest, on_response: ResponseCallback) -> PendingRequest:
        """Send a request to a sidecar; see `models.request_transport.RequestTransport`."""
        pool = self.pools.get(request.sidecar)
        if pool is None:
            pool = self.pools[request.sidecar] = _ConnectionPool(self, request.sidecar)
        pending = _PendingRequest(pool, request, self.timers.now() + request.time_left, on_response)
        pool.submit(pending)
        return pending

    def close(self) -> None:
        """Close the idle connections."""
        for pool in self.pools.values():
            for connection in list(pool.idle):
                connection.end()
