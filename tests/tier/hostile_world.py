"""Endpoints and clients with all faults that the operators' pages allow, and checks of the sidecar.

The body of a response contains the id of its request, so a response to another client's request is detected.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tests.support.virtual_loop import CURRENT_INCARNATION, Incarnation
from tests.tier.sidecar_world import SERVICE_PORT, EndpointConnection, EndpointStub, SidecarWorld
from tests.tier.world import FRONT_PORT
from wheatring.common.http_parser import Message, MessageParser

SERVICE_SECONDS = 0.02  # the time an endpoint takes for a response
SURPLUS_DELAY_SECONDS = 0.05  # between a response and a surplus one
CANCEL_GRACE_SECONDS = 0.5  # the time within which a request must end after its client has disconnected


def response_body(ident: bytes) -> bytes:
    """Return the response body for the request with the id `ident`."""
    return b"for " + ident


@dataclass
class Execution:
    """One execution of a request at an endpoint."""

    ident: str
    started_at: float
    ended_at: float | None = None


@dataclass
class Exchange:
    """A request of a client and its response."""

    ident: str
    path: str
    sent_at: float
    disconnected_at: float | None = None
    status: int = 0
    body: bytes = b""
    complete: bool = False


class HostileConnection(EndpointConnection):
    """A connection to an endpoint. The world's list of behaviours determines each response."""

    def __init__(self, endpoint: EndpointStub, world: HostileWorld) -> None:
        super().__init__(endpoint)
        self.world = world
        self.execution: Execution | None = None

    def connection_lost(self, _error: Exception | None) -> None:
        """Cancel the request in flight, since the sidecar has closed the connection."""
        self._end_execution()
        if hasattr(self, "task"):
            self.task.cancel()

    def _end_execution(self) -> None:
        if self.execution is not None and self.execution.ended_at is None:
            self.execution.ended_at = asyncio.get_running_loop().time()

    async def answer(self, message: Message) -> None:
        ident = message.fields.get(b"wheatring-request-id", b"")
        behaviour = self.world.next_behaviour()
        write = self.transport.write
        if behaviour == "full":
            write(self._head(503, ident, b"Wheatring-Not-Executed: 1\r\n") + b"Content-Length: 0\r\n\r\n")
            return
        self.execution = Execution(ident.decode(), asyncio.get_running_loop().time())
        self.world.executions.append(self.execution)
        if behaviour == "slow":
            await asyncio.sleep(1.2)
        await asyncio.sleep(SERVICE_SECONDS)
        if behaviour == "silent":
            return
        self._end_execution()
        self._write_response(behaviour, ident)
        if behaviour == "surplus":
            await asyncio.sleep(SURPLUS_DELAY_SECONDS)
            write(self._complete_response(b"surplus", b"stale"))

    def _signature_field(self, ident: bytes) -> bytes:
        return b"Wheatring-Response-Signature: s-%s\r\n" % ident

    def _complete_response(self, ident: bytes, body: bytes, *, with_id: bool = True) -> bytes:
        id_field = b"Wheatring-Request-Id: %s\r\n" % ident if with_id else b""
        return (
            b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n"
            + id_field
            + self._signature_field(ident)
            + b"Content-Length: %d\r\n\r\n" % len(body)
            + body
        )

    def _write_response(self, behaviour: str, ident: bytes) -> None:
        write = self.transport.write
        response = self._complete_response(ident, response_body(ident))
        if behaviour == "other-first":
            write(self._complete_response(b"somebody", b"stale") + response)
        elif behaviour == "unnamed-other-first":
            write(self._complete_response(b"somebody", b"stale", with_id=False) + response)
        elif behaviour == "unnamed":
            write(self._complete_response(ident, response_body(ident), with_id=False))
        elif behaviour == "twice":
            write(response + response)
        elif behaviour == "interim":
            write(b"HTTP/1.1 103 Early\r\n\r\n" + response)
        elif behaviour == "cut-in-head":
            write(response[:40])
            self.transport.abort()
        elif behaviour == "cut-in-body":
            write(response[:-3])
            self.transport.abort()
        elif behaviour == "reset":
            self.transport.abort()
        elif behaviour == "noise":
            write(b"\x00\x01 what\r\n\r\n")
        elif behaviour == "error":
            write(self._head(500, ident, self._signature_field(ident)) + b"Content-Length: 0\r\n\r\n")
        elif behaviour == "chunk-cut":
            write(
                self._head(200, ident, self._signature_field(ident))
                + b"Transfer-Encoding: chunked\r\n\r\n5\r\nfor"
            )
            self.transport.abort()
        else:
            write(response)


BEHAVIOURS = (
    "ok",
    "full",
    "slow",
    "silent",
    "other-first",
    "unnamed-other-first",
    "unnamed",
    "twice",
    "surplus",
    "interim",
    "cut-in-head",
    "cut-in-body",
    "chunk-cut",
    "reset",
    "noise",
    "error",
)


class HostileClient(asyncio.Protocol):
    """A persistent connection of a client, without pipelining."""

    def __init__(self, on_response: Callable[[HostileClient], None]) -> None:
        self.transport: Any = None
        self.reader = MessageParser(responses=True, max_body_bytes=1 << 20)
        self.exchange: Exchange | None = None
        self.open = True
        self.unsolicited = b""
        self._on_response = on_response

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            self.unsolicited += data
            return
        self.reader.feed(data)
        message = self.reader.next_message()
        if message is None:
            return
        exchange, self.exchange = self.exchange, None
        exchange.status, exchange.body, exchange.complete = int(message.start_line[0]), message.body, True
        if not message.keep_alive:
            self.open = False
        self._on_response(self)

    def connection_lost(self, _error: Exception | None) -> None:
        self.open = False
        self.exchange = None


class HostileWorld(SidecarWorld):
    """A sidecar between faulty endpoints and clients."""

    executions: list[Execution]
    exchanges: list[Exchange]
    behaviours: list[str]
    connections: list[HostileClient]

    def prepare(self) -> None:
        """Initialize the records of requests and connections."""
        self.executions, self.exchanges, self.behaviours, self.connections = [], [], [], []
        self._number = 0

    def next_behaviour(self) -> str:
        """Return the behaviour for the next request, at whichever endpoint it arrives."""
        return self.behaviours.pop(0) if self.behaviours else "ok"

    async def _listen(self, endpoint: EndpointStub) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: HostileConnection(endpoint, self), endpoint.name, SERVICE_PORT)

    async def send(self, path: str, reuse_connection: bool) -> HostileClient | None:
        """Send a request on an idle connection if `reuse_connection` is set, otherwise on a new one."""
        idle = [c for c in self.connections if c.open and c.exchange is None]
        if reuse_connection and idle:
            client = idle[0]
        else:
            CURRENT_INCARNATION.set(Incarnation("client"))
            _, client = await self.loop.create_connection(
                lambda: HostileClient(lambda _client: None), "e1", FRONT_PORT
            )
            self.connections.append(client)
        self._number += 1
        exchange = Exchange(f"q{self._number}", path, self.loop.time())
        self.exchanges.append(exchange)
        client.exchange = exchange
        request = f"GET {path} HTTP/1.1\r\nHost: h\r\nWheatring-Request-Id: {exchange.ident}\r\n\r\n"
        client.transport.write(request.encode())
        return client

    def leave(self, client: HostileClient, how: str) -> None:
        """Close a client's connection, gracefully or by a reset."""
        if client.exchange is not None:
            client.exchange.disconnected_at = self.loop.time()
        client.open = False
        if how == "reset":
            client.transport.abort()
        else:
            client.transport.close()

    # Checks

    def verify(self, max_attempts: int) -> None:
        """Check that responses match their requests, and the limits of attempts and of cancellation."""
        for exchange in self.exchanges:
            executions = [execution for execution in self.executions if execution.ident == exchange.ident]
            self._verify_response(exchange, executions)
            limit = 1 if "unsafe" in exchange.path else max_attempts
            assert len(executions) <= limit, f"{exchange.ident} was executed {len(executions)} times"
            self._verify_cancelled(exchange, executions)
        for client in self.connections:
            assert not client.unsolicited, f"unsolicited bytes: {client.unsolicited!r}"

    @staticmethod
    def _verify_response(exchange: Exchange, executions: list[Execution]) -> None:
        if exchange.status == 200:
            assert exchange.body == response_body(exchange.ident.encode()), exchange
        if exchange.status in (429, 503):
            assert not executions, f"{exchange.ident} was executed but got status {exchange.status}"

    def _verify_cancelled(self, exchange: Exchange, executions: list[Execution]) -> None:
        if (
            exchange.disconnected_at is None
            or self.loop.time() < exchange.disconnected_at + CANCEL_GRACE_SECONDS
        ):
            return
        for execution in executions:
            assert execution.started_at <= exchange.disconnected_at + CANCEL_GRACE_SECONDS, (
                f"{exchange.ident} started too late"
            )
            ended_at = execution.ended_at if execution.ended_at is not None else self.loop.time()
            assert ended_at <= exchange.disconnected_at + CANCEL_GRACE_SECONDS, (
                f"execution of {exchange.ident} was not cancelled"
            )
