"""Large and slow bodies, both ways: in bounded memory, and never taken for whole when they are not."""

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


def post(world: World, length: int | None = None) -> Wire:
    """Return a caller that has sent the head of a large request."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    caller = world.caller()
    caller.send(f"POST /order HTTP/1.1\r\n{FIELDS}{framing}\r\n\r\n".encode())
    return caller


def head(wire: Wire) -> str:
    """Return the head of the next message, without its body."""
    while b"\r\n\r\n" not in wire.buffer:
        wire._receive()
    text, _, wire.buffer = wire.buffer.partition(b"\r\n\r\n")
    return text.decode().lower()


def body(wire: Wire, size: int) -> bytes:
    while len(wire.buffer) < size:
        wire._receive()
    data, wire.buffer = wire.buffer[:size], wire.buffer[size:]
    return data


def chunks(wire: Wire) -> bytes:
    """Return a chunked body, read up to its end."""
    whole = b""
    while True:
        while b"\r\n" not in wire.buffer:
            wire._receive()
        size, _, wire.buffer = wire.buffer.partition(b"\r\n")
        piece = body(wire, int(size, 16) + 2)[:-2]
        if not piece:
            return whole
        whole += piece


def no_room(world: World) -> None:
    world.sidecar.server.body_memory.limit_bytes = 0


def test_a_large_answer_is_passed_on_while_it_comes(make: Make) -> None:
    world = make()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.send(b"HTTP/1.1 200 OK\r\nX-Kept: 1\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE[:100000])
    received_head = head(caller)
    assert "x-kept: 1" in received_head and f"content-length: {len(LARGE)}" in received_head
    assert body(caller, 100000) == LARGE[:100000]  # the rest has not been made yet
    node.send(LARGE[100000:])
    assert body(caller, 100000 + 4800) == LARGE[100000:]
    again = world.ask(wire=caller)  # both connections are clean
    node.read()
    node.answer(200, b"next")
    assert again.read()[2] == b"next"


@pytest.mark.parametrize("old", [False, True], ids=["1.1", "1.0"])
@pytest.mark.parametrize(
    "framing", [f"Content-Length: {len(LARGE)}", "Transfer-Encoding: chunked", "X-Length: none"]
)
def test_an_answer_that_breaks_off_does_not_pass_for_complete(make: Make, framing: str, old: bool) -> None:
    world = make(2)
    caller = world.caller()
    caller.send(f"GET /menu HTTP/{'1.0' if old else '1.1'}\r\nX-Correlation-Id: b1\r\n\r\n".encode())
    node = world.first()
    node.read()
    node.send(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())
    node.send(b"%x\r\n%s\r\n" % (100000, LARGE[:100000]) if "chunked" in framing else LARGE[:100000])
    received_head = head(caller)
    node.reset()
    with pytest.raises((EOFError, OSError)) as end:
        chunks(caller) if "chunked" in received_head else body(caller, len(LARGE))
    assert "answer-cut" in world.logged("caller-connection")
    if old and "content-length" not in received_head:  # nothing but a reset tells it that this is not the end
        assert end.type is ConnectionResetError


@pytest.mark.parametrize("framing", ["Transfer-Encoding: chunked", "X-Length: none"])
def test_an_answer_that_never_ends_is_cut_once_its_callers_time_is_over(
    make: Make, monkeypatch: pytest.MonkeyPatch, framing: str
) -> None:
    """However it trickles: an answer in its time is owed, and this one can't be had elsewhere any more."""
    monkeypatch.setattr(response_forwarder, "STREAM_UNKNOWN_LENGTH_AFTER_SECONDS", 0.0)
    monkeypatch.setattr(response_forwarder, "MIN_ANSWER_BYTES_PER_SECOND", 1e9)
    world = make()
    caller = world.ask(left=300)
    node = world.nodes[0].accept()
    node.read()
    node.send(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())
    head(caller)
    give_up = world.run(world.sidecar.clock.now) + WAIT_LIMIT_SECONDS
    with pytest.raises((OSError, EOFError)):  # whichever end hears of it first
        while world.run(world.sidecar.clock.now) < give_up:
            node.send(b"1\r\nx\r\n" if "chunked" in framing else b"x")
            body(caller, 6)
    assert world.logged("endpoint-connection") == ["bad-answer"]
    assert world.logged("caller-connection") == ["answer-cut"]


def test_an_answer_that_has_brought_enough_goes_on_after_its_callers_time(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    looks, look = [], response_forwarder.ResponseForwarder.check

    def looked(stream: response_forwarder.ResponseForwarder, came: int = -1) -> None:
        looks.append(came)
        log.line("looked")
        look(stream, came)

    monkeypatch.setattr(response_forwarder.ResponseForwarder, "check", looked)
    monkeypatch.setattr(response_forwarder, "MIN_ANSWER_BYTES_PER_SECOND", 1)
    world = make()
    caller = world.ask(left=250)  # less than STREAM_AFTER_SECONDS, and time for a busy machine
    node = world.nodes[0].accept()
    node.read()
    node.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE[:150000])
    world.logged("looked", 3)
    node.send(LARGE[150000:])
    assert caller.read()[2] == LARGE


def test_a_spoilt_answer_that_has_not_been_passed_on_is_requested_elsewhere(make: Make) -> None:
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
@pytest.mark.parametrize("old", [False, True], ids=["1.1", "1.0"])
def test_an_answer_of_unknown_length_comes_in_chunks_or_until_the_close(
    make: Make, framing: str, old: bool
) -> None:
    world = make()
    caller = world.caller()
    version = "1.0" if old else "1.1"
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
    received_head = head(caller)
    assert ("transfer-encoding: chunked" in received_head) is not old
    assert (body(caller, len(LARGE)) if old else chunks(caller)) == LARGE
    if old:
        assert caller.at_end()


def test_an_answer_announced_as_large_is_started_early(make: Make, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(response_forwarder, "STREAM_AFTER_SECONDS", 0.0)
    world = make()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE[:10])
    assert "200" in head(caller)
    assert body(caller, 10) == LARGE[:10]


def test_a_large_request_is_sent_once_it_is_complete_and_can_be_resent(make: Make) -> None:
    world = make(2)
    caller = post(world, len(LARGE))
    caller.send(LARGE[:150000])
    world.settle()
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0  # no node is kept busy by a slow caller
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
def test_without_memory_a_request_is_sent_while_it_comes_and_its_time_runs_from_the_end(
    make: Make, length: int | None
) -> None:
    world = make()
    no_room(world)
    caller = post(world, length)
    first, rest = LARGE[:150000], LARGE[150000:]
    caller.send(first if length else b"%x\r\n%s\r\n" % (len(first), first))
    node = world.nodes[0].accept()
    received_head = head(node)
    assert ("transfer-encoding: chunked" in received_head) is (length is None)
    (request,) = world.run(lambda: list(world.sidecar.exchange.open_requests.values()))
    assert request.deadline == float("inf") and request.overdue_timer is None
    caller.send(rest if length else b"%x\r\n%s\r\n0\r\n\r\n" % (len(rest), rest))
    assert (body(node, len(LARGE)) if length else chunks(node)) == LARGE
    world.settle()
    assert request.deadline < float("inf") and request.overdue_timer is not None
    node.answer(200, b"yes")
    assert caller.read()[2] == b"yes"


def test_a_released_body_is_not_sent_twice_and_its_caller_is_answered_at_once(make: Make) -> None:
    world = make(2)
    no_room(world)
    caller = post(world, len(LARGE))
    caller.send(LARGE[:150000])
    node = world.first()
    head(node)
    body(node, 100000)
    node.reset()
    first, fields, _ = caller.read()
    # It was never whole at the node, so trying again is harmless, though the class is not safe.
    assert first.split()[1] == "503" and fields["connection"] == "close"
    caller.send(LARGE[150000:])
    assert caller.at_end()
    assert world.codes("endpoint-connection") == ["peer-reset"]
    assert "attempt-broken" not in [event for event, _ in world.lines]  # the module never asked for it


def test_a_caller_that_leaves_in_the_middle_leaves_no_request_behind(make: Make) -> None:
    world = make()
    no_room(world)
    caller = post(world, len(LARGE))
    caller.send(LARGE[:150000])
    node = world.nodes[0].accept()
    head(node)
    caller.close()
    with pytest.raises((EOFError, OSError)):
        body(node, len(LARGE))
    world.settle()
    assert world.run(lambda: world.sidecar.server.body_memory.used_bytes) == 0
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0


def test_a_caller_that_leaves_its_answer_costs_no_memory(make: Make) -> None:
    world = make()
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" + LARGE)
    head(caller)
    caller.reset()
    assert world.logged("endpoint-connection") == ["caller-gone"]
    assert world.run(lambda: world.sidecar.server.body_memory.used_bytes) == 0


def test_a_malformed_rest_is_answered_and_never_sent(make: Make) -> None:
    world = make()
    no_room(world)
    caller = post(world)
    caller.send(b"%x\r\n%s\r\n" % (150000, LARGE[:150000]))
    node = world.nodes[0].accept()
    head(node)
    caller.send(b"no size\r\n")
    assert caller.read()[0].split()[1] == "400"
    with pytest.raises((EOFError, OSError)):
        chunks(node)


def test_a_body_that_comes_too_slowly_is_given_up(make: Make, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(caller_lifecycle, "HEAD_SECONDS", 0.0)
    monkeypatch.setattr(caller_lifecycle, "MIN_BODY_BYTES_PER_SECOND", 1e12)
    monkeypatch.setattr(caller_lifecycle, "BODY_IDLE_TIMEOUT_SECONDS", 1e9)
    caller = post(make(), len(LARGE))
    caller.send(LARGE[:100000])
    assert caller.read()[0].split()[1] == "408"


class EagerTransport:
    """A transport that asks a producer for data as soon as that registers."""

    def __init__(self) -> None:
        self.got = b""

    def write(self, data: bytes) -> None:
        self.got += data

    def registerProducer(self, producer: BodySender, streaming: bool) -> None:  # noqa: ARG002, N802 - Twisted's signature
        producer.resumeProducing()


def test_a_sender_that_is_stopped_takes_nothing_from_the_one_after_it() -> None:
    transports: list[Any] = [EagerTransport(), EagerTransport()]
    large = Body(BodyMemory(1000000), is_replayable=True)
    large.put(b"a" * 20000)
    ends: list[str] = []
    first = BodySender(transports[0], large, False, lambda: ends.append("done"), lambda: ends.append("cut"))
    first.resumeProducing()  # all that there is has gone: it waits
    first.stopProducing()
    large.rewind()
    large.put(b"b" * 20000)  # nobody takes it meanwhile
    second = BodySender(transports[1], large, False, lambda: ends.append("done"), lambda: ends.append("cut"))
    first.stopProducing()  # once more, as its connection ends
    second.resumeProducing()
    second.resumeProducing()
    large.put(b"c", True)
    assert transports[0].got == b"a" * 20000
    assert transports[1].got == b"a" * 20000 + b"b" * 20000 + b"c"
    assert ends == []


def test_a_sender_whose_body_is_cancelled_has_not_sent_it() -> None:
    """Its connection would be taken for clean, and the next request be read as the rest of this one."""
    transport: Any = EagerTransport()
    large = Body(BodyMemory(1000000), is_replayable=True)
    large.put(b"a" * 20000)
    large.put(b"b" * 20000, True)
    ends: list[str] = []
    done, cut, last = (partial(ends.append, what) for what in ("done", "cut", "last"))
    sender = BodySender(transport, large, False, done, cut, last)
    large.cancel()  # its answer has come before all of it had left
    sender.resumeProducing()
    assert ends == []


def test_a_request_rejected_for_its_head_is_answered_before_its_body_is_there(make: Make) -> None:
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
def test_a_body_is_read_the_same_streamed_or_complete_however_it_is_cut(
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
    read, upload, follows = b"", False, []
    for begin, end in pairwise([0, *sorted(min(cut, len(wire)) for cut in cuts), len(wire)]):
        reader.feed(wire[begin:end])
        while True:
            if upload:
                data, whole = reader.read_body()
                read += data
                upload = not whole
                if upload:
                    break
            elif (message := reader.next_message()) is None:
                break
            elif message.start_line[1] == b"/a":
                read, upload = message.body, message.is_open
            else:
                follows.append(message.start_line[1])
        assert len(reader.buffer) <= BUFFERED_BODY_BYTES + (end - begin) + 300 or upload
    assert (read, follows, reader.has_partial_message) == (content, [b"/b"], False)


@given(
    st.booleans(), st.integers(0, 300000), st.lists(st.one_of(st.integers(1, 60000), st.none()), max_size=30)
)
def test_bodies_keep_their_order_and_their_memory_limit(
    kept: bool, size: int, steps: list[int | None]
) -> None:
    """A number puts so many bytes, None takes a piece. Two of them share the room."""
    room = BodyMemory(size)
    gone: list[int] = []
    bodies = [Body(room, is_replayable=kept), Body(room)]
    put, taken = [b"", b""], [b"", b""]
    bodies[0].on_replay_lost = lambda: gone.append(1)
    for n, step in enumerate(steps):
        which = n % 2
        if step is None:
            taken[which] += bodies[which].take()
        elif not bodies[which].is_full:
            data = bytes([n % 256]) * step
            put[which] += data
            bodies[which].put(data)
        buffered = sum(sum(map(len, b.buffers)) for b in bodies)
        assert room.used_bytes == buffered <= max(size, 0) + 2 * (WINDOW_LIMITS_BYTES[1] + 60000)
        assert all(p.startswith(t) for p, t in zip(put, taken, strict=True))
    assert len(gone) == (bodies[0].start_offset > 0 and kept)
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
    assert room.used_bytes == 0


def test_fifty_slow_readers_of_32_mb_fit_in_the_memory_limit(tmp_path: Path) -> None:
    """The sidecar is a process of its own; its peak is read off the system."""
    size, readers = 32 * 1024 * 1024, 50
    all_asked, over = threading.Event(), threading.Event()
    node, discovery = Peer(), Peer()

    def one(wire: Wire) -> None:
        wire.read()
        # The threads that write answers would keep this process's callers from their requests on a busy
        # machine, and a caller that connects and sends nothing for HEAD_SECONDS is ended.
        all_asked.wait(WAIT_LIMIT_SECONDS)
        wire.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // 65536):
            wire.send(b"x" * 65536)
            if over.is_set():
                break

    node.serve(one)
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
            all_asked.set()
            for caller in callers:
                assert "200" in head(caller)
                body(caller, 2 * 1024 * 1024)
            status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
            peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM:"))
            assert peak < 56 * 1024
        finally:
            all_asked.set()
            over.set()
            process.kill()
            for caller in callers:
                caller.close()
            node.close()
            discovery.close()
