"""After a response head, only the rest of its body or the end of the connection may follow."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.tier.sidecar.loopback import (
    EndpointExchange,
    client_listener,
    route,
    running_sidecar,
    send_request,
)
from wheatring.common.http_parser import Message
from wheatring.tier.sidecar.client_connection import ClientConnection
from wheatring.tier.sidecar.exceptions import ResponseStartedError

SAFE = route("/safe/", "safe")
UNSAFE = route("/unsafe/", "unsafe")
STREAM = route("/stream/", "streaming")
RESUMABLE = route("/resume/", "streaming", resumable=True)
ROUTES = [SAFE, UNSAFE, STREAM, RESUMABLE]

DEADLINE_MS = 300
STALL_SECONDS = 3.0  # well beyond the deadline
LARGE_BYTES = 400_000  # more than a sidecar buffers until a response is complete

Script = Callable[[EndpointExchange], Awaitable[None]]


async def large_with_length(request: EndpointExchange) -> None:
    await request.start(200, f"Content-Length: {2 * LARGE_BYTES}")
    request.writer.write(b"x" * LARGE_BYTES)
    await asyncio.sleep(STALL_SECONDS)


async def large_chunked(request: EndpointExchange) -> None:
    await request.start(200, "Transfer-Encoding: chunked")
    await request.chunk(b"x" * LARGE_BYTES)
    await asyncio.sleep(STALL_SECONDS)


async def large_then_reset(request: EndpointExchange) -> None:
    await request.start(200, "Transfer-Encoding: chunked")
    await request.chunk(b"x" * LARGE_BYTES)
    await asyncio.sleep(DEADLINE_MS / 3000)
    request.writer.transport.abort()


async def stalled_stream(request: EndpointExchange) -> None:
    await request.start(200, "Transfer-Encoding: chunked")
    await request.event(1)
    await asyncio.sleep(STALL_SECONDS)


async def stream_then_reset(request: EndpointExchange) -> None:
    await request.start(200, "Transfer-Encoding: chunked")
    await request.event(1)
    await asyncio.sleep(DEADLINE_MS / 3000)
    request.writer.transport.abort()


def error_first(then: Script) -> Script:
    """Return a script that answers the first request with an error, and further ones by `then`."""
    request_ids: list[str] = []

    async def script(request: EndpointExchange) -> None:
        request_ids.append(request.request_id)
        if len(request_ids) > 1:
            await then(request)
            return
        await request.start(500, "Content-Length: 5")
        request.writer.write(b"sorry")

    return script


CASES: list[tuple[str, Script]] = [
    ("/safe/x", large_with_length),
    ("/safe/x", large_chunked),
    ("/safe/x", large_then_reset),
    ("/unsafe/x", large_with_length),
    ("/unsafe/x", large_chunked),
    ("/unsafe/x", large_then_reset),
    ("/safe/x", error_first(large_with_length)),
    ("/safe/x", error_first(large_chunked)),
    ("/stream/x", stalled_stream),
    ("/stream/x", stream_then_reset),
    ("/resume/x", stalled_stream),
    ("/resume/x", stream_then_reset),
    ("/resume/x", error_first(stalled_stream)),
]


@pytest.mark.parametrize(("path", "script"), CASES)
def test_interrupted_response_has_one_head_and_looks_incomplete(path: str, script: Script) -> None:
    async def run_scenario() -> None:
        async with running_sidecar(ROUTES, script, endpoints=2) as (sidecar, _):
            raw = await send_request(sidecar.port, path, "a", DEADLINE_MS)
        assert raw.startswith(b"HTTP/1.1 200 ")
        assert raw.count(b"HTTP/1.1 ") == 1
        assert b"sorry" not in raw
        assert not raw.endswith(b"0\r\n\r\n")
        assert len(raw) < 2 * LARGE_BYTES  # less than the stated length

    asyncio.run(run_scenario())


@pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
def test_stalled_response_that_is_no_stream_gets_504_at_the_deadline(path: str) -> None:
    async def stalled_error(request: EndpointExchange) -> None:
        await request.start(404, "Content-Length: 10")
        request.writer.write(b"half")
        await asyncio.sleep(STALL_SECONDS)

    async def run_scenario() -> None:
        async with running_sidecar(ROUTES, stalled_error) as (sidecar, _):
            started_at = asyncio.get_running_loop().time()
            raw = await send_request(sidecar.port, path, "a", DEADLINE_MS)
            assert raw.startswith(b"HTTP/1.1 504 ") and raw.count(b"HTTP/1.1 ") == 1
            assert asyncio.get_running_loop().time() - started_at < STALL_SECONDS

    asyncio.run(run_scenario())


def test_interrupted_response_that_is_no_stream_gets_502() -> None:
    async def truncated_error(request: EndpointExchange) -> None:
        await request.start(404, "Content-Length: 10")
        request.writer.write(b"half")
        await request.writer.drain()
        request.writer.transport.close()

    async def run_scenario() -> None:
        async with running_sidecar(ROUTES, truncated_error) as (sidecar, _):
            raw = await send_request(sidecar.port, "/stream/x", "a", DEADLINE_MS)
            assert raw.startswith(b"HTTP/1.1 502 ")

    asyncio.run(run_scenario())


Answer = Callable[[ClientConnection], None]


def received_bytes(answer: Answer) -> bytes:
    """Return the bytes that a client receives if `answer` writes the response."""

    async def handle(client: ClientConnection, _message: Message, _received_at: float) -> None:
        answer(client)

    async def run_scenario() -> bytes:
        async with client_listener(handle) as port:
            return await send_request(port, "/", "a")

    return asyncio.run(run_scenario())


def test_second_response_head_is_rejected() -> None:
    rejected: list[bool] = []

    def answer(client: ClientConnection) -> None:
        client.start_response(200, b"", 4)
        client.write_body(b"ab")
        for second in (client.send_response, lambda status: client.start_response(status, b"")):
            with pytest.raises(ResponseStartedError):
                second(504)
            rejected.append(True)

    raw = received_bytes(answer)
    assert raw.endswith(b"\r\n\r\nab") and rejected == [True, True]


def test_error_after_a_response_head_aborts_the_response() -> None:
    def answer(client: ClientConnection) -> None:
        client.start_response(200, b"", None)
        client.write_body(b"ab")
        client.send_error(504)

    raw = received_bytes(answer)
    assert raw.count(b"HTTP/1.1 ") == 1 and raw.endswith(b"\r\n\r\n2\r\nab\r\n")


@pytest.mark.parametrize("is_started", [False, True])
def test_incomplete_response_closes_the_connection(is_started: bool) -> None:
    def answer(client: ClientConnection) -> None:
        if is_started:
            client.start_response(200, b"", 4)

    raw = received_bytes(answer)
    assert raw.count(b"HTTP/1.1 ") == int(is_started)
