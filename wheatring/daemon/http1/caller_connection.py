"""One caller's connection: reads requests and writes responses, one at a time.

The body of a request that exceeds the buffer limit is received as a stream (`upload`). The request is
submitted once the body is complete, or as soon as no memory is left to buffer more of it. A large response is
also sent as a stream (`sender`). In both cases `request` stays set until the last byte of the response has
been sent.
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

SERVED, REFUSED = AnswerKind.SERVED, AnswerKind.REFUSED  # bound once, since enum member access is slow

# Responses queued while the socket's send buffer is full; beyond this the connection is closed.
MAX_PENDING_RESPONSE_BYTES = 1024 * 1024
HANGUP_CHECK_SECONDS = 0.05  # interval of the disconnect checks while an upload is paused


class CallerConnection(CallerLifecycle):
    """The connection of one caller. Pipelined requests are answered one at a time, in order of arrival.

    Attributes
    ----------
    pending_bytes : int
        Bytes of responses written while the socket's send buffer was full.
    is_checking_hangup : bool
        A check whether the caller of a paused upload has disconnected is scheduled.
    is_http_1_0 : bool
        The current request is HTTP/1.0.
    """

    def __init__(self, server: CallerServer) -> None:
        super().__init__(server)
        self.pending_bytes = 0
        self.is_checking_hangup = False
        self.is_http_1_0 = False

    # Requests

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parse received data as part of the current request or of the next one."""
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
            # Bounds the memory for pipelined requests, but keeps reading to detect a disconnect.
            self.is_flooded, self.keep_alive = True, False
            self.parser.buffer.clear()
        if self.parser.buffer and self.upload is None and self.request is not None:
            self.arrivals.record(len(self.parser.buffer), now)

    def read_requests(self) -> None:
        """Parse buffered data until a request is in flight or more data is needed."""
        try:
            # A pipelined request must not be started after its caller has disconnected.
            while self.is_connected and self.request is None and not self.close_code:
                message = self.parser.next_message()
                if message is None:
                    self.arrivals.clear()
                    break
                self.is_reading_request = False
                self.keep_alive = message.keep_alive
                self.is_http_1_0 = message.is_http_1_0
                self.handle(message)
        except MalformedMessageError as error:
            self.reject(error.status, str(error))
            return
        if self.request is None and self.parser.has_partial_message and not self.is_reading_request:
            self.is_reading_request = True
            self.state_since = self.server.clock.now()
        if self.is_reading_request and self.parser.message is not None:
            self.confirm_expectation(self.parser.message)

    def confirm_expectation(self, message: Message) -> None:
        """Send 100 Continue if the caller expects it before it sends the body (RFC 9110, 10.1.1)."""
        if message.fields.pop(b"expect", b"").lower() == b"100-continue" and not message.is_http_1_0:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def arrival_time(self) -> float:
        """Return the time at which the last byte of the request that was just parsed arrived."""
        if self.arrivals.waiting_bytes:
            return self.arrivals.consume(len(self.parser.buffer), self.last_progress_at)
        return self.last_progress_at

    def handle(self, message: Message) -> None:
        """Answer a health check or an invalid request directly, and submit any other."""
        try:
            if message.start_line[1].partition(b"?")[0] == b"/healthz" and not message.is_open:
                self._answer_health_check(message)
                return
            request = self.server.create_request(message, self.arrival_time())
        except RequestRejectedError as rejection:
            self._answer_rejection(message, rejection)
            return
        except Exception as error:  # a request that causes an internal error still gets a response
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
        self.write_response(encode_response(status, body, close=self.is_last_response()))

    def _answer_rejection(self, message: Message, rejection: RequestRejectedError) -> None:
        status, header_lines, body = rejection.status, rejection.header_lines, rejection.body
        if status == 400 or message.is_open:
            self.reject(status, str(rejection), header_lines, body)
        else:
            self.write_response(encode_response(status, body, header_lines, close=self.is_last_response()))

    def submit(self, request: Request) -> None:
        """Submit a request to the exchange, unless its caller has disconnected.

        On a busy machine, the caller may have disconnected before its request was accepted or read.
        """
        if self.server.has_hung_up(self.transport):
            self.server.reactor.callLater(0, self.resume_discarding)
            return
        deferred = self.server.exchange.submit(request)
        deferred.addCallback(self.answer, request).addErrback(self.handle_internal_error)

    # Large requests

    def start_upload(self, message: Message, request: Request) -> None:
        """Start to stream the body of a large request, of which the first part has arrived."""
        content = request.content
        assert isinstance(content, ForwardedRequest) and content.stream is not None
        upload = self.upload = content.stream
        self.is_reading_request = True
        self.state_since = self.server.clock.now()
        self.confirm_expectation(message)
        upload.on_space = self.resume
        upload.on_replay_lost = partial(self.server.exchange.mark_committed, request)
        upload.put(message.body)
        self.receive_upload(upload, request)

    def receive_upload(self, upload: Body, request: Request) -> None:
        """Append received data to the upload; submit the request once complete or out of memory."""
        try:
            data, is_complete = self.parser.read_body()
        except MalformedMessageError as error:
            if self.sender is not None:
                self.abort("bad-request")  # its response has already been started
            else:
                self.reject(error.status, str(error))
            return
        if is_complete:
            self.upload, self.is_reading_request = None, False
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
        """Close the connection if the caller of a paused upload has disconnected.

        No read is pending while paused, so the disconnect would go unnoticed.
        """
        self.is_checking_hangup = self.is_connected and self.is_paused and self.upload is not None
        if self.is_checking_hangup and self.server.has_hung_up(self.transport):
            self.readConnectionLost()
        elif self.is_checking_hangup:
            self.server.reactor.callLater(HANGUP_CHECK_SECONDS, self.check_hangup)

    # Responses

    def answer(self, answer: Answer, request: Request) -> None:
        """Write the final response to the current request, and continue with the next request."""
        self.cancel_upload(request)
        if self.upload is not None:
            self.resume()
        close = self.is_last_response()
        message = answer.content
        drill_line = b"X-Drill: 1\r\n" if request.is_drill else b""
        if answer.kind is SERVED and isinstance(message, Message) and message.stream is not None:
            self.start_stream(message, message.stream, drill_line)
            return
        self.request = None
        if answer.kind is SERVED:
            assert isinstance(message, Message)
            lines = drill_line + message.end_to_end_lines()
            self.write_response(encode_response(200, message.body, lines, close=close))
        elif answer.kind is REFUSED:
            lines = drill_line + _retry_after_line(answer.retry_after)
            self.write_response(encode_response(503, header_lines=lines, close=close))
        else:
            self.write_response(encode_response(502, header_lines=drill_line, close=close))
        self.next_request()

    def is_last_response(self) -> bool:
        """Return whether the next response carries `Connection: close`; updates `keep_alive` accordingly.

        It does if the rest of its request has not arrived yet, since that would be parsed as the next
        request, and if the caller sends requests without reading the responses, to bound memory. During a
        shutdown, a partially received next request is answered first: it would be lost once the write side is
        shut down.
        """
        is_final = self.server.closes_after_response and not self.parser.has_partial_message
        if is_final or self.upload is not None or self.pending_bytes > MAX_PENDING_RESPONSE_BYTES:
            self.keep_alive = False
        return not self.keep_alive

    def write_response(self, data: bytes) -> None:
        """Write a response, or the end of one, and close the connection if it is the last one."""
        if not self.is_connected:
            return
        self.state_since = self.server.clock.now()
        self.pending_bytes = self.pending_bytes + len(data) if self.transport.dataBuffer else 0
        self.transport.write(data)
        if self.upload is not None:
            self.linger("answered-early")
        elif not self.keep_alive:
            self.close("stopping" if self.server.closes_after_response else "caller-asked")

    def next_request(self) -> None:
        """Continue to read after a response; buffered requests are parsed in a later reactor iteration."""
        self.resume()
        if self.parser.has_partial_message:
            self.server.reactor.callLater(0, self.read_requests_later)

    def read_requests_later(self) -> None:
        """Parse the next request, and close the connection after an internal error.

        The transport catches only exceptions that are raised in its own callbacks.
        """
        try:
            self.read_requests()
        except Exception as error:
            log.line("answer-broken", why=repr(error))
            self.close("internal-error")  # the previous response may not have been sent completely

    def handle_internal_error(self, failure: Any) -> None:
        """Close the connection after an internal error, so that the caller does not wait for a response."""
        log.line("answer-broken", why=repr(failure.value))
        if self.request is None:  # the response was complete before the error
            self.close("internal-error")
        else:
            self.abort("internal-error")

    # Large responses

    def start_stream(self, message: Message, stream: Body, drill_line: bytes) -> None:
        """Stream a response whose body is still being received.

        Without a content length it is sent chunked, or delimited by the close to an HTTP/1.0 caller. If the
        body is truncated, the connection is reset, so that the caller can detect it.
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
        """Continue with the next request: the last byte of the response has been sent."""
        self.sender = self.request = None
        self.write_response(b"")
        self.next_request()

    def abort_stream(self) -> None:
        """Reset the connection: the rest of the response will not arrive."""
        self.close_reason = "answer not whole"
        self.abort("answer-cut")


def _retry_after_line(seconds: float) -> bytes:
    """Return the Retry-After header line, rounded up to milliseconds; empty if there is no delay."""
    if seconds <= 0:
        return b""
    return b"Retry-After: %s\r\n" % (b"%.3f" % (ceil(seconds * 1000) / 1000))
