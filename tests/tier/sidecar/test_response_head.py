"""Behind the head of a response come only the rest of its body or the end of the connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.tier.sidecar.loopback import EndpointExchange, exchange, listening, route, running
from wheatring.common.http_parser import Message
from wheatring.tier.sidecar.client_connection import ClientConnection
from wheatring.tier.sidecar.exceptions import ResponseStartedError

SAFE = route("/safe/", "safe")
UNSAFE = route("/unsafe/", "unsafe")
STREAM = route("/stream/", "streaming")
RESUMABLE = route("/resume/", "streaming", resumable=True)
ROUTES = [SAFE, UNSAFE, STREAM, RESUMABLE]

DEADLINE_MS = 300
STALL_SECONDS = 3.0  # far behind the deadline
LARGE_BYTES = 400_000  # more than is held back until a response is complete

Script = Callable[[EndpointExchange], Awaitable[None]]


async def large_with_length(request: EndpointExchange) -> None:
    await request.start(200, f"Content-Length: {2 * LARGE_BYTES}")
    request.writer.write(b"x" * LARGE_BYTES)
    await asyncio.sleep(STALL_SECONDS)


async def large_chunked(request: EndpointExchange) -> None:
    await request.start(200, "Transfer-Encoding: chunked")
    await request.chunk(b"x" * LARGE_BYTES)
    await asyncio.sleep(STALL_SECONDS)


async def large_that_is_reset(request: EndpointExchange) -> None:
    await request.start(200, "Transfer-Encoding: chunked")
    await request.chunk(b"x" * LARGE_BYTES)
    await asyncio.sleep(DEADLINE_MS / 3000)
    request.writer.transport.abort()


async def stalled_stream(request: EndpointExchange) -> None:
    await request.start(200, "Transfer-Encoding: chunked")
    await request.event(1)
    await asyncio.sleep(STALL_SECONDS)


async def reset_stream(request: EndpointExchange) -> None:
    await request.start(200, "Transfer-Encoding: chunked")
    await request.event(1)
    await asyncio.sleep(DEADLINE_MS / 3000)
    request.writer.transport.abort()


def error_first(then: Script) -> Script:
    """Return a script that answers the first request with an error of the endpoint's own."""
    seen: list[str] = []

    async def script(request: EndpointExchange) -> None:
        seen.append(request.request_id)
        if len(seen) > 1:
            await then(request)
            return
        await request.start(500, "Content-Length: 5")
        request.writer.write(b"sorry")

    return script


CASES: list[tuple[str, Script]] = [
    ("/safe/x", large_with_length),
    ("/safe/x", large_chunked),
    ("/safe/x", large_that_is_reset),
    ("/unsafe/x", large_with_length),
    ("/unsafe/x", large_chunked),
    ("/unsafe/x", large_that_is_reset),
    ("/safe/x", error_first(large_with_length)),
    ("/safe/x", error_first(large_chunked)),
    ("/stream/x", stalled_stream),
    ("/stream/x", reset_stream),
    ("/resume/x", stalled_stream),
    ("/resume/x", reset_stream),
    ("/resume/x", error_first(stalled_stream)),
]


@pytest.mark.parametrize(("path", "script"), CASES)
def test_a_response_that_broke_off_holds_no_second_head_and_looks_incomplete(
    path: str, script: Script
) -> None:
    async def run_scenario() -> None:
        async with running(ROUTES, script, endpoints=2) as (sidecar, _):
            raw = await exchange(sidecar.port, path, "a", DEADLINE_MS)
        assert raw.startswith(b"HTTP/1.1 200 ")
        assert raw.count(b"HTTP/1.1 ") == 1
        assert b"sorry" not in raw
        assert not raw.endswith(b"0\r\n\r\n")
        assert len(raw) < 2 * LARGE_BYTES  # what was stated has not come

    asyncio.run(run_scenario())


@pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
def test_a_response_that_is_no_stream_and_never_ends_is_answered_at_the_deadline(path: str) -> None:
    async def stalled_error(request: EndpointExchange) -> None:
        await request.start(404, "Content-Length: 10")
        request.writer.write(b"half")
        await asyncio.sleep(STALL_SECONDS)

    async def run_scenario() -> None:
        async with running(ROUTES, stalled_error) as (sidecar, _):
            began = asyncio.get_running_loop().time()
            raw = await exchange(sidecar.port, path, "a", DEADLINE_MS)
            assert raw.startswith(b"HTTP/1.1 504 ") and raw.count(b"HTTP/1.1 ") == 1
            assert asyncio.get_running_loop().time() - began < STALL_SECONDS

    asyncio.run(run_scenario())


def test_a_response_that_is_no_stream_and_breaks_off_is_answered_with_an_error() -> None:
    async def half_an_error(request: EndpointExchange) -> None:
        await request.start(404, "Content-Length: 10")
        request.writer.write(b"half")
        await request.writer.drain()
        request.writer.transport.close()

    async def run_scenario() -> None:
        async with running(ROUTES, half_an_error) as (sidecar, _):
            raw = await exchange(sidecar.port, "/stream/x", "a", DEADLINE_MS)
            assert raw.startswith(b"HTTP/1.1 502 ")

    asyncio.run(run_scenario())


Answer = Callable[[ClientConnection], None]


def answer_by(answer: Answer) -> bytes:
    """Return the bytes that a client gets from a handler that answers so."""

    async def handle(client: ClientConnection, _message: Message, _received_at: float) -> None:
        answer(client)

    async def run_scenario() -> bytes:
        async with listening(handle) as port:
            return await exchange(port, "/", "a")

    return asyncio.run(run_scenario())


def test_a_second_head_is_refused() -> None:
    refused: list[bool] = []

    def answer(client: ClientConnection) -> None:
        client.start_response(200, b"", 4)
        client.write_body(b"ab")
        for second in (client.send_response, lambda status: client.start_response(status, b"")):
            with pytest.raises(ResponseStartedError):
                second(504)
            refused.append(True)

    raw = answer_by(answer)
    assert raw.endswith(b"\r\n\r\nab") and refused == [True, True]


def test_an_error_behind_a_head_cuts_the_response_off() -> None:
    def answer(client: ClientConnection) -> None:
        client.start_response(200, b"", None)
        client.write_body(b"ab")
        client.send_error(504)

    raw = answer_by(answer)
    assert raw.count(b"HTTP/1.1 ") == 1 and raw.endswith(b"\r\n\r\n2\r\nab\r\n")


@pytest.mark.parametrize("is_started", [False, True])
def test_a_handler_that_leaves_a_response_incomplete_ends_the_connection(is_started: bool) -> None:
    def answer(client: ClientConnection) -> None:
        if is_started:
            client.start_response(200, b"", 4)

    raw = answer_by(answer)
    assert raw.count(b"HTTP/1.1 ") == int(is_started)
