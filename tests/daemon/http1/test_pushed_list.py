"""Pushed endpoint lists: over HTTP they also use a watch, which must be open at all times.

With this kind of discovery, a sidecar counts as notified as soon as its agent has a change.
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
    del contract["must_ask_in"]  # documented only for discovery on request
    monkeypatch.setitem(SETTINGS, "contract", contract)


def drained(world: World, name: str) -> bytes:
    peer = world.nodes[int(name[1:])]
    return list_body(8, entry(name, peer, lifecycle="DRAINING"))


def test_watch_is_opened_at_the_start_and_its_response_is_applied(make: Make) -> None:
    world = make(2)
    watch = world.discovery.accept()
    assert watch.read()[0].startswith("GET /v1/servers?index=7&")
    watch.answer(200, drained(world, "n0"))
    assert watch.read()[0].startswith("GET /v1/servers?index=8&")
    caller = world.ask()
    node = world.nodes[1].accept()
    for n in range(4):  # with two endpoints, some would most likely be sent to n0
        caller = world.ask() if n else caller
        node.read()
        node.answer(200, b"n1")
        assert caller.read()[2] == b"n1"


@pytest.mark.parametrize("failures", [1, 6])
def test_failed_watch_is_reopened_within_the_shortest_grace_period(make: Make, failures: int) -> None:
    """The delay must not grow with repeated failures, since changes count as notified at once."""
    world = make(1)
    for _ in range(failures):
        wire = world.discovery.accept()
        wire.read()
        failed_at = world.run(world.sidecar.clock.now)
        wire.answer(503)
    wire = world.discovery.accept()
    wire.read()
    if hasattr(world.sockets, "net"):  # virtual time, in which delays are exact
        assert world.run(world.sidecar.clock.now) - failed_at < 0.45
