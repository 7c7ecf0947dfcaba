"""An outage of discovery may last: however many calls have failed in a row, the next one is made."""

from __future__ import annotations

from random import Random

import pytest

from tests.support.virtual_sockets import VirtualSockets
from tests.support.world import World, entry, list_body
from wheatring.common import log
from wheatring.daemon.lifecycle.freshness import MAX_ASK_INTERVAL_SECONDS, Freshness

FAILED = 1100  # more than the doublings that a float takes


def test_after_any_number_of_failed_calls_it_still_asks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log, "line", log.line)  # the world sets its own
    world = World(VirtualSockets())
    for _ in range(FAILED):
        world.discovery.accept().reset()
    call = world.discovery.accept()
    assert call.read()[0].startswith("GET /v1/servers?index=7&")
    call.answer(200, list_body(9, entry("n0", world.nodes[0]), reset=True))
    assert call.read()[0].startswith("GET /v1/servers?index=9&")
    assert {event for event, _ in world.lines} <= {"listening", "list-failed", "discovery-connection"}
    world.end()


def test_after_any_number_of_asks_in_vain_a_suspect_list_is_still_asked_for() -> None:
    fresh, now = Freshness(1, 0, Random(1), 0.0), 0.0
    for _ in range(FAILED):  # it names nobody to send to, and no answer brings news
        fresh.watch_started(now)
        due = fresh.next_ask_at(now)
        assert now < due <= now + 2 * MAX_ASK_INTERVAL_SECONDS
        now = due
        fresh.ask_sent(now)
