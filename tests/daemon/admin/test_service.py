"""The operators' calls over loopback sockets, and what each puts in force."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path

import pytest

from tests.conftest import Copy, entries
from tests.support.world import (
    WAIT_LIMIT_SECONDS,
    LoopbackSockets,
    Wire,
    World,
    entry,
    keep_scripted_peers,
    list_body,
)
from wheatring.balancer import interface as i
from wheatring.balancer.endpoint_pool import REINSTATED_SPREAD_SECONDS
from wheatring.daemon.admin import server

Make = Callable[..., World]


@pytest.fixture
def make(running: None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Make]:  # noqa: ARG001 - runs the reactor
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    keep_scripted_peers(monkeypatch)
    worlds: list[World] = []

    def build(nodes: int = 1) -> World:
        worlds.append(World(LoopbackSockets(), nodes, control=("127.0.0.1", 0)))
        return worlds[-1]

    yield build
    for world in worlds:
        world.end()


def dial(world: World) -> Wire:
    assert world.sidecar.admin_server is not None and world.sidecar.admin_server.port is not None
    port = world.sidecar.admin_server.port.getHost().port
    return Wire(socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS))


def call(world: World, path: str, method: str = "POST") -> int:
    wire = dial(world)
    wire.send(f"{method} /control/{path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    first, _, _ = wire.read()
    assert wire.at_end()  # one call to a connection
    wire.close()
    return int(first.split()[1])


def health(world: World) -> int:
    wire = world.caller()
    wire.send(b"GET /healthz HTTP/1.1\r\n\r\n")
    return int(wire.read()[0].split()[1])


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "ready", 200),
        ("POST", "ready", 405),
        ("GET", "endpoints/n0/offline", 405),
        ("POST", "endpoints/n0/offline", 200),
        ("POST", "endpoints/n%30/online", 200),
        ("POST", "endpoints/n9/offline", 404),
        ("POST", "endpoints/n9/online", 404),
        ("POST", "endpoints/n0/sideways", 404),
        ("POST", "nothing", 404),
        ("G T", "ready", 400),
    ],
)
def test_each_call_has_its_answer(make: Make, method: str, path: str, status: int) -> None:
    assert call(make(), path, method) == status


def test_incomplete_calls_keep_no_other_call_out(make: Make) -> None:
    world = make()
    crowd = [dial(world) for _ in range(200)]
    for wire in crowd[::2]:
        with suppress(OSError):  # some have had to make room by now
            wire.send(b"POST /control/in-ser")
    assert call(world, "ready", "GET") == 200
    assert (
        world.run(lambda: len(world.sidecar.admin_server.connections if world.sidecar.admin_server else ()))
        <= server.MAX_CONNECTIONS
    )
    for wire in crowd:
        wire.close()


def test_an_excluded_endpoint_gets_nothing_whatever_the_list_says_until_a_call_restores_it(
    make: Make,
) -> None:
    world = make(2)
    watch = world.discovery.accept()
    watch.read()
    assert call(world, "endpoints/n0/offline") == call(world, "endpoints/n0/offline") == 200
    watch.answer(200, list_body(8, *(entry(f"n{n}", p) for n, p in enumerate(world.nodes)), reset=True))
    watch.read()
    for _ in range(6):
        caller = world.ask()
        wire = world.nodes[1].accept()
        wire.read()
        wire.answer(200, b"one", "Connection: close\r\n")
        assert caller.read()[2] == b"one"
    assert call(world, "endpoints/n1/offline") == 200
    assert world.ask().read()[0].split()[1] == "503"  # at once: there is nobody
    assert call(world, "endpoints/n0/online") == 200
    caller = world.ask()
    wire = world.nodes[0].accept()
    wire.read()
    wire.answer(200, b"back")
    assert caller.read()[2] == b"back"


def test_connections_to_an_excluded_endpoint_are_closed(make: Make) -> None:
    world = make(1)
    caller = world.ask()
    wire = world.nodes[0].accept()
    wire.read()
    wire.answer(200, b"kept")
    caller.read()
    assert call(world, "endpoints/n0/offline") == 200
    assert wire.at_end()
    assert world.logged("endpoint-connection") == ["close-idle"]


def test_a_pending_connect_carries_no_request_once_its_endpoint_is_excluded(make: Make) -> None:
    world = make(1)

    def ban() -> int:
        # The connect has been asked for and can't have come up within this turn of the reactor.
        sidecar = world.sidecar
        sidecar.exchange.create_attempt(job, "n0", world.reactor.seconds() + 9)
        under_way = len(sidecar.pool.pending_connects)
        assert sidecar.admin_service is not None and sidecar.admin_service.take_offline("n0")
        return under_way

    caller = world.ask()
    wire = world.nodes[0].accept()
    wire.read()
    (job,) = world.run(lambda: list(world.sidecar.exchange.open_requests.values()))
    assert world.run(ban) == 1
    assert world.logged("endpoint-connection") == ["not-up-in-time"]
    wire.answer(200, b"yes")
    assert caller.read()[2] == b"yes"


def test_out_of_service_disconnects_clients_and_in_service_accepts_them_again(make: Make) -> None:
    world = make(1)
    idle, busy = world.caller(), world.ask()
    idle.send(b"GET /healthz HTTP/1.1\r\n\r\n")
    idle.read()
    wire = world.nodes[0].accept()
    wire.read()
    assert call(world, "out-of-service") == call(world, "out-of-service") == 200
    assert health(world) == 503
    wire.answer(200, b"kept")
    _, fields, body = busy.read()
    assert (fields["connection"], body) == ("close", b"kept") and busy.at_end()
    assert idle.at_end()
    assert "idle" not in world.codes("caller-connection")  # in time, not as any other
    assert call(world, "in-service") == 200
    assert health(world) == 200


def test_orders_stand_over_a_new_process(make: Make) -> None:
    world = make(1)
    assert call(world, "endpoints/n0/offline") == call(world, "out-of-service") == 200
    assert world.sidecar.admin_service is not None
    world.run(world.sidecar.admin_service.stop)
    later = make(1)
    assert health(later) == 503
    assert later.ask().read()[0].split()[1] == "503"


def test_the_next_request_goes_to_a_restored_endpoint_and_other_copies_wait_their_turn() -> None:
    back = entries("d", started_at=1000.0, is_reinstated=True)
    for number, first in ((0, True), (50, False)):
        copy = Copy(
            balancer_count=100, balancer_index=number, contract=i.Contract(initial_capacity=0.01, warm_up=1e6)
        )
        copy.view(*entries("a", "b", "c"))
        copy.view(*back, kind=i.ViewKind.DELTA)
        assert (copy.send().endpoint == "d") is first
        copy.now += REINSTATED_SPREAD_SECONDS / 2
        assert (copy.send().endpoint == "d") is not first
        assert copy.send().endpoint != "d"  # it is cold, and owed no more


def test_no_small_write_is_delayed_on_an_operators_call(make: Make) -> None:
    world = make()
    assert world.sidecar.admin_server is not None
    wire, calls = dial(world), world.sidecar.admin_server.connections
    while not world.run(lambda: calls):
        world.settle()
    assert world.run(lambda: [call.transport.getTcpNoDelay() for call in calls]) == [True]
    wire.close()
