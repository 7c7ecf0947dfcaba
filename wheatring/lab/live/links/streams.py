"""Connections between the parties that datagrams go between: to the same ports, and by the same links.

Who connects is known by its host. What a link loses or cuts holds a connection's bytes back, as TCP would
send them again later; what it delays comes late.
"""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from wheatring.lab.live.links.link_state import NO_FAULT, DelayLine

BLOCKED_CHECK_SECONDS = 0.05  # between looks at whether buffered bytes may go on
FLUSH_SECONDS = 0.002  # between looks at what has arrived


class _End(Protocol):
    """One of two connections that belong together: what comes here leaves by the other."""

    transport: Any

    def __init__(self, endpoint: StreamPort, way: tuple[str, str]) -> None:
        self.endpoint = endpoint
        self.way = way  # the link that what comes here takes
        self.other: _End | None = None
        self.delay_line = DelayLine(endpoint.switch.random)
        self.ended = False
        self.timer: Any = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Buffer the bytes for as long as the link's state says."""
        self.delay_line.put(time.monotonic(), data, self.endpoint.switch.states.get(self.way, NO_FAULT))
        self.flush()

    def flush(self) -> None:
        """Write what has arrived to the other end, unless the link is cut."""
        other, switch = self.other, self.endpoint.switch
        passes = switch.states.get(self.way, NO_FAULT).forward
        if other is not None and other.transport is not None and passes:
            data = self.delay_line.take(time.monotonic())
            if data:
                other.transport.write(data)
            if self.ended and self.delay_line.next is None:
                other.transport.loseConnection()
                return
        if (self.delay_line.next is not None or self.ended) and (
            self.timer is None or not self.timer.active()
        ):
            self.timer = switch.reactor.callLater(
                FLUSH_SECONDS if passes else BLOCKED_CHECK_SECONDS, self.flush
            )

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, ARG002 - Twisted's name
        """End the other connection once all bytes are written to it."""
        self.ended = True
        if self.other is not None and self.other.ended:
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            return
        self.flush()


class _Made(_End):
    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Write what the other end has sent meanwhile."""
        if self.other is not None:
            self.other.flush()


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, near: _End) -> None:
        self.near = near

    def buildProtocol(self, addr: object) -> Protocol:  # noqa: N802, ARG002 - Twisted's name
        """Make the far end, and join it with the near one."""
        endpoint, (one, other) = self.near.endpoint, self.near.way
        far = _Made(endpoint, (other, one))
        far.other, self.near.other = self.near, far
        return far

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802, ARG002 - Twisted's name
        """Reset the near end."""
        if self.near.transport is not None:
            self.near.transport.abortConnection()


class StreamPort(ServerFactory):
    """Accepts connections beside a party's port for datagrams; `switch` is that of the datagrams."""

    noisy = False

    def __init__(self, switch: Any, party: str, host: str, port: int) -> None:
        self.switch = switch
        self.party = party
        switch.reactor.listenTCP(port, self, interface=host)

    def buildProtocol(self, addr: Any) -> Protocol | None:  # noqa: N802 - Twisted's name
        """Accept a connection of a known party, and connect to this one."""
        target = self.switch.ports[self.party].target
        sender = next((d.party for d in self.switch.ports.values() if d.host == addr.host), None)
        if sender is None or not target[1]:
            return None
        near = _End(self, (sender, self.party))
        # From whose host it comes is to be seen at the other end too.
        self.switch.reactor.connectTCP(*target, _Dial(near), timeout=None)
        return near
