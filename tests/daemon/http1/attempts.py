"""What the tests of the endpoint's side share: attempts at an instant that the test forces."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

from tests.support.world import Peer, Wire, World
from wheatring.common import log
from wheatring.common.http_parser import ForwardedRequest
from wheatring.daemon.core.exchange import Answer, Request

LATE_REQUEST = ForwardedRequest(b"POST /late HTTP/1.1\r\n", b"")


def submit(world: World, name: str = "unsafe", dialling: bool = True) -> tuple[Request, list[Answer]]:
    """Submit a request; to be called in the reactor.

    When it returns, the connect of the first attempt is under way, or its request has been handed to an idle
    connection and none of it has left.
    """
    request = Request("late", name, world.sidecar.clock.now() + 6, LATE_REQUEST)
    answers: list[Answer] = []

    def answered(answer: Answer) -> None:
        answers.append(answer)
        log.line("answered")

    world.sidecar.exchange.submit(request).addCallback(answered)
    (attempt,) = request.attempts
    assert attempt.outcome is None and attempt.is_written is not dialling
    return request, answers


def apply_list(world: World, *items: dict[str, Any], reset: bool = False) -> None:
    """Apply this answer of discovery; to be called in the reactor."""
    world.sidecar.machine_list.apply({"generation": 8, "reset": reset, "instances": list(items)}, None)


def accept_request(peer: Peer) -> tuple[Wire, str]:
    """Return the next connection there that carries a request, and its first line; close unused ones."""
    while True:
        wire = peer.accept()
        with suppress(EOFError, ConnectionResetError):
            return wire, wire.read()[0]


def kept_connection(world: World, caller: Wire) -> Wire:
    """One that has carried a request, and is kept."""
    world.ask(wire=caller)
    wire = world.nodes[0].accept()
    wire.read()
    wire.answer(200, b"first")
    assert caller.read()[2] == b"first"
    return wire
