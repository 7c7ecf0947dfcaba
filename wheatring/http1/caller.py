"""One caller's connection: its requests in, its answers out, one after the other."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, Any

from wheatring import log
from wheatring.core.exchange import Answer, Final, Job
from wheatring.core.refused import Refused
from wheatring.http1.connection import Connection
from wheatring.http1.parser import MAX_BODY, MAX_HEAD, BadMessage, Message

if TYPE_CHECKING:
    from wheatring.http1.server import Server

SERVED, REFUSED = Final.SERVED, Final.REFUSED  # looked up once: an enum takes its time

REASONS = {
    400: b"Bad Request", 401: b"Unauthorized", 403: b"Forbidden", 404: b"Not Found",
    405: b"Method Not Allowed", 408: b"Request Timeout", 409: b"Conflict", 413: b"Content Too Large",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error", 502: b"Bad Gateway",
    503: b"Service Unavailable",
}  # fmt: skip

# Seconds in which a request must be whole, from its first byte or, for the first one, from the connect.
# A caller that sends none is owed a word within 3 s.
PATIENCE = 2.0
LINGER = 2.0  # seconds in which a caller may read the answer to what could not be read
DRAIN = 1024 * 1024  # bytes of the rest of its request that are read meanwhile; more would only cost time


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
                self.keep_alive = message.keep_alive and not self.server.parting
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
                status, word = (503, b"away\n") if self.server.away else (200, b"ok\n")
                self.say(response(status, word, close=not self.keep_alive))
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
        close = not self.keep_alive or self.server.parting
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
            self.close("stopping" if self.server.parting else "caller-asked")

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
