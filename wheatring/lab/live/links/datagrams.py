"""A link that carries datagrams, each way by a socket of its own.

What comes to `a>b`'s door leaves from the door of `b>a`, so that an answer goes by the link of its own way.
"""

from __future__ import annotations

import time
from random import Random
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from wheatring.lab.live.links.state import PLAIN, State, datagram


class DatagramDoor(DatagramProtocol):
    """Its port is the kernel's choice. `partner` is the door of the way back."""

    transport: Any

    def __init__(self, reactor: Any, host: str, random: Random) -> None:
        self.reactor = reactor
        self.host = host
        self.random = random
        self.target: tuple[str, int] = (host, 0)
        self.state = PLAIN
        self.partner: DatagramDoor | None = None
        self.taken = self.passed = 0
        self.listening = reactor.listenUDP(0, self, interface=host)
        self.port: int = self.listening.getHost().port

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        self.taken += 1
        now = time.monotonic()
        for due in datagram(now, self.state, True, self.random):
            if due > now:
                self.reactor.callLater(due - now, self.leave, data)
            else:
                self.leave(data)

    def leave(self, data: bytes) -> None:
        if self.partner is not None and self.partner.transport is not None and self.target[1]:
            self.passed += 1
            self.partner.transport.write(data, self.target)

    def set(self, state: State) -> None:
        self.state = state
