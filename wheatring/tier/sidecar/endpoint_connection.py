"""A connection to an endpoint, which carries one request at a time and is idle in between.

Every response carries the id of its request. A response to another request is read completely and discarded;
a response without an id cannot be attributed to any request. If the state of a connection is uncertain, the
connection is aborted.
"""

from __future__ import annotations

import asyncio
import re
from fcntl import ioctl
from struct import Struct
from termios import TIOCOUTQ
from typing import Any

from wheatring.balancer.interface import Outcome
from wheatring.common.exceptions import MalformedMessageError
from wheatring.common.http_parser import Message, MessageParser
from wheatring.tier.sidecar.exceptions import AttemptFailedError, ExecutionState
from wheatring.tier.sidecar.headers import KEEP_ALIVE, REQUEST_ID

MAX_BODY_BYTES = 256 * 1024 * 1024
HIGH_WATER_BYTES = 256 * 1024  # Reading pauses when this much is buffered because of a slow client.
DEFAULT_IDLE_SECONDS = 0.4  # Applies if the endpoint states no keep-alive time-out.
# Fraction of the endpoint's keep-alive time-out; beyond it, a request could race with the endpoint's close.
IDLE_TIMEOUT_FRACTION = 0.6

_INT = Struct("i")
_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")


def has_undelivered_bytes(transport: Any) -> bool:
    """Whether a transport, or its socket if it has one, holds bytes not yet acknowledged by the peer."""
    if transport.get_write_buffer_size():
        return True
    connection = transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return False
    try:
        queued = ioctl(connection.fileno(), TIOCOUTQ, bytes(_INT.size))
    except OSError:  # The file is no socket, or the platform does not support the query.
        return False
    return bool(_INT.unpack(queued)[0])


class EndpointConnection(asyncio.Protocol):
    """One connection to one endpoint."""

    def __init__(self, endpoint: str, address: str) -> None:
        self.endpoint = endpoint
        self.address = address
        self._parser = MessageParser(responses=True, max_body_bytes=MAX_BODY_BYTES, buffered_body_bytes=0)
        self._transport: Any = None
        self._waiter: asyncio.Future[None] | None = None
        self._is_lost = False
        self._is_closed_by_peer = False
        self._is_busy = False
        self._is_paused = False
        self.is_reusable = False
        self.idle_until = 0.0  # seconds of the event loop's clock

    # Called by the event loop

    def connection_made(self, transport: Any) -> None:
        """Store the transport of the established connection."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response; on an idle connection no response is expected, and it is aborted."""
        if not self._is_busy:
            self.abort()
            return
        self._parser.feed(data)
        if len(self._parser.buffer) > HIGH_WATER_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record that the endpoint has closed the connection in an orderly way."""
        self._is_closed_by_peer = True
        return False

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Wake the request that waits for bytes, as no more will arrive."""
        self._is_lost = True
        self._wake()

    # Called by the sender of a request

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent."""
        return (
            not self._is_lost
            and not self._is_closed_by_peer
            and self._transport is not None
            and not self._transport.is_closing()
        )

    async def send(self, data: bytes, request_id: bytes) -> Message:
        """Write a request and return the head of its response. Raises AttemptFailedError."""
        self._is_busy = True
        self.is_reusable = False
        self._transport.write(data)
        while True:
            message = await self._read_head()
            response_id = message.fields.get(REQUEST_ID, b"")
            if response_id == request_id:
                return message
            if not response_id:
                raise self._abort_attempt("response without a request id")
            await self._discard_body(message)

    async def _read_head(self) -> Message:
        parser = self._parser
        while True:
            try:
                message = parser.next_message()
                while message is not None and message.start_line[0].startswith(b"1"):
                    message = parser.next_message()
                if message is None and parser.message is not None:
                    message = parser.open_message()
            except MalformedMessageError as error:
                raise self._abort_attempt(f"malformed response head: {error}") from error
            if message is not None:
                return message
            await self._wait_for_bytes()

    async def _discard_body(self, message: Message) -> None:
        """Read the response to another request to its end, and discard it."""
        is_complete = not message.is_open
        while not is_complete:
            _, is_complete = await self.read_body()

    async def read_body(self) -> tuple[bytes, bool]:
        """Return the next part of an open response's body, and whether the body is complete.

        Raises AttemptFailedError if the response breaks off.
        """
        while True:
            try:
                data, is_complete = self._parser.read_body()
            except MalformedMessageError as error:
                raise self._abort_attempt(f"malformed response body: {error}") from error
            if data or is_complete:
                return data, is_complete
            if self._is_lost and self._is_closed_by_peer and self._parser.end_of_input() is not None:
                return b"", True  # A body without a length ends at an orderly close.
            await self._wait_for_bytes()

    async def _wait_for_bytes(self) -> None:
        if self._is_lost:
            raise self._abort_attempt("connection closed" if self._is_closed_by_peer else "connection reset")
        if self._is_paused:
            self._is_paused = False
            self._transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _abort_attempt(self, reason: str) -> AttemptFailedError:
        self.abort()
        return AttemptFailedError(ExecutionState.MAY_HAVE_RUN, Outcome.RESET, reason)

    def finish_response(self, message: Message, now: float) -> None:
        """Record that the response was read completely, and decide whether the connection can be reused.

        It cannot if the endpoint responded before it had read the whole request: the next request would be
        queued behind the rest of that body until the endpoint reads it.
        """
        self._is_busy = False
        is_reusable = message.keep_alive and not self._parser.has_partial_message and self.is_usable
        is_reusable = is_reusable and not has_undelivered_bytes(self._transport)
        self.is_reusable = is_reusable
        if not is_reusable:
            self.abort()
            return
        timeout = _TIMEOUT.search(message.fields.get(KEEP_ALIVE, b""))
        idle_seconds = (
            int(timeout.group(1)) * IDLE_TIMEOUT_FRACTION if timeout is not None else DEFAULT_IDLE_SECONDS
        )
        self.idle_until = now + idle_seconds

    def abort(self) -> None:
        """Close the connection immediately, without sending what is buffered."""
        self._is_lost = True
        if self._transport is not None:
            self._transport.abort()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
