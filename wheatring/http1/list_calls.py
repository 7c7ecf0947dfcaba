"""Calls to discovery, one after another on one connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from wheatring import log
from wheatring.core.clock import Clock, Timer
from wheatring.http1.connection import Connection
from wheatring.http1.parser import BadMessage, Message
from wheatring.lifecycle.told import GIVE_UP

MAX_LIST = 4 * 1024 * 1024
# Discovery takes few calls a second from all sidecars together: a watch waits long for its answer.
WAIT = 50.0
DIAL = 2.0  # seconds in which discovery must have taken a connection
# Seconds without another byte, and in all, after which an answer that has begun has failed: what it would
# tell counts as told, and one that stalls in the middle would else be waited for as long as a quiet watch.
STALL = 1.0
WHOLE = GIVE_UP


class _Call(Connection):
    """A connection to discovery, with at most one call on it."""

    kind = "discovery-connection"

    def __init__(self, factory: HttpCaller) -> None:
        super().__init__(responses=True, max_body=MAX_LIST)
        self.factory = factory

    def connectionMade(self) -> None:
        super().connectionMade()
        self.factory.up(self)

    def dataReceived(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            message = self.reader.next()
            while message is not None and message.first[0][:1] == b"1":  # the answer is still to come
                message = self.reader.next()
        except BadMessage as bad:
            log.line("bad-list", why=str(bad))
            self.abort("bad-answer")
            return
        if message is not None:
            self.factory.answered(self, message)
        elif self.reader.started:
            self.factory.begun()

    def ended(self, orderly: bool) -> None:
        message = self.reader.end() if orderly else None
        if message is not None:
            self.factory.answered(self, message)
        self.factory.down(self)


Done = Callable[[Any], None]  # what a call brought, not yet read; None: it failed


class Caller(Protocol):
    """Makes one call to discovery after another; each ends in one answer or, as None, in a failure."""

    done: Done | None  # of the call that is out
    on_up: Callable[[], None] | None  # told each time it has a connection
    part: float | None  # since when there was one of the answer to the call that is out, or was the last one
    taken: bool  # that call had a connection

    def call(self, index: int | None, deadline: float, done: Done) -> None:
        """Ask for what is newer than a version, to wait for it until WAIT is over, or for the whole list."""

    def stop(self, code: str) -> None:
        """Give the call up: it has failed."""

    def close(self, code: str) -> None:
        """No further call will be made."""


class HttpCaller(ClientFactory):
    """Makes its calls one after another on one connection."""

    noisy = False

    def __init__(self, reactor: Any, clock: Clock, address: tuple[str, int]) -> None:
        self.reactor = reactor
        self.clock = clock
        self.address = address
        self.connection: _Call | None = None
        self.connector: Any = None
        self.index: int | None = None
        self.done: Done | None = None
        self.on_up: Callable[[], None] | None = None
        self.deadline = 0.0  # of the present call
        self.latest = 0.0  # and of its answer, once that has begun
        self.part: float | None = None  # since when there is one of its answer
        self.taken = False  # it has been written
        self.late: Timer | None = None

    def call(self, index: int | None, deadline: float, done: Done) -> None:
        self.index, self.done, self.deadline, self.part = index, done, deadline, None
        self.taken = False
        self.latest = max(deadline, self.clock.now() + WHOLE)
        if self.connection is not None:
            self.write()
        else:
            self.set_deadline(min(deadline, self.clock.now() + DIAL))
            self.connector = self.reactor.connectTCP(*self.address, self, timeout=None)

    def begun(self) -> None:
        """A part of the answer has come."""
        if self.done is None:  # to no call: what follows would be taken for the next one's
            self.stop("not-kept")
            return
        now = self.clock.now()
        if self.part is None:
            self.part = now
            self.deadline = min(self.latest, now + WHOLE)
        self.set_deadline(min(self.deadline, now + STALL))

    def set_deadline(self, instant: float) -> None:
        if self.late is not None and self.late.active():
            self.late.cancel()
        self.late = self.clock.at(instant, self.stop, "late")

    def write(self) -> None:
        assert self.connection is not None
        self.set_deadline(self.deadline)
        self.taken = True
        host, port = self.address
        path = "/v1/servers"
        if self.index is not None:
            path += f"?index={self.index}&wait={int(WAIT * 1000)}"
        text = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\nAccept: application/json\r\n\r\n"
        self.connection.transport.write(text.encode("ascii"))

    def buildProtocol(self, addr: object) -> _Call:
        return _Call(self)

    def up(self, connection: _Call) -> None:
        self.connection = connection
        if self.done is None:
            connection.abort("given-up")
            return
        self.write()
        if self.on_up is not None:
            self.on_up()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        log.line("discovery-connection", code="connect-failed", why=str(reason.value))
        self.end(None)

    def answered(self, connection: _Call, message: Message) -> None:
        if connection is not self.connection:
            return
        if not message.keep_alive or connection.reader.started or self.done is None:
            self.connection = None
            connection.close("not-kept")
        self.end(message.body if message.first[0] == b"200" else None)

    def down(self, connection: _Call) -> None:
        if connection is self.connection:  # the end of one that was given up is nobody's news
            self.connection = None
            self.end(None)

    def stop(self, code: str) -> None:
        """Give the call up: it has failed."""
        if self.connection is not None:
            connection, self.connection = self.connection, None
            connection.abort(code)
        elif self.connector is not None and self.connector.state == "connecting":
            self.connector.stopConnecting()
        self.end(None)

    def close(self, code: str) -> None:
        if self.connection is not None:
            self.connection.close(code)

    def end(self, answer: bytes | None) -> None:
        if self.late is not None and self.late.active():
            self.late.cancel()
        self.late = None
        done, self.done = self.done, None
        if done is not None:
            done(answer)
