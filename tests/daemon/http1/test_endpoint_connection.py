"""Ends on the endpoint's side: connects that come up late, and answers to nothing."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.http1.attempts import accept_request, apply_list, kept_connection, submit
from tests.daemon.pools.pools_world import TWO_POOLS, PoolsWorld
from tests.daemon.pools.test_pool_set import submit_routed
from tests.support.world import Peer, World, entry
from wheatring.balancer.interface import Outcome
from wheatring.daemon.core.exchange import Answer, AnswerKind, Attempt, Request
from wheatring.daemon.http1 import connection_pool

Make = Callable[..., World]


@pytest.mark.parametrize("how", ["draining", "deleted", "left out", "moved", "its address another's"])
def test_a_connect_that_comes_up_after_its_endpoint_was_removed_carries_nothing(make: Make, how: str) -> None:
    """The first byte counts, not the choice: at once it goes to one that is there by then."""
    world = make()
    (old,), spare = world.nodes, Peer(world.sockets)
    now_at = old if how == "its address another's" else spare

    def notify_during_connect() -> list[Answer]:
        request, answers = submit(world)
        if how == "draining":
            apply_list(world, entry("n0", old, lifecycle="DRAINING"), entry("x", spare))
        elif how == "left out":
            apply_list(world, entry("x", spare), reset=True)
        elif how == "moved":
            apply_list(world, entry("n0", spare, startedAtMs=1))  # as one that was restarted
        else:
            apply_list(world, {"instanceId": "n0", "lifecycle": "DELETED"}, entry("x", now_at))
        sent = [(attempt.endpoint, attempt.outcome) for attempt in request.attempts]
        assert sent == [("n0", Outcome.CONNECT_FAILED), ("n0" if how == "moved" else "x", None)]
        return answers

    answers = world.run(notify_during_connect)
    wire, first = accept_request(now_at)
    assert first == "POST /late HTTP/1.1"
    wire.answer(200, b"there")
    world.logged("answered")
    assert answers[0].kind is AnswerKind.SERVED
    assert {c.address.address for c in world.sidecar.pool.connections} == {f"127.0.0.1:{now_at.port}"}
    spare.close()


def test_a_connection_in_use_when_its_endpoint_starts_draining_is_not_kept_for_it(make: Make) -> None:
    world = make()
    caller = world.ask()
    wire = world.nodes[0].accept()
    wire.read()
    world.run(lambda: apply_list(world, entry("n0", world.nodes[0], lifecycle="DRAINING")))
    wire.answer(200, b"the last")
    assert caller.read()[2] == b"the last"
    assert wire.at_end()
    assert world.logged("endpoint-connection") == ["endpoint-gone"]


@pytest.mark.parametrize(
    ("how", "code"),
    [("second answer", "unasked-data"), ("turned away", "unasked-data"), ("end", "peer-closed"),
     ("reset", "peer-reset")],
)  # fmt: skip
@pytest.mark.parametrize("name", ["menu", "order", "unsafe"])
@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # where a peer's word is there in the same turn
def test_what_comes_on_a_kept_connection_before_the_next_request_has_left_is_not_its_answer(
    make: Make, how: str, code: str, name: str
) -> None:
    """The request goes out on another connection, as the same attempt.

    The answer lies in the system's buffer while the request is handed to the connection; nothing has left.
    """
    world = make()
    wire = kept_connection(world, world.caller())

    def crossing() -> tuple[Request, list[Answer]]:
        if how == "second answer":
            wire.answer(200, b"first")
        elif how == "turned away":
            wire.answer(503, b"", "X-Unprocessed: 1\r\n")
        elif how == "end":
            wire.close()
        else:
            wire.reset()
        return submit(world, name, dialling=False)

    request, answers = world.run(crossing)
    attempts = request.attempts[:]
    again = world.nodes[0].accept()
    assert again.read()[0] == "POST /late HTTP/1.1"
    assert [attempt.number for attempt in attempts] == [0] and attempts[0].outcome is None
    if how in ("second answer", "turned away"):
        assert wire.at_end()  # and it never read the request
    again.answer(200, b"second")
    world.logged("answered")
    assert answers[0].content.body == b"second"  # type: ignore[attr-defined]
    assert world.codes("endpoint-connection") == [code]


@pytest.mark.parametrize("how", ["draining", "moved"])
@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # where a peer's word is there in the same turn
def test_what_a_stale_connection_leaves_does_not_go_to_a_removed_endpoint(make: Make, how: str) -> None:
    """Its next connect might take longer than sends may go on there."""
    world = make()
    (old,), spare = world.nodes, Peer(world.sockets)
    wire = kept_connection(world, world.caller())

    def crossing() -> list[Attempt]:
        wire.close()
        request, _ = submit(world, dialling=False)
        if how == "draining":
            apply_list(world, entry("n0", old, lifecycle="DRAINING"), entry("x", spare))
        else:
            apply_list(world, entry("n0", spare, startedAtMs=1))
        return request.attempts

    attempts = world.run(crossing)
    again, first = accept_request(spare)
    assert first == "POST /late HTTP/1.1"
    sent = [(attempt.endpoint, attempt.outcome) for attempt in attempts]
    assert sent == [("n0", Outcome.CONNECT_FAILED), ("n0" if how == "moved" else "x", None)]
    again.answer(200, b"there")
    world.logged("answered")
    spare.close()


@pytest.mark.parametrize("amid", [False, True])
@pytest.mark.parametrize("old", [(200, b"first", ""), (503, b"", "X-Unprocessed: 1\r\n")])
def test_an_answer_that_begins_before_the_last_byte_of_its_request_has_left_is_not_its_own(
    make: Make, old: tuple[int, bytes, str], amid: bool
) -> None:
    """An endpoint starts on a request with its last byte. If that left by the answer's end, it may run."""
    world = make()
    (node,), caller = world.nodes, world.caller()
    node.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    wire = kept_connection(world, caller)
    (connection,) = world.sidecar.pool.connections
    sock: Any = connection.transport.socket  # type: ignore[attr-defined]
    world.run(lambda: sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096))
    body = b"x" * 65000  # more than both ends of the connection hold
    world.ask("unsafe", wire=caller, more=f"Content-Length: {len(body)}\r\n")
    caller.send(body)
    wire.buffer = wire.sock.recv(1)  # it has begun to leave
    if amid:
        wire.send(b"HTTP/1.1 %d X\r\n" % old[0])
        world.settle()
        assert wire.read()[2] == body
        wire.send(f"{old[2]}Content-Length: {len(old[1])}\r\n\r\n".encode() + old[1])
        assert world.logged("endpoint-connection") == ["bad-answer"]
        assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
        assert world.sidecar.pool.cautious_until > 0
        return
    wire.answer(*old)
    again = node.accept()
    assert again.read()[2] == body
    again.answer(200, b"mine")
    assert caller.read()[2] == b"mine"
    assert world.codes("endpoint-connection") == ["bad-answer" if old[0] == 200 else "not-clean"]


@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # where a system tells what was delivered
def test_an_answer_that_begins_before_its_request_has_been_delivered_is_not_its_own(make: Make) -> None:
    """All of it has left, and may still come: an unsafe one has failed."""
    world = make()
    (node,), caller = world.nodes, world.caller()
    node.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    wire = kept_connection(world, caller)
    world.ask("unsafe", wire=caller, more="Content-Length: 65000\r\n")
    caller.send(b"x" * 65000)  # this end's system takes it, and the other's has no room
    wire.buffer = wire.sock.recv(1)
    world.settle()
    (connection,) = world.sidecar.pool.connections
    assert connection.is_flushed
    wire.answer(200, b"first")
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert world.logged("endpoint-connection") == ["bad-answer"]


def test_a_connection_that_has_stood_idle_for_too_long_is_not_used_though_nobody_has_looked(
    make: Make,
) -> None:
    """Between two looks of the pool: its endpoint may close it at any moment, and a request would be lost."""
    world = make()
    caller = world.caller()
    wire = kept_connection(world, caller)
    world.sidecar.pool.idle_timeout = -1.0
    world.ask("unsafe", wire=caller)
    other = world.nodes[0].accept()
    other.read()
    assert wire.at_end()
    other.answer(200, b"mine")
    assert caller.read()[2] == b"mine"


def test_where_second_answers_were_seen_a_connection_rests_before_it_is_used_again(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Once the next request has left on it, nothing tells a late second answer from that one's own."""
    monkeypatch.setattr(connection_pool, "REST_SECONDS", 1e9)
    world = make()
    caller = world.caller()
    wire = kept_connection(world, caller)
    world.ask(wire=caller)
    wire.read()  # as long as none was seen, at once
    wire.answer(200, b"second")
    assert caller.read()[2] == b"second"
    wire.answer(200, b"second")
    assert world.logged("endpoint-connection") == ["unasked-data"]
    wire = kept_connection(world, caller)
    world.ask(wire=caller)
    other = world.nodes[0].accept()
    other.read()
    wire.answer(200, b"first")  # late, and the request is not on this one
    assert world.logged("endpoint-connection", 2) == ["unasked-data"] * 2
    other.answer(200, b"mine")
    assert caller.read()[2] == b"mine"
    monkeypatch.setattr(connection_pool, "REST_SECONDS", 0.0)
    world.ask(wire=caller)
    other.read()  # it has rested
    other.answer(200, b"last")
    assert caller.read()[2] == b"last"


def test_a_second_answer_right_behind_the_first_has_connections_rest_as_well(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_pool, "REST_SECONDS", 1e9)
    world = make()
    caller = world.ask()
    wire = world.nodes[0].accept()
    wire.read()
    wire.send(b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\na" * 2)
    assert caller.read()[2] == b"a"
    assert world.logged("endpoint-connection") == ["not-clean"]
    wire = kept_connection(world, caller)
    world.ask(wire=caller)
    other = world.nodes[0].accept()
    other.read()
    other.answer(200, b"mine")
    assert caller.read()[2] == b"mine"
    assert world.codes("endpoint-connection") == ["not-clean"]
    wire.close()


@pytest.mark.parametrize("rested", [True, False])
def test_of_several_idle_connections_one_that_has_rested_is_used_first(
    make: Make, monkeypatch: pytest.MonkeyPatch, rested: bool
) -> None:
    """Before any second answer was seen, too: it costs nothing. If none has, the one that rested longest."""
    monkeypatch.setattr(connection_pool, "REST_SECONDS", 1e9)
    world = make()
    world.sidecar.pool.idle_timeout = 4e9
    callers, wires = [], []
    for _ in range(2):
        callers.append(world.ask())
        wires.append(world.nodes[0].accept())
        wires[-1].read()
    for caller, wire in zip(callers, wires, strict=True):
        wire.answer(200)
        caller.read()
    (idle,) = world.sidecar.pool.idle_connections.values()
    if rested:
        world.run(lambda: setattr(idle[0], "idle_since", -2e9))
    world.ask("unsafe")
    assert wires[0].read()[0] == "POST /unsafe HTTP/1.1"


@pytest.mark.parametrize("more", [{"lifecycle": "DRAINING", "zone": "a"}, {"zone": "b"}])
def test_in_one_of_several_pools_a_connect_to_an_endpoint_that_left_the_pool_carries_nothing(
    make: Make, tmp_path: Path, more: dict[str, Any]
) -> None:
    """Also where it serves on, at the same address, in another pool."""
    world = PoolsWorld(make(0).sockets, tmp_path, TWO_POOLS)

    def notify_during_connect() -> list[object]:
        world.pools.router.change_weights("all", {"old": 1})
        request = submit_routed(world, "late")
        (attempt,) = request.attempts
        apply_list(world, entry("n0", world.nodes[0], **more))
        return [
            attempt.outcome,
            attempt.is_written,
            *(len(m.connections.pending_connects) for m in world.pools.all()),
        ]

    try:
        assert world.run(notify_during_connect) == [Outcome.CONNECT_FAILED, False, 0, 0]
    finally:
        world.end()
