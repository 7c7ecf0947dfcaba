"""Calls to discovery: each way in which they end, and the time within which the next one must follow."""

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
    """Return a function that changes the settings of worlds created afterwards."""

    def change(**more: Any) -> None:
        monkeypatch.setattr(worlds, "SETTINGS", {**worlds.SETTINGS, **more})

    return change


@pytest.fixture
def retry_at_once(change_settings: Callable[..., None]) -> None:
    """Make failed calls be retried at once, for tests that check only their order."""
    change_settings(contract={**worlds.SETTINGS["contract"], "must_ask_in": 100_000})


@pytest.fixture
def virtual(monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[..., World]]:
    """Return a function that creates worlds in virtual time."""
    monkeypatch.setattr(log, "line", log.line)
    made: list[World] = []

    def build(nodes: int = 2, world_type: type[World] = World) -> World:
        made.append(world_type(VirtualSockets(), nodes))
        return made[-1]

    yield build
    for world in made:
        world.end()


def now(world: World) -> float:
    assert isinstance(world.sockets, VirtualSockets)
    return world.sockets.time.now()


def read_request_line(wire: Wire) -> str:
    return wire.read()[0]


def check_only_endpoint(world: World, name: str, requests: int = 6) -> None:
    """Check that new requests are sent to no other endpoint."""
    peer = world.nodes[int(name[1:])]
    caller = world.ask()
    wire = peer.accept()
    for remaining in reversed(range(requests)):
        wire.read()
        wire.answer(200, name.encode())
        assert caller.read()[2] == name.encode()
        if remaining:
            world.ask(wire=caller)


# Ends of a watch


def send_truncated(wire: Wire) -> None:
    body = list_body(9, DRAINS, {"instanceId": "n1", "lifecycle": "DELETED"})
    wire.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body[:-2])
    wire.close()


ENDINGS: dict[str, Callable[[Wire], None]] = {
    "reset": Wire.reset,
    "closed": Wire.close,
    "refused": lambda wire: wire.answer(503),
    "refused with Retry-After": lambda wire: wire.answer(503, more="Retry-After: 60\r\n"),
    "refused and closed": lambda wire: wire.answer(503, more="Connection: close\r\n"),
    "truncated": send_truncated,
    "invalid JSON": lambda wire: wire.answer(200, b"[{"),
    "deeply nested JSON": lambda wire: wire.answer(200, b"[" * 100_000),
    "invalid list": lambda wire: wire.answer(200, b'{"generation":9,"instances":{}}'),
    "invalid version": lambda wire: wire.answer(200, b'{"generation":1e999,"instances":[]}'),
    "invalid HTTP": lambda wire: wire.send(b"\x00\x01\r\n\r\n"),
}


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.usefixtures("retry_at_once")
def test_watch_is_reopened_from_the_current_version_after_any_failure(make: Make, ending: str) -> None:
    world = make(2)
    watch = world.discovery.accept()
    assert read_request_line(watch).startswith(WATCH)
    ENDINGS[ending](watch)
    watch = world.discovery.accept()
    assert read_request_line(watch).startswith(WATCH)  # a partial or invalid response is not applied
    assert sorted(world.run(lambda: list(world.sidecar.pool.addresses))) == ["n0", "n1"]
    watch.answer(200, list_body(9, DRAINS))
    assert read_request_line(watch).startswith("GET /v1/servers?index=9&")
    check_only_endpoint(world, "n1")


def test_slow_response_on_a_watch_does_not_extend_the_notification_deadline(
    virtual: Make, change_settings: Callable[..., None]
) -> None:
    change_settings(peers_total=200, slot_no=75)  # the last sidecar in the retry order
    world = virtual()
    watch = world.discovery.accept()
    read_request_line(watch)
    time: Any = world.sockets.time  # type: ignore[union-attr]
    time.run(now(world) + 10.0)
    began = now(world)
    with suppress(OSError):
        while not world.discovery.listener.socket.queue:
            watch.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" if now(world) == began else b" ")
            time.run(now(world) + 0.5)
    assert read_request_line(world.discovery.accept()).startswith(WATCH)
    assert now(world) - began <= 5.0 + 0.1


@pytest.mark.parametrize("sidecars", [1, 20, 200])
def test_refused_call_is_repeated_within_the_retry_limit(
    virtual: Make, change_settings: Callable[..., None], sidecars: int
) -> None:
    change_settings(peers_total=sidecars, slot_no=sidecars - 1)
    world = virtual()
    watch = world.discovery.accept()
    read_request_line(watch)
    world.sockets.time.run(now(world) + 20.0)  # type: ignore[union-attr]
    for _ in range(12):
        failed = now(world)
        watch.answer(503)
        watch = world.discovery.accept()
        assert read_request_line(watch).startswith(WATCH)
        assert now(world) - failed <= RETRY_WITHIN_SECONDS + 0.1


def test_failures_of_long_running_watches_do_not_increase_the_retry_delay(
    virtual: Make, change_settings: Callable[..., None]
) -> None:
    """The end of a watch after a long time must not count as a call that failed in a queue."""
    change_settings(peers_total=200, slot_no=199)
    world = virtual()
    time: Any = world.sockets.time  # type: ignore[union-attr]
    for duration in (1.5, 20.0, 20.0, 1.5, 20.0):
        watch = world.discovery.accept()
        assert read_request_line(watch).startswith(WATCH)
        time.run(now(world) + duration)
        watch.answer(503)
        ended = now(world)
    read_request_line(world.discovery.accept())
    assert now(world) - ended <= RETRY_WITHIN_SECONDS + 0.1


def test_repeated_moves_of_discovery_do_not_postpone_the_next_call(
    virtual: Make, change_settings: Callable[..., None]
) -> None:
    change_settings(peers_total=200, slot_no=199)
    world = virtual()
    time: Any = world.sockets.time  # type: ignore[union-attr]
    read_request_line(world.discovery.accept())
    time.run(now(world) + 20.0)
    began, new = now(world), [Peer(world.sockets) for _ in range(12)]
    for peer in new:
        world.run(partial(world.sidecar.endpoint_list.change_discovery, ("127.0.0.1", peer.port)))
        time.run(now(world) + 0.9)
        if peer.listener.socket.queue:
            break
    assert read_request_line(peer.accept()) == FULL_LIST
    assert now(world) - began <= RETRY_WITHIN_SECONDS + 0.9 + 0.1
    for peer in new:
        peer.close()


def test_silent_watch_is_replaced_before_its_deadline_and_failed_connects_are_retried_quickly(
    virtual: Make, change_settings: Callable[..., None]
) -> None:
    change_settings(peers_total=200, slot_no=199)
    world = virtual()
    silent = world.discovery.accept()
    read_request_line(silent)
    opened_at = now(world)
    time: Any = world.sockets.time  # type: ignore[union-attr]
    world.discovery.close()
    time.run(opened_at + 49.1)
    assert world.codes("discovery-connection") == ["connect-failed"]  # the watch is still open
    time.run(opened_at + 51.4)
    time.run(opened_at + 49.1 + 30.0)
    failed = world.codes("discovery-connection").count("connect-failed")
    assert failed >= 30.0 / (RETRY_WITHIN_SECONDS + 0.1)


@pytest.mark.parametrize("make", ["loopback"], indirect=True)  # virtual listeners have no queue limit
@pytest.mark.usefixtures("retry_at_once")
def test_call_whose_connect_hangs_is_aborted_and_repeated(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The accept queue of the listener is full. Responses of the old discovery are applied meanwhile."""
    world = make(2)
    monkeypatch.setattr(discovery_client, "CONNECT_TIMEOUT_SECONDS", 0.2)
    old_watch = world.discovery.accept()
    read_request_line(old_watch)
    full = socket.socket()
    full.bind(("127.0.0.1", 0))
    full.listen(0)
    filler = socket.create_connection(full.getsockname())
    world.run(lambda: world.sidecar.endpoint_list.change_discovery(full.getsockname()))
    world.logged("list-failed", 2)
    old_watch.answer(200, list_body(9, DRAINS))
    check_only_endpoint(world, "n1")
    full.accept()[0].close()
    full.settimeout(worlds.WAIT_LIMIT_SECONDS)
    new = Wire(full.accept()[0])
    assert read_request_line(new) == FULL_LIST
    for each in (new.sock, full, filler):
        each.close()


# Moves of discovery


@pytest.mark.parametrize(("reset", "moves"), [(False, 1), (True, 1), (False, 2)])
def test_response_pending_at_a_move_is_applied_and_not_attributed_to_the_new_discovery(
    make: Make, reset: bool, moves: int
) -> None:
    world = make(2)
    watch = world.discovery.accept()
    read_request_line(watch)
    new = Peer(world.sockets)
    remaining = [entry("n1", world.nodes[1])] if reset else []
    update = list_body(90, DRAINS, *remaining, reset=reset)

    def respond_and_move() -> None:
        watch.answer(200, update)
        for port in (1, new.port)[-moves:]:
            world.sidecar.endpoint_list.change_discovery(("127.0.0.1", port))

    world.run(respond_and_move)
    first = new.accept()
    assert read_request_line(first) == FULL_LIST  # without the version of the old discovery
    check_only_endpoint(world, "n1")
    first.answer(200, list_body(3, entry("n1", world.nodes[1]), reset=True))
    assert read_request_line(first).startswith("GET /v1/servers?index=3&")
    assert watch.at_end()
    new.close()


def test_response_of_the_old_discovery_after_one_of_the_new_is_ignored(make: Make) -> None:
    world = make(2)
    watch = world.discovery.accept()
    read_request_line(watch)
    new = Peer(world.sockets)
    world.run(lambda: world.sidecar.endpoint_list.change_discovery(("127.0.0.1", new.port)))
    first = new.accept()
    assert read_request_line(first) == FULL_LIST

    def send_responses() -> None:
        first.answer(200, list_body(3, entry("n1", world.nodes[1]), reset=True))
        watch.answer(200, list_body(90, entry("n0", world.nodes[0])))

    world.run(send_responses)
    assert read_request_line(first).startswith("GET /v1/servers?index=3&")
    new.close()


def test_full_list_pending_at_a_second_move_is_applied_and_older_calls_are_closed(make: Make) -> None:
    world = make(2)
    watch = world.discovery.accept()
    read_request_line(watch)
    lists = world.sidecar.endpoint_list
    second, third = Peer(world.sockets), Peer(world.sockets)
    world.run(lambda: lists.change_discovery(("127.0.0.1", second.port)))
    pending = second.accept()
    assert read_request_line(pending) == FULL_LIST
    world.run(lambda: lists.change_discovery(("127.0.0.1", third.port)))
    pending.answer(200, list_body(3, entry("n1", world.nodes[1])))  # a full list, though it does not state it
    assert pending.at_end() and watch.at_end()
    assert world.run(lambda: list(world.sidecar.pool.addresses)) == ["n1"]
    first = third.accept()
    assert read_request_line(first) == FULL_LIST
    first.answer(200, list_body(90, entry("n1", world.nodes[1])))
    assert read_request_line(first).startswith("GET /v1/servers?index=90&")
    check_only_endpoint(world, "n1")
    second.close()
    third.close()


@pytest.mark.parametrize("version", [9, 2])
def test_response_on_a_replaced_watch_is_applied(virtual: Make, version: int) -> None:
    """Discovery sent it before it received the replacement, on which it then does not respond."""
    world = virtual()
    watch = world.discovery.accept()
    read_request_line(watch)
    world.sockets.time.run(now(world) + 24.0)  # type: ignore[union-attr]
    replacement = world.discovery.accept()
    assert read_request_line(replacement).startswith(WATCH)
    watch.answer(200, list_body(version, DRAINS))
    assert watch.at_end()
    check_only_endpoint(world, "n1")
    replacement.answer(200, list_body(11, entry("n0", world.nodes[0])))
    # The version shows that the response was not applied as the full list.
    assert read_request_line(replacement).startswith("GET /v1/servers?index=11&")
    assert sorted(world.run(lambda: list(world.sidecar.pool.addresses))) == ["n0", "n1"]


def test_replaced_watch_is_closed_after_its_read_time(virtual: Make) -> None:
    world = virtual()
    watch = world.discovery.accept()
    read_request_line(watch)
    world.sockets.time.run(now(world) + 24.0)  # type: ignore[union-attr]
    read_request_line(world.discovery.accept())
    assert watch.at_end()
    assert world.run(lambda: world.sidecar.endpoint_list.superseded.clients) == []


def test_response_on_a_watch_paused_for_list_sharing_is_applied(virtual: Make) -> None:
    world = virtual()
    watch = world.discovery.accept()
    read_request_line(watch)
    world.run(world.sidecar.endpoint_list.pause)
    watch.answer(200, list_body(9, DRAINS))
    assert watch.at_end()
    check_only_endpoint(world, "n1")
    lists = world.sidecar.endpoint_list
    assert world.run(lambda: (lists.version, lists.is_watching)) == (9, False)


def test_watch_replaced_between_two_calls_is_closed(virtual: Make) -> None:
    world = virtual()
    watch = world.discovery.accept()
    read_request_line(watch)
    watch.answer(200, list_body(8))
    time: Any = world.sockets.time  # type: ignore[union-attr]
    lists = world.sidecar.endpoint_list
    while lists.version == 7:
        time.run(now(world) + 0.001)
    assert lists.client.on_answer is None  # the next call has not been made yet
    world.run(lambda: lists.start_replacement(world.sidecar.clock.now()))
    replacement = world.discovery.accept()
    assert read_request_line(replacement).startswith("GET /v1/servers?index=8&")
    assert watch.at_end()
    replacement.answer(200, list_body(9, DRAINS))
    assert read_request_line(replacement).startswith("GET /v1/servers?index=9&")


def test_full_list_requested_from_the_old_discovery_is_not_applied_after_a_move(make: Make) -> None:
    world = make(2)
    read_request_line(world.discovery.accept())
    world.run(world.sidecar.endpoint_list.fetch)
    fetch = world.discovery.accept()
    assert read_request_line(fetch) == FULL_LIST
    new = Peer(world.sockets)

    def respond_and_move() -> None:
        fetch.answer(200, list_body(90, reset=True))
        world.sidecar.endpoint_list.change_discovery(("127.0.0.1", new.port))

    world.run(respond_and_move)
    first = new.accept()
    assert read_request_line(first) == FULL_LIST
    assert fetch.at_end()
    assert world.run(lambda: world.sidecar.endpoint_list.version) is None
    assert sorted(world.run(lambda: list(world.sidecar.pool.addresses))) == ["n0", "n1"]
    new.close()


def test_unsolicited_data_is_not_parsed_as_the_next_response(virtual: Make) -> None:
    world = virtual()
    watch = world.discovery.accept()
    read_request_line(watch)
    watch.answer(200, list_body(8))
    world.sockets.time.run(now(world) + 0.001)  # type: ignore[union-attr]
    watch.send(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{")
    ended = now(world)
    watch = world.discovery.accept()
    assert read_request_line(watch).startswith("GET /v1/servers?index=8&")
    assert now(world) - ended < 0.1


# Contents of a list


@pytest.mark.parametrize("encoding", ["indented", "chunked", "after a 103"])
def test_list_is_parsed_in_any_equivalent_encoding(make: Make, encoding: str) -> None:
    world = make(2)
    watch = world.discovery.accept()
    read_request_line(watch)
    body = json.dumps({"generation": 9, "reset": False, "instances": [DRAINS]}, indent=4).encode()
    if encoding != "chunked":
        if encoding == "after a 103":
            watch.send(b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
            world.settle()
        watch.answer(200, body)
    else:
        half = len(body) // 2
        watch.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for part in (body[:half], body[half:], b""):
            watch.send(b"%x\r\n%s\r\n" % (len(part), part))
            world.settle()
    assert read_request_line(watch).startswith("GET /v1/servers?index=9&")
    check_only_endpoint(world, "n1")


def test_full_list_with_a_lower_version_resets_the_version(make: Make) -> None:
    world = make(2)
    watch = world.discovery.accept()
    read_request_line(watch)
    watch.answer(200, list_body(1, entry("n1", world.nodes[1]), reset=True))
    assert read_request_line(watch).startswith("GET /v1/servers?index=1&")
    check_only_endpoint(world, "n1")


def test_changes_with_an_older_version_are_applied_and_the_full_list_is_requested(make: Make) -> None:
    """After a restart, discovery reports only the changes since then, and not the state before."""
    world = make(3)
    watch = world.discovery.accept()
    read_request_line(watch)
    watch.answer(200, list_body(2, DRAINS))
    assert read_request_line(watch) == FULL_LIST
    assert "list-failed" not in [event for event, _ in world.lines]
    assert world.run(lambda: world.sidecar.serving.freshness.serving) == {"n1", "n2"}
    watch.answer(200, list_body(2, entry("n1", world.nodes[1])))  # a full list, though it does not state it
    assert read_request_line(watch).startswith("GET /v1/servers?index=2&")
    check_only_endpoint(world, "n1")


@pytest.mark.parametrize(
    "more",
    [{}, {"hostPort": None}, {"hostPort": "n0:x"}, {"startedAtMs": None}, {"weight": "1"}, {"cell": 1e400}],
)
@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_draining_and_deleted_endpoints_are_applied_even_if_other_attributes_are_invalid(
    virtual: Make, state: str, more: dict[str, object]
) -> None:
    world = virtual()
    watch = world.discovery.accept()
    read_request_line(watch)
    watch.answer(200, list_body(9, {"instanceId": "n0", "lifecycle": state, **more}))
    assert read_request_line(watch).startswith("GET /v1/servers?index=9&")
    check_only_endpoint(world, "n1")


@pytest.mark.parametrize("in_one_update", [True, False])
def test_restarted_endpoint_receives_requests_at_its_new_address(make: Make, in_one_update: bool) -> None:
    world = make(1)
    watch = world.discovery.accept()
    read_request_line(watch)
    world.nodes.append(Peer(world.sockets))
    warm = round(world.sockets.unix() * 1000) - 100_000
    restarted = entry("n0", world.nodes[1], startedAtMs=warm)
    if in_one_update:
        watch.answer(200, list_body(9, DRAINS, restarted))
    else:
        watch.answer(200, list_body(8, DRAINS))
        assert read_request_line(watch).startswith("GET /v1/servers?index=8&")
        assert world.ask().read()[0].startswith("HTTP/1.1 503")
        watch.answer(200, list_body(9, restarted))
    assert read_request_line(watch).startswith("GET /v1/servers?index=9&")
    check_only_endpoint(world, "n1", requests=2)


# Start


class Unlisted(World):
    def known(self) -> list[dict[str, Any]]:
        return []


def test_sidecar_without_list_and_discovery_repeats_the_call_until_it_succeeds(virtual: Make) -> None:
    world = virtual(world_type=Unlisted)
    for _ in range(10):
        first = world.discovery.accept()
        assert read_request_line(first) == FULL_LIST
        assert world.ask().read()[0].startswith("HTTP/1.1 503")
        first.reset()
    first = world.discovery.accept()
    read_request_line(first)
    first.answer(200, list_body(9, entry("n1", world.nodes[1]), reset=True))
    assert read_request_line(first).startswith("GET /v1/servers?index=9&")
    check_only_endpoint(world, "n1")


@pytest.mark.parametrize("sidecars", [1, 200])
def test_first_call_for_a_cached_list_is_made_in_time(
    virtual: Make, change_settings: Callable[..., None], sidecars: int
) -> None:
    change_settings(peers_total=sidecars, slot_no=sidecars - 1)
    world = virtual()
    began = now(world)
    assert read_request_line(world.discovery.accept()).startswith(WATCH)
    assert now(world) - began <= 8.0 + 0.1


def test_watch_of_pushed_lists_is_opened_at_the_start_and_reopened_at_once(
    virtual: Make, change_settings: Callable[..., None]
) -> None:
    change_settings(discovery="pushed", peers_total=200, slot_no=199)
    world = virtual()
    began = now(world)
    watch = world.discovery.accept()
    assert read_request_line(watch).startswith(WATCH)
    assert now(world) - began < 0.1
    for _ in range(6):
        failed = now(world)
        watch.answer(503)
        watch = world.discovery.accept()
        assert read_request_line(watch).startswith(WATCH)
        assert now(world) - failed < 0.3
    new = Peer(world.sockets)
    began = now(world)
    world.run(lambda: world.sidecar.endpoint_list.change_discovery(("127.0.0.1", new.port)))
    assert read_request_line(new.accept()) == FULL_LIST
    assert now(world) - began < 0.3
    watch.answer(200, list_body(9, DRAINS))
    check_only_endpoint(world, "n1")


# Internal errors


def raise_error(*_: object) -> None:
    raise ZeroDivisionError


@pytest.mark.parametrize("part", ["on_view", "should_continue"])
@pytest.mark.parametrize("ending", ["list", "refused", "reset"])
@pytest.mark.usefixtures("retry_at_once")
def test_exception_at_the_end_of_a_call_does_not_stop_the_watch(make: Make, part: str, ending: str) -> None:
    world = make(2)
    watch = world.discovery.accept()
    read_request_line(watch)
    lists = world.sidecar.endpoint_list
    callback = getattr(lists, part)
    world.run(lambda: setattr(lists, part, raise_error))
    if ending == "list":
        watch.answer(200, list_body(9, DRAINS))
    elif ending == "refused":
        watch.answer(503)
    else:
        watch.reset()
    if part == "on_view" or ending == "list":
        world.logged("list-broken")
    world.run(lambda: setattr(lists, part, callback))
    watch = world.discovery.accept()
    first = read_request_line(watch)
    if part == "on_view" or ending == "list":
        assert first == FULL_LIST  # the update may not have been applied
        watch.answer(200, list_body(9, entry("n1", world.nodes[1]), reset=True))
        assert read_request_line(watch).startswith("GET /v1/servers?index=9&")
        check_only_endpoint(world, "n1")


@pytest.mark.parametrize("sidecars", [1, 200])
def test_calls_to_a_new_discovery_that_does_not_respond_are_repeated_in_time(
    virtual: Make, change_settings: Callable[..., None], sidecars: int
) -> None:
    """The new discovery accepts calls, never answers, and does not notice that they were aborted."""
    change_settings(peers_total=sidecars, slot_no=sidecars - 1)
    world = virtual()
    read_request_line(world.discovery.accept())
    new = Peer(world.sockets)
    before = now(world)
    world.run(lambda: world.sidecar.endpoint_list.change_discovery(("127.0.0.1", new.port)))
    # A large fleet spreads its calls further after the third one.
    for patience in (0.0, 2.0, 4.0, 4.75, 4.75)[: 5 if sidecars == 1 else 3]:
        first = new.accept()
        assert read_request_line(first) == FULL_LIST
        assert (
            now(world) - before
            <= (min(patience + RETRY_WITHIN_SECONDS, 5.0) if sidecars == 1 else 5.0 + RETRY_WITHIN_SECONDS)
            + 0.1
        )
        before = now(world)
    first.answer(200, list_body(3, entry("n1", world.nodes[1]), reset=True))
    assert read_request_line(first).startswith("GET /v1/servers?index=3&")
    check_only_endpoint(world, "n1")
    new.close()


def test_slow_response_delays_the_next_call_no_longer_than_a_missing_one(virtual: Make) -> None:
    world = virtual()
    read_request_line(world.discovery.accept())
    new = Peer(world.sockets)
    world.run(lambda: world.sidecar.endpoint_list.change_discovery(("127.0.0.1", new.port)))
    first = new.accept()
    assert read_request_line(first) == FULL_LIST
    began = now(world)
    first.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
    with suppress(OSError):
        while not new.listener.socket.queue:
            world.sockets.time.run(now(world) + 0.5)  # type: ignore[union-attr]
            first.send(b" ")
    second = new.accept()
    assert read_request_line(second) == FULL_LIST
    assert now(world) - began <= 5.0 + 0.1
    second.answer(200, list_body(3, entry("n1", world.nodes[1]), reset=True))
    assert read_request_line(second).startswith("GET /v1/servers?index=3&")
    check_only_endpoint(world, "n1")
    new.close()


@settings(max_examples=15)
@given(st.lists(st.sampled_from([*ENDINGS, "update", "move", "exception"]), min_size=4, max_size=10))
def test_next_call_is_made_in_time_after_any_sequence_of_ends(sequence: list[str]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(log, "line", log.line)
        world = World(VirtualSockets(), 2)
        lists, discovery = world.sidecar.endpoint_list, world.discovery
        watch = discovery.accept()
        read_request_line(watch)
        peers = [discovery]
        for number, ending in enumerate(sequence):
            ended = now(world)
            if ending == "update":
                watch.answer(200, list_body(90 - number, entry("n1", world.nodes[1])))
            elif ending == "move":
                peers.append(Peer(world.sockets))
                world.run(partial(lists.change_discovery, ("127.0.0.1", peers[-1].port)))
            elif ending == "exception":
                world.run(partial(setattr, lists, "on_view", raise_error))
                watch.answer(200, list_body(90 - number))
                world.logged("list-broken", sequence[: number + 1].count("exception"))
                world.run(partial(setattr, lists, "on_view", world.sidecar.driver.feed))
            else:
                ENDINGS[ending](watch)
            if ending != "update":
                watch = peers[-1].accept()
            read_request_line(watch)
            assert now(world) - ended <= RETRY_WITHIN_SECONDS + 0.1
        for peer in peers[1:]:
            peer.close()
        world.end()
