"""Base class of connections to callers, endpoints and discovery: a parser, and one log line at the close."""

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
    """The part of Twisted's TCP transports that is used here, under Twisted's names.

    Attributes
    ----------
    dataBuffer : bytes
        Output that the kernel has not accepted completely.
    """

    dataBuffer: bytes  # noqa: N815 - Twisted's name

    def write(self, data: bytes) -> None:
        """Send data as soon as the kernel accepts it."""

    def loseConnection(self) -> None:  # noqa: N802 - Twisted's name
        """Close once all output has been sent."""

    def abortConnection(self) -> None:  # noqa: N802 - Twisted's name
        """Reset the connection immediately."""

    def loseWriteConnection(self) -> None:  # noqa: N802 - Twisted's name
        """Shut down the write side once all output has been sent."""

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        """Treat the connection as closed."""

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Pause reading."""

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Resume reading."""

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802 - Twisted's name
        """Register a producer, which is asked for data whenever all output has been sent."""

    def unregisterProducer(self) -> None:  # noqa: N802 - Twisted's name
        """Unregister the producer."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802 - Twisted's name
        """Set TCP_NODELAY."""

    def getPeer(self) -> Any:  # noqa: N802 - Twisted's name
        """Return the peer's address."""

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""


def has_hung_up(transport: Transport) -> bool:
    """Return whether the peer has closed, half-closed or reset the connection, even behind unread data."""
    poller = select.poll()
    poller.register(transport.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def has_undelivered_bytes(transport: Transport) -> bool:
    """Return whether output is still unacknowledged by the peer's kernel.

    Any segment from the peer also acknowledges the data received before, so after a read this is up to date.
    """
    import termios  # deferred to speed up the start

    try:
        unacknowledged = fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:  # not supported on this platform
        return False
    return unacknowledged != bytes(4)


def call_after_read(reactor: Any, call: Callable[..., object], *args: Any, delay: float = 0.0) -> None:
    """Schedule a call for after the reactor has read all input that is pending now, or `delay` seconds later.

    The reactor polls all sockets between two iterations, but may not have polled them before the next one.
    """
    reactor.callLater(delay, reactor.callLater, 0, call, *args)


class Connection(protocol.Protocol):
    """One TCP connection of the daemon. Its end is logged in exactly one line, with a reason code.

    Attributes
    ----------
    log_event : str
        Event name of that line.
    close_code : str
        Reason code for which this side has closed the connection; "" if it has not.
    close_reason : str
        Description of the peer's error, for the log.
    """

    transport: Transport  # type: ignore[assignment]  # Twisted's own type lacks the TCP methods
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
        """Record the address of the peer."""
        self.is_connected = True
        address = self.transport.getPeer()
        self.peer = f"{address.host}:{address.port}"
        self.transport.setTcpNoDelay(True)

    def close(self, code: str) -> None:
        """Close the connection once all output has been sent."""
        if self.is_connected and not self.close_code:
            self.close_code = code
            self.transport.loseConnection()

    def abort(self, code: str) -> None:
        """Reset the connection immediately; unsent output is dropped."""
        if self.is_connected:
            self.close_code = self.close_code or code
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802 - Twisted's name
        """Log the close, and call `on_ended`."""
        self.is_connected = False
        is_orderly = isinstance(reason.value, ConnectionDone)
        details = {"why": self.close_reason} if self.close_reason else {}
        code = self.close_code or ("peer-closed" if is_orderly else "peer-reset")
        log.line(self.log_event, code=code, peer=self.peer, **details)
        self.on_ended(is_orderly)

    def on_ended(self, is_orderly: bool) -> None:
        """Clean up after the close; `is_orderly` is False if the connection was reset."""
