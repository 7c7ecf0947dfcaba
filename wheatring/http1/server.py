"""The server side: callers' connections. Each request becomes a job, each final answer a response."""

from __future__ import annotations

import re
from collections.abc import Callable, Container, Mapping
from functools import partial
from math import inf
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.protocol import ServerFactory

from wheatring.balancer.interface import Idempotency, RequestClass
from wheatring.core.body import Body, Room
from wheatring.core.clock import Clock, Timer
from wheatring.core.exchange import Exchange, Job
from wheatring.core.refused import Refused
from wheatring.http1.caller import CallerConnection
from wheatring.http1.connection import after_a_look, hung_up
from wheatring.http1.door import open_door, open_shared_door
from wheatring.http1.parser import Message, Request
from wheatring.http1.states import State

if TYPE_CHECKING:

    class Way(Protocol):
        """What a route makes of a request."""

        class_name: bytes  # b"": the first part of the path says it
        deadline: float | None  # seconds, for a caller that gives none

        def job(self, fields: Mapping[bytes, bytes], **told: Any) -> Job: ...


_IDENT = re.compile(rb"[!-~]{1,200}")
_DIGITS = re.compile(rb"[0-9]{1,12}")
_ONCE = frozenset((b"x-correlation-id", b"x-service-class", b"x-time-left-ms", b"idempotency-key"))

SAFE = Idempotency.IDEMPOTENT  # looked up once: an enum takes its time

JOBLESS = frozenset((State.RESTING, State.READING, State.CLOSING, State.SHUT))
UNANSWERED = frozenset((State.RESTING, State.READING, State.UPLOADING))  # nothing is written for this request

SWEEP = 0.25  # seconds between looks for callers that keep a connection for nothing
IDLE = 20.0  # seconds after which a connection between requests is closed
IDLE_CROWDED = 2.0  # the same once half of the places are taken: a caller may rely on no more
# Seconds that a connection keeps its place without a job when all places are taken: enough for a caller
# that has just connected to write its request, and a crowd that says nothing can't shut the others out.
STAND = 0.3
BACKLOG = 511  # callers that may wait at the door
# When it leaves: seconds in which a caller that has connected begins its request, in which a request that has
# begun is whole, and in which an answer is read.
FRESH = 0.1
HALF = 0.3
FLUSH = 0.5
BRIEF = 0.1  # instead, once SIGKILL is near


class Server(ServerFactory):
    noisy = False

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        exchange: Exchange,
        classes: tuple[RequestClass, ...],
        most: int,
        room: Room,
    ) -> None:
        # A reactor without sockets brings doors of its own; they keep to `room` as well. And it looks itself.
        self.open_door: Callable[..., Any] = getattr(reactor, "open_door", open_door)
        self.hung_up: Callable[[Any], bool] = getattr(reactor, "hung_up", hung_up)
        self.reactor = reactor
        self.clock = clock
        self.exchange = exchange
        self.classes = {c.name: c for c in classes}
        self.most = most
        self.room_for_bodies = room
        # In the order in which they came: in an order of memory's, two runs of one day would differ.
        self.connections: dict[CallerConnection, None] = {}
        self.stopping = False
        self.away = False  # out of service: callers are sent away
        self.cut_short = False  # what was under way has been given up, and nothing more is begun
        self.came_at = -inf  # the last new connection
        self.guard: Callable[[Mapping[bytes, bytes]], Container[str]] | None = None
        self.router: Callable[[Message], Way] | None = None  # raises Refused
        self.port: Any = None
        self.full = False
        self.clearing: Timer | None = None  # the next look, or a crowd that comes and goes would start many
        self.sweep()

    def buildProtocol(self, addr: object) -> CallerConnection:
        return CallerConnection(self)

    def listen(self, host: str, port: int, shared: bool = False) -> int:
        """`shared` with another process at the same address."""
        opening = open_shared_door if shared else self.open_door
        self.port = opening(port, self, BACKLOG, host, self.reactor)
        bound: int = self.port.getHost().port
        return bound

    @property
    def parting(self) -> bool:
        """Each answer is the last one on its connection."""
        return self.stopping or self.away

    def resize(self, most: int) -> None:
        """So many callers may be here from now on."""
        self.most = most
        self._reopen()

    @property
    def room(self) -> int:
        """Places for callers that are free."""
        return self.most - len(self.connections)

    def came(self, connection: CallerConnection) -> None:
        self.connections[connection] = None
        self.came_at = connection.since
        if len(self.connections) >= self.most and not self.full and self.port is not None:
            # Beyond this the process would run out of descriptors; callers wait in the backlog.
            self.full = True
            self.port.stopReading()
            if self.clearing is None:
                self.clear()

    def went(self, connection: CallerConnection) -> None:
        self.connections.pop(connection, None)
        self._reopen()

    def _reopen(self) -> None:
        if self.full and len(self.connections) < self.most:
            self.full = False
            if self.port is not None:
                self.port.startReading()

    def clear(self) -> None:
        """While all places are taken, free those that have stood longest without a job."""
        self.clearing = None
        if not self.full:
            return
        now = self.clock.now()
        standing = [c for c in self.connections if c.state in JOBLESS and now > c.since + STAND]
        standing.sort(key=lambda c: (not c.code, c.since))  # those that are only heard out go first
        for connection in standing[: max(1, self.most // 8)]:
            connection.make_room()
        self.clearing = self.clock.at(now + STAND / 6, self.clear)

    def sweep(self) -> None:
        now = self.clock.now()
        self.clock.at(now + SWEEP, self.sweep)
        idle = IDLE_CROWDED if 2 * len(self.connections) > self.most else IDLE
        for connection in list(self.connections):
            connection.look(now, idle)

    def job_from(self, message: Message, came: float) -> Job:
        """The job that a request asks for, whose last byte came then; Refused says what is wrong with it."""
        if self.cut_short:
            raise Refused(503, "stopping")
        fields = message.fields
        method, target = message.first
        rights = None if self.guard is None else self.guard(fields)
        way = None if self.router is None else self.router(message)
        if not message.repeated.isdisjoint(_ONCE):
            raise Refused(400, "a field that may come once came twice")
        if target[:1] != b"/":
            raise Refused(404, "path")
        first = target[1:].partition(b"?")[0].partition(b"/")[0]
        name = fields.get(b"x-service-class", first)
        if way is not None and way.class_name:
            name = way.class_name
        elif not first or name != first:
            raise Refused(404, "path")
        known = self.classes.get(name.decode("latin-1"))
        if known is None:
            raise Refused(404, "class")
        if rights is not None and known.name not in rights:
            raise Refused(403, "rights", body=b"class not in rights")
        allowed = b"GET" if known.idempotency is SAFE else b"POST"
        if method != allowed:
            raise Refused(405, "method", b"Allow: %s\r\n" % allowed)
        ident = fields.get(b"x-correlation-id", b"")
        if not _IDENT.fullmatch(ident):
            raise Refused(400, "no id")
        if ident.decode("latin-1") in self.exchange.idents:
            raise Refused(409, "id of an open request")  # the nodes would take the two for one
        left = fields.get(b"x-time-left-ms")
        seconds = known.deadline
        if left is not None:
            if not _DIGITS.fullmatch(left):
                raise Refused(400, "bad time")
            seconds = min(seconds, int(left) / 1000)  # no caller waits longer than its class
        elif way is not None and way.deadline is not None:
            seconds = min(seconds, way.deadline)
        head = b"%s %s HTTP/1.1\r\n%s" % (method, target, message.end_to_end(b"x-time-left-ms"))
        make = Job if way is None else partial(way.job, fields)
        return make(
            ident=ident.decode("latin-1"),
            class_name=name.decode("latin-1"),
            deadline=inf if message.open else came + seconds,
            content=self.content(message, head),
            repeat=fields.get(b"x-repeat") == b"1",
            allowed=seconds,
        )

    def content(self, message: Message, head: bytes) -> Request:
        """What is sent on."""
        body = message.body
        if message.open:
            rest = Body(self.room_for_bodies, message.length, kept=True)
            if message.length is None:
                return Request(head + b"Transfer-Encoding: chunked\r\n", b"", rest, chunked=True)
            return Request(b"%sContent-Length: %d\r\n" % (head, message.length), b"", rest)
        if body or message.first[0] != b"GET":
            head += b"Content-Length: %d\r\n" % len(body)
        return Request(head, body)

    # Shutdown, and out of service

    def standing(self) -> list[CallerConnection]:
        """The connections between requests, that which has stood longest first."""
        found = [c for c in self.connections if c.state is State.RESTING]
        found.sort(key=lambda c: c.since)
        return found

    def shed(self, keep: int, rested: float = 0.0) -> None:
        """Close connections between requests until no more than `keep` are left of those that stand now; none
        that has not stood for `rested` seconds, as its caller may ask again at any moment.
        """
        standing = self.standing()
        before = self.clock.now() - rested
        for connection in standing[: max(0, len(standing) - keep)]:
            if connection.since <= before:
                self.part(connection, "stopping")

    def part(self, connection: CallerConnection, code: str) -> None:
        """End a connection that may be ended, if that is so by then: what the system holds is read first."""
        told = connection, code, connection.since, connection.reader.started
        after_a_look(self.reactor, self.parted, *told)

    def parted(self, connection: CallerConnection, code: str, since: float, started: bool) -> None:
        still = connection.since == since and connection.reader.started == started
        if still and connection.state in UNANSWERED:
            connection.give_up(code)

    def shut(self) -> None:
        """Stop listening. Who waits at the door comes in first: with it, they would be turned out unheard."""
        port, before = self.port, -1
        if port is not None:
            while before < len(self.connections) < self.most:
                before = len(self.connections)
                port.doRead()
            port.stopListening()
            self.port = None

    def close_between(self, patient: bool = False, late: bool = False) -> None:
        """Nobody else comes: close the connections that have no request under way, and those of callers that
        take too long to send one, unless `patient` with them, or to read its answer.
        """
        now = self.clock.now()
        for connection in list(self.connections):
            match connection.state:
                case State.CLOSING | State.SHUT:
                    if now > connection.since + (BRIEF if late else FLUSH):
                        connection.let_go()
                case State.RESTING:
                    self.part(connection, "stopping")
                case State.READING | State.UPLOADING as state:
                    if patient and state is State.UPLOADING:
                        continue
                    if now > connection.since + (HALF if connection.reader.started else FRESH):
                        self.part(connection, "stopping")
