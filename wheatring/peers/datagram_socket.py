"""The datagram socket of one sidecar, and its counts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from wheatring import log
from wheatring.core.clock import Clock
from wheatring.members.members import Address
from wheatring.peers.datagram_codec import DatagramCodec, DatagramRejectedError

APART = 60.0  # seconds between two log lines of one cause


class DatagramSocket(protocol.DatagramProtocol):
    """`heard` is called with what is taken: the sender's name, its address, its word."""

    transport: Any

    def __init__(
        self, clock: Clock, seal: DatagramCodec, heard: Callable[[str, Address, Any], object]
    ) -> None:
        self.clock = clock
        self.seal = seal
        self.heard = heard
        self.dropped: Counter[str] = Counter()
        self.said: dict[str, float] = {}
        self.sent = self.sent_bytes = self.taken = self.taken_bytes = 0

    def datagramReceived(self, data: bytes, addr: Address) -> None:
        try:
            sender, word = self.seal.decode(self.clock.now(), data)
        except DatagramRejectedError as bad:
            self.drop(bad.cause, f"{addr[0]}:{addr[1]}")
            return
        self.taken += 1
        self.taken_bytes += len(data)
        self.heard(sender, addr, word)

    def drop(self, cause: str, peer: str) -> None:
        self.dropped[cause] += 1
        now = self.clock.now()
        if now - self.said.get(cause, -APART) >= APART:
            self.said[cause] = now
            log.line("peer-dropped", cause=cause, peer=peer, so_far=self.dropped[cause])

    def send(self, address: Address, word: Any) -> None:
        if self.transport is None:
            return
        try:
            data = self.seal.encode(word)
        except DatagramRejectedError as bad:
            self.drop(bad.cause, f"{address[0]}:{address[1]}")
            return
        self.sent += 1
        self.sent_bytes += len(data)
        try:
            self.transport.write(data, address)
        except OSError as bad:  # the network is away, or the buffer full: as good as lost on the way
            self.drop("unsent", f"{address[0]}:{address[1]}: {bad.strerror}")

    def connectionRefused(self) -> None:
        """Nobody is there any more: the membership finds that out by itself."""
