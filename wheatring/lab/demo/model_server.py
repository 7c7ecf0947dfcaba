"""A stub of a model endpoint: it answers each prompt with a few events that state the prompt's length."""

from __future__ import annotations

import asyncio
import contextlib

EVENTS = 4
EVENT_INTERVAL_SECONDS = 0.03


class ModelServer:
    """One endpoint; each connection serves one request at a time."""

    def __init__(self, endpoint_id: str, host: str, port: int) -> None:
        self.endpoint_id = endpoint_id
        self.host = host
        self.port = port
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while await reader.readline():
                await self._answer(reader, writer)
        writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        headers: dict[bytes, bytes] = {}
        while (line := await reader.readline()).strip():
            name, _, value = line.partition(b":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
        request_id = headers.get(b"wheatring-request-id", b"")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\n"
            b"Wheatring-Request-Id: %s\r\nWheatring-Response-Signature: demo.%s.%s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" % (request_id, self.endpoint_id.encode(), request_id)
        )
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
            event = b"id: %d\ndata: piece %d on a prompt of %d bytes\n\n" % (number, number, len(body))
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
