"""Connections to endpoints: connects that are established late, unsolicited data, and reuse."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.http1.attempts import accept_request, apply_list, open_idle_connection, submit
from tests.daemon.pools.pools_world import TWO_POOLS, PoolsWorld
from tests.daemon.pools.test_pool_set import submit_routed
from tests.support.world import Peer, World, entry
from wheatring.balancer.interface import Outcome
from wheatring.daemon.core.exchange import Answer, AnswerKind, Attempt, Request
from wheatring.daemon.http1 import connection_pool

Make = Callable[..., World]


@pytest.mark.parametrize("how", ["draining", "deleted", "omitted", "moved", "address reused"])
def test_connect_established_after_its_endpoint_was_removed_sends_nothing(make: Make, how: str) -> None:
    """The list must be valid when the first byte is sent; the request goes to another endpoint at once."""
    world = make()
    (old,), spare = world.nodes, Peer(world.sockets)
    target = old if how == "address reused" else spare

    def notify_during_connect() -> list[Answer]:
        request, answers = submit(world)
        if how == "draining":
            apply_list(world, entry("n0", old, lifecycle="DRAINING"), entry("x", spare))
        elif how == "omitted":
            apply_list(world, entry("x", spare), reset=True)
        elif how == "moved":
            apply_list(world, entry("n0", spare, startedAtMs=1))  # as after a restart
        else:
            apply_list(world, {"instanceId": "n0", "lifecycle": "DELETED"}, entry("x", target))
        sent = [(attempt.endpoint, attempt.outcome) for attempt in request.attempts]
        assert sent == [("n0", Outcome.CONNECT_FAILED), ("n0" if how == "moved" else "x", None)]
        return answers

    answers = world.run(notify_during_connect)
    wire, first = accept_request(target)
    assert first == "POST /late HTTP/1.1"
    wire.answer(200, b"there")
    world.logged("answered")
    assert answers[0].kind is AnswerKind.SERVED
    assert {c.address.address for c in world.sidecar.pool.connections} == {f"127.0.0.1:{target.port}"}
    spare.close()


def test_connection_in_use_when_its_endpoint_starts_draining_is_closed_after_the_response(make: Make) -> None:
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
    [("duplicate response", "unasked-data"), ("rejection", "unasked-data"), ("close", "peer-closed"),
     ("reset", "peer-reset")],
)  # fmt: skip
@pytest.mark.parametrize("name", ["menu", "order", "unsafe"])
@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # input is available in the same iteration
def test_data_on_an_idle_connection_before_the_next_request_was_sent_is_not_its_response(
    make: Make, how: str, code: str, name: str
) -> None:
    """The request is sent on another connection, as the same attempt.

    The data is pending in the receive buffer while the request is passed to the connection; no byte is sent.
    """
    world = make()
    wire = open_idle_connection(world, world.caller())

    def submit_with_pending_input() -> tuple[Request, list[Answer]]:
        if how == "duplicate response":
            wire.answer(200, b"first")
        elif how == "rejection":
            wire.answer(503, b"", "X-Unprocessed: 1\r\n")
        elif how == "close":
            wire.close()
        else:
            wire.reset()
        return submit(world, name, is_connecting=False)

    request, answers = world.run(submit_with_pending_input)
    attempts = request.attempts[:]
    again = world.nodes[0].accept()
    assert again.read()[0] == "POST /late HTTP/1.1"
    assert [attempt.number for attempt in attempts] == [0] and attempts[0].outcome is None
    if how in ("duplicate response", "rejection"):
        assert wire.at_end()  # without having received the request
    again.answer(200, b"second")
    world.logged("answered")
    assert answers[0].content.body == b"second"  # type: ignore[attr-defined]
    assert world.codes("endpoint-connection") == [code]


@pytest.mark.parametrize("how", ["draining", "moved"])
@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # input is available in the same iteration
def test_attempt_moved_from_a_closed_connection_is_not_sent_to_a_removed_endpoint(
    make: Make, how: str
) -> None:
    """A new connect might take longer than the time in which the endpoint still accepts requests."""
    world = make()
    (old,), spare = world.nodes, Peer(world.sockets)
    wire = open_idle_connection(world, world.caller())

    def submit_and_update_list() -> list[Attempt]:
        wire.close()
        request, _ = submit(world, is_connecting=False)
        if how == "draining":
            apply_list(world, entry("n0", old, lifecycle="DRAINING"), entry("x", spare))
        else:
            apply_list(world, entry("n0", spare, startedAtMs=1))
        return request.attempts

    attempts = world.run(submit_and_update_list)
    again, first = accept_request(spare)
    assert first == "POST /late HTTP/1.1"
    sent = [(attempt.endpoint, attempt.outcome) for attempt in attempts]
    assert sent == [("n0", Outcome.CONNECT_FAILED), ("n0" if how == "moved" else "x", None)]
    again.answer(200, b"there")
    world.logged("answered")
    spare.close()


@pytest.mark.parametrize("is_split", [False, True])
@pytest.mark.parametrize("response", [(200, b"first", ""), (503, b"", "X-Unprocessed: 1\r\n")])
def test_response_that_begins_before_the_request_was_sent_is_rejected(
    make: Make, response: tuple[int, bytes, str], is_split: bool
) -> None:
    """Endpoints process only complete requests. If the last byte was sent meanwhile, it may be executed."""
    world = make()
    (node,), caller = world.nodes, world.caller()
    node.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    wire = open_idle_connection(world, caller)
    (connection,) = world.sidecar.pool.connections
    sock: Any = connection.transport.socket  # type: ignore[attr-defined]
    world.run(lambda: sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096))
    body = b"x" * 65000  # exceeds the socket buffers of both ends
    world.ask("unsafe", wire=caller, more=f"Content-Length: {len(body)}\r\n")
    caller.send(body)
    wire.buffer = wire.sock.recv(1)  # sending has begun
    if is_split:
        wire.send(b"HTTP/1.1 %d X\r\n" % response[0])
        world.settle()
        assert wire.read()[2] == body
        wire.send(f"{response[2]}Content-Length: {len(response[1])}\r\n\r\n".encode() + response[1])
        assert world.logged("endpoint-connection") == ["bad-answer"]
        assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
        assert world.sidecar.pool.reuse_delay_until > 0
        return
    wire.answer(*response)
    again = node.accept()
    assert again.read()[2] == body
    again.answer(200, b"mine")
    assert caller.read()[2] == b"mine"
    assert world.codes("endpoint-connection") == ["bad-answer" if response[0] == 200 else "not-clean"]


@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # needs the kernel's acknowledgement state
def test_response_that_begins_before_the_request_was_delivered_is_rejected(make: Make) -> None:
    """The request was sent completely and may still arrive, so an unsafe one fails."""
    world = make()
    (node,), caller = world.nodes, world.caller()
    node.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    wire = open_idle_connection(world, caller)
    world.ask("unsafe", wire=caller, more="Content-Length: 65000\r\n")
    caller.send(b"x" * 65000)  # fits into the send buffer here, but not into the receive buffer
    wire.buffer = wire.sock.recv(1)
    world.settle()
    (connection,) = world.sidecar.pool.connections
    assert connection.is_flushed
    wire.answer(200, b"first")
    assert caller.read()[0] == "HTTP/1.1 502 Bad Gateway"
    assert world.logged("endpoint-connection") == ["bad-answer"]


def test_connection_past_the_idle_time_out_is_not_reused_before_the_next_sweep(
    make: Make,
) -> None:
    """The endpoint may close it at any moment, and a request would be lost."""
    world = make()
    caller = world.caller()
    wire = open_idle_connection(world, caller)
    world.sidecar.pool.idle_timeout = -1.0
    world.ask("unsafe", wire=caller)
    other = world.nodes[0].accept()
    other.read()
    assert wire.at_end()
    other.answer(200, b"mine")
    assert caller.read()[2] == b"mine"


def test_reuse_delay_is_mandatory_after_a_duplicate_response(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After the next request was sent, a late duplicate can't be distinguished from its response."""
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_SECONDS", 1e9)
    world = make()
    caller = world.caller()
    wire = open_idle_connection(world, caller)
    world.ask(wire=caller)
    wire.read()  # reused at once before any duplicate was seen
    wire.answer(200, b"second")
    assert caller.read()[2] == b"second"
    wire.answer(200, b"second")
    assert world.logged("endpoint-connection") == ["unasked-data"]
    wire = open_idle_connection(world, caller)
    world.ask(wire=caller)
    other = world.nodes[0].accept()
    other.read()
    wire.answer(200, b"first")  # a late duplicate; the request is not on this connection
    assert world.logged("endpoint-connection", 2) == ["unasked-data"] * 2
    other.answer(200, b"mine")
    assert caller.read()[2] == b"mine"
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_SECONDS", 0.0)
    world.ask(wire=caller)
    other.read()  # past the reuse delay
    other.answer(200, b"last")
    assert caller.read()[2] == b"last"


def test_duplicate_received_together_with_the_response_enforces_the_reuse_delay(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_SECONDS", 1e9)
    world = make()
    caller = world.ask()
    wire = world.nodes[0].accept()
    wire.read()
    wire.send(b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\na" * 2)
    assert caller.read()[2] == b"a"
    assert world.logged("endpoint-connection") == ["not-clean"]
    wire = open_idle_connection(world, caller)
    world.ask(wire=caller)
    other = world.nodes[0].accept()
    other.read()
    other.answer(200, b"mine")
    assert caller.read()[2] == b"mine"
    assert world.codes("endpoint-connection") == ["not-clean"]
    wire.close()


@pytest.mark.parametrize("is_past_delay", [True, False])
def test_idle_connection_past_the_reuse_delay_is_preferred(
    make: Make, monkeypatch: pytest.MonkeyPatch, is_past_delay: bool
) -> None:
    """Even if no duplicate was seen. If none is past the delay, the one idle for the longest time is used."""
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_SECONDS", 1e9)
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
    if is_past_delay:
        world.run(lambda: setattr(idle[0], "idle_since", -2e9))
    world.ask("unsafe")
    assert wires[0].read()[0] == "POST /unsafe HTTP/1.1"


@pytest.mark.parametrize("more", [{"lifecycle": "DRAINING", "zone": "a"}, {"zone": "b"}])
def test_connect_to_an_endpoint_that_left_one_of_several_pools_sends_nothing(
    make: Make, tmp_path: Path, more: dict[str, Any]
) -> None:
    """Even if the endpoint continues to serve at the same address in another pool."""
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
