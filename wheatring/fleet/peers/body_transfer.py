"""Transfers bodies between sidecars, over TCP on the address and port of the datagrams.

A body is a payload of `lease.payloads`, such as a plan or a complete membership view.

    requester   2 bytes length, then an authenticated `BodyRequest`
    sender      1 byte: 1 if the body follows, 0 if it is not available; then 4 bytes length, and the body

The requested digest verifies that the received body is correct and complete. A connection transfers one body.
Requests are authenticated by a separate codec with its own sequence numbers, so that a request that was
queued for a connection is not rejected as a replayed datagram.
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

from wheatring.common import log
from wheatring.daemon.core.clock import Clock, Timer
from wheatring.fleet.lease.payloads import MAX_PAYLOAD_BYTES, FetchRequest, digest
from wheatring.fleet.peers.datagram_codec import MAX_DATAGRAM_BYTES, DatagramCodec
from wheatring.fleet.peers.exceptions import DatagramRejectedError

TRANSFER_TIMEOUT_SECONDS = 5.0  # the time-out of the transfer of one body
MAX_SENDERS, MAX_REQUESTERS = 12, 4  # concurrent connections, by direction
MAX_QUEUED = 16  # fetches waiting for a connection; further ones are dropped, their callers retry
_REQUEST_HEAD, _REPLY_HEAD = Packed(">H"), Packed(">BI")


class BodyRequest(Struct, frozen=True, array_like=True, tag_field="w", tag="want"):
    """Asks a member for the body with this digest."""

    digest: bytes


class _BodyConnection(protocol.Protocol):
    """One end of a transfer, aborted after `TRANSFER_TIMEOUT_SECONDS`."""

    transport: Any

    def __init__(self, transfers: BodyTransfers) -> None:
        self.transfers = transfers
        self.buffer = bytearray()
        self.timeout: Timer | None = None

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Start the transfer's time-out."""
        self.transport.setTcpNoDelay(True)
        clock = self.transfers.clock
        self.timeout = clock.at(clock.now() + TRANSFER_TIMEOUT_SECONDS, self.transport.abortConnection)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802, ARG002 - Twisted's
        """Cancel the time-out."""
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()


class _BodySender(_BodyConnection):
    """The accepting end: reads one request, writes one reply."""

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Register the sender, or abort the connection beyond `MAX_SENDERS`."""
        if len(self.transfers.senders) >= MAX_SENDERS:
            self.transport.abortConnection()
            return
        self.transfers.senders.add(self)
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Read the request, and send the requested body."""
        self.buffer += data
        if len(self.buffer) < _REQUEST_HEAD.size:
            return
        (length,) = _REQUEST_HEAD.unpack_from(self.buffer)
        if length > MAX_DATAGRAM_BYTES or len(self.buffer) > _REQUEST_HEAD.size + length:
            self.transport.abortConnection()
        elif len(self.buffer) == _REQUEST_HEAD.size + length:
            body = self.transfers.requested_body(bytes(self.buffer[_REQUEST_HEAD.size :]))
            if body is None:
                self.transport.write(_REPLY_HEAD.pack(0, 0))
            else:
                self.transport.write(_REPLY_HEAD.pack(1, len(body)) + body)
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802 - Twisted's name
        """Unregister the sender."""
        super().connectionLost(reason)
        self.transfers.senders.discard(self)


class _BodyRequester(_BodyConnection):
    """The connecting end: writes one request, reads one reply."""

    def __init__(self, transfers: BodyTransfers, fetch: FetchRequest) -> None:
        super().__init__(transfers)
        self.fetch = fetch
        self.body: bytes | None = None

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Send the request for the body."""
        super().connectionMade()
        request = self.transfers.codec.encode(BodyRequest(self.fetch.digest))
        self.transport.write(_REQUEST_HEAD.pack(len(request)) + request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Read the body, and verify its digest."""
        self.buffer += data
        if len(self.buffer) < _REPLY_HEAD.size:
            return
        has_body, length = _REPLY_HEAD.unpack_from(self.buffer)
        if not has_body or length > MAX_PAYLOAD_BYTES or len(self.buffer) > _REPLY_HEAD.size + length:
            self.transport.abortConnection()
        elif len(self.buffer) == _REPLY_HEAD.size + length:
            body = bytes(self.buffer[_REPLY_HEAD.size :])
            if digest(body) == self.fetch.digest:
                self.body = body
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802 - Twisted's name
        """Finish the fetch, with or without the body."""
        super().connectionLost(reason)
        self.transfers.finish(self.fetch, self.body)


class BodyTransfers(protocol.ServerFactory):
    """Sends bodies that other sidecars request, and fetches bodies from them.

    Parameters
    ----------
    body_of : Callable[[bytes], bytes | None]
        Returns the body with a digest; None if this sidecar doesn't have it.
    on_fetched : Callable[[bytes, bytes | None], object]
        Called once per fetch with its digest, and the body, or None if the fetch failed.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        codec: DatagramCodec,
        body_of: Callable[[bytes], bytes | None],
        on_fetched: Callable[[bytes, bytes | None], object],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.codec = codec
        self.body_of = body_of
        self.on_fetched = on_fetched
        self.senders: set[_BodySender] = set()
        self.fetching: dict[bytes, FetchRequest] = {}  # by digest
        self.queued: dict[bytes, FetchRequest] = {}  # by digest, oldest first
        self.port: Any = None
        self.host = ""
        self.is_closed = False
        self.fetched_bytes = self.sent_bytes = 0

    def buildProtocol(self, addr: object) -> _BodySender:  # noqa: N802, ARG002 - Twisted's name and argument
        """Create the accepting end of a new connection."""
        return _BodySender(self)

    def listen(self, host: str, port: int) -> None:
        """Accept requests; raise CannotListenError if the port is in use."""
        self.host = host
        self.port = self.reactor.listenTCP(port, self, interface=host)

    def requested_body(self, encoded_request: bytes) -> bytes | None:
        """Return the requested body; None if the request is rejected or the body is not available."""
        try:
            _, request = self.codec.decode(self.clock.now(), encoded_request)
        except DatagramRejectedError as rejected:
            log.line("peer-dropped", cause=rejected.cause, peer="stream", so_far=1)
            return None
        body = self.body_of(request.digest)
        self.sent_bytes += len(body or b"")
        return body

    def fetch(self, fetch: FetchRequest) -> None:
        """Fetch a body, now or once a connection is free, unless a fetch of it is in progress already."""
        if self.is_closed or fetch.digest in self.fetching or fetch.digest in self.queued:
            return
        if len(self.fetching) >= MAX_REQUESTERS:
            if len(self.queued) < MAX_QUEUED:
                self.queued[fetch.digest] = fetch
            return
        self.fetching[fetch.digest] = fetch
        endpoint = TCP4ClientEndpoint(
            self.reactor, *fetch.address, timeout=int(TRANSFER_TIMEOUT_SECONDS), bindAddress=(self.host, 0)
        )
        connected: Deferred[Any] = connectProtocol(endpoint, _BodyRequester(self, fetch))  # type: ignore[no-untyped-call]
        connected.addErrback(lambda _: self.finish(fetch, None))

    def finish(self, fetch: FetchRequest, body: bytes | None) -> None:
        """Report the result of a fetch, and start the next queued one."""
        if self.fetching.pop(fetch.digest, None) is None or self.is_closed:
            return
        self.fetched_bytes += len(body or b"")
        if self.queued:
            self.fetch(self.queued.pop(next(iter(self.queued))))
        self.on_fetched(fetch.digest, body)

    def close(self) -> None:
        """Stop listening and abort all senders; results of fetches are no longer reported."""
        self.is_closed = True
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        for sender in list(self.senders):
            sender.transport.abortConnection()
