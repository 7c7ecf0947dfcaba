"""One caller's connection: its requests in, its answers out, one after the other.

A request larger than what is buffered of one comes in as a body in transit (`upload`). It is submitted once
that is complete, or once there is no memory for more of it. A large answer goes out as a body in transit
(`sender`). A connection with either has its `request` until the last byte, as with any other.
"""

from __future__ import annotations

from functools import partial
from math import ceil
from typing import TYPE_CHECKING, Any

from wheatring.common import log
from wheatring.common.body import Body, no_listener
from wheatring.common.exceptions import MalformedMessageError
from wheatring.common.http_parser import BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, ForwardedRequest, Message
from wheatring.common.http_responses import encode_response
from wheatring.daemon.core.exceptions import RequestRejectedError
from wheatring.daemon.core.exchange import Answer, AnswerKind, Request
from wheatring.daemon.http1.body_sender import BodySender
from wheatring.daemon.http1.caller_lifecycle import CallerLifecycle

if TYPE_CHECKING:
    from wheatring.daemon.http1.caller_lifecycle import CallerServer

SERVED, REFUSED = AnswerKind.SERVED, AnswerKind.REFUSED  # looked up once: that of an enum's member is slow

MAX_PENDING_ANSWER_BYTES = 1024 * 1024  # of answers that wait behind one which the system takes no more of
HANGUP_CHECK_SECONDS = 0.05  # between two checks whether the caller of a paused upload has gone


class CallerConnection(CallerLifecycle):
    """One caller. It is answered one request at a time, in the order in which they came.

    Attributes
    ----------
    pending_bytes : int
        Written while the system took no more.
    is_checking_hangup : bool
        The next check whether the caller of a paused upload has gone is scheduled.
    is_http_1_0 : bool
        The present request is HTTP/1.0.
    """

    def __init__(self, server: CallerServer) -> None:
        super().__init__(server)
        self.pending_bytes = 0
        self.is_checking_hangup = False
        self.is_http_1_0 = False

    # Requests

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Read on, in the present request or in the next one."""
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
            # A caller that sends ahead without end must not fill the memory, but its own end must be noticed.
            self.is_flooded, self.keep_alive = True, False
            self.parser.buffer.clear()
        if self.parser.buffer and self.upload is None and self.request is not None:
            self.arrivals.record(len(self.parser.buffer), now)

    def read_requests(self) -> None:
        """Read on, until a request is under way or bytes are missing."""
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
        except MalformedMessageError as error:
            self.reject(error.status, str(error))
            return
        if self.request is None and self.parser.has_partial_message and not self.is_awaiting:
            self.is_awaiting = True
            self.state_since = self.server.clock.now()
        if self.is_awaiting and self.parser.message is not None:
            self.confirm_expectation(self.parser.message)

    def confirm_expectation(self, message: Message) -> None:
        """Have the caller send a body for which it waits to be asked (RFC 9110, 10.1.1)."""
        if message.fields.pop(b"expect", b"").lower() == b"100-continue" and not message.is_http_1_0:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def arrival_time(self) -> float:
        """Return the instant at which the last byte came of the request that has just been read."""
        if self.arrivals.waiting_bytes:
            return self.arrivals.consume(len(self.parser.buffer), self.last_progress_at)
        return self.last_progress_at

    def handle(self, message: Message) -> None:
        """Answer a health check or a rejected request, and submit any other."""
        try:
            if message.start_line[1].partition(b"?")[0] == b"/healthz" and not message.is_open:
                self._answer_health_check(message)
                return
            request = self.server.create_request(message, self.arrival_time())
        except RequestRejectedError as rejection:
            self._answer_rejection(message, rejection)
            return
        except Exception as error:  # a request that meets a fault of ours is answered all the same
            log.line("request-broken", why=repr(error))
            self.reject(500, "internal error")
            return
        self.request = request
        if message.is_open:
            self.start_upload(message, request)
        else:
            self.submit(request)

    def _answer_health_check(self, message: Message) -> None:
        if message.start_line[0] != b"GET":
            raise RequestRejectedError(405, "method", b"Allow: GET\r\n")
        status, body = (503, b"away\n") if self.server.is_out_of_service else (200, b"ok\n")
        self.write_answer(encode_response(status, body, close=self.is_last_answer()))

    def _answer_rejection(self, message: Message, rejection: RequestRejectedError) -> None:
        status, header_lines, body = rejection.status, rejection.header_lines, rejection.body
        if status == 400 or message.is_open:
            self.reject(status, str(rejection), header_lines, body)
        else:
            self.write_answer(encode_response(status, body, header_lines, close=self.is_last_answer()))

    def submit(self, request: Request) -> None:
        """Hand a request over to the exchange, unless its caller has gone.

        It may have waited to be accepted or read, on a busy machine, until then.
        """
        if self.server.has_hung_up(self.transport):
            self.server.reactor.callLater(0, self.resume_discarding)
            return
        answered = self.server.exchange.submit(request)
        answered.addCallback(self.answer, request).addErrback(self.handle_fault)

    # Large requests

    def start_upload(self, message: Message, request: Request) -> None:
        """Receive the body of a large request, of which the first part has come."""
        content = request.content
        assert isinstance(content, ForwardedRequest) and content.stream is not None
        upload = self.upload = content.stream
        self.is_awaiting = True
        self.state_since = self.server.clock.now()
        self.confirm_expectation(message)
        upload.on_space = self.resume
        upload.on_replay_lost = partial(self.server.exchange.mark_committed, request)
        upload.put(message.body)
        self.receive_upload(upload, request)

    def receive_upload(self, upload: Body, request: Request) -> None:
        """Take what else has come of a large request; submit it once it is complete or there is no memory."""
        try:
            data, is_complete = self.parser.read_body()
        except MalformedMessageError as error:
            if self.sender is not None:
                self.abort("bad-request")  # its answer is under way
            else:
                self.reject(error.status, str(error))
            return
        if is_complete:
            self.upload, self.is_awaiting = None, False
            upload.on_space = no_listener
            request.deadline = self.arrival_time() + request.time_limit
        else:
            self.arrivals.clear()
        upload.put(data, is_complete)
        if not request.accepted_at and (is_complete or upload.needs_consumer):
            self.submit(request)
        elif is_complete:
            self.server.exchange.mark_received(request)
        if not is_complete and not self.close_code and upload.is_full:
            self.pause()
            if not self.is_checking_hangup:
                self.is_checking_hangup = True
                self.server.reactor.callLater(HANGUP_CHECK_SECONDS, self.check_hangup)

    def check_hangup(self) -> None:
        """End the connection if the caller of a paused upload has gone: no read would show it."""
        self.is_checking_hangup = self.is_connected and self.is_paused and self.upload is not None
        if self.is_checking_hangup and self.server.has_hung_up(self.transport):
            self.readConnectionLost()
        elif self.is_checking_hangup:
            self.server.reactor.callLater(HANGUP_CHECK_SECONDS, self.check_hangup)

    # Answers

    def answer(self, answer: Answer, request: Request) -> None:
        """Write the final answer of the present request, and go on to the next one."""
        self.cancel_upload(request)
        if self.upload is not None:
            self.resume()
        close = self.is_last_answer()
        message = answer.content
        drill_line = b"X-Drill: 1\r\n" if request.is_drill else b""
        if answer.kind is SERVED and isinstance(message, Message) and message.stream is not None:
            self.start_stream(message, message.stream, drill_line)
            return
        self.request = None
        if answer.kind is SERVED:
            assert isinstance(message, Message)
            lines = drill_line + message.end_to_end_lines()
            self.write_answer(encode_response(200, message.body, lines, close=close))
        elif answer.kind is REFUSED:
            lines = drill_line + _retry_after_line(answer.retry_after)
            self.write_answer(encode_response(503, header_lines=lines, close=close))
        else:
            self.write_answer(encode_response(502, header_lines=drill_line, close=close))
        self.next_request()

    def is_last_answer(self) -> bool:
        """Return whether the answer that is about to be written is the last on its connection, as it states.

        It is if the rest of its request is still to come: that would be taken for the next request. In a
        shutdown, what has been read of the next request is answered first, or it would be lost with the
        sending side shut. And a caller that sends on and reads nothing must not fill the memory.
        """
        is_ending = self.server.is_ending and not self.parser.has_partial_message
        if is_ending or self.upload is not None or self.pending_bytes > MAX_PENDING_ANSWER_BYTES:
            self.keep_alive = False
        return not self.keep_alive

    def write_answer(self, data: bytes) -> None:
        """Write an answer, or the end of one, and end the connection if it is the last."""
        if not self.is_connected:
            return
        self.state_since = self.server.clock.now()
        self.pending_bytes = self.pending_bytes + len(data) if self.transport.dataBuffer else 0
        self.transport.write(data)
        if self.upload is not None:
            self.linger("answered-early")
        elif not self.keep_alive:
            self.close("stopping" if self.server.is_ending else "caller-asked")

    def next_request(self) -> None:
        """Read on after an answer; in a later turn, if the next request is there already."""
        self.resume()
        if self.parser.has_partial_message:
            self.server.reactor.callLater(0, self.read_requests_later)

    def read_requests_later(self) -> None:
        """Read on, and end the connection after a fault of ours: here no transport does that."""
        try:
            self.read_requests()
        except Exception as error:
            log.line("answer-broken", why=repr(error))
            self.close("internal-error")  # the answer before may not be out yet

    def handle_fault(self, failure: Any) -> None:
        """End the connection after a fault of ours, lest its caller wait for an answer."""
        log.line("answer-broken", why=repr(failure.value))
        if self.request is None:  # the answer was complete before the fault
            self.close("internal-error")
        else:
            self.abort("internal-error")

    # Large answers

    def start_stream(self, message: Message, stream: Body, drill_line: bytes) -> None:
        """Pass an open answer on.

        Without a length it goes in chunks or, to a caller that can't read these, until the close. If it
        breaks off, the connection is reset, so that the caller can tell.
        """
        if not self.is_connected:
            stream.cancel()
            return
        is_chunked = stream.length is None and not self.is_http_1_0
        if stream.length is not None:
            framing = b"Content-Length: %d\r\n" % stream.length
        elif is_chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            framing, self.keep_alive = b"", False
        close = b"" if self.keep_alive else b"Connection: close\r\n"
        lines = drill_line + message.end_to_end_lines()
        self.transport.write(b"HTTP/1.1 200 OK\r\n%s%s%s\r\n" % (lines, framing, close))
        self.last_progress_at = self.server.clock.now()
        self.sent_offset = 0
        self.sender = BodySender(self.transport, stream, is_chunked, self.finish_stream, self.abort_stream)

    def finish_stream(self) -> None:
        """Go on to the next request: the last byte of the answer has left."""
        self.sender = self.request = None
        self.write_answer(b"")
        self.next_request()

    def abort_stream(self) -> None:
        """Reset the connection: the rest of the answer will never come."""
        self.close_reason = "answer not whole"
        self.abort("answer-cut")


def _retry_after_line(seconds: float) -> bytes:
    """Return the line that advises a wait, rounded up to milliseconds; empty for none."""
    if seconds <= 0:
        return b""
    return b"Retry-After: %s\r\n" % (b"%.3f" % (ceil(seconds * 1000) / 1000))
