"""The UDP socket of one sidecar, and its counters."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from wheatring.common import log
from wheatring.daemon.core.clock import Clock
from wheatring.fleet.members.messages import Address
from wheatring.fleet.peers.datagram_codec import DatagramCodec
from wheatring.fleet.peers.exceptions import DatagramRejectedError

LOG_INTERVAL_SECONDS = 60.0  # the minimum time between two log lines for the same cause


class DatagramSocket(protocol.DatagramProtocol):
    """Sends and receives the datagrams of one sidecar. Counts them, and the dropped ones by cause.

    `on_message` is called for each accepted message, with the sender's name, the source address and the
    message.
    """

    transport: Any

    def __init__(
        self, clock: Clock, codec: DatagramCodec, on_message: Callable[[str, Address, Any], object]
    ) -> None:
        self.clock = clock
        self.codec = codec
        self.on_message = on_message
        self.dropped: Counter[str] = Counter()  # number of datagrams by cause
        self.logged_at: dict[str, float] = {}  # monotonic seconds of the last log line, by cause
        self.sent = self.sent_bytes = self.received = self.received_bytes = 0

    def datagramReceived(self, data: bytes, addr: Address) -> None:  # noqa: N802 - Twisted's name
        """Decode a datagram and deliver its message, or count the cause of its rejection."""
        try:
            sender, message = self.codec.decode(self.clock.now(), data)
        except DatagramRejectedError as rejected:
            self.drop(rejected.cause, f"{addr[0]}:{addr[1]}")
            return
        self.received += 1
        self.received_bytes += len(data)
        self.on_message(sender, addr, message)

    def drop(self, cause: str, peer: str) -> None:
        """Count a dropped datagram; log it at most once per `LOG_INTERVAL_SECONDS` and cause."""
        self.dropped[cause] += 1
        now = self.clock.now()
        if now - self.logged_at.get(cause, -LOG_INTERVAL_SECONDS) >= LOG_INTERVAL_SECONDS:
            self.logged_at[cause] = now
            log.line("peer-dropped", cause=cause, peer=peer, so_far=self.dropped[cause])

    def send(self, address: Address, message: Any) -> None:
        """Send a message; drop it if the socket is closed or the message too large, as a network may."""
        if self.transport is None:
            return
        try:
            data = self.codec.encode(message)
        except DatagramRejectedError as rejected:
            self.drop(rejected.cause, f"{address[0]}:{address[1]}")
            return
        self.sent += 1
        self.sent_bytes += len(data)
        try:
            self.transport.write(data, address)
        except OSError as error:  # no network or a full buffer; treated like a lost datagram
            self.drop("unsent", f"{address[0]}:{address[1]}: {error.strerror}")

    def connectionRefused(self) -> None:  # noqa: N802 - Twisted's name
        """Ignore that a peer's port is closed: failure detection notices the peer's silence."""
