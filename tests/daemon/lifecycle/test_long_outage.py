"""After any number of consecutive failed calls to discovery, the next one is still made."""

from __future__ import annotations

from random import Random

import pytest

from tests.support.virtual_sockets import VirtualSockets
from tests.support.world import World, entry, list_body
from wheatring.common import log
from wheatring.daemon.lifecycle.freshness import MAX_ASK_INTERVAL_SECONDS, Freshness

FAILED_CALLS = 1100  # doubling a float this often overflows


def test_a_sidecar_still_calls_discovery_after_many_failed_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log, "line", log.line)  # restores it after the test, as World replaces it
    world = World(VirtualSockets())
    for _ in range(FAILED_CALLS):
        world.discovery.accept().reset()
    call = world.discovery.accept()
    assert call.read()[0].startswith("GET /v1/servers?index=7&")
    call.answer(200, list_body(9, entry("n0", world.nodes[0]), reset=True))
    assert call.read()[0].startswith("GET /v1/servers?index=9&")
    assert {event for event, _ in world.lines} <= {"listening", "list-failed", "discovery-connection"}
    world.end()


def test_a_suspect_list_is_still_requested_after_many_asks_without_a_change() -> None:
    freshness, now = Freshness(1, 0, Random(1), 0.0), 0.0
    for _ in range(FAILED_CALLS):  # the list is empty, and no request brings a change
        freshness.watch_started(now)
        due = freshness.next_ask_at(now)
        assert now < due <= now + 2 * MAX_ASK_INTERVAL_SECONDS
        now = due
        freshness.ask_sent(now)
