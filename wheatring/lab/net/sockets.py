"""Sockets as a kernel has them: what its calls return, when one is readable or writable, FIN and RST.

The calls are those of `socket.socket` in non-blocking mode, with the same errors.
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
    """The host of a socket; see `network.Host`."""

    name: str
    zone: str
    vanished: bool
    listeners: dict[int, Socket]
    refusing: set[int]
    full: set[int]
    connect_delays: dict[int, float]
    on_refused: dict[int, Callable[[str], None]]

    def free_port(self) -> int:
        """Return a port that nobody listens at."""

    def link(self, other: SocketHost) -> Link:
        """Return the link to another host, or to itself."""


class SocketNetwork(Protocol):
    """The network of a socket; see `network.Network`."""

    plan: NetPlan
    give_up: float

    def host(self, name: str) -> SocketHost:
        """Return a host by name."""


class SocketProcess(Protocol):
    """The process of a socket; see `process.Process`."""

    time: VirtualTime
    number: Callable[[], int]

    @property
    def host(self) -> SocketHost:
        """The host that it runs on."""

    @property
    def network(self) -> SocketNetwork:
        """The network of its host."""

    def opened(self, socket: Socket) -> None:
        """Take a socket among those that it holds."""

    def shut(self, socket: Socket) -> None:
        """Forget a socket that it has closed."""

    def start_connect(self, socket: Socket) -> None:
        """Begin the handshake of a socket that connects."""

    def complete_handshake(self, socket: Socket) -> None:
        """Take the last packet of a handshake at the listening side."""


class Socket:
    """One TCP socket of a process. `watcher` is the Twisted transport or port that waits for it, if any."""

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
        "into",
        "is_deaf",
        "listener",
        "local",
        "out",
        "process",
        "queue",
        "remote",
        "sent_at",
        "state",
        "watcher",
    )  # fmt: skip

    out: Stream[Socket]
    into: Stream[Socket]

    def __init__(self, process: SocketProcess) -> None:
        self.process = process
        self.watcher: Any = None
        self.state = NEW
        self.local: Address = (process.host.name, 0)
        self.remote: Address | None = None
        self.closed = False
        self.is_deaf = False  # bytes that arrive are answered with a reset
        self.eof = False  # the peer's FIN has arrived
        self.broken = False  # it was reset or has timed out, or its connect failed
        self.error = 0  # why, until a call has told it
        self.sent_at = 0.0
        self.chunks: deque[tuple[bytes, float]] = deque()  # unread, each with the instant of its sending
        self.backlog = 0
        self.queue: deque[Socket] = deque()  # connections that wait to be accepted
        self.half_open = 0  # and those whose handshake is under way
        self.listener: Socket | None = None  # the listening socket of one whose handshake is under way
        self._fin_sent = False
        self._options: dict[tuple[int, int], Any] = {}
        self._number = process.number()

    # What a kernel tells of it

    def readable(self) -> bool:
        """Return whether a call to read or accept would not block."""
        return bool(self.chunks or self.queue) or self.eof or self.broken

    def writable(self) -> bool:
        """Return whether a call to send would not block, as a kernel has it."""
        if self.state != CONNECTED or self.broken or self._fin_sent:
            return self.broken or self._fin_sent
        out = self.out
        return out.used * 3 <= out.window * 2 or out.writable()

    def hung(self) -> bool:
        """Return whether the connection is over in both directions."""
        return self.broken or (self.eof and self._fin_sent)

    def wake(self) -> None:
        """Something has changed: whoever waits for it may have work."""
        watcher = self.watcher
        if watcher is not None and (watcher.reading or watcher.writing) and not watcher.queued:
            watcher.reactor.serve(watcher)

    # Calls

    def fileno(self) -> int:
        """Return the descriptor's number; -1 once closed."""
        return -1 if self.closed else self._number

    def setblocking(self, blocking: bool) -> None:
        """Do nothing: it never blocks."""

    def getsockname(self) -> Address:
        """Return the own address."""
        return self.local

    def getpeername(self) -> Address:
        """Return the peer's address."""
        if self.remote is None:
            raise _error(errno.ENOTCONN)
        return self.remote

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Set an option; SO_SNDBUF is the whole window of what this end sends."""
        self._options[level, option] = value
        if (level, option) == (socket.SOL_SOCKET, socket.SO_SNDBUF) and self.state == CONNECTED:
            self.out.window = value

    def getsockopt(self, level: int, option: int) -> Any:
        """Return an option; SO_ERROR is cleared by that."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR):
            error, self.error = self.error, 0
            return error
        return self._options.get((level, option), 0)

    def bind(self, address: Address) -> None:
        """Take an address of the host."""
        host, port = address
        if host not in ("", "0.0.0.0", self.process.host.name):
            raise _error(errno.EADDRNOTAVAIL)
        if port in self.process.host.listeners:
            raise _error(errno.EADDRINUSE)
        self.local = (self.process.host.name, port or self.process.host.free_port())

    def listen(self, backlog: int) -> None:
        """Listen at the address."""
        self.backlog = backlog
        self.state = LISTENING
        self.process.host.listeners[self.local[1]] = self

    def accept(self) -> tuple[Socket, Address]:
        """Return the connection that has waited longest, and its peer's address."""
        if not self.queue:
            raise BlockingIOError(errno.EWOULDBLOCK, "nobody waits")
        accepted = self.queue.popleft()
        self.process.opened(accepted)
        assert accepted.remote is not None
        return accepted, accepted.remote

    def child(self, client: Socket) -> Socket:
        """Return the host's end of a new connection; it has no descriptor until it is accepted."""
        server = Socket(self.process)
        server.local, server.remote = self.local, client.local
        server.listener = self
        return server

    def end_handshake(self) -> None:
        """Note that its handshake is over, in whatever way."""
        if self.listener is not None:
            self.listener.half_open -= 1
            self.listener = None

    def connect_ex(self, address: Address) -> int:
        """Begin a connect, or return how it stands."""
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
        """Return what has arrived, `size` bytes at most; empty at the end."""
        chunks = self.chunks
        if chunks:
            data, self.sent_at = chunks.popleft()
            if chunks or len(data) > size:
                data = self._more(data, size)
            self.into.freed(len(data))
            return data
        if self.eof:
            return b""
        if self.error:
            raise _error(self.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        if self.broken:
            return b""
        raise BlockingIOError(errno.EWOULDBLOCK, "nothing to read")

    def _more(self, data: bytes, size: int) -> bytes:
        while self.chunks and len(data) < size:
            data += self.chunks.popleft()[0]
        if len(data) > size:
            self.chunks.appendleft((data[size:], self.sent_at))
            data = data[:size]
        return data

    def send(self, data: bytes) -> int:
        """Take as many bytes as the window has room for, and return how many."""
        if self.error:
            raise _error(self.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        if self.broken or self._fin_sent:
            raise _error(errno.EPIPE)
        if self.state != CONNECTED:
            raise _error(errno.ENOTCONN)
        return self.out.send(data)

    def shutdown(self, how: int) -> None:
        """End the sending, the reading or both."""
        if self.state != CONNECTED or self.broken:
            raise _error(errno.ENOTCONN)
        if how != socket.SHUT_WR:
            self.is_deaf = True
        if how != socket.SHUT_RD and not self._fin_sent:
            self._fin_sent = True
            self.out.put(FIN)

    def close(self) -> None:
        """Close the socket.

        Unread bytes, or SO_LINGER with no time, make it a reset; else what was sent and a FIN go out.
        """
        if self.closed:
            return
        self.closed = True
        self.watcher = None
        self.process.shut(self)
        if self.state == LISTENING:
            del self.process.host.listeners[self.local[1]]
            for waiting in self.queue:
                waiting.drop()
        elif self.state == CONNECTED:
            self.drop(self._orderly())

    def drop(self, orderly: bool = False) -> None:
        """End this end of the connection, in good order or by a reset."""
        self.closed = self.is_deaf = True
        if not self.broken:
            if self.chunks or not orderly:
                self.out.reset()
            elif not self._fin_sent:
                self._fin_sent = True
                self.out.put(FIN)
        self.chunks.clear()

    def _orderly(self) -> bool:
        linger = self._options.get((socket.SOL_SOCKET, socket.SO_LINGER))
        return linger is None or struct.unpack("ii", linger) != (1, 0)

    # What arrives

    def receive_control(self, what: object) -> None:
        """Take a control packet: the end of the handshake, a FIN or a reset."""
        if what == RST:
            self.over(errno.EPIPE if self.eof else errno.ECONNRESET)
        elif what == FIN:
            self.eof = True
            self.wake()
        elif what == OPEN:
            self.process.complete_handshake(self)

    def over(self, error: int) -> None:
        """End the connection without a FIN, by a reset or a time-out."""
        if not self.broken:
            self.broken = True
            if self.state == CONNECTED:
                self.out.lose()
                self.out.over = True
            if not self.closed:
                self.error = error
                self.wake()

    def reset_by_late_bytes(self) -> None:
        """Answer bytes with a reset that came after this end had said that it reads no more."""
        self.out.reset()
        self.over(errno.ECONNRESET)

    def refused(self) -> None:
        """Fail the connect: it was refused."""
        if self.state == CONNECTING:
            self.over(errno.ECONNREFUSED)

    def timed_out(self) -> None:
        """End the connection or its connect by a time-out."""
        self.over(errno.ETIMEDOUT)


def _error(number: int) -> OSError:
    return OSError(number, os.strerror(number))
