"""The simulated reactor of one program on one host."""

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

connection_lost: Any = failure.Failure(CONNECTION_LOST)  # type: ignore[no-untyped-call]

WAITING, DUE, CALLED, CANCELLED = range(4)


class ProcessHost(SocketHost, Protocol):
    """The host of a process, as far as the process uses it; see `network.Host`."""

    clock_offset: float
    processes: list[Process]


class ProcessNetwork(SocketNetwork, Protocol):
    """The network of a process, as far as the process uses it; see `network.Network`."""

    time: VirtualTime
    epoch: float
    clock_offset: float


class DelayedCall:
    """A call scheduled with `callLater`; implements Twisted's IDelayedCall."""

    __slots__ = ("args", "event", "func", "kw", "process", "state", "time")

    def __init__(self, process: Process, time: float, func: Any, args: Any, kw: Any) -> None:
        self.process = process
        self.time = time
        self.func = func
        self.args = args
        self.kw = kw
        self.state = DUE
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
        """Reschedule the call to `secondsFromNow` after the present instant."""
        self._check()
        self._move(self.process.seconds() + secondsFromNow)

    def delay(self, secondsLater: float) -> None:  # noqa: N803 - Twisted's name
        """Postpone the call by `secondsLater`."""
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
        elif self in self.process.due_queue:
            self.process.due_queue.remove(self)
        self.time = instant
        self.process.schedule(self)


def scheduled_calls(time: VirtualTime) -> dict[Process, list[DelayedCall]]:
    """Return the calls scheduled for later instants, by process, in the order in which they are due."""
    found: dict[Process, list[DelayedCall]] = {}
    for event in time.pending():
        call = event[0]
        process = getattr(call, "__self__", None)
        if isinstance(process, Process):
            found.setdefault(process, []).append(event[1][0])
    return found


class OpenResources(NamedTuple):
    """The timers, listening sockets and connections that a process has open."""

    timers: list[DelayedCall]
    ports: list[Socket]
    connections: list[Socket]


@implementer(IReactorTime, IReactorTCP)
class Process(_DisconnectSelectableMixin):
    """The reactor of one program on one host.

    Each iteration runs the scheduled calls that are due, then serves the sockets that are ready. Nothing runs
    after the process has ended. An exception in a callback goes to Twisted's log, as on any reactor.

    `descriptors` are the open sockets, in the order in which they were opened.
    """

    def __init__(self, network: ProcessNetwork, host: ProcessHost, name: str) -> None:
        self.network = network
        self.host = host
        self.name = name
        self.time = network.time
        self.seconds = network.time.now
        self.alive = True
        self.stopping = False
        # Called on a graceful shutdown, before the sockets and timers are closed.
        self.on_stop: Callable[[], None] | None = None
        self.descriptors: dict[Socket, None] = {}
        self.max_descriptors = 0  # highest number of open descriptors so far
        self.next_descriptor = count(3).__next__
        self.due_queue: list[DelayedCall] = []
        self._ready: list[Any] = []
        self._turn_scheduled = False

    def unix(self) -> float:
        """Return the Unix time in seconds by the host's clock."""
        network = self.network
        offset = network.epoch + network.clock_offset + self.host.clock_offset
        return self.time.instant - self.time.start + offset

    # Handshakes

    def start_connect(self, socket: Socket) -> None:
        """Begin the handshake of a socket that connects."""
        handshake.start_connect(socket)

    def complete_handshake(self, socket: Socket) -> None:
        """Handle the final ACK of a handshake at the listening side."""
        handshake.complete_handshake(socket)

    # Calls

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, callable: Callable[..., Any], *args: object, **kw: object
    ) -> DelayedCall:
        """Schedule a call."""
        assert delay >= 0, f"{delay} is not greater than or equal to 0 seconds"
        delayed = DelayedCall(self, self.time.instant + delay, callable, args, kw)
        if delay > 0:
            delayed.state = WAITING
            delayed.event = self.time.at(delayed.time, self._make_call, delayed)
        else:
            self.schedule(delayed)
        return delayed

    def callFromThread(self, callable: Callable[..., Any], *args: object, **kw: object) -> None:  # noqa: N802 - Twisted's name
        """Schedule a call for the next iteration."""
        self.callLater(0, callable, *args, **kw)

    def schedule(self, delayed: DelayedCall) -> None:
        """Schedule a call at its instant, or in the next iteration if that has come."""
        if delayed.time > self.time.instant:
            delayed.state = WAITING
            delayed.event = self.time.at(delayed.time, self._make_call, delayed)
        else:
            delayed.state = DUE
            delayed.event = None
            self.due_queue.append(delayed)
            self._schedule_turn()

    def getDelayedCalls(self) -> list[DelayedCall]:  # noqa: N802 - Twisted's name
        """Return the calls not made yet, in the order in which they are due."""
        return self.due_calls() + scheduled_calls(self.time).get(self, [])

    def due_calls(self) -> list[DelayedCall]:
        """Return the calls that the next iteration makes."""
        return [d for d in self.due_queue if d.state == DUE]

    def run(self, call: Callable[..., Any], *args: object) -> Any:
        """Make a call as this process from outside the reactor; exceptions propagate."""
        before, self.time.running = self.time.running, self
        try:
            return call(*args)
        finally:
            self.time.running = before

    def _make_call(self, delayed: DelayedCall) -> None:
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

    # Iterations

    def _schedule_turn(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self.time.post(self.time.instant, self._turn)

    def _turn(self) -> None:
        self._turn_scheduled = False
        if self.due_queue:
            due_queue, self.due_queue = self.due_queue, []
            for delayed in due_queue:
                if delayed.state == DUE:
                    self._make_call(delayed)
        if self._ready:
            ready, self._ready = self._ready, []
            for watcher in ready:
                watcher.queued = False
                if self.alive:
                    self.serve(watcher)

    def queue(self, watcher: Any) -> None:
        """Serve a transport or port in the next iteration."""
        if not watcher.queued:
            watcher.queued = True
            self._ready.append(watcher)
            if not self._turn_scheduled:
                self._turn_scheduled = True
                self.time.post(self.time.instant, self._turn)

    def serve(self, watcher: Any) -> None:
        """Have a transport or port read and write as its socket is ready, as Twisted's epoll reactor does."""
        reading, writing = watcher.reading, watcher.writing
        if not (reading or writing):
            return
        socket, time = watcher.socket, self.time
        why: Any = None
        in_read = False
        time.running = self
        can_read = reading and (bool(socket.chunks) or socket.eof or socket.broken or bool(socket.queue))
        can_write = writing and socket.writable()
        if not can_read and (socket.broken or (socket.eof and socket.is_hung_up())):
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
            self.serve_when_writable(watcher)
        time.running = None

    def serve_when_writable(self, watcher: Any) -> None:
        """Serve a transport when its socket is writable."""
        socket = watcher.socket
        if socket.writable():
            if not watcher.queued:  # the body of `queue`, inlined for speed
                watcher.queued = True
                self._ready.append(watcher)
                if not self._turn_scheduled:
                    self._turn_scheduled = True
                    self.time.post(self.time.instant, self._turn)
        elif socket.state == CONNECTED:
            socket.outgoing.request_wakeup()

    def removeReader(self, watcher: Any) -> None:  # noqa: N802 - Twisted's name
        """Stop scheduled_calls for a transport to be readable."""
        watcher.reading = False

    def removeWriter(self, watcher: Any) -> None:  # noqa: N802 - Twisted's name
        """Stop scheduled_calls for a transport to be writable."""
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
        """Listen on a port."""
        listening = Port(port, factory, backlog, interface, self)
        listening.startListening()
        return listening

    def open_listener(self, port: int, factory: Any, backlog: int, host: str, reactor: Any) -> LimitedPort:
        """Listen as `http1.listener.open_listener` does: accept no more than the factory has slots for."""
        listener = LimitedPort(port, factory, backlog, host, reactor)
        listener.startListening()
        return listener

    def has_hung_up(self, transport: Any) -> bool:
        """Stand in for `http1.connection.has_hung_up`."""
        return bool(transport.socket.eof or transport.socket.broken)

    def has_undelivered_bytes(self, transport: Any) -> bool:  # noqa: ARG002 - Twisted's signature
        """Stand in for `http1.connection.has_undelivered_bytes` on a system that can't tell."""
        return False

    def resolve(self, name: str, timeout: object = ()) -> Deferred[str]:  # noqa: ARG002 - Twisted's signature
        """Fail, as hosts of the simulated network have no names."""
        return fail(DNSLookupError(f"{name}: the simulated network has no name resolution"))

    # Descriptors

    def add_descriptor(self, socket: Socket) -> None:
        """Add a socket to the open descriptors."""
        self.descriptors[socket] = None
        if len(self.descriptors) > self.max_descriptors:
            self.max_descriptors = len(self.descriptors)

    def remove_descriptor(self, socket: Socket) -> None:
        """Remove a closed socket from the open descriptors."""
        self.descriptors.pop(socket, None)

    def open_resources(self) -> OpenResources:
        """Return the timers, listening sockets and connections, including those being established."""
        ports = [s for s in self.descriptors if s.state == LISTENING]
        return OpenResources(
            self.getDelayedCalls(), ports, [s for s in self.descriptors if s.state != LISTENING]
        )

    # Shutdown

    def stop(self) -> None:
        """Shut down gracefully, in a later iteration."""
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
                    watcher.connectionLost(connection_lost)
                except Exception:
                    log_failure()
        self.kill()

    def kill(self) -> None:
        """End as by SIGKILL: the kernel closes all sockets.

        A peer receives the bytes sent before, then a FIN, or a reset if bytes were unread. Bytes that the
        peer sends later are answered with a reset.
        """
        if self.alive:
            self.alive = False
            self.due_queue.clear()
            self._ready.clear()
            for socket in list(self.descriptors):
                socket.close()
            self.host.processes.remove(self)
