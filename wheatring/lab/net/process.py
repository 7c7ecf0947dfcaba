"""One program on one host: the reactor that its code runs on."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple, Protocol

from twisted.internet.defer import Deferred, fail
from twisted.internet.error import AlreadyCalled, AlreadyCancelled, DNSLookupError
from twisted.internet.interfaces import IReactorTCP, IReactorTime
from twisted.internet.main import CONNECTION_LOST
from twisted.internet.posixbase import _DisconnectSelectableMixin
from twisted.python import failure
from zope.interface import implementer  # type: ignore[import-untyped]

from wheatring.lab.net import handshake
from wheatring.lab.net.sockets import CONNECTED, LISTENING, Socket, SocketHost, SocketNetwork
from wheatring.lab.net.time import Event, VirtualTime
from wheatring.lab.net.transports import Connector, LimitedPort, Port, log_failure

lost: Any = failure.Failure(CONNECTION_LOST)  # type: ignore[no-untyped-call]

WAITING, SOON, CALLED, CANCELLED = range(4)


class ProcessHost(SocketHost, Protocol):
    """The host of a process; see `network.Host`."""

    clock_offset: float
    processes: list[Process]


class ProcessNetwork(SocketNetwork, Protocol):
    """The network of a process; see `network.Network`."""

    time: VirtualTime
    epoch: float
    clock_offset: float


class Delayed:
    """What `callLater` returns: Twisted's IDelayedCall."""

    __slots__ = ("args", "event", "func", "kw", "process", "state", "time")

    def __init__(self, process: Process, time: float, func: Any, args: Any, kw: Any) -> None:
        self.process = process
        self.time = time
        self.func = func
        self.args = args
        self.kw = kw
        self.state = SOON
        self.event: Event | None = None

    def getTime(self) -> float:  # noqa: N802 - Twisted's name
        """Return the instant of the call."""
        return self.time

    def active(self) -> bool:
        """Return whether the call is still to come."""
        return self.state < CALLED

    def cancel(self) -> None:
        """Cancel the call."""
        self._check()
        self.state = CANCELLED
        if self.event is not None:
            self.event.cancel()
        self.func = self.args = self.kw = None

    def reset(self, secondsFromNow: float) -> None:  # noqa: N803 - Twisted's name
        """Put the call off to so many seconds from now."""
        self._check()
        self._move(self.process.seconds() + secondsFromNow)

    def delay(self, secondsLater: float) -> None:  # noqa: N803 - Twisted's name
        """Put the call off by so many seconds."""
        self._check()
        self._move(self.time + secondsLater)

    def _check(self) -> None:
        if self.state == CANCELLED:
            raise AlreadyCancelled
        if self.state == CALLED:
            raise AlreadyCalled

    def _move(self, instant: float) -> None:
        if self.event is not None:
            self.event.cancel()
        elif self in self.process.soon:
            self.process.soon.remove(self)
        self.time = instant
        self.process.put(self)


def waiting(time: VirtualTime) -> dict[Process, list[Delayed]]:
    """Return the calls that are to come later, by process, in their order."""
    found: dict[Process, list[Delayed]] = {}
    for event in time.pending():
        call = event[0]
        process = getattr(call, "__self__", None)
        if isinstance(process, Process):
            found.setdefault(process, []).append(event[1][0])
    return found


class OpenResources(NamedTuple):
    """What a process has not ended itself."""

    timers: list[Delayed]
    ports: list[Socket]
    connections: list[Socket]


@implementer(IReactorTime, IReactorTCP)
class Process(_DisconnectSelectableMixin):
    """The reactor of one program on one host.

    It runs what is due in turns, as a reactor: scheduled calls, then sockets that are ready. No call of one
    that is dead is ever run. An exception in a callback goes to Twisted's log, as on any reactor.

    `descriptors` are the sockets that it holds, in the order in which they were opened.
    """

    def __init__(self, network: ProcessNetwork, host: ProcessHost, name: str) -> None:
        self.network = network
        self.host = host
        self.name = name
        self.time = network.time
        self.seconds = network.time.now
        self.alive = True
        self.stopping = False
        self.on_stop: Callable[[], None] | None = None  # called as it stops, while all that is left is there
        self.descriptors: dict[Socket, None] = {}
        self.most = 0  # descriptors at any time so far
        self.number = count(3).__next__
        self.soon: list[Delayed] = []
        self._ready: list[Any] = []
        self._turning = False

    def unix(self) -> float:
        """Unix time in seconds, as the host's clock tells it."""
        network = self.network
        offset = network.epoch + network.clock_offset + self.host.clock_offset
        return self.time.instant - self.time.start + offset

    # Handshakes

    def start_connect(self, socket: Socket) -> None:
        """Begin the handshake of a socket that connects."""
        handshake.start_connect(socket)

    def complete_handshake(self, socket: Socket) -> None:
        """Take the last packet of a handshake at the listening side."""
        handshake.complete_handshake(socket)

    # Calls

    def callLater(self, delay: float, callable: Callable[..., Any], *args: object, **kw: object) -> Delayed:  # noqa: N802 - Twisted's name
        """Schedule a call."""
        assert delay >= 0, f"{delay} is not greater than or equal to 0 seconds"
        delayed = Delayed(self, self.time.instant + delay, callable, args, kw)
        if delay > 0:
            delayed.state = WAITING
            delayed.event = self.time.at(delayed.time, self._due, delayed)
        else:
            self.put(delayed)
        return delayed

    def callFromThread(self, callable: Callable[..., Any], *args: object, **kw: object) -> None:  # noqa: N802 - Twisted's name
        """Schedule a call for the next turn."""
        self.callLater(0, callable, *args, **kw)

    def put(self, delayed: Delayed) -> None:
        """Take a scheduled call."""
        if delayed.time > self.time.instant:
            delayed.state = WAITING
            delayed.event = self.time.at(delayed.time, self._due, delayed)
        else:
            delayed.state = SOON
            delayed.event = None
            self.soon.append(delayed)
            self._turn_soon()

    def getDelayedCalls(self) -> list[Delayed]:  # noqa: N802 - Twisted's name
        """Those not yet called, in their order."""
        return self.due_soon() + waiting(self.time).get(self, [])

    def due_soon(self) -> list[Delayed]:
        """Those that its next turn will make."""
        return [d for d in self.soon if d.state == SOON]

    def run(self, call: Callable[..., Any], *args: object) -> Any:
        """Call from outside, as this process: what it raises is raised."""
        before, self.time.running = self.time.running, self
        try:
            return call(*args)
        finally:
            self.time.running = before

    def _due(self, delayed: Delayed) -> None:
        if not self.alive:
            return
        self.time.running = self
        call, args, kw = delayed.func, delayed.args, delayed.kw
        delayed.state = CALLED
        delayed.event = delayed.func = delayed.args = delayed.kw = None
        try:
            call(*args, **kw)
        except Exception:
            log_failure()
        self.time.running = None

    # Turns

    def _turn_soon(self) -> None:
        if not self._turning:
            self._turning = True
            self.time.post(self.time.instant, self._turn)

    def _turn(self) -> None:
        self._turning = False
        if self.soon:
            soon, self.soon = self.soon, []
            for delayed in soon:
                if delayed.state == SOON:
                    self._due(delayed)
        if self._ready:
            ready, self._ready = self._ready, []
            for watcher in ready:
                watcher.queued = False
                if self.alive:
                    self.serve(watcher)

    def queue(self, watcher: Any) -> None:
        """Serve a transport or port in the next turn."""
        if not watcher.queued:
            watcher.queued = True
            self._ready.append(watcher)
            if not self._turning:
                self._turning = True
                self.time.post(self.time.instant, self._turn)

    def serve(self, watcher: Any) -> None:
        """Let a transport or port do what its socket is ready for: as Twisted's epoll reactor does."""
        reading, writing = watcher.reading, watcher.writing
        if not (reading or writing):
            return
        socket, time = watcher.socket, self.time
        why: Any = None
        in_read = False
        time.running = self
        can_read = reading and (bool(socket.chunks) or socket.eof or socket.broken or bool(socket.queue))
        can_write = writing and socket.writable()
        if not can_read and (socket.broken or (socket.eof and socket.hung())):
            why = CONNECTION_LOST
        else:
            try:
                if can_read:
                    why = watcher.doRead()
                    in_read = True
                if can_write and not why:
                    why = watcher.doWrite()
                    in_read = False
            except Exception as broken:
                why = broken
                log_failure()
        if why:
            self._disconnectSelectable(watcher, why, in_read)  # type: ignore[no-untyped-call]
        if watcher.reading and (socket.chunks or socket.eof or socket.broken or socket.queue):
            self.queue(watcher)
        elif watcher.writing and not watcher.queued:
            self.want(watcher)
        time.running = None

    def want(self, watcher: Any) -> None:
        """Serve a transport once it can write."""
        socket = watcher.socket
        if socket.writable():
            if not watcher.queued:  # as `queue` does
                watcher.queued = True
                self._ready.append(watcher)
                if not self._turning:
                    self._turning = True
                    self.time.post(self.time.instant, self._turn)
        elif socket.state == CONNECTED:
            socket.out.wait()

    def removeReader(self, watcher: Any) -> None:  # noqa: N802 - Twisted's name
        """Wait no longer for a transport to be readable."""
        watcher.reading = False

    def removeWriter(self, watcher: Any) -> None:  # noqa: N802 - Twisted's name
        """Wait no longer for a transport to be writable."""
        watcher.writing = False

    # TCP

    def connectTCP(  # noqa: N802 - Twisted's name
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float | None = 30,
        bindAddress: Any = None,  # noqa: N803 - Twisted's name
    ) -> Connector:
        """Connect to a host."""
        connector = Connector(host, port, factory, timeout, bindAddress, self)  # type: ignore[arg-type]
        connector.connect()
        return connector

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Port:  # noqa: N802 - Twisted's name
        """Listen at a port."""
        listening = Port(port, factory, backlog, interface, self)
        listening.startListening()
        return listening

    def open_listener(self, port: int, factory: Any, backlog: int, host: str, reactor: Any) -> LimitedPort:
        """Listen as `http1.listener.open_listener` does: no more is accepted in one go than it has places."""
        listener = LimitedPort(port, factory, backlog, host, reactor)
        listener.startListening()
        return listener

    def has_hung_up(self, transport: Any) -> bool:
        """Answer as `http1.connection.has_hung_up`."""
        return bool(transport.socket.eof or transport.socket.broken)

    def has_undelivered_bytes(self, transport: Any) -> bool:  # noqa: ARG002 - Twisted's signature
        """Answer as `http1.connection.has_undelivered_bytes` where a system can't tell."""
        return False

    def resolve(self, name: str, timeout: object = ()) -> Deferred[str]:  # noqa: ARG002 - Twisted's signature
        """Fail: hosts have no names here."""
        return fail(DNSLookupError(f"{name}: hosts have no names here"))

    # Descriptors

    def opened(self, socket: Socket) -> None:
        """Count a socket that was opened."""
        self.descriptors[socket] = None
        if len(self.descriptors) > self.most:
            self.most = len(self.descriptors)

    def shut(self, socket: Socket) -> None:
        """Forget a socket that was closed."""
        self.descriptors.pop(socket, None)

    def open_resources(self) -> OpenResources:
        """Return the present timers, listening sockets and connections, open or under way."""
        ports = [s for s in self.descriptors if s.state == LISTENING]
        return OpenResources(
            self.getDelayedCalls(), ports, [s for s in self.descriptors if s.state != LISTENING]
        )

    # Its end

    def stop(self) -> None:
        """End in an orderly way, in a later turn."""
        if not self.stopping and self.alive:
            self.stopping = True
            self.callLater(0, self._stop)

    def _stop(self) -> None:
        if self.on_stop is not None:
            self.on_stop()
        for socket in list(self.descriptors):
            watcher = socket.watcher
            if self.alive and watcher is not None and (watcher.reading or watcher.writing):
                try:
                    watcher.connectionLost(lost)
                except Exception:
                    log_failure()
        self.kill()

    def kill(self) -> None:
        """End as by SIGKILL: the kernel closes its sockets.

        To a peer that is a FIN, or a reset where bytes were unread; what was sent is delivered first, and
        what the peer sends later is answered with a reset.
        """
        if self.alive:
            self.alive = False
            self.soon.clear()
            self._ready.clear()
            for socket in list(self.descriptors):
                socket.close()
            self.host.processes.remove(self)
