"""One connection to an endpoint, which carries one attempt at a time over HTTP/1.1."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, NamedTuple

from wheatring import log
from wheatring.balancer.interface import Outcome
from wheatring.core.body import Body, no_listener
from wheatring.core.clock import Timer
from wheatring.core.exchange import Attempt
from wheatring.http1.body_sender import BodySender
from wheatring.http1.connection import Connection, call_after_read
from wheatring.http1.exceptions import MalformedMessageError
from wheatring.http1.parser import BUFFERED_BODY_BYTES, MAX_BODY_BYTES, ForwardedRequest, Message

if TYPE_CHECKING:
    from typing import Any, Protocol

    from wheatring.core.body import BodyMemory
    from wheatring.core.clock import Clock
    from wheatring.core.exchange import Exchange

    class ConnectionOwner(Protocol):
        """The connection pool, as far as a connection uses it."""

        reactor: Any
        clock: Clock
        exchange: Exchange
        body_memory: BodyMemory

        @property
        def has_undelivered_bytes(self) -> Any:
            """Return whether a part of what was written to a transport has not reached the peer's system."""

        def is_usable(self, address: EndpointAddress) -> bool:
            """Return whether something new may be sent there."""

        def keep_idle(self, connection: Any) -> None:
            """Keep a clean connection for the next attempt."""

        def remove(self, connection: Any) -> None:
            """Forget a connection that has ended."""

        def note_unsolicited_data(self, connection: Any) -> None:
            """Note data that answers no request."""

        def note_duplicate_answer(self) -> None:
            """Note a second answer to one request."""


SERVED = Outcome.SERVED  # looked up once: the lookup of an enum's member is slow
ANSWER_STALL_SECONDS = 0.6  # without another byte, after which an answer that has begun counts as malformed
# The same once it is forwarded: it can't be had elsewhere any more, and what is still to come is owed.
STREAM_STALL_SECONDS = 10.0
# An answer is forwarded before it is complete once it has taken so long and is large, or of unknown length:
# its first bytes are what its caller waits for.
STREAM_AFTER_SECONDS = 0.3
STREAM_UNKNOWN_LENGTH_AFTER_SECONDS = 0.5
# Once its caller's time is over, such an answer must have brought so many bytes a second, unless its caller
# is behind; and how often that is checked. One without end would be owed for ever.
MIN_ANSWER_BYTES_PER_SECOND = 32 * 1024
STREAM_CHECK_SECONDS = 0.1


def is_rejection(message: Message) -> bool:
    """Return whether the endpoint states that it has not worked on the request."""
    return message.start_line[0] in (b"503", b"504") and message.fields.get(b"x-unprocessed") == b"1"


class EndpointAddress(NamedTuple):
    """An endpoint and its HOST:PORT.

    Another endpoint may come to the same address, and must not get the connections of this one.
    """

    endpoint: str
    address: str


class EndpointConnection(Connection):
    """A connection to an endpoint. It is kept for the next attempt only while clean.

    An answer larger than what is buffered is forwarded as it comes, as a body in transit.

    Attributes
    ----------
    attempt : Attempt | None
        The attempt that it carries, until its answer.
    stream : Body | None
        The body of the answer that is being forwarded.
    sender : BodySender | None
        Writes the body of a large request.
    keep_alive : bool
        Whether the connection may be kept after `stream`.
    head_read_at : float
        The instant at which the head of the present answer was read; 0: it has not been.
    is_premature : bool
        The present answer began before its request can have arrived.
    is_flushed : bool
        The last byte of the present request has left.
    is_reused : bool
        The connection has been idle: what comes on it may answer the request before.
    """

    log_event = "endpoint-connection"

    def __init__(self, pool: ConnectionOwner, address: EndpointAddress) -> None:
        super().__init__(
            responses=True, max_body_bytes=MAX_BODY_BYTES, buffered_body_bytes=BUFFERED_BODY_BYTES
        )
        self.pool = pool
        self.address = address
        self.stall_timer: Timer | None = None
        self.attempt: Attempt | None = None
        self.stream: Body | None = None
        self.sender: BodySender | None = None
        self.keep_alive = False
        self.head_read_at = 0.0
        self.is_premature = False
        self.idle_since = 0.0
        self.unwritten = b""
        self.is_flushed = False
        self.is_reused = False

    # The request

    def send(self, attempt: Attempt) -> None:
        """Write an attempt's request. As a pull producer, this is told when the last byte has left."""
        self.attempt = attempt
        attempt.cancel = self.cancel_attempt
        request = attempt.request.content
        assert isinstance(request, ForwardedRequest)
        left_ms = max(1, int((attempt.deadline - self.pool.clock.now()) * 1000))
        head = b"%sX-Time-Left-Ms: %d\r\n\r\n" % (request.head, left_ms)
        self.is_flushed = False
        if request.stream is None:
            self.unwritten = head + request.body
            self.transport.registerProducer(self, False)
            return
        self.transport.write(head)
        self.sender = BodySender(
            self.transport,
            request.stream,
            request.is_chunked,
            self.mark_flushed,
            self.abort_upload,
            self.mark_written,
        )

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Write the request, or take note that it is out."""
        if self.unwritten:
            data, self.unwritten = self.unwritten, b""
            self.mark_written()
            self.transport.write(data)
        else:
            self.transport.unregisterProducer()
            self.mark_flushed()

    def mark_written(self) -> None:
        """Count the attempt as one that may have run, unless the connection is seen to end with bytes unsent.

        From here on Twisted hands bytes to the system without a word to this side.
        """
        if self.attempt is not None:
            self.attempt.is_written = True

    def mark_flushed(self) -> None:
        """Note that the last byte of the request has left."""
        self.is_flushed = True
        self.sender = None

    def abort_upload(self) -> None:
        """End the connection: the rest of the request will never come, and nobody waits for this attempt."""
        self.abort("request-not-whole")

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Leave the attempt to `on_ended`: the connection has ended first."""

    def stop_sending(self) -> None:
        """Write no more of a large request."""
        if self.sender is not None:
            self.sender.stopProducing()
            self.sender = None

    @property
    def is_unsent(self) -> bool:
        """Whether no byte of the present request has left."""
        has_sent = self.sender is not None and self.sender.has_sent
        has_begun = self.is_flushed or self.transport.dataBuffer or has_sent
        return self.attempt is not None and not has_begun

    def cancel_attempt(self) -> None:
        """Stop working on the attempt: to an endpoint, cancelling is closing."""
        self.attempt = None
        self.stop_sending()
        self.abort("attempt-abandoned")

    # The answer

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Read on in the answer."""
        if (self.attempt is None and self.stream is None) or (self.is_reused and self.is_unsent):
            # An answer to no request would be taken for the next one's.
            self.abort("unasked-data")
            self.pool.note_unsolicited_data(self)
            self.move_attempt()
            return
        if not self.parser.has_partial_message:
            # A new connection has no request before this one, which may have begun to leave.
            is_late = self.is_reused and (
                not self.is_flushed or self.pool.has_undelivered_bytes(self.transport)
            )
            self.is_premature = is_late or self.is_unsent
        self.parser.feed(data)
        self.stop_stall_timer()
        try:
            if self.stream is not None:
                self.forward_stream(self.stream)
                return
            message = self._next_answer()
        except MalformedMessageError as error:
            self.reject_answer(str(error))
            return
        if message is None:
            # Its length may be wrong: the missing rest would be waited for until the deadline.
            if self.parser.has_partial_message:
                self.start_stall_timer(ANSWER_STALL_SECONDS)
        else:
            self._take_answer(message)

    def _next_answer(self) -> Message | None:
        """Return the final answer, complete or due to be forwarded; None while it is neither."""
        message = self.parser.next_message()
        while message is not None and message.start_line[0][:1] == b"1":
            message = self.parser.next_message()
        if message is None and self.parser.message is not None:
            message = self.open_if_due(self.parser.message)
        return message

    def _take_answer(self, message: Message) -> None:
        if self.is_premature and (self.is_flushed or not is_rejection(message)):
            # An endpoint starts on a request with its last byte, so this answers the request before.
            self.pool.note_unsolicited_data(self)
            self.reject_answer("answer before its request")
        elif message.is_open:
            self.start_stream(message)
        else:
            self.complete_attempt(message)

    def open_if_due(self, message: Message) -> Message | None:
        """Return the answer that has begun, if it is to be forwarded already."""
        now = self.pool.clock.now()
        if not self.head_read_at:
            self.head_read_at = now
        if message.content_length is None:
            due = self.head_read_at + STREAM_UNKNOWN_LENGTH_AFTER_SECONDS
        elif message.content_length > BUFFERED_BODY_BYTES:
            due = self.head_read_at + STREAM_AFTER_SECONDS
        else:
            due = inf
        return self.parser.open_message() if now >= due else None

    def start_stall_timer(self, seconds: float) -> None:
        """Reject the answer if nothing more comes for so long."""
        instant = self.pool.clock.now() + seconds
        self.stall_timer = self.pool.clock.at(instant, self.reject_answer, "answer not whole")

    def stop_stall_timer(self) -> None:
        """Cancel the stall timer."""
        if self.stall_timer is not None and self.stall_timer.active():
            self.stall_timer.cancel()

    def reject_answer(self, reason: str) -> None:
        """Fail the attempt: what came is no answer, and nothing more on the connection can be trusted."""
        self.close_reason = reason
        self.abort("bad-answer")
        self.fail_attempt()

    def move_attempt(self) -> None:
        """Have another connection carry the attempt: nothing of its request has left on this one.

        None does if the endpoint takes nothing new any more.
        """
        attempt, self.attempt = self.attempt, None
        self.stop_sending()
        if attempt is not None and attempt.may_be_sent and not self.pool.is_usable(self.address):
            self.pool.exchange.end_attempt(attempt, Outcome.CONNECT_FAILED)
        elif attempt is not None:
            self.pool.exchange.reassign_unsent(attempt)

    def fail_attempt(self) -> None:
        """End the attempt without an answer. Before its last byte left it can't have run."""
        self.stop_sending()
        attempt, self.attempt = self.attempt, None
        if (stream := self.detach_stream()) is not None:
            stream.mark_broken()
        if attempt is not None:
            outcome = Outcome.RESET if self.is_flushed else Outcome.CONNECT_FAILED
            self.pool.exchange.end_attempt(attempt, outcome)

    # Large answers

    def start_stream(self, message: Message) -> None:
        """Forward the answer from here on: it ends the attempt, whatever becomes of the rest."""
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        if message.start_line[0] != b"200":
            self.abort("large-error")
            self.pool.exchange.end_attempt(attempt, Outcome.ERROR)
            return
        self.keep_alive = message.keep_alive
        self.head_read_at = self.head_read_at or self.pool.clock.now()
        stream = self.stream = message.stream = Body(self.pool.body_memory, message.content_length)
        self.pool.clock.at(attempt.request.deadline, self.check_stream, stream)
        stream.on_space = self.resume_stream
        stream.on_cancel = self.abort_stream
        stream.put(message.body)
        self.start_stall_timer(STREAM_STALL_SECONDS)
        self.pool.exchange.end_attempt(attempt, SERVED, message)
        if stream.on_data == no_listener:
            stream.cancel()  # its caller has gone
        else:
            self.pause_if_full(stream)

    def forward_stream(self, stream: Body) -> None:
        """Pass on what has come of the answer."""
        data, is_complete = self.parser.read_body()
        if is_complete:
            self.detach_stream()
            self.keep_or_close(self.keep_alive)
        else:
            self.start_stall_timer(STREAM_STALL_SECONDS)
        stream.put(data, is_complete)
        self.pause_if_full(stream)

    def check_stream(self, stream: Body, end_offset: int = -1) -> None:
        """Check, once the caller's time is over, that the endpoint goes on with its answer.

        If the caller has all that came, and no more has since the last check, the endpoint's end is missing.
        """
        if self.stream is not stream:
            return
        now, delay = self.pool.clock.now(), STREAM_CHECK_SECONDS
        expected = MIN_ANSWER_BYTES_PER_SECOND * (now - self.head_read_at)
        if stream.taken_offset == stream.end_offset < expected:
            if stream.end_offset == end_offset:
                self.reject_answer("answer not whole in time")
                return
            delay = 0.0
        call_after_read(self.pool.reactor, self.check_stream, stream, stream.end_offset, delay=delay)

    def detach_stream(self) -> Body | None:
        """Return the answer that was being forwarded: this side has no more to do with it."""
        stream, self.stream, self.head_read_at = self.stream, None, 0.0
        if stream is not None:
            stream.on_space = stream.on_cancel = no_listener
        return stream

    def pause_if_full(self, stream: Body) -> None:
        """Stop reading while the caller is slower: what waits here is not the endpoint's silence."""
        if self.stream is stream and stream.is_full:
            self.stop_stall_timer()
            self.transport.pauseProducing()

    def resume_stream(self) -> None:
        """Read on: the caller has taken enough."""
        if self.is_connected and not self.close_code:
            self.start_stall_timer(STREAM_STALL_SECONDS)
            self.transport.resumeProducing()

    def abort_stream(self) -> None:
        """End the connection: nobody takes the answer any more."""
        self.detach_stream()
        self.stop_stall_timer()
        self.abort("caller-gone")

    # Ends

    def complete_attempt(self, message: Message) -> None:
        """End the attempt with its answer, and keep the connection if it is clean."""
        attempt, self.attempt, self.head_read_at = self.attempt, None, 0.0
        try:
            self.keep_or_close(message.keep_alive)
        except Exception as error:  # whatever becomes of the connection, the attempt has its answer
            log.line("connection-broken", why=repr(error))
            self.abort("internal-error")
        if attempt is not None:
            if message.start_line[0] == b"200":
                self.pool.exchange.end_attempt(attempt, SERVED, message)
            elif is_rejection(message):
                self.pool.exchange.end_attempt(attempt, Outcome.REJECTED)
            else:
                self.pool.exchange.end_attempt(attempt, Outcome.ERROR)

    def keep_or_close(self, keep_alive: bool) -> None:
        """Keep the connection for the next attempt, or close it if that can't be."""
        if not self.is_flushed or self.parser.has_partial_message:
            # Half a request or a part of some answer is left on it: the next attempt would get the wrong one.
            if self.parser.has_partial_message:
                self.pool.note_duplicate_answer()
            self.stop_sending()
            self.abort("not-clean")
        elif not keep_alive:
            self.close("endpoint-asked")
        else:
            self.pool.keep_idle(self)

    def on_ended(self, is_orderly: bool) -> None:
        """Settle what the connection carried."""
        try:
            self.pool.remove(self)
        except Exception as error:  # what it carried is settled all the same
            log.line("connection-broken", why=repr(error))
        self.stop_stall_timer()
        message = self.parser.end_of_input() if is_orderly and not self.close_code else None
        if self.is_reused and self.is_unsent and not self.close_code:
            self.move_attempt()  # the endpoint closed it as this side was about to write
        elif message is None:
            self.fail_attempt()
        elif (stream := self.detach_stream()) is not None:
            stream.put(b"", True)
        else:
            self.complete_attempt(message)
