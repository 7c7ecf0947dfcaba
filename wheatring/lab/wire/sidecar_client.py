"""Callers of sidecars on HTTP/1.1: clients, and nodes that call the next tier through one of their own."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from wheatring.lab.book import Book, Kind
from wheatring.lab.models.way import Asked, Done
from wheatring.lab.timers import Timers
from wheatring.lab.wire.http import MalformedMessageError, Message, MessageParser
from wheatring.lab.wire.request_format import RequestFormat

_SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


class _PendingRequest:
    """One request that is out."""

    __slots__ = (
        "connect_attempt", "connection", "deadline", "done", "ident", "index", "is_over", "is_resent", "key",
        "pool", "repeat",
    )  # fmt: skip

    def __init__(
        self, pool: _ConnectionPool, ident: str, index: int, until: float, key: str, repeat: bool, done: Done
    ) -> None:
        self.pool = pool
        self.ident = ident
        self.index = index
        self.deadline = until
        self.key = key
        self.repeat = repeat
        self.done = done
        self.connection: _Connection | None = None  # it is written on that connection
        self.connect_attempt: _ConnectAttempt | None = None  # a connect is under way for it
        self.is_resent = False
        self.is_over = False

    def leave(self) -> None:
        if not self.is_over:
            self.is_over = True
            self.pool.leave(self)

    def end(self, kind: Any, retry_after: float = 0.0) -> None:
        if not self.is_over:
            self.is_over = True
            self.done(kind, retry_after)


class _Connection(protocol.Protocol):
    """One connection to a sidecar, with one request on it at a time. It was made for `first`."""

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

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.peer_read = getattr(self.transport, "peer_read", None)
        self.send(self.first)

    def send(self, asked: _PendingRequest) -> None:
        pool = self.pool
        now = pool.caller.timers.now()
        left_ms = max(1, int((asked.deadline - now) * 1000))
        self.request = asked
        self.has_received = False
        asked.connection = self
        data = pool.caller.request_format.encode(asked.index, asked.ident, left_ms, asked.key, asked.repeat)
        self.written += len(data)
        self.transport.write(data)
        pool.caller.book.taken(pool.sidecar, asked.ident, asked.index, asked.key, now + left_ms / 1000)

    def dataReceived(self, data: bytes) -> None:
        if self.is_over:
            return
        if self.request is None:
            self.pool.caller.book.note("unasked-data", sidecar=self.pool.sidecar, data=data[:64])
            self.end()
            return
        if not self.has_received:
            self.has_received = True
            self.began = getattr(self.transport, "sent_at", None)
        try:
            message = self.parser.feed(data)
            while message is not None and message.status < 200:
                message = self.parser.next_message()
        except MalformedMessageError as bad:
            self.reject_response(str(bad))
            return
        if message is not None:
            self.handle_response(message)

    def handle_response(self, message: Message) -> None:
        asked, pool = self.request, self.pool
        assert asked is not None
        book = pool.caller.book
        kind: Kind = "failed"
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
        self.request = asked.connection = None
        book.answered(pool.sidecar, asked.ident, kind, stamp, wait, self.began)
        if self.parser.is_mid_message:
            book.note("unasked-data", sidecar=pool.sidecar, data=b"")
            self.end()
        elif not message.keep_alive:
            self.end()
        elif not self.is_over:
            pool.release(self)
        asked.end(kind, wait)

    def reject_response(self, why: str) -> None:
        """What has come is no answer."""
        asked, self.request = self.request, None
        self.end()
        if asked is not None:
            asked.connection = None
            self.pool.caller.book.lost(self.pool.sidecar, asked.ident, why)
            asked.end("lost")

    def end(self) -> None:
        """Close it: to a sidecar, its caller has left."""
        if not self.is_over:
            self.is_over = True
            self.pool.remove(self)
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        orderly = isinstance(reason.value, ConnectionDone)
        was_over, self.is_over = self.is_over, True
        if not was_over:
            self.pool.remove(self)
        asked = self.request
        if asked is None:
            return
        message = self.parser.finish() if orderly else None
        if message is not None:
            self.handle_response(message)
            return
        self.request = asked.connection = None
        pool, book = self.pool, self.pool.caller.book
        if self.has_received or not self.is_unread():
            why = "closed" if orderly else "reset"
            book.lost(
                pool.sidecar,
                asked.ident,
                f"{why} in mid-answer" if self.has_received else f"{why} unanswered",
            )
            asked.end("lost")
            return
        book.untaken(pool.sidecar, asked.ident)
        if asked.is_resent:
            asked.end("unreached")
        else:
            asked.is_resent = True
            pool.connect(asked)

    def is_unread(self) -> bool:
        """Whether the sidecar has ended the connection before it read the request. A network that can tell
        does; on another one, that a kept connection ended without a byte has to stand for it.
        """
        if self.peer_read is None:
            return self.is_reused
        return self.peer_read() < self.written


class _ConnectAttempt(ClientFactory):
    """One connect under way for one request."""

    noisy = False

    def __init__(self, pool: _ConnectionPool, asked: _PendingRequest) -> None:
        self.pool = pool
        self.request: _PendingRequest | None = asked
        asked.connect_attempt = self
        self.connector: Any = None

    def buildProtocol(self, addr: object) -> _Connection | None:
        asked, self.request = self.request, None
        if asked is None:
            return None
        asked.connect_attempt = None
        return _Connection(self.pool, asked)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        asked, self.request = self.request, None
        if asked is not None:
            asked.connect_attempt = None
            self.pool.connection_closed()
            asked.end("unreached")

    def give_up(self) -> None:
        self.request = None
        self.pool.connection_closed()
        if self.connector is not None:
            self.connector.disconnect()


class _ConnectionPool:
    """The connections from one caller's host to one sidecar; the last one used goes out first."""

    def __init__(self, caller: SidecarClient, sidecar: str) -> None:
        self.caller = caller
        self.sidecar = sidecar
        self.idle: list[_Connection] = []
        self.open_count = 0  # connections, and connects under way
        self.waiting: deque[_PendingRequest] = deque()  # for one of them, where there may be no more

    def submit(self, asked: _PendingRequest) -> None:
        if self.idle:
            line = self.idle.pop()
            line.is_reused = True
            line.send(asked)
        elif not self.caller.max_connections or self.open_count < self.caller.max_connections:
            self.connect(asked)
        else:
            self.waiting.append(asked)

    def connect(self, asked: _PendingRequest) -> None:
        caller = self.caller
        host, port = caller.address_of(self.sidecar)
        self.open_count += 1
        dial = _ConnectAttempt(self, asked)
        source = (caller.host, 0) if caller.host else None
        dial.connector = caller.reactor.connectTCP(host, port, dial, timeout=None, bindAddress=source)

    def release(self, line: _Connection) -> None:
        """It can carry the next one."""
        if self.waiting:
            line.is_reused = True
            line.send(self.waiting.popleft())
        else:
            self.idle.append(line)

    def remove(self, line: _Connection) -> None:
        if line in self.idle:
            self.idle.remove(line)
        self.connection_closed()

    def connection_closed(self) -> None:
        """There is room for another connection."""
        self.open_count -= 1
        if self.waiting and self.open_count < self.caller.max_connections:
            self.connect(self.waiting.popleft())

    def leave(self, asked: _PendingRequest) -> None:
        line = asked.connection
        if line is not None:
            line.request = asked.connection = None
            self.caller.book.left(self.sidecar, asked.ident)
            line.end()
        elif asked.connect_attempt is not None:
            dial, asked.connect_attempt = asked.connect_attempt, None
            dial.give_up()
        elif asked in self.waiting:
            self.waiting.remove(asked)


class SidecarClient:
    """Implements `models.way.Way` for the callers of one process. `where` gives a sidecar's host and port.

    `host` is the address that connections come from, where the reactor would take another; `most` the
    connections open at once to one sidecar, 0 for as many as it takes.
    """

    def __init__(
        self,
        reactor: Any,
        timers: Timers,
        book: Book,
        request_format: RequestFormat,
        address_of: Callable[[str], tuple[str, int]],
        host: str = "",
        max_connections: int = 0,
    ) -> None:
        self.reactor = reactor
        self.timers = timers
        self.book = book
        self.request_format = request_format
        self.address_of = address_of
        self.host = host
        self.max_connections = max_connections
        self.pools: dict[str, _ConnectionPool] = {}

    def ask(
        self, sidecar: str, ident: str, index: int, left: float, key: str, repeat: bool, done: Done
    ) -> Asked:
        pool = self.pools.get(sidecar)
        if pool is None:
            pool = self.pools[sidecar] = _ConnectionPool(self, sidecar)
        asked = _PendingRequest(pool, ident, index, self.timers.now() + left, key, repeat, done)
        pool.submit(asked)
        return asked

    def close(self) -> None:
        """End the connections that carry nothing."""
        for pool in self.pools.values():
            for line in list(pool.idle):
                line.end()
