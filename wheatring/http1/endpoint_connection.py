"""One connection to an execute node: carries one claim at a time over HTTP/1.1."""

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
from wheatring.http1.parser import (
    BUFFERED_BODY_BYTES,
    MAX_BODY_BYTES,
    ForwardedRequest,
    MalformedMessage,
    Message,
)

if TYPE_CHECKING:
    from wheatring.http1.connection_pool import ConnectionPool

SERVED = Outcome.SERVED  # looked up once: an enum takes its time
ANSWER_STALL_SECONDS = (
    0.6  # seconds without another byte after which an answer that has begun counts as spoilt
)
# The same once it is passed on. It can't be had elsewhere any more, and what is still to come is owed.
STREAM_STALL_SECONDS = 10.0
# Seconds after which an answer is passed on though less has come than is held of one: it is large, or its
# length is told nowhere. Its first bytes are what its caller waits for.
STREAM_AFTER_SECONDS = 0.3
STREAM_UNKNOWN_LENGTH_AFTER_SECONDS = 0.5
# Once its caller's time is over: bytes a second that such an answer must have brought, unless its caller is
# behind, and seconds between looks. One with no end would be owed for ever.
MIN_ANSWER_BYTES_PER_SECOND = 32 * 1024
STREAM_CHECK_SECONDS = 0.1


def is_rejection(message: Message) -> bool:
    return message.start_line[0] in (b"503", b"504") and message.fields.get(b"x-unprocessed") == b"1"


class EndpointAddress(NamedTuple):
    """A node and where it is. Another node may come to the same address, and must not get its connections."""

    endpoint: str
    address: str


class EndpointConnection(Connection):
    """It is kept for the next claim only while clean. An answer larger than what is held of one is passed on
    as it comes, as a body that somebody takes: `flow`, until its end.
    """

    log_event = "claim-connection"

    def __init__(self, pool: ConnectionPool, address: EndpointAddress) -> None:
        super().__init__(
            responses=True, max_body_bytes=MAX_BODY_BYTES, buffered_body_bytes=BUFFERED_BODY_BYTES
        )
        self.pool = pool
        self.address = address
        self.stall_timer: Timer | None = None
        self.attempt: Attempt | None = None
        self.stream: Body | None = None
        self.sender: BodySender | None = None  # of a large request
        self.keep_alive = False  # after `flow`
        self.head_read_at = 0.0  # when the head of the present answer was read
        self.is_premature = False  # it began before its request can have been there
        self.idle_since = 0.0
        self.unwritten = b""
        self.is_flushed = False
        self.is_reused = False  # it has stood idle: what comes on it may be late

    def send(self, claim: Attempt) -> None:
        """Write a claim's request. As a pull producer, this is told when its last byte has left."""
        self.attempt = claim
        claim.cancel = self.cancel_attempt
        request = claim.request.content
        assert isinstance(request, ForwardedRequest)
        left = max(1, int((claim.deadline - self.pool.clock.now()) * 1000))
        head = b"%sX-Time-Left-Ms: %d\r\n\r\n" % (request.head, left)
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

    def resumeProducing(self) -> None:
        if self.unwritten:
            data, self.unwritten = self.unwritten, b""
            self.mark_written()
            self.transport.write(data)
        else:
            self.transport.unregisterProducer()
            self.mark_flushed()

    def mark_written(self) -> None:
        # Twisted writes behind our back from here on, so the claim counts as one that may have run unless the
        # connection is seen to end with bytes unsent.
        if self.attempt is not None:
            self.attempt.is_written = True

    def mark_flushed(self) -> None:
        self.is_flushed = True
        self.sender = None

    def abort_upload(self) -> None:
        """The rest of the request will never come, so its job is over and nobody waits for this claim."""
        self.abort("request-not-whole")

    def stopProducing(self) -> None:
        """The connection has ended first; `ended` sees to the claim."""

    def stop_sending(self) -> None:
        if self.sender is not None:
            self.sender.stopProducing()
            self.sender = None

    @property
    def is_unsent(self) -> bool:
        """No byte of the request has left."""
        begun = (
            self.is_flushed or self.transport.dataBuffer or (self.sender is not None and self.sender.has_sent)
        )
        return self.attempt is not None and not begun

    def cancel_attempt(self) -> None:
        """Stop working on the claim: to an execute node, abandoning is closing."""
        self.attempt = None
        self.stop_sending()
        self.abort("claim-abandoned")

    def dataReceived(self, data: bytes) -> None:
        if (self.attempt is None and self.stream is None) or (self.is_reused and self.is_unsent):
            # An answer to nothing would be taken for the next claim's.
            self.abort("unasked-data")
            self.pool.note_unsolicited_data(self)
            self.move_attempt()
            return
        if not self.parser.has_partial_message:
            # A new connection has no request before this one, which may have begun to leave.
            late = self.is_reused and (not self.is_flushed or self.pool.has_undelivered_bytes(self.transport))
            self.is_premature = late or self.is_unsent
        self.parser.feed(data)
        self.stop_stall_timer()
        try:
            if self.stream is not None:
                self.forward_stream(self.stream)
                return
            message = self.parser.next_message()
            while message is not None and message.start_line[0][:1] == b"1":
                message = self.parser.next_message()
            if message is None and self.parser.message is not None:
                message = self.open_if_due(self.parser.message)
        except MalformedMessage as bad:
            self.reject_answer(str(bad))
            return
        if message is None:
            # Its length may be wrong: the rest that is missing then would be waited for until the deadline.
            if self.parser.has_partial_message:
                self.start_stall_timer(ANSWER_STALL_SECONDS)
        elif self.is_premature and (self.is_flushed or not is_rejection(message)):
            # A node starts on a request with its last byte, so this was an answer to the one before.
            self.pool.note_unsolicited_data(self)
            self.reject_answer("answer before its request")
        elif message.is_open:
            self.start_stream(message)
        else:
            self.complete_attempt(message)

    def open_if_due(self, message: Message) -> Message | None:
        """The answer that has begun, if it is to be passed on already."""
        now = self.pool.clock.now()
        if not self.head_read_at:
            self.head_read_at = now
        if message.content_length is None:
            due = self.head_read_at + STREAM_UNKNOWN_LENGTH_AFTER_SECONDS
        else:
            due = (
                self.head_read_at + STREAM_AFTER_SECONDS
                if message.content_length > BUFFERED_BODY_BYTES
                else inf
            )
        return self.parser.open_message() if now >= due else None

    def start_stall_timer(self, seconds: float) -> None:
        self.stall_timer = self.pool.clock.at(
            self.pool.clock.now() + seconds, self.reject_answer, "answer not whole"
        )

    def stop_stall_timer(self) -> None:
        if self.stall_timer is not None and self.stall_timer.active():
            self.stall_timer.cancel()

    def reject_answer(self, why: str) -> None:
        """What came is no answer: the claim has failed, and nothing more on the connection can be trusted."""
        self.close_reason = why
        self.abort("bad-answer")
        self.fail_attempt()

    def move_attempt(self) -> None:
        """Nothing of the request has left, so it is still this attempt that another connection carries; to an
        endpoint that was told away since the choice, none does.
        """
        claim, self.attempt = self.attempt, None
        self.stop_sending()
        if claim is not None and claim.may_be_sent and not self.pool.is_usable(self.address):
            self.pool.exchange.end_attempt(claim, Outcome.CONNECT_FAILED)
        elif claim is not None:
            self.pool.exchange.reassign_unsent(claim)

    def fail_attempt(self) -> None:
        """Before its last byte left, the claim can't have run."""
        self.stop_sending()
        claim, self.attempt = self.attempt, None
        if (flow := self.detach_stream()) is not None:
            flow.mark_broken()
        if claim is not None:
            self.pool.exchange.end_attempt(
                claim, Outcome.RESET if self.is_flushed else Outcome.CONNECT_FAILED
            )

    # Large answers

    def start_stream(self, message: Message) -> None:
        """Pass the answer on from here: for its job this is the end, whatever becomes of the rest."""
        claim, self.attempt = self.attempt, None
        assert claim is not None
        if message.start_line[0] != b"200":
            self.abort("large-error")
            self.pool.exchange.end_attempt(claim, Outcome.ERROR)
            return
        self.keep_alive = message.keep_alive
        self.head_read_at = self.head_read_at or self.pool.clock.now()
        flow = self.stream = message.stream = Body(self.pool.body_memory, message.content_length)
        self.pool.clock.at(claim.request.deadline, self.check_stream, flow)
        flow.on_space = self.resume_stream
        flow.on_cancel = self.abort_stream
        flow.put(message.body)
        self.start_stall_timer(STREAM_STALL_SECONDS)
        self.pool.exchange.end_attempt(claim, SERVED, message)
        if flow.on_data == no_listener:
            flow.cancel()  # its caller has gone
        else:
            self.pause_if_full(flow)

    def forward_stream(self, flow: Body) -> None:
        data, whole = self.parser.read_body()
        if whole:
            self.detach_stream()
            self.keep_or_close(self.keep_alive)
        else:
            self.start_stall_timer(STREAM_STALL_SECONDS)
        flow.put(data, whole)
        self.pause_if_full(flow)

    def check_stream(self, flow: Body, came: int = -1) -> None:
        """The caller's time is over. If it has all that came, and no more has, it is the node's end that is
        missing.
        """
        if self.stream is not flow:
            return
        now, later = self.pool.clock.now(), STREAM_CHECK_SECONDS
        if flow.taken_offset == flow.end_offset < MIN_ANSWER_BYTES_PER_SECOND * (now - self.head_read_at):
            if flow.end_offset == came:
                self.reject_answer("answer not whole in time")
                return
            later = 0.0
        call_after_read(self.pool.reactor, self.check_stream, flow, flow.end_offset, delay=later)

    def detach_stream(self) -> Body | None:
        """This side has no more to do with it."""
        flow, self.stream, self.head_read_at = self.stream, None, 0.0
        if flow is not None:
            flow.on_space = flow.on_cancel = no_listener
        return flow

    def pause_if_full(self, flow: Body) -> None:
        """Its caller is slower than the node: what waits here is not the node's silence."""
        if self.stream is flow and flow.is_full:
            self.stop_stall_timer()
            self.transport.pauseProducing()

    def resume_stream(self) -> None:
        if self.is_connected and not self.close_code:
            self.start_stall_timer(STREAM_STALL_SECONDS)
            self.transport.resumeProducing()

    def abort_stream(self) -> None:
        self.detach_stream()
        self.stop_stall_timer()
        self.abort("caller-gone")

    # Ends

    def complete_attempt(self, message: Message) -> None:
        claim, self.attempt, self.head_read_at = self.attempt, None, 0.0
        try:
            self.keep_or_close(message.keep_alive)
        except Exception as bug:  # whatever becomes of the connection, the claim has its answer
            log.line("connection-broken", why=repr(bug))
            self.abort("internal-error")
        if claim is not None:
            if message.start_line[0] == b"200":
                self.pool.exchange.end_attempt(claim, SERVED, message)
            elif is_rejection(message):
                self.pool.exchange.end_attempt(claim, Outcome.REJECTED)
            else:
                self.pool.exchange.end_attempt(claim, Outcome.ERROR)

    def keep_or_close(self, keep_alive: bool) -> None:
        if not self.is_flushed or self.parser.has_partial_message:
            # Half a request or a part of some answer is left on it: the next claim would get the wrong one.
            if self.parser.has_partial_message:
                self.pool.note_duplicate_answer()
            self.stop_sending()
            self.abort("not-clean")
        elif not keep_alive:
            self.close("node-asked")
        else:
            self.pool.keep_idle(self)

    def on_ended(self, orderly: bool) -> None:
        try:
            self.pool.remove(self)
        except Exception as bug:  # what it carried is settled all the same
            log.line("connection-broken", why=repr(bug))
        self.stop_stall_timer()
        message = self.parser.end_of_input() if orderly and not self.close_code else None
        if self.is_reused and self.is_unsent and not self.close_code:
            self.move_attempt()  # the node closed it as this was about to write on it
        elif message is None:
            self.fail_attempt()
        elif (flow := self.detach_stream()) is not None:
            flow.put(b"", True)
        else:
            self.complete_attempt(message)
