"""The lifecycle of one caller's connection: its state, flow control, time limits and graceful close.

Once `close_code` is set, no further request is read. After all pending output has been sent, the write side
is shut down (`is_write_shut`), further input is discarded, and the connection is closed once its caller has
closed it or a time-out has expired. An immediate close would send a reset if input is unread or still
arrives, and the caller could lose the last response.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import connectionDone
from zope.interface import implementer  # type: ignore[import-untyped]

from wheatring.common.body import Body
from wheatring.common.http_parser import BUFFERED_BODY_BYTES, MAX_BODY_BYTES, ForwardedRequest
from wheatring.common.http_responses import encode_response
from wheatring.daemon.core.exchange import Request
from wheatring.daemon.http1.body_sender import BodySender
from wheatring.daemon.http1.caller_state import ArrivalTimes, CallerState, caller_state
from wheatring.daemon.http1.connection import Connection

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any, Protocol

    from wheatring.common.http_parser import Message
    from wheatring.daemon.core.clock import Clock
    from wheatring.daemon.core.exchange import Exchange

    class CallerServer(Protocol):
        """The part of the server that a connection uses."""

        reactor: Any
        clock: Clock
        exchange: Exchange
        has_hung_up: Callable[[Any], bool]
        is_out_of_service: bool

        @property
        def closes_after_response(self) -> bool:
            """Whether connections are closed after their next response."""

        def add(self, connection: Any) -> None:
            """Register a new connection."""

        def remove(self, connection: Any) -> None:
            """Remove a closed connection."""

        def close_after_read(self, connection: Any, code: str) -> None:
            """Close a connection after the kernel's receive buffer was read, unless a request has arrived."""

        def create_request(self, message: Message, arrived_at: float) -> Request:
            """Return the request for a parsed message. Raises RequestRejectedError."""


# Time limit for a request head, from its first byte or, for the first request, from the connect. Callers may
# take 2 s to send one; a caller that does not must get a response within 3 s.
HEAD_TIMEOUT_SECONDS = 2.6
# Longest gap between two reads of a body, and its minimum average rate: half the rate of the slowest callers.
BODY_IDLE_TIMEOUT_SECONDS = 2.0
MIN_BODY_BYTES_PER_SECOND = 32 * 1024
# Time in which a caller must read one buffer of a large response; this allows rates down to 1 kB/s.
UNREAD_RESPONSE_TIMEOUT_SECONDS = 180.0
STALLED_UPLOAD_TIMEOUT_SECONDS = 10.0  # time in which an endpoint must read one buffer of a large request
LINGER_TIMEOUT_SECONDS = 2.0  # time to read the last response after the write side was shut down
MAX_DISCARDED_BYTES = 1024 * 1024  # discarded input before reading is paused; more would only cost time
# Pause between two reads of MAX_DISCARDED_BYTES from a caller that has pipelined too much. A disconnect is
# detected behind data in the receive buffer, but not behind data that does not fit into it (at most 4 MB),
# which has to be read within 0.1 s.
DISCARD_PAUSE_SECONDS = 0.015


@implementer(IHalfCloseableProtocol)
class CallerLifecycle(Connection):
    """The part of a caller's connection that does not depend on the content of requests and responses.

    Attributes
    ----------
    request : Request | None
        The current request, until the last byte of its response has been sent.
    keep_alive : bool
        The connection stays open after the current response.
    upload : Body | None
        The body of the current request, while it is being received.
    sender : BodySender | None
        Writes the current response, while it is being streamed.
    arrivals : ArrivalTimes
        Arrival times of the data buffered behind the current request.
    is_write_shut : bool
        The write side is shut down: all output has been sent.
    is_flooded : bool
        The caller has pipelined too much: the current response is the last one.
    is_reading_request : bool
        A request has begun and is not complete. The first request counts as begun at the connect.
    sent_offset : int
        Bytes of the current response that the transport had taken at the last check.
    last_progress_at : float
        Time of the last byte received, of the last check that found progress in sending, or of the shutdown
        of the write side.
    state_since : float
        Time at which the connection became idle or the current request began.
    """

    log_event = "caller-connection"

    def __init__(self, server: CallerServer) -> None:
        super().__init__(
            responses=False, max_body_bytes=MAX_BODY_BYTES, buffered_body_bytes=BUFFERED_BODY_BYTES
        )
        self.server = server
        self.request: Request | None = None
        self.keep_alive = True
        self.is_write_shut = False
        self.is_paused = False
        self.is_flooded = False
        self.discarded_bytes = 0
        self.max_discarded_bytes = MAX_DISCARDED_BYTES
        self.arrivals = ArrivalTimes()
        self.upload: Body | None = None
        self.sender: BodySender | None = None
        self.sent_offset = 0
        self.last_progress_at = 0.0
        self.state_since = server.clock.now()
        self.is_reading_request = True

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Register the connection with the server."""
        super().connectionMade()
        self.server.add(self)

    @property
    def state(self) -> CallerState:
        """The current state of the connection."""
        return caller_state(
            is_closing=bool(self.close_code),
            is_write_shut=self.is_write_shut,
            has_request=self.request is not None,
            has_upload=self.upload is not None,
            has_sender=self.sender is not None,
            is_reading_request=self.is_reading_request,
        )

    # Flow control

    def pause(self) -> None:
        """Pause reading."""
        if not self.is_paused:
            self.is_paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading; the time limits are extended by the pause."""
        if self.is_paused:
            self.is_paused = False
            if not self.close_code:
                now = self.server.clock.now()
                self.state_since += now - self.last_progress_at
                self.last_progress_at = now
            self.transport.resumeProducing()

    def discard(self, size: int) -> None:
        """Count discarded input; pause reading above the limit."""
        self.discarded_bytes += size
        if self.discarded_bytes > self.max_discarded_bytes:
            self.pause()
            if not self.close_code:
                self.discarded_bytes = 0
                self.server.reactor.callLater(DISCARD_PAUSE_SECONDS, self.resume_discarding)

    def resume_discarding(self) -> None:
        """Resume reading, or close the connection if the caller has disconnected behind unread input."""
        if self.close_code or not self.is_connected:
            return
        if self.server.has_hung_up(self.transport):
            self.readConnectionLost()
        else:
            self.resume()

    # Closing

    def reject(self, status: int, reason: str, header_lines: bytes = b"", body: bytes = b"") -> None:
        """Answer a request with an error, and close the connection."""
        self.close_reason = reason
        self.withdraw_request()
        self.transport.write(encode_response(status, body, header_lines, close=True))
        self.linger(f"bad-request-{status}")

    def linger(self, code: str) -> None:
        """Close the connection in the middle of a request.

        The caller may have to write the rest of the request before it reads the response.
        """
        if self.upload is not None:
            self.max_discarded_bytes = MAX_BODY_BYTES
            self.upload = None
        self.state_since = self.server.clock.now()
        self.close(code)
        self.resume()

    def close(self, code: str) -> None:
        """Close the connection gracefully, after the last response was written.

        Reading is paused until the write side is shut down, as input that is read from now on is discarded: a
        request that was read counts as accepted and must not be dropped.
        """
        if self.is_connected and not self.close_code:
            self.close_code = code
            self.parser.buffer.clear()
            self.pause()
            self.transport.loseWriteConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802 - Twisted's name
        """Record that the write side is shut down, and resume reading to discard input."""
        self.is_write_shut, self.last_progress_at = True, self.server.clock.now()
        self.resume()

    def readConnectionLost(self) -> None:  # noqa: N802 - Twisted's name
        """Close the connection: the caller has shut down its write side or closed the connection."""
        self.transport.connectionLost(connectionDone)

    def disconnect(self) -> None:
        """Close without waiting for the caller, so that one that reads nothing can't hold the connection."""
        if self.is_write_shut:
            self.transport.loseConnection()
        else:
            self.abort(self.close_code)

    def withdraw_request(self) -> None:
        """Cancel the current request: it can't be completed, or its caller has disconnected."""
        if self.request is not None:
            request, self.request = self.request, None
            self.cancel_upload(request)
            if request.accepted_at:
                self.server.exchange.withdraw(request)

    def cancel_upload(self, request: Request) -> None:
        """Release the body of a large request, which will not be sent again."""
        content = request.content
        if isinstance(content, ForwardedRequest) and content.stream is not None:
            content.stream.cancel()

    def on_ended(self, is_orderly: bool) -> None:  # noqa: ARG002 - Twisted's signature
        """Clean up. The request is withdrawn first, so that no new attempt is started for it."""
        try:
            self.withdraw_request()
        finally:
            if self.sender is not None:
                self.sender.body.cancel()
                self.sender = None
            self.server.remove(self)

    # Time limits, eviction and shutdown

    def enforce_limits(self, now: float, idle_timeout: float) -> None:
        """Close the connection if its caller exceeds the time limit of the current state."""
        match self.state:
            case CallerState.IDLE:
                if now > self.state_since + idle_timeout:
                    self.server.close_after_read(self, "idle")
            case CallerState.READING:
                if self.is_too_slow(now):
                    self.server.close_after_read(self, "silent")
            case CallerState.UPLOADING:
                if not self.is_paused and self.is_too_slow(now):
                    self.server.close_after_read(self, "silent")
                elif self.is_paused and now > self.last_progress_at + STALLED_UPLOAD_TIMEOUT_SECONDS:
                    self.reject(503, "request body not accepted by an endpoint in time")
            case CallerState.STREAMING:
                self._check_progress(now)
            case CallerState.CLOSING:  # unsent output is kept for as long as an idle connection
                if now > self.state_since + max(LINGER_TIMEOUT_SECONDS, idle_timeout):
                    self.disconnect()
            case CallerState.SHUT:
                if now > self.last_progress_at + LINGER_TIMEOUT_SECONDS:
                    self.disconnect()

    def _check_progress(self, now: float) -> None:
        assert self.sender is not None
        if (sent_offset := self.sender.body.taken_offset) > self.sent_offset:
            self.sent_offset, self.last_progress_at = sent_offset, now
        elif now > self.last_progress_at + UNREAD_RESPONSE_TIMEOUT_SECONDS:
            self.abort("unread")

    def is_too_slow(self, now: float) -> bool:
        """Return whether the current request is being received too slowly."""
        if self.parser.message is None:
            return now > self.state_since + HEAD_TIMEOUT_SECONDS
        if now > self.last_progress_at + BODY_IDLE_TIMEOUT_SECONDS:
            return True
        body_seconds = now - self.state_since - HEAD_TIMEOUT_SECONDS
        return body_seconds > self.parser.body_bytes / MIN_BODY_BYTES_PER_SECOND

    def evict(self) -> None:
        """Close the connection to free its slot for a waiting caller."""
        if self.close_code:
            self.disconnect()
        else:
            self.server.close_after_read(self, "full")

    def close_unanswered(self, code: str) -> None:
        """Close the connection without a complete request; a partial one is answered with 408."""
        if self.parser.has_partial_message:
            self.reject(408, "request incomplete at the time limit")
        else:
            self.close(code)
