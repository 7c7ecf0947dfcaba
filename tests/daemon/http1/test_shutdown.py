"""Shutdown and eviction: each request accepted before gets exactly one complete response."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.daemon.http1.test_bodies import LARGE, exhaust_body_memory, read_body, read_head, send_request_head
from tests.support.world import LoopbackSockets, World
from wheatring.common import log
from wheatring.daemon.http1 import caller_lifecycle, server

Make = Callable[..., World]
HEALTH = b"GET /healthz HTTP/1.1\r\n\r\n"


def begin_shutdown(world: World) -> None:
    """Begin the shutdown of the sidecar. Its end is logged, and the process continues."""
    line = log.line  # bound now, as the shutdown may end after the test
    world.sidecar.finish = lambda: line("ended")  # type: ignore[method-assign]
    world.run(world.sidecar.stop)


def only_connection(world: World) -> Any:
    """Wait for the only connection of a caller, and return it."""
    while not world.run(lambda: world.sidecar.server.connections):
        world.settle()
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    return connection


def test_queued_connections_are_accepted_before_the_listener_closes(make: Make) -> None:
    world = make(0)
    listener: Any = world.sidecar.server.listener
    world.run(listener.stopReading)
    callers = [world.caller() for _ in range(5)]
    for wire in callers:
        wire.send(HEALTH)
    world.settle()

    def stop_listening() -> None:
        listener.numberAccepts = 1  # as after a time with few new connections
        listener.startReading()
        world.reactor.callLater(0, world.sidecar.server.stop_listening)

    world.run(stop_listening)
    assert [wire.read()[0] for wire in callers] == ["HTTP/1.1 200 OK"] * 5
    with pytest.raises(ConnectionRefusedError):
        world.caller()


@pytest.mark.parametrize("shutdown", ["after both requests", "before both requests"])
def test_pipelined_request_is_answered_during_a_shutdown(make: Make, shutdown: str) -> None:
    """Even if the previous response was expected to be the last one when its request was read."""
    world = make()
    wire = world.caller()
    connection = only_connection(world)
    if shutdown == "before both requests":
        begin_shutdown(world)
    world.ask(wire=wire)
    node = world.nodes[0].accept()
    node.read()
    world.ask(wire=wire)
    while not world.run(lambda: connection.parser.buffer):
        world.settle()
    if shutdown == "after both requests":
        begin_shutdown(world)
    node.answer(200, b"first")
    assert wire.read()[2] == b"first"
    node.read()
    node.answer(200, b"second")
    _, fields, body = wire.read()
    assert (fields["connection"], body) == ("close", b"second") and wire.at_end()


def test_all_pipelined_requests_are_rejected_after_the_shutdown_deadline(make: Make) -> None:
    world = make()
    wire = world.ask("unsafe")
    for _ in range(100):
        world.ask("unsafe", wire)
    node = world.nodes[0].accept()
    node.read()
    begin_shutdown(world)
    world.sidecar.shutdown.schedule.deadline = 0.0  # no request may continue after accepting has stopped
    assert wire.read()[0].startswith("HTTP/1.1 502")  # it may have been executed
    assert {wire.read()[0][:12] for _ in range(100)} == {"HTTP/1.1 503"}
    assert wire.at_end() and world.sidecar.driver.last_id <= 2


@pytest.mark.parametrize("state", ["partial", "unread", "idle"])
def test_request_arriving_at_the_shutdown_is_answered_or_not_read(make: Make, state: str) -> None:
    """The request is partially received, unread in the receive buffer, or sent after the close has begun."""
    world = make()
    wire = world.caller()
    wire.send(HEALTH)
    wire.read()
    connection = only_connection(world)
    request = b"GET /menu HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Time-Left-Ms: 6000\r\n\r\n"
    if state == "partial":
        wire.send(request[:30])
        while not world.run(lambda: connection.is_reading_request):
            world.settle()
        begin_shutdown(world)
        wire.send(request[30:])
    elif state == "unread":
        world.run(connection.transport.pauseProducing)
        wire.send(request)
        world.settle()
        world.run(connection.transport.resumeProducing)  # read in the next reactor iteration
        begin_shutdown(world)
    else:
        world.run(lambda: connection.close("stopping"))
        assert wire.at_end()
        wire.send(request)
        world.settle()
        assert world.sidecar.driver.last_id == 0
        return
    node = world.nodes[0].accept()
    node.read()
    node.answer(200, b"last")
    _, fields, body = wire.read()
    assert (fields["connection"], body) == ("close", b"last") and wire.at_end()


def test_shutdown_does_not_write_into_a_response_to_an_incomplete_request(make: Make) -> None:
    """The final phase of a shutdown rejects incomplete requests, but must not do so within a response."""
    world = make()
    exhaust_body_memory(world)
    wire = send_request_head(world, len(LARGE))
    wire.send(LARGE[:150000])
    node = world.nodes[0].accept()
    read_head(node)
    node.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE[:100000])
    read_head(wire)
    connection = only_connection(world)
    world.run(lambda: setattr(connection, "state_since", -1e9))
    world.run(lambda: world.sidecar.server.close_unanswered(is_final=True))
    passed: list[bool] = []
    later = world.reactor.callLater
    world.run(lambda: later(0, later, 0, later, 0, passed.append, True))  # the check takes two iterations
    while not world.run(lambda: passed):
        world.settle()
    node.send(LARGE[100000:])
    assert read_body(wire, len(LARGE)) == LARGE and wire.at_end()


@pytest.mark.parametrize("why", ["full", "idle", "silent"])
def test_request_pending_at_the_eviction_of_its_connection_is_read_first(
    make: Make, monkeypatch: pytest.MonkeyPatch, why: str
) -> None:
    world = make()
    wire = world.caller()
    if why == "silent":
        monkeypatch.setattr(caller_lifecycle, "HEAD_TIMEOUT_SECONDS", 1e9)
    else:
        wire.send(HEALTH)
        wire.read()
    connection = only_connection(world)

    def evict() -> None:
        """Evict the connection while its request is pending in the receive buffer."""
        if isinstance(world.sockets, LoopbackSockets):
            wire.send(HEALTH)
        connection.transport.resumeProducing()
        monkeypatch.setattr(caller_lifecycle, "HEAD_TIMEOUT_SECONDS", 0.0)
        if why == "full":
            connection.evict()
        else:
            connection.enforce_limits(world.sidecar.clock.now() + 1, 0.0)

    if not isinstance(world.sockets, LoopbackSockets):
        world.run(connection.transport.pauseProducing)
        wire.send(HEALTH)
        world.settle()
    world.run(evict)
    assert wire.read()[0] == "HTTP/1.1 200 OK"


def test_shutdown_does_not_exceed_the_final_flush_time_out(make: Make) -> None:
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    begin_shutdown(world)
    world.sidecar.shutdown.schedule.deadline = 0.0  # no request may continue after accepting has stopped
    assert wire.read()[0].startswith("HTTP/1.1 503")  # the caller does not close its connection
    stopped_at = world.run(world.sidecar.clock.now)
    world.logged("ended")
    if not isinstance(world.sockets, LoopbackSockets):
        assert world.run(world.sidecar.clock.now) - stopped_at < server.FINAL_FLUSH_TIMEOUT_SECONDS + 0.05
