"""A connection to an endpoint, which carries one attempt at a time over HTTP/1.1."""

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
        """The part of the connection pool that a connection uses."""

        reactor: Any
        clock: Clock
        exchange: Exchange
        body_memory: BodyMemory

        @property
        def has_undelivered_bytes(self) -> Any:
            """The function that returns whether a transport's output is still unacknowledged by the peer."""

        def is_usable(self, address: EndpointAddress) -> bool:
            """Return whether new requests may be sent to an address."""

        def keep_idle(self, connection: Any) -> None:
            """Return a clean connection to the pool."""

        def remove(self, connection: Any) -> None:
            """Remove a closed connection."""

        def note_unsolicited_data(self, connection: Any) -> None:
            """Record data that was received without a request."""

        def note_duplicate_response(self) -> None:
            """Record a second response to the same request."""


SERVED = Outcome.SERVED  # bound once, since enum member access is slow
RESPONSE_STALL_SECONDS = 0.6  # longest gap within a response; after a longer one it counts as malformed


def is_rejection(message: Message) -> bool:
    """Return whether the endpoint states that it has not processed the request."""
    return message.start_line[0] in (b"503", b"504") and message.fields.get(b"x-unprocessed") == b"1"


class EndpointAddress(NamedTuple):
    """An endpoint and its HOST:PORT.

    Connections are pooled by both: another endpoint may reuse the address, and must not get old connections.
    """

    endpoint: str
    address: str


class EndpointConnection(Connection):
    """A connection to an endpoint, which is reused only if no data of the last exchange is left on it.

    A response that exceeds the buffer limit is forwarded as a stream while it is being received.

    Attributes
    ----------
    attempt : Attempt | None
        The current attempt, until its response.
    stream : ResponseForwarder | None
        The response that is being forwarded.
    request_sender : RequestSender | None
        Sends the current or the last request; None before the first.
    head_read_at : float
        Time at which the head of the current, incomplete response was read; 0 if there is none.
    is_premature : bool
        The current response began before its request can have reached the endpoint.
    is_reused : bool
        The connection has been idle in the pool, so data received on it may be a late response.
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
        """Send the request of an attempt."""
        self.attempt = attempt
        attempt.cancel = self.cancel_attempt
        request = attempt.request.content
        assert isinstance(request, ForwardedRequest)
        time_left_ms = max(1, int((attempt.deadline - self.pool.clock.now()) * 1000))
        self.request_sender = RequestSender(self.transport, self.mark_written, self.abort_upload)
        self.request_sender.start(request, time_left_ms)

    def mark_written(self) -> None:
        """Mark the attempt as possibly executed, unless the connection is later closed with unsent data.

        From here on, Twisted passes the data to the kernel without further notification.
        """
        if self.attempt is not None:
            self.attempt.is_written = True

    def abort_upload(self) -> None:
        """Reset the connection: the request is truncated, and the attempt is no longer needed."""
        self.abort("request-not-whole")

    def stop_sending(self) -> None:
        """Stop sending a large request."""
        if self.request_sender is not None:
            self.request_sender.stop()

    @property
    def is_flushed(self) -> bool:
        """Whether the last byte of the current request was passed to the kernel."""
        return self.request_sender is not None and self.request_sender.is_flushed

    @property
    def is_unsent(self) -> bool:
        """Whether no byte of the current request was passed to the kernel."""
        has_started = self.request_sender is not None and self.request_sender.has_started
        return self.attempt is not None and not has_started

    def cancel_attempt(self) -> None:
        """Cancel the attempt. HTTP/1.1 has no other way to cancel a request than to close the connection."""
        self.attempt = None
        self.stop_sending()
        self.abort("attempt-abandoned")

    # The response

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parse received data as part of the response."""
        if (self.attempt is None and self.stream is None) or (self.is_reused and self.is_unsent):
            # Unsolicited data would be mistaken for the response to the next request.
            self.abort("unasked-data")
            self.pool.note_unsolicited_data(self)
            self.move_attempt()
            return
        if not self.parser.has_partial_message:
            # On a new connection there is no earlier request that the data could be a response to.
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
            message = self._next_response()
        except MalformedMessageError as error:
            self.reject_response(str(error))
            return
        if message is None:
            # The stated length may be wrong, and the missing rest must not be awaited until the deadline.
            if self.parser.has_partial_message:
                self.start_stall_timer(RESPONSE_STALL_SECONDS)
        else:
            self._handle_response(message)

    def _next_response(self) -> Message | None:
        """Return the final response once it is complete or due to be forwarded; None before that."""
        message = self.parser.next_message()
        while message is not None and message.start_line[0][:1] == b"1":
            message = self.parser.next_message()
        if message is None and self.parser.message is not None:
            message = self.open_if_due(self.parser.message)
        return message

    def _handle_response(self, message: Message) -> None:
        if self.is_premature and (self.is_flushed or not is_rejection(message)):
            # Endpoints process a request only once it is complete, so this is a response to the previous one.
            self.pool.note_unsolicited_data(self)
            self.reject_response("response received before the request was sent")
        elif message.is_open:
            self.start_stream(message)
        else:
            self.complete_attempt(message)

    def open_if_due(self, message: Message) -> Message | None:
        """Return the incomplete response if it is due to be forwarded."""
        now = self.pool.clock.now()
        if not self.head_read_at:
            self.head_read_at = now
        is_due = now >= stream_due_at(message, self.head_read_at)
        return self.parser.open_message() if is_due else None

    def start_stall_timer(self, seconds: float) -> None:
        """Reject the response if no data arrives for `seconds`."""
        expires_at = self.pool.clock.now() + seconds
        self.stall_timer = self.pool.clock.at(expires_at, self.reject_response, "answer not whole")

    def stop_stall_timer(self) -> None:
        """Cancel the stall timer."""
        if self.stall_timer is not None and self.stall_timer.active():
            self.stall_timer.cancel()

    def reject_response(self, reason: str) -> None:
        """Fail the attempt and reset the connection, as no further data on it can be trusted."""
        self.close_reason = reason
        self.abort("bad-answer")
        self.fail_attempt()

    def move_attempt(self) -> None:
        """Move the attempt to another connection: no byte of its request was sent on this one.

        The attempt fails if the endpoint no longer accepts new requests.
        """
        attempt, self.attempt = self.attempt, None
        self.stop_sending()
        if attempt is not None and attempt.may_be_sent and not self.pool.is_usable(self.address):
            self.pool.exchange.end_attempt(attempt, Outcome.CONNECT_FAILED)
        elif attempt is not None:
            self.pool.exchange.reassign_unsent(attempt)

    def fail_attempt(self) -> None:
        """Fail the attempt. The request was not executed if its last byte was not sent."""
        self.stop_sending()
        attempt, self.attempt = self.attempt, None
        if (stream := self.detach_stream()) is not None:
            stream.mark_broken()
        if attempt is not None:
            outcome = Outcome.RESET if self.is_flushed else Outcome.CONNECT_FAILED
            self.pool.exchange.end_attempt(attempt, outcome)

    # Large responses

    def start_stream(self, message: Message) -> None:
        """Start to forward the response, which ends the attempt even if the body turns out incomplete."""
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
            body.cancel()  # the caller has disconnected
        else:
            stream.pause_if_full()

    def detach_stream(self) -> Body | None:
        """Detach and return the body that is being forwarded; the reader keeps the data received so far."""
        stream = self.stream
        if stream is None:
            return None
        stream.detach()
        return stream.body

    # Completion

    def complete_attempt(self, message: Message) -> None:
        """Complete the attempt with its response, and reuse the connection if possible."""
        attempt, self.attempt, self.head_read_at = self.attempt, None, 0.0
        try:
            self.keep_or_close(message.keep_alive)
        except Exception as error:  # the attempt is completed even if reuse of the connection fails
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
        """Return the connection to the pool, or close it if it can't be reused."""
        if not self.is_flushed or self.parser.has_partial_message:
            # A partial request or response is left on the connection, and would corrupt the next exchange.
            if self.parser.has_partial_message:
                self.pool.note_duplicate_response()
            self.stop_sending()
            self.abort("not-clean")
        elif not keep_alive:
            self.close("endpoint-asked")
        else:
            self.pool.keep_idle(self)

    def on_ended(self, is_orderly: bool) -> None:
        """Complete, move or fail the attempt that the connection carried."""
        try:
            self.pool.remove(self)
        except Exception as error:  # the attempt is settled in any case
            log.line("connection-broken", why=repr(error))
        self.stop_stall_timer()
        message = self.parser.end_of_input() if is_orderly and not self.close_code else None
        if self.is_reused and self.is_unsent and not self.close_code:
            self.move_attempt()  # the endpoint closed the idle connection before the request was written
        elif message is None:
            self.fail_attempt()
        elif (stream := self.detach_stream()) is not None:
            stream.put(b"", True)
        else:
            self.complete_attempt(message)
        self.request_sender = None  # breaks a reference cycle, so that no garbage collection is needed
