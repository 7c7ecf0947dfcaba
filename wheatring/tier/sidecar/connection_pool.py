"""Idle connections to endpoints, the connects for new ones, and one request's exclusive use of each."""

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
    """One request's exclusive use of a connection, which it returns once: by `release` or by `abort`.

    A connection that was returned may carry another request's response, so all but `abort` raises
    ConnectionReturnedError from then on.
    """

    def __init__(self, connection: EndpointConnection, pool: EndpointConnectionPool) -> None:
        self._connection: EndpointConnection | None = connection  # None once it was returned
        self._pool = pool

    def _in_use(self) -> EndpointConnection:
        if self._connection is None:
            raise ConnectionReturnedError("the connection was returned to its pool")
        return self._connection

    async def send(self, data: bytes, request_id: bytes) -> Message:
        """Write a request and return the head of its response. Raises AttemptFailedError."""
        return await self._in_use().send(data, request_id)

    async def read_body(self) -> tuple[bytes, bool]:
        """Return more of the response's body, and whether that was all. Raises AttemptFailedError."""
        return await self._in_use().read_body()

    def release(self, message: Message) -> None:
        """Return a connection whose response, `message`, was read to its end.

        Raises
        ------
        ConnectionReturnedError
            It was returned before: a second owner would share it with the next request.
        """
        connection = self._in_use()
        self._connection = None
        connection.finish_response(message, asyncio.get_running_loop().time())
        self._pool.keep(connection)

    def abort(self) -> None:
        """End a connection that was not returned yet; without effect on one that was."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()


class EndpointConnectionPool:
    """Idle connections by endpoint, and the connects for new ones."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[EndpointConnection]] = {}

    async def acquire(self, endpoint: str, address: str, timeout_seconds: float) -> AcquiredConnection:
        """Return the exclusive use of an idle connection or of a new one.

        Raises AttemptFailedError, and then nothing was sent.
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
                ExecutionState.NOT_RUN, Outcome.CONNECT_FAILED, f"connect: {error!r}"
            ) from error
        return AcquiredConnection(connection, self)

    def keep(self, connection: EndpointConnection) -> None:
        """Keep a connection that nobody uses for a next request, if it may carry one."""
        if not connection.is_reusable:
            return
        idle = self._idle.setdefault(connection.endpoint, deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ENDPOINT:
            idle.popleft().abort()

    def retain_only(self, endpoints: set[str]) -> None:
        """Close the idle connections to all other endpoints, which are gone or draining."""
        for endpoint in [endpoint for endpoint in self._idle if endpoint not in endpoints]:
            for connection in self._idle.pop(endpoint):
                connection.abort()

    def close_expired(self, now: float) -> None:
        """Close the connections that have been idle for too long."""
        for endpoint, idle in list(self._idle.items()):
            while idle and now >= idle[0].idle_until:
                idle.popleft().abort()
            if not idle:
                del self._idle[endpoint]
