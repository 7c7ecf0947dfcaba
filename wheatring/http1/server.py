"""The server side: callers' connections. Each request becomes a job, each final answer a response."""

from __future__ import annotations

import re
from collections.abc import Callable, Container, Mapping
from math import ceil, inf
from typing import Any

from twisted.internet.protocol import ServerFactory
from twisted.internet.tcp import Port

from lapisway.interface import Effect, RequestClass
from wheatring import log
from wheatring.core.clock import Clock, Timer
from wheatring.core.exchange import Answer, Exchange, Final, Job
from wheatring.core.refused import Refused
from wheatring.http1.connection import Connection
from wheatring.http1.parser import MAX_BODY, MAX_HEAD, BadMessage, Message, Request

_IDENT = re.compile(rb"[!-~]{1,200}")
_DIGITS = re.compile(rb"[0-9]{1,12}")
_ONCE = frozenset((b"x-correlation-id", b"x-service-class", b"x-time-left-ms", b"idempotency-key"))

SAFE, SERVED, REFUSED = Effect.SAFE, Final.SERVED, Final.REFUSED  # looked up once: an enum takes its time

REASONS = {
    400: b"Bad Request", 401: b"Unauthorized", 403: b"Forbidden", 404: b"Not Found",
    405: b"Method Not Allowed", 408: b"Request Timeout", 409: b"Conflict", 413: b"Content Too Large",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error", 502: b"Bad Gateway",
    503: b"Service Unavailable",
}  # fmt: skip

SWEEP = 0.25  # seconds between looks for callers that keep a connection for nothing
# Seconds in which a request must be whole, from its first byte or, for the first one, from the connect.
# A caller that sends none is owed a word within 3 s.
PATIENCE = 2.0
IDLE = 20.0  # seconds after which a connection between requests is closed
IDLE_CROWDED = 2.0  # the same once half of the places are taken: a caller may rely on no more
LINGER = 2.0  # seconds in which a caller may read the answer to what could not be read
DRAIN = 1024 * 1024  # bytes of the rest of its request that are read meanwhile; more would only cost time
# Seconds that a connection keeps its place without a job when all places are taken: enough for a caller
# that has just connected to write its request, and a crowd that says nothing can't shut the others out.
STAND = 0.3
BACKLOG = 511  # callers that may wait at the door
# When it leaves: seconds in which a caller that has connected begins its request, in which a request that has
# begun is whole, and in which an answer is read.
FRESH = 0.1
HALF = 0.3
FLUSH = 0.5


def response(status: int, body: bytes = b"", more: bytes = b"", *, close: bool = False) -> bytes:
    return b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n%s\r\n%s" % (
        status, REASONS.get(status, b"OK"), more, len(body), b"Connection: close\r\n" if close else b"", body
    )  # fmt: skip


class CallerConnection(Connection):
    """One caller. It is answered one request at a time, in the order in which they came."""

    kind = "caller-connection"

    def __init__(self, server: Server) -> None:
        super().__init__(responses=False)
        self.server = server
        self.job: Job | None = None
        self.keep_alive = True
        self.lingering = False
        self.paused = False
        self.drained = 0  # bytes thrown away after the last answer
        self.since = server.clock.now()  # of the present state: between requests, or in the middle of one
        self.waiting = True  # a request is awaited and not whole; the first one from the connect on

    def connectionMade(self) -> None:
        super().connectionMade()
        self.server.came(self)

    def dataReceived(self, data: bytes) -> None:
        if self.lingering or self.code:
            self.drained += len(data)
            if self.drained > DRAIN and not self.paused:
                self.paused = True
                self.transport.pauseProducing()
            return
        self.reader.feed(data)
        if self.job is None:
            self.advance()
        elif len(self.reader.buffer) > MAX_HEAD + MAX_BODY and not self.paused:
            # A caller that sends ahead without end must not fill the memory.
            self.paused = True
            self.transport.pauseProducing()

    def advance(self) -> None:
        """Read on, until a job is under way or bytes are missing."""
        try:
            # A caller that has left must not start the next request that it had sent ahead.
            while self.alive and self.job is None and not self.code and not self.lingering:
                message = self.reader.next()
                if message is None:
                    break
                self.waiting = False
                self.keep_alive = message.keep_alive and not self.server.stopping
                self.handle(message)
        except BadMessage as bad:
            self.reject(bad.status, str(bad))
            return
        if self.job is None and self.reader.started and not self.waiting:
            self.waiting = True
            self.since = self.server.clock.now()
        if self.waiting and self.reader.message is not None:
            self.expect(self.reader.message)

    def expect(self, message: Message) -> None:
        if message.fields.pop(b"expect", b"").lower() == b"100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def handle(self, message: Message) -> None:
        try:
            if message.first[1].partition(b"?")[0] == b"/healthz":
                if message.first[0] != b"GET":
                    raise Refused(405, "method", b"Allow: GET\r\n")
                self.say(response(200, b"ok\n", close=not self.keep_alive))
                return
            job = self.server.job_from(message)
        except Refused as refused:
            if refused.status == 400:
                self.reject(400, str(refused))
            else:
                self.say(response(refused.status, refused.body, refused.more, close=not self.keep_alive))
            return
        except Exception as bug:  # a request that trips us up is answered all the same
            log.line("request-broken", why=repr(bug))
            self.reject(500, "internal error")
            return
        self.job = job
        self.server.exchange.submit(job).addCallback(self.answer, job).addErrback(self.broken)

    def answer(self, answer: Answer, job: Job) -> None:
        self.job = None
        close = not self.keep_alive or self.server.stopping
        self.keep_alive = not close
        mark = b"X-Drill: 1\r\n" if job.drill else b""
        if answer.final is SERVED:
            message = answer.content
            assert isinstance(message, Message)
            self.say(response(200, message.body, mark + message.end_to_end(), close=close))
        elif answer.final is REFUSED:
            wait = answer.retry_after
            more = b"Retry-After: %s\r\n" % (b"%.3f" % (ceil(wait * 1000) / 1000)) if wait > 0 else b""
            self.say(response(503, more=mark + more, close=close))
        else:
            self.say(response(502, more=mark, close=close))
        if self.paused:
            self.paused = False
            self.transport.resumeProducing()
        if self.reader.started:  # the next request is here already: not from within this one's answer
            self.server.reactor.callLater(0, self.advance)

    def broken(self, failure: Any) -> None:
        """Guards against a caller left without an answer by a fault of ours."""
        log.line("answer-broken", why=repr(failure.value))
        self.abort("internal-error")

    def say(self, data: bytes) -> None:
        if not self.alive:
            return
        self.since = self.server.clock.now()
        self.transport.write(data)
        if not self.keep_alive:
            self.close("stopping" if self.server.stopping else "caller-asked")

    def reject(self, status: int, why: str) -> None:
        """Answer what can't be read and end the connection. Closing at once would reset it under the
        caller's unread bytes, and the answer would be lost with them."""
        self.why = why
        self.lingering = True
        self.since = self.server.clock.now()
        self.reader.buffer.clear()
        self.transport.write(response(status, close=True))
        self.transport.loseWriteConnection()
        self.code = f"bad-request-{status}"

    def look(self, now: float, idle: float) -> None:
        """Close what is kept for nothing."""
        if self.code:
            # A caller that reads nothing must not keep its connection for ever.
            if now > self.since + LINGER:
                self.abort(self.code)
        elif self.job is None and self.waiting:
            if now > self.since + PATIENCE:
                self.give_up("silent")
        elif self.job is None and now > self.since + idle:
            self.close("idle")

    def make_room(self) -> None:
        """Give the place up to a caller that waits for one."""
        if self.code:
            self.abort(self.code)
        else:
            self.give_up("full")

    def give_up(self, code: str) -> None:
        """Wait no longer. A caller that is in the middle of a request gets an answer."""
        if self.reader.started:
            self.reject(408, "request not whole in time")
        else:
            self.close(code)

    def ended(self, orderly: bool) -> None:
        self.server.went(self)
        if self.job is not None:
            job, self.job = self.job, None
            self.server.exchange.leave(job)


class Door(Port):
    """The listening socket. It takes no more callers in one go than there are places for."""

    def doRead(self) -> None:
        server = self.factory
        assert isinstance(server, Server)
        self.numberAccepts = max(1, min(self.numberAccepts, server.room))
        super().doRead()  # type: ignore[no-untyped-call]


def open_door(port: int, server: Server, backlog: int, host: str, reactor: Any) -> Door:
    factory: Any = server  # Twisted's interfaces are not known to the type checker
    door = Door(port, factory, backlog, host, reactor)
    door.startListening()
    return door


class Server(ServerFactory):
    noisy = False

    def __init__(
        self, reactor: Any, clock: Clock, exchange: Exchange, classes: tuple[RequestClass, ...], most: int
    ) -> None:
        # A reactor without sockets brings doors of its own; they keep to `room` as well.
        self.open_door: Callable[..., Any] = getattr(reactor, "open_door", open_door)
        self.reactor = reactor
        self.clock = clock
        self.exchange = exchange
        self.classes = {c.name: c for c in classes}
        self.most = most
        # In the order in which they came: in an order of memory's, two runs of one day would differ.
        self.connections: dict[CallerConnection, None] = {}
        self.stopping = False
        self.came_at = -inf  # the last new connection
        self.guard: Callable[[Mapping[bytes, bytes]], Container[str]] | None = None
        self.port: Any = None
        self.full = False
        self.clearing: Timer | None = None  # the next look, or a crowd that comes and goes would start many
        self.sweep()

    def buildProtocol(self, addr: object) -> CallerConnection:
        return CallerConnection(self)

    def listen(self, host: str, port: int) -> int:
        self.port = self.open_door(port, self, BACKLOG, host, self.reactor)
        bound: int = self.port.getHost().port
        return bound

    @property
    def room(self) -> int:
        """Places for callers that are free."""
        return self.most - len(self.connections)

    def came(self, connection: CallerConnection) -> None:
        self.connections[connection] = None
        self.came_at = connection.since
        if len(self.connections) >= self.most and not self.full and self.port is not None:
            # Beyond this the process would run out of descriptors; callers wait in the backlog.
            self.full = True
            self.port.stopReading()
            if self.clearing is None:
                self.clear()

    def went(self, connection: CallerConnection) -> None:
        self.connections.pop(connection, None)
        if self.full and len(self.connections) < self.most:
            self.full = False
            if self.port is not None:
                self.port.startReading()

    def clear(self) -> None:
        """While all places are taken, free those that have stood longest without a job."""
        self.clearing = None
        if not self.full:
            return
        now = self.clock.now()
        standing = [c for c in self.connections if c.job is None and now > c.since + STAND]
        standing.sort(key=lambda c: c.since)
        for connection in standing[: max(1, self.most // 8)]:
            connection.make_room()
        self.clearing = self.clock.at(now + STAND / 6, self.clear)

    def sweep(self) -> None:
        now = self.clock.now()
        self.clock.at(now + SWEEP, self.sweep)
        idle = IDLE_CROWDED if 2 * len(self.connections) > self.most else IDLE
        for connection in list(self.connections):
            connection.look(now, idle)

    def job_from(self, message: Message) -> Job:
        """The job that a request asks for; Refused says what is wrong with it."""
        fields = message.fields
        method, target = message.first
        rights = None if self.guard is None else self.guard(fields)
        if not message.repeated.isdisjoint(_ONCE):
            raise Refused(400, "a field that may come once came twice")
        if target[:1] != b"/":
            raise Refused(404, "path")
        first = target[1:].partition(b"?")[0].partition(b"/")[0]
        name = fields.get(b"x-service-class", first)
        if not first or name != first:
            raise Refused(404, "path")
        known = self.classes.get(name.decode("latin-1"))
        if known is None:
            raise Refused(404, "class")
        if rights is not None and known.name not in rights:
            raise Refused(403, "rights", body=b"class not in rights")
        allowed = b"GET" if known.effect is SAFE else b"POST"
        if method != allowed:
            raise Refused(405, "method", b"Allow: %s\r\n" % allowed)
        ident = fields.get(b"x-correlation-id", b"")
        if not _IDENT.fullmatch(ident):
            raise Refused(400, "no id")
        if ident.decode("latin-1") in self.exchange.idents:
            raise Refused(409, "id of an open request")  # the nodes would take the two for one
        left = fields.get(b"x-time-left-ms")
        seconds = known.deadline
        if left is not None:
            if not _DIGITS.fullmatch(left):
                raise Refused(400, "bad time")
            seconds = min(seconds, int(left) / 1000)  # no caller waits longer than its class
        body = message.body
        head = b"%s %s HTTP/1.1\r\n%s" % (method, target, message.end_to_end(b"x-time-left-ms"))
        if body or method != b"GET":
            head += b"Content-Length: %d\r\n" % len(body)
        return Job(
            ident=ident.decode("latin-1"),
            class_name=name.decode("latin-1"),
            deadline=self.clock.now() + seconds,
            content=Request(head, body),
            repeat=fields.get(b"x-repeat") == b"1",
        )

    # Shutdown

    def stop_keeping(self) -> None:
        """From now on each answer is the last one on its connection."""
        self.stopping = True

    def standing(self) -> list[CallerConnection]:
        """The connections between requests, that which has stood longest first."""
        found = [c for c in self.connections if c.job is None and not c.waiting and not c.code]
        found.sort(key=lambda c: c.since)
        return found

    def shed(self, keep: int) -> None:
        """Close connections between requests until no more than `keep` are left of those that stand now."""
        standing = self.standing()
        for connection in standing[: max(0, len(standing) - keep)]:
            self.part(connection)

    def part(self, connection: CallerConnection) -> None:
        """Close a connection between requests, unless one has come on it by now: that is read first."""
        self.reactor.callLater(0, self.parted, connection, connection.since)

    def parted(self, connection: CallerConnection, since: float) -> None:
        if connection.job is None and not connection.reader.started and connection.since == since:
            connection.close("stopping")

    def shut(self) -> None:
        """Stop listening."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None

    def close_between(self) -> None:
        """Nobody else comes: close the connections that have no request under way, and those of callers that
        take too long to send one or to read its answer."""
        now = self.clock.now()
        for connection in list(self.connections):
            if connection.code:
                if now > connection.since + FLUSH:
                    connection.abort(connection.code)
            elif connection.job is not None:
                continue
            elif not connection.waiting:
                self.part(connection)
            elif now > connection.since + (HALF if connection.reader.started else FRESH):
                connection.give_up("stopping")
