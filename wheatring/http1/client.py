"""The client side: carries claims to execute nodes over HTTP/1.1, on a pool of kept connections."""

from __future__ import annotations

from collections import deque
from functools import partial
from typing import Any, NamedTuple

from twisted.internet.error import UserError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lapisway.interface import Outcome
from wheatring import log
from wheatring.core.clock import Clock, Timer
from wheatring.core.exchange import Claim, Exchange
from wheatring.http1.connection import Connection
from wheatring.http1.parser import BadMessage, Message, Request

SERVED = Outcome.SERVED  # looked up once: an enum takes its time
SWEEP = 1.0  # seconds between looks for connections that have stood idle for too long
STALL = 0.6  # seconds without another byte after which an answer that has begun counts as spoilt


class Place(NamedTuple):
    """A node and where it is. Another node may come to the same address, and must not get its connections."""

    node: str
    address: str


class ClaimConnection(Connection):
    """One connection to an execute node. It carries one claim at a time, and is kept only while clean."""

    kind = "claim-connection"

    def __init__(self, pool: Pool, place: Place) -> None:
        super().__init__(responses=True)
        self.pool = pool
        self.place = place
        self.stalled: Timer | None = None
        self.claim: Claim | None = None
        self.idle_since = 0.0
        self.to_write = b""
        self.flushed = False

    def carry(self, claim: Claim) -> None:
        """Write a claim's request. As a pull producer, this is told when its last byte has left."""
        self.claim = claim
        claim.drop = self.drop
        request = claim.job.content
        assert isinstance(request, Request)
        left = max(1, int((claim.give_up - self.pool.clock.now()) * 1000))
        self.to_write = b"%sX-Time-Left-Ms: %d\r\n\r\n%s" % (request.head, left, request.body)
        self.flushed = False
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        if self.to_write:
            data, self.to_write = self.to_write, b""
            if self.claim is not None:
                # Twisted writes behind our back from here on, so the claim counts as one that may have run
                # unless the connection is seen to end with bytes unsent.
                self.claim.written = True
            self.transport.write(data)
        else:
            self.flushed = True
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:
        """The connection has ended first; `ended` sees to the claim."""

    def drop(self) -> None:
        """Stop working on the claim: to an execute node, abandoning is closing."""
        self.claim = None
        self.abort("claim-abandoned")

    def dataReceived(self, data: bytes) -> None:
        if self.claim is None:
            # An answer to nothing would be taken for the next claim's.
            self.abort("unasked-data")
            return
        self.reader.feed(data)
        try:
            message = self.reader.next()
            while message is not None and message.first[0][:1] == b"1":
                message = self.reader.next()
        except BadMessage as bad:
            self.spoilt(str(bad))
            return
        self.stop_waiting()
        if message is not None:
            self.answered(message)
        elif self.reader.started:
            # Its length may be wrong: the rest that is missing then would be waited for until the deadline.
            self.stalled = self.pool.clock.at(self.pool.clock.now() + STALL, self.spoilt, "answer not whole")

    def stop_waiting(self) -> None:
        if self.stalled is not None and self.stalled.active():
            self.stalled.cancel()

    def spoilt(self, why: str) -> None:
        """What came is no answer: the claim has failed, and nothing more on the connection can be trusted."""
        self.why = why
        self.abort("bad-answer")
        self.fail()

    def fail(self) -> None:
        """Before its last byte left, the claim can't have run."""
        claim, self.claim = self.claim, None
        if claim is not None:
            self.pool.exchange.end(claim, Outcome.RESET if self.flushed else Outcome.CONNECT_FAILED)

    def answered(self, message: Message) -> None:
        claim, self.claim = self.claim, None
        if not self.flushed or self.reader.started:
            # Half a request or a part of some answer is left on it: the next claim would get the wrong one.
            self.abort("not-clean")
        elif not message.keep_alive:
            self.close("node-asked")
        else:
            self.pool.keep(self)
        if claim is not None:
            status = message.first[0]
            if status == b"200":
                self.pool.exchange.end(claim, SERVED, message)
            elif status in (b"503", b"504") and message.fields.get(b"x-unprocessed") == b"1":
                self.pool.exchange.end(claim, Outcome.REJECTED)
            else:
                self.pool.exchange.end(claim, Outcome.ERROR)

    def ended(self, orderly: bool) -> None:
        self.pool.gone(self)
        self.stop_waiting()
        message = self.reader.end() if orderly and not self.code else None
        if message is not None:
            self.answered(message)
        else:
            self.fail()


class _Dial(ClientFactory):
    """One connect under way for one claim. Refused or not up by its deadline, it has failed."""

    noisy = False

    def __init__(self, pool: Pool, claim: Claim, place: Place) -> None:
        self.pool = pool
        self.claim = claim
        self.place = place
        host, _, port = place.address.rpartition(":")
        self.late: Timer | None = None
        claim.drop = self.drop
        self.connector: Any = pool.reactor.connectTCP(host, int(port), self, timeout=None)
        by = min(claim.give_up, pool.clock.now() + pool.connect_time)
        self.late = pool.clock.at(by, self.connector.stopConnecting)

    def buildProtocol(self, addr: object) -> ClaimConnection:
        self.over()
        return _Fresh(self.pool, self.place, self.claim)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.over()
        code = "not-up-in-time" if isinstance(reason.value, UserError) else "connect-failed"
        log.line("claim-connection", code=code, peer=self.place.address)
        self.pool.exchange.end(self.claim, Outcome.CONNECT_FAILED)

    def over(self) -> None:
        del self.pool.dials[self]
        if self.late is not None and self.late.active():
            self.late.cancel()

    def drop(self) -> None:
        """The claim is not wanted any more; the connection, once up, is kept for others."""


class _Fresh(ClaimConnection):
    """A connection made for one claim, which it carries first if that is still wanted."""

    def __init__(self, pool: Pool, place: Place, claim: Claim) -> None:
        super().__init__(pool, place)
        self.first = claim

    def connectionMade(self) -> None:
        super().connectionMade()
        self.pool.up(self)
        if self.first.wanted:
            self.carry(self.first)
        else:
            self.pool.keep(self)


class Pool:
    """Starts claims, and keeps clean connections for the next ones; the last one used goes out first."""

    def __init__(
        self, reactor: Any, clock: Clock, exchange: Exchange, connect_time: float, idle: float, most: int
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.exchange = exchange
        self.connect_time = connect_time
        # The node's machine closes a connection at `idle`, and a claim written then would end in a reset.
        self.idle = idle * 0.7
        self.most = most
        self.addresses: dict[str, str] = {}
        self.idle_ones: dict[Place, deque[ClaimConnection]] = {}
        self.connections: dict[ClaimConnection, None] = {}  # in the order in which they came
        self.dials: dict[_Dial, None] = {}  # under way, in the order in which they began
        exchange.start_claim = self.start
        exchange.close_idle = self.close_idle
        self.sweep()

    def start(self, claim: Claim) -> None:
        address = self.addresses.get(claim.node)
        if address is None:
            # The list no longer says where the node is.
            self.reactor.callLater(0, partial(self.exchange.end, claim, Outcome.CONNECT_FAILED))
            return
        place = Place(claim.node, address)
        idle = self.idle_ones.get(place)
        while idle:
            connection = idle.pop()
            if connection.alive and not connection.code:
                connection.carry(claim)
                return
        if len(self.connections) + len(self.dials) >= self.most and not self.retire_oldest():
            log.line("too-many-connections", most=self.most)
            self.reactor.callLater(0, partial(self.exchange.end, claim, Outcome.CONNECT_FAILED))
            return
        self.dials[_Dial(self, claim, place)] = None  # its end is never reported in this turn of the reactor

    def bar(self, node: str) -> None:
        """Nothing new goes there: no connect still under way comes to a send, and no connection is kept."""
        for dial in [dial for dial in self.dials if dial.place.node == node]:
            dial.connector.stopConnecting()
        self.close_idle(node)

    def up(self, connection: ClaimConnection) -> None:
        self.connections[connection] = None

    def keep(self, connection: ClaimConnection) -> None:
        connection.idle_since = self.clock.now()
        self.idle_ones.setdefault(connection.place, deque()).append(connection)

    def gone(self, connection: ClaimConnection) -> None:
        self.connections.pop(connection, None)
        idle = self.idle_ones.get(connection.place)
        if idle is not None:
            if connection in idle:
                idle.remove(connection)
            if not idle:
                del self.idle_ones[connection.place]

    def idle_at(self, node: str) -> int:
        return len(self.idle_ones.get(Place(node, self.addresses.get(node, "")), ()))

    def retire_oldest(self) -> bool:
        oldest = min((q[0] for q in self.idle_ones.values() if q), key=lambda c: c.idle_since, default=None)
        if oldest is None:
            return False
        self.retire(oldest, "pool-full")
        return True

    def retire(self, connection: ClaimConnection, code: str) -> None:
        self.idle_ones[connection.place].remove(connection)
        connection.close(code)

    def close_idle(self, node: str) -> None:
        place = Place(node, self.addresses.get(node, ""))
        for connection in list(self.idle_ones.get(place, ())):
            self.retire(connection, "close-idle")

    def close(self) -> None:
        """End all connections: there is no job left that would need them."""
        for connection in list(self.connections):
            connection.abort("stopping")

    def sweep(self) -> None:
        now = self.clock.now()
        self.clock.at(now + SWEEP, self.sweep)
        for place, idle in list(self.idle_ones.items()):
            gone = self.addresses.get(place.node) != place.address
            while idle and (gone or now - idle[0].idle_since > self.idle):
                self.retire(idle[0], "node-gone" if gone else "idle")
