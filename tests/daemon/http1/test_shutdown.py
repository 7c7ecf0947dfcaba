"""The process's own end, and evictions: what has been taken by then gets one whole answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.daemon.http1.test_bodies import LARGE, body, head, no_room, post
from tests.support.world import LoopbackSockets, World
from wheatring.common import log
from wheatring.daemon.http1 import caller_lifecycle, server

Make = Callable[..., World]
HEALTH = b"GET /healthz HTTP/1.1\r\n\r\n"


def leave(world: World) -> None:
    """Tell it to stop. It logs its end, and the process goes on."""
    line = log.line  # this world's: it may end after the test has
    world.sidecar.finish = lambda: line("ended")  # type: ignore[method-assign]
    world.run(world.sidecar.stop)


def only_connection(world: World) -> Any:
    """Return the one connection of a caller."""
    while not world.run(lambda: world.sidecar.server.connections):
        world.settle()
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    return connection


def test_callers_in_the_backlog_are_accepted_before_the_listener_closes(make: Make) -> None:
    world = make(0)
    listener: Any = world.sidecar.server.listener
    world.run(listener.stopReading)
    callers = [world.caller() for _ in range(5)]
    for wire in callers:
        wire.send(HEALTH)
    world.settle()

    def shut() -> None:
        listener.numberAccepts = 1  # as where callers have come one by one until now
        listener.startReading()
        world.reactor.callLater(0, world.sidecar.server.stop_listening)

    world.run(shut)
    assert [wire.read()[0] for wire in callers] == ["HTTP/1.1 200 OK"] * 5
    with pytest.raises(ConnectionRefusedError):
        world.caller()


@pytest.mark.parametrize("arrival", ["behind both", "before both"])
def test_what_was_sent_ahead_at_a_stop_is_answered(make: Make, arrival: str) -> None:
    """Also where the answer before would have been the last one as its request was read."""
    world = make()
    wire = world.caller()
    connection = only_connection(world)
    if arrival == "before both":
        leave(world)
    world.ask(wire=wire)
    node = world.nodes[0].accept()
    node.read()
    world.ask(wire=wire)
    while not world.run(lambda: connection.parser.buffer):
        world.settle()
    if arrival == "behind both":
        leave(world)
    node.answer(200, b"first")
    assert wire.read()[2] == b"first"
    node.read()
    node.answer(200, b"second")
    _, fields, body = wire.read()
    assert (fields["connection"], body) == ("close", b"second") and wire.at_end()


def test_what_was_sent_ahead_is_rejected_in_one_go_once_requests_are_given_up(make: Make) -> None:
    world = make()
    wire = world.ask("unsafe")
    for _ in range(100):
        world.ask("unsafe", wire)
    node = world.nodes[0].accept()
    node.read()
    leave(world)
    world.sidecar.shutdown.schedule.deadline = 0.0  # nothing may run on once the door is shut
    assert wire.read()[0].startswith("HTTP/1.1 502")  # it may have run
    assert {wire.read()[0][:12] for _ in range(100)} == {"HTTP/1.1 503"}
    assert wire.at_end() and world.sidecar.driver.last_id <= 2


@pytest.mark.parametrize("instant", ["half", "unread", "resting"])
def test_a_request_at_the_instant_of_the_stop_is_answered_or_not_read(make: Make, instant: str) -> None:
    """Half of it had come; it was whole in the system's buffer; it comes as the connection is shut."""
    world = make()
    wire = world.caller()
    wire.send(HEALTH)
    wire.read()
    connection = only_connection(world)
    request = b"GET /menu HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Time-Left-Ms: 6000\r\n\r\n"
    if instant == "half":
        wire.send(request[:30])
        while not world.run(lambda: connection.is_awaiting):
            world.settle()
        leave(world)
        wire.send(request[30:])
    elif instant == "unread":
        world.run(connection.transport.pauseProducing)
        wire.send(request)
        world.settle()
        world.run(connection.transport.resumeProducing)  # heard of in the next look at the sockets
        leave(world)
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


def test_nothing_is_written_into_an_answer_that_has_begun_before_its_request_was_complete(make: Make) -> None:
    """Not by the stop either, which has no patience with a request that is not whole by then."""
    world = make()
    no_room(world)
    wire = post(world, len(LARGE))
    wire.send(LARGE[:150000])
    node = world.nodes[0].accept()
    head(node)
    node.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE[:100000])
    head(wire)
    connection = only_connection(world)
    world.run(lambda: setattr(connection, "state_since", -1e9))
    world.run(lambda: world.sidecar.server.close_unanswered(is_final=True))
    passed: list[bool] = []
    later = world.reactor.callLater
    world.run(lambda: later(0, later, 0, later, 0, passed.append, True))  # it takes two turns
    while not world.run(lambda: passed):
        world.settle()
    node.send(LARGE[100000:])
    assert body(wire, len(LARGE)) == LARGE and wire.at_end()


@pytest.mark.parametrize("why", ["full", "idle", "silent"])
def test_a_request_that_has_come_by_its_eviction_is_read_first(
    make: Make, monkeypatch: pytest.MonkeyPatch, why: str
) -> None:
    world = make()
    wire = world.caller()
    if why == "silent":
        monkeypatch.setattr(caller_lifecycle, "HEAD_SECONDS", 1e9)
    else:
        wire.send(HEALTH)
        wire.read()
    connection = only_connection(world)

    def evict() -> None:
        """Evict the caller whose request is there, and not read yet."""
        if isinstance(world.sockets, LoopbackSockets):
            wire.send(HEALTH)
        connection.transport.resumeProducing()
        monkeypatch.setattr(caller_lifecycle, "HEAD_SECONDS", 0.0)
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


def test_the_end_waits_no_longer_for_those_that_are_heard_out_than_it_may(make: Make) -> None:
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    leave(world)
    world.sidecar.shutdown.schedule.deadline = 0.0  # nothing may run on once the door is shut
    assert wire.read()[0].startswith("HTTP/1.1 503")  # and it is not closed
    stopped_at = world.run(world.sidecar.clock.now)
    world.logged("ended")
    if not isinstance(world.sockets, LoopbackSockets):
        assert world.run(world.sidecar.clock.now) - stopped_at < server.BRIEF_FLUSH_SECONDS + 0.05
