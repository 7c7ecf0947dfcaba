"""The server side: callers' connections. Each request becomes a job, each final answer a response."""

from __future__ import annotations

import re
from collections.abc import Callable, Container, Mapping
from functools import partial
from math import inf
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.protocol import ServerFactory

from wheatring.balancer.interface import Idempotency, RequestClass
from wheatring.core.body import Body, BodyMemory
from wheatring.core.clock import Clock, Timer
from wheatring.core.exceptions import RequestRejectedError
from wheatring.core.exchange import Exchange, Request
from wheatring.http1.caller_connection import CallerConnection
from wheatring.http1.caller_state import CallerState
from wheatring.http1.connection import call_after_read, has_hung_up
from wheatring.http1.listener import open_listener, open_shared_listener
from wheatring.http1.parser import ForwardedRequest, Message

if TYPE_CHECKING:

    class Route(Protocol):
        """What a route makes of a request."""

        class_name: bytes  # b"": the first part of the path says it
        deadline: float | None  # seconds, for a caller that gives none

        def create_request(self, fields: Mapping[bytes, bytes], **told: Any) -> Request: ...


_CORRELATION_ID = re.compile(rb"[!-~]{1,200}")
_DIGITS = re.compile(rb"[0-9]{1,12}")
_SINGLE_FIELDS = frozenset((b"x-correlation-id", b"x-service-class", b"x-time-left-ms", b"idempotency-key"))

SAFE = Idempotency.IDEMPOTENT  # looked up once: an enum takes its time

EVICTABLE = frozenset((CallerState.RESTING, CallerState.READING, CallerState.CLOSING, CallerState.SHUT))
UNANSWERED = frozenset(
    (CallerState.RESTING, CallerState.READING, CallerState.UPLOADING)
)  # nothing is written for this request

SWEEP_SECONDS = 0.25  # seconds between looks for callers that keep a connection for nothing
IDLE_SECONDS = 20.0  # seconds after which a connection between requests is closed
IDLE_CROWDED_SECONDS = 2.0  # the same once half of the places are taken: a caller may rely on no more
# Seconds that a connection keeps its place without a job when all places are taken: enough for a caller
# that has just connected to write its request, and a crowd that says nothing can't shut the others out.
EVICT_AFTER_SECONDS = 0.3
BACKLOG = 511  # callers that may wait at the door
# When it leaves: seconds in which a caller that has connected begins its request, in which a request that has
# begun is whole, and in which an answer is read.
FIRST_BYTE_SECONDS = 0.1
PARTIAL_REQUEST_SECONDS = 0.3
FLUSH_SECONDS = 0.5
BRIEF_FLUSH_SECONDS = 0.1  # instead, once SIGKILL is near


class Server(ServerFactory):
    noisy = False

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        exchange: Exchange,
        classes: tuple[RequestClass, ...],
        max_connections: int,
        body_memory: BodyMemory,
    ) -> None:
        # A reactor without sockets brings doors of its own; they keep to `room` as well. And it looks itself.
        self.open_listener: Callable[..., Any] = getattr(reactor, "open_listener", open_listener)
        self.has_hung_up: Callable[[Any], bool] = getattr(reactor, "has_hung_up", has_hung_up)
        self.reactor = reactor
        self.clock = clock
        self.exchange = exchange
        self.classes = {c.name: c for c in classes}
        self.max_connections = max_connections
        self.body_memory = body_memory
        # In the order in which they came: in an order of memory's, two runs of one day would differ.
        self.connections: dict[CallerConnection, None] = {}
        self.is_stopping = False
        self.is_out_of_service = False  # out of service: callers are sent away
        self.is_cut_short = False  # what was under way has been given up, and nothing more is begun
        self.last_connect_at = -inf  # the last new connection
        self.authorizer: Callable[[Mapping[bytes, bytes]], Container[str]] | None = None
        self.router: Callable[[Message], Route] | None = None  # raises Refused
        self.listener: Any = None
        self.is_full = False
        self.evict_timer: Timer | None = (
            None  # the next look, or a crowd that comes and goes would start many
        )
        self.sweep()

    def buildProtocol(self, addr: object) -> CallerConnection:
        return CallerConnection(self)

    def listen(self, host: str, port: int, is_shared: bool = False) -> int:
        """`shared` with another process at the same address."""
        opening = open_shared_listener if is_shared else self.open_listener
        self.listener = opening(port, self, BACKLOG, host, self.reactor)
        bound: int = self.listener.getHost().port
        return bound

    @property
    def is_ending(self) -> bool:
        """Each answer is the last one on its connection."""
        return self.is_stopping or self.is_out_of_service

    def set_max_connections(self, max_connections: int) -> None:
        """So many callers may be here from now on."""
        self.max_connections = max_connections
        self._resume_accepting()

    @property
    def free_places(self) -> int:
        """Places for callers that are free."""
        return self.max_connections - len(self.connections)

    def add(self, connection: CallerConnection) -> None:
        self.connections[connection] = None
        self.last_connect_at = connection.state_since
        if len(self.connections) >= self.max_connections and not self.is_full and self.listener is not None:
            # Beyond this the process would run out of descriptors; callers wait in the backlog.
            self.is_full = True
            self.listener.stopReading()
            if self.evict_timer is None:
                self.evict()

    def remove(self, connection: CallerConnection) -> None:
        self.connections.pop(connection, None)
        self._resume_accepting()

    def _resume_accepting(self) -> None:
        if self.is_full and len(self.connections) < self.max_connections:
            self.is_full = False
            if self.listener is not None:
                self.listener.startReading()

    def evict(self) -> None:
        """While all places are taken, free those that have stood longest without a job."""
        self.evict_timer = None
        if not self.is_full:
            return
        now = self.clock.now()
        standing = [
            c for c in self.connections if c.state in EVICTABLE and now > c.state_since + EVICT_AFTER_SECONDS
        ]
        standing.sort(
            key=lambda c: (not c.close_code, c.state_since)
        )  # those that are only heard out go first
        for connection in standing[: max(1, self.max_connections // 8)]:
            connection.evict()
        self.evict_timer = self.clock.at(now + EVICT_AFTER_SECONDS / 6, self.evict)

    def sweep(self) -> None:
        now = self.clock.now()
        self.clock.at(now + SWEEP_SECONDS, self.sweep)
        idle = IDLE_CROWDED_SECONDS if 2 * len(self.connections) > self.max_connections else IDLE_SECONDS
        for connection in list(self.connections):
            connection.enforce_limits(now, idle)

    def create_request(self, message: Message, came: float) -> Request:
        """The job that a request asks for, whose last byte came then; Refused says what is wrong with it."""
        if self.is_cut_short:
            raise RequestRejectedError(503, "stopping")
        fields = message.fields
        method, target = message.start_line
        rights = None if self.authorizer is None else self.authorizer(fields)
        way = None if self.router is None else self.router(message)
        if not message.repeated_fields.isdisjoint(_SINGLE_FIELDS):
            raise RequestRejectedError(400, "a field that may come once came twice")
        if target[:1] != b"/":
            raise RequestRejectedError(404, "path")
        first = target[1:].partition(b"?")[0].partition(b"/")[0]
        name = fields.get(b"x-service-class", first)
        if way is not None and way.class_name:
            name = way.class_name
        elif not first or name != first:
            raise RequestRejectedError(404, "path")
        known = self.classes.get(name.decode("latin-1"))
        if known is None:
            raise RequestRejectedError(404, "class")
        if rights is not None and known.name not in rights:
            raise RequestRejectedError(403, "rights", body=b"class not in rights")
        allowed = b"GET" if known.idempotency is SAFE else b"POST"
        if method != allowed:
            raise RequestRejectedError(405, "method", b"Allow: %s\r\n" % allowed)
        ident = fields.get(b"x-correlation-id", b"")
        if not _CORRELATION_ID.fullmatch(ident):
            raise RequestRejectedError(400, "no id")
        if ident.decode("latin-1") in self.exchange.open_requests:
            raise RequestRejectedError(409, "id of an open request")  # the nodes would take the two for one
        left = fields.get(b"x-time-left-ms")
        seconds = known.deadline
        if left is not None:
            if not _DIGITS.fullmatch(left):
                raise RequestRejectedError(400, "bad time")
            seconds = min(seconds, int(left) / 1000)  # no caller waits longer than its class
        elif way is not None and way.deadline is not None:
            seconds = min(seconds, way.deadline)
        head = b"%s %s HTTP/1.1\r\n%s" % (method, target, message.end_to_end_lines(b"x-time-left-ms"))
        make = Request if way is None else partial(way.create_request, fields)
        return make(
            correlation_id=ident.decode("latin-1"),
            class_name=name.decode("latin-1"),
            deadline=inf if message.is_open else came + seconds,
            content=self.forwarded_request(message, head),
            is_retry=fields.get(b"x-repeat") == b"1",
            time_limit=seconds,
        )

    def forwarded_request(self, message: Message, head: bytes) -> ForwardedRequest:
        """What is sent on."""
        body = message.body
        if message.is_open:
            rest = Body(self.body_memory, message.content_length, is_replayable=True)
            if message.content_length is None:
                return ForwardedRequest(head + b"Transfer-Encoding: chunked\r\n", b"", rest, is_chunked=True)
            return ForwardedRequest(b"%sContent-Length: %d\r\n" % (head, message.content_length), b"", rest)
        if body or message.start_line[0] != b"GET":
            head += b"Content-Length: %d\r\n" % len(body)
        return ForwardedRequest(head, body)

    # Shutdown, and out of service

    def idle_connections(self) -> list[CallerConnection]:
        """The connections between requests, that which has stood longest first."""
        found = [c for c in self.connections if c.state is CallerState.RESTING]
        found.sort(key=lambda c: c.state_since)
        return found

    def close_idle(self, keep: int, idle_seconds: float = 0.0) -> None:
        """Close connections between requests until no more than `keep` are left of those that stand now; none
        that has not stood for `rested` seconds, as its caller may ask again at any moment.
        """
        standing = self.idle_connections()
        before = self.clock.now() - idle_seconds
        for connection in standing[: max(0, len(standing) - keep)]:
            if connection.state_since <= before:
                self.end_after_read(connection, "stopping")

    def end_after_read(self, connection: CallerConnection, code: str) -> None:
        """End a connection that may be ended, if that is so by then: what the system holds is read first."""
        told = connection, code, connection.state_since, connection.parser.has_partial_message
        call_after_read(self.reactor, self.end_if_unchanged, *told)

    def end_if_unchanged(self, connection: CallerConnection, code: str, since: float, started: bool) -> None:
        still = connection.state_since == since and connection.parser.has_partial_message == started
        if still and connection.state in UNANSWERED:
            connection.end_unanswered(code)

    def stop_listening(self) -> None:
        """Stop listening. Who waits at the door comes in first: with it, they would be turned out unheard."""
        port, before = self.listener, -1
        if port is not None:
            while before < len(self.connections) < self.max_connections:
                before = len(self.connections)
                port.doRead()
            port.stopListening()
            self.listener = None

    def close_unanswered(self, is_patient: bool = False, is_late: bool = False) -> None:
        """Nobody else comes: close the connections that have no request under way, and those of callers that
        take too long to send one, unless `patient` with them, or to read its answer.
        """
        now = self.clock.now()
        for connection in list(self.connections):
            match connection.state:
                case CallerState.CLOSING | CallerState.SHUT:
                    if now > connection.state_since + (BRIEF_FLUSH_SECONDS if is_late else FLUSH_SECONDS):
                        connection.disconnect()
                case CallerState.RESTING:
                    self.end_after_read(connection, "stopping")
                case CallerState.READING | CallerState.UPLOADING as state:
                    if is_patient and state is CallerState.UPLOADING:
                        continue
                    if now > connection.state_since + (
                        PARTIAL_REQUEST_SECONDS
                        if connection.parser.has_partial_message
                        else FIRST_BYTE_SECONDS
                    ):
                        self.end_after_read(connection, "stopping")
