"""A sidecar's request path on real loopback sockets, with scripted endpoints and clients."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from functools import partial
from random import Random
from typing import Any

from wheatring.balancer.interface import EndpointEntry, EndpointState
from wheatring.tier.sidecar.client_connection import ClientConnection, ConnectionSettings, RequestHandler
from wheatring.tier.sidecar.connection_pool import EndpointConnectionPool
from wheatring.tier.sidecar.policy import DEFAULT_POLICY
from wheatring.tier.sidecar.request_service import RequestService
from wheatring.tier.sidecar.route_table import Limits, RouteTable
from wheatring.tier.sidecar.service_balancer import ListedEndpoint, ServiceBalancer

SERVICE = "svc"
HOST = "127.0.0.1"
HOST_NAME = "x"  # The host name in requests and routes.
READ_TIMEOUT_SECONDS = 10.0  # A client fails the test if the response takes longer.

Script = Callable[["EndpointExchange"], Awaitable[None]]


def route(prefix: str, kind: str, **values: Any) -> dict[str, Any]:
    """Return a route to the service, in the format of a configuration."""
    defaults = {"name": prefix, "hostname": HOST_NAME, "pathPrefix": prefix, "backend": SERVICE}
    return {**defaults, "routeType": kind, "timeoutMs": 5000, "maxAttempts": 2, **values}


class EndpointExchange:
    """A request at an endpoint, with methods to respond to it."""

    def __init__(self, path: str, fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
        self.path = path
        self.fields = fields
        self.writer = writer
        self.request_id = fields["wheatring-request-id"]

    async def start(self, status: int, framing: str) -> None:
        """Write the response head; `framing` is the header line that determines the length of the body."""
        self.writer.write(
            f"HTTP/1.1 {status} X\r\nWheatring-Request-Id: {self.request_id}\r\nKeep-Alive: timeout=5\r\n"
            f"Wheatring-Response-Signature: s\r\n{framing}\r\n\r\n".encode()
        )
        await self.writer.drain()

    async def chunk(self, data: bytes) -> None:
        """Write one chunk; an empty chunk ends the body."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self.writer.drain()

    async def event(self, number: int) -> None:
        """Write one event, whose data starts with the id of the request."""
        await self.chunk(f"id: {number}\ndata: {self.request_id}-{number}\n\n".encode())


class LoopbackEndpoint:
    """The endpoints of the service on loopback, which share one script."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self.exchanges: list[EndpointExchange] = []
        self.closed_connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
                await reader.readexactly(int(fields.get("content-length") or 0))
                exchange = EndpointExchange(lines[0].split(" ")[1], fields, writer)
                self.exchanges.append(exchange)
                await self._script(exchange)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_connections += 1
        finally:
            writer.close()


class LoopbackSidecar:
    """The request path of a sidecar with a fixed configuration and endpoint list."""

    def __init__(self, routes: Sequence[dict[str, Any]], addresses: Sequence[str]) -> None:
        self.connections = EndpointConnectionPool()
        unused: Any = None  # No route is retained and no request has a budget.
        self.service = RequestService(self.connections, unused, unused, Random(1))
        configuration = {"generation": 1, "routes": list(routes), "services": [{"name": SERVICE}]}
        self.service.table = RouteTable(json.dumps(configuration).encode())
        balancer = ServiceBalancer("", 1, DEFAULT_POLICY)
        balancer.set_endpoints([
            ListedEndpoint(EndpointEntry(f"e{number}", EndpointState.READY), address, 4)
            for number, address in enumerate(addresses)
        ])  # fmt: skip
        self.service.balancers[SERVICE] = balancer
        self.port = 0


@asynccontextmanager
async def client_listener(handler: RequestHandler) -> AsyncIterator[int]:
    """Listen for clients whose requests go to `handler`; yields the port."""
    settings = ConnectionSettings(Limits())
    accept = partial(ClientConnection, handler, lambda: settings, lambda _client: None)
    server = await asyncio.get_running_loop().create_server(accept, HOST, 0)
    async with server:
        yield server.sockets[0].getsockname()[1]


@asynccontextmanager
async def running_sidecar(
    routes: Sequence[dict[str, Any]], script: Script, endpoints: int = 1
) -> AsyncIterator[tuple[LoopbackSidecar, LoopbackEndpoint]]:
    """Start endpoints and a sidecar that forwards to them."""
    endpoint = LoopbackEndpoint(script)
    servers = [await asyncio.start_server(endpoint.serve, HOST, 0) for _ in range(endpoints)]
    addresses = [f"{HOST}:{server.sockets[0].getsockname()[1]}" for server in servers]
    sidecar = LoopbackSidecar(routes, addresses)
    async with client_listener(sidecar.service.handle_request) as sidecar.port:
        yield sidecar, endpoint
    for server in servers:
        server.close()


async def send_request(port: int, path: str, request_id: str, deadline_ms: int = 5000) -> bytes:
    """Send one request, and return all bytes that arrive until the sidecar closes the connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nConnection: close\r\n"
        f"Wheatring-Request-Id: {request_id}\r\nWheatring-Deadline-Ms: {deadline_ms}\r\n\r\n".encode()
    )
    try:
        async with asyncio.timeout(READ_TIMEOUT_SECONDS):
            return await reader.read(-1)
    finally:
        writer.close()
