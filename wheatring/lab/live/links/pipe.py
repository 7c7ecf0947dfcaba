"""A link that carries connections: a door, and two connections for each that comes."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from wheatring.lab.live.links.state import MOST_HELD, PLAIN, Lane, State

BACKLOG = 511
FILLERS = 3  # connects of our own that fill a door's queue, so that the kernel answers no further ones


class End(Protocol):
    """One of the two connections of a pipe: the near one came, the far one was made for it."""

    transport: Any

    def __init__(self, pipe: Pipe, near: bool) -> None:
        self.pipe = pipe
        self.near = near
        self.lane = Lane(pipe.door.random)  # of what came in here
        self.timer: Any = None
        self.paused = False
        self.reset = False  # how it ended
        self.gone = False
        self.up = False

    def connectionMade(self) -> None:
        self.up = True
        self.transport.setTcpNoDelay(True)
        self.pipe.came_up(self)

    def dataReceived(self, data: bytes) -> None:
        pipe = self.pipe
        state = pipe.door.state
        if state is PLAIN and not self.lane.queue and pipe.whole:
            pipe.other(self).transport.write(data)
            return
        self.lane.put(time.monotonic(), data, state)
        if self.lane.held > MOST_HELD and not self.paused:
            self.paused = True
            self.transport.pauseProducing()
        self.flush()

    def flush(self) -> None:
        """Pass on what has arrived at the other end by now, and see to the rest when it does."""
        pipe = self.pipe
        if not pipe.whole or pipe.over or not pipe.door.state.passes(self.near):
            return
        data = self.lane.take(time.monotonic())
        other = pipe.other(self)
        if data:
            other.transport.write(data)
        if self.paused and self.lane.held <= MOST_HELD // 2 and not self.gone:
            self.paused = False
            self.transport.resumeProducing()
        due = self.lane.next
        if due is None:
            if self.gone:
                pipe.end(other, self.reset)
        elif self.timer is None or not self.timer.active():
            wait = max(0.0, due - time.monotonic())
            self.timer = pipe.door.reactor.callLater(wait, self.flush)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.gone = True
        self.reset = not isinstance(reason.value, ConnectionDone)
        self.pipe.lost(self)


class Pipe:
    """A connection that came to a door, and the one that was made for it."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.near = End(self, near=True)
        self.far = End(self, near=False)
        self.whole = False  # both are up
        self.over = False

    def other(self, end: End) -> End:
        return self.far if end.near else self.near

    def came_up(self, end: End) -> None:
        door = self.door
        door.pipes[self] = None
        if end.near:
            door.taken += 1
            door.reactor.connectTCP(*door.target, _Dial(self), timeout=None)
            return
        self.whole = True
        if self.over or (self.near.gone and self.near.reset):
            end.transport.abortConnection()
            return
        # Each is read only as fast as the other takes it.
        self.near.transport.registerProducer(self.far.transport, True)
        self.far.transport.registerProducer(self.near.transport, True)
        self.near.flush()

    def unreachable(self) -> None:
        self.over = True
        self.near.transport.abortConnection()

    def lost(self, end: End) -> None:
        if self.over or not self.whole:
            if self.near.gone and (self.over or not self.far.up):
                self.door.pipes.pop(self, None)
            return
        end.flush()

    def end(self, end: End, reset: bool) -> None:
        """The news that one end is gone has arrived at the other."""
        self.over = True
        self.door.pipes.pop(self, None)
        if not end.gone:
            end.transport.unregisterProducer()
            if reset:
                end.transport.abortConnection()
            else:
                end.transport.loseConnection()

    def cut_off(self) -> None:
        """Reset both."""
        self.over = True
        self.door.pipes.pop(self, None)
        for end in (self.near, self.far):
            if end.up and not end.gone:
                end.transport.abortConnection()


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, pipe: Pipe) -> None:
        self.pipe = pipe

    def buildProtocol(self, addr: object) -> End:
        return self.pipe.far

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.pipe.unreachable()


class Door(ServerFactory):
    """Where a link's connections come in. Its port is the kernel's choice at the first opening, and kept."""

    noisy = False

    def __init__(self, reactor: Any, host: str, random: Random) -> None:
        self.reactor = reactor
        self.host = host
        self.random = random
        self.target: tuple[str, int] = (host, 0)
        self.port = 0
        self.state = PLAIN
        self.listening: Any = None
        self.pipes: dict[Pipe, None] = {}
        self.taken = 0  # connections so far
        self.fillers: list[socket.socket] = []
        self.own: set[tuple[str, int]] = set()  # addresses of these

    def buildProtocol(self, addr: Any) -> End | None:
        if (addr.host, addr.port) in self.own:
            return None  # a filler: closed at once
        return Pipe(self).near

    def open(self) -> None:
        if self.listening is None:
            self.listening = self.reactor.listenTCP(self.port, self, backlog=BACKLOG, interface=self.host)
            self.port = self.listening.getHost().port
            if not self.state.connects:
                self.hang()

    def close(self, then: Callable[[], object] = lambda: None) -> None:
        """Refuse connects; what is open goes on."""
        listening, self.listening = self.listening, None
        self._unfill()
        if listening is not None:
            listening.stopListening()
        then()

    def set(self, state: State) -> None:
        before, self.state = self.state, PLAIN if state == PLAIN else state
        if self.listening is not None and before.connects != state.connects:
            if state.connects:
                self.let_in()
            else:
                self.hang()
        for pipe in list(self.pipes):
            pipe.near.flush()
            pipe.far.flush()

    def hang(self) -> None:
        """Fill the queue of connections that nobody accepts: the kernel then drops what further ones send,
        and who connects hears nothing, as from a machine that is cut off."""
        self.listening.stopReading()
        self.listening.socket.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.own.add(filler.getsockname())
            self.fillers.append(filler)

    def let_in(self) -> None:
        self.listening.socket.listen(BACKLOG)
        self.listening.startReading()
        self._unfill()

    def _unfill(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def reset(self) -> None:
        for pipe in list(self.pipes):
            pipe.cut_off()
