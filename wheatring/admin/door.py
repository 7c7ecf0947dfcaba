"""The operators' door: HTTP/1.1, one call to a connection, each answered as soon as it is whole.

It shares nothing with the callers' side but the parser: its places are its own, so a crowd at one door takes
none at the other. Who says nothing, or half a call, is let go for the next one once all places are taken.
"""

from __future__ import annotations

from typing import Any

from twisted.internet import protocol
from twisted.internet.tcp import Port
from twisted.python.failure import Failure

from wheatring import log
from wheatring.admin.calls import Desk, Said, answer
from wheatring.core.clock import Clock, Timer
from wheatring.http1.parser import BadMessage, Reader

MOST = 24  # calls at once
# Taken in one go at most. All that came with them is read before the next go, so a whole call is answered
# long before so many have come behind it that it would have to make room.
AT_ONCE = 4
PATIENCE = 6.0  # seconds until a call that is not whole is ended, though there is room
LINGER = 1.0  # seconds in which an answer is to be read
BODY = 1024  # bytes of a body, where no call needs one
BACKLOG = 256
REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
           409: "Conflict", 500: "Internal Server Error", 503: "Service Unavailable"}  # fmt: skip


def written(said: Said) -> bytes:
    body = f"{said.line}\n"
    allow = f"Allow: {said.allow}\r\n" if said.allow else ""
    head = f"HTTP/1.1 {said.status} {REASONS[said.status]}\r\nContent-Type: text/plain\r\n{allow}"
    return f"{head}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}".encode()


class Call(protocol.Protocol):
    """One connection, for one call."""

    transport: Any

    def __init__(self, door: Door) -> None:
        self.door = door
        self.reader = Reader(responses=False, max_body=door.body)
        self.code = ""
        self.late: Timer | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        clock = self.door.clock
        self.late = clock.at(clock.now() + PATIENCE, self.end, "silent")
        self.door.came(self)

    def dataReceived(self, data: bytes) -> None:
        if self.code:
            return  # answered: what else it says is not heard
        self.reader.feed(data)
        try:
            message = self.reader.next()
        except BadMessage as bad:
            self.say(Said(400, str(bad)))
            return
        if message is not None:
            method, target = message.first[:2]
            self.say(self.door.call(method, target, message.body))

    def say(self, said: Said) -> None:
        self.code = f"answered-{said.status}"
        self.transport.write(written(said))
        self.transport.loseConnection()
        self.stop_clock()
        self.late = self.door.clock.at(self.door.clock.now() + LINGER, self.end, "unread")

    def end(self, code: str) -> None:
        self.code = self.code or code
        self.transport.abortConnection()

    def stop_clock(self) -> None:
        if self.late is not None and self.late.active():
            self.late.cancel()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.stop_clock()
        self.door.went(self)
        log.line("control-connection", code=self.code or "peer-closed")


class _Listener(Port):
    def doRead(self) -> None:
        self.numberAccepts = AT_ONCE
        super().doRead()  # type: ignore[no-untyped-call]


class Door(protocol.ServerFactory):
    noisy = False

    def __init__(self, reactor: Any, clock: Clock, desk: Desk) -> None:
        self.reactor = reactor
        self.clock = clock
        self.desk = desk
        self.body = BODY  # bytes of a call's body at most
        self.calls: dict[Call, None] = {}  # in the order in which they came
        self.port: Any = None

    def listen(self, host: str, port: int) -> int:
        listener: Any = _Listener
        self.port = listener(port, self, BACKLOG, host, self.reactor)
        self.port.startListening()
        bound: int = self.port.getHost().port
        return bound

    def buildProtocol(self, addr: object) -> Call:
        return Call(self)

    def came(self, call: Call) -> None:
        self.calls[call] = None
        if len(self.calls) > MOST:
            oldest = next(iter(self.calls))
            del self.calls[oldest]  # its end comes only after this turn, and the next one must find another
            oldest.end("crowded")

    def went(self, call: Call) -> None:
        self.calls.pop(call, None)

    def call(self, method: bytes, target: bytes, body: bytes) -> Said:
        try:
            said = answer(self.desk, method, target, body)
        except Exception as bug:  # a call that trips us up is answered all the same
            log.line("control-broken", why=repr(bug))
            said = Said(500, "internal error")
        path = target[:120].decode("latin-1")
        log.line("control", method=method.decode("latin-1"), path=path, status=said.status)
        return said

    def close(self) -> None:
        """Take no more calls; those that are whole have been answered."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        for call in list(self.calls):
            call.end("stopping")
