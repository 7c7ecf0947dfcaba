"""The client for the discovery service: sequential calls on one connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from wheatring.common import log
from wheatring.common.exceptions import MalformedMessageError
from wheatring.common.http_parser import Message
from wheatring.daemon.core.clock import Clock, Timer
from wheatring.daemon.http1.connection import Connection
from wheatring.daemon.lifecycle.notification_deadline import CALL_TIMEOUT_SECONDS

MAX_LIST_BYTES = 4 * 1024 * 1024
# Long-poll time of a watch. It is long because discovery accepts few calls a second from all sidecars
# together.
WATCH_WAIT_SECONDS = 50.0
CONNECT_TIMEOUT_SECONDS = 2.0
# A response that has begun fails after a gap of STALL_SECONDS, or after FULL_LIST_SECONDS in total. The
# sidecar counts as notified of its content, and would otherwise wait as long as for a watch without changes.
STALL_SECONDS = 1.0
FULL_LIST_SECONDS = CALL_TIMEOUT_SECONDS

AnswerCallback = Callable[[Any], None]  # receives the undecoded response body, or None if the call failed


class DiscoveryClient(Protocol):
    """Makes sequential calls to discovery; each one ends with one callback, with None for a failure.

    Attributes
    ----------
    on_answer : AnswerCallback | None
        Callback of the current call; None if there is none.
    on_connected : Callable[[], None] | None
        Called each time a connection has been established.
    answer_began_at : float | None
        Time at which the response to the current or the last call began; None if it has not.
    is_sent : bool
        The current call has been written to a connection.
    """

    on_answer: AnswerCallback | None
    on_connected: Callable[[], None] | None
    answer_began_at: float | None
    is_sent: bool

    def call(self, version: int | None, deadline: float, on_answer: AnswerCallback) -> None:
        """Wait up to `WATCH_WAIT_SECONDS` for changes since a version; None requests the full list."""

    def stop(self, code: str) -> None:
        """Abort the current call, which fails."""

    def close(self, code: str) -> None:
        """Close the connection; no further calls follow."""


class _DiscoveryConnection(Connection):
    """A connection to discovery, with at most one call on it."""

    log_event = "discovery-connection"

    def __init__(self, client: HttpDiscoveryClient) -> None:
        super().__init__(responses=True, max_body_bytes=MAX_LIST_BYTES)
        self.client = client

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Notify the client that the connection is established."""
        super().connectionMade()
        self.client.connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parse a response, and pass it to the client once it is complete."""
        self.parser.feed(data)
        try:
            message = self.parser.next_message()
            while message is not None and message.start_line[0][:1] == b"1":  # skips interim responses
                message = self.parser.next_message()
        except MalformedMessageError as error:
            log.line("bad-list", why=str(error))
            self.abort("bad-answer")
            return
        if message is not None:
            self.client.handle_answer(self, message)
        elif self.parser.has_partial_message:
            self.client.note_answer_began()

    def on_ended(self, is_orderly: bool) -> None:
        """Pass on a response that is delimited by the close, or report the failure."""
        message = self.parser.end_of_input() if is_orderly else None
        if message is not None:
            self.client.handle_answer(self, message)
        self.client.disconnected(self)


class HttpDiscoveryClient(ClientFactory):
    """The discovery client of a process, over HTTP/1.1.

    Attributes
    ----------
    deadline : float
        Time by which the current call must be answered.
    answer_deadline : float
        Time by which a response that has begun must be complete.
    """

    noisy = False

    def __init__(self, reactor: Any, clock: Clock, address: tuple[str, int]) -> None:
        self.reactor = reactor
        self.clock = clock
        self.address = address
        self.connection: _DiscoveryConnection | None = None
        self.connector: Any = None
        self.version: int | None = None
        self.on_answer: AnswerCallback | None = None
        self.on_connected: Callable[[], None] | None = None
        self.deadline = 0.0
        self.answer_deadline = 0.0
        self.answer_began_at: float | None = None
        self.is_sent = False
        self.timer: Timer | None = None

    def call(self, version: int | None, deadline: float, on_answer: AnswerCallback) -> None:
        """Make a call on the current connection or a new one."""
        self.version, self.on_answer, self.deadline = version, on_answer, deadline
        self.answer_began_at = None
        self.is_sent = False
        self.answer_deadline = max(deadline, self.clock.now() + FULL_LIST_SECONDS)
        if self.connection is not None:
            self.send()
        else:
            self.set_timer(min(deadline, self.clock.now() + CONNECT_TIMEOUT_SECONDS))
            self.connector = self.reactor.connectTCP(*self.address, self, timeout=None)

    def note_answer_began(self) -> None:
        """Set the time limits of a partially received response."""
        if self.on_answer is None:  # no call: the rest would be parsed as the response to the next one
            self.stop("not-kept")
            return
        now = self.clock.now()
        if self.answer_began_at is None:
            self.answer_began_at = now
            self.deadline = min(self.answer_deadline, now + FULL_LIST_SECONDS)
        self.set_timer(min(self.deadline, now + STALL_SECONDS))

    def set_timer(self, expires_at: float) -> None:
        """Set the time-out of the call, replacing the previous one."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = self.clock.at(expires_at, self.stop, "late")

    def send(self) -> None:
        """Write the current call to the connection."""
        assert self.connection is not None
        self.set_timer(self.deadline)
        self.is_sent = True
        host, port = self.address
        path = "/v1/servers"
        if self.version is not None:
            path += f"?index={self.version}&wait={int(WATCH_WAIT_SECONDS * 1000)}"
        text = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\nAccept: application/json\r\n\r\n"
        self.connection.transport.write(text.encode("ascii"))

    def buildProtocol(self, addr: object) -> _DiscoveryConnection:  # noqa: ARG002, N802 - Twisted's signature
        """Return the protocol for an established connection."""
        return _DiscoveryConnection(self)

    def connected(self, connection: _DiscoveryConnection) -> None:
        """Write the current call to an established connection; abort the connection if there is none."""
        self.connection = connection
        if self.on_answer is None:
            connection.abort("given-up")
            return
        self.send()
        if self.on_connected is not None:
            self.on_connected()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: ARG002, N802 - Twisted's signature
        """Fail the call, as the connect failed."""
        log.line("discovery-connection", code="connect-failed", why=str(reason.value))
        self.finish(None)

    def handle_answer(self, connection: _DiscoveryConnection, message: Message) -> None:
        """Complete the call with its response, and close the connection if it can't be reused."""
        if connection is not self.connection:
            return
        if not message.keep_alive or connection.parser.has_partial_message or self.on_answer is None:
            self.connection = None
            connection.close("not-kept")
        self.finish(message.body if message.start_line[0] == b"200" else None)

    def disconnected(self, connection: _DiscoveryConnection) -> None:
        """Fail the call if its connection was closed; connections of aborted calls are ignored."""
        if connection is self.connection:
            self.connection = None
            self.finish(None)

    def stop(self, code: str) -> None:
        """Abort the current call, which fails."""
        if self.connection is not None:
            connection, self.connection = self.connection, None
            connection.abort(code)
        elif self.connector is not None and self.connector.state == "connecting":
            self.connector.stopConnecting()
        self.finish(None)

    def close(self, code: str) -> None:
        """Close the connection if there is one."""
        if self.connection is not None:
            self.connection.close(code)

    def finish(self, answer: bytes | None) -> None:
        """End the current call, and pass its response to the callback; None for a failure."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        on_answer, self.on_answer = self.on_answer, None
        if on_answer is not None:
            on_answer(answer)
