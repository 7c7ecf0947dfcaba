"""One connection to an endpoint, which carries one attempt at a time over HTTP/1.1."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from wheatring.balancer.interface import Outcome
from wheatring.common import log
from wheatring.common.body import Body, no_listener
from wheatring.common.exceptions import MalformedMessageError
from wheatring.common.http_parser import BUFFERED_BODY_BYTES, MAX_BODY_BYTES, ForwardedRequest, Message
from wheatring.daemon.core.clock import Timer
from wheatring.daemon.core.exchange import Attempt
from wheatring.daemon.http1.connection import Connection
from wheatring.daemon.http1.request_sender import RequestSender
from wheatring.daemon.http1.response_forwarder import ResponseForwarder, stream_due_at

if TYPE_CHECKING:
    from typing import Any, Protocol

    from wheatring.common.body import BodyMemory
    from wheatring.daemon.core.clock import Clock
    from wheatring.daemon.core.exchange import Exchange

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
    stream : ResponseForwarder | None
        The answer that is being forwarded.
    request_sender : RequestSender | None
        Writes the present or the last request; None before the first.
    head_read_at : float
        The instant at which the head of an answer was read that is not complete; 0: there is none.
    is_premature : bool
        The present answer began before its request can have arrived.
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
        self.stream: ResponseForwarder | None = None
        self.request_sender: RequestSender | None = None
        self.head_read_at = 0.0
        self.is_premature = False
        self.idle_since = 0.0
        self.is_reused = False

    # The request

    def send(self, attempt: Attempt) -> None:
        """Write an attempt's request."""
        self.attempt = attempt
        attempt.cancel = self.cancel_attempt
        request = attempt.request.content
        assert isinstance(request, ForwardedRequest)
        time_left_ms = max(1, int((attempt.deadline - self.pool.clock.now()) * 1000))
        self.request_sender = RequestSender(self.transport, self.mark_written, self.abort_upload)
        self.request_sender.start(request, time_left_ms)

    def mark_written(self) -> None:
        """Count the attempt as one that may have run, unless the connection is seen to end with bytes unsent.

        From here on Twisted hands bytes to the system without a word to this side.
        """
        if self.attempt is not None:
            self.attempt.is_written = True

    def abort_upload(self) -> None:
        """End the connection: the rest of the request will never come, and nobody waits for this attempt."""
        self.abort("request-not-whole")

    def stop_sending(self) -> None:
        """Write no more of a large request."""
        if self.request_sender is not None:
            self.request_sender.stop()

    @property
    def is_flushed(self) -> bool:
        """Whether the last byte of the present request has left."""
        return self.request_sender is not None and self.request_sender.is_flushed

    @property
    def is_unsent(self) -> bool:
        """Whether no byte of the present request has left."""
        has_started = self.request_sender is not None and self.request_sender.has_started
        return self.attempt is not None and not has_started

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
                self.stream.forward()
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
        is_due = now >= stream_due_at(message, self.head_read_at)
        return self.parser.open_message() if is_due else None

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
        head_read_at, self.head_read_at = self.head_read_at or self.pool.clock.now(), 0.0
        body = message.stream = Body(self.pool.body_memory, message.content_length)
        stream = self.stream = ResponseForwarder(self, body, message.keep_alive, head_read_at)
        stream.start(message.body, attempt.request.deadline)
        self.pool.exchange.end_attempt(attempt, SERVED, message)
        if body.on_data == no_listener:
            body.cancel()  # its caller has gone
        else:
            stream.pause_if_full()

    def detach_stream(self) -> Body | None:
        """Return the body of the answer that was being forwarded, and leave it to its reader."""
        stream = self.stream
        if stream is None:
            return None
        stream.detach()
        return stream.body

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
        self.request_sender = None  # it refers to this connection: the cycle would wait for the collector
