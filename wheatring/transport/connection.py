"""One TCP connection that carries length-prefixed envelopes, and the listener for them."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import DecodeError

from wheatring.transport.messages_pb2 import Envelope

_LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
UNACKNOWLEDGED_TIMEOUT_MS = 1500  # a peer that acknowledges nothing for so long is gone
MAX_UNSENT_BYTES = 16 * 1024 * 1024  # a peer that reads nothing is cut off at this backlog


@dataclass(slots=True)
class TrafficCounters:
    """Bytes of all envelope connections of this process, for those who measure."""

    received_bytes: int = 0
    sent_bytes: int = 0


TRAFFIC = TrafficCounters()

EnvelopeHandler = Callable[["EnvelopeConnection", Envelope], None]


def set_socket_options(sock: socket.socket) -> None:
    """No delay for small frames, and an early end for a connection whose peer has fallen silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class EnvelopeConnection(asyncio.Protocol):
    """Frames in, frames out. `on_lost` is called once, when the connection has ended."""

    def __init__(self, on_envelope: EnvelopeHandler, on_lost: Callable[[EnvelopeConnection], None]) -> None:
        self._on_envelope = on_envelope
        self._on_lost = on_lost
        self._buffer = bytearray()
        self._transport: Any = None
        self.is_open = False

    def connection_made(self, transport: Any) -> None:
        """Called by the event loop."""
        self._transport = transport
        self.is_open = True
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_socket_options(sock)

    def data_received(self, data: bytes) -> None:
        """Cut the frames out and hand each one over."""
        TRAFFIC.received_bytes += len(data)
        buffer = self._buffer
        buffer += data
        offset = 0
        while self.is_open and len(buffer) - offset >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, offset)
            if length > MAX_FRAME_BYTES:
                self.abort()
                return
            end = offset + _LENGTH.size + length
            if end > len(buffer):
                break
            envelope = Envelope()
            try:
                envelope.ParseFromString(bytes(buffer[offset + _LENGTH.size : end]))
            except DecodeError:
                self.abort()
                return
            offset = end
            self._on_envelope(self, envelope)
        if offset:
            del buffer[:offset]

    def connection_lost(self, error: Exception | None) -> None:
        """Called by the event loop."""
        self.is_open = False
        self._on_lost(self)

    def send(self, envelope: Envelope) -> None:
        """Queue one envelope; nothing happens on a connection that has ended."""
        if not self.is_open:
            return
        payload = envelope.SerializeToString()
        TRAFFIC.sent_bytes += len(payload) + _LENGTH.size
        self._transport.write(_LENGTH.pack(len(payload)) + payload)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()

    def abort(self) -> None:
        """End the connection at once."""
        if self.is_open:
            self.is_open = False
            self._transport.abort()


class EnvelopeServer:
    """Accepts connections and hands their envelopes to one receiver."""

    def __init__(self, receiver: EnvelopeHandler, on_lost: Callable[[EnvelopeConnection], None]) -> None:
        self._receiver = receiver
        self._on_lost = on_lost
        self._server: asyncio.Server | None = None
        self.connections: set[EnvelopeConnection] = set()

    async def listen(self, host: str, port: int) -> None:
        """Start to accept. Raises OSError where the address is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port, backlog=256)

    def _accept(self) -> EnvelopeConnection:
        connection = EnvelopeConnection(self._receiver, self._lost)
        self.connections.add(connection)
        return connection

    def _lost(self, connection: EnvelopeConnection) -> None:
        self.connections.discard(connection)
        self._on_lost(connection)

    def close(self) -> None:
        """Stop to accept and end all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()
