"""A pool of connections to endpoints, each of which is used by one request at a time."""

from __future__ import annotations

import asyncio
from collections import deque

from wheatring.balancer.interface import Outcome
from wheatring.common.http_parser import Message
from wheatring.tier.sidecar.endpoint_connection import EndpointConnection
from wheatring.tier.sidecar.exceptions import AttemptFailedError, ConnectionReturnedError, ExecutionState

CONNECT_TIMEOUT_SECONDS = 0.6
MAX_IDLE_PER_ENDPOINT = 64


class AcquiredConnection:
    """One request's exclusive use of a connection, which ends with `release` or `abort`.

    A returned connection may already carry another request's response, so all methods but `abort` raise
    ConnectionReturnedError from then on.
    """

    def __init__(self, connection: EndpointConnection, pool: EndpointConnectionPool) -> None:
        self._connection: EndpointConnection | None = connection  # None after its return
        self._pool = pool

    def _owned_connection(self) -> EndpointConnection:
        if self._connection is None:
            raise ConnectionReturnedError("connection has already been returned to the pool")
        return self._connection

    async def send(self, data: bytes, request_id: bytes) -> Message:
        """Write a request and return the head of its response. Raises AttemptFailedError."""
        return await self._owned_connection().send(data, request_id)

    async def read_body(self) -> tuple[bytes, bool]:
        """Return the next part of the body, and whether it is complete. Raises AttemptFailedError."""
        return await self._owned_connection().read_body()

    def release(self, message: Message) -> None:
        """Return the connection to the pool after its response, `message`, was read completely.

        Raises
        ------
        ConnectionReturnedError
            The connection was returned before; a second return would let two requests share it.
        """
        connection = self._owned_connection()
        self._connection = None
        connection.finish_response(message, asyncio.get_running_loop().time())
        self._pool.add_idle(connection)

    def abort(self) -> None:
        """Abort the connection; has no effect if it was already returned."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()


class EndpointConnectionPool:
    """Keeps idle connections by endpoint, and opens new ones."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[EndpointConnection]] = {}

    async def acquire(self, endpoint: str, address: str, timeout_seconds: float) -> AcquiredConnection:
        """Return an idle connection or a new one for exclusive use.

        Raises AttemptFailedError if the connect fails; nothing has been sent then.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        idle = self._idle.get(endpoint)
        while idle:
            connection = idle.pop()
            if connection.is_usable and connection.address == address and now < connection.idle_until:
                return AcquiredConnection(connection, self)
            connection.abort()
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(min(timeout_seconds, CONNECT_TIMEOUT_SECONDS)):
                _, connection = await loop.create_connection(
                    lambda: EndpointConnection(endpoint, address), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise AttemptFailedError(
                ExecutionState.NOT_RUN, Outcome.CONNECT_FAILED, f"connect failed: {error!r}"
            ) from error
        return AcquiredConnection(connection, self)

    def add_idle(self, connection: EndpointConnection) -> None:
        """Add a connection that is not in use to the idle ones, if it can be reused."""
        if not connection.is_reusable:
            return
        idle = self._idle.setdefault(connection.endpoint, deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ENDPOINT:
            idle.popleft().abort()

    def retain_only(self, endpoints: set[str]) -> None:
        """Close the idle connections to all other endpoints, which have been removed or are draining."""
        for endpoint in [endpoint for endpoint in self._idle if endpoint not in endpoints]:
            for connection in self._idle.pop(endpoint):
                connection.abort()

    def close_expired(self, now: float) -> None:
        """Close the connections whose idle time-out has passed."""
        for endpoint, idle in list(self._idle.items()):
            while idle and now >= idle[0].idle_until:
                idle.popleft().abort()
            if not idle:
                del self._idle[endpoint]
