"""Endpoints and clients that behave as badly as the operators' pages allow, and the oracle for them.

What an answer holds names the request that it belongs to, so whoever gets another's can be told at once.
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

WORK_SECONDS = 0.02  # that an endpoint takes for an answer
SURPLUS_SECONDS = 0.05  # after an answer, until a surplus one comes
GONE_SECONDS = 0.5  # after a client has left, in which work for it may go on


def body_for(ident: bytes) -> bytes:
    """Return the body of the answer to a request."""
    return b"for " + ident


@dataclass
class Work:
    """One run of a request at an endpoint."""

    ident: str
    began: float
    ended: float | None = None


@dataclass
class Exchange:
    """One request of a client, and what came of it."""

    ident: str
    path: str
    sent_at: float
    left_at: float | None = None
    status: int = 0
    body: bytes = b""
    whole: bool = False


class HostileConnection(EndpointConnection):
    """One connection to an endpoint. Each behaviour is one word, taken from the world's list."""

    def __init__(self, endpoint: EndpointStub, world: HostileWorld) -> None:
        super().__init__(endpoint)
        self.world = world
        self.work: Work | None = None

    def connection_lost(self, _error: Exception | None) -> None:
        """Drop the request in flight, since the sidecar has closed."""
        self._end_work()
        if hasattr(self, "task"):
            self.task.cancel()

    def _end_work(self) -> None:
        if self.work is not None and self.work.ended is None:
            self.work.ended = asyncio.get_running_loop().time()

    async def answer(self, message: Message) -> None:
        ident = message.fields.get(b"wheatring-request-id", b"")
        behaviour = self.world.next_behaviour()
        write = self.transport.write
        if behaviour == "full":
            write(self._head(503, ident, b"Wheatring-Not-Executed: 1\r\n") + b"Content-Length: 0\r\n\r\n")
            return
        self.work = Work(ident.decode(), asyncio.get_running_loop().time())
        self.world.work.append(self.work)
        if behaviour == "slow":
            await asyncio.sleep(1.2)
        await asyncio.sleep(WORK_SECONDS)
        if behaviour == "silent":
            return
        self._end_work()
        self._write_answer(behaviour, ident)
        if behaviour == "surplus":
            await asyncio.sleep(SURPLUS_SECONDS)
            write(self._whole(b"surplus", b"stale"))

    def _signed(self, ident: bytes) -> bytes:
        return b"Wheatring-Response-Signature: s-%s\r\n" % ident

    def _whole(self, ident: bytes, body: bytes, *, with_id: bool = True) -> bytes:
        named = b"Wheatring-Request-Id: %s\r\n" % ident if with_id else b""
        return (
            b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n"
            + named
            + self._signed(ident)
            + b"Content-Length: %d\r\n\r\n" % len(body)
            + body
        )

    def _write_answer(self, behaviour: str, ident: bytes) -> None:
        write = self.transport.write
        whole = self._whole(ident, body_for(ident))
        if behaviour == "other-first":
            write(self._whole(b"somebody", b"stale") + whole)
        elif behaviour == "unnamed-other-first":
            write(self._whole(b"somebody", b"stale", with_id=False) + whole)
        elif behaviour == "unnamed":
            write(self._whole(ident, body_for(ident), with_id=False))
        elif behaviour == "twice":
            write(whole + whole)
        elif behaviour == "interim":
            write(b"HTTP/1.1 103 Early\r\n\r\n" + whole)
        elif behaviour == "cut-in-head":
            write(whole[:40])
            self.transport.abort()
        elif behaviour == "cut-in-body":
            write(whole[:-3])
            self.transport.abort()
        elif behaviour == "reset":
            self.transport.abort()
        elif behaviour == "noise":
            write(b"\x00\x01 what\r\n\r\n")
        elif behaviour == "error":
            write(self._head(500, ident, self._signed(ident)) + b"Content-Length: 0\r\n\r\n")
        elif behaviour == "chunk-cut":
            write(self._head(200, ident, self._signed(ident)) + b"Transfer-Encoding: chunked\r\n\r\n5\r\nfor")
            self.transport.abort()
        else:
            write(whole)


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
    """One kept connection of a client: one request after the other."""

    def __init__(self, finished: Callable[[HostileClient], None]) -> None:
        self.transport: Any = None
        self.reader = MessageParser(responses=True, max_body_bytes=1 << 20)
        self.exchange: Exchange | None = None
        self.open = True
        self.stray = b""
        self._finished = finished

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            self.stray += data
            return
        self.reader.feed(data)
        message = self.reader.next_message()
        if message is None:
            return
        exchange, self.exchange = self.exchange, None
        exchange.status, exchange.body, exchange.whole = int(message.start_line[0]), message.body, True
        if not message.keep_alive:
            self.open = False
        self._finished(self)

    def connection_lost(self, _error: Exception | None) -> None:
        self.open = False
        self.exchange = None


class HostileWorld(SidecarWorld):
    """One sidecar between such endpoints and clients."""

    work: list[Work]
    exchanges: list[Exchange]
    behaviours: list[str]
    connections: list[HostileClient]

    def prepare(self) -> None:
        """Start with empty records."""
        self.work, self.exchanges, self.behaviours, self.connections = [], [], [], []
        self._number = 0

    def next_behaviour(self) -> str:
        """Return what the endpoint does that gets the next request, whichever it is."""
        return self.behaviours.pop(0) if self.behaviours else "ok"

    async def _listen(self, endpoint: EndpointStub) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: HostileConnection(endpoint, self), endpoint.name, SERVICE_PORT)

    async def send(self, path: str, kept: bool) -> HostileClient | None:
        """Send a request on a kept connection that is free, or on a new one."""
        resting = [c for c in self.connections if c.open and c.exchange is None]
        if kept and resting:
            client = resting[0]
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
        """Close a client, gracefully or by a reset."""
        if client.exchange is not None:
            client.exchange.left_at = self.loop.time()
        client.open = False
        if how == "reset":
            client.transport.abort()
        else:
            client.transport.close()

    # The oracle

    def verify(self, most_attempts: int) -> None:
        """Check that each answer is of its request, and that none ran too often or for a client that left."""
        for exchange in self.exchanges:
            works = [work for work in self.work if work.ident == exchange.ident]
            self._verify_answer(exchange, works)
            limit = 1 if "unsafe" in exchange.path else most_attempts
            assert len(works) <= limit, f"{exchange.ident} ran {len(works)} times"
            self._verify_left(exchange, works)
        for client in self.connections:
            assert not client.stray, f"bytes that nobody asked for: {client.stray!r}"

    @staticmethod
    def _verify_answer(exchange: Exchange, works: list[Work]) -> None:
        if exchange.status == 200:
            assert exchange.body == body_for(exchange.ident.encode()), exchange
        if exchange.status in (429, 503):
            assert not works, f"{exchange.ident} ran and was answered {exchange.status}"

    def _verify_left(self, exchange: Exchange, works: list[Work]) -> None:
        if exchange.left_at is None or self.loop.time() < exchange.left_at + GONE_SECONDS:
            return
        for work in works:
            assert work.began <= exchange.left_at + GONE_SECONDS, f"{exchange.ident} ran for nobody"
            ended = work.ended if work.ended is not None else self.loop.time()
            assert ended <= exchange.left_at + GONE_SECONDS, f"work for {exchange.ident} went on"
