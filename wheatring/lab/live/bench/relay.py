"""The floor of this runtime: a relay on the same reactor that passes bytes on and reads none of them.

    python -m wheatring.lab.live.bench.relay HOST UPSTREAM_HOST UPSTREAM_PORT

prints `listening port=PORT`. Each connection that comes gets one of its own to the upstream.
"""

from __future__ import annotations

import sys
from typing import Any

from twisted.internet import reactor as installed
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from wheatring.http1.connection import Transport

reactor: Any = installed


class End(Protocol):
    """One of two connections that belong together."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, other: End | None = None) -> None:
        self.other = other
        self.early: list[bytes] = []

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        if self.other is None:
            self.early.append(data)
        else:
            self.other.transport.write(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.other is not None:
            self.other.transport.loseConnection()


class ClientSide(End):
    def connectionMade(self) -> None:
        super().connectionMade()
        reactor.connectTCP(sys.argv[2], int(sys.argv[3]), Dial(self))


class UpstreamSide(End):
    def connectionMade(self) -> None:
        super().connectionMade()
        assert self.other is not None
        self.other.other = self
        self.transport.write(b"".join(self.other.early))


class Dial(ClientFactory):
    noisy = False

    def __init__(self, near: ClientSide) -> None:
        self.near = near

    def buildProtocol(self, addr: object) -> UpstreamSide:
        return UpstreamSide(self.near)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.near.transport.loseConnection()


def main() -> None:
    port = reactor.listenTCP(0, ServerFactory.forProtocol(ClientSide), interface=sys.argv[1], backlog=511)
    print(f"listening port={port.getHost().port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
