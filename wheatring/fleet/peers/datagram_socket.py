"""The UDP socket of one sidecar, and its counts."""

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

LOG_INTERVAL_SECONDS = 60.0  # between two log lines of one cause


class DatagramSocket(protocol.DatagramProtocol):
    """Sends and receives the datagrams of one sidecar; counts them, and those dropped by cause.

    `on_message` is called with each message accepted: its sender's name, its source address, the message.
    """

    transport: Any

    def __init__(
        self, clock: Clock, codec: DatagramCodec, on_message: Callable[[str, Address, Any], object]
    ) -> None:
        self.clock = clock
        self.codec = codec
        self.on_message = on_message
        self.dropped: Counter[str] = Counter()  # datagrams, by cause
        self.logged_at: dict[str, float] = {}  # monotonic seconds of the last log line, by cause
        self.sent = self.sent_bytes = self.received = self.received_bytes = 0

    def datagramReceived(self, data: bytes, addr: Address) -> None:  # noqa: N802 - Twisted's name
        """Decode a datagram and hand its message on, or count why not."""
        try:
            sender, message = self.codec.decode(self.clock.now(), data)
        except DatagramRejectedError as rejected:
            self.drop(rejected.cause, f"{addr[0]}:{addr[1]}")
            return
        self.received += 1
        self.received_bytes += len(data)
        self.on_message(sender, addr, message)

    def drop(self, cause: str, peer: str) -> None:
        """Count a datagram that is dropped; log it unless one of the same cause was logged a moment ago."""
        self.dropped[cause] += 1
        now = self.clock.now()
        if now - self.logged_at.get(cause, -LOG_INTERVAL_SECONDS) >= LOG_INTERVAL_SECONDS:
            self.logged_at[cause] = now
            log.line("peer-dropped", cause=cause, peer=peer, so_far=self.dropped[cause])

    def send(self, address: Address, message: Any) -> None:
        """Send a message, unless the socket is closed or the message too large: senders expect losses."""
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
        except OSError as error:  # no network, or a full buffer: the same to the receiver as a lost datagram
            self.drop("unsent", f"{address[0]}:{address[1]}: {error.strerror}")

    def connectionRefused(self) -> None:  # noqa: N802 - Twisted's name
        """Ignore that a peer's port is closed: the membership finds that out by itself."""
