"""Stale endpoint lists: how a sidecar detects them and requests a new one."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest

from tests.support.world import Peer, World, entry, list_body
from wheatring.daemon.http1 import discovery_client, endpoint_list
from wheatring.daemon.lifecycle import freshness

Make = Callable[..., World]
WATCH = "GET /v1/servers?index=7&wait=50000"


@pytest.fixture(autouse=True)
def shortened_durations() -> Iterator[None]:
    """Divide the time constants by 100."""
    with pytest.MonkeyPatch.context() as patch:
        for name in (
            "SUSPECT_ENDPOINT_SECONDS",
            "MAX_EMPTY_SECONDS",
            "MIN_ASK_INTERVAL_SECONDS",
            "MAX_ASK_INTERVAL_SECONDS",
            "MIN_SPREAD_SECONDS",
        ):
            patch.setattr(freshness, name, getattr(freshness, name) / 100)
        patch.setattr(endpoint_list, "REPLACED_WATCH_SECONDS", endpoint_list.REPLACED_WATCH_SECONDS / 100)
        yield


def test_refused_connects_start_a_replacement_watch_whose_list_is_applied(make: Make) -> None:
    world = make(3)
    old = world.discovery.accept()
    assert old.read()[0].startswith(WATCH)
    for peer in world.nodes:
        peer.refuse()
    assert world.ask().read()[0].split()[1] == "503"
    new = world.discovery.accept()
    assert new.read()[0].startswith(WATCH)  # from the current version, with the same long-poll time
    assert old.at_end()
    node = Peer(world.sockets)
    gone = [{"instanceId": f"n{n}", "lifecycle": "DELETED"} for n in range(3)]
    new.answer(200, list_body(8, *gone, entry("x", node)))
    assert new.read()[0].startswith("GET /v1/servers?index=8&wait=50000")
    caller = world.ask()
    wire = node.accept()
    wire.read()
    wire.answer(200, b"new")
    assert caller.read()[2] == b"new"
    assert "list-suspect" in [event for event, _ in world.lines]
    assert "list-failed" not in [event for event, _ in world.lines]
    node.close()


def test_failed_replacement_keeps_the_current_watch(make: Make) -> None:
    world = make(2)
    watch = world.discovery.accept()
    watch.read()
    world.discovery.close()
    for peer in world.nodes:
        peer.refuse()
    world.ask().read()
    world.logged("discovery-connection", 2)
    assert set(world.codes("discovery-connection")) == {"connect-failed"}
    node = Peer(world.sockets)
    watch.answer(200, list_body(8, entry("x", node), reset=True))
    assert watch.read()[0].startswith("GET /v1/servers?index=8&")
    caller = world.ask()
    wire = node.accept()
    wire.read()
    wire.answer(200, b"ok")
    assert caller.read()[2] == b"ok"
    assert "list-failed" not in [event for event, _ in world.lines]
    node.close()


def test_response_on_the_watch_is_applied_while_a_replacement_is_connecting(make: Make) -> None:
    """The response arrives after the next replacement was started, and before it is connected."""
    world = make(2)
    world.discovery.accept().read()
    for peer in world.nodes:
        peer.refuse()
    world.ask().read()
    watch = world.discovery.accept()
    watch.read()
    lists = world.sidecar.endpoint_list
    world.sockets.until(lambda: lists.replacement is None)

    def respond_during_connect() -> None:
        lists.start_replacement(world.sidecar.clock.now())
        lists.client.finish(list_body(8, entry("x", world.nodes[0])))  # type: ignore[attr-defined]

    world.run(respond_during_connect)
    assert lists.version == 8 and lists.replacement is None


def test_full_list_is_requested_if_the_list_is_empty(make: Make) -> None:
    world = make(1)
    old = world.discovery.accept()
    old.read()
    old.answer(200, list_body(8, {"instanceId": "n0", "lifecycle": "DELETED"}))
    assert old.read()[0].startswith("GET /v1/servers?index=8&")
    replacement = world.discovery.accept()
    assert replacement.read()[0] == "GET /v1/servers HTTP/1.1"
    assert old.at_end()
    replacement.answer(200, list_body(8, entry("n0", world.nodes[0]), reset=True))
    assert replacement.read()[0].startswith("GET /v1/servers?index=8&")
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.answer(200, b"there")
    assert caller.read()[2] == b"there"


@pytest.mark.parametrize("ending", ["stall", "reset"])
def test_incomplete_list_is_discarded_and_requested_again(
    make: Make, monkeypatch: pytest.MonkeyPatch, ending: str
) -> None:
    if ending == "stall":
        monkeypatch.setattr(discovery_client, "STALL_SECONDS", 0.0)
        monkeypatch.setattr(freshness, "RENEWAL_SECONDS", 1e9)  # would have the same effect, but much later
    world = make(2)
    watch = world.discovery.accept()
    watch.read()
    gone = list_body(8, {"instanceId": "n0", "lifecycle": "DELETED"})
    full_response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(gone) + gone
    watch.send(full_response[:-2])
    if ending == "reset":
        watch.reset()
    again = world.discovery.accept()
    assert again.read()[0].startswith(WATCH)  # from the current version: the incomplete list is not applied
    assert sorted(world.run(lambda: list(world.sidecar.pool.addresses))) == ["n0", "n1"]
    again.send(full_response)
    assert again.read()[0].startswith("GET /v1/servers?index=8&wait=50000")
    assert world.run(lambda: list(world.sidecar.pool.addresses)) == ["n1"]
