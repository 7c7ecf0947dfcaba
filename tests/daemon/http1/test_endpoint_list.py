"""Each way in which a call to discovery ends, and what the sidecar owes of what it would have told."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from functools import partial
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support import world as worlds
from tests.support.virtual_sockets import VirtualSockets
from tests.support.world import Peer, Wire, World, entry, list_body
from wheatring.common import log
from wheatring.daemon.http1 import discovery_client
from wheatring.daemon.lifecycle.notification_deadline import RETRY_WITHIN_SECONDS

Make = Callable[..., World]
WATCH = "GET /v1/servers?index=7&wait=50000"
FULL_LIST = "GET /v1/servers HTTP/1.1"
DRAINS = {"instanceId": "n0", "hostPort": "127.0.0.1:1", "lifecycle": "DRAINING"}


@pytest.fixture
def change_settings(monkeypatch: pytest.MonkeyPatch) -> Callable[..., None]:
    """Change settings of the worlds that are made from then on."""

    def change(**more: Any) -> None:
        monkeypatch.setattr(worlds, "SETTINGS", {**worlds.SETTINGS, **more})

    return change


@pytest.fixture
def retry_at_once(change_settings: Callable[..., None]) -> None:
    """Who has failed asks again at once: the order is what counts."""
    change_settings(contract={**worlds.SETTINGS["contract"], "must_ask_in": 100_000})


@pytest.fixture
def virtual(monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[..., World]]:
    """Worlds whose seconds pass at once."""
    monkeypatch.setattr(log, "line", log.line)
    made: list[World] = []

    def build(nodes: int = 2, kind: type[World] = World) -> World:
        made.append(kind(VirtualSockets(), nodes))
        return made[-1]

    yield build
    for world in made:
        world.end()


def now(world: World) -> float:
    assert isinstance(world.sockets, VirtualSockets)
    return world.sockets.time.now()


def asked(wire: Wire) -> str:
    return wire.read()[0]


def only(world: World, name: str, requests: int = 6) -> None:
    """Nothing new goes to any other endpoint from now on."""
    peer = world.nodes[int(name[1:])]
    caller = world.ask()
    wire = peer.accept()
    for left in reversed(range(requests)):
        wire.read()
        wire.answer(200, name.encode())
        assert caller.read()[2] == name.encode()
        if left:
            world.ask(wire=caller)


# How a watch ends


def cut(wire: Wire) -> None:
    body = list_body(9, DRAINS, {"instanceId": "n1", "lifecycle": "DELETED"})
    wire.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body[:-2])
    wire.close()


ENDINGS: dict[str, Callable[[Wire], None]] = {
    "reset": Wire.reset,
    "closed": Wire.close,
    "refused": lambda wire: wire.answer(503),
    "refused for a while": lambda wire: wire.answer(503, more="Retry-After: 60\r\n"),
    "refused for good": lambda wire: wire.answer(503, more="Connection: close\r\n"),
    "cut": cut,
    "no JSON": lambda wire: wire.answer(200, b"[{"),
    "deep": lambda wire: wire.answer(200, b"[" * 100_000),
    "no list": lambda wire: wire.answer(200, b'{"generation":9,"instances":{}}'),
    "no version": lambda wire: wire.answer(200, b'{"generation":1e999,"instances":[]}'),
    "no HTTP": lambda wire: wire.send(b"\x00\x01\r\n\r\n"),
}


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.usefixtures("retry_at_once")
def test_a_watch_that_ends_is_opened_again_and_what_it_missed_is_kept(make: Make, ending: str) -> None:
    world = make(2)
    watch = world.discovery.accept()
    assert asked(watch).startswith(WATCH)
    ENDINGS[ending](watch)
    watch = world.discovery.accept()
    assert asked(watch).startswith(WATCH)  # nothing of what was half told counts
    assert sorted(world.run(lambda: list(world.sidecar.pool.addresses))) == ["n0", "n1"]
    watch.answer(200, list_body(9, DRAINS))
    assert asked(watch).startswith("GET /v1/servers?index=9&")
    only(world, "n1")


def test_an_answer_that_trickles_on_a_watch_delays_no_update_for_longer(
    virtual: Make, change_settings: Callable[..., None]
) -> None:
    change_settings(peers_total=200, slot_no=75)  # whose place after a failure is the last
    world = virtual()
    watch = world.discovery.accept()
    asked(watch)
    time: Any = world.sockets.time  # type: ignore[union-attr]
    time.run(now(world) + 10.0)
    began = now(world)
    with suppress(OSError):
        while not world.discovery.listener.socket.queue:
            watch.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" if now(world) == began else b" ")
            time.run(now(world) + 0.5)
    assert asked(world.discovery.accept()).startswith(WATCH)
    assert now(world) - began <= 5.0 + 0.1


@pytest.mark.parametrize("copies", [1, 20, 200])
def test_who_is_refused_asks_again_within_three_seconds(
    virtual: Make, change_settings: Callable[..., None], copies: int
) -> None:
    change_settings(peers_total=copies, slot_no=copies - 1)
    world = virtual()
    watch = world.discovery.accept()
    asked(watch)
    world.sockets.time.run(now(world) + 20.0)  # type: ignore[union-attr]
    for _ in range(12):
        failed = now(world)
        watch.answer(503)
        watch = world.discovery.accept()
        assert asked(watch).startswith(WATCH)
        assert now(world) - failed <= RETRY_WITHIN_SECONDS + 0.1


def test_watches_that_stood_between_failures_are_no_queue(
    virtual: Make, change_settings: Callable[..., None]
) -> None:
    """The calls before fail in a line, the watches are ended when they have stood for long."""
    change_settings(peers_total=200, slot_no=199)
    world = virtual()
    time: Any = world.sockets.time  # type: ignore[union-attr]
    for stands in (1.5, 20.0, 20.0, 1.5, 20.0):
        watch = world.discovery.accept()
        assert asked(watch).startswith(WATCH)
        time.run(now(world) + stands)
        watch.answer(503)
        ended = now(world)
    asked(world.discovery.accept())
    assert now(world) - ended <= RETRY_WITHIN_SECONDS + 0.1


def test_moves_in_a_row_put_no_call_off(virtual: Make, change_settings: Callable[..., None]) -> None:
    change_settings(peers_total=200, slot_no=199)
    world = virtual()
    time: Any = world.sockets.time  # type: ignore[union-attr]
    asked(world.discovery.accept())
    time.run(now(world) + 20.0)
    began, new = now(world), [Peer(world.sockets) for _ in range(12)]
    for peer in new:
        world.run(partial(world.sidecar.machine_list.change_discovery, ("127.0.0.1", peer.port)))
        time.run(now(world) + 0.9)
        if peer.listener.socket.queue:
            break
    assert asked(peer.accept()) == FULL_LIST
    assert now(world) - began <= RETRY_WITHIN_SECONDS + 0.9 + 0.1
    for peer in new:
        peer.close()


def test_a_silent_watch_is_reopened_before_its_updates_count_and_at_once_again_when_nobody_is_there(
    virtual: Make, change_settings: Callable[..., None]
) -> None:
    change_settings(peers_total=200, slot_no=199)
    world = virtual()
    silent = world.discovery.accept()
    asked(silent)
    laid = now(world)
    time: Any = world.sockets.time  # type: ignore[union-attr]
    world.discovery.close()
    time.run(laid + 49.1)
    assert world.codes("discovery-connection") == ["connect-failed"]  # the watch stands
    time.run(laid + 51.4)
    time.run(laid + 49.1 + 30.0)
    failed = world.codes("discovery-connection").count("connect-failed")
    assert failed >= 30.0 / (RETRY_WITHIN_SECONDS + 0.1)


@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # the queues of the lab's listeners don't fill
@pytest.mark.usefixtures("retry_at_once")
def test_a_call_that_hangs_at_the_connect_is_given_up_and_made_again(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A listener whose queue is full. What the old discovery has still to tell counts meanwhile."""
    world = make(2)
    monkeypatch.setattr(discovery_client, "CONNECT_TIMEOUT_SECONDS", 0.2)
    former = world.discovery.accept()
    asked(former)
    full = socket.socket()
    full.bind(("127.0.0.1", 0))
    full.listen(0)
    filler = socket.create_connection(full.getsockname())
    world.run(lambda: world.sidecar.machine_list.change_discovery(full.getsockname()))
    world.logged("list-failed", 2)
    former.answer(200, list_body(9, DRAINS))
    only(world, "n1")
    full.accept()[0].close()
    full.settimeout(worlds.WAIT_LIMIT_SECONDS)
    new = Wire(full.accept()[0])
    assert asked(new) == FULL_LIST
    for each in (new.sock, full, filler):
        each.close()


# Where discovery moves


@pytest.mark.parametrize(("reset", "moves"), [(False, 1), (True, 1), (False, 2)])
def test_an_answer_that_crosses_the_move_counts_and_is_not_taken_for_the_new_ones(
    make: Make, reset: bool, moves: int
) -> None:
    world = make(2)
    watch = world.discovery.accept()
    asked(watch)
    new = Peer(world.sockets)
    held = [entry("n1", world.nodes[1])] if reset else []
    news = list_body(90, DRAINS, *held, reset=reset)

    def crossing() -> None:
        watch.answer(200, news)
        for port in (1, new.port)[-moves:]:
            world.sidecar.machine_list.change_discovery(("127.0.0.1", port))

    world.run(crossing)
    first = new.accept()
    assert asked(first) == FULL_LIST  # no version of the old one
    only(world, "n1")
    first.answer(200, list_body(3, entry("n1", world.nodes[1]), reset=True))
    assert asked(first).startswith("GET /v1/servers?index=3&")
    assert watch.at_end()
    new.close()


def test_what_the_old_discovery_says_after_the_new_one_has_answered_counts_no_more(make: Make) -> None:
    world = make(2)
    watch = world.discovery.accept()
    asked(watch)
    new = Peer(world.sockets)
    world.run(lambda: world.sidecar.machine_list.change_discovery(("127.0.0.1", new.port)))
    first = new.accept()
    assert asked(first) == FULL_LIST

    def crossing() -> None:
        first.answer(200, list_body(3, entry("n1", world.nodes[1]), reset=True))
        watch.answer(200, list_body(90, entry("n0", world.nodes[0])))

    world.run(crossing)
    assert asked(first).startswith("GET /v1/servers?index=3&")
    new.close()


def test_a_full_list_that_crosses_another_move_counts_and_what_is_older_does_not(make: Make) -> None:
    world = make(2)
    watch = world.discovery.accept()
    asked(watch)
    lists = world.sidecar.machine_list
    second, third = Peer(world.sockets), Peer(world.sockets)
    world.run(lambda: lists.change_discovery(("127.0.0.1", second.port)))
    crossing = second.accept()
    assert asked(crossing) == FULL_LIST
    world.run(lambda: lists.change_discovery(("127.0.0.1", third.port)))
    crossing.answer(200, list_body(3, entry("n1", world.nodes[1])))  # whole, though it does not say so
    assert crossing.at_end() and watch.at_end()
    assert world.run(lambda: list(world.sidecar.pool.addresses)) == ["n1"]
    first = third.accept()
    assert asked(first) == FULL_LIST
    first.answer(200, list_body(90, entry("n1", world.nodes[1])))
    assert asked(first).startswith("GET /v1/servers?index=90&")
    only(world, "n1")
    second.close()
    third.close()


@pytest.mark.parametrize("version", [9, 2])
def test_what_the_watch_says_as_another_takes_its_place_counts(virtual: Make, version: int) -> None:
    """Discovery has written it before it hears that the watch is over, and the new one falls silent."""
    world = virtual()
    watch = world.discovery.accept()
    asked(watch)
    world.sockets.time.run(now(world) + 24.0)  # type: ignore[union-attr]
    anew = world.discovery.accept()
    assert asked(anew).startswith(WATCH)
    watch.answer(200, list_body(version, DRAINS))
    assert watch.at_end()
    only(world, "n1")
    anew.answer(200, list_body(11, entry("n0", world.nodes[0])))
    assert asked(anew).startswith("GET /v1/servers?index=11&")  # it was not taken for the whole list
    assert sorted(world.run(lambda: list(world.sidecar.pool.addresses))) == ["n0", "n1"]


def test_a_watch_that_another_has_taken_the_place_of_ends(virtual: Make) -> None:
    world = virtual()
    watch = world.discovery.accept()
    asked(watch)
    world.sockets.time.run(now(world) + 24.0)  # type: ignore[union-attr]
    asked(world.discovery.accept())
    assert watch.at_end()
    assert world.run(lambda: world.sidecar.machine_list.superseded.clients) == []


def test_what_a_watch_says_as_another_sidecar_comes_to_watch_for_all_counts(virtual: Make) -> None:
    world = virtual()
    watch = world.discovery.accept()
    asked(watch)
    world.run(world.sidecar.machine_list.pause)
    watch.answer(200, list_body(9, DRAINS))
    assert watch.at_end()
    only(world, "n1")
    lists = world.sidecar.machine_list
    assert world.run(lambda: (lists.version, lists.is_watching)) == (9, False)


def test_a_watch_that_another_replaces_between_two_of_its_calls_is_closed(virtual: Make) -> None:
    world = virtual()
    watch = world.discovery.accept()
    asked(watch)
    watch.answer(200, list_body(8))
    time: Any = world.sockets.time  # type: ignore[union-attr]
    lists = world.sidecar.machine_list
    while lists.version == 7:
        time.run(now(world) + 0.001)
    assert lists.client.on_answer is None  # the next call is still to be made
    world.run(lambda: lists.start_replacement(world.sidecar.clock.now()))
    anew = world.discovery.accept()
    assert asked(anew).startswith("GET /v1/servers?index=8&")
    assert watch.at_end()
    anew.answer(200, list_body(9, DRAINS))
    assert asked(anew).startswith("GET /v1/servers?index=9&")


def test_a_full_list_that_was_requested_of_the_old_discovery_is_not_the_new_ones(make: Make) -> None:
    world = make(2)
    asked(world.discovery.accept())
    world.run(world.sidecar.machine_list.fetch)
    fetch = world.discovery.accept()
    assert asked(fetch) == FULL_LIST
    new = Peer(world.sockets)

    def crossing() -> None:
        fetch.answer(200, list_body(90, reset=True))
        world.sidecar.machine_list.change_discovery(("127.0.0.1", new.port))

    world.run(crossing)
    first = new.accept()
    assert asked(first) == FULL_LIST
    assert fetch.at_end()
    assert world.run(lambda: world.sidecar.machine_list.version) is None
    assert sorted(world.run(lambda: list(world.sidecar.pool.addresses))) == ["n0", "n1"]
    new.close()


def test_bytes_that_answer_no_call_are_not_the_head_of_the_next_answer(virtual: Make) -> None:
    world = virtual()
    watch = world.discovery.accept()
    asked(watch)
    watch.answer(200, list_body(8))
    world.sockets.time.run(now(world) + 0.001)  # type: ignore[union-attr]
    watch.send(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{")
    ended = now(world)
    watch = world.discovery.accept()
    assert asked(watch).startswith("GET /v1/servers?index=8&")
    assert now(world) - ended < 0.1


# What a list says


@pytest.mark.parametrize("form", ["indented", "in pieces", "after a 103"])
def test_a_list_in_another_form_is_the_same(make: Make, form: str) -> None:
    world = make(2)
    watch = world.discovery.accept()
    asked(watch)
    body = json.dumps({"generation": 9, "reset": False, "instances": [DRAINS]}, indent=4).encode()
    if form != "in pieces":
        if form == "after a 103":
            watch.send(b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
            world.settle()
        watch.answer(200, body)
    else:
        half = len(body) // 2
        watch.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for part in (body[:half], body[half:], b""):
            watch.send(b"%x\r\n%s\r\n" % (len(part), part))
            world.settle()
    assert asked(watch).startswith("GET /v1/servers?index=9&")
    only(world, "n1")


def test_a_version_that_starts_anew_with_the_full_list_goes_on_from_there(make: Make) -> None:
    world = make(2)
    watch = world.discovery.accept()
    asked(watch)
    watch.answer(200, list_body(1, entry("n1", world.nodes[1]), reset=True))
    assert asked(watch).startswith("GET /v1/servers?index=1&")
    only(world, "n1")


def test_changes_that_do_not_fit_count_and_the_full_list_is_requested(make: Make) -> None:
    """Discovery has begun anew, and tells of what came since: of that, not of what went before."""
    world = make(3)
    watch = world.discovery.accept()
    asked(watch)
    watch.answer(200, list_body(2, DRAINS))
    assert asked(watch) == FULL_LIST
    assert "list-failed" not in [event for event, _ in world.lines]
    assert world.run(lambda: world.sidecar.serving.freshness.serving) == {"n1", "n2"}
    watch.answer(200, list_body(2, entry("n1", world.nodes[1])))  # whole, though it does not say so
    assert asked(watch).startswith("GET /v1/servers?index=2&")
    only(world, "n1")


@pytest.mark.parametrize(
    "more",
    [{}, {"hostPort": None}, {"hostPort": "n0:x"}, {"startedAtMs": None}, {"weight": "1"}, {"cell": 1e400}],
)
@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_that_an_endpoint_takes_nothing_new_counts_whatever_else_its_line_says(
    virtual: Make, state: str, more: dict[str, object]
) -> None:
    world = virtual()
    watch = world.discovery.accept()
    asked(watch)
    watch.answer(200, list_body(9, {"instanceId": "n0", "lifecycle": state, **more}))
    assert asked(watch).startswith("GET /v1/servers?index=9&")
    only(world, "n1")


@pytest.mark.parametrize("together", [True, False])
def test_one_that_drained_and_started_again_is_sent_to_where_it_is_now(make: Make, together: bool) -> None:
    world = make(1)
    watch = world.discovery.accept()
    asked(watch)
    world.nodes.append(Peer(world.sockets))
    warm = round(world.sockets.unix() * 1000) - 100_000
    again = entry("n0", world.nodes[1], startedAtMs=warm)
    if together:
        watch.answer(200, list_body(9, DRAINS, again))
    else:
        watch.answer(200, list_body(8, DRAINS))
        assert asked(watch).startswith("GET /v1/servers?index=8&")
        assert world.ask().read()[0].startswith("HTTP/1.1 503")
        watch.answer(200, list_body(9, again))
    assert asked(watch).startswith("GET /v1/servers?index=9&")
    only(world, "n1", requests=2)


# Where it starts


class Unlisted(World):
    def known(self) -> list[dict[str, Any]]:
        return []


def test_who_starts_with_no_list_and_no_discovery_asks_on_until_it_is_there(virtual: Make) -> None:
    world = virtual(kind=Unlisted)
    for _ in range(10):
        first = world.discovery.accept()
        assert asked(first) == FULL_LIST
        assert world.ask().read()[0].startswith("HTTP/1.1 503")
        first.reset()
    first = world.discovery.accept()
    asked(first)
    first.answer(200, list_body(9, entry("n1", world.nodes[1]), reset=True))
    assert asked(first).startswith("GET /v1/servers?index=9&")
    only(world, "n1")


@pytest.mark.parametrize("copies", [1, 200])
def test_an_old_list_is_asked_about_in_time(
    virtual: Make, change_settings: Callable[..., None], copies: int
) -> None:
    change_settings(peers_total=copies, slot_no=copies - 1)
    world = virtual()
    began = now(world)
    assert asked(world.discovery.accept()).startswith(WATCH)
    assert now(world) - began <= 8.0 + 0.1


def test_where_lists_are_pushed_the_watch_is_there_from_the_first_moment_and_always(
    virtual: Make, change_settings: Callable[..., None]
) -> None:
    change_settings(discovery="pushed", peers_total=200, slot_no=199)
    world = virtual()
    began = now(world)
    watch = world.discovery.accept()
    assert asked(watch).startswith(WATCH)
    assert now(world) - began < 0.1
    for _ in range(6):
        failed = now(world)
        watch.answer(503)
        watch = world.discovery.accept()
        assert asked(watch).startswith(WATCH)
        assert now(world) - failed < 0.3
    new = Peer(world.sockets)
    began = now(world)
    world.run(lambda: world.sidecar.machine_list.change_discovery(("127.0.0.1", new.port)))
    assert asked(new.accept()) == FULL_LIST
    assert now(world) - began < 0.3
    watch.answer(200, list_body(9, DRAINS))
    only(world, "n1")


# Faults of our own


def broken(*_: object) -> None:
    raise ZeroDivisionError


@pytest.mark.parametrize("part", ["on_view", "should_continue"])
@pytest.mark.parametrize("ending", ["list", "refused", "reset"])
@pytest.mark.usefixtures("retry_at_once")
def test_what_breaks_at_the_end_of_a_call_leaves_no_sidecar_without_a_watch(
    make: Make, part: str, ending: str
) -> None:
    world = make(2)
    watch = world.discovery.accept()
    asked(watch)
    lists = world.sidecar.machine_list
    whole = getattr(lists, part)
    world.run(lambda: setattr(lists, part, broken))
    if ending == "list":
        watch.answer(200, list_body(9, DRAINS))
    elif ending == "refused":
        watch.answer(503)
    else:
        watch.reset()
    if part == "on_view" or ending == "list":
        world.logged("list-broken")
    world.run(lambda: setattr(lists, part, whole))
    watch = world.discovery.accept()
    first = asked(watch)
    if part == "on_view" or ending == "list":
        assert first == FULL_LIST  # what was told may have come to nobody
        watch.answer(200, list_body(9, entry("n1", world.nodes[1]), reset=True))
        assert asked(watch).startswith("GET /v1/servers?index=9&")
        only(world, "n1")


@pytest.mark.parametrize("copies", [1, 200])
def test_who_is_moved_asks_in_time_and_waits_for_no_call_that_was_swallowed(
    virtual: Make, change_settings: Callable[..., None], copies: int
) -> None:
    """The new discovery takes the first calls and never answers; it does not even see them given up."""
    change_settings(peers_total=copies, slot_no=copies - 1)
    world = virtual()
    asked(world.discovery.accept())
    new = Peer(world.sockets)
    before = now(world)
    world.run(lambda: world.sidecar.machine_list.change_discovery(("127.0.0.1", new.port)))
    for patience in (0.0, 2.0, 4.0, 4.75, 4.75)[: 5 if copies == 1 else 3]:  # many give way by then
        first = new.accept()
        assert asked(first) == FULL_LIST
        assert (
            now(world) - before
            <= (min(patience + RETRY_WITHIN_SECONDS, 5.0) if copies == 1 else 5.0 + RETRY_WITHIN_SECONDS)
            + 0.1
        )
        before = now(world)
    first.answer(200, list_body(3, entry("n1", world.nodes[1]), reset=True))
    assert asked(first).startswith("GET /v1/servers?index=3&")
    only(world, "n1")
    new.close()


def test_an_answer_that_trickles_holds_the_next_call_up_no_longer_than_none(virtual: Make) -> None:
    world = virtual()
    asked(world.discovery.accept())
    new = Peer(world.sockets)
    world.run(lambda: world.sidecar.machine_list.change_discovery(("127.0.0.1", new.port)))
    first = new.accept()
    assert asked(first) == FULL_LIST
    began = now(world)
    first.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
    with suppress(OSError):
        while not new.listener.socket.queue:
            world.sockets.time.run(now(world) + 0.5)  # type: ignore[union-attr]
            first.send(b" ")
    second = new.accept()
    assert asked(second) == FULL_LIST
    assert now(world) - began <= 5.0 + 0.1
    second.answer(200, list_body(3, entry("n1", world.nodes[1]), reset=True))
    assert asked(second).startswith("GET /v1/servers?index=3&")
    only(world, "n1")
    new.close()


@settings(max_examples=15)
@given(st.lists(st.sampled_from([*ENDINGS, "news", "move", "broken"]), min_size=4, max_size=10))
def test_a_call_is_out_or_due_after_any_row_of_endings(row: list[str]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(log, "line", log.line)
        world = World(VirtualSockets(), 2)
        lists, discovery = world.sidecar.machine_list, world.discovery
        watch = discovery.accept()
        asked(watch)
        peers = [discovery]
        for number, ending in enumerate(row):
            ended = now(world)
            if ending == "news":
                watch.answer(200, list_body(90 - number, entry("n1", world.nodes[1])))
            elif ending == "move":
                peers.append(Peer(world.sockets))
                world.run(partial(lists.change_discovery, ("127.0.0.1", peers[-1].port)))
            elif ending == "broken":
                world.run(partial(setattr, lists, "on_view", broken))
                watch.answer(200, list_body(90 - number))
                world.logged("list-broken", row[: number + 1].count("broken"))
                world.run(partial(setattr, lists, "on_view", world.sidecar.driver.feed))
            else:
                ENDINGS[ending](watch)
            if ending != "news":
                watch = peers[-1].accept()
            asked(watch)
            assert now(world) - ended <= RETRY_WITHIN_SECONDS + 0.1
        for peer in peers[1:]:
            peer.close()
        world.end()
