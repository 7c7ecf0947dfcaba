"""Helpers for tests of endpoint connections: attempts that are started at a controlled point in time."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

from tests.support.world import Peer, Wire, World
from wheatring.common import log
from wheatring.common.http_parser import ForwardedRequest
from wheatring.daemon.core.exchange import Answer, Request

LATE_REQUEST = ForwardedRequest(b"POST /late HTTP/1.1\r\n", b"")


def submit(world: World, name: str = "unsafe", is_connecting: bool = True) -> tuple[Request, list[Answer]]:
    """Submit a request; must be called in the reactor.

    On return, the connect of the first attempt is pending. With `is_connecting=False`, its request has been
    passed to an idle connection instead, and no byte of it has been sent.
    """
    request = Request("late", name, world.sidecar.clock.now() + 6, LATE_REQUEST)
    answers: list[Answer] = []

    def on_answer(answer: Answer) -> None:
        answers.append(answer)
        log.line("answered")

    world.sidecar.exchange.submit(request).addCallback(on_answer)
    (attempt,) = request.attempts
    assert attempt.outcome is None and attempt.is_written is not is_connecting
    return request, answers


def apply_list(world: World, *items: dict[str, Any], reset: bool = False) -> None:
    """Apply a response of discovery; must be called in the reactor."""
    world.sidecar.endpoint_list.apply({"generation": 8, "reset": reset, "instances": list(items)}, None)


def accept_request(peer: Peer) -> tuple[Wire, str]:
    """Return the next connection that carries a request, and its request line; skip unused ones."""
    while True:
        wire = peer.accept()
        with suppress(EOFError, ConnectionResetError):
            return wire, wire.read()[0]


def open_idle_connection(world: World, caller: Wire) -> Wire:
    """Return an idle connection to the first endpoint, which has carried one request."""
    world.ask(wire=caller)
    wire = world.nodes[0].accept()
    wire.read()
    wire.answer(200, b"first")
    assert caller.read()[2] == b"first"
    return wire
