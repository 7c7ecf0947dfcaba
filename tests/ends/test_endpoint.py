"""Ends on the endpoint's side: connects that come up late, answers to nothing, and faults amid an end."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest

from lapisway.interface import Outcome
from tests.world import Peer, Wire, World, entry
from wheatring import log
from wheatring.core.exchange import Answer, Final, Job
from wheatring.http1.parser import Request

Make = Callable[..., World]
LATE = Request(b"POST /late HTTP/1.1\r\n", b"")


def submit(world: World, name: str = "unsafe") -> tuple[Job, list[Answer]]:
    """Called in the reactor: when it returns, the connect of the first attempt is under way."""
    job = Job("late", name, world.sidecar.clock.now() + 6, LATE)
    answers: list[Answer] = []

    def answered(answer: Answer) -> None:
        answers.append(answer)
        log.line("answered")

    world.sidecar.exchange.submit(job).addCallback(answered)
    (claim,) = job.claims
    assert claim.outcome is None and not claim.written
    return job, answers


def listed(world: World, *items: dict[str, Any], reset: bool = False) -> None:
    """Called in the reactor: discovery has told this."""
    world.sidecar.machine_list.take({"generation": 8, "reset": reset, "instances": list(items)}, None)


def reads(peer: Peer) -> tuple[Wire, str]:
    """The next connection there that carries a request, and its first line; others are closed unused."""
    while True:
        wire = peer.accept()
        with suppress(EOFError, ConnectionResetError):
            return wire, wire.read()[0]


@pytest.mark.parametrize("how", ["draining", "deleted", "left out", "moved", "its address another's"])
def test_a_connect_that_comes_up_after_its_endpoint_was_told_away_carries_nothing(
    make: Make, how: str
) -> None:
    """The first byte counts, not the choice: at once it goes to one that is there by then."""
    world = make()
    (old,), spare = world.nodes, Peer(world.ground)
    now_at = old if how == "its address another's" else spare

    def told_amid() -> list[Answer]:
        job, answers = submit(world)
        if how == "draining":
            listed(world, entry("n0", old, lifecycle="DRAINING"), entry("x", spare))
        elif how == "left out":
            listed(world, entry("x", spare), reset=True)
        elif how == "moved":
            listed(world, entry("n0", spare, startedAtMs=1))  # as one that was restarted
        else:
            listed(world, {"instanceId": "n0", "lifecycle": "DELETED"}, entry("x", now_at))
        sent = [(claim.node, claim.outcome) for claim in job.claims]
        assert sent == [("n0", Outcome.CONNECT_FAILED), ("n0" if how == "moved" else "x", None)]
        return answers

    answers = world.run(told_amid)
    wire, first = reads(now_at)
    assert first == "POST /late HTTP/1.1"
    wire.answer(200, b"there")
    world.logged("answered")
    assert answers[0].final is Final.SERVED
    assert {c.place.address for c in world.sidecar.pool.connections} == {f"127.0.0.1:{now_at.port}"}
    spare.close()


def test_a_connection_in_use_when_its_endpoint_was_told_to_drain_is_not_kept_for_it(make: Make) -> None:
    world = make()
    caller = world.ask()
    wire = world.nodes[0].accept()
    wire.read()
    world.run(lambda: listed(world, entry("n0", world.nodes[0], lifecycle="DRAINING")))
    wire.answer(200, b"the last")
    assert caller.read()[2] == b"the last"
    assert wire.at_end()
    assert world.logged("claim-connection") == ["node-gone"]
