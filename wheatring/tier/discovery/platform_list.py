"""Reads the platform's endpoint list, page by page.

httpx is imported in a thread when the list is first read, so that a controller that is starting can take part
in an election meanwhile.
"""

from __future__ import annotations

import asyncio
import importlib
from typing import TYPE_CHECKING, Any, Protocol

from wheatring.tier.discovery.exceptions import EndpointListUnavailableError
from wheatring.tier.transport.messages_pb2 import Endpoint, EndpointList

if TYPE_CHECKING:
    import httpx

CALL_TIMEOUT_SECONDS = 0.8
MAX_PAGES = 200
DRAINING = "draining"  # Endpoints in this state get no new requests.


class EndpointListReader(Protocol):
    """A source of the endpoint list."""

    async def read(self) -> EndpointList:
        """Return the complete list. Raises EndpointListUnavailableError."""


def _endpoint(values: dict[str, Any]) -> Endpoint:
    """Convert a JSON object of the platform to an endpoint."""
    return Endpoint(
        id=str(values["id"]),
        service=str(values["backend"]),
        address=str(values["address"]),
        zone=str(values.get("zone", "")),
        slots=max(0, int(values.get("slots") or 0)),
        draining=values.get("state") == DRAINING,
        warm_up_ms=max(0, int(values.get("coldMs") or 0)),
        version=str(values.get("generation", "")),
    )


class PlatformListReader:
    """Reads the endpoint list from the platform; only the leading controller does so."""

    def __init__(self, address: str, calls_per_second: float) -> None:
        """Initialize the reader.

        Parameters
        ----------
        address
            The platform's IP address and port.
        calls_per_second
            The platform's rate limit, applied to the pages of one read.
        """
        self._url = f"http://{address}/instances"
        self._page_interval_seconds = 1 / max(calls_per_second, 0.1)
        self._client: httpx.AsyncClient | None = None

    async def prepare(self) -> httpx.AsyncClient:
        """Import httpx and create the client, unless that has been done."""
        if self._client is None:
            module = await asyncio.get_running_loop().run_in_executor(None, importlib.import_module, "httpx")
            self._client = module.AsyncClient(timeout=CALL_TIMEOUT_SECONDS, trust_env=False)
        return self._client

    async def read(self) -> EndpointList:
        """Return the complete list of all pages. Raises EndpointListUnavailableError."""
        endpoints: list[Endpoint] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            page = await self._read_page(token)
            try:
                endpoints.extend(_endpoint(values) for values in page["instances"])
                token = page.get("nextPageToken")
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise EndpointListUnavailableError(f"malformed page: {error!r}") from error
            if not token:
                return EndpointList(endpoints=endpoints)
            await asyncio.sleep(self._page_interval_seconds)
        raise EndpointListUnavailableError("endpoint list exceeds the maximum number of pages")

    async def _read_page(self, token: str | None) -> Any:
        client = await self.prepare()
        import httpx

        try:
            response = await client.get(self._url, params={"pageToken": token} if token else None)
            if response.status_code != httpx.codes.OK:
                raise EndpointListUnavailableError(f"status {response.status_code}")
            return response.json()
        except (httpx.HTTPError, ValueError) as error:
            raise EndpointListUnavailableError(repr(error)) from error
