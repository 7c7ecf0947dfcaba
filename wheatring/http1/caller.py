"""One caller's connection: its requests in, its answers out, one after the other.

A request larger than what is held of one comes in as a body (`upload`), and is submitted once that is whole
or there is no room for it. A large answer goes out as a body (`sender`). A connection with either has its
`job` until the last byte, as with any other.

Its end: once `code` is set, nothing more is read for a request. The sending side is shut behind what is still
to be written (`shut`), the rest that comes is thrown away, and the connection is let go once its caller has
closed it, or after a bounded time. A close at once is a reset where bytes are unread or still come, and what
was last written would be lost with it.
"""

from __future__ import annotations

from functools import partial
from math import ceil
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import connectionDone
from zope.interface import implementer  # type: ignore[import-untyped]

from wheatring import log
from wheatring.core.body import Body, nothing
from wheatring.core.exchange import Answer, Final, Job
from wheatring.core.refused import Refused
from wheatring.http1.answers import response
from wheatring.http1.connection import Connection
from wheatring.http1.parser import HOLD, MAX_BODY, MAX_HEAD, BadMessage, Message, Request
from wheatring.http1.sending import Sender
from wheatring.http1.states import Arrivals, State, state_of

if TYPE_CHECKING:
    from wheatring.http1.server import Server

SERVED, REFUSED = Final.SERVED, Final.REFUSED  # looked up once: an enum takes its time

# Seconds in which a head must be whole, from its first byte or, for the first one, from the connect. Callers
# may take 2 for it; one that sends none is owed a word within 3.
PATIENCE = 2.6
# A body is to bring another byte in so many seconds, and so many bytes a second from then on: half of what
# the slowest callers send.
SILENT = 2.0
SLOWEST = 32 * 1024
UNREAD = 180.0  # seconds in which a caller is to read a buffer of a large answer: 1 kB/s is fast enough
STUCK = 10.0  # and a node one of a large request
BEHIND = 1024 * 1024  # bytes of answers that wait behind one which the system takes no more of
LINGER = 2.0  # seconds in which a caller may read the last answer, once all of it has left this process
DRAIN = 1024 * 1024  # bytes that are read meanwhile and thrown away; more would only cost time
HEAR = 0.05  # seconds between looks whether the caller of an upload that is paused has gone
# Seconds without reading after so much from a caller that has sent too much ahead. An end shows behind what
# the system has got, but not behind what has no room there (4 MB at most): that has to be read in 0.1 s.
REST = 0.015


@implementer(IHalfCloseableProtocol)
class CallerConnection(Connection):
    """One caller. It is answered one request at a time, in the order in which they came."""

    kind = "caller-connection"

    def __init__(self, server: Server) -> None:
        super().__init__(responses=False, max_body=MAX_BODY, hold=HOLD)
        self.server = server
        self.job: Job | None = None
        self.keep_alive = True
        self.shut = False  # the sending side: all that was written is out
        self.paused = False
        self.flooded = False  # too much was sent ahead: the present answer is the last
        self.hearing = False  # the next look is due
        self.behind = 0  # bytes written while the system took no more
        self.drained = 0  # bytes thrown away
        self.most_drained = DRAIN
        self.arrivals = Arrivals()  # of what waits behind the present request
        self.upload: Body | None = None  # of the present request, while it comes
        self.sender: Sender | None = None  # of the present answer, while it goes
        self.old = False  # the present request is HTTP/1.0
        self.sent = 0  # bytes of it by the last look
        # The last byte from the caller, or the last look at which it had taken some; or when all had left.
        self.heard = 0.0
        self.since = server.clock.now()  # of the present state: between requests, or in the middle of one
        self.waiting = True  # a request is awaited and not whole; the first one from the connect on

    def connectionMade(self) -> None:
        super().connectionMade()
        self.server.came(self)

    def dataReceived(self, data: bytes) -> None:
        if self.code or self.flooded:
            self.throw_away(len(data))
            return
        self.heard = now = self.server.clock.now()
        self.reader.feed(data)
        if self.upload is not None and self.job is not None:
            self.receive(self.upload, self.job)
        elif self.job is None:
            self.advance()
        elif len(self.reader.buffer) > MAX_HEAD + HOLD:
            # A caller that sends ahead without end must not fill the memory, but its own end must be heard.
            self.flooded, self.keep_alive = True, False
            self.reader.buffer.clear()
        if self.reader.buffer and self.upload is None and self.job is not None:
            self.arrivals.held(len(self.reader.buffer), now)

    def throw_away(self, size: int) -> None:
        self.drained += size
        if self.drained > self.most_drained:
            self.pause()
            if not self.code:
                self.drained = 0
                self.server.reactor.callLater(REST, self.rested)

    def rested(self) -> None:
        if self.code or not self.alive:
            return
        if self.server.hung_up(self.transport):  # what is still unread would only hold up the word of its end
            self.readConnectionLost()
        else:
            self.resume()

    def pause(self) -> None:
        if not self.paused:
            self.paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        if self.paused:
            self.paused = False
            if not self.code:
                now = self.server.clock.now()
                self.since += now - self.heard  # for so long it was not let on
                self.heard = now
            self.transport.resumeProducing()

    def advance(self) -> None:
        """Read on, until a job is under way or bytes are missing."""
        try:
            # A caller that has left must not start the next request that it had sent ahead.
            while self.alive and self.job is None and not self.code:
                message = self.reader.next()
                if message is None:
                    self.arrivals.clear()
                    break
                self.waiting = False
                self.keep_alive = message.keep_alive
                self.old = message.old
                self.handle(message)
        except BadMessage as bad:
            self.reject(bad.status, str(bad))
            return
        if self.job is None and self.reader.started and not self.waiting:
            self.waiting = True
            self.since = self.server.clock.now()
        if self.waiting and self.reader.message is not None:
            self.expect(self.reader.message)

    def is_last(self) -> bool:
        """The present answer is the last on its connection, which it says: to be asked as it is written. What
        is still to come of its request would be taken for the next one; what has been read of the next one is
        answered first, or it would be lost with the sending side shut. And one that asks on and reads nothing
        must not fill the memory.
        """
        leaving = self.server.parting and not self.reader.started
        if leaving or self.upload is not None or self.behind > BEHIND:
            self.keep_alive = False
        return not self.keep_alive

    @property
    def state(self) -> State:
        return state_of(
            ending=bool(self.code),
            shut=self.shut,
            job=self.job is not None,
            upload=self.upload is not None,
            sender=self.sender is not None,
            waiting=self.waiting,
        )

    def expect(self, message: Message) -> None:
        if message.fields.pop(b"expect", b"").lower() == b"100-continue" and not message.old:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def came(self) -> float:
        """When the last byte came of the request that has just been read."""
        if self.arrivals.size:
            return self.arrivals.left(len(self.reader.buffer), self.heard)
        return self.heard

    def handle(self, message: Message) -> None:
        try:
            if message.first[1].partition(b"?")[0] == b"/healthz" and not message.open:
                if message.first[0] != b"GET":
                    raise Refused(405, "method", b"Allow: GET\r\n")
                status, word = (503, b"away\n") if self.server.away else (200, b"ok\n")
                self.say(response(status, word, close=self.is_last()))
                return
            job = self.server.job_from(message, self.came())
        except Refused as refused:
            if refused.status == 400 or message.open:
                self.reject(refused.status, str(refused), refused.more, refused.body)
            else:
                self.say(response(refused.status, refused.body, refused.more, close=self.is_last()))
            return
        except Exception as bug:  # a request that trips us up is answered all the same
            log.line("request-broken", why=repr(bug))
            self.reject(500, "internal error")
            return
        self.job = job
        if message.open:
            self.receive_first(message, job)
        else:
            self.submit(job)

    def submit(self, job: Job) -> None:
        if self.server.hung_up(self.transport):
            # It waited to be read, at the door or in a full machine, until its caller had gone.
            self.server.reactor.callLater(0, self.rested)
            return
        self.server.exchange.submit(job).addCallback(self.answer, job).addErrback(self.broken)

    # Large requests

    def receive_first(self, message: Message, job: Job) -> None:
        request = job.content
        assert isinstance(request, Request) and request.rest is not None
        upload = self.upload = request.rest
        self.waiting = True
        self.since = self.server.clock.now()
        self.expect(message)
        upload.on_room = self.resume
        upload.on_gone = partial(self.server.exchange.committed, job)
        upload.put(message.body)
        self.receive(upload, job)

    def receive(self, upload: Body, job: Job) -> None:
        """More of the request has come."""
        try:
            data, whole = self.reader.more()
        except BadMessage as bad:
            if self.sender is not None:
                self.abort("bad-request")  # its answer is under way
            else:
                self.reject(bad.status, str(bad))
            return
        if whole:
            self.upload, self.waiting = None, False
            upload.on_room = nothing
            job.deadline = self.came() + job.allowed
        else:
            self.arrivals.clear()
        upload.put(data, whole)
        if not job.taken and (whole or upload.crowded):
            self.submit(job)
        elif whole:
            self.server.exchange.whole(job)
        if not whole and not self.code and upload.full:
            self.pause()
            if not self.hearing:
                self.hearing = True
                self.server.reactor.callLater(HEAR, self.hear)

    def hear(self) -> None:
        """While nothing is read of an upload, its caller's end is not heard of: look."""
        self.hearing = self.alive and self.paused and self.upload is not None
        if self.hearing and self.server.hung_up(self.transport):
            self.readConnectionLost()
        elif self.hearing:
            self.server.reactor.callLater(HEAR, self.hear)

    def answer(self, answer: Answer, job: Job) -> None:
        self.forget_request(job)
        if self.upload is not None:
            self.resume()
        close = self.is_last()
        message = answer.content
        if answer.final is SERVED and isinstance(message, Message) and message.flow is not None:
            self.stream(message, message.flow, b"X-Drill: 1\r\n" if job.drill else b"")
            return
        self.job = None
        mark = b"X-Drill: 1\r\n" if job.drill else b""
        if answer.final is SERVED:
            assert isinstance(message, Message)
            self.say(response(200, message.body, mark + message.end_to_end(), close=close))
        elif answer.final is REFUSED:
            wait = answer.retry_after
            more = b"Retry-After: %s\r\n" % (b"%.3f" % (ceil(wait * 1000) / 1000)) if wait > 0 else b""
            self.say(response(503, more=mark + more, close=close))
        else:
            self.say(response(502, more=mark, close=close))
        self.go_on()

    def go_on(self) -> None:
        """The answer is out: on to the next request."""
        self.resume()
        if self.reader.started:  # it is here already: not from within this one's answer
            self.server.reactor.callLater(0, self.advance_later)

    def advance_later(self) -> None:
        """No transport ends the connection for a fault of ours here, as it does where bytes come."""
        try:
            self.advance()
        except Exception as bug:
            log.line("answer-broken", why=repr(bug))
            self.close("internal-error")  # the answer before may not be out yet

    def forget_request(self, job: Job) -> None:
        """It is never sent again."""
        if isinstance(job.content, Request) and job.content.rest is not None:
            job.content.rest.cancel()

    # Large answers

    def stream(self, message: Message, flow: Body, mark: bytes) -> None:
        """Pass an open answer on. Where nobody knows its length it goes in chunks or, to a caller that can't
        read these, until the close; an end before its end is a reset, so the caller can tell.
        """
        if not self.alive:
            flow.cancel()
            return
        chunked = flow.length is None and not self.old
        if flow.length is not None:
            framing = b"Content-Length: %d\r\n" % flow.length
        elif chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            framing, self.keep_alive = b"", False
        close = b"" if self.keep_alive else b"Connection: close\r\n"
        self.transport.write(
            b"HTTP/1.1 200 OK\r\n%s%s%s%s\r\n" % (mark, message.end_to_end(), framing, close)
        )
        self.heard = self.server.clock.now()
        self.sent = 0
        self.sender = Sender(self.transport, flow, chunked, self.streamed, self.cut)

    def streamed(self) -> None:
        self.sender = self.job = None
        self.say(b"")
        self.go_on()

    def cut(self) -> None:
        """The rest of the answer will never come."""
        self.why = "answer not whole"
        self.abort("answer-cut")

    def broken(self, failure: Any) -> None:
        """Guards against a caller left without an answer by a fault of ours."""
        log.line("answer-broken", why=repr(failure.value))
        if self.job is None:  # the answer was whole before the fault
            self.close("internal-error")
        else:
            self.abort("internal-error")

    def say(self, data: bytes) -> None:
        if not self.alive:
            return
        self.since = self.server.clock.now()
        self.behind = self.behind + len(data) if self.transport.dataBuffer else 0
        self.transport.write(data)
        if self.upload is not None:
            self.linger("answered-early")
        elif not self.keep_alive:
            self.close("stopping" if self.server.parting else "caller-asked")

    def reject(self, status: int, why: str, more: bytes = b"", body: bytes = b"") -> None:
        """Answer what can't be read and end the connection."""
        self.why = why
        self.give_up_job()
        self.transport.write(response(status, body, more, close=True))
        self.linger(f"bad-request-{status}")

    def linger(self, code: str) -> None:
        """All is said in the middle of a request: its caller may have to write the rest before it reads."""
        if self.upload is not None:
            self.most_drained = MAX_BODY
            self.upload = None
        self.since = self.server.clock.now()
        self.close(code)
        self.resume()

    def close(self, code: str) -> None:
        """All is said. What is read from now on is thrown away, so nothing is until the sending side is shut:
        a request that was read before would be one that was taken.
        """
        if self.alive and not self.code:
            self.code = code
            self.reader.buffer.clear()
            self.pause()
            self.transport.loseWriteConnection()

    def writeConnectionLost(self) -> None:
        """The sending side is shut."""
        self.shut, self.heard = True, self.server.clock.now()
        self.resume()

    def readConnectionLost(self) -> None:
        """The caller has ended its sending: it has left, or has read all that it was to read."""
        self.transport.connectionLost(connectionDone)

    def let_go(self) -> None:
        """Hear it out no longer: one that reads nothing must not keep its connection for ever."""
        if self.shut:
            self.transport.loseConnection()
        else:
            self.abort(self.code)

    def give_up_job(self) -> None:
        """The present request will not become whole, or its caller has gone."""
        if self.job is not None:
            job, self.job = self.job, None
            self.forget_request(job)
            if job.taken:
                self.server.exchange.leave(job)

    def look(self, now: float, idle: float) -> None:
        """Close what is kept for nothing."""
        match self.state:
            case State.RESTING:
                if now > self.since + idle:
                    self.server.part(self, "idle")
            case State.READING:
                if self.too_slow(now):
                    self.server.part(self, "silent")
            case State.UPLOADING:
                if not self.paused and self.too_slow(now):
                    self.server.part(self, "silent")
                elif self.paused and now > self.heard + STUCK:
                    self.reject(503, "no node takes it")
            case State.STREAMING:
                assert self.sender is not None
                if (sent := self.sender.body.read) > self.sent:
                    self.sent, self.heard = sent, now
                elif now > self.heard + UNREAD:
                    self.abort("unread")
            case State.CLOSING:  # what has not left yet is owed for as long as an idle connection would stand
                if now > self.since + max(LINGER, idle):
                    self.let_go()
            case State.SHUT:
                if now > self.heard + LINGER:
                    self.let_go()

    def too_slow(self, now: float) -> bool:
        """Whether what is awaited of a request takes too long."""
        if self.reader.message is None:
            return now > self.since + PATIENCE
        spent = now - self.since - PATIENCE
        return now > self.heard + SILENT or spent > self.reader.came / SLOWEST

    def make_room(self) -> None:
        """Give the place up to a caller that waits for one."""
        if self.code:
            self.let_go()
        else:
            self.server.part(self, "full")

    def give_up(self, code: str) -> None:
        """Wait no longer. A caller that is in the middle of a request gets an answer."""
        if self.reader.started:
            self.reject(408, "request not whole in time")
        else:
            self.close(code)

    def ended(self, orderly: bool) -> None:
        try:  # whatever else fails: nothing may be begun for a caller that has gone
            self.give_up_job()
        finally:
            if self.sender is not None:
                self.sender.body.cancel()
                self.sender = None
            self.server.went(self)
