"""A connection to an endpoint carries one request at a time, and is returned exactly once."""

from __future__ import annotations

import asyncio

import pytest

from tests.tier.sidecar.loopback import EndpointExchange, route, running_sidecar, send_request
from wheatring.common.http_parser import MessageParser
from wheatring.tier.sidecar.connection_pool import AcquiredConnection, EndpointConnectionPool
from wheatring.tier.sidecar.endpoint_connection import EndpointConnection
from wheatring.tier.sidecar.exceptions import ConnectionReturnedError

STREAM = route("/stream/", "streaming")
RESUMABLE = route("/resume/", "streaming", resumable=True, maxAttempts=3)
SAFE = route("/safe/", "safe")

EVENTS = 6
EVENT_INTERVAL_SECONDS = 0.02
CLOSE_TIMEOUT_SECONDS = 5.0  # An endpoint must see the close of its connection within this time.


def events(request_id: str) -> list[str]:
    return [f"data: {request_id}-{number}" for number in range(1, EVENTS + 1)]


def received_events(raw: bytes) -> list[str]:
    return [line for line in raw.decode().split("\n") if line.startswith("data: ")]


async def stream_or_not_found(request: EndpointExchange) -> None:
    """Respond 404 to a path with "missing", otherwise with a stream whose events name the request."""
    if "missing" in request.path:
        await request.start(404, "Content-Length: 2")
        request.writer.write(b"no")
        return
    await request.start(200, "Transfer-Encoding: chunked")
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        await request.event(number)
    await request.chunk(b"")


def test_requests_share_no_connection_after_a_response_that_is_no_stream() -> None:
    async def run_scenario() -> None:
        async with running_sidecar([STREAM], stream_or_not_found) as (sidecar, endpoint):
            missing = await send_request(sidecar.port, "/stream/missing", "m")
            assert missing.startswith(b"HTTP/1.1 404 ") and missing.endswith(b"\r\n\r\nno")
            first, second = await asyncio.gather(
                send_request(sidecar.port, "/stream/x", "a"), send_request(sidecar.port, "/stream/x", "b")
            )
            assert received_events(first) == events("a")
            assert received_events(second) == events("b")
            writers = {id(request.writer) for request in endpoint.exchanges if "missing" not in request.path}
            assert len(writers) == 2

    asyncio.run(run_scenario())


def test_response_that_ends_within_an_event_closes_its_connection() -> None:
    async def truncated_event(request: EndpointExchange) -> None:
        await request.start(200, "Transfer-Encoding: chunked")
        await request.chunk(b"id: 1\nda")
        await request.chunk(b"")

    async def run_scenario() -> None:
        async with running_sidecar([STREAM], truncated_event) as (sidecar, endpoint):
            raw = await send_request(sidecar.port, "/stream/x", "a")
            assert not raw.endswith(b"0\r\n\r\n")
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                while not endpoint.closed_connections:
                    await asyncio.sleep(EVENT_INTERVAL_SECONDS)

    asyncio.run(run_scenario())


def test_stream_is_not_resumed_by_a_response_that_is_no_stream() -> None:
    async def reset_then_not_found(request: EndpointExchange) -> None:
        if "last-event-id" in request.fields:
            await request.start(404, "Content-Length: 0")
            return
        await request.start(200, "Transfer-Encoding: chunked")
        await request.event(1)
        request.writer.transport.abort()

    async def run_scenario() -> None:
        async with running_sidecar([RESUMABLE], reset_then_not_found, endpoints=2) as (sidecar, _):
            raw = await send_request(sidecar.port, "/resume/x", "a")
            assert received_events(raw) == ["data: a-1"]
            assert not raw.endswith(b"0\r\n\r\n")
            assert raw.count(b"HTTP/1.1 ") == 1

    asyncio.run(run_scenario())


@pytest.mark.parametrize(("status", "field"), [(503, "Wheatring-Not-Executed: 1"), (500, "X-None: 1")])
def test_connection_is_reused_after_a_completely_read_error_response(status: int, field: str) -> None:
    async def error_then_ok(request: EndpointExchange) -> None:
        is_first = "a1" in request.request_id
        await request.start(
            status if is_first else 200, f"{field}\r\nContent-Length: 2" if is_first else "Content-Length: 2"
        )
        request.writer.write(b"ok")

    async def run_scenario() -> None:
        async with running_sidecar([SAFE | {"maxAttempts": 1}], error_then_ok) as (sidecar, endpoint):
            assert (await send_request(sidecar.port, "/safe/x", "a1")).startswith(
                b"HTTP/1.1 503 " if status == 503 else b"HTTP/1.1 500 "
            )
            responses = await asyncio.gather(
                *(send_request(sidecar.port, "/safe/x", f"b{n}") for n in range(2))
            )
            assert all(response.startswith(b"HTTP/1.1 200 ") for response in responses)
            later_writers = [id(request.writer) for request in endpoint.exchanges[1:]]
            assert len(set(later_writers)) == 2
            assert id(endpoint.exchanges[0].writer) in later_writers

    asyncio.run(run_scenario())


def test_returned_connection_cannot_be_used_or_returned_again() -> None:
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
        connection.abort()  # no effect on a returned connection

    asyncio.run(run_scenario())
