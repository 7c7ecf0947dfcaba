"""HTTP/1.1 clients of sidecars: the clients' own, and those of nodes that call the next tier."""

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
from wheatring.lab.models.request_transport import PendingRequest, ResponseCallback
from wheatring.lab.timers import Timers
from wheatring.lab.wire.http import MalformedMessageError, Message, MessageParser
from wheatring.lab.wire.request_format import RequestFormat

_SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


class _PendingRequest:
    """One request in flight or waiting for a connection."""

    __slots__ = (
        "connect_attempt", "connection", "deadline", "done", "ident", "index", "is_over", "is_resent", "key",
        "pool", "repeat",
    )  # fmt: skip

    def __init__(
        self,
        pool: _ConnectionPool,
        ident: str,
        index: int,
        deadline: float,
        key: str,
        repeat: bool,
        done: ResponseCallback,
    ) -> None:
        self.pool = pool
        self.ident = ident
        self.index = index
        self.deadline = deadline
        self.key = key
        self.repeat = repeat
        self.done = done
        self.connection: _Connection | None = None  # it is written on that connection
        self.connect_attempt: _ConnectAttempt | None = None  # a connect is under way for it
        self.is_resent = False
        self.is_over = False

    def abandon(self) -> None:
        """Abandon the request."""
        if not self.is_over:
            self.is_over = True
            self.pool.abandon(self)

    def end(self, kind: Any, retry_after: float = 0.0) -> None:
        """Report the end of the request, once."""
        if not self.is_over:
            self.is_over = True
            self.done(kind, retry_after)


class _Connection(protocol.Protocol):
    """One connection to a sidecar, with one request on it at a time; `first` is the one it was made for."""

    transport: Any

    def __init__(self, pool: _ConnectionPool, first: _PendingRequest) -> None:
        self.pool = pool
        self.first = first
        self.parser = MessageParser(responses=True)
        self.request: _PendingRequest | None = None
        self.is_reused = False  # it had stood idle before the request came on it
        self.has_received = False  # something of the answer has come
        self.is_over = False  # this side has ended it
        self.began: float | None = None  # when the answer's first byte left the sidecar, where that is told
        self.written = 0  # bytes
        self.peer_read: Callable[[], int] | None = None

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Send the request that the connection was made for."""
        self.transport.setTcpNoDelay(True)
        self.peer_read = getattr(self.transport, "peer_read", None)
        self.send(self.first)

    def send(self, request: _PendingRequest) -> None:
        """Send a request."""
        pool = self.pool
        now = pool.client.timers.now()
        left_ms = max(1, int((request.deadline - now) * 1000))
        self.request = request
        self.has_received = False
        request.connection = self
        data = pool.client.request_format.encode(
            request.index, request.ident, left_ms, request.key, request.repeat
        )
        self.written += len(data)
        self.transport.write(data)
        deadline = now + left_ms / 1000
        pool.client.recorder.taken(pool.sidecar, request.ident, request.index, request.key, deadline)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parse what has come, and handle a complete response."""
        if self.is_over:
            return
        if self.request is None:
            self.pool.client.recorder.note("unasked-data", sidecar=self.pool.sidecar, data=data[:64])
            self.end()
            return
        if not self.has_received:
            self.has_received = True
            self.began = getattr(self.transport, "sent_at", None)
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
            advice = message.fields.get(b"retry-after")
            if advice is not None:
                if not _SECONDS.fullmatch(advice):
                    self.reject_response("Retry-After")
                    return
                wait = float(advice)
        self.request = request.connection = None
        recorder.answered(pool.sidecar, request.ident, kind, stamp, wait, self.began)
        if self.parser.is_mid_message:
            recorder.note("unasked-data", sidecar=pool.sidecar, data=b"")
            self.end()
        elif not message.keep_alive:
            self.end()
        elif not self.is_over:
            pool.release(self)
        request.end(kind, wait)

    def reject_response(self, why: str) -> None:
        """End the request as lost, as its response can't be parsed."""
        request, self.request = self.request, None
        self.end()
        if request is not None:
            request.connection = None
            self.pool.client.recorder.lost(self.pool.sidecar, request.ident, why)
            request.end("lost")

    def end(self) -> None:
        """Close the connection: to a sidecar, its caller has left."""
        if not self.is_over:
            self.is_over = True
            self.pool.remove(self)
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802 - Twisted's name
        """End the request, or send it again where the sidecar has not read it."""
        orderly = isinstance(reason.value, ConnectionDone)
        was_over, self.is_over = self.is_over, True
        if not was_over:
            self.pool.remove(self)
        request = self.request
        if request is None:
            return
        message = self.parser.finish() if orderly else None
        if message is not None:
            self.handle_response(message)
            return
        self.request = request.connection = None
        pool, recorder = self.pool, self.pool.client.recorder
        if self.has_received or not self.is_unread():
            why = "closed" if orderly else "reset"
            recorder.lost(
                pool.sidecar,
                request.ident,
                f"{why} in mid-answer" if self.has_received else f"{why} unanswered",
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

        A simulated network knows. On a real one it is assumed of a reused connection that ended without a
        byte.
        """
        if self.peer_read is None:
            return self.is_reused
        return self.peer_read() < self.written


class _ConnectAttempt(ClientFactory):
    """One connect under way for one request."""

    noisy = False

    def __init__(self, pool: _ConnectionPool, request: _PendingRequest) -> None:
        self.pool = pool
        self.request: _PendingRequest | None = request
        request.connect_attempt = self
        self.connector: Any = None

    def buildProtocol(self, addr: object) -> _Connection | None:  # noqa: N802, ARG002 - Twisted's name and signature
        """Return the connection, or None, which closes it, where the request has ended meanwhile."""
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

    def give_up(self) -> None:
        """Cancel the connect, as its request has been left."""
        self.request = None
        self.pool.connection_closed()
        if self.connector is not None:
            self.connector.disconnect()


class _ConnectionPool:
    """The connections from one caller's host to one sidecar; the one used last is reused first."""

    def __init__(self, client: SidecarClient, sidecar: str) -> None:
        self.client = client
        self.sidecar = sidecar
        self.idle: list[_Connection] = []
        self.open_count = 0  # connections, and connects under way
        self.waiting: deque[_PendingRequest] = deque()  # for one of them, where there may be no more

    def submit(self, request: _PendingRequest) -> None:
        """Send a request on an idle connection or a new one, or have it wait for one."""
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
        """Have a connection carry the next request, or stand idle."""
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
        """Count a connection less, and open one for the next request that waits."""
        self.open_count -= 1
        if self.waiting and self.open_count < self.client.max_connections:
            self.connect(self.waiting.popleft())

    def abandon(self, request: _PendingRequest) -> None:
        """Abandon a request: its connection is closed."""
        connection = request.connection
        if connection is not None:
            connection.request = request.connection = None
            self.client.recorder.left(self.sidecar, request.ident)
            connection.end()
        elif request.connect_attempt is not None:
            attempt, request.connect_attempt = request.connect_attempt, None
            attempt.give_up()
        elif request in self.waiting:
            self.waiting.remove(request)


class SidecarClient:
    """The client of all sidecars for the callers of one process: the `RequestTransport` of grain `wire`.

    Parameters
    ----------
    address_of
        Gives a sidecar's host and port.
    host
        The address that connections come from; "" for the reactor's choice.
    max_connections
        The connections open at once to one sidecar; 0 for no limit.
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

    def send(
        self,
        sidecar: str,
        ident: str,
        index: int,
        time_left: float,
        key: str,
        is_marked_retry: bool,
        on_response: ResponseCallback,
    ) -> PendingRequest:
        """Send a request to a sidecar; see `models.request_transport.RequestTransport`."""
        pool = self.pools.get(sidecar)
        if pool is None:
            pool = self.pools[sidecar] = _ConnectionPool(self, sidecar)
        deadline = self.timers.now() + time_left
        request = _PendingRequest(pool, ident, index, deadline, key, is_marked_retry, on_response)
        pool.submit(request)
        return request

    def close(self) -> None:
        """Close the idle connections."""
        for pool in self.pools.values():
            for connection in list(pool.idle):
                connection.end()
