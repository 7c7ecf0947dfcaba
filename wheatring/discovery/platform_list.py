"""Reads the platform's endpoint list, page by page."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

import httpx

from wheatring.transport.messages_pb2 import Endpoint, EndpointList

CALL_SECONDS = 0.8
MAX_PAGES = 200
DRAINING = "draining"


class ListUnavailable(Exception):
    """The list could not be read whole."""


class ListReader(Protocol):
    """Whoever reads the list."""

    async def read(self) -> EndpointList:
        """All of it. Raises ListUnavailable."""


def _endpoint(values: dict[str, Any]) -> Endpoint:
    return Endpoint(
        id=str(values["id"]),
        service=str(values["backend"]),
        address=str(values["address"]),
        zone=str(values.get("zone", "")),
        slots=max(0, int(values.get("slots") or 0)),
        draining=values.get("state") == DRAINING,
        cold_ms=max(0, int(values.get("coldMs") or 0)),
        version=str(values.get("generation", "")),
    )


class PlatformList:
    """Calls the platform. One process of the system does so at a time."""

    def __init__(self, address: str, calls_per_second: float) -> None:
        self._url = f"http://{address}/instances"
        self._pause = 1 / max(calls_per_second, 0.1)
        self._client = httpx.AsyncClient(timeout=CALL_SECONDS, trust_env=False)
        self.calls = 0

    async def read(self) -> EndpointList:
        """All pages. Raises ListUnavailable."""
        endpoints: list[Endpoint] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            page = await self._page(token)
            try:
                endpoints.extend(_endpoint(values) for values in page["instances"])
                token = page.get("nextPageToken")
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise ListUnavailable(f"a page cannot be read: {error!r}") from error
            if not token:
                return EndpointList(endpoints=endpoints)
            await asyncio.sleep(self._pause)
        raise ListUnavailable("the list has no end")

    async def _page(self, token: str | None) -> Any:
        self.calls += 1
        try:
            response = await self._client.get(self._url, params={"pageToken": token} if token else None)
            if response.status_code != httpx.codes.OK:
                raise ListUnavailable(f"status {response.status_code}")
            return response.json()
        except (httpx.HTTPError, ValueError) as error:
            raise ListUnavailable(repr(error)) from error

    async def close(self) -> None:
        """End the connections."""
        await self._client.aclose()
