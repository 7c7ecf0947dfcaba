"""Bodies between sidecars: TCP, on the address and port that datagrams go to.

    asker   2 bytes length, then a sealed `Want`
    giver   1 byte: 1 here it is, 0 I have none; then 4 bytes length, and the body

The digest that is asked for tells whether the body that comes is the right one, whole. A connection serves
one body. Who asks is known by its seal; a seal of its own, so that a body that waits is not taken for an old
datagram.
"""

from __future__ import annotations

from collections.abc import Callable
from struct import Struct as Packed
from typing import Any

from msgspec import Struct
from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.python.failure import Failure

from wheatring import log
from wheatring.core.clock import Clock, Timer
from wheatring.lease.bodies import LARGEST, Fetch, digest
from wheatring.peers.datagram_codec import MAX_DATAGRAM_BYTES as DATAGRAM
from wheatring.peers.datagram_codec import DatagramCodec, DatagramRejectedError

PATIENCE = 5.0  # seconds for one body
GIVEN, ASKED = 12, 4  # connections at once: to give bodies, and to ask for them
WAITING = 16  # fetches that wait for a place
_ASK, _GIVE = Packed(">H"), Packed(">BI")


class BodyRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="want"):
    digest: bytes


class _Line(protocol.Protocol):
    """What both ends are: bounded in time and bytes."""

    transport: Any

    def __init__(self, streams: BodyTransfers) -> None:
        self.streams = streams
        self.taken = bytearray()
        self.late: Timer | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        clock = self.streams.clock
        self.late = clock.at(clock.now() + PATIENCE, self.transport.abortConnection)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        if self.late is not None and self.late.active():
            self.late.cancel()


class _Giver(_Line):
    def connectionMade(self) -> None:
        if len(self.streams.givers) >= GIVEN:
            self.transport.abortConnection()
            return
        self.streams.givers.add(self)
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:
        self.taken += data
        if len(self.taken) < _ASK.size:
            return
        (length,) = _ASK.unpack_from(self.taken)
        if length > DATAGRAM or len(self.taken) > _ASK.size + length:
            self.transport.abortConnection()
        elif len(self.taken) == _ASK.size + length:
            body = self.streams.given(bytes(self.taken[_ASK.size :]))
            if body is None:
                self.transport.write(_GIVE.pack(0, 0))
            else:
                self.transport.write(_GIVE.pack(1, len(body)) + body)
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        super().connectionLost(reason)
        self.streams.givers.discard(self)


class _Asker(_Line):
    def __init__(self, streams: BodyTransfers, fetch: Fetch) -> None:
        super().__init__(streams)
        self.fetch = fetch
        self.body: bytes | None = None

    def connectionMade(self) -> None:
        super().connectionMade()
        word = self.streams.seal.encode(BodyRequest(self.fetch.digest))
        self.transport.write(_ASK.pack(len(word)) + word)

    def dataReceived(self, data: bytes) -> None:
        self.taken += data
        if len(self.taken) < _GIVE.size:
            return
        there, length = _GIVE.unpack_from(self.taken)
        if not there or length > LARGEST or len(self.taken) > _GIVE.size + length:
            self.transport.abortConnection()
        elif len(self.taken) == _GIVE.size + length:
            body = bytes(self.taken[_GIVE.size :])
            if digest(body) == self.fetch.digest:
                self.body = body
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        super().connectionLost(reason)
        self.streams.done(self.fetch, self.body)


class BodyTransfers(protocol.ServerFactory):
    """`held` gives a body, `came` is told what came of each fetch."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        seal: DatagramCodec,
        held: Callable[[bytes], bytes | None],
        came: Callable[[bytes, bytes | None], object],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.seal = seal
        self.held = held
        self.came = came
        self.givers: set[_Giver] = set()
        self.asking: dict[bytes, Fetch] = {}
        self.waiting: dict[bytes, Fetch] = {}
        self.port: Any = None
        self.host = ""
        self.over = False
        self.taken = self.given_bytes = 0

    def buildProtocol(self, addr: object) -> _Giver:
        return _Giver(self)

    def listen(self, host: str, port: int) -> None:
        self.host = host
        self.port = self.reactor.listenTCP(port, self, interface=host)

    def given(self, sealed: bytes) -> bytes | None:
        try:
            _, word = self.seal.decode(self.clock.now(), sealed)
        except DatagramRejectedError as bad:
            log.line("peer-dropped", cause=bad.cause, peer="stream", so_far=1)
            return None
        body = self.held(word.digest)
        self.given_bytes += len(body or b"")
        return body

    def fetch(self, fetch: Fetch) -> None:
        """Ask for a body. One that is asked for already is not asked for twice."""
        if self.over or fetch.digest in self.asking or fetch.digest in self.waiting:
            return
        if len(self.asking) >= ASKED:
            if len(self.waiting) < WAITING:
                self.waiting[fetch.digest] = fetch
            return
        self.asking[fetch.digest] = fetch
        line = _Asker(self, fetch)
        point = TCP4ClientEndpoint(
            self.reactor, *fetch.address, timeout=int(PATIENCE), bindAddress=(self.host, 0)
        )
        made: Deferred[Any] = connectProtocol(point, line)  # type: ignore[no-untyped-call]
        made.addErrback(lambda why: self.done(fetch, None))

    def done(self, fetch: Fetch, body: bytes | None) -> None:
        if self.asking.pop(fetch.digest, None) is None or self.over:
            return
        self.taken += len(body or b"")
        if self.waiting:
            self.fetch(self.waiting.pop(next(iter(self.waiting))))
        self.came(fetch.digest, body)

    def close(self) -> None:
        self.over = True
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        for giver in list(self.givers):
            giver.transport.abortConnection()
