"""What the connections of all three kinds share: a parser, and one log line when they end."""

from __future__ import annotations

import fcntl
import select
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import protocol
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from wheatring.common import log
from wheatring.common.http_parser import MessageParser


class Transport(Protocol):
    """The part of Twisted's TCP transports that is used here; the names are Twisted's.

    Attributes
    ----------
    dataBuffer : bytes
        What was handed to the system, which has not taken all of it.
    """

    dataBuffer: bytes  # noqa: N815 - Twisted's name

    def write(self, data: bytes) -> None:
        """Send data, as soon as the system takes it."""

    def loseConnection(self) -> None:  # noqa: N802 - Twisted's name
        """Close once all that was written is out."""

    def abortConnection(self) -> None:  # noqa: N802 - Twisted's name
        """Reset at once."""

    def loseWriteConnection(self) -> None:  # noqa: N802 - Twisted's name
        """Shut the sending side once all that was written is out."""

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        """Take the connection as ended."""

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Read no more for now."""

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Read on."""

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802 - Twisted's name
        """Have a producer asked for data whenever all that was written is out."""

    def unregisterProducer(self) -> None:  # noqa: N802 - Twisted's name
        """Ask the producer no more."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802 - Twisted's name
        """Send small writes at once."""

    def getPeer(self) -> Any:  # noqa: N802 - Twisted's name
        """Return the peer's address."""

    def fileno(self) -> int:
        """Return the socket's descriptor."""


def has_hung_up(transport: Transport) -> bool:
    """Return whether the peer has ended its sending or reset the connection, also behind unread bytes."""
    poller = select.poll()
    poller.register(transport.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def has_undelivered_bytes(transport: Transport) -> bool:
    """Return whether a part of what was written has not reached the peer's system.

    With all that it sends, that system acknowledges what had reached it before.
    """
    import termios  # not loaded at the start

    try:
        unacknowledged = fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:  # not a system that can tell
        return False
    return unacknowledged != bytes(4)


def call_after_read(reactor: Any, call: Callable[..., object], *args: Any, delay: float = 0.0) -> None:
    """Schedule a call for when all has been read that the system holds now, or `delay` seconds later.

    The reactor polls all sockets between two turns, but before the first of them it may not have.
    """
    reactor.callLater(delay, reactor.callLater, 0, call, *args)


class Connection(protocol.Protocol):
    """One TCP connection of the daemon. It leaves exactly one log line when it ends, with the code why.

    Attributes
    ----------
    log_event : str
        The event of that line.
    close_code : str
        Why this side has ended the connection; "": it has not.
    close_reason : str
        What was wrong with what the peer sent, in words.
    """

    transport: Transport  # type: ignore[assignment]  # Twisted's own type knows nothing of TCP
    log_event = "connection"

    def __init__(
        self, *, responses: bool, max_body_bytes: int, buffered_body_bytes: int | None = None
    ) -> None:
        self.parser = MessageParser(
            responses=responses, max_body_bytes=max_body_bytes, buffered_body_bytes=buffered_body_bytes
        )
        self.close_code = ""
        self.close_reason = ""
        self.is_connected = False
        self.peer = ""  # host:port

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Note the peer."""
        self.is_connected = True
        address = self.transport.getPeer()
        self.peer = f"{address.host}:{address.port}"
        self.transport.setTcpNoDelay(True)

    def close(self, code: str) -> None:
        """End the connection once what has been written is out."""
        if self.is_connected and not self.close_code:
            self.close_code = code
            self.transport.loseConnection()

    def abort(self, code: str) -> None:
        """End the connection at once; what has not been sent yet is not sent any more."""
        if self.is_connected:
            self.close_code = self.close_code or code
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802 - Twisted's name
        """Log the end, and call `on_ended`."""
        self.is_connected = False
        is_orderly = isinstance(reason.value, ConnectionDone)
        details = {"why": self.close_reason} if self.close_reason else {}
        code = self.close_code or ("peer-closed" if is_orderly else "peer-reset")
        log.line(self.log_event, code=code, peer=self.peer, **details)
        self.on_ended(is_orderly)

    def on_ended(self, is_orderly: bool) -> None:
        """Clean up after the connection; `is_orderly`: it was not reset."""
