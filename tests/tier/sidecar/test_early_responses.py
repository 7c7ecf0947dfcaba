"""Responses that come before their request was read, and bodies that only the end of a connection ends."""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path

import pytest

from tests.tier.sidecar.loopback import HOST, LoopbackSidecar, exchange, listening, route
from wheatring.tier.sidecar.endpoint_connection import has_undelivered_bytes

SAFE = route("/safe/", "safe", maxAttempts=1)
UNSAFE = route("/unsafe/", "unsafe", maxAttempts=1)
BODY_BYTES = 4_000_000
RECEIVE_BUFFER_BYTES = 16 * 1024  # so that the sidecar still holds most of a body that nobody reads
HEAD = "HTTP/1.1 200 X\r\nWheatring-Request-Id: {}\r\nWheatring-Response-Signature: s\r\n"
WAIT_SECONDS = 5.0


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
    return lines[0], fields


async def upload(port: int, request_id: str, body: bytes) -> bytes:
    """Send a request with a large body; return all that comes until the connection is closed."""
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


def test_an_endpoint_that_answers_before_it_reads_gets_the_rest_of_that_body_and_nothing_else() -> None:
    """It holds the connection open, and reads on once two further requests were answered."""
    bodies: dict[str, bytes] = {}
    is_read_on = asyncio.Event()
    finished: list[asyncio.Task[None]] = []

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, fields = await read_head(reader)
                request_id = fields["wheatring-request-id"]
                writer.write((HEAD.format(request_id) + "Content-Length: 2\r\n\r\nok").encode())
                if request_id == "early":
                    await is_read_on.wait()
                bodies[request_id] = await reader.read(int(fields.get("content-length") or 0))
                while len(bodies[request_id]) < int(fields.get("content-length") or 0):
                    more = await reader.read(1 << 16)
                    if not more:
                        return
                    bodies[request_id] += more
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(answer(reader, writer))
        finished.append(task)
        await task

    async def run_scenario() -> None:
        listener = socket.create_server((HOST, 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        server = await asyncio.start_server(accept, sock=listener, limit=1 << 14)
        sidecar = LoopbackSidecar([UNSAFE], [f"{HOST}:{server.sockets[0].getsockname()[1]}"])
        async with listening(sidecar.service.handle_request) as port:
            early = b"a" * BODY_BYTES
            first = await upload(port, "early", early)
            assert first.endswith(b"\r\n\r\nok")
            for number in range(2):
                later = b"%d" % number * 1000
                assert (await upload(port, f"later{number}", later)).endswith(b"\r\n\r\nok")
            is_read_on.set()
            async with asyncio.timeout(WAIT_SECONDS):
                await asyncio.wait(finished, timeout=1.0)
            assert early.startswith(bodies["early"])  # whatever came of it is its own
            assert bodies["later0"] == b"0" * 1000 and bodies["later1"] == b"1" * 1000
        server.close()

    asyncio.run(run_scenario())


@pytest.mark.parametrize(("is_reset", "status"), [(False, b"200"), (True, b"502")])
def test_a_body_without_a_length_is_complete_only_at_an_orderly_close(is_reset: bool, status: bytes) -> None:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
        server = await asyncio.start_server(answer, HOST, 0)
        sidecar = LoopbackSidecar([SAFE], [f"{HOST}:{server.sockets[0].getsockname()[1]}"])
        async with listening(sidecar.service.handle_request) as port:
            raw = await exchange(port, "/safe/x", "q")
        server.close()
        return raw

    raw = asyncio.run(run_scenario())
    assert raw.startswith(b"HTTP/1.1 " + status)
    assert raw.endswith(b"half") is not is_reset


class SilentSystemTransport:
    """A transport whose system cannot tell what the peer has taken."""

    def __init__(self, buffered: int, fileno: int) -> None:
        self.buffered = buffered
        self._fileno = fileno

    def get_write_buffer_size(self) -> int:
        return self.buffered

    def get_extra_info(self, _name: str) -> SilentSystemTransport:
        return self

    def fileno(self) -> int:
        return self._fileno


@pytest.mark.parametrize(("buffered", "has_bytes"), [(0, False), (1, True)])
def test_where_the_system_cannot_tell_the_transport_s_own_buffer_decides(
    buffered: int, has_bytes: bool, tmp_path: Path
) -> None:
    with (tmp_path / "no-socket").open("w") as file:
        assert has_undelivered_bytes(SilentSystemTransport(buffered, file.fileno())) is has_bytes
    assert has_undelivered_bytes(SilentSystemTransport(buffered, -1)) is has_bytes
