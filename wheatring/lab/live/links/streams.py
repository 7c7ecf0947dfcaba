"""Connections between the parties of the datagram links, on the same port numbers and with the same states.

The connecting party is identified by its host. While a link is cut, the bytes of its connections are held
back, as TCP would retransmit them; delays apply as for datagrams.
"""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from wheatring.lab.live.links.link_state import NO_FAULT, DelayLine

BLOCKED_CHECK_SECONDS = 0.05  # interval of the checks whether a cut link delivers again
FLUSH_SECONDS = 0.002  # interval of the checks for data that is due


class _StreamEnd(Protocol):
    """One connection of a pair; data received here is written to the other one."""

    transport: Any

    def __init__(self, stream_port: StreamPort, link: tuple[str, str]) -> None:
        self.stream_port = stream_port
        self.link = link  # source and destination of the data received here
        self.other: _StreamEnd | None = None
        self.delay_line = DelayLine(stream_port.switch.random)
        self.is_closed = False
        self.timer: Any = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Delay data as the link's state demands."""
        self.delay_line.put(time.monotonic(), data, self.stream_port.switch.states.get(self.link, NO_FAULT))
        self.flush()

    def flush(self) -> None:
        """Write the data that is due to the other end, unless the link is cut."""
        other, switch = self.other, self.stream_port.switch
        passes = switch.states.get(self.link, NO_FAULT).forward
        if other is not None and other.transport is not None and passes:
            data = self.delay_line.take(time.monotonic())
            if data:
                other.transport.write(data)
            if self.is_closed and self.delay_line.next is None:
                other.transport.loseConnection()
                return
        if (self.delay_line.next is not None or self.is_closed) and (
            self.timer is None or not self.timer.active()
        ):
            self.timer = switch.reactor.callLater(
                FLUSH_SECONDS if passes else BLOCKED_CHECK_SECONDS, self.flush
            )

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, ARG002 - Twisted's name
        """Close the other connection once all data is written to it."""
        self.is_closed = True
        if self.other is not None and self.other.is_closed:
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            return
        self.flush()


class _FarEnd(_StreamEnd):
    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Write the data that the other end has received so far."""
        if self.other is not None:
            self.other.flush()


class _FarEndFactory(ClientFactory):
    noisy = False

    def __init__(self, near: _StreamEnd) -> None:
        self.near = near

    def buildProtocol(self, addr: object) -> Protocol:  # noqa: N802, ARG002 - Twisted's name
        """Create the far end, and join it with the near one."""
        stream_port, (source, other) = self.near.stream_port, self.near.link
        far = _FarEnd(stream_port, (other, source))
        far.other, self.near.other = self.near, far
        return far

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802, ARG002 - Twisted's name
        """Reset the near end."""
        if self.near.transport is not None:
            self.near.transport.abortConnection()


class StreamPort(ServerFactory):
    """Accepts connections on the port number of a party's datagram port; `switch` is a `datagrams.Switch`."""

    noisy = False

    def __init__(self, switch: Any, party: str, host: str, port: int) -> None:
        self.switch = switch
        self.party = party
        switch.reactor.listenTCP(port, self, interface=host)

    def buildProtocol(self, addr: Any) -> Protocol | None:  # noqa: N802 - Twisted's name
        """Accept a connection from a known party, and open one to this port's party."""
        target = self.switch.ports[self.party].target
        sender = next((d.party for d in self.switch.ports.values() if d.host == addr.host), None)
        if sender is None or not target[1]:
            return None
        near = _StreamEnd(self, (sender, self.party))
        # The other end sees the relay's own source address, not the host of the sender.
        self.switch.reactor.connectTCP(*target, _FarEndFactory(near), timeout=None)
        return near
