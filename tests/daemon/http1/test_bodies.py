"""Large and slow request and response bodies: memory stays bounded, and truncated bodies are detected."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import threading
from collections.abc import Callable
from functools import partial
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.process import platform_config, wait_for_line
from tests.support.world import WAIT_LIMIT_SECONDS, Peer, Wire, World, entry
from wheatring.common import log
from wheatring.common.body import WINDOW_LIMITS_BYTES, Body, BodyMemory
from wheatring.common.http_parser import BUFFERED_BODY_BYTES, MessageParser
from wheatring.daemon.http1 import caller_lifecycle, response_forwarder
from wheatring.daemon.http1.body_sender import BodySender

Make = Callable[..., World]
LARGE = bytes(range(256)) * 800  # 200 kB
FIELDS = "X-Correlation-Id: b1\r\nX-Service-Class: order\r\n"


def send_request_head(world: World, length: int | None = None) -> Wire:
    """Return a caller that has sent the head of a large request; without a length, the body is chunked."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    caller = world.caller()
    caller.send(f"POST /order HTTP/1.1\r\n{FIELDS}{framing}\r\n\r\n".encode())
    return caller


def read_head(wire: Wire) -> str:
    """Return the head of the next message in lower case, without its body."""
    while b"\r\n\r\n" not in wire.buffer:
        wire._receive()
    text, _, wire.buffer = wire.buffer.partition(b"\r\n\r\n")
    return text.decode().lower()


def read_body(wire: Wire, size: int) -> bytes:
    while len(wire.buffer) < size:
        wire._receive()
    data, wire.buffer = wire.buffer[:size], wire.buffer[size:]
    return data


def read_chunked_body(wire: Wire) -> bytes:
    """Return a complete chunked body."""
    content = b""
    while True:
        while b"\r\n" not in wire.buffer:
            wire._receive()
        size, _, wire.buffer = wire.buffer.partition(b"\r\n")
        piece = read_body(wire, int(size, 16) + 2)[:-2]
        if not piece:
            return content
        content += piece


def exhaust_body_memory(world: World) -> None:
    world.sidecar.server.body_memory.limit_bytes = 0


def test_large_response_is_streamed_while_it_is_received(make: Make) -> None:
    world = make()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.send(b"HTTP/1.1 200 OK\r\nX-Kept: 1\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE[:100000])
    received_head = read_head(caller)
    assert "x-kept: 1" in received_head and f"content-length: {len(LARGE)}" in received_head
    assert read_body(caller, 100000) == LARGE[:100000]  # the rest has not been sent yet
    node.send(LARGE[100000:])
    assert read_body(caller, 100000 + 4800) == LARGE[100000:]
    again = world.ask(wire=caller)  # both connections can be reused
    node.read()
    node.answer(200, b"next")
    assert again.read()[2] == b"next"


@pytest.mark.parametrize("is_http_1_0", [False, True], ids=["1.1", "1.0"])
@pytest.mark.parametrize(
    "framing", [f"Content-Length: {len(LARGE)}", "Transfer-Encoding: chunked", "X-Length: none"]
)
def test_truncated_response_is_not_passed_on_as_complete(make: Make, framing: str, is_http_1_0: bool) -> None:
    world = make(2)
    caller = world.caller()
    caller.send(f"GET /menu HTTP/{'1.0' if is_http_1_0 else '1.1'}\r\nX-Correlation-Id: b1\r\n\r\n".encode())
    node = world.first()
    node.read()
    node.send(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())
    node.send(b"%x\r\n%s\r\n" % (100000, LARGE[:100000]) if "chunked" in framing else LARGE[:100000])
    received_head = read_head(caller)
    node.reset()
    with pytest.raises((EOFError, OSError)) as end:
        read_chunked_body(caller) if "chunked" in received_head else read_body(caller, len(LARGE))
    assert "answer-cut" in world.logged("caller-connection")
    if is_http_1_0 and "content-length" not in received_head:  # only a reset distinguishes this from the end
        assert end.type is ConnectionResetError


@pytest.mark.parametrize("framing", ["Transfer-Encoding: chunked", "X-Length: none"])
def test_endless_slow_response_is_aborted_after_the_deadline(
    make: Make, monkeypatch: pytest.MonkeyPatch, framing: str
) -> None:
    """A response that has been started can't be retried, so without a limit it would be forwarded forever."""
    monkeypatch.setattr(response_forwarder, "STREAM_UNKNOWN_LENGTH_AFTER_SECONDS", 0.0)
    monkeypatch.setattr(response_forwarder, "MIN_RESPONSE_BYTES_PER_SECOND", 1e9)
    world = make()
    caller = world.ask(left=300)
    node = world.nodes[0].accept()
    node.read()
    node.send(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())
    read_head(caller)
    time_limit = world.run(world.sidecar.clock.now) + WAIT_LIMIT_SECONDS
    with pytest.raises((OSError, EOFError)):  # either end may detect the reset first
        while world.run(world.sidecar.clock.now) < time_limit:
            node.send(b"1\r\nx\r\n" if "chunked" in framing else b"x")
            read_body(caller, 6)
    assert world.logged("endpoint-connection") == ["bad-answer"]
    assert world.logged("caller-connection") == ["answer-cut"]


def test_response_above_the_minimum_rate_continues_after_the_deadline(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    checked_offsets, check = [], response_forwarder.ResponseForwarder.check

    def recorded_check(stream: response_forwarder.ResponseForwarder, end_offset: int = -1) -> None:
        checked_offsets.append(end_offset)
        log.line("checked")
        check(stream, end_offset)

    monkeypatch.setattr(response_forwarder.ResponseForwarder, "check", recorded_check)
    monkeypatch.setattr(response_forwarder, "MIN_RESPONSE_BYTES_PER_SECOND", 1)
    world = make()
    caller = world.ask(left=250)  # less than STREAM_AFTER_SECONDS, but enough for a busy machine
    node = world.nodes[0].accept()
    node.read()
    node.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE[:150000])
    world.logged("checked", 3)
    node.send(LARGE[150000:])
    assert caller.read()[2] == LARGE


def test_request_is_retried_if_the_response_fails_before_it_is_forwarded(make: Make) -> None:
    world = make(2)
    caller = world.ask()
    node = world.first()
    node.read()
    node.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE[:1000])
    node.reset()
    other = world.first()
    other.read()
    other.answer(200, LARGE)
    assert caller.read()[2] == LARGE


@pytest.mark.parametrize("framing", ["Transfer-Encoding: chunked", "Connection: close"])
@pytest.mark.parametrize("is_http_1_0", [False, True], ids=["1.1", "1.0"])
def test_response_of_unknown_length_is_chunked_or_delimited_by_the_close(
    make: Make, framing: str, is_http_1_0: bool
) -> None:
    world = make()
    caller = world.caller()
    version = "1.0" if is_http_1_0 else "1.1"
    caller.send(f"GET /menu HTTP/{version}\r\nX-Correlation-Id: b1\r\n\r\n".encode())
    node = world.nodes[0].accept()
    node.read()
    node.send(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())
    if framing == "Connection: close":
        node.send(LARGE)
        node.close()
    else:
        for begin in range(0, len(LARGE), 1000):
            node.send(b"%x;a=b\r\n%s\r\n" % (len(LARGE[begin : begin + 1000]), LARGE[begin : begin + 1000]))
        node.send(b"0\r\nX-Trailer: 1\r\n\r\n")
    received_head = read_head(caller)
    assert ("transfer-encoding: chunked" in received_head) is not is_http_1_0
    assert (read_body(caller, len(LARGE)) if is_http_1_0 else read_chunked_body(caller)) == LARGE
    if is_http_1_0:
        assert caller.at_end()


def test_response_with_a_large_content_length_is_forwarded_early(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(response_forwarder, "STREAM_AFTER_SECONDS", 0.0)
    world = make()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE[:10])
    assert "200" in read_head(caller)
    assert read_body(caller, 10) == LARGE[:10]


def test_large_request_is_sent_once_complete_and_can_be_retried(make: Make) -> None:
    world = make(2)
    caller = send_request_head(world, len(LARGE))
    caller.send(LARGE[:150000])
    world.settle()
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0  # a slow caller occupies no node
    caller.send(LARGE[150000:])
    node = world.first()
    assert node.read()[2] == LARGE
    node.reset()
    other = world.first()
    _, fields, again = other.read()
    assert (again, fields["content-length"]) == (LARGE, str(len(LARGE)))
    other.answer(200, b"yes")
    assert caller.read()[2] == b"yes"
    world.settle()
    assert world.run(lambda: world.sidecar.server.body_memory.used_bytes) == 0


@pytest.mark.parametrize("length", [len(LARGE), None], ids=["length", "chunks"])
def test_without_memory_a_request_is_streamed_and_its_deadline_runs_from_its_last_byte(
    make: Make, length: int | None
) -> None:
    world = make()
    exhaust_body_memory(world)
    caller = send_request_head(world, length)
    first, rest = LARGE[:150000], LARGE[150000:]
    caller.send(first if length else b"%x\r\n%s\r\n" % (len(first), first))
    node = world.nodes[0].accept()
    received_head = read_head(node)
    assert ("transfer-encoding: chunked" in received_head) is (length is None)
    (request,) = world.run(lambda: list(world.sidecar.exchange.open_requests.values()))
    assert request.deadline == float("inf") and request.overdue_timer is None
    caller.send(rest if length else b"%x\r\n%s\r\n0\r\n\r\n" % (len(rest), rest))
    assert (read_body(node, len(LARGE)) if length else read_chunked_body(node)) == LARGE
    world.settle()
    assert request.deadline < float("inf") and request.overdue_timer is not None
    node.answer(200, b"yes")
    assert caller.read()[2] == b"yes"


def test_request_whose_body_was_released_is_not_retried_and_is_answered_at_once(make: Make) -> None:
    world = make(2)
    exhaust_body_memory(world)
    caller = send_request_head(world, len(LARGE))
    caller.send(LARGE[:150000])
    node = world.first()
    read_head(node)
    read_body(node, 100000)
    node.reset()
    first, fields, _ = caller.read()
    # The node never received the complete request, so the caller may retry it even if it is not idempotent.
    assert first.split()[1] == "503" and fields["connection"] == "close"
    caller.send(LARGE[150000:])
    assert caller.at_end()
    assert world.codes("endpoint-connection") == ["peer-reset"]
    assert "attempt-broken" not in [event for event, _ in world.lines]  # the balancer never requested a retry


def test_disconnect_during_an_upload_cancels_the_request(make: Make) -> None:
    world = make()
    exhaust_body_memory(world)
    caller = send_request_head(world, len(LARGE))
    caller.send(LARGE[:150000])
    node = world.nodes[0].accept()
    read_head(node)
    caller.close()
    with pytest.raises((EOFError, OSError)):
        read_body(node, len(LARGE))
    world.settle()
    assert world.run(lambda: world.sidecar.server.body_memory.used_bytes) == 0
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0


def test_disconnect_during_a_streamed_response_releases_its_memory(make: Make) -> None:
    world = make()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" + LARGE)
    read_head(caller)
    caller.reset()
    assert world.logged("endpoint-connection") == ["caller-gone"]
    assert world.run(lambda: world.sidecar.server.body_memory.used_bytes) == 0


def test_malformed_chunk_of_an_upload_is_rejected_and_not_forwarded(make: Make) -> None:
    world = make()
    exhaust_body_memory(world)
    caller = send_request_head(world)
    caller.send(b"%x\r\n%s\r\n" % (150000, LARGE[:150000]))
    node = world.nodes[0].accept()
    read_head(node)
    caller.send(b"no size\r\n")
    assert caller.read()[0].split()[1] == "400"
    with pytest.raises((EOFError, OSError)):
        read_chunked_body(node)


def test_upload_below_the_minimum_rate_is_rejected(make: Make, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(caller_lifecycle, "HEAD_TIMEOUT_SECONDS", 0.0)
    monkeypatch.setattr(caller_lifecycle, "MIN_BODY_BYTES_PER_SECOND", 1e12)
    monkeypatch.setattr(caller_lifecycle, "BODY_IDLE_TIMEOUT_SECONDS", 1e9)
    caller = send_request_head(make(), len(LARGE))
    caller.send(LARGE[:100000])
    assert caller.read()[0].split()[1] == "408"


class EagerTransport:
    """A transport that requests data as soon as a producer is registered."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data

    def registerProducer(self, producer: BodySender, streaming: bool) -> None:  # noqa: ARG002, N802 - Twisted's signature
        producer.resumeProducing()


def test_stopped_sender_does_not_detach_its_successor_from_the_body() -> None:
    transports: list[Any] = [EagerTransport(), EagerTransport()]
    large = Body(BodyMemory(1000000), is_replayable=True)
    large.put(b"a" * 20000)
    ends: list[str] = []
    first = BodySender(transports[0], large, False, lambda: ends.append("done"), lambda: ends.append("cut"))
    first.resumeProducing()  # all data has been sent: the sender waits for more
    first.stopProducing()
    large.rewind()
    large.put(b"b" * 20000)  # no sender is attached meanwhile
    second = BodySender(transports[1], large, False, lambda: ends.append("done"), lambda: ends.append("cut"))
    first.stopProducing()  # called again when its connection closes
    second.resumeProducing()
    second.resumeProducing()
    large.put(b"c", True)
    assert transports[0].written == b"a" * 20000
    assert transports[1].written == b"a" * 20000 + b"b" * 20000 + b"c"
    assert ends == []


def test_sender_of_a_cancelled_body_does_not_report_it_as_sent() -> None:
    """Otherwise the connection would be reused, and the next request be parsed as the rest of this body."""
    transport: Any = EagerTransport()
    large = Body(BodyMemory(1000000), is_replayable=True)
    large.put(b"a" * 20000)
    large.put(b"b" * 20000, True)
    ends: list[str] = []
    done, cut, last = (partial(ends.append, end) for end in ("done", "cut", "last"))
    sender = BodySender(transport, large, False, done, cut, last)
    large.cancel()  # the response arrived before the whole body was sent
    sender.resumeProducing()
    assert ends == []


def test_request_rejected_by_its_head_is_answered_before_its_body_has_arrived(make: Make) -> None:
    world = make()
    caller = world.caller()
    caller.send(f"POST /nothing HTTP/1.1\r\n{FIELDS}Content-Length: 200000\r\n\r\n".encode() + LARGE[:100000])
    assert caller.read()[0].split()[1] == "404"


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.booleans(),
    st.lists(st.integers(1, 40000), min_size=1, max_size=9),
    st.lists(st.integers(0, 300000), max_size=9),
)
def test_body_is_parsed_identically_streamed_or_buffered_for_any_segmentation(
    chunked: bool, sizes: list[int], cuts: list[int]
) -> None:
    content = (LARGE * 2)[: sum(sizes)]
    if chunked:
        edges = [0, *(sum(sizes[: n + 1]) for n in range(len(sizes)))]
        wire = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        wire += b"".join(b"%x\r\n%s\r\n" % (b - a, content[a:b]) for a, b in pairwise(edges)) + b"0\r\n\r\n"
    else:
        wire = b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(content), content)
    wire += b"GET /b HTTP/1.1\r\n\r\n"
    reader = MessageParser(responses=False, max_body_bytes=1000000, buffered_body_bytes=BUFFERED_BODY_BYTES)
    read, upload, next_targets = b"", False, []
    for begin, end in pairwise([0, *sorted(min(cut, len(wire)) for cut in cuts), len(wire)]):
        reader.feed(wire[begin:end])
        while True:
            if upload:
                data, is_complete = reader.read_body()
                read += data
                upload = not is_complete
                if upload:
                    break
            elif (message := reader.next_message()) is None:
                break
            elif message.start_line[1] == b"/a":
                read, upload = message.body, message.is_open
            else:
                next_targets.append(message.start_line[1])
        assert len(reader.buffer) <= BUFFERED_BODY_BYTES + (end - begin) + 300 or upload
    assert (read, next_targets, reader.has_partial_message) == (content, [b"/b"], False)


@given(
    st.booleans(), st.integers(0, 300000), st.lists(st.one_of(st.integers(1, 60000), st.none()), max_size=30)
)
def test_bodies_preserve_order_and_respect_the_shared_memory_limit(
    is_replayable: bool, size: int, steps: list[int | None]
) -> None:
    """A step is a number of bytes to put, or None to take a buffer; steps alternate between two bodies."""
    memory = BodyMemory(size)
    releases: list[int] = []
    bodies = [Body(memory, is_replayable=is_replayable), Body(memory)]
    put, taken = [b"", b""], [b"", b""]
    bodies[0].on_replay_lost = lambda: releases.append(1)
    for n, step in enumerate(steps):
        which = n % 2
        if step is None:
            taken[which] += bodies[which].take()
        elif not bodies[which].is_full:
            data = bytes([n % 256]) * step
            put[which] += data
            bodies[which].put(data)
        buffered = sum(sum(map(len, b.buffers)) for b in bodies)
        assert memory.used_bytes == buffered <= max(size, 0) + 2 * (WINDOW_LIMITS_BYTES[1] + 60000)
        assert all(p.startswith(t) for p, t in zip(put, taken, strict=True))
    assert len(releases) == (bodies[0].start_offset > 0 and is_replayable)
    if not bodies[0].start_offset:
        bodies[0].rewind()
        again = b""
        while piece := bodies[0].take():
            again += piece
        assert again == put[0]
    else:
        with pytest.raises(ValueError, match="gone"):
            bodies[0].rewind()
    for each in bodies:
        each.cancel()
    assert memory.used_bytes == 0


def test_fifty_slow_readers_of_32_mb_stay_within_the_memory_limit(tmp_path: Path) -> None:
    """The sidecar runs as a separate process; its peak memory is read from /proc."""
    size, readers = 32 * 1024 * 1024, 50
    all_requested, is_done = threading.Event(), threading.Event()
    node, discovery = Peer(), Peer()

    def handle_connection(wire: Wire) -> None:
        wire.read()
        # On a busy machine, the threads that write responses would delay the requests of this process's
        # callers, and a caller that sends nothing for HEAD_TIMEOUT_SECONDS is disconnected.
        all_requested.wait(WAIT_LIMIT_SECONDS)
        wire.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // 65536):
            wire.send(b"x" * 65536)
            if is_done.is_set():
                break

    node.serve(handle_connection)
    known = {"generation": 3, "instances": [entry("n0", node)]}
    limits = {"cores": 1.0, "memory_mb": 64, "sockets": 512}
    file = tmp_path / "c.json"
    data = platform_config(known=known, discovery=f"127.0.0.1:{discovery.port}", limits=limits)
    file.write_text(json.dumps(data), encoding="utf-8")
    with subprocess.Popen(
        [sys.executable, "-m", "wheatring"],
        env={**os.environ, "LB_CONFIG": str(file)},
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            port = int(wait_for_line(process, "listening").rpartition("=")[2])
            callers = []
            for n in range(readers):
                caller = Wire(socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS))
                caller.send(f"GET /menu HTTP/1.1\r\nX-Correlation-Id: c{n}\r\n\r\n".encode())
                callers.append(caller)
            all_requested.set()
            for caller in callers:
                assert "200" in read_head(caller)
                read_body(caller, 2 * 1024 * 1024)
            status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
            peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM:"))
            assert peak < 56 * 1024
        finally:
            all_requested.set()
            is_done.set()
            process.kill()
            for caller in callers:
                caller.close()
            node.close()
            discovery.close()
