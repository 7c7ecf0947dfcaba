"""A link that carries connections: a port, and for each connection that comes another one to its target."""

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
ACCEPTS_PER_TURN = 20  # connections that are accepted in one turn
FILLERS = 3  # connects of our own that fill a port's queue, so that the kernel answers no further ones


@implementer(IHalfCloseableProtocol)
class End(Protocol):
    """One of the two connections of a pipe: the near one came, the far one was made for it."""

    transport: Any

    def __init__(self, pipe: ConnectionPair, near: bool) -> None:
        self.pipe = pipe
        self.near = near
        self.delay_line = DelayLine(pipe.link_port.random)  # of what came in here
        self.timer: Any = None
        self.paused = False
        self.reset = False  # how it ended
        self.gone = False
        self.read_over = self.write_over = False  # nothing more comes from there, or goes there
        self.up = False

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Tell the pipe that this end is up."""
        self.up = True
        self.transport.setTcpNoDelay(True)
        self.pipe.came_up(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Pass bytes on, at once or as the link's state says."""
        pipe = self.pipe
        state = pipe.link_port.state
        if state is NO_FAULT and not self.delay_line.queue and pipe.is_complete:
            pipe.other(self).transport.write(data)
            return
        self.delay_line.put(time.monotonic(), data, state)
        if self.delay_line.buffered_bytes > MAX_BUFFERED_BYTES and not self.paused:
            self.paused = True
            self.transport.pauseProducing()
        self.flush()

    def flush(self) -> None:
        """Pass on what has arrived at the other end by now, and the rest when it does."""
        pipe = self.pipe
        if not pipe.is_complete or pipe.over or not pipe.link_port.state.passes(self.near):
            return
        data = self.delay_line.take(time.monotonic())
        other = pipe.other(self)
        if data:
            other.transport.write(data)
        if self.paused and self.delay_line.buffered_bytes <= MAX_BUFFERED_BYTES // 2 and not self.gone:
            self.paused = False
            self.transport.resumeProducing()
        due = self.delay_line.next
        if due is None:
            if self.gone:
                pipe.end(other, self.reset)
            elif self.read_over and not other.write_over:
                other.write_over = True
                other.transport.unregisterProducer()
                other.transport.loseWriteConnection()
                other.settle()
                self.settle()
        elif self.timer is None or not self.timer.active():
            wait = max(0.0, due - time.monotonic())
            self.timer = pipe.link_port.reactor.callLater(wait, self.flush)

    def readConnectionLost(self) -> None:  # noqa: N802 - Twisted's name
        """Pass on that nothing more comes from here."""
        self.read_over = True
        self.flush()

    def writeConnectionLost(self) -> None:  # noqa: N802 - Twisted's name
        """Do nothing: what comes the other way goes on."""
        pass

    def settle(self) -> None:
        """Close once both directions are over."""
        if self.read_over and self.write_over and not self.gone:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802 - Twisted's name
        """Pass on that this end has ended, and how."""
        self.gone = True
        self.reset = not isinstance(reason.value, ConnectionDone)
        self.pipe.lost(self)


class ConnectionPair:
    """A connection that came to a port, and the one that was made for it."""

    def __init__(self, link_port: LinkPort) -> None:
        self.link_port = link_port
        self.near = End(self, near=True)
        self.far = End(self, near=False)
        self.is_complete = False  # both are up
        self.over = False

    def other(self, end: End) -> End:
        """Return the other end."""
        return self.far if end.near else self.near

    def came_up(self, end: End) -> None:
        """Connect to the target for the near end; join both once the far end is up."""
        link_port = self.link_port
        link_port.pipes[self] = None
        if end.near:
            link_port.taken += 1
            link_port.reactor.connectTCP(*link_port.target, _Dial(self), timeout=None)
            return
        self.is_complete = True
        if self.over or (self.near.gone and self.near.reset):
            end.transport.abortConnection()
            return
        # Each is read only as fast as the other takes it.
        for end in (self.near, self.far):
            if not end.gone and not end.write_over:
                end.transport.registerProducer(self.other(end).transport, True)
        self.near.flush()

    def unreachable(self) -> None:
        """Reset the near end, as the target can't be reached."""
        self.over = True
        self.near.transport.abortConnection()

    def lost(self, end: End) -> None:
        """Take note that an end is gone."""
        if self.over or not self.is_complete:
            if self.near.gone and (self.over or not self.far.up):
                self.link_port.pipes.pop(self, None)
            return
        end.flush()

    def end(self, end: End, reset: bool) -> None:
        """End this end, as the news that the other one is gone has arrived."""
        self.over = True
        self.link_port.pipes.pop(self, None)
        if not end.gone:
            end.transport.unregisterProducer()
            if reset:
                end.transport.abortConnection()
            else:
                end.transport.loseConnection()

    def cut_off(self) -> None:
        """Reset both ends."""
        self.over = True
        self.link_port.pipes.pop(self, None)
        for end in (self.near, self.far):
            if end.up and not end.gone:
                end.transport.abortConnection()


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, pipe: ConnectionPair) -> None:
        self.pipe = pipe

    def buildProtocol(self, addr: object) -> End:  # noqa: N802, ARG002 - Twisted's name
        """Return the far end of the pipe."""
        return self.pipe.far

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802, ARG002 - Twisted's name
        """Reset the near end."""
        self.pipe.unreachable()


def _bound(host: str) -> socket.socket:
    """Bind a socket to a port of the kernel's choice, by its number.

    The kernel takes back a port that wasn't asked for by number once the socket no longer listens.
    """
    with socket.socket() as first:
        first.bind((host, 0))
        port = first.getsockname()[1]
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setblocking(False)
    try:
        bound.bind((host, port))
    except OSError:  # somebody else was given it in between
        bound.close()
        return _bound(host)
    return bound


@implementer(IReadDescriptor)
class LinkPort(ServerFactory):
    """Where a link's connections come in.

    Its port is the kernel's choice, and bound all the time, so that nobody else gets it while it is
    closed. It listens and accepts itself: what the reactor's own ports offer takes a turn to end, and can't
    leave connects hanging.
    """

    noisy = False

    def __init__(self, reactor: Any, host: str, random: Random) -> None:
        self.reactor = reactor
        self.host = host
        self.random = random
        self.target: tuple[str, int] = (host, 0)
        self.bound = _bound(host)
        self.port: int = self.bound.getsockname()[1]
        self.state = NO_FAULT
        self.is_open = False
        self.pipes: dict[ConnectionPair, None] = {}
        self.taken = 0  # connections so far
        self.fillers: list[socket.socket] = []
        self.own: set[tuple[str, int]] = set()  # addresses of these

    def buildProtocol(self, addr: Any) -> End:  # noqa: N802, ARG002 - Twisted's name
        """Make the near end of a pipe."""
        return ConnectionPair(self).near

    # What the reactor asks of it

    def fileno(self) -> int:
        """Return its descriptor, for the reactor."""
        return self.bound.fileno()

    def doRead(self) -> None:  # noqa: N802 - Twisted's name
        """Accept connections."""
        for _ in range(ACCEPTS_PER_TURN):
            try:
                came, address = self.bound.accept()
            except OSError:  # nobody waits any more
                return
            with came:
                if address in self.own:
                    self.own.discard(address)  # its port may be a caller's next time
                else:
                    came.setblocking(False)
                    self.reactor.adoptStreamConnection(came.fileno(), socket.AF_INET, self)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        """Do nothing: the reactor ends."""

    def logPrefix(self) -> str:  # noqa: N802 - Twisted's name
        """Return its name in the reactor's log."""
        return "link port"

    # Its state

    def open(self) -> None:
        """Take connects."""
        if not self.is_open:
            self.is_open = True
            self._turn()

    def close(self) -> None:
        """Refuse connects; what is open goes on."""
        if self.is_open:
            self.is_open = False
            self.reactor.removeReader(self)
            self._unfill()
            self.own.clear()
            self.bound.shutdown(socket.SHUT_RDWR)  # it listens no more, and stays bound

    def set(self, state: LinkState) -> None:
        """Put the link in a state."""
        before, self.state = self.state, NO_FAULT if state == NO_FAULT else state
        if self.is_open and before.connects != state.connects:
            self._turn()
        for pipe in list(self.pipes):
            pipe.near.flush()
            pipe.far.flush()

    def _turn(self) -> None:
        """Accept connects, or leave them hanging.

        With its queue full of connections that nobody accepts the kernel drops what further ones send, and
        who connects hears nothing, as from a machine cut off.
        """
        if self.state.connects:
            self.bound.listen(BACKLOG)
            self.reactor.addReader(self)
            self._unfill()
            return
        self.reactor.removeReader(self)
        self.bound.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.own.add(filler.getsockname())
            self.fillers.append(filler)

    def _unfill(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def reset(self) -> None:
        """Reset all connections."""
        for pipe in list(self.pipes):
            pipe.cut_off()
