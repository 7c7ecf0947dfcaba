"""A link for connections: a port that opens a connection to its target for each one that it accepts."""

from __future__ import annotations

import socket
import time
from random import Random
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol, IReadDescriptor
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from wheatring.lab.live.links.link_state import MAX_BUFFERED_BYTES, NO_FAULT, DelayLine, LinkState

BACKLOG = 511
ACCEPTS_PER_READ = 20  # maximum number of connections accepted in one reactor iteration
FILLERS = 3  # connects to the own port that fill its accept queue, so that the kernel ignores further ones


@implementer(IHalfCloseableProtocol)
class End(Protocol):
    """One connection of a pair: the near one was accepted, the far one was opened to the target."""

    transport: Any

    def __init__(self, pair: ConnectionPair, near: bool) -> None:
        self.pair = pair
        self.near = near
        self.delay_line = DelayLine(pair.link_port.random)  # delays the data received here
        self.timer: Any = None
        self.paused = False
        self.reset = False  # whether it ended with a reset
        self.is_lost = False
        self.read_closed = self.write_closed = False  # half-closed for reading, and for writing
        self.is_connected = False

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Notify the pair that this end is connected."""
        self.is_connected = True
        self.transport.setTcpNoDelay(True)
        self.pair.on_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Forward data, immediately or as the link's state demands."""
        pair = self.pair
        state = pair.link_port.state
        if state is NO_FAULT and not self.delay_line.queue and pair.is_complete:
            pair.other(self).transport.write(data)
            return
        self.delay_line.put(time.monotonic(), data, state)
        if self.delay_line.buffered_bytes > MAX_BUFFERED_BYTES and not self.paused:
            self.paused = True
            self.transport.pauseProducing()
        self.flush()

    def flush(self) -> None:
        """Forward the data that is due, and schedule the rest."""
        pair = self.pair
        if not pair.is_complete or pair.is_closed or not pair.link_port.state.passes(self.near):
            return
        data = self.delay_line.take(time.monotonic())
        other = pair.other(self)
        if data:
            other.transport.write(data)
        if self.paused and self.delay_line.buffered_bytes <= MAX_BUFFERED_BYTES // 2 and not self.is_lost:
            self.paused = False
            self.transport.resumeProducing()
        due = self.delay_line.next
        if due is None:
            if self.is_lost:
                pair.close_end(other, self.reset)
            elif self.read_closed and not other.write_closed:
                other.write_closed = True
                other.transport.unregisterProducer()
                other.transport.loseWriteConnection()
                other.close_if_done()
                self.close_if_done()
        elif self.timer is None or not self.timer.active():
            wait = max(0.0, due - time.monotonic())
            self.timer = pair.link_port.reactor.callLater(wait, self.flush)

    def readConnectionLost(self) -> None:  # noqa: N802 - Twisted's name
        """Forward the half-close of this end once its data is delivered."""
        self.read_closed = True
        self.flush()

    def writeConnectionLost(self) -> None:  # noqa: N802 - Twisted's name
        """Do nothing: data of the other direction is still delivered."""
        pass

    def close_if_done(self) -> None:
        """Close the connection once both directions are closed."""
        if self.read_closed and self.write_closed and not self.is_lost:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802 - Twisted's name
        """Record that this end is closed, and whether by a reset."""
        self.is_lost = True
        self.reset = not isinstance(reason.value, ConnectionDone)
        self.pair.on_lost(self)


class ConnectionPair:
    """An accepted connection, and the one to the target that was opened for it."""

    def __init__(self, link_port: LinkPort) -> None:
        self.link_port = link_port
        self.near = End(self, near=True)
        self.far = End(self, near=False)
        self.is_complete = False  # both ends are connected
        self.is_closed = False

    def other(self, end: End) -> End:
        """Return the other end."""
        return self.far if end.near else self.near

    def on_connected(self, end: End) -> None:
        """Open the far end for a near one; join both once the far end is connected."""
        link_port = self.link_port
        link_port.pairs[self] = None
        if end.near:
            link_port.accepted_count += 1
            link_port.reactor.connectTCP(*link_port.target, _FarEndFactory(self), timeout=None)
            return
        self.is_complete = True
        if self.is_closed or (self.near.is_lost and self.near.reset):
            end.transport.abortConnection()
            return
        # Backpressure: each end is read only as fast as the other can write.
        for end in (self.near, self.far):
            if not end.is_lost and not end.write_closed:
                end.transport.registerProducer(self.other(end).transport, True)
        self.near.flush()

    def on_connect_failed(self) -> None:
        """Reset the near end, as the connect to the target failed."""
        self.is_closed = True
        self.near.transport.abortConnection()

    def on_lost(self, end: End) -> None:
        """Handle the loss of an end."""
        if self.is_closed or not self.is_complete:
            if self.near.is_lost and (self.is_closed or not self.far.is_connected):
                self.link_port.pairs.pop(self, None)
            return
        end.flush()

    def close_end(self, end: End, reset: bool) -> None:
        """Close or reset an end after the other one has ended and its data is delivered."""
        self.is_closed = True
        self.link_port.pairs.pop(self, None)
        if not end.is_lost:
            end.transport.unregisterProducer()
            if reset:
                end.transport.abortConnection()
            else:
                end.transport.loseConnection()

    def abort(self) -> None:
        """Reset both ends."""
        self.is_closed = True
        self.link_port.pairs.pop(self, None)
        for end in (self.near, self.far):
            if end.is_connected and not end.is_lost:
                end.transport.abortConnection()


class _FarEndFactory(ClientFactory):
    noisy = False

    def __init__(self, pair: ConnectionPair) -> None:
        self.pair = pair

    def buildProtocol(self, addr: object) -> End:  # noqa: N802, ARG002 - Twisted's name
        """Return the far end of the pair."""
        return self.pair.far

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802, ARG002 - Twisted's name
        """Reset the near end."""
        self.pair.on_connect_failed()


def _bind_socket(host: str) -> socket.socket:
    """Return a socket bound explicitly to a port that the kernel has chosen before.

    With an implicitly chosen port (bind to port 0) the kernel releases it once the socket stops listening.
    """
    with socket.socket() as probe:
        probe.bind((host, 0))
        port = probe.getsockname()[1]
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setblocking(False)
    try:
        bound.bind((host, port))
    except OSError:  # another process got the port in the meantime
        bound.close()
        return _bind_socket(host)
    return bound


@implementer(IReadDescriptor)
class LinkPort(ServerFactory):
    """Accepts the connections of a link.

    The kernel chooses the port, which stays bound, so that no other process gets it while it is closed.
    Listening and accepting are done here rather than by a port of the reactor, as such a port stops only in
    the next reactor iteration and can't leave connects hanging.
    """

    noisy = False

    def __init__(self, reactor: Any, host: str, random: Random) -> None:
        self.reactor = reactor
        self.host = host
        self.random = random
        self.target: tuple[str, int] = (host, 0)
        self.bound = _bind_socket(host)
        self.port: int = self.bound.getsockname()[1]
        self.state = NO_FAULT
        self.is_open = False
        self.pairs: dict[ConnectionPair, None] = {}
        self.accepted_count = 0  # connections accepted so far
        self.fillers: list[socket.socket] = []
        self.filler_addresses: set[tuple[str, int]] = set()  # their local addresses

    def buildProtocol(self, addr: Any) -> End:  # noqa: N802, ARG002 - Twisted's name
        """Create a pair, and return its near end."""
        return ConnectionPair(self).near

    # Called by the reactor

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return self.bound.fileno()

    def doRead(self) -> None:  # noqa: N802 - Twisted's name
        """Accept connections."""
        for _ in range(ACCEPTS_PER_READ):
            try:
                accepted, address = self.bound.accept()
            except OSError:  # the accept queue is empty
                return
            with accepted:
                if address in self.filler_addresses:
                    self.filler_addresses.discard(address)  # a client may get the same local port later
                else:
                    accepted.setblocking(False)
                    self.reactor.adoptStreamConnection(accepted.fileno(), socket.AF_INET, self)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        """Do nothing: the reactor is stopping."""

    def logPrefix(self) -> str:  # noqa: N802 - Twisted's name
        """Return the prefix for the reactor's log."""
        return "link port"

    # State

    def open(self) -> None:
        """Accept connects."""
        if not self.is_open:
            self.is_open = True
            self._apply_connects()

    def close(self) -> None:
        """Refuse connects; open connections are kept."""
        if self.is_open:
            self.is_open = False
            self.reactor.removeReader(self)
            self._close_fillers()
            self.filler_addresses.clear()
            self.bound.shutdown(socket.SHUT_RDWR)  # stops listening; the socket stays bound

    def set(self, state: LinkState) -> None:
        """Set the state of the link."""
        before, self.state = self.state, NO_FAULT if state == NO_FAULT else state
        if self.is_open and before.connects != state.connects:
            self._apply_connects()
        for pair in list(self.pairs):
            pair.near.flush()
            pair.far.flush()

    def _apply_connects(self) -> None:
        """Accept connects or leave them hanging, as the state demands.

        With a full accept queue the kernel drops further SYNs, so that clients get no answer, as from a
        machine that is cut off.
        """
        if self.state.connects:
            self.bound.listen(BACKLOG)
            self.reactor.addReader(self)
            self._close_fillers()
            return
        self.reactor.removeReader(self)
        self.bound.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.filler_addresses.add(filler.getsockname())
            self.fillers.append(filler)

    def _close_fillers(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def reset(self) -> None:
        """Reset all connections."""
        for pair in list(self.pairs):
            pair.abort()
