"""Discovery's face on HTTP/1.1, with answers in JSON."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet import protocol
from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure

from wheatring.lab.book import Book
from wheatring.lab.models.discovery import Answer, Call, Listed, Registry
from wheatring.lab.models.form import ADDRESS, as_json
from wheatring.lab.wire.http import Cutter, Malformed, Message

FAILED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
BREAK = 0.01  # seconds from the head of an answer that breaks off to its reset
BAD = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
UNKNOWN = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class BadCall(ValueError):
    """A call that can't be answered; the text says why."""


def parse(target: bytes) -> tuple[int | None, float]:
    """The version that a call holds (None: it wants the whole list) and the seconds that it may wait."""
    path, _, query = target.partition(b"?")
    if path != b"/v1/servers":
        raise BadCall("no such path")
    values: dict[bytes, int] = {}
    for part in query.split(b"&") if query else []:
        name, _, value = part.partition(b"=")
        if name not in (b"index", b"wait") or name in values or not value.isdigit() or len(value) > 15:
            raise BadCall(f"query: {part.decode('latin-1')}")
        values[name] = int(value)
    if b"wait" in values and b"index" not in values:
        raise BadCall("a wait for nothing")
    return values.get(b"index"), values.get(b"wait", 0) / 1000


def body(answer: Answer, address: Callable[[Listed], str] = ADDRESS) -> bytes:
    return msgspec.json.encode(as_json(answer, address))


class _Connection(protocol.Protocol):
    """One connection, kept from call to call."""

    transport: Any

    def __init__(self, peer: DiscoveryPeer, sidecar: str) -> None:
        self.peer = peer
        self.sidecar = sidecar
        self.cutter = Cutter(responses=False)
        self.call: Call | None = None
        self.keep_alive = True
        self.over = False

    def connectionMade(self) -> None:
        self.peer.connections[self] = None
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        if self.over:
            return
        try:
            message = self.cutter.feed(data)
            if message is not None and (self.call is not None or self.cutter.started):
                raise Malformed("a call before the last one's answer")
            if message is not None:
                self._take(message)
        except (Malformed, BadCall) as bad:
            self.peer.book.note("bad-call", sidecar=self.sidecar, why=str(bad))
            self._end()
            self._write(BAD, False)

    def _take(self, message: Message) -> None:
        if message.method != b"GET" or not message.target.startswith(b"/v1/servers"):
            self._write(UNKNOWN, message.keep_alive)
            return
        index, wait = parse(message.target)
        self.keep_alive = message.keep_alive
        self.call = self.peer.registry.call(self.sidecar, index, wait, self._answered)

    def _answered(self, answer: Answer | None) -> None:
        call, self.call = self.call, None
        if answer is not None:
            data = body(answer, self.peer.address)
            self._write(HEAD % len(data) + data, self.keep_alive)
        elif call is not None and call.broken and not self.over:
            self.over = True
            self.transport.write(HEAD % 1000)
            # A reset at once would take the head along, unsent.
            timers = self.peer.registry.timers
            timers.at(timers.now() + BREAK, self.transport.abortConnection)
        else:
            self._write(FAILED, self.keep_alive)

    def _write(self, data: bytes, keep_alive: bool) -> None:
        if self.over:
            return
        self.transport.write(data)
        if not keep_alive:
            self.over = True
            self.transport.loseConnection()

    def _end(self) -> None:
        call, self.call = self.call, None
        if call is not None:
            call.cancel()

    def reset(self) -> None:
        """Discovery is down."""
        self.over = True
        self._end()
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.over = True
        self.peer.connections.pop(self, None)
        self._end()


class DiscoveryPeer(ServerFactory):
    """Listens for the registry by `listen`, which opens a port for a factory. While the registry is down, the
    port is closed. Which sidecar a connection belongs to is told by its host (`whose`). `address` says where
    its sidecars find a node, where that is not the address that the registry knows.
    """

    noisy = False

    def __init__(
        self,
        registry: Registry,
        book: Book,
        whose: Callable[[str], str],
        listen: Callable[[ServerFactory], Any],
        address: Callable[[Listed], str] = ADDRESS,
    ) -> None:
        self.registry = registry
        self.book = book
        self.whose = whose
        self.listen = listen
        self.address = address
        self.connections: dict[_Connection, None] = {}
        self.port: Any = None
        registry.on_down.append(self._turned)
        self._turned(registry.refuses)

    def buildProtocol(self, addr: Any) -> _Connection:
        return _Connection(self, self.whose(addr.host))

    def shut(self) -> None:
        """It is here no more."""
        self.registry.on_down.remove(self._turned)
        self._turned(True)

    def _turned(self, down: bool) -> None:
        if not down:
            self.port = self.listen(self)
            return
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()
        for connection in list(self.connections):
            connection.reset()
