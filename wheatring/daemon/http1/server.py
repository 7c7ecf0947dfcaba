"""The server for callers: accepts connections, and submits their requests to the exchange."""

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

# States in which a connection may be evicted in favour of a waiting caller.
EVICTABLE = frozenset((CallerState.IDLE, CallerState.READING, CallerState.CLOSING, CallerState.SHUT))
# States in which nothing has been written for the current request.
UNANSWERED = frozenset((CallerState.IDLE, CallerState.READING, CallerState.UPLOADING))

SWEEP_SECONDS = 0.25  # interval of the checks for idle and slow connections
IDLE_TIMEOUT_SECONDS = 20.0  # for a connection between requests
# The same while more than half of the slots are in use. This is the idle time that callers can rely on.
CROWDED_IDLE_TIMEOUT_SECONDS = 2.0
# Time without a request after which a connection may be evicted when all slots are in use: long enough for a
# new caller to send its request, short enough that many silent connections can't lock out other callers.
EVICT_AFTER_SECONDS = 0.3
EVICT_CHECKS_PER_PERIOD = 6  # checks in EVICT_AFTER_SECONDS
EVICT_DIVISOR = 8  # at most 1/8 of all slots are freed by one check
BACKLOG = 511  # length of the accept queue
# Time limits during a shutdown: for a connected caller to begin its request, for a partial request to be
# completed, and for a response to be read.
FIRST_BYTE_TIMEOUT_SECONDS = 0.1
PARTIAL_REQUEST_TIMEOUT_SECONDS = 0.3
FLUSH_TIMEOUT_SECONDS = 0.5
FINAL_FLUSH_TIMEOUT_SECONDS = 0.1  # for a response to be read, shortly before SIGKILL is expected


class Server(ServerFactory):
    """The server for callers of one process.

    Attributes
    ----------
    connections : dict[CallerConnection, None]
        In order of arrival. A set is ordered by memory address, which would make simulation runs
        irreproducible.
    is_out_of_service : bool
        The health check fails, so that callers use other sidecars.
    rejects_requests : bool
        Open requests have been cancelled, and new requests are rejected.
    last_connect_at : float
        Time of the last new connection.
    authorizer : Authorizer | None
        Returns the classes that a request's header fields permit; raises RequestRejectedError.
    router : Router | None
        Returns a request's route; raises RequestRejectedError.
    listener : Any
        The listening socket; None if there is none.
    is_full : bool
        All slots are in use, and accepting is paused.
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
        # A simulated reactor provides both; its listener also respects `free_slots`.
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
        self.rejects_requests = False
        self.last_connect_at = -inf
        self.authorizer: Authorizer | None = None
        self.router: Router | None = None
        self.listener: Any = None
        self.is_full = False
        self.evict_timer: Timer | None = None  # at most one is pending, however often the server fills up
        self.sweep()

    def buildProtocol(self, addr: object) -> CallerConnection:  # noqa: ARG002, N802 - Twisted's signature
        """Return the protocol for a new connection."""
        return CallerConnection(self)

    def listen(self, host: str, port: int, is_shared: bool = False) -> int:
        """Listen for callers and return the port; `is_shared` allows another process at the same address."""
        open_socket = open_shared_listener if is_shared else self.open_listener
        self.listener = open_socket(port, self, BACKLOG, host, self.reactor)
        bound_port: int = self.listener.getHost().port
        return bound_port

    @property
    def closes_after_response(self) -> bool:
        """Whether connections are closed after their next response."""
        return self.is_stopping or self.is_out_of_service

    # Connection slots

    def set_max_connections(self, max_connections: int) -> None:
        """Change the maximum number of connections."""
        self.max_connections = max_connections
        self._resume_accepting()

    @property
    def free_slots(self) -> int:
        """Number of further connections that can be accepted."""
        return self.max_connections - len(self.connections)

    def add(self, connection: CallerConnection) -> None:
        """Register a new connection; pause accepting if it takes the last slot.

        The process would run out of file descriptors otherwise. Further callers wait in the accept queue.
        """
        self.connections[connection] = None
        self.last_connect_at = connection.state_since
        if len(self.connections) >= self.max_connections and not self.is_full and self.listener is not None:
            self.is_full = True
            self.listener.stopReading()
            if self.evict_timer is None:
                self.evict()

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self.connections.pop(connection, None)
        self._resume_accepting()

    def _resume_accepting(self) -> None:
        if self.is_full and len(self.connections) < self.max_connections:
            self.is_full = False
            if self.listener is not None:
                self.listener.startReading()

    def evict(self) -> None:
        """Evict the connections without a request for the longest time, as long as all slots are in use."""
        self.evict_timer = None
        if not self.is_full:
            return
        now = self.clock.now()
        candidates = [each for each in self.connections if each.state in EVICTABLE]
        candidates = [each for each in candidates if now > each.state_since + EVICT_AFTER_SECONDS]
        # Connections that only wait for the caller to close are evicted first.
        candidates.sort(key=lambda connection: (not connection.close_code, connection.state_since))
        for connection in candidates[: max(1, self.max_connections // EVICT_DIVISOR)]:
            connection.evict()
        self.evict_timer = self.clock.at(now + EVICT_AFTER_SECONDS / EVICT_CHECKS_PER_PERIOD, self.evict)

    def sweep(self) -> None:
        """Close connections that exceed their time limits, now and periodically."""
        now = self.clock.now()
        self.clock.at(now + SWEEP_SECONDS, self.sweep)
        is_crowded = 2 * len(self.connections) > self.max_connections
        idle_timeout = CROWDED_IDLE_TIMEOUT_SECONDS if is_crowded else IDLE_TIMEOUT_SECONDS
        for connection in list(self.connections):
            connection.enforce_limits(now, idle_timeout)

    # Requests

    def create_request(self, message: Message, arrived_at: float) -> Request:
        """Return the request for a parsed message, whose last byte arrived at `arrived_at`.

        Raises
        ------
        RequestRejectedError
            The message is not a valid request, or the process is shutting down.
        """
        if self.rejects_requests:
            raise RequestRejectedError(503, "stopping")
        return self.request_builder.build(message, arrived_at, self.authorizer, self.router)

    # Shutdown and out of service

    def idle_connections(self) -> list[CallerConnection]:
        """Return the connections between requests, longest idle first."""
        idle = [each for each in self.connections if each.state is CallerState.IDLE]
        idle.sort(key=lambda connection: connection.state_since)
        return idle

    def close_idle(self, keep: int, min_idle_seconds: float = 0.0) -> None:
        """Close idle connections until at most `keep` of the current ones are left.

        Connections that have been idle for less than `min_idle_seconds` are kept, as their callers may be
        about to send the next request.
        """
        idle = self.idle_connections()
        latest_idle_since = self.clock.now() - min_idle_seconds
        for connection in idle[: max(0, len(idle) - keep)]:
            if connection.state_since <= latest_idle_since:
                self.close_after_read(connection, "stopping")

    def close_after_read(self, connection: CallerConnection, code: str) -> None:
        """Close a connection after the kernel's receive buffer was read, unless a request has arrived."""
        state_since, is_partial = connection.state_since, connection.parser.has_partial_message
        call_after_read(self.reactor, self.close_if_unchanged, connection, code, state_since, is_partial)

    def close_if_unchanged(
        self, connection: CallerConnection, code: str, state_since: float, is_partial: bool
    ) -> None:
        """Close a connection that has received nothing meanwhile and has no response in progress."""
        is_unchanged = (
            connection.state_since == state_since and connection.parser.has_partial_message == is_partial
        )
        if is_unchanged and connection.state in UNANSWERED:
            connection.close_unanswered(code)

    def stop_listening(self) -> None:
        """Accept the queued connections, which the close would reset, and close the listening socket."""
        listener, previous_count = self.listener, -1
        if listener is not None:
            while previous_count < len(self.connections) < self.max_connections:
                previous_count = len(self.connections)
                listener.doRead()
            listener.stopListening()
            self.listener = None

    def close_unanswered(self, allow_uploads: bool = False, is_final: bool = False) -> None:
        """Close the connections without a request in flight, after the listening socket was closed.

        A caller that sends a request or reads a response too slowly is disconnected as well. `allow_uploads`:
        uploads of large requests are left alone. `is_final`: the time to read a response is shorter.
        """
        now = self.clock.now()
        flush_timeout = FINAL_FLUSH_TIMEOUT_SECONDS if is_final else FLUSH_TIMEOUT_SECONDS
        for connection in list(self.connections):
            match connection.state:
                case CallerState.CLOSING | CallerState.SHUT:
                    if now > connection.state_since + flush_timeout:
                        connection.disconnect()
                case CallerState.IDLE:
                    self.close_after_read(connection, "stopping")
                case CallerState.READING | CallerState.UPLOADING as state:
                    if allow_uploads and state is CallerState.UPLOADING:
                        continue
                    has_begun = connection.parser.has_partial_message
                    limit = PARTIAL_REQUEST_TIMEOUT_SECONDS if has_begun else FIRST_BYTE_TIMEOUT_SECONDS
                    if now > connection.state_since + limit:
                        self.close_after_read(connection, "stopping")
