"""A stub of the platform: it serves an endpoint list, in pages."""

from __future__ import annotations

import asyncio
import contextlib
import json

PLATFORM_PORT = 28142
ENDPOINTS_PER_PAGE = 50


class PlatformStub:
    """Serves a generated list of endpoints through the platform's API."""

    def __init__(self, endpoints: int) -> None:
        self.entries = [
            {
                "id": f"i-{number:08x}",
                "backend": f"service-{number % 29}",
                "address": f"10.128.{number // 250}.{number % 250 + 1}:8080",
                "zone": f"z{number % 12}",
                "generation": "v1",
                "slots": 16,
                "state": "ready",
                "coldMs": 0,
            }
            for number in range(endpoints)
        ]
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", PLATFORM_PORT)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, IndexError, asyncio.CancelledError):
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                writer.write(self._page(line.split()[1].decode()))
                await writer.drain()
        writer.close()

    def _page(self, target: str) -> bytes:
        """Return the answer to a request for a page."""
        first = int(target.partition("pageToken=p-")[2] or 0)
        following = first + ENDPOINTS_PER_PAGE if first + ENDPOINTS_PER_PAGE < len(self.entries) else None
        page = {
            "instances": self.entries[first : first + ENDPOINTS_PER_PAGE],
            "nextPageToken": f"p-{following}" if following is not None else None,
        }
        body = json.dumps(page).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        return head + body

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
