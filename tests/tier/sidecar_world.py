"""Simulated endpoints and clients around a real sidecar, on the simulated network.

An endpoint follows a script with one behaviour per request; the last behaviour applies to all further
requests. It records the requests that it ran, so that tests can check that a request ran once or not at all.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.support.virtual_loop import CURRENT_INCARNATION, Incarnation
from tests.tier.world import FRONT_PORT, World
from wheatring.common.http_parser import Message, MessageParser
from wheatring.tier.transport.messages_pb2 import Endpoint, EndpointList

SERVICE_PORT = 9000


@dataclass
class EndpointRun:
    """A request that an endpoint has started to run."""

    request_id: str
    path: str
    body: bytes
    headers: dict[bytes, bytes]


@dataclass
class EndpointStub:
    """One endpoint and its script."""

    name: str  # the name of its simulated host
    instance_id: str
    script: list[str]
    runs: list[EndpointRun] = field(default_factory=list)
    request_count: int = 0

    def next_behaviour(self) -> str:
        self.request_count += 1
        return self.script.pop(0) if len(self.script) > 1 else self.script[0]


class EndpointConnection(asyncio.Protocol):
    """One connection to an endpoint."""

    def __init__(self, endpoint: EndpointStub) -> None:
        self.endpoint = endpoint
        self.reader = MessageParser(responses=False, max_body_bytes=1 << 20)
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        message = self.reader.next_message()
        if message is not None:
            loop = asyncio.get_running_loop()
            self.task = loop.create_task(self.answer(message))

    def _head(self, status: int, request_id: bytes, extra_fields: bytes = b"") -> bytes:
        return b"HTTP/1.1 %d X\r\nWheatring-Request-Id: %s\r\nKeep-Alive: timeout=5\r\n%s" % (
            status,
            request_id,
            extra_fields,
        )

    async def answer(self, message: Message) -> None:
        endpoint = self.endpoint
        request_id = message.fields.get(b"wheatring-request-id", b"")
        behaviour, _, argument = endpoint.next_behaviour().partition(":")
        expected = message.fields.get(b"wheatring-expected-instance", b"").decode()
        write = self.transport.write
        if expected and expected != endpoint.instance_id:
            write(self._head(421, request_id) + b"Content-Length: 0\r\n\r\n")
            return
        if behaviour == "full":
            write(
                self._head(503, request_id, b"Wheatring-Not-Executed: 1\r\n") + b"Content-Length: 0\r\n\r\n"
            )
            return
        endpoint.runs.append(
            EndpointRun(request_id.decode(), message.start_line[1].decode(), message.body, message.fields)
        )
        signature = b"Wheatring-Response-Signature: sig-%s-%s\r\n" % (
            endpoint.instance_id.encode(),
            request_id,
        )
        if behaviour == "reset":
            self.transport.abort()
        elif behaviour == "silent":
            return
        elif behaviour == "noise":
            write(b"what is this\r\n\r\n")
        elif behaviour == "error":
            write(self._head(500, request_id, signature) + b"Content-Length: 5\r\n\r\nsorry")
        elif behaviour == "slow":
            await asyncio.sleep(float(argument))
            write(self._head(200, request_id, signature) + b"Content-Length: 2\r\n\r\nok")
        elif behaviour == "late-other":
            write(self._head(200, b"other", signature) + b"Content-Length: 5\r\n\r\nstale")
            write(self._head(200, request_id, signature) + b"Content-Length: 2\r\n\r\nok")
        elif behaviour == "half":
            write(self._head(200, request_id, signature) + b"Content-Length: 10\r\n\r\nhalf")
            await asyncio.sleep(0.01)
            self.transport.abort()
        elif behaviour == "ok":
            write(self._head(200, request_id, signature) + b"Content-Length: 2\r\n\r\nok")
        else:
            await self._stream(message, request_id, signature, behaviour, argument)

    async def _stream(
        self, message: Message, request_id: bytes, signature: bytes, behaviour: str, argument: str
    ) -> None:
        """Stream events.

        `stream:N` sends N events and ends. `break:N` resets the connection within the event after the Nth,
        `cut:N` after N complete events.
        """
        count = int(argument)
        write = self.transport.write
        write(self._head(200, request_id, signature) + b"Transfer-Encoding: chunked\r\n\r\n")
        last_event_id = int(message.fields.get(b"last-event-id", b"0"))
        for number in range(last_event_id + 1, count + 1):
            await asyncio.sleep(0.01)
            event = b"id: %d\ndata: %s-%d\n\n" % (number, request_id, number)
            write(b"%x\r\n%s\r\n" % (len(event), event))
        if behaviour == "stream":
            write(b"0\r\n\r\n")
            return
        if behaviour == "break":
            chunk = b"id: %d\nda" % (count + 1)
            write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        await asyncio.sleep(0.01)
        self.transport.abort()


@dataclass
class ReceivedResponse:
    """The response as received by a client."""

    status: int = 0  # 0 if there was no response
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    received_at: float = 0.0

    @property
    def events(self) -> list[str]:
        """The data of each event, in order."""
        return [line[6:].decode() for line in self.body.split(b"\n") if line.startswith(b"data: ")]


class ClientConnection(asyncio.Protocol):
    """The connection of a client, which sends one request."""

    def __init__(self) -> None:
        self.reader = MessageParser(responses=True, max_body_bytes=1 << 24, buffered_body_bytes=0)
        self.received = ReceivedResponse()
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.message: Message | None = None
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        if self.message is None:
            message = self.reader.next_message()
            if message is None and self.reader.message is not None:
                message = self.reader.open_message()
            if message is None:
                return
            self.message = message
            self.received.status = int(message.start_line[0])
            self.received.headers = message.fields
            self.received.body = message.body
            if not message.is_open:
                self.finish(True)
                return
        data, is_complete = self.reader.read_body()
        self.received.body += data
        if is_complete:
            self.finish(True)

    def connection_lost(self, _error: Exception | None) -> None:
        self.finish(False)

    def finish(self, is_complete: bool) -> None:
        if not self.done.done():
            self.received.is_complete = is_complete
            self.received.received_at = asyncio.get_running_loop().time()
            self.done.set_result(None)


class SidecarWorld(World):
    """A world with one sidecar, its endpoints and its clients."""

    def __init__(self, folder: Path, routes: Sequence[dict[str, Any]], scripts: dict[str, list[str]]) -> None:
        super().__init__(folder, seed=3, controllers=1, storage=1, losses=0)
        self.add("e1")
        self.endpoints = {name: EndpointStub(name, f"i-{name}", script) for name, script in scripts.items()}
        self.routes = routes
        self._last_id = 0

    async def begin(self) -> None:
        """Start the endpoints, apply a configuration and wait until the sidecar is ready."""
        entries = []
        for endpoint in self.endpoints.values():
            self.run_as(Incarnation(endpoint.name), lambda endpoint=endpoint: self._listen(endpoint))  # type: ignore[misc]
            address = f"{endpoint.name}:{SERVICE_PORT}"
            entries.append(
                Endpoint(id=endpoint.instance_id, service="s", address=address, zone="z1", slots=4)
            )
        self.platform.endpoints = EndpointList(endpoints=entries)
        routes = [
            {"name": f"r{n}", "hostname": "h", "backend": "s", "timeoutMs": 2000, "targetLatencyMs": 200}
            | route
            for n, route in enumerate(self.routes)
        ]
        services = [{"name": "s", "engine": {"stride": 10, "slots": 4}}]
        body = json.dumps({"generation": 1, "routes": routes, "services": services}).encode()
        await self.settle(0.8)
        status, _ = await self.call_operator_api("POST", "/config/replace", 0, body)
        assert status == 200
        await self.settle(3.5)
        assert self.hosts["e1"].process.is_ready

    async def _listen(self, endpoint: EndpointStub) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: EndpointConnection(endpoint), endpoint.name, SERVICE_PORT)

    async def request(
        self, path: str, method: str = "GET", body: bytes = b"", **headers: str
    ) -> ReceivedResponse:
        """Send a request on a new connection and return the response."""
        self._last_id += 1
        request_id = headers.pop("request_id", f"q{self._last_id}")
        lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Wheatring-Request-Id: {request_id}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        CURRENT_INCARNATION.set(Incarnation("client"))
        try:
            _, client = await self.loop.create_connection(ClientConnection, "e1", FRONT_PORT)
        except ConnectionRefusedError:
            return ReceivedResponse()
        client.transport.write(data)
        await client.done
        client.transport.abort()
        received: ReceivedResponse = client.received
        return received

    def run_count(self, request_id: str) -> int:
        """Return how often all endpoints together ran a request."""
        return sum(
            run.request_id == request_id for endpoint in self.endpoints.values() for run in endpoint.runs
        )
