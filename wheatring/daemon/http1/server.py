"""The server side: the connections of callers, whose requests go to the exchange."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import ServerFactory

from wheatring.balancer.interface import RequestClass
from wheatring.common.body import BodyMemory
from wheatring.common.http_parser import Message
from wheatring.daemon.core.clock import Clock, Timer
from wheatring.daemon.core.exceptions import RequestRejectedError
from wheatring.daemon.core.exchange import Exchange, Request
from wheatring.daemon.http1.caller_connection import CallerConnection
from wheatring.daemon.http1.caller_state import CallerState
from wheatring.daemon.http1.connection import call_after_read, has_hung_up
from wheatring.daemon.http1.listener import open_listener, open_shared_listener
from wheatring.daemon.http1.request_builder import RequestBuilder

if TYPE_CHECKING:
    from wheatring.daemon.http1.request_builder import Authorizer, Router

# The states in which a connection may lose its place to a caller that waits for one.
EVICTABLE = frozenset((CallerState.RESTING, CallerState.READING, CallerState.CLOSING, CallerState.SHUT))
# Nothing has been written for the present request.
UNANSWERED = frozenset((CallerState.RESTING, CallerState.READING, CallerState.UPLOADING))

SWEEP_SECONDS = 0.25  # between two checks for callers that keep a connection for nothing
IDLE_SECONDS = 20.0  # after which a connection between requests is closed
IDLE_CROWDED_SECONDS = 2.0  # the same once half of the places are taken: a caller may rely on no more
# A connection keeps its place so long without a request when all places are taken. A caller that has just
# connected can write its request in it, and a crowd that sends nothing can't shut the others out.
EVICT_AFTER_SECONDS = 0.3
EVICT_CHECKS = 6  # in that time
EVICT_FRACTION = 8  # one in so many places is freed at once
BACKLOG = 511  # callers that may wait to be accepted
# In a shutdown: within which a caller that has connected begins its request, within which a request that has
# begun is complete, and within which an answer is read.
FIRST_BYTE_SECONDS = 0.1
PARTIAL_REQUEST_SECONDS = 0.3
FLUSH_SECONDS = 0.5
BRIEF_FLUSH_SECONDS = 0.1  # the last, once SIGKILL is near


class Server(ServerFactory):
    """The callers' side of one process.

    Attributes
    ----------
    connections : dict[CallerConnection, None]
        In the order in which they came. In an order of memory's, two runs of one simulated day would differ.
    is_out_of_service : bool
        Callers are sent elsewhere.
    is_cut_short : bool
        The open requests have been given up, and nothing more is begun.
    last_connect_at : float
        The instant of the last new connection.
    authorizer : Authorizer | None
        Returns the classes that a request's fields allow; raises RequestRejectedError.
    router : Router | None
        Returns a request's route; raises RequestRejectedError.
    listener : Any
        The listening socket, while there is one.
    is_full : bool
        All places are taken, and nobody is accepted.
    """

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
        # A simulated reactor does both itself; its listener keeps to `free_places` as well.
        self.open_listener: Callable[..., Any] = getattr(reactor, "open_listener", open_listener)
        self.has_hung_up: Callable[[Any], bool] = getattr(reactor, "has_hung_up", has_hung_up)
        self.reactor = reactor
        self.clock = clock
        self.exchange = exchange
        self.classes = {each.name: each for each in classes}
        self.max_connections = max_connections
        self.body_memory = body_memory
        self.request_builder = RequestBuilder(exchange, self.classes, body_memory)
        self.connections: dict[CallerConnection, None] = {}
        self.is_stopping = False
        self.is_out_of_service = False
        self.is_cut_short = False
        self.last_connect_at = -inf
        self.authorizer: Authorizer | None = None
        self.router: Router | None = None
        self.listener: Any = None
        self.is_full = False
        self.evict_timer: Timer | None = None  # one at most, or a crowd that comes and goes would start many
        self.sweep()

    def buildProtocol(self, addr: object) -> CallerConnection:  # noqa: ARG002, N802 - Twisted's signature
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def listen(self, host: str, port: int, is_shared: bool = False) -> int:
        """Listen for callers, beside another process at the same address if `is_shared`; return the port."""
        open_socket = open_shared_listener if is_shared else self.open_listener
        self.listener = open_socket(port, self, BACKLOG, host, self.reactor)
        bound: int = self.listener.getHost().port
        return bound

    @property
    def is_ending(self) -> bool:
        """Whether each answer is the last one on its connection."""
        return self.is_stopping or self.is_out_of_service

    # Places

    def set_max_connections(self, max_connections: int) -> None:
        """Have places for so many callers from now on."""
        self.max_connections = max_connections
        self._resume_accepting()

    @property
    def free_places(self) -> int:
        """How many more callers may connect."""
        return self.max_connections - len(self.connections)

    def add(self, connection: CallerConnection) -> None:
        """Take a new connection; with the last place, accept no more.

        Beyond that the process would run out of descriptors. Callers wait in the listener's backlog.
        """
        self.connections[connection] = None
        self.last_connect_at = connection.state_since
        if len(self.connections) >= self.max_connections and not self.is_full and self.listener is not None:
            self.is_full = True
            self.listener.stopReading()
            if self.evict_timer is None:
                self.evict()

    def remove(self, connection: CallerConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.pop(connection, None)
        self._resume_accepting()

    def _resume_accepting(self) -> None:
        if self.is_full and len(self.connections) < self.max_connections:
            self.is_full = False
            if self.listener is not None:
                self.listener.startReading()

    def evict(self) -> None:
        """While all places are taken, free those of connections that have had no request for longest."""
        self.evict_timer = None
        if not self.is_full:
            return
        now = self.clock.now()
        candidates = [each for each in self.connections if each.state in EVICTABLE]
        candidates = [each for each in candidates if now > each.state_since + EVICT_AFTER_SECONDS]
        # Those that only wait for their caller to close go first.
        candidates.sort(key=lambda connection: (not connection.close_code, connection.state_since))
        for connection in candidates[: max(1, self.max_connections // EVICT_FRACTION)]:
            connection.evict()
        self.evict_timer = self.clock.at(now + EVICT_AFTER_SECONDS / EVICT_CHECKS, self.evict)

    def sweep(self) -> None:
        """End connections that are kept for nothing, now and from time to time."""
        now = self.clock.now()
        self.clock.at(now + SWEEP_SECONDS, self.sweep)
        is_crowded = 2 * len(self.connections) > self.max_connections
        idle_seconds = IDLE_CROWDED_SECONDS if is_crowded else IDLE_SECONDS
        for connection in list(self.connections):
            connection.enforce_limits(now, idle_seconds)

    # Requests

    def create_request(self, message: Message, arrived_at: float) -> Request:
        """Return the request that a message asks for, whose last byte came at `arrived_at`.

        Raises
        ------
        RequestRejectedError
            It asks for none, or none is taken any more.
        """
        if self.is_cut_short:
            raise RequestRejectedError(503, "stopping")
        return self.request_builder.build(message, arrived_at, self.authorizer, self.router)

    # Shutdown, and out of service

    def idle_connections(self) -> list[CallerConnection]:
        """Return the connections between requests, the one idle for longest first."""
        idle = [each for each in self.connections if each.state is CallerState.RESTING]
        idle.sort(key=lambda connection: connection.state_since)
        return idle

    def close_idle(self, keep: int, idle_seconds: float = 0.0) -> None:
        """Close connections between requests until no more than `keep` are left of the present ones.

        None is closed that has been idle for less than `idle_seconds`, as its caller may send at any moment.
        """
        idle = self.idle_connections()
        before = self.clock.now() - idle_seconds
        for connection in idle[: max(0, len(idle) - keep)]:
            if connection.state_since <= before:
                self.end_after_read(connection, "stopping")

    def end_after_read(self, connection: CallerConnection, code: str) -> None:
        """End a connection once all has been read that the system holds, if it may still be ended then."""
        state_since, is_partial = connection.state_since, connection.parser.has_partial_message
        call_after_read(self.reactor, self.end_if_unchanged, connection, code, state_since, is_partial)

    def end_if_unchanged(
        self, connection: CallerConnection, code: str, state_since: float, is_partial: bool
    ) -> None:
        """End a connection that has read nothing since, and to which no answer is due."""
        is_unchanged = (
            connection.state_since == state_since and connection.parser.has_partial_message == is_partial
        )
        if is_unchanged and connection.state in UNANSWERED:
            connection.end_unanswered(code)

    def stop_listening(self) -> None:
        """Accept those that wait, and close the listening socket: with it, they would be reset."""
        listener, before = self.listener, -1
        if listener is not None:
            while before < len(self.connections) < self.max_connections:
                before = len(self.connections)
                listener.doRead()
            listener.stopListening()
            self.listener = None

    def close_unanswered(self, is_patient: bool = False, is_final: bool = False) -> None:
        """Close the connections without a request under way, as no caller can connect any more.

        Also those of callers that take too long to send a request, unless `is_patient` with large ones, or to
        read its answer: shorter, if `is_final`.
        """
        now = self.clock.now()
        flush_seconds = BRIEF_FLUSH_SECONDS if is_final else FLUSH_SECONDS
        for connection in list(self.connections):
            match connection.state:
                case CallerState.CLOSING | CallerState.SHUT:
                    if now > connection.state_since + flush_seconds:
                        connection.disconnect()
                case CallerState.RESTING:
                    self.end_after_read(connection, "stopping")
                case CallerState.READING | CallerState.UPLOADING as state:
                    if is_patient and state is CallerState.UPLOADING:
                        continue
                    has_begun = connection.parser.has_partial_message
                    limit = PARTIAL_REQUEST_SECONDS if has_begun else FIRST_BYTE_SECONDS
                    if now > connection.state_since + limit:
                        self.end_after_read(connection, "stopping")
