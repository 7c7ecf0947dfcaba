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
from wheatring.core.body import Body, no_listener
from wheatring.core.exceptions import RequestRejectedError
from wheatring.core.exchange import Answer, AnswerKind, Request
from wheatring.http1.body_sender import BodySender
from wheatring.http1.caller_state import ArrivalTimes, CallerState, caller_state
from wheatring.http1.connection import Connection
from wheatring.http1.exceptions import MalformedMessageError
from wheatring.http1.parser import (
    BUFFERED_BODY_BYTES,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    ForwardedRequest,
    Message,
)
from wheatring.http1.responses import encode_response

if TYPE_CHECKING:
    from wheatring.http1.server import Server

SERVED, REFUSED = AnswerKind.SERVED, AnswerKind.REFUSED  # looked up once: an enum takes its time

# Seconds in which a head must be whole, from its first byte or, for the first one, from the connect. Callers
# may take 2 for it; one that sends none is owed a word within 3.
HEAD_SECONDS = 2.6
# A body is to bring another byte in so many seconds, and so many bytes a second from then on: half of what
# the slowest callers send.
BODY_SILENCE_SECONDS = 2.0
MIN_BODY_BYTES_PER_SECOND = 32 * 1024
UNREAD_ANSWER_SECONDS = (
    180.0  # seconds in which a caller is to read a buffer of a large answer: 1 kB/s is fast enough
)
STUCK_UPLOAD_SECONDS = 10.0  # and a node one of a large request
MAX_PENDING_ANSWER_BYTES = (
    1024 * 1024
)  # bytes of answers that wait behind one which the system takes no more of
LINGER_SECONDS = (
    2.0  # seconds in which a caller may read the last answer, once all of it has left this process
)
MAX_DISCARDED_BYTES = 1024 * 1024  # bytes that are read meanwhile and thrown away; more would only cost time
HANGUP_CHECK_SECONDS = 0.05  # seconds between looks whether the caller of an upload that is paused has gone
# Seconds without reading after so much from a caller that has sent too much ahead. An end shows behind what
# the system has got, but not behind what has no room there (4 MB at most): that has to be read in 0.1 s.
DISCARD_PAUSE_SECONDS = 0.015


@implementer(IHalfCloseableProtocol)
class CallerConnection(Connection):
    """One caller. It is answered one request at a time, in the order in which they came."""

    log_event = "caller-connection"

    def __init__(self, server: Server) -> None:
        super().__init__(
            responses=False, max_body_bytes=MAX_BODY_BYTES, buffered_body_bytes=BUFFERED_BODY_BYTES
        )
        self.server = server
        self.request: Request | None = None
        self.keep_alive = True
        self.is_shut = False  # the sending side: all that was written is out
        self.is_paused = False
        self.is_flooded = False  # too much was sent ahead: the present answer is the last
        self.is_checking_hangup = False  # the next look is due
        self.pending_bytes = 0  # bytes written while the system took no more
        self.discarded_bytes = 0  # bytes thrown away
        self.max_discarded_bytes = MAX_DISCARDED_BYTES
        self.arrivals = ArrivalTimes()  # of what waits behind the present request
        self.upload: Body | None = None  # of the present request, while it comes
        self.sender: BodySender | None = None  # of the present answer, while it goes
        self.is_http_1_0 = False  # the present request is HTTP/1.0
        self.sent_offset = 0  # bytes of it by the last look
        # The last byte from the caller, or the last look at which it had taken some; or when all had left.
        self.last_progress_at = 0.0
        self.state_since = (
            server.clock.now()
        )  # of the present state: between requests, or in the middle of one
        self.is_awaiting = True  # a request is awaited and not whole; the first one from the connect on

    def connectionMade(self) -> None:
        super().connectionMade()
        self.server.add(self)

    def dataReceived(self, data: bytes) -> None:
        if self.close_code or self.is_flooded:
            self.discard(len(data))
            return
        self.last_progress_at = now = self.server.clock.now()
        self.parser.feed(data)
        if self.upload is not None and self.request is not None:
            self.receive_upload(self.upload, self.request)
        elif self.request is None:
            self.read_requests()
        elif len(self.parser.buffer) > MAX_HEAD_BYTES + BUFFERED_BODY_BYTES:
            # A caller that sends ahead without end must not fill the memory, but its own end must be heard.
            self.is_flooded, self.keep_alive = True, False
            self.parser.buffer.clear()
        if self.parser.buffer and self.upload is None and self.request is not None:
            self.arrivals.record(len(self.parser.buffer), now)

    def discard(self, size: int) -> None:
        self.discarded_bytes += size
        if self.discarded_bytes > self.max_discarded_bytes:
            self.pause()
            if not self.close_code:
                self.discarded_bytes = 0
                self.server.reactor.callLater(DISCARD_PAUSE_SECONDS, self.resume_discarding)

    def resume_discarding(self) -> None:
        if self.close_code or not self.is_connected:
            return
        if self.server.has_hung_up(
            self.transport
        ):  # what is still unread would only hold up the word of its end
            self.readConnectionLost()
        else:
            self.resume()

    def pause(self) -> None:
        if not self.is_paused:
            self.is_paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        if self.is_paused:
            self.is_paused = False
            if not self.close_code:
                now = self.server.clock.now()
                self.state_since += now - self.last_progress_at  # for so long it was not let on
                self.last_progress_at = now
            self.transport.resumeProducing()

    def read_requests(self) -> None:
        """Read on, until a job is under way or bytes are missing."""
        try:
            # A caller that has left must not start the next request that it had sent ahead.
            while self.is_connected and self.request is None and not self.close_code:
                message = self.parser.next_message()
                if message is None:
                    self.arrivals.clear()
                    break
                self.is_awaiting = False
                self.keep_alive = message.keep_alive
                self.is_http_1_0 = message.is_http_1_0
                self.handle(message)
        except MalformedMessageError as bad:
            self.reject(bad.status, str(bad))
            return
        if self.request is None and self.parser.has_partial_message and not self.is_awaiting:
            self.is_awaiting = True
            self.state_since = self.server.clock.now()
        if self.is_awaiting and self.parser.message is not None:
            self.confirm_expectation(self.parser.message)

    def is_last_answer(self) -> bool:
        """The present answer is the last on its connection, which it says: to be asked as it is written. What
        is still to come of its request would be taken for the next one; what has been read of the next one is
        answered first, or it would be lost with the sending side shut. And one that asks on and reads nothing
        must not fill the memory.
        """
        leaving = self.server.is_ending and not self.parser.has_partial_message
        if leaving or self.upload is not None or self.pending_bytes > MAX_PENDING_ANSWER_BYTES:
            self.keep_alive = False
        return not self.keep_alive

    @property
    def state(self) -> CallerState:
        return caller_state(
            is_ending=bool(self.close_code),
            is_shut=self.is_shut,
            has_request=self.request is not None,
            has_upload=self.upload is not None,
            has_sender=self.sender is not None,
            is_awaiting=self.is_awaiting,
        )

    def confirm_expectation(self, message: Message) -> None:
        if message.fields.pop(b"expect", b"").lower() == b"100-continue" and not message.is_http_1_0:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def arrival_time(self) -> float:
        """When the last byte came of the request that has just been read."""
        if self.arrivals.waiting_bytes:
            return self.arrivals.consume(len(self.parser.buffer), self.last_progress_at)
        return self.last_progress_at

    def handle(self, message: Message) -> None:
        try:
            if message.start_line[1].partition(b"?")[0] == b"/healthz" and not message.is_open:
                if message.start_line[0] != b"GET":
                    raise RequestRejectedError(405, "method", b"Allow: GET\r\n")
                status, word = (503, b"away\n") if self.server.is_out_of_service else (200, b"ok\n")
                self.write_answer(encode_response(status, word, close=self.is_last_answer()))
                return
            job = self.server.create_request(message, self.arrival_time())
        except RequestRejectedError as refused:
            if refused.status == 400 or message.is_open:
                self.reject(refused.status, str(refused), refused.header_lines, refused.body)
            else:
                self.write_answer(
                    encode_response(
                        refused.status, refused.body, refused.header_lines, close=self.is_last_answer()
                    )
                )
            return
        except Exception as bug:  # a request that trips us up is answered all the same
            log.line("request-broken", why=repr(bug))
            self.reject(500, "internal error")
            return
        self.request = job
        if message.is_open:
            self.start_upload(message, job)
        else:
            self.submit(job)

    def submit(self, job: Request) -> None:
        if self.server.has_hung_up(self.transport):
            # It waited to be read, at the door or in a full machine, until its caller had gone.
            self.server.reactor.callLater(0, self.resume_discarding)
            return
        self.server.exchange.submit(job).addCallback(self.answer, job).addErrback(self.handle_fault)

    # Large requests

    def start_upload(self, message: Message, job: Request) -> None:
        request = job.content
        assert isinstance(request, ForwardedRequest) and request.stream is not None
        upload = self.upload = request.stream
        self.is_awaiting = True
        self.state_since = self.server.clock.now()
        self.confirm_expectation(message)
        upload.on_space = self.resume
        upload.on_replay_lost = partial(self.server.exchange.mark_committed, job)
        upload.put(message.body)
        self.receive_upload(upload, job)

    def receive_upload(self, upload: Body, job: Request) -> None:
        """More of the request has come."""
        try:
            data, whole = self.parser.read_body()
        except MalformedMessageError as bad:
            if self.sender is not None:
                self.abort("bad-request")  # its answer is under way
            else:
                self.reject(bad.status, str(bad))
            return
        if whole:
            self.upload, self.is_awaiting = None, False
            upload.on_space = no_listener
            job.deadline = self.arrival_time() + job.time_limit
        else:
            self.arrivals.clear()
        upload.put(data, whole)
        if not job.accepted_at and (whole or upload.needs_consumer):
            self.submit(job)
        elif whole:
            self.server.exchange.mark_received(job)
        if not whole and not self.close_code and upload.is_full:
            self.pause()
            if not self.is_checking_hangup:
                self.is_checking_hangup = True
                self.server.reactor.callLater(HANGUP_CHECK_SECONDS, self.check_hangup)

    def check_hangup(self) -> None:
        """While nothing is read of an upload, its caller's end is not heard of: look."""
        self.is_checking_hangup = self.is_connected and self.is_paused and self.upload is not None
        if self.is_checking_hangup and self.server.has_hung_up(self.transport):
            self.readConnectionLost()
        elif self.is_checking_hangup:
            self.server.reactor.callLater(HANGUP_CHECK_SECONDS, self.check_hangup)

    def answer(self, answer: Answer, job: Request) -> None:
        self.cancel_upload(job)
        if self.upload is not None:
            self.resume()
        close = self.is_last_answer()
        message = answer.content
        if answer.kind is SERVED and isinstance(message, Message) and message.stream is not None:
            self.start_stream(message, message.stream, b"X-Drill: 1\r\n" if job.is_drill else b"")
            return
        self.request = None
        mark = b"X-Drill: 1\r\n" if job.is_drill else b""
        if answer.kind is SERVED:
            assert isinstance(message, Message)
            self.write_answer(
                encode_response(200, message.body, mark + message.end_to_end_lines(), close=close)
            )
        elif answer.kind is REFUSED:
            wait = answer.retry_after
            more = b"Retry-After: %s\r\n" % (b"%.3f" % (ceil(wait * 1000) / 1000)) if wait > 0 else b""
            self.write_answer(encode_response(503, header_lines=mark + more, close=close))
        else:
            self.write_answer(encode_response(502, header_lines=mark, close=close))
        self.next_request()

    def next_request(self) -> None:
        """The answer is out: on to the next request."""
        self.resume()
        if self.parser.has_partial_message:  # it is here already: not from within this one's answer
            self.server.reactor.callLater(0, self.read_requests_later)

    def read_requests_later(self) -> None:
        """No transport ends the connection for a fault of ours here, as it does where bytes come."""
        try:
            self.read_requests()
        except Exception as bug:
            log.line("answer-broken", why=repr(bug))
            self.close("internal-error")  # the answer before may not be out yet

    def cancel_upload(self, job: Request) -> None:
        """It is never sent again."""
        if isinstance(job.content, ForwardedRequest) and job.content.stream is not None:
            job.content.stream.cancel()

    # Large answers

    def start_stream(self, message: Message, flow: Body, mark: bytes) -> None:
        """Pass an open answer on. Where nobody knows its length it goes in chunks or, to a caller that can't
        read these, until the close; an end before its end is a reset, so the caller can tell.
        """
        if not self.is_connected:
            flow.cancel()
            return
        chunked = flow.length is None and not self.is_http_1_0
        if flow.length is not None:
            framing = b"Content-Length: %d\r\n" % flow.length
        elif chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            framing, self.keep_alive = b"", False
        close = b"" if self.keep_alive else b"Connection: close\r\n"
        self.transport.write(
            b"HTTP/1.1 200 OK\r\n%s%s%s%s\r\n" % (mark, message.end_to_end_lines(), framing, close)
        )
        self.last_progress_at = self.server.clock.now()
        self.sent_offset = 0
        self.sender = BodySender(self.transport, flow, chunked, self.finish_stream, self.abort_stream)

    def finish_stream(self) -> None:
        self.sender = self.request = None
        self.write_answer(b"")
        self.next_request()

    def abort_stream(self) -> None:
        """The rest of the answer will never come."""
        self.close_reason = "answer not whole"
        self.abort("answer-cut")

    def handle_fault(self, failure: Any) -> None:
        """Guards against a caller left without an answer by a fault of ours."""
        log.line("answer-broken", why=repr(failure.value))
        if self.request is None:  # the answer was whole before the fault
            self.close("internal-error")
        else:
            self.abort("internal-error")

    def write_answer(self, data: bytes) -> None:
        if not self.is_connected:
            return
        self.state_since = self.server.clock.now()
        self.pending_bytes = self.pending_bytes + len(data) if self.transport.dataBuffer else 0
        self.transport.write(data)
        if self.upload is not None:
            self.linger("answered-early")
        elif not self.keep_alive:
            self.close("stopping" if self.server.is_ending else "caller-asked")

    def reject(self, status: int, why: str, more: bytes = b"", body: bytes = b"") -> None:
        """Answer what can't be read and end the connection."""
        self.close_reason = why
        self.withdraw_request()
        self.transport.write(encode_response(status, body, more, close=True))
        self.linger(f"bad-request-{status}")

    def linger(self, code: str) -> None:
        """All is said in the middle of a request: its caller may have to write the rest before it reads."""
        if self.upload is not None:
            self.max_discarded_bytes = MAX_BODY_BYTES
            self.upload = None
        self.state_since = self.server.clock.now()
        self.close(code)
        self.resume()

    def close(self, code: str) -> None:
        """All is said. What is read from now on is thrown away, so nothing is until the sending side is shut:
        a request that was read before would be one that was taken.
        """
        if self.is_connected and not self.close_code:
            self.close_code = code
            self.parser.buffer.clear()
            self.pause()
            self.transport.loseWriteConnection()

    def writeConnectionLost(self) -> None:
        """The sending side is shut."""
        self.is_shut, self.last_progress_at = True, self.server.clock.now()
        self.resume()

    def readConnectionLost(self) -> None:
        """The caller has ended its sending: it has left, or has read all that it was to read."""
        self.transport.connectionLost(connectionDone)

    def disconnect(self) -> None:
        """Hear it out no longer: one that reads nothing must not keep its connection for ever."""
        if self.is_shut:
            self.transport.loseConnection()
        else:
            self.abort(self.close_code)

    def withdraw_request(self) -> None:
        """The present request will not become whole, or its caller has gone."""
        if self.request is not None:
            job, self.request = self.request, None
            self.cancel_upload(job)
            if job.accepted_at:
                self.server.exchange.withdraw(job)

    def enforce_limits(self, now: float, idle: float) -> None:
        """Close what is kept for nothing."""
        match self.state:
            case CallerState.RESTING:
                if now > self.state_since + idle:
                    self.server.end_after_read(self, "idle")
            case CallerState.READING:
                if self.is_too_slow(now):
                    self.server.end_after_read(self, "silent")
            case CallerState.UPLOADING:
                if not self.is_paused and self.is_too_slow(now):
                    self.server.end_after_read(self, "silent")
                elif self.is_paused and now > self.last_progress_at + STUCK_UPLOAD_SECONDS:
                    self.reject(503, "no node takes it")
            case CallerState.STREAMING:
                assert self.sender is not None
                if (sent := self.sender.body.taken_offset) > self.sent_offset:
                    self.sent_offset, self.last_progress_at = sent, now
                elif now > self.last_progress_at + UNREAD_ANSWER_SECONDS:
                    self.abort("unread")
            case (
                CallerState.CLOSING
            ):  # what has not left yet is owed for as long as an idle connection would stand
                if now > self.state_since + max(LINGER_SECONDS, idle):
                    self.disconnect()
            case CallerState.SHUT:
                if now > self.last_progress_at + LINGER_SECONDS:
                    self.disconnect()

    def is_too_slow(self, now: float) -> bool:
        """Whether what is awaited of a request takes too long."""
        if self.parser.message is None:
            return now > self.state_since + HEAD_SECONDS
        spent = now - self.state_since - HEAD_SECONDS
        return (
            now > self.last_progress_at + BODY_SILENCE_SECONDS
            or spent > self.parser.body_bytes / MIN_BODY_BYTES_PER_SECOND
        )

    def evict(self) -> None:
        """Give the place up to a caller that waits for one."""
        if self.close_code:
            self.disconnect()
        else:
            self.server.end_after_read(self, "full")

    def end_unanswered(self, code: str) -> None:
        """Wait no longer. A caller that is in the middle of a request gets an answer."""
        if self.parser.has_partial_message:
            self.reject(408, "request not whole in time")
        else:
            self.close(code)

    def on_ended(self, orderly: bool) -> None:
        try:  # whatever else fails: nothing may be begun for a caller that has gone
            self.withdraw_request()
        finally:
            if self.sender is not None:
                self.sender.body.cancel()
                self.sender = None
            self.server.remove(self)
