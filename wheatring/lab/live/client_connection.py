"""One kept connection of the load generator, on the reactor as a descriptor of its own.

What is sent goes to the kernel at once: with the reactor's own transports it would wait for the next turn,
and the generator's time would count as the server's.
"""

from __future__ import annotations

import errno
import socket
from typing import Any, Protocol

from wheatring.common.exceptions import MalformedMessageError
from wheatring.common.http_parser import MessageParser

MAX_READ_BYTES = 262_144
MAX_CACHED_HEADS = 256  # heads remembered; a server that makes each one anew is read the long way


class Owner(Protocol):
    """Whoever uses the connections."""

    def up(self, connection: ClientConnection) -> None:
        """Use a connection that is established now."""

    def answered(self, connection: ClientConnection, status: bytes) -> None:
        """Take the status of a complete answer; the connection can be used again if it is still `alive`."""

    def ended(self, connection: ClientConnection) -> None:
        """Take note of an end that isn't by `close`; `up_once` says whether it was ever established."""


class ClientConnection:
    """Carries one request at a time."""

    def __init__(self, reactor: Any, owner: Owner, address: tuple[str, int], heads: dict[bytes, Any]) -> None:
        self.reactor = reactor
        self.owner = owner
        self.heads = heads  # by the bytes of a head: status, and length of what follows
        self.alive = False
        self.up_once = False
        self.carried = 0  # answers
        self.request: Any = None  # what its owner has it carry
        self.first: Any = None  # what it was made for, where that may go on no other
        self.unsent = b""
        self.reader = MessageParser(responses=True)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error = self.sock.connect_ex(address)
        if error not in (0, errno.EINPROGRESS):
            reactor.callLater(0, self._over)
        else:
            reactor.addWriter(self)

    def ask(self, data: bytes) -> None:
        """Write a request."""
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:  # its end is told by the reactor
            return
        if sent < len(data):
            self.unsent = data[sent:]
            self.reactor.addWriter(self)

    def close(self) -> None:
        """End it at once; its owner hears no more of it."""
        self.alive = False
        if self.sock.fileno() >= 0:
            self.reactor.removeReader(self)
            self.reactor.removeWriter(self)
            self.sock.close()

    def _over(self) -> None:
        if self.sock.fileno() >= 0:
            self.close()
            self.owner.ended(self)

    # What the reactor calls

    def fileno(self) -> int:
        """Return its descriptor, for the reactor."""
        return self.sock.fileno()

    def logPrefix(self) -> str:  # noqa: N802 - Twisted's name
        """Return its name in the reactor's log."""
        return "line"

    def connectionLost(self, reason: object) -> None:  # noqa: N802, ARG002 - Twisted's
        """End it, as the reactor does."""
        self._over()

    def doWrite(self) -> None:  # noqa: N802 - Twisted's name
        """Take note that it is established, or write what is left to write."""
        if not self.up_once:
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._over()
                return
            self.reactor.removeWriter(self)
            self.reactor.addReader(self)
            self.alive = self.up_once = True
            self.owner.up(self)
            return
        data, self.unsent = self.unsent, b""
        self.reactor.removeWriter(self)
        self.ask(data)

    def doRead(self) -> None:  # noqa: N802 - Twisted's name
        """Read what has come."""
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
                self.owner.answered(self, message.start_line[0])
            self._over()
            return
        if self.request is None:  # an answer to nothing would be taken for the next request's
            self._over()
            return
        if not self.reader.has_partial_message:
            end = data.find(b"\r\n\r\n") + 4
            known = self.heads.get(data[:end])
            if known is not None and len(data) == end + known[1]:
                self.carried += 1
                self.owner.answered(self, known[0])
                return
        self._read(data)

    def _read(self, data: bytes) -> None:
        """Parse heads seen for the first time, and answers that come in parts."""
        reader = self.reader
        reader.feed(data)
        try:
            message = reader.next_message()
            while message is not None and message.start_line[0][:1] == b"1":
                message = reader.next_message()
        except MalformedMessageError:
            self._over()
            return
        if message is None:
            return
        status = message.start_line[0]
        clean = message.keep_alive and not reader.has_partial_message
        whole = data.find(b"\r\n\r\n") + 4
        if clean and b"content-length" in message.fields and len(data) == whole + len(message.body):
            if len(self.heads) >= MAX_CACHED_HEADS:
                self.heads.clear()
            self.heads[data[:whole]] = (status, len(message.body))
        self.carried += 1
        if clean:
            self.owner.answered(self, status)
        else:
            self.alive = False
            self.owner.answered(self, status)
            self._over()
