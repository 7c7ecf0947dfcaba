"""Responses sent before the request was read, and bodies that are ended by closing the connection."""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path

import pytest

from tests.tier.sidecar.loopback import HOST, LoopbackSidecar, client_listener, route, send_request
from wheatring.tier.sidecar.endpoint_connection import has_undelivered_bytes

SAFE = route("/safe/", "safe", maxAttempts=1)
UNSAFE = route("/unsafe/", "unsafe", maxAttempts=1)
BODY_BYTES = 4_000_000
RECEIVE_BUFFER_BYTES = 16 * 1024  # Small, so that most of an unread body remains at the sidecar.
HEAD = "HTTP/1.1 200 X\r\nWheatring-Request-Id: {}\r\nWheatring-Response-Signature: s\r\n"
WAIT_SECONDS = 5.0


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
    return lines[0], fields


async def upload(port: int, request_id: str, body: bytes) -> bytes:
    """Send a request with a body; return all bytes that arrive until the connection is closed."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(
        f"POST /unsafe/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {len(body)}\r\n"
        f"Wheatring-Request-Id: {request_id}\r\nWheatring-Deadline-Ms: 5000\r\n\r\n".encode()
    )
    writer.write(body)
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            return await reader.read(-1)
    finally:
        writer.close()


def test_connection_is_not_reused_after_a_response_before_the_request_body_was_read() -> None:
    """The endpoint responds early and only reads the rest of the body after two further requests."""
    bodies: dict[str, bytes] = {}
    may_read_body = asyncio.Event()
    tasks: list[asyncio.Task[None]] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, fields = await read_head(reader)
                request_id = fields["wheatring-request-id"]
                writer.write((HEAD.format(request_id) + "Content-Length: 2\r\n\r\nok").encode())
                if request_id == "early":
                    await may_read_body.wait()
                bodies[request_id] = await reader.read(int(fields.get("content-length") or 0))
                while len(bodies[request_id]) < int(fields.get("content-length") or 0):
                    data = await reader.read(1 << 16)
                    if not data:
                        return
                    bodies[request_id] += data
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(serve(reader, writer))
        tasks.append(task)
        await task

    async def run_scenario() -> None:
        listener = socket.create_server((HOST, 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        server = await asyncio.start_server(accept, sock=listener, limit=1 << 14)
        sidecar = LoopbackSidecar([UNSAFE], [f"{HOST}:{server.sockets[0].getsockname()[1]}"])
        async with client_listener(sidecar.service.handle_request) as port:
            early = b"a" * BODY_BYTES
            first = await upload(port, "early", early)
            assert first.endswith(b"\r\n\r\nok")
            for number in range(2):
                later = b"%d" % number * 1000
                assert (await upload(port, f"later{number}", later)).endswith(b"\r\n\r\nok")
            may_read_body.set()
            async with asyncio.timeout(WAIT_SECONDS):
                await asyncio.wait(tasks, timeout=1.0)
            assert early.startswith(bodies["early"])  # No bytes of another request follow.
            assert bodies["later0"] == b"0" * 1000 and bodies["later1"] == b"1" * 1000
        server.close()

    asyncio.run(run_scenario())


@pytest.mark.parametrize(("is_reset", "status"), [(False, b"200"), (True, b"502")])
def test_body_without_length_is_complete_only_after_orderly_close(is_reset: bool, status: bytes) -> None:
    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, fields = await read_head(reader)
        writer.write((HEAD.format(fields["wheatring-request-id"]) + "\r\nhalf").encode())
        await writer.drain()
        await asyncio.sleep(0.05)
        if is_reset:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        writer.close()

    async def run_scenario() -> bytes:
        server = await asyncio.start_server(respond, HOST, 0)
        sidecar = LoopbackSidecar([SAFE], [f"{HOST}:{server.sockets[0].getsockname()[1]}"])
        async with client_listener(sidecar.service.handle_request) as port:
            raw = await send_request(port, "/safe/x", "q")
        server.close()
        return raw

    raw = asyncio.run(run_scenario())
    assert raw.startswith(b"HTTP/1.1 " + status)
    assert raw.endswith(b"half") is not is_reset


class UnqueryableTransport:
    """A transport whose socket does not support the query for unacknowledged bytes."""

    def __init__(self, buffered: int, fileno: int) -> None:
        self.buffered = buffered
        self._fileno = fileno

    def get_write_buffer_size(self) -> int:
        return self.buffered

    def get_extra_info(self, _name: str) -> UnqueryableTransport:
        return self

    def fileno(self) -> int:
        return self._fileno


@pytest.mark.parametrize(("buffered", "has_bytes"), [(0, False), (1, True)])
def test_write_buffer_is_used_where_the_socket_cannot_be_queried(
    buffered: int, has_bytes: bool, tmp_path: Path
) -> None:
    with (tmp_path / "no-socket").open("w") as file:
        assert has_undelivered_bytes(UnqueryableTransport(buffered, file.fileno())) is has_bytes
    assert has_undelivered_bytes(UnqueryableTransport(buffered, -1)) is has_bytes
