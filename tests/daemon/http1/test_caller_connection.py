"""The caller's side: whose connection ends when, and what is owed on it then. Each crossing is forced."""

from __future__ import annotations

import resource
import signal
import socket
from collections import deque
from collections.abc import Callable
from pathlib import Path
from threading import Event
from time import monotonic
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.process import running_process, wait_for_line
from tests.support.virtual_sockets import VirtualSockets
from tests.support.world import WAIT_LIMIT_SECONDS, LoopbackSockets, Peer, Wire, World, entry, list_body
from wheatring.balancer import backoff
from wheatring.daemon.http1 import caller_connection, caller_lifecycle
from wheatring.daemon.http1.caller_state import ArrivalTimes, CallerState

Make = Callable[..., World]
LARGE = b"x" * 60000


def slow_reader(world: World) -> Wire:
    """Return a caller most of whose answer waits at the sidecar's end until it reads."""
    if not isinstance(world.sockets, LoopbackSockets):
        return world.caller()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    sock.settimeout(WAIT_LIMIT_SECONDS)
    sock.connect(("127.0.0.1", world.port))
    world.wires.append(Wire(sock))
    return world.wires[-1]


def ended(world: World) -> Callable[[], object]:
    """Whether the sidecar has ended, for its part, the connection that is there now."""
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    return lambda: connection.close_code


def until(world: World, met: Callable[[], object]) -> None:
    """Let the reactor go on until something is so there."""
    limit = monotonic() + WAIT_LIMIT_SECONDS
    while not world.run(met):
        assert monotonic() < limit, "it never came"
        world.settle()


@pytest.mark.parametrize("how", ["asked", "stopping", "old"])
def test_an_answer_reaches_a_caller_that_goes_on_writing(make: Make, how: str) -> None:
    """A close over unread bytes, or one after which more come, is a reset: what waits to be sent is gone."""
    world = make()
    wire = slow_reader(world)
    version = b"HTTP/1.0" if how == "old" else b"HTTP/1.1"
    close = b"Connection: close\r\n" if how == "asked" else b""
    wire.send(b"GET /menu %s\r\nX-Correlation-Id: c\r\nX-Time-Left-Ms: 6000\r\n%s\r\n" % (version, close))
    node = world.nodes[0].accept()
    node.read()
    over = ended(world)
    if how == "stopping":
        world.sidecar.server.is_stopping = True
    node.answer(200, LARGE)
    until(world, over)
    world.settle()
    wire.send(b"GET /menu HTTP/1.1\r\nX-Correlation-Id: late\r\n\r\n")
    world.settle()
    _, fields, body = wire.read()
    assert body == LARGE and fields["connection"] == "close"
    assert wire.at_end()
    wire.close()
    assert len(world.logged("caller-connection")) == 1
    assert world.sidecar.driver.last_id == 1  # what was read after the last answer went nowhere


def test_of_what_comes_after_the_last_answer_no_more_than_a_part_is_read(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(caller_lifecycle, "MAX_DISCARDED_BYTES", 5)
    monkeypatch.setattr(caller_lifecycle, "LINGER_TIMEOUT_SECONDS", 0.3)
    world = make()
    wire = world.caller()
    wire.send(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
    assert wire.read()[0] == "HTTP/1.1 200 OK" and wire.at_end()
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    wire.send(b"123456")
    until(world, lambda: connection.is_paused)
    assert not connection.parser.buffer
    assert world.logged("caller-connection") == ["caller-asked"]  # and it is let go in its time


def test_one_that_asks_on_and_reads_nothing_is_given_a_last_answer_and_time_to_read(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its answers must not fill the memory; those that it has are whole, once it reads."""
    monkeypatch.setattr(caller_connection, "MAX_PENDING_ANSWER_BYTES", 10_000)
    world = make()
    wire = slow_reader(world)
    until(world, lambda: world.sidecar.server.connections)
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    transport: Any = connection.transport
    world.run(lambda: transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096))
    for _ in range(100):
        if not world.run(lambda: connection.close_code):
            wire.send(b"GET /healthz HTTP/1.1\r\n\r\n" * 200)
            world.settle()
    assert world.run(lambda: connection.close_code) and not connection.is_write_shut
    world.run(
        lambda: connection.enforce_limits(
            connection.state_since + 2 * caller_lifecycle.LINGER_TIMEOUT_SECONDS, 20.0
        )
    )
    answers = [wire.read()]
    while "connection" not in answers[-1][1]:
        answers.append(wire.read())
    assert wire.at_end() and len(answers) < 3000
    assert {(first, body) for first, _, body in answers} == {("HTTP/1.1 200 OK", b"ok\n")}


def test_those_that_are_only_heard_out_take_no_place_from_a_caller(make: Make) -> None:
    world = make()
    most = world.sidecar.server.max_connections
    for _ in range(most):
        wire = world.caller()
        wire.send(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
        wire.read()
    late = world.caller()
    late.send(b"GET /healthz HTTP/1.1\r\n\r\n")
    assert late.read()[0] == "HTTP/1.1 200 OK"
    assert world.run(lambda: len(world.sidecar.server.connections)) <= most


def test_a_connection_is_in_one_state_after_the_other(make: Make) -> None:
    """And is ended between requests and in the middle of one, but not in the middle of an answer."""
    world = make()
    wire = world.caller()
    until(world, lambda: world.sidecar.server.connections)
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))

    def comes_to(state: CallerState) -> None:
        until(world, lambda: connection.state is state)

    request = b"GET /menu HTTP/1.1\r\nX-Correlation-Id: a\r\n\r\n"
    comes_to(CallerState.READING)
    wire.send(b"GET /healthz HTTP/1.1\r\n\r\n")
    comes_to(CallerState.RESTING)
    assert wire.read()[0] == "HTTP/1.1 200 OK"
    wire.send(request[:20])
    comes_to(CallerState.READING)
    wire.send(request[20:])
    comes_to(CallerState.BUSY)
    node = world.nodes[0].accept()
    node.read()
    node.send(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"x" * 100_000)
    comes_to(CallerState.STREAMING)
    world.run(lambda: world.sidecar.server.close_unanswered(is_final=True))
    node.send(b"x" * 100_000)
    assert wire.read()[2] == b"x" * 200_000
    comes_to(CallerState.RESTING)
    wire.send(b"POST /order HTTP/1.1\r\nX-Correlation-Id: b\r\nContent-Length: 200000\r\n\r\n")
    wire.send(b"x" * 100_000)
    comes_to(CallerState.UPLOADING)
    wire.send(b"x" * 100_000)
    comes_to(CallerState.BUSY)
    node.read()
    world.sidecar.server.is_stopping = True
    node.answer(200, b"last")
    assert wire.read()[2] == b"last" and wire.at_end()
    comes_to(CallerState.SHUT)


def test_no_small_write_is_delayed_on_any_connection(make: Make) -> None:
    world = make()
    watch = world.discovery.accept()
    watch.read()
    world.ask()
    node = world.nodes[0].accept()  # kept, or it would be closed
    node.read()
    sidecar = world.sidecar
    watcher: Any = sidecar.machine_list.client
    ends: list[Any] = [watcher.connection, *sidecar.server.connections, *sidecar.pool.connections]
    assert world.run(lambda: [end.transport.getTcpNoDelay() for end in ends]) == [True] * 3


@pytest.mark.parametrize("how", ["end", "reset", "shut"])
@pytest.mark.parametrize("ahead", [0, 200_000, 3_000_000])
def test_a_caller_that_leaves_is_heard_however_much_it_has_sent_ahead(
    make: Make, ahead: int, how: str
) -> None:
    """Nothing of it begins later: not what waits, and not what waits behind that."""
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    request = b"GET /menu HTTP/1.1\r\nX-Correlation-Id: ahead\r\n\r\n"
    wire.send(request * (ahead // len(request) + 1))
    left = world.run(world.sidecar.clock.now)
    if how == "shut":
        wire.sock.shutdown(socket.SHUT_WR)
    elif how == "reset":
        wire.reset()
    else:
        wire.close()
    world.logged("caller-connection")
    if isinstance(world.sockets, VirtualSockets):
        assert world.run(world.sidecar.clock.now) - left < 0.1
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0
    assert world.sidecar.driver.last_id == 1


@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # where a peer's word is there in the same turn
@pytest.mark.parametrize("how", ["end", "shut"])
@pytest.mark.parametrize("size", [0, 300_000])
def test_a_request_whose_caller_had_gone_before_it_was_read_is_sent_nowhere(
    make: Make, how: str, size: int
) -> None:
    """It waited at the door, and so did the word of its caller's end, behind it."""
    world = make()

    def crossing() -> None:
        wire = world.ask("unsafe", more=f"Content-Length: {size}\r\n")
        wire.send(b"x" * size)
        if how == "shut":
            wire.sock.shutdown(socket.SHUT_WR)
        else:
            wire.close()

    world.run(crossing)
    assert world.logged("caller-connection") == ["peer-closed"]
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0
    assert world.sidecar.driver.last_id == 0


def test_a_caller_that_sends_much_ahead_gets_the_present_answer_as_its_last(make: Make) -> None:
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    (connection,) = world.sidecar.server.connections
    wire.send(b"x" * 500_000)
    until(world, lambda: connection.discarded_bytes > 300_000)
    assert not connection.parser.buffer
    node.answer(200, b"here")
    _, fields, body = wire.read()
    assert (fields["connection"], body) == ("close", b"here") and wire.at_end()


def test_the_end_of_a_caller_that_has_sent_too_much_is_seen_behind_what_is_unread(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Not once all of that has been read, a part at a time."""
    monkeypatch.setattr(caller_lifecycle, "MAX_DISCARDED_BYTES", 5)
    monkeypatch.setattr(caller_lifecycle, "DISCARD_PAUSE_SECONDS", 1e9)
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    wire.send(b"x" * 100_000)
    until(world, lambda: connection.is_flooded)
    wire.send(b"x" * 10)
    until(world, lambda: connection.is_paused)
    wire.send(b"x" * 10)
    wire.close()
    world.settle()
    world.run(lambda: setattr(connection, "resume", None))  # to read on fails
    world.run(connection.resume_discarding)
    assert world.logged("caller-connection") == ["peer-closed"]
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0


@pytest.mark.parametrize("others", [1, 3])
def test_the_time_of_what_is_sent_ahead_runs_from_when_it_came(make: Make, others: int) -> None:
    """And not from its turn, which comes when the answers before it are out."""
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    for n in range(others):
        world.ask(wire=wire, left=4000)
        while world.run(lambda: len(connection.arrivals.segments)) <= n:  # each has an instant of its own
            world.settle()
    came = world.run(world.sidecar.clock.now)
    passed: list[bool] = []
    world.run(lambda: world.reactor.callLater(0.5, passed.append, True))
    until(world, lambda: passed)
    for _ in range(others):
        node.answer(200, b"before")
        wire.read()
        _, fields, _ = node.read()
        assert int(fields["x-time-left-ms"]) <= 3500
    (request,) = world.run(lambda: list(world.sidecar.exchange.open_requests.values()))
    assert request.deadline <= came + 4.0
    node.answer(200, b"last")
    wire.read()
    world.ask(wire=wire, left=4000)  # this one has its turn as it comes
    node.read()
    (request,) = world.run(lambda: list(world.sidecar.exchange.open_requests.values()))
    assert request.deadline > came + 4.5


def test_one_whose_time_is_up_when_its_turn_comes_is_answered_at_once_and_sent_nowhere(make: Make) -> None:
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    world.ask(wire=wire, left=300)
    until(world, lambda: connection.arrivals.waiting_bytes)
    now = world.run(world.sidecar.clock.now)
    until(world, lambda: world.sidecar.clock.now() > now + 0.3)
    node.answer(200, b"first")
    assert wire.read()[2] == b"first"
    assert wire.read()[0].split()[1] in ("502", "503")
    assert world.run(lambda: len(world.sidecar.pool.connections)) == 1


@given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=40))
def test_the_arrival_time_of_the_last_consumed_byte_is_known(steps: list[tuple[int, bool]]) -> None:
    """Against a list of one instant for each byte."""
    arrivals, plain = ArrivalTimes(), deque[float]()
    for now, (size, reads) in enumerate(steps):
        if reads:
            taken = [plain.popleft() for _ in range(min(size, len(plain)))]
            assert arrivals.consume(len(plain), -1.0) == (taken[-1] if taken else -1.0)
        else:
            plain.extend([float(now)] * size)
            arrivals.record(len(plain), float(now))
        assert arrivals.waiting_bytes == len(plain)


@pytest.mark.parametrize("size", [3, 100_000])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_a_caller_that_expects_100_continue_gets_it_on_its_turn(make: Make, version: str, size: int) -> None:
    """HTTP/1.0 has no informational answers: its caller would take one for the final one."""
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    fields = "X-Correlation-Id: e\r\nExpect: 100-continue\r\n"
    wire.send(f"POST /order HTTP/{version}\r\n{fields}Content-Length: {size}\r\n\r\n".encode())
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    until(world, lambda: connection.parser.buffer)
    node.answer(200, b"before")
    assert wire.read()[2] == b"before"
    until(world, lambda: connection.is_reading_request)
    if version == "1.1":
        assert wire.read()[0] == "HTTP/1.1 100 Continue"
    wire.send(b"x" * size)
    assert node.read()[2] == b"x" * size
    node.answer(200, b"here")
    assert wire.read()[2] == b"here"


def test_a_fault_in_a_callback_of_an_end_leaves_no_request_behind(make: Make) -> None:
    world = make()
    wire = world.ask()
    world.run(lambda: setattr(world.sidecar.server, "remove", None))  # to call it fails
    wire.close()
    world.logged("caller-connection")
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0


def test_a_fault_on_the_way_to_what_was_sent_ahead_ends_the_connection(make: Make) -> None:
    world = make()
    wire = world.ask(wire=world.ask())
    node = world.nodes[0].accept()
    node.read()
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    world.settle()
    world.run(lambda: setattr(connection.parser, "next_message", None))
    node.answer(200, b"first")
    assert wire.read()[2] == b"first" and wire.at_end()
    wire.close()
    assert world.logged("caller-connection") == ["internal-error"]


def test_a_fault_right_after_an_answer_does_not_take_it_back(make: Make) -> None:
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    world.run(lambda: setattr(connection, "next_request", None))
    node.answer(200, b"first")
    assert wire.read()[2] == b"first" and wire.at_end()
    wire.close()
    assert world.logged("caller-connection") == ["internal-error"]


def test_idle_callers_that_fill_the_descriptors_leave_discovery_its_own(tmp_path: Path) -> None:
    """And the endpoints: with discovery back, the list is there, and a request goes by it."""
    old, new, discovery, back, heard = Peer(), Peer(), Peer(), Event(), Event()

    def answer(wire: Wire) -> None:
        first, _, _ = wire.read()
        if not back.is_set():
            wire.reset()
        elif "index=9&" in first:
            heard.set()
            wire.read()
        else:
            wire.answer(200, list_body(9, entry("n1", new), reset=True))
            answer(wire)

    discovery.serve(answer)
    where = f"127.0.0.1:{discovery.port}"
    known = {"generation": 3, "instances": [entry("n0", old)]}
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
    with running_process(tmp_path, "", known=known, discovery=where, limits=limits) as process:
        port = int(wait_for_line(process, "listening").rpartition("=")[2])
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (64, 64))
        wait_for_line(process, "list-failed")
        idle = [socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS) for _ in range(100)]
        wait_for_line(process, "list-failed")  # while they stand
        back.set()
        assert heard.wait(WAIT_LIMIT_SECONDS)
        late = Wire(socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS))
        late.send(b"GET /menu HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Time-Left-Ms: 6000\r\n\r\n")
        node = new.accept()
        node.read()
        node.answer(200, b"by the new list")
        assert late.read()[2] == b"by the new list"
        process.send_signal(signal.SIGTERM)
        assert process.stdout is not None
        assert not [line for line in process.stdout if "unexpected" in line or "too-many" in line]
        assert process.wait(WAIT_LIMIT_SECONDS) == 0
    for sock in idle:
        sock.close()
    for peer in (old, new, discovery):
        peer.close()


@pytest.mark.parametrize("how", ["end", "reset"])
def test_a_caller_that_leaves_a_paused_upload_is_heard(make: Make, how: str) -> None:
    """Nobody takes more of its body, so nothing is read of what it has sent, nor its end behind that."""
    world = make()
    world.sidecar.server.body_memory.limit_bytes = 0
    world.sidecar.exchange.start_attempt = lambda _attempt: None  # waits for its connection
    wire = world.ask("order", more="Content-Length: 30000000\r\n")
    while not world.run(lambda: [c for c in world.sidecar.server.connections if c.is_paused]):
        wire.send(b"x" * 10_000)
    if how == "reset":
        wire.reset()
    else:
        wire.close()
    left = world.run(world.sidecar.clock.now)
    assert world.logged("caller-connection") == ["peer-closed"]  # not given up by this side
    if isinstance(world.sockets, VirtualSockets):
        assert world.run(world.sidecar.clock.now) - left < 0.1
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0


@pytest.mark.parametrize("how", ["end", "reset", "stays"])
def test_a_caller_that_leaves_while_its_request_waits_out_a_back_off_gets_no_retry(
    make: Make, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    for name in ("INITIAL_BACKOFF", "MAX_BACKOFF"):
        monkeypatch.setattr(backoff, name, 0.4)  # parts of the aim: a second at most
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    monkeypatch.setattr(world.sidecar.serving.balancer.random, "random", lambda: 0.5)
    node.reset()
    assert world.logged("endpoint-connection") == ["peer-reset"]  # the back-off has begun
    if how == "reset":
        wire.reset()
    elif how == "end":
        wire.close()
    if how != "stays":
        world.logged("caller-connection")
        assert world.run(
            lambda: (world.sidecar.exchange.open_count, len(world.sidecar.driver.open_requests))
        ) == (0, 0)
    passed: list[bool] = []
    world.run(lambda: world.reactor.callLater(1.2, passed.append, True))
    until(world, lambda: passed)
    pool = world.sidecar.pool
    assert world.run(lambda: len(pool.pending_connects) + len(pool.connections)) == (how == "stays")
    assert world.codes("endpoint-connection") == ["peer-reset"]
