"""Forwards a large answer from its endpoint's connection, no faster than its caller takes it."""

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
        """The pool of a connection, as far as it is used here."""

        reactor: Any
        clock: Clock

    class ForwardingConnection(Protocol):
        """The endpoint connection that an answer comes on, as far as it is used here."""

        parser: MessageParser
        transport: Any
        stream: ResponseForwarder | None
        is_connected: bool
        close_code: str

        @property
        def pool(self) -> ForwardingPool:
            """Its pool."""

        def start_stall_timer(self, seconds: float) -> None:
            """Reject the answer if nothing more comes for so long."""

        def stop_stall_timer(self) -> None:
            """Cancel the stall timer."""

        def keep_or_close(self, keep_alive: bool) -> None:
            """Keep the connection for the next attempt, or close it if that can't be."""

        def reject_answer(self, reason: str) -> None:
            """Fail the attempt: what came is no answer."""

        def abort(self, code: str) -> None:
            """End the connection at once."""


# Without another byte, after which a forwarded answer counts as malformed. That is long: it can't be had
# elsewhere any more, and its caller waits for the rest.
STREAM_STALL_SECONDS = 10.0
# An answer is forwarded before it is complete once it has taken so long and is large, or of unknown length:
# its first bytes are what its caller waits for.
STREAM_AFTER_SECONDS = 0.3
STREAM_UNKNOWN_LENGTH_AFTER_SECONDS = 0.5
# Once its caller's time is over, such an answer must have brought so many bytes a second, unless its caller
# is behind; and how often that is checked. One without end would be forwarded for ever.
MIN_ANSWER_BYTES_PER_SECOND = 32 * 1024
STREAM_CHECK_SECONDS = 0.1


def stream_due_at(message: Message, head_read_at: float) -> float:
    """Return the instant from which an answer that is not complete is forwarded; `inf`: it is awaited."""
    if message.content_length is None:
        return head_read_at + STREAM_UNKNOWN_LENGTH_AFTER_SECONDS
    if message.content_length > BUFFERED_BODY_BYTES:
        return head_read_at + STREAM_AFTER_SECONDS
    return inf


class ResponseForwarder:
    """An answer that its connection forwards as it comes.

    Attributes
    ----------
    body : Body
        The body of the answer, in transit to the caller.
    keep_alive : bool
        Whether the connection may be kept after it.
    head_read_at : float
        The instant at which its head was read.
    """

    def __init__(
        self, connection: ForwardingConnection, body: Body, keep_alive: bool, head_read_at: float
    ) -> None:
        self.connection = connection
        self.body = body
        self.keep_alive = keep_alive
        self.head_read_at = head_read_at

    def start(self, data: bytes, caller_deadline: float) -> None:
        """Begin with what has come by now."""
        self.connection.pool.clock.at(caller_deadline, self.check)
        self.body.on_space = self.resume
        self.body.on_cancel = self.abort
        self.body.put(data)
        self.connection.start_stall_timer(STREAM_STALL_SECONDS)

    def forward(self) -> None:
        """Pass on what has come. Raises MalformedMessageError."""
        data, is_complete = self.connection.parser.read_body()
        if is_complete:
            self.detach()
            self.connection.keep_or_close(self.keep_alive)
        else:
            self.connection.start_stall_timer(STREAM_STALL_SECONDS)
        self.body.put(data, is_complete)
        self.pause_if_full()

    def check(self, end_offset: int = -1) -> None:
        """Check, once the caller's time is over, that the endpoint goes on with its answer.

        If the caller has all that came, and no more has since the last check, the endpoint's end is missing.
        """
        if self.connection.stream is not self:
            return
        body, pool = self.body, self.connection.pool
        delay = STREAM_CHECK_SECONDS
        expected = MIN_ANSWER_BYTES_PER_SECOND * (pool.clock.now() - self.head_read_at)
        if body.taken_offset == body.end_offset < expected:
            if body.end_offset == end_offset:
                self.connection.reject_answer("answer not whole in time")
                return
            delay = 0.0
        call_after_read(pool.reactor, self.check, body.end_offset, delay=delay)

    def pause_if_full(self) -> None:
        """Stop reading while the caller is slower: what waits here is not the endpoint's silence."""
        if self.connection.stream is self and self.body.is_full:
            self.connection.stop_stall_timer()
            self.connection.transport.pauseProducing()

    def resume(self) -> None:
        """Read on: the caller has taken enough."""
        if self.connection.is_connected and not self.connection.close_code:
            self.connection.start_stall_timer(STREAM_STALL_SECONDS)
            self.connection.transport.resumeProducing()

    def detach(self) -> None:
        """Leave the body to its reader: the connection has no more to do with it."""
        self.connection.stream = None
        self.body.on_space = self.body.on_cancel = no_listener

    def abort(self) -> None:
        """End the connection: nobody takes the answer any more."""
        self.detach()
        self.connection.stop_stall_timer()
        self.connection.abort("caller-gone")
