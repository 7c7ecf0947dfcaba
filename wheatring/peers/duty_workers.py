"""The work of a duty: a call to an address that the configuration names, by one sidecar at a time.

    POST PATH HTTP/1.1
    Duty: NAME
    Duty-Holder: NAME OF THE SIDECAR
    Duty-Epoch: EPOCH

Whoever is called keeps the highest epoch it has seen, and answers 409 with it in `Duty-Epoch` to a lower one.
"""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.python.failure import Failure

from wheatring import log
from wheatring.core.clock import Clock, Timer
from wheatring.http1.parser import BadMessage, Reader

PATIENCE = 2.0  # seconds with one call
ANSWER = 16_384  # bytes of an answer's body


class DutyHolder(Protocol):
    """What tells whether this sidecar is in office."""

    @property
    def name(self) -> str: ...

    def act(self, duty: str) -> int | None: ...

    def acted(self, duty: str) -> None: ...

    def outdated(self, duty: str, epoch: int) -> None: ...


class DutyWorker(Protocol):
    def office(self, epoch: int | None) -> None:
        """It has come into office, or left it."""

    def stop(self) -> None: ...


class _Call(protocol.Protocol):
    transport: Any

    def __init__(self, work: HttpDutyWorker) -> None:
        self.work = work
        self.reader = Reader(responses=True, max_body=ANSWER)
        self.done = False
        self.late: Timer | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        work = self.work
        self.late = work.clock.at(work.clock.now() + PATIENCE, self.transport.abortConnection)
        # Now, and not when the call was due: connecting may have taken longer than the term lasts.
        epoch = work.part.act(work.duty)
        if epoch is None:
            self.transport.abortConnection()
            return
        head = (
            f"POST {work.path} HTTP/1.1\r\nHost: {work.host}:{work.port}\r\n"
            f"Duty: {work.duty}\r\nDuty-Holder: {work.part.name}\r\n"
            f"Duty-Epoch: {epoch}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        )
        self.transport.write(head.encode("latin-1"))

    def dataReceived(self, data: bytes) -> None:
        if self.done:
            return
        self.reader.feed(data)
        try:
            message = self.reader.next()
        except BadMessage as bad:
            self.done = True
            log.line("duty-call", duty=self.work.duty, code="bad-answer", why=str(bad))
            self.transport.abortConnection()
            return
        if message is not None:
            self.done = True
            self.work.answered(int(message.first[0]), message.fields.get(b"duty-epoch", b""))
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        if self.late is not None and self.late.active():
            self.late.cancel()
        self.work.ended(self)


class HttpDutyWorker:
    """Calls `host:port` each `every` seconds while in office, one call at a time."""

    def __init__(
        self, reactor: Any, clock: Clock, part: DutyHolder, duty: str, address: tuple[str, int], path: str,
        every: float,
    ) -> None:  # fmt: skip
        self.reactor = reactor
        self.clock = clock
        self.part = part
        self.duty = duty
        self.host, self.port = address
        self.path = path
        self.every = every
        self.call: _Call | None = None
        self.timer: Timer | None = None
        self.over = False

    def office(self, epoch: int | None) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if epoch is not None and not self.over:
            self.turn(self.clock.now())

    def turn(self, due: float) -> None:
        if self.over or self.part.act(self.duty) is None:
            return
        following = max(due + self.every, self.clock.now())
        self.timer = self.clock.at(following, self.turn, following)
        if self.call is None:
            self.call = _Call(self)
            point = TCP4ClientEndpoint(self.reactor, self.host, self.port, timeout=PATIENCE)
            made: Deferred[Any] = connectProtocol(point, self.call)  # type: ignore[no-untyped-call]
            made.addErrback(self.failed, self.call)

    def failed(self, why: Failure, call: _Call) -> None:
        log.line("duty-call", duty=self.duty, code="connect-failed", why=str(why.value))
        self.ended(call)

    def ended(self, call: _Call) -> None:
        if self.call is call:
            self.call = None

    def answered(self, status: int, epoch: bytes) -> None:
        if status == 409 and epoch.isdigit():
            log.line("duty-call", duty=self.duty, code="outdated", epoch=int(epoch[:18]))
            self.part.outdated(self.duty, int(epoch[:18]))
        elif status < 300:
            self.part.acted(self.duty)
        else:
            log.line("duty-call", duty=self.duty, code=f"answered-{status}")

    def stop(self) -> None:
        self.over = True
        self.office(None)
        if self.call is not None and self.call.transport is not None:
            self.call.transport.abortConnection()


class PassiveWorker:
    """A duty whose work is elsewhere: that it is held is all that it does."""

    def office(self, epoch: int | None) -> None:
        return

    def stop(self) -> None:
        return
