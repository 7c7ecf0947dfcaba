"""The operators' calls over loopback sockets, and their effects on the sidecar."""

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

MakeWorld = Callable[..., World]


@pytest.fixture
def make_world(running: None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[MakeWorld]:  # noqa: ARG001 - runs the reactor
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    keep_scripted_peers(monkeypatch)
    worlds: list[World] = []

    def build(nodes: int = 1) -> World:
        worlds.append(World(LoopbackSockets(), nodes, control=("127.0.0.1", 0)))
        return worlds[-1]

    yield build
    for world in worlds:
        world.end()


def connect(world: World) -> Wire:
    assert world.sidecar.admin_server is not None and world.sidecar.admin_server.port is not None
    port = world.sidecar.admin_server.port.getHost().port
    return Wire(socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS))


def call(world: World, path: str, method: str = "POST") -> int:
    wire = connect(world)
    wire.send(f"{method} /control/{path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    first, _, _ = wire.read()
    assert wire.at_end()  # one call per connection
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
def test_each_call_has_its_status(make_world: MakeWorld, method: str, path: str, status: int) -> None:
    assert call(make_world(), path, method) == status


def test_incomplete_calls_do_not_block_a_complete_one(make_world: MakeWorld) -> None:
    world = make_world()
    wires = [connect(world) for _ in range(200)]
    for wire in wires[::2]:
        with suppress(OSError):  # some connections have been replaced by newer ones
            wire.send(b"POST /control/in-ser")
    assert call(world, "ready", "GET") == 200
    assert (
        world.run(lambda: len(world.sidecar.admin_server.connections if world.sidecar.admin_server else ()))
        <= server.MAX_CONNECTIONS
    )
    for wire in wires:
        wire.close()


def test_an_offline_endpoint_gets_no_requests_until_it_is_brought_online(
    make_world: MakeWorld,
) -> None:
    world = make_world(2)
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
    assert world.ask().read()[0].split()[1] == "503"  # immediately, as no endpoint is left
    assert call(world, "endpoints/n0/online") == 200
    caller = world.ask()
    wire = world.nodes[0].accept()
    wire.read()
    wire.answer(200, b"back")
    assert caller.read()[2] == b"back"


def test_connections_to_an_offline_endpoint_are_closed(make_world: MakeWorld) -> None:
    world = make_world(1)
    caller = world.ask()
    wire = world.nodes[0].accept()
    wire.read()
    wire.answer(200, b"kept")
    caller.read()
    assert call(world, "endpoints/n0/offline") == 200
    assert wire.at_end()
    assert world.logged("endpoint-connection") == ["close-idle"]


def test_a_pending_connect_carries_no_request_once_its_endpoint_is_offline(make_world: MakeWorld) -> None:
    world = make_world(1)

    def take_offline() -> int:
        # The connect has been started and can't be established within this reactor iteration.
        sidecar = world.sidecar
        sidecar.exchange.create_attempt(request, "n0", world.reactor.seconds() + 9)
        pending_connects = len(sidecar.pool.pending_connects)
        assert sidecar.admin_service is not None and sidecar.admin_service.take_offline("n0")
        return pending_connects

    caller = world.ask()
    wire = world.nodes[0].accept()
    wire.read()
    (request,) = world.run(lambda: list(world.sidecar.exchange.open_requests.values()))
    assert world.run(take_offline) == 1
    assert world.logged("endpoint-connection") == ["not-up-in-time"]
    wire.answer(200, b"yes")
    assert caller.read()[2] == b"yes"


def test_out_of_service_closes_client_connections_and_in_service_accepts_new_ones(
    make_world: MakeWorld,
) -> None:
    world = make_world(1)
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
    assert "idle" not in world.codes("caller-connection")  # closed by the drain, not by the idle time-out
    assert call(world, "in-service") == 200
    assert health(world) == 200


def test_a_new_process_applies_the_stored_orders(make_world: MakeWorld) -> None:
    world = make_world(1)
    assert call(world, "endpoints/n0/offline") == call(world, "out-of-service") == 200
    assert world.sidecar.admin_service is not None
    world.run(world.sidecar.admin_service.stop)
    new_world = make_world(1)
    assert health(new_world) == 503
    assert new_world.ask().read()[0].split()[1] == "503"


def test_a_reinstated_endpoint_gets_first_requests_from_the_sidecars_one_after_another() -> None:
    reinstated = entries("d", started_at=1000.0, is_reinstated=True)
    for sidecar_index, is_first in ((0, True), (50, False)):
        copy = Copy(
            balancer_count=100,
            balancer_index=sidecar_index,
            contract=i.Contract(initial_capacity=0.01, warm_up=1e6),
        )
        copy.view(*entries("a", "b", "c"))
        copy.view(*reinstated, kind=i.ViewKind.DELTA)
        assert (copy.send().endpoint == "d") is is_first
        copy.now += REINSTATED_SPREAD_SECONDS / 2
        assert (copy.send().endpoint == "d") is not is_first
        assert copy.send().endpoint != "d"  # it is cold, and has had its first request


def test_no_small_write_is_delayed_on_an_operators_call(make_world: MakeWorld) -> None:
    world = make_world()
    assert world.sidecar.admin_server is not None
    wire, calls = connect(world), world.sidecar.admin_server.connections
    while not world.run(lambda: calls):
        world.settle()
    assert world.run(lambda: [call.transport.getTcpNoDelay() for call in calls]) == [True]
    wire.close()
