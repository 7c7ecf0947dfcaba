"""The caller's side: whose connection ends when, and what is owed on it then. Each crossing is forced."""

from __future__ import annotations

import socket
from collections.abc import Callable
from time import monotonic
from typing import Any

import pytest

from tests.virtual import Virtual
from tests.world import FAR, Loopback, Wire, World
from wheatring.http1 import caller

Make = Callable[..., World]
LARGE = b"x" * 60000


def narrow(world: World) -> Wire:
    """A caller of whose answer the most waits at the sidecar's end until it reads."""
    if not isinstance(world.ground, Loopback):
        return world.caller()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    sock.settimeout(FAR)
    sock.connect(("127.0.0.1", world.port))
    world.wires.append(Wire(sock))
    return world.wires[-1]


def ended(world: World) -> Callable[[], object]:
    """Whether the sidecar has ended, for its part, the connection that is there now."""
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    return lambda: connection.code


def until(world: World, met: Callable[[], object]) -> None:
    """The reactor is let go on until something is so there."""
    limit = monotonic() + FAR
    while not world.run(met):
        assert monotonic() < limit, "it never came"
        world.settle()


@pytest.mark.parametrize("how", ["asked", "stopping", "old"])
def test_an_answer_reaches_a_caller_that_goes_on_writing(make: Make, how: str) -> None:
    """A close over unread bytes, or one after which more come, is a reset: what waits to be sent is gone."""
    world = make()
    wire = narrow(world)
    version = b"HTTP/1.0" if how == "old" else b"HTTP/1.1"
    close = b"Connection: close\r\n" if how == "asked" else b""
    wire.send(b"GET /menu %s\r\nX-Correlation-Id: c\r\nX-Time-Left-Ms: 6000\r\n%s\r\n" % (version, close))
    node = world.nodes[0].accept()
    node.read()
    over = ended(world)
    if how == "stopping":
        world.sidecar.server.stopping = True
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
    assert world.sidecar.driver.last == 1  # what was read after the last answer went nowhere


def test_of_what_comes_after_the_last_answer_no_more_than_a_part_is_read(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(caller, "DRAIN", 5)
    monkeypatch.setattr(caller, "LINGER", 0.3)
    world = make()
    wire = world.caller()
    wire.send(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
    assert wire.read()[0] == "HTTP/1.1 200 OK" and wire.at_end()
    (connection,) = world.run(lambda: list(world.sidecar.server.connections))
    wire.send(b"123456")
    until(world, lambda: connection.paused)
    assert not connection.reader.buffer
    assert world.logged("caller-connection") == ["caller-asked"]  # and it is let go in its time


def test_those_that_are_only_heard_out_take_no_place_from_a_caller(make: Make) -> None:
    world = make()
    most = world.sidecar.server.most
    for _ in range(most):
        wire = world.caller()
        wire.send(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
        wire.read()
    late = world.caller()
    late.send(b"GET /healthz HTTP/1.1\r\n\r\n")
    assert late.read()[0] == "HTTP/1.1 200 OK"
    assert world.run(lambda: len(world.sidecar.server.connections)) <= most


def test_no_small_write_is_held_back_on_any_connection(make: Make) -> None:
    world = make()
    watch = world.discovery.accept()
    watch.read()
    world.ask()
    node = world.nodes[0].accept()  # kept, or it would be closed
    node.read()
    sidecar, told = world.sidecar, world.run
    watcher: Any = sidecar.machine_list.watcher
    ends: list[Any] = [watcher.connection, *sidecar.server.connections, *sidecar.pool.connections]
    assert told(lambda: [end.transport.getTcpNoDelay() for end in ends]) == [True] * 3


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
    if isinstance(world.ground, Virtual):
        assert world.run(world.sidecar.clock.now) - left < 0.1
    assert world.run(lambda: world.sidecar.exchange.open) == 0
    assert world.sidecar.driver.last == 1


def test_a_caller_that_sends_much_ahead_gets_the_present_answer_as_its_last(make: Make) -> None:
    world = make()
    wire = world.ask()
    node = world.nodes[0].accept()
    node.read()
    (connection,) = world.sidecar.server.connections
    wire.send(b"x" * 500_000)
    until(world, lambda: connection.drained > 300_000)
    assert not connection.reader.buffer
    node.answer(200, b"here")
    _, fields, body = wire.read()
    assert (fields["connection"], body) == ("close", b"here") and wire.at_end()
