"""A persistent connection of the load generator, registered with the reactor as a plain descriptor.

Requests are written to the socket immediately. A Twisted transport would write them in the next iteration of
the reactor, and this delay of the generator would be attributed to the server.
"""

from __future__ import annotations

import errno
import socket
from typing import Any, Protocol

from wheatring.common.exceptions import MalformedMessageError
from wheatring.common.http_parser import MessageParser

MAX_READ_BYTES = 262_144
MAX_CACHED_HEADS = 256  # response heads remembered; others are parsed in full


class Owner(Protocol):
    """Receives the events of connections."""

    def on_connected(self, connection: ClientConnection) -> None:
        """Handle a connection that has been established."""

    def on_response(self, connection: ClientConnection, status: bytes) -> None:
        """Handle a complete response; the connection can be reused if it is still `alive`."""

    def on_closed(self, connection: ClientConnection) -> None:
        """Handle an end other than by `close`; `was_established` tells whether it was ever established."""


class ClientConnection:
    """Carries one request at a time."""

    def __init__(
        self, reactor: Any, owner: Owner, address: tuple[str, int], known_heads: dict[bytes, Any]
    ) -> None:
        self.reactor = reactor
        self.owner = owner
        self.known_heads = known_heads  # status and body length by the bytes of a response head
        self.alive = False
        self.was_established = False
        self.response_count = 0  # responses received so far
        self.request: Any = None  # the request in flight, set by the owner
        self.dedicated_request: Any = None  # the request that the connection was opened for, if any
        self.unsent = b""
        self.reader = MessageParser(responses=True)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error = self.sock.connect_ex(address)
        if error not in (0, errno.EINPROGRESS):
            reactor.callLater(0, self._close_and_notify)
        else:
            reactor.addWriter(self)

    def send_request(self, data: bytes) -> None:
        """Write a request."""
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:  # the reactor reports the end of the connection
            return
        if sent < len(data):
            self.unsent = data[sent:]
            self.reactor.addWriter(self)

    def close(self) -> None:
        """Close the connection immediately, without notifying the owner."""
        self.alive = False
        if self.sock.fileno() >= 0:
            self.reactor.removeReader(self)
            self.reactor.removeWriter(self)
            self.sock.close()

    def _close_and_notify(self) -> None:
        if self.sock.fileno() >= 0:
            self.close()
            self.owner.on_closed(self)

    # Called by the reactor

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return self.sock.fileno()

    def logPrefix(self) -> str:  # noqa: N802 - Twisted's name
        """Return the prefix for the reactor's log."""
        return "connection"

    def connectionLost(self, reason: object) -> None:  # noqa: N802, ARG002 - Twisted's
        """Handle the reactor's report that the connection is lost."""
        self._close_and_notify()

    def doWrite(self) -> None:  # noqa: N802 - Twisted's name
        """Finish the connect, or write the unsent rest of a request."""
        if not self.was_established:
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._close_and_notify()
                return
            self.reactor.removeWriter(self)
            self.reactor.addReader(self)
            self.alive = self.was_established = True
            self.owner.on_connected(self)
            return
        data, self.unsent = self.unsent, b""
        self.reactor.removeWriter(self)
        self.send_request(data)

    def doRead(self) -> None:  # noqa: N802 - Twisted's name
        """Read a response or a part of it."""
        try:
            data = self.sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            message = self.reader.end_of_input()
            if message is not None:
                self.alive = False
                self.owner.on_response(self, message.start_line[0])
            self._close_and_notify()
            return
        if self.request is None:  # unsolicited data would be taken for the response to the next request
            self._close_and_notify()
            return
        if not self.reader.has_partial_message:
            head_end = data.find(b"\r\n\r\n") + 4
            cached = self.known_heads.get(data[:head_end])
            if cached is not None and len(data) == head_end + cached[1]:
                self.response_count += 1
                self.owner.on_response(self, cached[0])
                return
        self._read(data)

    def _read(self, data: bytes) -> None:
        """Parse a response with an unknown head, or one that arrives in parts."""
        reader = self.reader
        reader.feed(data)
        try:
            message = reader.next_message()
            while message is not None and message.start_line[0][:1] == b"1":
                message = reader.next_message()
        except MalformedMessageError:
            self._close_and_notify()
            return
        if message is None:
            return
        status = message.start_line[0]
        is_reusable = message.keep_alive and not reader.has_partial_message
        head_end = data.find(b"\r\n\r\n") + 4
        if is_reusable and b"content-length" in message.fields and len(data) == head_end + len(message.body):
            if len(self.known_heads) >= MAX_CACHED_HEADS:
                self.known_heads.clear()
            self.known_heads[data[:head_end]] = (status, len(message.body))
        self.response_count += 1
        if is_reusable:
            self.owner.on_response(self, status)
        else:
            self.alive = False
            self.owner.on_response(self, status)
            self._close_and_notify()
