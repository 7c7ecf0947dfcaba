"""Lists that are pushed: over HTTP they too come on a watch, which has to be opened.

What the agent has counts as notified at once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.support.world import SETTINGS, World, entry, list_body

Make = Callable[..., World]


@pytest.fixture(autouse=True)
def pushed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(SETTINGS, "discovery", "pushed")
    contract: dict[str, Any] = dict(SETTINGS["contract"])
    del contract["must_ask_in"]  # the pages give it only where discovery is asked
    monkeypatch.setitem(SETTINGS, "contract", contract)


def drained(world: World, name: str) -> bytes:
    peer = world.nodes[int(name[1:])]
    return list_body(8, entry(name, peer, lifecycle="DRAINING"))


def test_a_watch_is_opened_at_the_start_and_its_answer_is_applied(make: Make) -> None:
    world = make(2)
    watch = world.discovery.accept()
    assert watch.read()[0].startswith("GET /v1/servers?index=7&")
    watch.answer(200, drained(world, "n0"))
    assert watch.read()[0].startswith("GET /v1/servers?index=8&")
    caller = world.ask()
    node = world.nodes[1].accept()
    for n in range(4):  # draws of two would come to the other one in most of these
        caller = world.ask() if n else caller
        node.read()
        node.answer(200, b"n1")
        assert caller.read()[2] == b"n1"


@pytest.mark.parametrize("failures", [1, 6])
def test_a_watch_that_fails_is_opened_anew_well_within_the_shortest_grace(make: Make, failures: int) -> None:
    """Six failures in a row: no wait may grow, since what the agent has at its return counts at once."""
    world = make(1)
    for _ in range(failures):
        wire = world.discovery.accept()
        wire.read()
        at = world.run(world.sidecar.clock.now)
        wire.answer(503)
    wire = world.discovery.accept()
    wire.read()
    if hasattr(world.sockets, "net"):  # in virtual time, where a wait is as long as it is asked for
        assert world.run(world.sidecar.clock.now) - at < 0.45
