"""The life of one caller's connection: its state, its flow control, its time limits and its end.

An end is careful. Once `close_code` is set, nothing more is read for a request. The sending side is shut
behind what is still to be written (`is_shut`), the rest that comes is discarded, and the connection is closed
once its caller has closed it, or after a time limit. A close at once would be a reset where bytes are unread
or still come, and what was last written would be lost with it.
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
        """The server, as far as a connection uses it."""

        reactor: Any
        clock: Clock
        exchange: Exchange
        has_hung_up: Callable[[Any], bool]
        is_out_of_service: bool

        @property
        def is_ending(self) -> bool:
            """Whether each answer is the last one on its connection."""

        def add(self, connection: Any) -> None:
            """Take a new connection."""

        def remove(self, connection: Any) -> None:
            """Forget a connection that has ended."""

        def end_after_read(self, connection: Any, code: str) -> None:
            """End a connection once all has been read that the system holds, if it may still be ended."""

        def create_request(self, message: Message, arrived_at: float) -> Request:
            """Return the request that a message asks for. Raises RequestRejectedError."""


# A head must be complete in so long from its first byte or, for the first one, from the connect. Callers may
# take 2 s for it; one that sends none is due an answer within 3 s.
HEAD_SECONDS = 2.6
# A body is to bring another byte in so long, and so many bytes a second from then on: half of what the
# slowest callers send.
BODY_IDLE_TIMEOUT_SECONDS = 2.0
MIN_BODY_BYTES_PER_SECOND = 32 * 1024
UNREAD_ANSWER_SECONDS = (
    180.0  # in which a caller is to read a buffer of a large answer: 1 kB/s is fast enough
)
STUCK_UPLOAD_SECONDS = 10.0  # in which an endpoint is to take a buffer of a large request
LINGER_SECONDS = 2.0  # in which a caller may read the last answer, once all of it has left this process
MAX_DISCARDED_BYTES = 1024 * 1024  # that are read meanwhile; more would only cost time
# The pause in reading after so much from a caller that has sent too much ahead. Its end shows behind what the
# system holds, but not behind what has no room there (4 MB at most): that has to be read in 0.1 s.
DISCARD_PAUSE_SECONDS = 0.015


@implementer(IHalfCloseableProtocol)
class CallerLifecycle(Connection):
    """What of a caller's connection does not depend on what it carries.

    Attributes
    ----------
    request : Request | None
        The present request, until the last byte of its answer.
    keep_alive : bool
        The present answer is not the last.
    upload : Body | None
        The body of the present request, while it comes.
    sender : BodySender | None
        Writes the present answer, while that goes out as a body in transit.
    arrivals : ArrivalTimes
        Of what waits behind the present request.
    is_shut : bool
        The sending side is shut: all that was written is out.
    is_flooded : bool
        Too much was sent ahead: the present answer is the last.
    is_awaiting : bool
        A request is awaited and not complete; the first one from the connect on.
    sent_offset : int
        How much of the present answer had been taken by the last check.
    last_progress_at : float
        The instant of the last byte from the caller, or of the last check at which it had taken some; or when
        all had left.
    state_since : float
        The instant at which the present state began: between requests, or in the middle of one.
    """

    log_event = "caller-connection"

    def __init__(self, server: CallerServer) -> None:
        super().__init__(
            responses=False, max_body_bytes=MAX_BODY_BYTES, buffered_body_bytes=BUFFERED_BODY_BYTES
        )
        self.server = server
        self.request: Request | None = None
        self.keep_alive = True
        self.is_shut = False
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
        self.is_awaiting = True

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Take a place at the server."""
        super().connectionMade()
        self.server.add(self)

    @property
    def state(self) -> CallerState:
        """What the connection is doing."""
        return caller_state(
            is_ending=bool(self.close_code),
            is_shut=self.is_shut,
            has_request=self.request is not None,
            has_upload=self.upload is not None,
            has_sender=self.sender is not None,
            is_awaiting=self.is_awaiting,
        )

    # Flow control

    def pause(self) -> None:
        """Read no more for now."""
        if not self.is_paused:
            self.is_paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read on; the time for which nothing was read doesn't count against the caller."""
        if self.is_paused:
            self.is_paused = False
            if not self.close_code:
                now = self.server.clock.now()
                self.state_since += now - self.last_progress_at
                self.last_progress_at = now
            self.transport.resumeProducing()

    def discard(self, size: int) -> None:
        """Count what was read and discarded; after too much, pause."""
        self.discarded_bytes += size
        if self.discarded_bytes > self.max_discarded_bytes:
            self.pause()
            if not self.close_code:
                self.discarded_bytes = 0
                self.server.reactor.callLater(DISCARD_PAUSE_SECONDS, self.resume_discarding)

    def resume_discarding(self) -> None:
        """Read on, unless the caller has gone: what is unread would only delay the notice of that."""
        if self.close_code or not self.is_connected:
            return
        if self.server.has_hung_up(self.transport):
            self.readConnectionLost()
        else:
            self.resume()

    # The end

    def reject(self, status: int, reason: str, header_lines: bytes = b"", body: bytes = b"") -> None:
        """Answer a request that can't be read, and end the connection."""
        self.close_reason = reason
        self.withdraw_request()
        self.transport.write(encode_response(status, body, header_lines, close=True))
        self.linger(f"bad-request-{status}")

    def linger(self, code: str) -> None:
        """End the connection in the middle of a request.

        Its caller may have to write the rest before it reads the answer.
        """
        if self.upload is not None:
            self.max_discarded_bytes = MAX_BODY_BYTES
            self.upload = None
        self.state_since = self.server.clock.now()
        self.close(code)
        self.resume()

    def close(self, code: str) -> None:
        """End the connection, as the last answer has been written.

        What is read from now on is discarded, so nothing is read until the sending side is shut: a request
        that was read before would be one that was taken.
        """
        if self.is_connected and not self.close_code:
            self.close_code = code
            self.parser.buffer.clear()
            self.pause()
            self.transport.loseWriteConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802 - Twisted's name
        """Note that the sending side is shut, and read what still comes."""
        self.is_shut, self.last_progress_at = True, self.server.clock.now()
        self.resume()

    def readConnectionLost(self) -> None:  # noqa: N802 - Twisted's name
        """End the connection: the caller has ended its sending, as it has left or read its last answer."""
        self.transport.connectionLost(connectionDone)

    def disconnect(self) -> None:
        """Wait for the caller no longer: one that reads nothing must not keep its connection for ever."""
        if self.is_shut:
            self.transport.loseConnection()
        else:
            self.abort(self.close_code)

    def withdraw_request(self) -> None:
        """Give the present request up: it will not become complete, or its caller has gone."""
        if self.request is not None:
            request, self.request = self.request, None
            self.cancel_upload(request)
            if request.accepted_at:
                self.server.exchange.withdraw(request)

    def cancel_upload(self, request: Request) -> None:
        """Release a large request's body: it is never sent again."""
        content = request.content
        if isinstance(content, ForwardedRequest) and content.stream is not None:
            content.stream.cancel()

    def on_ended(self, is_orderly: bool) -> None:  # noqa: ARG002 - Twisted's signature
        """Clean up. Whatever else fails, nothing may be begun for a caller that has gone."""
        try:
            self.withdraw_request()
        finally:
            if self.sender is not None:
                self.sender.body.cancel()
                self.sender = None
            self.server.remove(self)

    # Time limits, and ends that others ask for

    def enforce_limits(self, now: float, idle_seconds: float) -> None:
        """End the connection if its caller takes too long for what is awaited of it."""
        match self.state:
            case CallerState.RESTING:
                if now > self.state_since + idle_seconds:
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
                self._check_progress(now)
            case CallerState.CLOSING:  # what has not left is kept for as long as an idle connection is kept
                if now > self.state_since + max(LINGER_SECONDS, idle_seconds):
                    self.disconnect()
            case CallerState.SHUT:
                if now > self.last_progress_at + LINGER_SECONDS:
                    self.disconnect()

    def _check_progress(self, now: float) -> None:
        assert self.sender is not None
        if (sent_offset := self.sender.body.taken_offset) > self.sent_offset:
            self.sent_offset, self.last_progress_at = sent_offset, now
        elif now > self.last_progress_at + UNREAD_ANSWER_SECONDS:
            self.abort("unread")

    def is_too_slow(self, now: float) -> bool:
        """Return whether what is awaited of a request takes too long."""
        if self.parser.message is None:
            return now > self.state_since + HEAD_SECONDS
        if now > self.last_progress_at + BODY_IDLE_TIMEOUT_SECONDS:
            return True
        spent = now - self.state_since - HEAD_SECONDS
        return spent > self.parser.body_bytes / MIN_BODY_BYTES_PER_SECOND

    def evict(self) -> None:
        """Give the place up to a caller that waits for one."""
        if self.close_code:
            self.disconnect()
        else:
            self.server.end_after_read(self, "full")

    def end_unanswered(self, code: str) -> None:
        """Wait for a request no longer. A caller that is in the middle of one gets an answer."""
        if self.parser.has_partial_message:
            self.reject(408, "request not whole in time")
        else:
            self.close(code)
