"""Connections of callers: when they are closed, and which responses must be sent before. Races are forced."""

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
    """Return a caller with a small receive buffer, so that most of a response stays at the sidecar."""
    if not isinstance(world.sockets, LoopbackSockets):
        return world.caller()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    sock.settimeout(WAIT_LIMIT_SECONDS)
    sock.connect(("127.0.0.1", world.port))
    world.wires.append(Wire(sock))
    return world.wires[-1]


def closed_by_sidecar(world: World) -> Callable[[], object]:
    """Return a function that returns whether the sidecar has closed the only connection."""
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    return lambda: connection.close_code


def wait_until(world: World, condition: Callable[[], object]) -> None:
    """Run the reactor until a condition holds in it."""
    limit = monotonic() + WAIT_LIMIT_SECONDS
    while not world.run(condition):
        assert monotonic() < limit, "condition not met in time"
        world.settle()


@pytest.mark.parametrize("how", ["connection: close", "stopping", "HTTP/1.0"])
def test_last_response_reaches_a_caller_that_keeps_writing(make: Make, how: str) -> None:
    """A close with unread or further input would send a reset, and pending output would be lost."""
    world = make()
    wire = slow_reader(world)
    version = b"HTTP/1.0" if how == "HTTP/1.0" else b"HTTP/1.1"
    close = b"Connection: close\r\n" if how == "connection: close" else b""
    wire.send(b"GET /menu %s\r\nX-Correlation-Id: c\r\nX-Time-Left-Ms: 6000\r\n%s\r\n" % (version, close))
    node = world.nodes[0].accept()
    node.read()
    is_closed = closed_by_sidecar(world)
    if how == "stopping":
        world.sidecar.server.is_stopping = True
    node.answer(200, LARGE)
    wait_until(world, is_closed)
    world.settle()
    wire.send(b"GET /menu HTTP/1.1\r\nX-Correlation-Id: late\r\n\r\n")
    world.settle()
    _, fields, body = wire.read()
    assert body == LARGE and fields["connection"] == "close"
    assert wire.at_end()
    wire.close()
    assert len(world.logged("caller-connection")) == 1
    assert world.sidecar.driver.last_id == 1  # input after the last response was discarded


def test_input_after_the_last_response_is_read_up_to_a_limit(
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
    wait_until(world, lambda: connection.is_paused)
    assert not connection.parser.buffer
    assert world.logged("caller-connection") == ["caller-asked"]  # closed after the linger time-out


def test_caller_that_pipelines_without_reading_gets_a_last_response_and_time_to_read(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The memory for responses is bounded, and all responses that were written are complete."""
    monkeypatch.setattr(caller_connection, "MAX_PENDING_RESPONSE_BYTES", 10_000)
    world = make()
    wire = slow_reader(world)
    wait_until(world, lambda: world.sidecar.server.connections)
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


def test_lingering_connections_do_not_block_new_callers(make: Make) -> None:
    world = make()
    max_connections = world.sidecar.server.max_connections
    for _ in range(max_connections):
        wire = world.caller()
        wire.send(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
        wire.read()
    late = world.caller()
    late.send(b"GET /healthz HTTP/1.1\r\n\r\n")
    assert late.read()[0] == "HTTP/1.1 200 OK"
    assert world.run(lambda: len(world.sidecar.server.connections)) <= max_connections


def test_connection_passes_through_all_states(make: Make) -> None:
    """A shutdown closes it between requests and during a request, but not during a response."""
    world = make()
    wire = world.caller()
    wait_until(world, lambda: world.sidecar.server.connections)
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))

    def expect_state(state: CallerState) -> None:
        wait_until(world, lambda: connection.state is state)

    request = b"GET /menu HTTP/1.1\r\nX-Correlation-Id: a\r\n\r\n"
    expect_state(CallerState.READING)
    wire.send(b"GET /healthz HTTP/1.1\r\n\r\n")
    expect_state(CallerState.IDLE)
    assert wire.read()[0] == "HTTP/1.1 200 OK"
    wire.send(request[:20])
    expect_state(CallerState.READING)
    wire.send(request[20:])
    expect_state(CallerState.BUSY)
    node = world.nodes[0].accept()
    node.read()
    node.send(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"x" * 100_000)
    expect_state(CallerState.STREAMING)
    world.run(lambda: world.sidecar.server.close_unanswered(is_final=True))
    node.send(b"x" * 100_000)
    assert wire.read()[2] == b"x" * 200_000
    expect_state(CallerState.IDLE)
    wire.send(b"POST /order HTTP/1.1\r\nX-Correlation-Id: b\r\nContent-Length: 200000\r\n\r\n")
    wire.send(b"x" * 100_000)
    expect_state(CallerState.UPLOADING)
    wire.send(b"x" * 100_000)
    expect_state(CallerState.BUSY)
    node.read()
    world.sidecar.server.is_stopping = True
    node.answer(200, b"last")
    assert wire.read()[2] == b"last" and wire.at_end()
    expect_state(CallerState.SHUT)


def test_tcp_nodelay_is_set_on_all_connections(make: Make) -> None:
    world = make()
    watch = world.discovery.accept()
    watch.read()
    world.ask()
    node = world.nodes[0].accept()  # the reference keeps the connection open
    node.read()
    sidecar = world.sidecar
    watcher: Any = sidecar.endpoint_list.client
    ends: list[Any] = [watcher.connection, *sidecar.server.connections, *sidecar.pool.connections]
    assert world.run(lambda: [end.transport.getTcpNoDelay() for end in ends]) == [True] * 3


@pytest.mark.parametrize("how", ["close", "reset", "half-close"])
@pytest.mark.parametrize("pipelined_bytes", [0, 200_000, 3_000_000])
def test_disconnect_is_detected_behind_any_amount_of_pipelined_input(
    make: Make, pipelined_bytes: int, how: str
) -> None:
    """No pipelined request is started after it, whether already buffered or still unread."""
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    request = b"GET /menu HTTP/1.1\r\nX-Correlation-Id: ahead\r\n\r\n"
    wire.send(request * (pipelined_bytes // len(request) + 1))
    left_at = world.run(world.sidecar.clock.now)
    if how == "half-close":
        wire.sock.shutdown(socket.SHUT_WR)
    elif how == "reset":
        wire.reset()
    else:
        wire.close()
    world.logged("caller-connection")
    if isinstance(world.sockets, VirtualSockets):
        assert world.run(world.sidecar.clock.now) - left_at < 0.1
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0
    assert world.sidecar.driver.last_id == 1


@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # input is available in the same iteration
@pytest.mark.parametrize("how", ["close", "half-close"])
@pytest.mark.parametrize("size", [0, 300_000])
def test_request_of_a_caller_that_disconnected_before_it_was_read_is_not_sent(
    make: Make, how: str, size: int
) -> None:
    """The request and the disconnect behind it were both pending when the connection was accepted."""
    world = make()

    def request_and_disconnect() -> None:
        wire = world.ask("unsafe", more=f"Content-Length: {size}\r\n")
        wire.send(b"x" * size)
        if how == "half-close":
            wire.sock.shutdown(socket.SHUT_WR)
        else:
            wire.close()

    world.run(request_and_disconnect)
    assert world.logged("caller-connection") == ["peer-closed"]
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0
    assert world.sidecar.driver.last_id == 0


def test_connection_is_closed_after_the_current_response_if_too_much_was_pipelined(make: Make) -> None:
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    (connection,) = world.sidecar.server.connections
    wire.send(b"x" * 500_000)
    wait_until(world, lambda: connection.discarded_bytes > 300_000)
    assert not connection.parser.buffer
    node.answer(200, b"here")
    _, fields, body = wire.read()
    assert (fields["connection"], body) == ("close", b"here") and wire.at_end()


def test_disconnect_after_too_much_pipelined_input_is_detected_behind_unread_input(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It must not wait until all input has been read in parts."""
    monkeypatch.setattr(caller_lifecycle, "MAX_DISCARDED_BYTES", 5)
    monkeypatch.setattr(caller_lifecycle, "DISCARD_PAUSE_SECONDS", 1e9)
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    wire.send(b"x" * 100_000)
    wait_until(world, lambda: connection.is_flooded)
    wire.send(b"x" * 10)
    wait_until(world, lambda: connection.is_paused)
    wire.send(b"x" * 10)
    wire.close()
    world.settle()
    world.run(lambda: setattr(connection, "resume", None))  # resuming would raise
    world.run(connection.resume_discarding)
    assert world.logged("caller-connection") == ["peer-closed"]
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0


@pytest.mark.parametrize("others", [1, 3])
def test_deadline_of_a_pipelined_request_runs_from_its_arrival(make: Make, others: int) -> None:
    """It must not run from the time at which the previous responses have been sent."""
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    for n in range(others):
        world.ask(wire=wire, left=4000)
        while world.run(lambda: len(connection.arrivals.segments)) <= n:  # each arrives at a different time
            world.settle()
    arrived_at = world.run(world.sidecar.clock.now)
    passed: list[bool] = []
    world.run(lambda: world.reactor.callLater(0.5, passed.append, True))
    wait_until(world, lambda: passed)
    for _ in range(others):
        node.answer(200, b"before")
        wire.read()
        _, fields, _ = node.read()
        assert int(fields["x-time-left-ms"]) <= 3500
    (request,) = world.run(lambda: list(world.sidecar.exchange.open_requests.values()))
    assert request.deadline <= arrived_at + 4.0
    node.answer(200, b"last")
    wire.read()
    world.ask(wire=wire, left=4000)  # this one is not queued
    node.read()
    (request,) = world.run(lambda: list(world.sidecar.exchange.open_requests.values()))
    assert request.deadline > arrived_at + 4.5


def test_pipelined_request_that_expired_in_the_queue_is_rejected_without_an_attempt(make: Make) -> None:
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    world.ask(wire=wire, left=300)
    wait_until(world, lambda: connection.arrivals.waiting_bytes)
    now = world.run(world.sidecar.clock.now)
    wait_until(world, lambda: world.sidecar.clock.now() > now + 0.3)
    node.answer(200, b"first")
    assert wire.read()[2] == b"first"
    assert wire.read()[0].split()[1] in ("502", "503")
    assert world.run(lambda: len(world.sidecar.pool.connections)) == 1


@given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=40))
def test_arrival_time_of_the_last_consumed_byte_is_returned(steps: list[tuple[int, bool]]) -> None:
    """Compared with a model that stores one time for each byte."""
    arrivals, model = ArrivalTimes(), deque[float]()
    for now, (size, reads) in enumerate(steps):
        if reads:
            consumed = [model.popleft() for _ in range(min(size, len(model)))]
            assert arrivals.consume(len(model), -1.0) == (consumed[-1] if consumed else -1.0)
        else:
            model.extend([float(now)] * size)
            arrivals.record(len(model), float(now))
        assert arrivals.waiting_bytes == len(model)


@pytest.mark.parametrize("size", [3, 100_000])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_100_continue_is_sent_after_the_previous_response(make: Make, version: str, size: int) -> None:
    """HTTP/1.0 has no interim responses: the caller would mistake one for the final response."""
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    fields = "X-Correlation-Id: e\r\nExpect: 100-continue\r\n"
    wire.send(f"POST /order HTTP/{version}\r\n{fields}Content-Length: {size}\r\n\r\n".encode())
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    wait_until(world, lambda: connection.parser.buffer)
    node.answer(200, b"before")
    assert wire.read()[2] == b"before"
    wait_until(world, lambda: connection.is_reading_request)
    if version == "1.1":
        assert wire.read()[0] == "HTTP/1.1 100 Continue"
    wire.send(b"x" * size)
    assert node.read()[2] == b"x" * size
    node.answer(200, b"here")
    assert wire.read()[2] == b"here"


def test_exception_in_the_close_callback_still_withdraws_the_request(make: Make) -> None:
    world = make()
    wire = world.ask()
    world.run(lambda: setattr(world.sidecar.server, "remove", None))  # calling it raises
    wire.close()
    world.logged("caller-connection")
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0


def test_exception_while_parsing_a_pipelined_request_closes_the_connection(make: Make) -> None:
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


def test_exception_after_a_response_does_not_prevent_its_delivery(make: Make) -> None:
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


def test_idle_callers_cannot_exhaust_the_descriptors_for_discovery_and_endpoints(tmp_path: Path) -> None:
    """Once discovery responds again, the list is updated, and a request is sent to the new endpoint."""
    old, new, discovery, is_available, subscribed = Peer(), Peer(), Peer(), Event(), Event()

    def answer(wire: Wire) -> None:
        first, _, _ = wire.read()
        if not is_available.is_set():
            wire.reset()
        elif "index=9&" in first:
            subscribed.set()
            wire.read()
        else:
            wire.answer(200, list_body(9, entry("n1", new), reset=True))
            answer(wire)

    discovery.serve(answer)
    discovery_address = f"127.0.0.1:{discovery.port}"
    known = {"generation": 3, "instances": [entry("n0", old)]}
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
    with running_process(tmp_path, "", known=known, discovery=discovery_address, limits=limits) as process:
        port = int(wait_for_line(process, "listening").rpartition("=")[2])
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (64, 64))
        wait_for_line(process, "list-failed")
        idle = [socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS) for _ in range(100)]
        wait_for_line(process, "list-failed")  # while the idle connections are open
        is_available.set()
        assert subscribed.wait(WAIT_LIMIT_SECONDS)
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


@pytest.mark.parametrize("how", ["close", "reset"])
def test_disconnect_during_a_paused_upload_is_detected(make: Make, how: str) -> None:
    """No endpoint reads the body, so nothing more is read from the caller, including its end of stream."""
    world = make()
    world.sidecar.server.body_memory.limit_bytes = 0
    world.sidecar.exchange.start_attempt = lambda _attempt: None  # the attempt waits for a connection
    wire = world.ask("order", more="Content-Length: 30000000\r\n")
    while not world.run(lambda: [c for c in world.sidecar.server.connections if c.is_paused]):
        wire.send(b"x" * 10_000)
    if how == "reset":
        wire.reset()
    else:
        wire.close()
    left_at = world.run(world.sidecar.clock.now)
    assert world.logged("caller-connection") == ["peer-closed"]  # not closed by a time-out of the sidecar
    if isinstance(world.sockets, VirtualSockets):
        assert world.run(world.sidecar.clock.now) - left_at < 0.1
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0


@pytest.mark.parametrize("how", ["close", "reset", "stay"])
def test_disconnect_during_the_retry_backoff_cancels_the_retry(
    make: Make, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    for name in ("INITIAL_BACKOFF", "MAX_BACKOFF"):
        monkeypatch.setattr(backoff, name, 0.4)  # as a fraction of the latency target: 1 s at most
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    monkeypatch.setattr(world.sidecar.serving.balancer.random, "random", lambda: 0.5)
    node.reset()
    assert world.logged("endpoint-connection") == ["peer-reset"]  # the backoff has begun
    if how == "reset":
        wire.reset()
    elif how == "close":
        wire.close()
    if how != "stay":
        world.logged("caller-connection")
        assert world.run(
            lambda: (world.sidecar.exchange.open_count, len(world.sidecar.driver.open_requests))
        ) == (0, 0)
    passed: list[bool] = []
    world.run(lambda: world.reactor.callLater(1.2, passed.append, True))
    wait_until(world, lambda: passed)
    pool = world.sidecar.pool
    assert world.run(lambda: len(pool.pending_connects) + len(pool.connections)) == (how == "stay")
    assert world.codes("endpoint-connection") == ["peer-reset"]
