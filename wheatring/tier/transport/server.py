"""The server side: accepts connections that carry envelopes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wheatring.tier.transport.connection import EnvelopeConnection, EnvelopeHandler

LISTEN_BACKLOG = 256


class EnvelopeServer:
    """Accepts connections and passes their envelopes to a handler."""

    def __init__(
        self, handler: EnvelopeHandler, on_lost: Callable[[EnvelopeConnection], None] | None = None
    ) -> None:
        self._handler = handler
        self._on_lost = on_lost
        self._server: asyncio.Server | None = None
        self.connections: set[EnvelopeConnection] = set()

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections. Raises OSError if the address cannot be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port, backlog=LISTEN_BACKLOG)

    def _accept(self) -> EnvelopeConnection:
        connection = EnvelopeConnection(self._handler, self._on_connection_lost)
        self.connections.add(connection)
        return connection

    def _on_connection_lost(self, connection: EnvelopeConnection) -> None:
        self.connections.discard(connection)
        if self._on_lost is not None:
            self._on_lost(connection)

    def close(self) -> None:
        """Stop accepting, and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()
