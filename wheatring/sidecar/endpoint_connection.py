"""Connections to endpoints: each carries one request at a time, and rests in a pool in between.

An answer is told by the id of its request, which every answer carries: one that answers another request is
read to its end and dropped, and one without an id is no answer to anybody. What a connection cannot be sure
of ends it.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from typing import Any

from wheatring.balancer.interface import Outcome
from wheatring.http1.parser import BadMessage, Message, Reader
from wheatring.sidecar.exceptions import AttemptFailedError, ExecutionState
from wheatring.sidecar.headers import KEEP_ALIVE, REQUEST_ID

CONNECT_TIMEOUT_SECONDS = 0.6
MAX_BODY_BYTES = 256 * 1024 * 1024
HIGH_WATER_BYTES = 256 * 1024  # bytes of an answer that may wait here for a slow client
DEFAULT_IDLE_SECONDS = 0.4  # how long a connection rests at most where the endpoint does not say
IDLE_TIMEOUT_FRACTION = 0.6  # of the time that it does say
MAX_IDLE_PER_ENDPOINT = 64  # connections to one endpoint

_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")


class EndpointConnection(asyncio.Protocol):
    """One connection to one endpoint."""

    def __init__(self, endpoint: str, address: str) -> None:
        self.endpoint = endpoint
        self.address = address
        self._reader = Reader(responses=True, max_body=MAX_BODY_BYTES, hold=0)
        self._transport: Any = None
        self._waiter: asyncio.Future[None] | None = None
        self._lost = False
        self._orderly = False
        self._busy = False
        self._paused = False
        self._answered = False  # some byte of an answer has come for the present request
        self.is_reusable = False
        self.idle_until = 0.0

    # Called by the event loop

    def connection_made(self, transport: Any) -> None:
        """The connection is up."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Bytes of an answer; on a connection that rests they answer nothing, and end it."""
        if not self._busy:
            self.abort()
            return
        self._answered = True
        self._reader.feed(data)
        if len(self._reader.buffer) > HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """The endpoint has closed in good order."""
        self._orderly = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended."""
        self._lost = True
        self._wake()

    # For whoever sends a request

    @property
    def is_usable(self) -> bool:
        return (
            not self._lost
            and not self._orderly
            and self._transport is not None
            and not self._transport.is_closing()
        )

    async def send(self, data: bytes, request_id: bytes) -> Message:
        """Write a request and wait for the head of its answer. Raises AttemptFailedError."""
        self._busy = True
        self._answered = False
        self.is_reusable = False
        self._transport.write(data)
        while True:
            message = await self._next_head()
            answered_id = message.fields.get(REQUEST_ID, b"")
            if answered_id == request_id:
                return message
            if not answered_id:
                raise self._failed("an answer that names no request")
            await self._skip(message)

    async def _next_head(self) -> Message:
        reader = self._reader
        while True:
            try:
                message = reader.next()
                while message is not None and message.first[0].startswith(b"1"):
                    message = reader.next()
                if message is None and reader.message is not None:
                    message = reader.begin()
            except BadMessage as bad:
                raise self._failed(f"no answer: {bad}") from bad
            if message is not None:
                return message
            await self._more_bytes()

    async def _skip(self, message: Message) -> None:
        """Read an answer to another request to its end."""
        whole = not message.open
        while not whole:
            _, whole = await self.read_body(message)

    async def read_body(self, message: Message) -> tuple[bytes, bool]:
        """More of an open answer's body, and whether that was all. Raises AttemptFailedError where it breaks
        off.
        """
        while True:
            try:
                data, whole = self._reader.more()
            except BadMessage as bad:
                raise self._failed(f"broken answer: {bad}") from bad
            if data or whole:
                return data, whole
            if self._lost and self._orderly and self._reader.end() is not None:
                return b"", True  # a body without a length lasts until the close
            await self._more_bytes()

    async def _more_bytes(self) -> None:
        if self._lost:
            raise self._failed("closed" if self._orderly else "reset")
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _failed(self, reason: str) -> AttemptFailedError:
        self.abort()
        return AttemptFailedError(ExecutionState.MAY_HAVE_RUN, Outcome.RESET, reason)

    def finish_response(self, message: Message, now: float) -> None:
        """The answer has been read whole: the connection may rest."""
        self._busy = False
        clean = message.keep_alive and not self._reader.started and self.is_usable
        self.is_reusable = clean
        if not clean:
            self.abort()
            return
        told = _TIMEOUT.search(message.fields.get(KEEP_ALIVE, b""))
        rest = int(told.group(1)) * IDLE_TIMEOUT_FRACTION if told is not None else DEFAULT_IDLE_SECONDS
        self.idle_until = now + rest

    def abort(self) -> None:
        """End the connection at once."""
        self._lost = True
        if self._transport is not None:
            self._transport.abort()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class EndpointConnectionPool:
    """Resting connections by endpoint, and the connects for new ones."""

    def __init__(self) -> None:
        self._resting: dict[str, deque[EndpointConnection]] = {}

    async def acquire(self, endpoint: str, address: str, seconds: float) -> EndpointConnection:
        """A resting connection or a new one. Raises AttemptFailedError, and then nothing was sent."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        resting = self._resting.get(endpoint)
        while resting:
            connection = resting.pop()
            if connection.is_usable and connection.address == address and now < connection.idle_until:
                return connection
            connection.abort()
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(min(seconds, CONNECT_TIMEOUT_SECONDS)):
                _, connection = await loop.create_connection(
                    lambda: EndpointConnection(endpoint, address), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise AttemptFailedError(
                ExecutionState.NOT_RUN, Outcome.CONNECT_FAILED, f"connect: {error!r}"
            ) from error
        return connection

    def release(self, connection: EndpointConnection) -> None:
        """A connection whose answer was read whole."""
        if not connection.is_reusable:
            return
        resting = self._resting.setdefault(connection.endpoint, deque())
        resting.append(connection)
        if len(resting) > MAX_IDLE_PER_ENDPOINT:
            resting.popleft().abort()

    def retain_only(self, endpoints: set[str]) -> None:
        """Close what rests for endpoints that are gone or leaving."""
        for endpoint in [endpoint for endpoint in self._resting if endpoint not in endpoints]:
            for connection in self._resting.pop(endpoint):
                connection.abort()

    def close_expired(self, now: float) -> None:
        """Close what has rested for too long."""
        for endpoint, resting in list(self._resting.items()):
            while resting and now >= resting[0].idle_until:
                resting.popleft().abort()
            if not resting:
                del self._resting[endpoint]
