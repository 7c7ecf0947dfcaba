"""Simulated TCP sockets with a kernel's semantics: readiness, errors, FIN and RST.

The methods are those of `socket.socket` in non-blocking mode, with the same errors.
"""

from __future__ import annotations

import errno
import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from wheatring.lab.net.links import FIN, OPEN, RST, Link, Stream
from wheatring.lab.net.time import VirtualTime
from wheatring.lab.plan import NetPlan

NEW, LISTENING, CONNECTING, CONNECTED = range(4)  # states of a socket

Address = tuple[str, int]


class SocketHost(Protocol):
    """The host of a socket, as far as the socket uses it; see `network.Host`."""

    name: str
    zone: str
    isolated: bool
    listeners: dict[int, Socket]
    refusing: set[int]
    full: set[int]
    connect_delays: dict[int, float]
    on_refused: dict[int, Callable[[str], None]]

    def free_port(self) -> int:
        """Return a port without a listener."""

    def link(self, other: SocketHost) -> Link:
        """Return the link to another host, or to itself."""


class SocketNetwork(Protocol):
    """The network of a socket, as far as the socket uses it; see `network.Network`."""

    plan: NetPlan
    give_up_seconds: float

    def host(self, name: str) -> SocketHost:
        """Return a host by name."""


class SocketProcess(Protocol):
    """The process of a socket, as far as the socket uses it; see `process.Process`."""

    time: VirtualTime
    next_descriptor: Callable[[], int]

    @property
    def host(self) -> SocketHost:
        """The host that the process runs on."""

    @property
    def network(self) -> SocketNetwork:
        """The network of its host."""

    def add_descriptor(self, socket: Socket) -> None:
        """Add a socket to the open descriptors."""

    def remove_descriptor(self, socket: Socket) -> None:
        """Remove a closed socket from the open descriptors."""

    def start_connect(self, socket: Socket) -> None:
        """Begin the handshake of a socket that connects."""

    def complete_handshake(self, socket: Socket) -> None:
        """Handle the final ACK of a handshake at the listening side."""


class Socket:
    """A TCP socket of a process. `watcher` is the Twisted transport or port that waits for it, if any."""

    __slots__ = (
        "_fin_sent",
        "_number",
        "_options",
        "backlog",
        "broken",
        "chunks",
        "closed",
        "eof",
        "error",
        "half_open",
        "incoming",
        "is_read_shut",
        "listener",
        "local",
        "outgoing",
        "process",
        "queue",
        "remote",
        "sent_at",
        "state",
        "watcher",
    )  # fmt: skip

    outgoing: Stream[Socket]
    incoming: Stream[Socket]

    def __init__(self, process: SocketProcess) -> None:
        self.process = process
        self.watcher: Any = None
        self.state = NEW
        self.local: Address = (process.host.name, 0)
        self.remote: Address | None = None
        self.closed = False
        self.is_read_shut = False  # bytes that arrive are answered with a reset
        self.eof = False  # the peer's FIN has arrived
        self.broken = False  # reset or timed out, or the connect failed
        self.error = 0  # errno of that, until a call has reported it
        self.sent_at = 0.0
        self.chunks: deque[tuple[bytes, float]] = (
            deque()
        )  # unread, each with the instant at which it was sent
        self.backlog = 0
        self.queue: deque[Socket] = deque()  # connections waiting to be accepted
        self.half_open = 0  # number of connections whose handshake is under way
        self.listener: Socket | None = None  # at the accepting end, while the handshake is under way
        self._fin_sent = False
        self._options: dict[tuple[int, int], Any] = {}
        self._number = process.next_descriptor()

    # Readiness

    def readable(self) -> bool:
        """Return whether a call to read or accept would not block."""
        return bool(self.chunks or self.queue) or self.eof or self.broken

    def writable(self) -> bool:
        """Return whether the kernel would report the socket as writable."""
        if self.state != CONNECTED or self.broken or self._fin_sent:
            return self.broken or self._fin_sent
        outgoing = self.outgoing
        return outgoing.used * 3 <= outgoing.window * 2 or outgoing.writable()

    def is_hung_up(self) -> bool:
        """Return whether the connection is over in both directions."""
        return self.broken or (self.eof and self._fin_sent)

    def wake(self) -> None:
        """Notify the watcher that the state has changed."""
        watcher = self.watcher
        if watcher is not None and (watcher.reading or watcher.writing) and not watcher.queued:
            watcher.reactor.serve(watcher)

    # Calls

    def fileno(self) -> int:
        """Return the descriptor number; -1 when closed."""
        return -1 if self.closed else self._number

    def setblocking(self, blocking: bool) -> None:
        """Do nothing: calls never block."""

    def getsockname(self) -> Address:
        """Return the local address."""
        return self.local

    def getpeername(self) -> Address:
        """Return the peer's address."""
        if self.remote is None:
            raise _error(errno.ENOTCONN)
        return self.remote

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Set an option; SO_SNDBUF sets the window of the outgoing stream."""
        self._options[level, option] = value
        if (level, option) == (socket.SOL_SOCKET, socket.SO_SNDBUF) and self.state == CONNECTED:
            self.outgoing.window = value

    def getsockopt(self, level: int, option: int) -> Any:
        """Return an option; reading SO_ERROR clears it."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR):
            error, self.error = self.error, 0
            return error
        return self._options.get((level, option), 0)

    def bind(self, address: Address) -> None:
        """Bind to an address of the host; port 0 picks a free port."""
        host, port = address
        if host not in ("", "0.0.0.0", self.process.host.name):
            raise _error(errno.EADDRNOTAVAIL)
        if port in self.process.host.listeners:
            raise _error(errno.EADDRINUSE)
        self.local = (self.process.host.name, port or self.process.host.free_port())

    def listen(self, backlog: int) -> None:
        """Listen on the bound address."""
        self.backlog = backlog
        self.state = LISTENING
        self.process.host.listeners[self.local[1]] = self

    def accept(self) -> tuple[Socket, Address]:
        """Return the oldest connection of the accept queue, and its peer's address."""
        if not self.queue:
            raise BlockingIOError(errno.EWOULDBLOCK, "no connection to accept")
        accepted = self.queue.popleft()
        self.process.add_descriptor(accepted)
        assert accepted.remote is not None
        return accepted, accepted.remote

    def create_accepted(self, client: Socket) -> Socket:
        """Return the server end of a new connection; it has no descriptor until it is accepted."""
        server = Socket(self.process)
        server.local, server.remote = self.local, client.local
        server.listener = self
        return server

    def end_handshake(self) -> None:
        """Remove the connection from the listener's count of handshakes, whatever the outcome."""
        if self.listener is not None:
            self.listener.half_open -= 1
            self.listener = None

    def connect_ex(self, address: Address) -> int:
        """Begin a connect, or return the errno of its state."""
        if self.state == NEW:
            if not self.local[1]:
                self.local = (self.local[0], self.process.host.free_port())
            self.state = CONNECTING
            self.remote = address
            self.process.start_connect(self)
            return errno.EINPROGRESS
        if self.broken:
            return self.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or errno.ECONNREFUSED
        return (
            errno.EISCONN
            if self.state == CONNECTED
            else errno.EALREADY
            if self.state == CONNECTING
            else errno.EINVAL
        )

    def recv(self, size: int) -> bytes:
        """Return the bytes received, at most `size`; b"" at the end of the stream."""
        chunks = self.chunks
        if chunks:
            data, self.sent_at = chunks.popleft()
            if chunks or len(data) > size:
                data = self._read_more(data, size)
            self.incoming.report_read(len(data))
            return data
        if self.eof:
            return b""
        if self.error:
            raise _error(self.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        if self.broken:
            return b""
        raise BlockingIOError(errno.EWOULDBLOCK, "nothing to read")

    def _read_more(self, data: bytes, size: int) -> bytes:
        while self.chunks and len(data) < size:
            data += self.chunks.popleft()[0]
        if len(data) > size:
            self.chunks.appendleft((data[size:], self.sent_at))
            data = data[:size]
        return data

    def send(self, data: bytes) -> int:
        """Send as many bytes as the window has room for, and return how many."""
        if self.error:
            raise _error(self.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        if self.broken or self._fin_sent:
            raise _error(errno.EPIPE)
        if self.state != CONNECTED:
            raise _error(errno.ENOTCONN)
        return self.outgoing.send(data)

    def shutdown(self, how: int) -> None:
        """Shut down sending, reading or both."""
        if self.state != CONNECTED or self.broken:
            raise _error(errno.ENOTCONN)
        if how != socket.SHUT_WR:
            self.is_read_shut = True
        if how != socket.SHUT_RD and not self._fin_sent:
            self._fin_sent = True
            self.outgoing.transmit(FIN)

    def close(self) -> None:
        """Close the socket.

        Unread bytes, or SO_LINGER with a time of 0, cause a reset; otherwise a FIN follows the bytes sent.
        """
        if self.closed:
            return
        self.closed = True
        self.watcher = None
        self.process.remove_descriptor(self)
        if self.state == LISTENING:
            del self.process.host.listeners[self.local[1]]
            for waiting in self.queue:
                waiting.close_connection()
        elif self.state == CONNECTED:
            self.close_connection(self._is_graceful())

    def close_connection(self, graceful: bool = False) -> None:
        """Close this end of the connection, by a FIN where `graceful`, otherwise by a reset."""
        self.closed = self.is_read_shut = True
        if not self.broken:
            if self.chunks or not graceful:
                self.outgoing.reset()
            elif not self._fin_sent:
                self._fin_sent = True
                self.outgoing.transmit(FIN)
        self.chunks.clear()

    def _is_graceful(self) -> bool:
        linger = self._options.get((socket.SOL_SOCKET, socket.SO_LINGER))
        return linger is None or struct.unpack("ii", linger) != (1, 0)

    # Incoming packets

    def receive_control(self, what: object) -> None:
        """Handle a control packet: the final ACK of the handshake, a FIN or a reset."""
        if what == RST:
            self.fail(errno.EPIPE if self.eof else errno.ECONNRESET)
        elif what == FIN:
            self.eof = True
            self.wake()
        elif what == OPEN:
            self.process.complete_handshake(self)

    def fail(self, error: int) -> None:
        """Fail the connection with an errno, on a reset, a refusal or a time-out."""
        if not self.broken:
            self.broken = True
            if self.state == CONNECTED:
                self.outgoing.discard_held()
                self.outgoing.over = True
            if not self.closed:
                self.error = error
                self.wake()

    def reset_by_late_bytes(self) -> None:
        """Answer bytes that arrive after this end has shut down reading with a reset."""
        self.outgoing.reset()
        self.fail(errno.ECONNRESET)

    def handle_refused(self) -> None:
        """Fail the connect as refused."""
        if self.state == CONNECTING:
            self.fail(errno.ECONNREFUSED)

    def handle_timeout(self) -> None:
        """Fail the connection or the connect with a time-out."""
        self.fail(errno.ETIMEDOUT)


def _error(number: int) -> OSError:
    return OSError(number, os.strerror(number))
