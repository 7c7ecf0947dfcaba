"""Idle connections to endpoints, and the connects for new ones."""

from __future__ import annotations

import asyncio
from collections import deque

from wheatring.balancer.interface import Outcome
from wheatring.sidecar.endpoint_connection import EndpointConnection
from wheatring.sidecar.exceptions import AttemptFailedError, ExecutionState

CONNECT_TIMEOUT_SECONDS = 0.6
MAX_IDLE_PER_ENDPOINT = 64


class EndpointConnectionPool:
    """Idle connections by endpoint, and the connects for new ones."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[EndpointConnection]] = {}

    async def acquire(self, endpoint: str, address: str, timeout_seconds: float) -> EndpointConnection:
        """Return an idle connection or a new one.

        Raises AttemptFailedError, and then nothing was sent.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        idle = self._idle.get(endpoint)
        while idle:
            connection = idle.pop()
            if connection.is_usable and connection.address == address and now < connection.idle_until:
                return connection
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
        return connection

    def release(self, connection: EndpointConnection) -> None:
        """Keep a connection whose response was read to its end, if it may be used again."""
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
