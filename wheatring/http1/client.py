"""The client side: a pool of kept connections to execute nodes, and the connects for new ones."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from math import inf
from typing import Any

from twisted.internet.error import UserError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from wheatring import log
from wheatring.balancer.interface import EndpointState, Outcome, View, ViewKind
from wheatring.core.body import Room
from wheatring.core.clock import Clock, Timer
from wheatring.core.exchange import Claim, Exchange
from wheatring.http1.claim import ClaimConnection, Place
from wheatring.http1.connection import undelivered
from wheatring.http1.parser import Request

# Some endpoints answer a request a second time, some milliseconds late. On a connection that carries the next
# one by then, the old answer would pass for the new one's. So one that has rested goes first, and where a
# second answer was seen, all others must rest.
SECOND = 1.0  # seconds after an answer within which a second one is no other noise of an idle connection
REST = 0.03  # seconds without a word after an answer, before the next request
WARY = 60.0  # seconds for which they rest after the last second answer

SWEEP = 1.0  # seconds between looks for connections that have stood idle for too long


def take(ready: set[str], view: View) -> None:
    """Keep the names of those that may be sent something new."""
    if view.kind in (ViewKind.FULL, ViewKind.CACHED):
        ready.clear()
    for entry in view.entries:
        if entry.state is EndpointState.READY:
            ready.add(entry.endpoint)
        else:
            ready.discard(entry.endpoint)


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
        by = min(claim.give_up, claim.begin_by, pool.clock.now() + pool.connect_time)
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
        if self.first.wanted and self.pool.exchange.in_time(self.first):
            self.carry(self.first)
        else:
            self.pool.keep(self)


class Pool:
    """Starts claims, and keeps clean connections for the next ones; of those that have rested, the last one
    used goes out first.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        exchange: Exchange,
        connect_time: float,
        idle: float,
        most: int,
        room: Room,
    ) -> None:
        self.undelivered: Callable[[Any], bool] = getattr(reactor, "undelivered", undelivered)
        self.reactor = reactor
        self.clock = clock
        self.exchange = exchange
        self.connect_time = connect_time
        # The node's machine closes a connection at `idle`, and a claim written then would end in a reset.
        self.idle = idle * 0.7
        self.most = most
        self.room = room
        self.addresses: dict[str, str] = {}
        self.wary_until = -inf
        self.ready: set[str] = set()  # the nodes that the decisions may send to, as last told
        self.idle_ones: dict[Place, deque[ClaimConnection]] = {}
        self.connections: dict[ClaimConnection, None] = {}  # in the order in which they came
        self.dials: dict[_Dial, None] = {}  # under way, in the order in which they began
        exchange.start_claim = self.start
        exchange.close_idle = self.close_idle
        exchange.on_listed = self.listed
        self.sweep()

    def start(self, claim: Claim) -> None:
        address = self.addresses.get(claim.node)
        if address is None:
            # The list no longer says where the node is.
            self.reactor.callLater(0, partial(self.exchange.end, claim, Outcome.CONNECT_FAILED))
            return
        place = Place(claim.node, address)
        request = claim.job.content
        if isinstance(request, Request) and request.rest is not None:
            request.rest.again()
        if (connection := self.take_idle(place)) is not None:
            connection.carry(claim)
            return
        if len(self.connections) + len(self.dials) >= self.most and not self.retire_oldest():
            log.line("too-many-connections", most=self.most)
            self.reactor.callLater(0, partial(self.exchange.end, claim, Outcome.CONNECT_FAILED))
            return
        self.dials[_Dial(self, claim, place)] = None  # its end is never reported in this turn of the reactor

    def take_idle(self, place: Place) -> ClaimConnection | None:
        """The one used last of those that have rested; where none has or must, the one that did longest."""
        idle = self.idle_ones.get(place)
        if not idle:
            return None
        now = self.clock.now()
        self.retire_stale(place, idle, now)
        chosen = None
        for connection in reversed(idle):
            if not connection.alive or connection.code:
                continue
            rested = connection.idle_since <= now - REST
            if rested or now >= self.wary_until:
                chosen = connection
            if rested:
                break
        if chosen is not None:
            idle.remove(chosen)
        return chosen

    def unasked(self, connection: ClaimConnection) -> None:
        """Something came on it that answers nothing."""
        if connection.kept and self.clock.now() - connection.idle_since < SECOND:
            self.beware()

    def beware(self) -> None:
        """A second answer was seen."""
        self.wary_until = self.clock.now() + WARY

    def listed(self, view: View) -> None:
        """What counts is the list at the first byte, not at the choice: a connect may take longer than sends
        may go on to a node that drains, and its address may be another's by then.
        """
        take(self.ready, view)
        for dial in [dial for dial in self.dials if not self.fits(dial.place)]:
            dial.connector.stopConnecting()
        for place in [place for place in self.idle_ones if not self.fits(place)]:
            gone = self.addresses.get(place.node) != place.address
            for connection in list(self.idle_ones[place]):
                self.retire(connection, "node-gone" if gone else "close-idle")

    def fits(self, place: Place) -> bool:
        """Something new may go there."""
        return place.node in self.ready and self.addresses.get(place.node) == place.address

    def up(self, connection: ClaimConnection) -> None:
        self.connections[connection] = None

    def keep(self, connection: ClaimConnection) -> None:
        if not self.fits(connection.place):
            connection.close("node-gone")
            return
        connection.kept, connection.idle_since = True, self.clock.now()
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

    def oldest_idle(self) -> ClaimConnection | None:
        return min((q[0] for q in self.idle_ones.values() if q), key=lambda c: c.idle_since, default=None)

    def retire_oldest(self) -> bool:
        oldest = self.oldest_idle()
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

    def close(self, code: str = "stopping") -> None:
        """End all connections: there is no job left that would need them."""
        if self.sweeping.active():
            self.sweeping.cancel()
        for connection in list(self.connections):
            connection.abort(code)

    def sweep(self) -> None:
        now = self.clock.now()
        self.sweeping = self.clock.at(now + SWEEP, self.sweep)
        for place, idle in list(self.idle_ones.items()):
            self.retire_stale(place, idle, now)

    def retire_stale(self, place: Place, idle: deque[ClaimConnection], now: float) -> None:
        gone = self.addresses.get(place.node) != place.address
        while idle and (gone or now - idle[0].idle_since > self.idle):
            self.retire(idle[0], "node-gone" if gone else "idle")
