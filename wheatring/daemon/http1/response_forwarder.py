"""Forwards a large response from an endpoint to its caller, with flow control."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from wheatring.common.body import Body, no_listener
from wheatring.common.http_parser import BUFFERED_BODY_BYTES
from wheatring.daemon.http1.connection import call_after_read

if TYPE_CHECKING:
    from typing import Any, Protocol

    from wheatring.common.http_parser import Message, MessageParser
    from wheatring.daemon.core.clock import Clock

    class ForwardingPool(Protocol):
        """The part of a connection pool that is used here."""

        reactor: Any
        clock: Clock

    class ForwardingConnection(Protocol):
        """The part of an endpoint connection that is used here."""

        parser: MessageParser
        transport: Any
        stream: ResponseForwarder | None
        is_connected: bool
        close_code: str

        @property
        def pool(self) -> ForwardingPool:
            """The pool of the connection."""

        def start_stall_timer(self, seconds: float) -> None:
            """Reject the response if no data arrives for `seconds`."""

        def stop_stall_timer(self) -> None:
            """Cancel the stall timer."""

        def keep_or_close(self, keep_alive: bool) -> None:
            """Return the connection to the pool, or close it if it can't be reused."""

        def reject_response(self, reason: str) -> None:
            """Fail the attempt and reset the connection."""

        def abort(self, code: str) -> None:
            """Reset the connection immediately."""


# Longest gap in a forwarded response; after a longer one it counts as malformed. The limit is high because
# the request can't be retried any more once its caller has received a part of the response.
STREAM_STALL_SECONDS = 10.0
# Time after its head at which an incomplete response is forwarded if it is large or of unknown length, so
# that the caller gets the first bytes early.
STREAM_AFTER_SECONDS = 0.3
STREAM_UNKNOWN_LENGTH_AFTER_SECONDS = 0.5
# Minimum average rate of a forwarded response after the deadline of its request, unless the caller reads more
# slowly, and the interval of the checks. Without it, an endless response would be forwarded forever.
MIN_RESPONSE_BYTES_PER_SECOND = 32 * 1024
STREAM_CHECK_SECONDS = 0.1


def stream_due_at(message: Message, head_read_at: float) -> float:
    """Return the time from which an incomplete response is forwarded; `inf` if it must be complete."""
    if message.content_length is None:
        return head_read_at + STREAM_UNKNOWN_LENGTH_AFTER_SECONDS
    if message.content_length > BUFFERED_BODY_BYTES:
        return head_read_at + STREAM_AFTER_SECONDS
    return inf


class ResponseForwarder:
    """A response that is forwarded while it is being received.

    Attributes
    ----------
    body : Body
        Body of the response, which the caller's connection reads.
    keep_alive : bool
        Whether the connection may be reused after the response.
    head_read_at : float
        Time at which the head of the response was read.
    """

    def __init__(
        self, connection: ForwardingConnection, body: Body, keep_alive: bool, head_read_at: float
    ) -> None:
        self.connection = connection
        self.body = body
        self.keep_alive = keep_alive
        self.head_read_at = head_read_at

    def start(self, data: bytes, caller_deadline: float) -> None:
        """Start to forward, with the data received so far."""
        self.connection.pool.clock.at(caller_deadline, self.check)
        self.body.on_space = self.resume
        self.body.on_cancel = self.abort
        self.body.put(data)
        self.connection.start_stall_timer(STREAM_STALL_SECONDS)

    def forward(self) -> None:
        """Pass on received data. Raises MalformedMessageError."""
        data, is_complete = self.connection.parser.read_body()
        if is_complete:
            self.detach()
            self.connection.keep_or_close(self.keep_alive)
        else:
            self.connection.start_stall_timer(STREAM_STALL_SECONDS)
        self.body.put(data, is_complete)
        self.pause_if_full()

    def check(self, end_offset: int = -1) -> None:
        """Check after the caller's deadline that the endpoint still makes progress.

        The response is rejected if it is below the minimum rate, the caller has read all of it, and nothing
        more was received since the last check.
        """
        if self.connection.stream is not self:
            return
        body, pool = self.body, self.connection.pool
        delay = STREAM_CHECK_SECONDS
        expected = MIN_RESPONSE_BYTES_PER_SECOND * (pool.clock.now() - self.head_read_at)
        if body.taken_offset == body.end_offset < expected:
            if body.end_offset == end_offset:
                self.connection.reject_response("answer not whole in time")
                return
            delay = 0.0
        call_after_read(pool.reactor, self.check, body.end_offset, delay=delay)

    def pause_if_full(self) -> None:
        """Pause reading while the caller is slower; the stall time-out is suspended meanwhile."""
        if self.connection.stream is self and self.body.is_full:
            self.connection.stop_stall_timer()
            self.connection.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading, as the caller has read enough."""
        if self.connection.is_connected and not self.connection.close_code:
            self.connection.start_stall_timer(STREAM_STALL_SECONDS)
            self.connection.transport.resumeProducing()

    def detach(self) -> None:
        """Detach the body from the connection; the reader keeps the data received so far."""
        self.connection.stream = None
        self.body.on_space = self.body.on_cancel = no_listener

    def abort(self) -> None:
        """Reset the connection, as the caller has disconnected."""
        self.detach()
        self.connection.stop_stall_timer()
        self.connection.abort("caller-gone")
