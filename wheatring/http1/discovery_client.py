"""Calls to discovery, one after another on one connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from wheatring import log
from wheatring.core.clock import Clock, Timer
from wheatring.http1.connection import Connection
from wheatring.http1.parser import MalformedMessage, Message
from wheatring.lifecycle.told import GIVE_UP

MAX_LIST_BYTES = 4 * 1024 * 1024
# Discovery takes few calls a second from all sidecars together: a watch waits long for its answer.
WATCH_WAIT_SECONDS = 50.0
CONNECT_TIMEOUT_SECONDS = 2.0  # seconds in which discovery must have taken a connection
# Seconds without another byte, and in all, after which an answer that has begun has failed: what it would
# tell counts as told, and one that stalls in the middle would else be waited for as long as a quiet watch.
STALL_SECONDS = 1.0
FULL_LIST_SECONDS = GIVE_UP


class _DiscoveryConnection(Connection):
    """A connection to discovery, with at most one call on it."""

    log_event = "discovery-connection"

    def __init__(self, client: HttpDiscoveryClient) -> None:
        super().__init__(responses=True, max_body_bytes=MAX_LIST_BYTES)
        self.client = client

    def connectionMade(self) -> None:
        super().connectionMade()
        self.client.connected(self)

    def dataReceived(self, data: bytes) -> None:
        self.parser.feed(data)
        try:
            message = self.parser.next_message()
            while message is not None and message.start_line[0][:1] == b"1":  # the answer is still to come
                message = self.parser.next_message()
        except MalformedMessage as bad:
            log.line("bad-list", why=str(bad))
            self.abort("bad-answer")
            return
        if message is not None:
            self.client.handle_answer(self, message)
        elif self.parser.has_partial_message:
            self.client.note_answer_began()

    def on_ended(self, orderly: bool) -> None:
        message = self.parser.end_of_input() if orderly else None
        if message is not None:
            self.client.handle_answer(self, message)
        self.client.disconnected(self)


AnswerCallback = Callable[[Any], None]  # what a call brought, not yet read; None: it failed


class DiscoveryClient(Protocol):
    """Makes one call to discovery after another; each ends in one answer or, as None, in a failure."""

    on_answer: AnswerCallback | None  # of the call that is out
    on_connected: Callable[[], None] | None  # told each time it has a connection
    answer_began_at: (
        float | None
    )  # since when there was one of the answer to the call that is out, or was the last one
    is_sent: bool  # that call had a connection

    def call(self, version: int | None, deadline: float, on_answer: AnswerCallback) -> None:
        """Ask for what is newer than a version, to wait for it until WAIT is over, or for the whole list."""

    def stop(self, code: str) -> None:
        """Give the call up: it has failed."""

    def close(self, code: str) -> None:
        """No further call will be made."""


class HttpDiscoveryClient(ClientFactory):
    """Makes its calls one after another on one connection."""

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
        self.deadline = 0.0  # of the present call
        self.answer_deadline = 0.0  # and of its answer, once that has begun
        self.answer_began_at: float | None = None  # since when there is one of its answer
        self.is_sent = False  # it has been written
        self.timer: Timer | None = None

    def call(self, version: int | None, deadline: float, on_answer: AnswerCallback) -> None:
        self.version, self.on_answer, self.deadline, self.answer_began_at = version, on_answer, deadline, None
        self.is_sent = False
        self.answer_deadline = max(deadline, self.clock.now() + FULL_LIST_SECONDS)
        if self.connection is not None:
            self.send()
        else:
            self.set_deadline(min(deadline, self.clock.now() + CONNECT_TIMEOUT_SECONDS))
            self.connector = self.reactor.connectTCP(*self.address, self, timeout=None)

    def note_answer_began(self) -> None:
        """A part of the answer has come."""
        if self.on_answer is None:  # to no call: what follows would be taken for the next one's
            self.stop("not-kept")
            return
        now = self.clock.now()
        if self.answer_began_at is None:
            self.answer_began_at = now
            self.deadline = min(self.answer_deadline, now + FULL_LIST_SECONDS)
        self.set_deadline(min(self.deadline, now + STALL_SECONDS))

    def set_deadline(self, instant: float) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = self.clock.at(instant, self.stop, "late")

    def send(self) -> None:
        assert self.connection is not None
        self.set_deadline(self.deadline)
        self.is_sent = True
        host, port = self.address
        path = "/v1/servers"
        if self.version is not None:
            path += f"?index={self.version}&wait={int(WATCH_WAIT_SECONDS * 1000)}"
        text = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\nAccept: application/json\r\n\r\n"
        self.connection.transport.write(text.encode("ascii"))

    def buildProtocol(self, addr: object) -> _DiscoveryConnection:
        return _DiscoveryConnection(self)

    def connected(self, connection: _DiscoveryConnection) -> None:
        self.connection = connection
        if self.on_answer is None:
            connection.abort("given-up")
            return
        self.send()
        if self.on_connected is not None:
            self.on_connected()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        log.line("discovery-connection", code="connect-failed", why=str(reason.value))
        self.finish(None)

    def handle_answer(self, connection: _DiscoveryConnection, message: Message) -> None:
        if connection is not self.connection:
            return
        if not message.keep_alive or connection.parser.has_partial_message or self.on_answer is None:
            self.connection = None
            connection.close("not-kept")
        self.finish(message.body if message.start_line[0] == b"200" else None)

    def disconnected(self, connection: _DiscoveryConnection) -> None:
        if connection is self.connection:  # the end of one that was given up is nobody's news
            self.connection = None
            self.finish(None)

    def stop(self, code: str) -> None:
        """Give the call up: it has failed."""
        if self.connection is not None:
            connection, self.connection = self.connection, None
            connection.abort(code)
        elif self.connector is not None and self.connector.state == "connecting":
            self.connector.stopConnecting()
        self.finish(None)

    def close(self, code: str) -> None:
        if self.connection is not None:
            self.connection.close(code)

    def finish(self, answer: bytes | None) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        done, self.on_answer = self.on_answer, None
        if done is not None:
            done(answer)
