"""An endpoint list that has grown old: what the endpoints show, and what the sidecar then asks."""

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
    """Divide the durations of the module by a hundred."""
    with pytest.MonkeyPatch.context() as patch:
        for name in (
            "SUSPECT_NODE_SECONDS",
            "MAX_EMPTY_SECONDS",
            "MIN_ASK_INTERVAL_SECONDS",
            "MAX_ASK_INTERVAL_SECONDS",
            "MIN_SPREAD_SECONDS",
        ):
            patch.setattr(freshness, name, getattr(freshness, name) / 100)
        patch.setattr(endpoint_list, "REPLACED_WATCH_SECONDS", endpoint_list.REPLACED_WATCH_SECONDS / 100)
        yield


def test_endpoints_that_reject_make_it_reopen_the_watch_and_serve_by_its_answer(make: Make) -> None:
    world = make(3)
    old = world.discovery.accept()
    assert old.read()[0].startswith(WATCH)
    for peer in world.nodes:
        peer.refuse()
    assert world.ask().read()[0].split()[1] == "503"
    new = world.discovery.accept()
    assert new.read()[0].startswith(WATCH)  # from the version held, and waiting as long
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


def test_an_ask_that_finds_nobody_leaves_the_old_watch_standing(make: Make) -> None:
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


def test_what_the_watch_says_counts_while_a_further_ask_is_on_its_way(make: Make) -> None:
    """The watch that was laid anew answers when the next ask has begun and is not up yet."""
    world = make(2)
    world.discovery.accept().read()
    for peer in world.nodes:
        peer.refuse()
    world.ask().read()
    watch = world.discovery.accept()
    watch.read()
    lists = world.sidecar.machine_list
    world.sockets.until(lambda: lists.replacement is None)

    def answered_amid() -> None:
        lists.start_replacement(world.sidecar.clock.now())
        lists.client.finish(list_body(8, entry("x", world.nodes[0])))  # type: ignore[attr-defined]

    world.run(answered_amid)
    assert lists.version == 8 and lists.replacement is None


def test_an_empty_list_is_requested_again_in_full(make: Make) -> None:
    world = make(1)
    old = world.discovery.accept()
    old.read()
    old.answer(200, list_body(8, {"instanceId": "n0", "lifecycle": "DELETED"}))
    assert old.read()[0].startswith("GET /v1/servers?index=8&")
    whole = world.discovery.accept()
    assert whole.read()[0] == "GET /v1/servers HTTP/1.1"
    assert old.at_end()
    whole.answer(200, list_body(8, entry("n0", world.nodes[0]), reset=True))
    assert whole.read()[0].startswith("GET /v1/servers?index=8&")
    caller = world.ask()
    node = world.nodes[0].accept()
    node.read()
    node.answer(200, b"there")
    assert caller.read()[2] == b"there"


@pytest.mark.parametrize("ending", ["stalls", "breaks off"])
def test_an_incomplete_list_is_none_and_is_requested_again(
    make: Make, monkeypatch: pytest.MonkeyPatch, ending: str
) -> None:
    if ending == "stalls":
        monkeypatch.setattr(discovery_client, "STALL_SECONDS", 0.0)
        monkeypatch.setattr(freshness, "RENEWAL_SECONDS", 1e9)  # which would come to the same, much later
    world = make(2)
    watch = world.discovery.accept()
    watch.read()
    gone = list_body(8, {"instanceId": "n0", "lifecycle": "DELETED"})
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(gone) + gone
    watch.send(whole[:-2])
    if ending == "breaks off":
        watch.reset()
    again = world.discovery.accept()
    assert again.read()[0].startswith(WATCH)  # from the version that it holds: nothing of the half one counts
    assert sorted(world.run(lambda: list(world.sidecar.pool.addresses))) == ["n0", "n1"]
    again.send(whole)
    assert again.read()[0].startswith("GET /v1/servers?index=8&wait=50000")
    assert world.run(lambda: list(world.sidecar.pool.addresses)) == ["n1"]
