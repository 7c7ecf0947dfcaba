"""One connection to an execute node: carries one claim at a time over HTTP/1.1."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, NamedTuple

from wheatring import log
from wheatring.balancer.interface import Outcome
from wheatring.core.body import Body, nothing
from wheatring.core.clock import Timer
from wheatring.core.exchange import Claim
from wheatring.http1.connection import Connection, after_a_look
from wheatring.http1.parser import HOLD, MAX_BODY, BadMessage, Message, Request
from wheatring.http1.sending import Sender

if TYPE_CHECKING:
    from wheatring.http1.client import Pool

SERVED = Outcome.SERVED  # looked up once: an enum takes its time
STALL = 0.6  # seconds without another byte after which an answer that has begun counts as spoilt
# The same once it is passed on. It can't be had elsewhere any more, and what is still to come is owed.
STALL_OPEN = 10.0
# Seconds after which an answer is passed on though less has come than is held of one: it is large, or its
# length is told nowhere. Its first bytes are what its caller waits for.
EARLY = 0.3
EARLY_UNTOLD = 0.5
# Once its caller's time is over: bytes a second that such an answer must have brought, unless its caller is
# behind, and seconds between looks. One with no end would be owed for ever.
SLOWEST = 32 * 1024
LOOK = 0.1


def turned_away(message: Message) -> bool:
    return message.first[0] in (b"503", b"504") and message.fields.get(b"x-unprocessed") == b"1"


class Place(NamedTuple):
    """A node and where it is. Another node may come to the same address, and must not get its connections."""

    node: str
    address: str


class ClaimConnection(Connection):
    """It is kept for the next claim only while clean. An answer larger than what is held of one is passed on
    as it comes, as a body that somebody takes: `flow`, until its end.
    """

    kind = "claim-connection"

    def __init__(self, pool: Pool, place: Place) -> None:
        super().__init__(responses=True, max_body=MAX_BODY, hold=HOLD)
        self.pool = pool
        self.place = place
        self.stalled: Timer | None = None
        self.claim: Claim | None = None
        self.flow: Body | None = None
        self.sender: Sender | None = None  # of a large request
        self.keep_alive = False  # after `flow`
        self.head_at = 0.0  # when the head of the present answer was read
        self.premature = False  # it began before its request can have been there
        self.idle_since = 0.0
        self.to_write = b""
        self.flushed = False
        self.kept = False  # it has stood idle: what comes on it may be late

    def carry(self, claim: Claim) -> None:
        """Write a claim's request. As a pull producer, this is told when its last byte has left."""
        self.claim = claim
        claim.drop = self.drop
        request = claim.job.content
        assert isinstance(request, Request)
        left = max(1, int((claim.give_up - self.pool.clock.now()) * 1000))
        head = b"%sX-Time-Left-Ms: %d\r\n\r\n" % (request.head, left)
        self.flushed = False
        if request.rest is None:
            self.to_write = head + request.body
            self.transport.registerProducer(self, False)
            return
        self.transport.write(head)
        self.sender = Sender(
            self.transport, request.rest, request.chunked, self.flush, self.unsendable, self.writing_last
        )

    def resumeProducing(self) -> None:
        if self.to_write:
            data, self.to_write = self.to_write, b""
            self.writing_last()
            self.transport.write(data)
        else:
            self.transport.unregisterProducer()
            self.flush()

    def writing_last(self) -> None:
        # Twisted writes behind our back from here on, so the claim counts as one that may have run unless the
        # connection is seen to end with bytes unsent.
        if self.claim is not None:
            self.claim.written = True

    def flush(self) -> None:
        self.flushed = True
        self.sender = None

    def unsendable(self) -> None:
        """The rest of the request will never come, so its job is over and nobody waits for this claim."""
        self.abort("request-not-whole")

    def stopProducing(self) -> None:
        """The connection has ended first; `ended` sees to the claim."""

    def stop_sending(self) -> None:
        if self.sender is not None:
            self.sender.stopProducing()
            self.sender = None

    @property
    def unsent(self) -> bool:
        """No byte of the request has left."""
        begun = self.flushed or self.transport.dataBuffer or (self.sender is not None and self.sender.begun)
        return self.claim is not None and not begun

    def drop(self) -> None:
        """Stop working on the claim: to an execute node, abandoning is closing."""
        self.claim = None
        self.stop_sending()
        self.abort("claim-abandoned")

    def dataReceived(self, data: bytes) -> None:
        if (self.claim is None and self.flow is None) or (self.kept and self.unsent):
            # An answer to nothing would be taken for the next claim's.
            self.abort("unasked-data")
            self.pool.unasked(self)
            self.elsewhere()
            return
        if not self.reader.started:
            # A new connection has no request before this one, which may have begun to leave.
            late = self.kept and (not self.flushed or self.pool.undelivered(self.transport))
            self.premature = late or self.unsent
        self.reader.feed(data)
        self.stop_waiting()
        try:
            if self.flow is not None:
                self.pass_on(self.flow)
                return
            message = self.reader.next()
            while message is not None and message.first[0][:1] == b"1":
                message = self.reader.next()
            if message is None and self.reader.message is not None:
                message = self.early(self.reader.message)
        except BadMessage as bad:
            self.spoilt(str(bad))
            return
        if message is None:
            # Its length may be wrong: the rest that is missing then would be waited for until the deadline.
            if self.reader.started:
                self.wait(STALL)
        elif self.premature and (self.flushed or not turned_away(message)):
            # A node starts on a request with its last byte, so this was an answer to the one before.
            self.pool.unasked(self)
            self.spoilt("answer before its request")
        elif message.open:
            self.begin(message)
        else:
            self.answered(message)

    def early(self, message: Message) -> Message | None:
        """The answer that has begun, if it is to be passed on already."""
        now = self.pool.clock.now()
        if not self.head_at:
            self.head_at = now
        if message.length is None:
            due = self.head_at + EARLY_UNTOLD
        else:
            due = self.head_at + EARLY if message.length > HOLD else inf
        return self.reader.begin() if now >= due else None

    def wait(self, seconds: float) -> None:
        self.stalled = self.pool.clock.at(self.pool.clock.now() + seconds, self.spoilt, "answer not whole")

    def stop_waiting(self) -> None:
        if self.stalled is not None and self.stalled.active():
            self.stalled.cancel()

    def spoilt(self, why: str) -> None:
        """What came is no answer: the claim has failed, and nothing more on the connection can be trusted."""
        self.why = why
        self.abort("bad-answer")
        self.fail()

    def elsewhere(self) -> None:
        """Nothing of the request has left, so it is still this attempt that another connection carries; to an
        endpoint that was told away since the choice, none does.
        """
        claim, self.claim = self.claim, None
        self.stop_sending()
        if claim is not None and claim.wanted and not self.pool.fits(self.place):
            self.pool.exchange.end(claim, Outcome.CONNECT_FAILED)
        elif claim is not None:
            self.pool.exchange.unsent(claim)

    def fail(self) -> None:
        """Before its last byte left, the claim can't have run."""
        self.stop_sending()
        claim, self.claim = self.claim, None
        if (flow := self.end_flow()) is not None:
            flow.break_off()
        if claim is not None:
            self.pool.exchange.end(claim, Outcome.RESET if self.flushed else Outcome.CONNECT_FAILED)

    # Large answers

    def begin(self, message: Message) -> None:
        """Pass the answer on from here: for its job this is the end, whatever becomes of the rest."""
        claim, self.claim = self.claim, None
        assert claim is not None
        if message.first[0] != b"200":
            self.abort("large-error")
            self.pool.exchange.end(claim, Outcome.ERROR)
            return
        self.keep_alive = message.keep_alive
        self.head_at = self.head_at or self.pool.clock.now()
        flow = self.flow = message.flow = Body(self.pool.room, message.length)
        self.pool.clock.at(claim.job.deadline, self.look, flow)
        flow.on_room = self.go_on
        flow.on_cancel = self.nobody_takes
        flow.put(message.body)
        self.wait(STALL_OPEN)
        self.pool.exchange.end(claim, SERVED, message)
        if flow.on_more == nothing:
            flow.cancel()  # its caller has gone
        else:
            self.hold_back(flow)

    def pass_on(self, flow: Body) -> None:
        data, whole = self.reader.more()
        if whole:
            self.end_flow()
            self.keep_or_close(self.keep_alive)
        else:
            self.wait(STALL_OPEN)
        flow.put(data, whole)
        self.hold_back(flow)

    def look(self, flow: Body, came: int = -1) -> None:
        """The caller's time is over. If it has all that came, and no more has, it is the node's end that is
        missing.
        """
        if self.flow is not flow:
            return
        now, later = self.pool.clock.now(), LOOK
        if flow.read == flow.end < SLOWEST * (now - self.head_at):
            if flow.end == came:
                self.spoilt("answer not whole in time")
                return
            later = 0.0
        after_a_look(self.pool.reactor, self.look, flow, flow.end, later=later)

    def end_flow(self) -> Body | None:
        """This side has no more to do with it."""
        flow, self.flow, self.head_at = self.flow, None, 0.0
        if flow is not None:
            flow.on_room = flow.on_cancel = nothing
        return flow

    def hold_back(self, flow: Body) -> None:
        """Its caller is slower than the node: what waits here is not the node's silence."""
        if self.flow is flow and flow.full:
            self.stop_waiting()
            self.transport.pauseProducing()

    def go_on(self) -> None:
        if self.alive and not self.code:
            self.wait(STALL_OPEN)
            self.transport.resumeProducing()

    def nobody_takes(self) -> None:
        self.end_flow()
        self.stop_waiting()
        self.abort("caller-gone")

    # Ends

    def answered(self, message: Message) -> None:
        claim, self.claim, self.head_at = self.claim, None, 0.0
        try:
            self.keep_or_close(message.keep_alive)
        except Exception as bug:  # whatever becomes of the connection, the claim has its answer
            log.line("connection-broken", why=repr(bug))
            self.abort("internal-error")
        if claim is not None:
            if message.first[0] == b"200":
                self.pool.exchange.end(claim, SERVED, message)
            elif turned_away(message):
                self.pool.exchange.end(claim, Outcome.REJECTED)
            else:
                self.pool.exchange.end(claim, Outcome.ERROR)

    def keep_or_close(self, keep_alive: bool) -> None:
        if not self.flushed or self.reader.started:
            # Half a request or a part of some answer is left on it: the next claim would get the wrong one.
            if self.reader.started:
                self.pool.beware()
            self.stop_sending()
            self.abort("not-clean")
        elif not keep_alive:
            self.close("node-asked")
        else:
            self.pool.keep(self)

    def ended(self, orderly: bool) -> None:
        try:
            self.pool.gone(self)
        except Exception as bug:  # what it carried is settled all the same
            log.line("connection-broken", why=repr(bug))
        self.stop_waiting()
        message = self.reader.end() if orderly and not self.code else None
        if self.kept and self.unsent and not self.code:
            self.elsewhere()  # the node closed it as this was about to write on it
        elif message is None:
            self.fail()
        elif (flow := self.end_flow()) is not None:
            flow.put(b"", True)
        else:
            self.answered(message)
