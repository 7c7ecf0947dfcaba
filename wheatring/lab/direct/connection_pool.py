"""The client side without bytes: claims become visits, on a pool of kept connections.

It keeps to the rules of the HTTP client's pool, and gives the outcomes that this would give.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from wheatring import log
from wheatring.balancer.interface import Outcome, View
from wheatring.core.clock import Timer
from wheatring.core.exchange import Attempt, Exchange
from wheatring.http1.connection_pool import SWEEP_SECONDS, update_ready
from wheatring.http1.endpoint_connection import EndpointAddress
from wheatring.lab.book import Book
from wheatring.lab.direct.clock import DirectClock
from wheatring.lab.direct.links import Links
from wheatring.lab.direct.node import DirectNode
from wheatring.lab.models.visit import Verdict, Visit

# Looked up once: an enum takes its time.
SERVED, CONNECT_FAILED, RESET = Outcome.SERVED, Outcome.CONNECT_FAILED, Outcome.RESET
VERDICT_SERVED, VERDICT_AWAY, VERDICT_RESET = Verdict.SERVED, Verdict.AWAY, Verdict.RESET
# Of answers that leave a clean connection; any other can't be read.
OUTCOMES = {Verdict.SERVED: SERVED, Verdict.AWAY: Outcome.REJECTED, Verdict.ERROR: Outcome.ERROR}


class DirectConnection:
    """One connection to a node, both ends of it. It carries one claim at a time.

    `alive`, `claim` and what is about it are the sidecar's, who hears of things a link's delay after they
    happened; `visit`, `begun`, `handshake`, `node_idle` and `reply_arrival` are the node's.
    """

    __slots__ = (
        "alive", "arrival", "back", "begun", "claim", "first", "handshake", "idle_since", "late", "node",
        "node_idle", "place", "pool", "reply_arrival", "visit", "way",
    )  # fmt: skip

    def __init__(self, pool: DirectConnectionPool, place: EndpointAddress, claim: Attempt) -> None:
        self.pool = pool
        self.place = place
        self.node: DirectNode  # who took it at that address
        there = place.address.rpartition(":")[0]
        self.way = pool.links.link(pool.host, there)
        self.back = pool.links.link(there, pool.host)
        self.first: Attempt | None = claim  # for which it is made
        self.late: Timer | None = None  # while it comes up
        self.claim: Attempt | None = None
        self.alive = False
        self.idle_since = 0.0
        self.arrival = 0.0  # of what was last sent on it
        self.visit: Visit | None = None
        self.begun = False  # the visit is at the machine
        self.handshake = 0.0  # seconds that it still costs the first request
        self.node_idle = 0.0
        self.reply_arrival = 0.0

    # Coming up

    def dial(self) -> None:
        pool, claim = self.pool, self.first
        assert claim is not None
        claim.cancel = self.keep_on
        by = min(claim.deadline, claim.start_before, pool.clock.now() + pool.connect_time)
        self.late = pool.clock.at(by, self.not_up)
        self.way.send(0.0, self.knock)

    def knock(self) -> None:
        """The connect has arrived, whoever is at that address by now."""
        node = self.pool.nodes.get(self.place.address)
        if node is None:
            self.back.send(0.0, self.refused)
        else:
            self.node = node
            node.knock(self)

    def keep_on(self) -> None:
        """The claim is not wanted any more; the connection, once up, is kept for others."""

    def refused(self) -> None:
        if self.late is not None and not self.pool.clock.over:
            self.late.cancel()
            self.not_up()

    def not_up(self) -> None:
        """Refused, or not up in time."""
        claim, self.first, self.late = self.first, None, None
        del self.pool.dials[self]
        assert claim is not None
        self.pool.book.note("unconnected", sidecar=self.pool.name)
        self.pool.exchange.end_attempt(claim, CONNECT_FAILED)

    def accepted(self) -> None:
        pool = self.pool
        if self.late is None or pool.clock.over:
            self.hang_up()  # it was given up meanwhile
            return
        self.late.cancel()
        self.late = None
        del pool.dials[self]
        pool.lines[self] = None
        self.alive = True
        claim, self.first = self.first, None
        assert claim is not None
        if claim.may_be_sent and pool.exchange.check_in_time(claim):
            self.carry(claim)
        else:
            pool.keep(self)

    # Claims

    def carry(self, claim: Attempt) -> None:
        """Write a claim's request: from here on it may have run."""
        pool = self.pool
        self.claim = claim
        claim.cancel = self.drop
        claim.is_written = True
        now = pool.time.instant
        left = int((claim.deadline - now) * 1000) / 1000 or 0.001  # as the wire states it
        pool.book.sending(pool.name, self.node.name, now)
        visit = Visit(claim.request.correlation_id, pool.name, left, now, self.reply)
        self.arrival = self.way.send(self.arrival, self.node.request, self, visit)

    def reply(self, verdict: Verdict, stamp: str) -> None:
        """At the node: it answers its visit, or breaks the connection."""
        node = self.node
        visit, self.visit = self.visit, None
        if visit is None:
            return
        self.begun = False
        if verdict is VERDICT_RESET:
            node.close(self)
            return
        if verdict is VERDICT_AWAY:
            node.book.turned_away(node.name, visit.ident)
        self.node_idle = node.time.instant
        self.reply_arrival = self.back.send(self.reply_arrival, self.answered, verdict, stamp)

    def answered(self, verdict: Verdict, stamp: str) -> None:
        claim = self.claim
        if claim is None or self.pool.clock.over:
            return
        self.claim = None
        if verdict is VERDICT_SERVED:
            outcome: Outcome | None = SERVED
        else:
            outcome = OUTCOMES.get(verdict)
        if outcome is not None:
            self.pool.keep(self)
            self.pool.exchange.end_attempt(claim, outcome, stamp)
            return
        self.close()
        self.pool.exchange.end_attempt(claim, RESET)

    # Its end

    def drop(self) -> None:
        """Stop working on the claim: to a node, abandoning is closing."""
        self.claim = None
        self.close()

    def close(self) -> None:
        """End it from the sidecar's side."""
        if self.alive:
            self.alive = False
            self.pool.gone(self)
            self.hang_up()

    def hang_up(self) -> None:
        self.way.send(self.arrival, self.node.drop, self)

    def ended(self) -> None:
        """The node's end of it is gone, and the sidecar's machine has heard of it."""
        if self.late is not None and not self.pool.clock.over:
            self.late.cancel()  # it ended before it was heard to be up
            self.not_up()
        elif self.alive and not self.pool.clock.over:
            self.alive = False
            self.pool.gone(self)
            claim, self.claim = self.claim, None
            if claim is not None:
                self.pool.exchange.end_attempt(claim, RESET)


class DirectConnectionPool:
    """Starts claims, and keeps clean connections for the next ones; the last one used goes out first.

    `nodes`: who listens, or did last, at each address as the machine list gives it (host:port).
    """

    def __init__(
        self,
        name: str,
        host: str,
        nodes: Mapping[str, DirectNode],
        clock: DirectClock,
        exchange: Exchange,
        links: Links,
        book: Book,
        connect_time: float,
        idle: float,
        most: int,
    ) -> None:
        self.name = name
        self.host = host
        self.nodes = nodes
        self.clock = clock
        self.time = clock.time
        self.exchange = exchange
        self.links = links
        self.book = book
        self.connect_time = connect_time
        self.idle = idle * 0.7  # as the HTTP client's
        self.most = most
        self.addresses: dict[str, str] = {}
        self.ready: set[str] = set()
        self.idle_ones: dict[tuple[str, str], deque[DirectConnection]] = {}
        self.lines: dict[DirectConnection, None] = {}  # in the order in which they came
        self.dials: dict[DirectConnection, None] = {}  # under way, in the order in which they began
        exchange.start_attempt = self.start
        exchange.close_idle = self.close_idle
        exchange.on_endpoint_list = self.listed
        self.sweep()

    def start(self, claim: Attempt) -> None:
        address = self.addresses.get(claim.endpoint)
        if address is None:
            # The list no longer says where the node is.
            self.clock.at(self.clock.now(), self.exchange.end_attempt, claim, CONNECT_FAILED)
            return
        idle = self.idle_ones.get((claim.endpoint, address))
        if idle:
            idle.pop().carry(claim)
            return
        if len(self.lines) + len(self.dials) >= self.most and not self.retire_oldest():
            log.line("too-many-connections", most=self.most)
            self.clock.at(self.clock.now(), self.exchange.end_attempt, claim, CONNECT_FAILED)
            return
        line = DirectConnection(self, EndpointAddress(claim.endpoint, address), claim)
        self.dials[line] = None
        line.dial()

    def listed(self, view: View) -> None:
        """As the HTTP client's."""
        update_ready(self.ready, view)
        for line in [line for line in self.dials if not self.fits(line.place)]:
            line.refused()
        for place, idle in list(self.idle_ones.items()):
            if not self.fits(EndpointAddress(*place)):
                for line in list(idle):
                    line.close()

    def fits(self, place: EndpointAddress) -> bool:
        return place.endpoint in self.ready and self.addresses.get(place.endpoint) == place.address

    def keep(self, line: DirectConnection) -> None:
        if not self.fits(line.place):
            line.close()
            return
        line.idle_since = self.time.instant
        idle = self.idle_ones.get(line.place)
        if idle is None:
            idle = self.idle_ones[line.place] = deque()
        idle.append(line)

    def gone(self, line: DirectConnection) -> None:
        self.lines.pop(line, None)
        idle = self.idle_ones.get(line.place)
        if idle is not None:
            if line in idle:
                idle.remove(line)
            if not idle:
                del self.idle_ones[line.place]

    def retire_oldest(self) -> bool:
        oldest = min((q[0] for q in self.idle_ones.values() if q), key=lambda c: c.idle_since, default=None)
        if oldest is None:
            return False
        oldest.close()
        return True

    def close_idle(self, node: str) -> None:
        place = EndpointAddress(node, self.addresses.get(node, ""))
        for line in list(self.idle_ones.get(place, ())):
            line.close()

    def reset(self) -> None:
        """Its host is back after a silence: nobody there knows of the connections any more."""
        for line in list(self.lines):
            line.hang_up()
            line.ended()

    def close(self) -> None:
        """Its process ends, and all connections with it."""
        for line in list(self.lines):
            line.claim = None
            line.close()

    def sweep(self) -> None:
        now = self.clock.now()
        self.clock.at(now + SWEEP_SECONDS, self.sweep)
        for (node, address), idle in list(self.idle_ones.items()):
            gone = self.addresses.get(node) != address
            while idle and (gone or now - idle[0].idle_since > self.idle):
                idle[0].close()
