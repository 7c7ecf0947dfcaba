"""One connection to an endpoint: it carries one request at a time and is idle in between.

A response is matched by the id of its request, which every response carries: one to another request is read
to its end and dropped, and one without an id is no response to anybody. What a connection cannot be sure of
ends it.
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
HIGH_WATER_BYTES = 256 * 1024  # of a response that may be buffered here for a slow client
DEFAULT_IDLE_SECONDS = 0.4  # for which a connection is kept where the endpoint does not say
IDLE_TIMEOUT_FRACTION = 0.6  # of the endpoint's own time-out: closer to it a request may meet the close

_INT = Struct("i")
_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")


def has_undelivered_bytes(transport: Any) -> bool:
    """Whether a transport, or its socket if it has one, holds bytes that the peer has not taken yet."""
    if transport.get_write_buffer_size():
        return True
    connection = transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return False
    try:
        queued = ioctl(connection.fileno(), TIOCOUTQ, bytes(_INT.size))
    except OSError:  # not a system that can tell
        return False
    return bool(_INT.unpack(queued)[0])


class EndpointConnection(asyncio.Protocol):
    """One connection to one endpoint."""

    def __init__(self, endpoint: str, address: str) -> None:
        self.endpoint = endpoint
        self.address = address
        self._reader = MessageParser(responses=True, max_body_bytes=MAX_BODY_BYTES, buffered_body_bytes=0)
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
        """Keep the transport of a connection that is up."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Take bytes of a response; on an idle connection they answer nothing, and end it."""
        if not self._is_busy:
            self.abort()
            return
        self._reader.feed(data)
        if len(self._reader.buffer) > HIGH_WATER_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note that the endpoint has closed the connection in an orderly way."""
        self._is_closed_by_peer = True
        return False

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Wake whoever waits for bytes: none will come any more."""
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
            message = await self._next_head()
            response_id = message.fields.get(REQUEST_ID, b"")
            if response_id == request_id:
                return message
            if not response_id:
                raise self._failed("an answer that names no request")
            await self._skip(message)

    async def _next_head(self) -> Message:
        reader = self._reader
        while True:
            try:
                message = reader.next_message()
                while message is not None and message.start_line[0].startswith(b"1"):
                    message = reader.next_message()
                if message is None and reader.message is not None:
                    message = reader.open_message()
            except MalformedMessageError as bad:
                raise self._failed(f"no answer: {bad}") from bad
            if message is not None:
                return message
            await self._more_bytes()

    async def _skip(self, message: Message) -> None:
        """Read a response to another request to its end."""
        is_complete = not message.is_open
        while not is_complete:
            _, is_complete = await self.read_body()

    async def read_body(self) -> tuple[bytes, bool]:
        """Return more of an open response's body, and whether that was all.

        Raises AttemptFailedError where the response breaks off.
        """
        while True:
            try:
                data, is_complete = self._reader.read_body()
            except MalformedMessageError as bad:
                raise self._failed(f"broken answer: {bad}") from bad
            if data or is_complete:
                return data, is_complete
            if self._is_lost and self._is_closed_by_peer and self._reader.end_of_input() is not None:
                return b"", True  # a body without a length lasts until the close
            await self._more_bytes()

    async def _more_bytes(self) -> None:
        if self._is_lost:
            raise self._failed("closed" if self._is_closed_by_peer else "reset")
        if self._is_paused:
            self._is_paused = False
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
        """Note that the response was read to its end: the connection may be kept for a next request.

        Not where the endpoint has answered before it took the whole request: the next one would wait behind
        the rest of that body for as long as the endpoint does not read it.
        """
        self._is_busy = False
        is_clean = message.keep_alive and not self._reader.has_partial_message and self.is_usable
        is_clean = is_clean and not has_undelivered_bytes(self._transport)
        self.is_reusable = is_clean
        if not is_clean:
            self.abort()
            return
        stated = _TIMEOUT.search(message.fields.get(KEEP_ALIVE, b""))
        idle_seconds = (
            int(stated.group(1)) * IDLE_TIMEOUT_FRACTION if stated is not None else DEFAULT_IDLE_SECONDS
        )
        self.idle_until = now + idle_seconds

    def abort(self) -> None:
        """End the connection at once."""
        self._is_lost = True
        if self._transport is not None:
            self._transport.abort()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
