"""What the connections of all three kinds share: one reader, and one log line when they end."""

from __future__ import annotations

import fcntl
import select
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import protocol
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from wheatring import log
from wheatring.http1.parser import MessageParser


class Transport(Protocol):
    """The part of Twisted's TCP transports that is used here."""

    dataBuffer: bytes  # what has been tried to be sent, and has not all left

    def write(self, data: bytes) -> None: ...

    def loseConnection(self) -> None: ...

    def abortConnection(self) -> None: ...

    def loseWriteConnection(self) -> None: ...

    def connectionLost(self, reason: Failure) -> None: ...

    def pauseProducing(self) -> None: ...

    def resumeProducing(self) -> None: ...

    def registerProducer(self, producer: object, streaming: bool) -> None: ...

    def unregisterProducer(self) -> None: ...

    def setTcpNoDelay(self, enabled: bool) -> None: ...

    def getPeer(self) -> Any: ...

    def fileno(self) -> int: ...


def has_hung_up(transport: Transport) -> bool:
    """Whether the peer has ended its sending or reset the connection, also behind bytes that are unread."""
    poller = select.poll()
    poller.register(transport.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def has_undelivered_bytes(transport: Transport) -> bool:
    """Whether a part of what was written has not come to the peer's system, which confirms with all that it
    sends what had come before.
    """
    import termios  # a start does without

    try:
        left = fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:  # no system that tells it
        return False
    return left != bytes(4)


def call_after_read(reactor: Any, call: Callable[..., object], *args: Any, delay: float = 0.0) -> None:
    """Call it once all that the system holds by now, or by so many seconds later, has been read. Between two
    turns of the reactor it looks at all sockets; before the first one it may not.
    """
    reactor.callLater(delay, reactor.callLater, 0, call, *args)


class Connection(protocol.Protocol):
    """Leaves exactly one log line when it ends, with a code for the reason."""

    transport: Transport  # type: ignore[assignment]  # Twisted's own type says nothing of TCP
    log_event = "connection"

    def __init__(
        self, *, responses: bool, max_body_bytes: int, buffered_body_bytes: int | None = None
    ) -> None:
        self.parser = MessageParser(
            responses=responses, max_body_bytes=max_body_bytes, buffered_body_bytes=buffered_body_bytes
        )
        self.close_code = ""  # why this side ended it; none while it has not
        self.close_reason = ""  # what was wrong with what the peer sent
        self.is_connected = False
        self.peer = ""

    def connectionMade(self) -> None:
        self.is_connected = True
        address = self.transport.getPeer()
        self.peer = f"{address.host}:{address.port}"
        self.transport.setTcpNoDelay(True)

    def close(self, code: str) -> None:
        """End it once what has been written is out."""
        if self.is_connected and not self.close_code:
            self.close_code = code
            self.transport.loseConnection()

    def abort(self, code: str) -> None:
        """End it at once; what has not been sent yet is not sent any more."""
        if self.is_connected:
            self.close_code = self.close_code or code
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.is_connected = False
        orderly = isinstance(reason.value, ConnectionDone)
        told = {"why": self.close_reason} if self.close_reason else {}
        code = self.close_code or ("peer-closed" if orderly else "peer-reset")
        log.line(self.log_event, code=code, peer=self.peer, **told)
        self.on_ended(orderly)

    def on_ended(self, orderly: bool) -> None:
        """The connection is gone; `orderly` if it was not broken off."""
