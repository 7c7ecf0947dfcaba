"""The lower bound of this runtime: a relay on the same reactor that forwards bytes without parsing them.

    python -m wheatring.lab.live.bench.relay HOST UPSTREAM_HOST UPSTREAM_PORT

prints `listening port=PORT`. Each accepted connection gets a connection of its own to the upstream.
"""

from __future__ import annotations

import sys
from typing import Any

from twisted.internet import reactor as installed
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from wheatring.daemon.http1.connection import Transport

reactor: Any = installed


class RelayConnection(Protocol):
    """One connection of a relayed pair; buffers data until the other one is established."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, other: RelayConnection | None = None) -> None:
        self.other = other
        self.pending: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Disable Nagle's algorithm."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Forward data, or buffer it until the other connection is established."""
        if self.other is None:
            self.pending.append(data)
        else:
            self.other.transport.write(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, ARG002 - Twisted's signature
        """Close the other connection too."""
        if self.other is not None:
            self.other.transport.loseConnection()


class ClientSide(RelayConnection):
    """The connection from the client."""

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Connect to the upstream."""
        super().connectionMade()
        reactor.connectTCP(sys.argv[2], int(sys.argv[3]), UpstreamFactory(self))


class UpstreamSide(RelayConnection):
    """The connection to the upstream."""

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Join the pair, and forward the data that the client has sent so far."""
        super().connectionMade()
        assert self.other is not None
        self.other.other = self
        self.transport.write(b"".join(self.other.pending))


class UpstreamFactory(ClientFactory):
    """Creates the upstream connection for one client connection."""

    noisy = False

    def __init__(self, client_side: ClientSide) -> None:
        self.client_side = client_side

    def buildProtocol(self, addr: object) -> UpstreamSide:  # noqa: N802, ARG002 - Twisted's signature
        """Return the connection to the upstream."""
        return UpstreamSide(self.client_side)

    def clientConnectionFailed(  # noqa: N802 - Twisted's name
        self,
        connector: object,  # noqa: ARG002 - Twisted's signature
        reason: Failure,  # noqa: ARG002 - Twisted's signature
    ) -> None:
        """Close the client's connection if the upstream can't be reached."""
        self.client_side.transport.loseConnection()


def main() -> None:
    """Run the relay until the process is terminated."""
    port = reactor.listenTCP(0, ServerFactory.forProtocol(ClientSide), interface=sys.argv[1], backlog=511)
    print(f"listening port={port.getHost().port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
