"""A connection to an endpoint carries one request at a time: one owner returns it, once."""

from __future__ import annotations

import asyncio

import pytest

from tests.tier.sidecar.loopback import EndpointExchange, exchange, route, running
from wheatring.common.http_parser import MessageParser
from wheatring.tier.sidecar.connection_pool import AcquiredConnection, EndpointConnectionPool
from wheatring.tier.sidecar.endpoint_connection import EndpointConnection
from wheatring.tier.sidecar.exceptions import ConnectionReturnedError

STREAM = route("/stream/", "streaming")
RESUMABLE = route("/resume/", "streaming", resumable=True, maxAttempts=3)
SAFE = route("/safe/", "safe")

EVENTS = 6
EVENT_INTERVAL_SECONDS = 0.02
NOTICE_SECONDS = 5.0  # for an endpoint to notice that its connection was closed


def events(request_id: str) -> list[str]:
    return [f"data: {request_id}-{number}" for number in range(1, EVENTS + 1)]


def received_events(raw: bytes) -> list[str]:
    return [line for line in raw.decode().split("\n") if line.startswith("data: ")]


async def stream_or_not_found(request: EndpointExchange) -> None:
    """Answer 404 where nothing is, else a stream of events that name their request."""
    if "missing" in request.path:
        await request.start(404, "Content-Length: 2")
        request.writer.write(b"no")
        return
    await request.start(200, "Transfer-Encoding: chunked")
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        await request.event(number)
    await request.chunk(b"")


def test_two_requests_never_share_a_connection_after_a_response_that_is_no_stream() -> None:
    async def run_scenario() -> None:
        async with running([STREAM], stream_or_not_found) as (sidecar, endpoint):
            missing = await exchange(sidecar.port, "/stream/missing", "m")
            assert missing.startswith(b"HTTP/1.1 404 ") and missing.endswith(b"\r\n\r\nno")
            first, second = await asyncio.gather(
                exchange(sidecar.port, "/stream/x", "a"), exchange(sidecar.port, "/stream/x", "b")
            )
            assert received_events(first) == events("a")
            assert received_events(second) == events("b")
            writers = {id(each.writer) for each in endpoint.exchanges if "missing" not in each.path}
            assert len(writers) == 2

    asyncio.run(run_scenario())


def test_a_complete_response_that_is_no_complete_stream_ends_its_connection() -> None:
    async def half_an_event(request: EndpointExchange) -> None:
        await request.start(200, "Transfer-Encoding: chunked")
        await request.chunk(b"id: 1\nda")
        await request.chunk(b"")

    async def run_scenario() -> None:
        async with running([STREAM], half_an_event) as (sidecar, endpoint):
            raw = await exchange(sidecar.port, "/stream/x", "a")
            assert not raw.endswith(b"0\r\n\r\n")
            async with asyncio.timeout(NOTICE_SECONDS):
                while not endpoint.closed_connections:
                    await asyncio.sleep(EVENT_INTERVAL_SECONDS)

    asyncio.run(run_scenario())


def test_the_rest_of_a_stream_is_not_taken_from_a_response_that_is_no_stream() -> None:
    async def break_off_then_not_found(request: EndpointExchange) -> None:
        if "last-event-id" in request.fields:
            await request.start(404, "Content-Length: 0")
            return
        await request.start(200, "Transfer-Encoding: chunked")
        await request.event(1)
        request.writer.transport.abort()

    async def run_scenario() -> None:
        async with running([RESUMABLE], break_off_then_not_found, endpoints=2) as (sidecar, _):
            raw = await exchange(sidecar.port, "/resume/x", "a")
            assert received_events(raw) == ["data: a-1"]
            assert not raw.endswith(b"0\r\n\r\n")
            assert raw.count(b"HTTP/1.1 ") == 1

    asyncio.run(run_scenario())


@pytest.mark.parametrize(("status", "field"), [(503, "Wheatring-Not-Executed: 1"), (500, "X-None: 1")])
def test_a_connection_is_used_again_after_an_error_that_was_read_completely(status: int, field: str) -> None:
    async def error_then_ok(request: EndpointExchange) -> None:
        is_first = "a1" in request.request_id
        await request.start(
            status if is_first else 200, f"{field}\r\nContent-Length: 2" if is_first else "Content-Length: 2"
        )
        request.writer.write(b"ok")

    async def run_scenario() -> None:
        async with running([SAFE | {"maxAttempts": 1}], error_then_ok) as (sidecar, endpoint):
            assert (await exchange(sidecar.port, "/safe/x", "a1")).startswith(
                b"HTTP/1.1 503 " if status == 503 else b"HTTP/1.1 500 "
            )
            answers = await asyncio.gather(*(exchange(sidecar.port, "/safe/x", f"b{n}") for n in range(2)))
            assert all(answer.startswith(b"HTTP/1.1 200 ") for answer in answers)
            later = [id(each.writer) for each in endpoint.exchanges[1:]]
            assert len(set(later)) == 2
            assert id(endpoint.exchanges[0].writer) in later

    asyncio.run(run_scenario())


def test_a_connection_that_was_returned_is_not_used_or_returned_again() -> None:
    async def run_scenario() -> None:
        pool = EndpointConnectionPool()
        connection = AcquiredConnection(EndpointConnection("e1", "127.0.0.1:1"), pool)
        parser = MessageParser(responses=True, max_body_bytes=10)
        parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        message = parser.next_message()
        assert message is not None
        connection.release(message)
        with pytest.raises(ConnectionReturnedError):
            connection.release(message)
        with pytest.raises(ConnectionReturnedError):
            await connection.send(b"", b"")
        with pytest.raises(ConnectionReturnedError):
            await connection.read_body()
        connection.abort()  # nothing is left to end

    asyncio.run(run_scenario())
