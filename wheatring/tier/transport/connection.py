"""A TCP connection that carries length-prefixed envelopes."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import DecodeError

from wheatring.tier.transport.messages_pb2 import Envelope

_LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
UNACKNOWLEDGED_TIMEOUT_MS = 1500  # for TCP_USER_TIMEOUT
MAX_UNSENT_BYTES = 16 * 1024 * 1024  # the connection of a peer that stops reading is closed at this backlog


@dataclass(slots=True)
class TrafficCounters:
    """Bytes sent and received on all envelope connections of this process."""

    received_bytes: int = 0
    sent_bytes: int = 0


TRAFFIC = TrafficCounters()

EnvelopeHandler = Callable[["EnvelopeConnection", Envelope], None]


def set_socket_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm, and detect a peer that stops responding within seconds.

    Without the time-out for unacknowledged data, a connection to a machine without power would stay open for
    minutes, and calls on it would block.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class EnvelopeConnection(asyncio.Protocol):
    """Decodes received frames and encodes those to send.

    `on_lost` is called once, when the connection is closed.
    """

    def __init__(self, on_envelope: EnvelopeHandler, on_lost: Callable[[EnvelopeConnection], None]) -> None:
        self._on_envelope = on_envelope
        self._on_lost = on_lost
        self._buffer = bytearray()
        self._transport: Any = None
        self.is_open = False

    def connection_made(self, transport: Any) -> None:
        """Store the transport and set its socket options; called by the event loop."""
        self._transport = transport
        self.is_open = True
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_socket_options(sock)

    def data_received(self, data: bytes) -> None:
        """Decode complete frames and pass each envelope to the handler; called by the event loop."""
        TRAFFIC.received_bytes += len(data)
        buffer = self._buffer
        buffer += data
        offset = 0
        while self.is_open and len(buffer) - offset >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(buffer, offset)
            if length > MAX_FRAME_BYTES:
                self.abort()
                return
            end = offset + _LENGTH_PREFIX.size + length
            if end > len(buffer):
                break
            envelope = Envelope()
            try:
                envelope.ParseFromString(bytes(buffer[offset + _LENGTH_PREFIX.size : end]))
            except DecodeError:
                self.abort()
                return
            offset = end
            self._on_envelope(self, envelope)
        if offset:
            del buffer[:offset]

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Report the end of the connection; called by the event loop."""
        self.is_open = False
        self._on_lost(self)

    def send(self, envelope: Envelope) -> None:
        """Queue an envelope; does nothing on a closed connection."""
        if not self.is_open:
            return
        payload = envelope.SerializeToString()
        TRAFFIC.sent_bytes += len(payload) + _LENGTH_PREFIX.size
        self._transport.write(_LENGTH_PREFIX.pack(len(payload)) + payload)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self.is_open:
            self.is_open = False
            self._transport.abort()
