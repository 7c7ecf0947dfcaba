"""An HTTP/1.1 connection of a client, which reads requests one at a time and writes their responses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from wheatring.common.exceptions import MalformedMessageError
from wheatring.common.http_parser import Message, MessageParser
from wheatring.common.http_responses import REASON_PHRASES, encode_response
from wheatring.tier.event_log import log_event
from wheatring.tier.sidecar.exceptions import ResponseStartedError
from wheatring.tier.sidecar.route_table import Limits

MAX_PIPELINED_BYTES = 256 * 1024  # Reading pauses beyond this while a request is in flight.

RequestHandler = Callable[["ClientConnection", Message, float], Awaitable[None]]


class ResponseState(Enum):
    """How much of the response to the current request has been written."""

    NOT_STARTED = "not started"
    HEAD_SENT = "head sent"  # Only the rest of the body or a connection close may follow.
    COMPLETE = "complete"


@dataclass(slots=True)
class ConnectionSettings:
    """Settings that all client connections of a sidecar share."""

    limits: Limits
    is_closing: bool = False  # Each connection is closed after its current response.


class ClientConnection(asyncio.Protocol):
    """Serves one request at a time. If the client closes the connection, its request is cancelled."""

    def __init__(
        self,
        handler: RequestHandler,
        settings: Callable[[], ConnectionSettings],
        on_lost: Callable[[ClientConnection], None],
    ) -> None:
        """Initialize a connection.

        Parameters
        ----------
        handler
            Answers a request; called with this connection, the request and the time at which its last byte
            arrived, in seconds of the event loop's clock.
        settings
            Returns the current settings of all client connections.
        on_lost
            Called once, when the connection has been closed.
        """
        self._handler = handler
        self._settings = settings
        self._on_lost = on_lost
        self._parser = MessageParser(responses=False, max_body_bytes=settings().limits.body_bytes)
        self._transport: Any = None
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._keep_alive = True
        self._timer: asyncio.TimerHandle | None = None
        self._received_at = 0.0
        self._is_closed = False
        self._response_state = ResponseState.COMPLETE  # There is no request yet.
        self._is_chunked = False

    # Called by the event loop

    def connection_made(self, transport: Any) -> None:
        """Start the idle time-out until the first request arrives."""
        self._transport = transport
        self._wait_for_request()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the current request or of pipelined ones."""
        if self._is_closed:
            return
        self._received_at = asyncio.get_running_loop().time()
        had_partial_message = self._parser.has_partial_message
        self._parser.feed(data)
        if self._task is not None:
            if len(self._parser.buffer) > MAX_PIPELINED_BYTES:
                self._transport.pause_reading()
            return
        if not had_partial_message:
            self._set_timer(self._settings().limits.header_timeout_seconds, self._on_header_timeout)
        self._start_next_request()

    def eof_received(self) -> bool:
        """Cancel the request in flight, because the client has closed and no longer waits for a response.

        The operators' documentation defines no half-closed clients, and its rule GONE counts requests that
        continue to run after their client has disconnected.
        """
        if self._task is not None:
            self._task.cancel()
        return False

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Cancel the request in flight, because the client has disconnected."""
        self._is_closed = True
        self._clear_timer()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()
        self._on_lost(self)

    def pause_writing(self) -> None:
        """Block `drain`, because the client reads too slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock `drain`, because the client has caught up."""
        self._writable.set()

    # Requests

    @property
    def is_busy(self) -> bool:
        """Whether a request is in flight."""
        return self._task is not None

    def _start_next_request(self) -> None:
        try:
            message = self._parser.next_message()
        except MalformedMessageError as error:
            self._reject(error.status)
            return
        if message is None:
            partial_message = self._parser.message
            if (
                partial_message is not None
                and partial_message.fields.pop(b"expect", b"").lower() == b"100-continue"
            ):
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            return
        self._clear_timer()
        self._keep_alive = message.keep_alive
        self._response_state = ResponseState.NOT_STARTED
        self._task = asyncio.get_running_loop().create_task(self._serve(message))

    async def _serve(self, message: Message) -> None:
        try:
            await self._handler(self, message, self._received_at)
        except asyncio.CancelledError:
            return
        except Exception as error:  # A bug must not leave the client waiting.
            log_event("request-broken", error=repr(error))
            self.abort_response()
        finally:
            self._task = None
        if self._is_closed:
            return
        if self._response_state is not ResponseState.COMPLETE:
            log_event("request-broken", error=f"response {self._response_state.value}")
            self.abort_response()
            return
        if not self._keep_alive or self._settings().is_closing:
            self.close()
            return
        self._transport.resume_reading()
        self._wait_for_request()
        if self._parser.has_partial_message:
            self._start_next_request()

    def _wait_for_request(self) -> None:
        self._set_timer(self._settings().limits.idle_timeout_seconds, self.close)

    def _on_header_timeout(self) -> None:
        if self._parser.has_partial_message:
            self._reject(408)
        else:
            self.close()

    def _reject(self, status: int) -> None:
        self._transport.write(encode_response(status, close=True))
        self.close()

    def _set_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        self._clear_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, callback)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # Responses

    @property
    def is_response_started(self) -> bool:
        """Whether a response head has been sent, after which no other response can follow."""
        return self._response_state is not ResponseState.NOT_STARTED

    def _mark_response(self, state: ResponseState) -> None:
        if self.is_response_started:
            raise ResponseStartedError(f"response {self._response_state.value}")
        self._response_state = state

    def _connection_field(self) -> bytes:
        if self._settings().is_closing and not self._parser.has_partial_message:
            self._keep_alive = False
        return b"" if self._keep_alive else b"Connection: close\r\n"

    def send_response(self, status: int, fields: bytes = b"", body: bytes = b"") -> None:
        """Write a complete response; `fields` are encoded header lines. Raises ResponseStartedError."""
        self._mark_response(ResponseState.COMPLETE)
        reason = REASON_PHRASES.get(status, b"OK")
        connection_field = self._connection_field()
        head = b"HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n" % (
            status,
            reason,
            fields,
            connection_field,
            len(body),
        )
        self._transport.write(head + body)

    def start_response(self, status: int, fields: bytes, length: int | None = None) -> None:
        """Write the head of a response whose body follows; without a length it is chunked.

        Raises ResponseStartedError.
        """
        self._mark_response(ResponseState.HEAD_SENT)
        self._is_chunked = length is None
        reason = REASON_PHRASES.get(status, b"OK")
        framing = b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length
        connection_field = self._connection_field()
        self._transport.write(
            b"HTTP/1.1 %d %s\r\n%s%s%s\r\n" % (status, reason, fields, framing, connection_field)
        )

    def write_body(self, data: bytes) -> None:
        """Write a part of the body of a response whose head has been written."""
        if self._is_chunked and data:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._transport.write(data)

    def finish_response(self) -> None:
        """End a response whose body has been written completely."""
        self._response_state = ResponseState.COMPLETE
        if self._is_chunked:
            self._transport.write(b"0\r\n\r\n")

    def send_error(self, status: int, fields: bytes = b"", body: bytes = b"") -> None:
        """Write a complete error response, or abort the response if its head has already been sent."""
        if self.is_response_started:
            self.abort_response()
        else:
            self.send_response(status, fields, body)

    async def drain(self) -> None:
        """Wait while the client reads too slowly."""
        await self._writable.wait()

    def abort_response(self) -> None:
        """Close the connection in the middle of a response, so that the response does not look complete."""
        self._keep_alive = False
        self.close()

    def close(self) -> None:
        """Close the connection after all buffered output has been sent."""
        self._is_closed = True
        self._clear_timer()
        if self._transport is not None:
            self._transport.close()
