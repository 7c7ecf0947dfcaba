"""What the stories of ends on the endpoint's side share: attempts at an instant that the story forces."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

from tests.support.world import Peer, Wire, World
from wheatring import log
from wheatring.core.exchange import Answer, Request
from wheatring.http1.parser import ForwardedRequest

LATE = ForwardedRequest(b"POST /late HTTP/1.1\r\n", b"")


def submit(world: World, name: str = "unsafe", dialling: bool = True) -> tuple[Request, list[Answer]]:
    """Called in the reactor. When it returns, the connect of the first attempt is under way, or its request
    has been handed to a kept connection and none of it has left.
    """
    job = Request("late", name, world.sidecar.clock.now() + 6, LATE)
    answers: list[Answer] = []

    def answered(answer: Answer) -> None:
        answers.append(answer)
        log.line("answered")

    world.sidecar.exchange.submit(job).addCallback(answered)
    (claim,) = job.attempts
    assert claim.outcome is None and claim.is_written is not dialling
    return job, answers


def listed(world: World, *items: dict[str, Any], reset: bool = False) -> None:
    """Called in the reactor: discovery has told this."""
    world.sidecar.machine_list.apply({"generation": 8, "reset": reset, "instances": list(items)}, None)


def reads(peer: Peer) -> tuple[Wire, str]:
    """The next connection there that carries a request, and its first line; others are closed unused."""
    while True:
        wire = peer.accept()
        with suppress(EOFError, ConnectionResetError):
            return wire, wire.read()[0]


def kept(world: World, caller: Wire) -> Wire:
    """One that has carried a request, and is kept."""
    world.ask(wire=caller)
    wire = world.nodes[0].accept()
    wire.read()
    wire.answer(200, b"first")
    assert caller.read()[2] == b"first"
    return wire
