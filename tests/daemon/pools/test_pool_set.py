"""Several pools behind one listening socket: dispatch of requests and reconfiguration."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.pools.pools_world import TWO_POOLS, PoolsWorld
from tests.support.virtual_sockets import VirtualSockets
from tests.support.world import LoopbackSockets, Peer, entry, keep_scripted_peers, list_body
from wheatring.balancer import interface as i
from wheatring.common.errors import OperatorError
from wheatring.common.http_parser import BUFFERED_BODY_BYTES, ForwardedRequest
from wheatring.daemon.core.exchange import Answer, AnswerKind
from wheatring.daemon.pools import pool_set
from wheatring.daemon.pools.active_route import RoutedRequest
from wheatring.daemon.pools.exceptions import BadWeightsError, UnknownPoolError, UnknownRouteError
from wheatring.daemon.pools.routed_pool import InertBalancer

Make = Callable[..., PoolsWorld]
ONE_POOL = TWO_POOLS.replace("old = 3, new = 1", "new = 1").replace('[pool.old]\nzone = "a"\n', "")


@pytest.fixture(params=["loopback", "virtual"])
def sockets(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> LoopbackSockets | VirtualSockets:
    keep_scripted_peers(monkeypatch)
    if request.param == "virtual":
        return VirtualSockets()
    request.getfixturevalue("running")
    return LoopbackSockets()


@pytest.fixture
def make(sockets: LoopbackSockets | VirtualSockets, tmp_path: Path) -> Iterator[Make]:
    worlds: list[PoolsWorld] = []

    def build(text: str = TWO_POOLS, zones: str = "ab", **arguments: Any) -> PoolsWorld:
        worlds.append(PoolsWorld(sockets, tmp_path, text, zones, **arguments))
        return worlds[-1]

    yield build
    for world in worlds:
        world.end()
        assert all(pool.is_closed for pool in world.pools.all())


def count_requests(world: PoolsWorld, count: int) -> Counter[str]:
    counts: Counter[str] = Counter()
    caller = world.caller()
    for _ in range(count):
        world.call(wire=caller)
        (pool,) = world.pools_with_requests()
        counts[pool] += 1
        world.next_request_at({"old": 0, "new": 1}[pool]).answer(200)
        caller.read()
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0
    assert world.run(lambda: world.sidecar.exchange.latencies.recent["menu"])  # used by a graceful shutdown
    return counts


def test_requests_are_split_by_weights_which_can_change_at_runtime(make: Make) -> None:
    world = make()
    draws = world.run(lambda: {pool.serving.balancer.random.random() for pool in world.pools.all()})
    assert len(draws) == 2  # with equal draws, both would request their lists at the same times
    counts = count_requests(world, 22)
    assert abs(counts["old"] - 16.5) <= 0.5 and counts.total() == 22
    world.run(lambda: world.pools.router.change_weights("all", {"old": 1, "new": 4}))
    counts = count_requests(world, 20)
    assert abs(counts["new"] - 16) <= 1 and counts.total() == 20


def test_deficits_of_the_split_survive_a_reload_and_a_new_pool_has_the_list(make: Make) -> None:
    world, counts = make(zones="abc"), Counter[str]()
    for _ in range(8):  # with reset deficits, each would go to the same pool
        counts += count_requests(world, 1)
        world.reload(TWO_POOLS)
    assert counts == {"old": 6, "new": 2}
    world.reload(
        TWO_POOLS.replace("old = 3", "third = 1, old = 0").replace('"b"', '"b"\n[pool.third]\nzone = "c"')
    )
    world.run(lambda: world.pools.router.change_weights("all", {"third": 1}))
    world.assert_served("third", 2)


def test_invalid_weights_are_rejected_and_change_nothing(make: Make) -> None:
    world = make()

    def change(route: str, **weights: int) -> None:
        world.run(lambda: world.pools.router.change_weights(route, weights))

    invalid_changes: list[tuple[type[OperatorError], str, dict[str, int]]] = [
        (UnknownRouteError, "al", {"old": 1}), (UnknownPoolError, "all", {"old": 1, "nev": 1}),
        (BadWeightsError, "all", {"old": 0}), (BadWeightsError, "all", {"old": -1}),
        (BadWeightsError, "all", {}),
    ]  # fmt: skip
    for error, route, weights in invalid_changes:
        with pytest.raises(error) as caught:
            change(route, **weights)
        assert "\n" not in str(caught.value) and route in caught.value.what
    change("all", new=1)
    world.assert_served("new", 1)


def test_a_retry_stays_in_its_pool_even_if_another_pool_could_serve_it(make: Make) -> None:
    world = make(TWO_POOLS.replace("new = 1 }", "new = 0 }"), "aab")
    for peer in world.nodes[:2]:
        peer.close()
    caller = world.call(headers="X-Time-Left-Ms: 900\r\n")
    assert caller.read()[0].split()[1] in ("502", "503")
    connection_counts = world.run(
        lambda: [len(world.pools.pools[p].pool.connections) for p in ("old", "new")]
    )
    failed = [
        fields["peer"]
        for event, fields in world.lines
        if event == "endpoint-connection" and fields["code"] == "connect-failed"
    ]
    assert len(failed) >= 2 and {f"127.0.0.1:{p.port}" for p in world.nodes[:2]} == set(failed)
    assert (
        len(world.run(lambda: world.sidecar.serving.freshness.suspicions)) == 2
    )  # of the list that the pools share
    assert connection_counts == [0, 0] and world.run(lambda: world.pools.pools["new"].driver.last_id) == 0


def test_no_route_is_answered_with_404_and_an_ambiguous_target_with_400(make: Make) -> None:
    world = make(TWO_POOLS.replace("[route.all]", '[route.all]\nprefix = "/menu"'))
    caller = world.call("/order/1")
    assert caller.read()[0].split()[1] == "404"
    world.call("/order/2", wire=caller)  # the connection is kept
    assert caller.read()[0].split()[1] == "404"
    assert world.call("/menu/../order").read()[0].split()[1] == "400"
    lines = [fields for event, fields in world.lines if event == "not-routed"]
    assert [(fields["status"], fields["why"]) for fields in lines] == [
        (404, "no route"),
        (400, "dot segments"),
    ]
    assert world.run(lambda: [pool.driver.last_id for pool in world.pools.all()]) == [0, 0]
    world.run(lambda: world.pools.router.change_weights("all", {"old": 1}))
    world.assert_served("old", 0, "/menu/x")


def test_a_route_sets_the_class_and_the_default_deadline(make: Make) -> None:
    text = TWO_POOLS.replace("[route.all]", '[route.all]\nhost = "shop"\nclass_name = "menu"\ndeadline = 1.5')
    world = make(text)
    caller = world.call("/any/where", headers="X-Service-Class: other\r\n")
    assert world.pools_with_requests() == ["old"]
    ((class_name, time_limit),) = world.run(
        lambda: [
            (request.class_name, request.time_limit)
            for request in world.sidecar.exchange.open_requests.values()
        ]
    )
    assert (class_name, time_limit) == ("menu", 1.5)
    world.next_request_at(0).answer(200)
    assert caller.read()[0].split()[1] == "200"


def test_routes_change_with_requests_in_flight_and_a_removed_pool_finishes_its_own(make: Make) -> None:
    world = make()
    world.run(lambda: world.pools.router.change_weights("all", {"old": 1}))
    caller, disconnecting = world.call(), world.call()
    wires = [world.nodes[0].accept(), world.nodes[0].accept()]
    ids = [wire.read()[1]["x-correlation-id"] for wire in wires]
    wire, abandoned_wire = wires if ids[0] == "c1" else wires[::-1]
    draining = world.pools.pools["old"]
    world.reload(ONE_POOL)
    world.logged("routes", 2)
    budget = world.pools.budget
    assert world.run(lambda: budget.limit_of(world.pools.pools["new"].connections)) == budget.total - 2
    watch = world.discovery.accept()  # one for all pools that use the platform's list
    watch.read()
    watch.answer(200, list_body(8, {**entry("n0", world.nodes[0], zone="a"), "lifecycle": "DRAINING"}))
    watch.read()
    assert not draining.serving.balancer.pool.endpoints  # a draining pool still receives list updates
    other_caller = world.call()
    world.next_request_at(1).answer(200, b"new")
    assert other_caller.read()[2] == b"new"
    assert not draining.is_closed and draining in world.pools.draining
    wire.answer(200, b"kept")
    assert caller.read()[2] == b"kept"
    disconnecting.close()
    world.wait_for(lambda: not world.sidecar.exchange.open_count)
    world.run(world.pools.advance)
    assert not draining.is_closed  # an endpoint still processes the abandoned request
    abandoned_wire.answer(200)
    world.logged("pool-gone")
    assert draining.is_closed and wire.at_end() and not draining.connections.sweep_timer.active()
    assert world.run(lambda: list(world.pools.budget.reserved)) == [world.pools.pools["new"].connections]


def test_a_request_that_is_still_being_received_keeps_its_pool_open(make: Make) -> None:
    world = make(TWO_POOLS.replace("new = 1 }", "new = 0 }"))
    caller, body = world.caller(), b"x" * (BUFFERED_BODY_BYTES + 1000)
    head = f"POST /order HTTP/1.1\r\nX-Correlation-Id: up\r\nContent-Length: {len(body)}\r\n\r\n"
    caller.send(head.encode() + body[:-500])
    world.wait_for(lambda: any(c.request is not None for c in world.sidecar.server.connections))
    world.reload(ONE_POOL)
    world.logged("routes", 2)
    for _ in range(3):
        world.run(world.pools.advance)
    assert [pool.name for pool in world.pools.draining] == ["old"] and not world.run(
        lambda: world.pools.draining[0].driver.open_requests
    )
    caller.send(body[-500:])
    wire = world.next_request_at(0)
    wire.answer(200, b"whole")
    assert caller.read()[2] == b"whole"
    world.logged("pool-gone")


def test_an_invalid_file_changes_nothing(make: Make) -> None:
    world = make()
    before = world.run(lambda: (world.pools.pools, world.pools.router.routes, world.pools.router.table))
    invalid = (
        TWO_POOLS.replace("new = 1", "nev = 1"),
        TWO_POOLS.replace("[route.all]", "[route.all]\npath = '/a/../b'"),
        TWO_POOLS.replace("[route.all]", "[route.all]\nclass_name = 'none'"), "[list]\n",
        TWO_POOLS.replace('zone = "a"', 'zone = "a"\nleast = 1000'),
    )  # fmt: skip
    for count, text in enumerate(invalid, 1):
        world.reload(text)
        world.logged("config-not-reloaded", count)
    router = world.pools.router
    assert before == world.run(lambda: (world.pools.pools, router.routes, router.table))
    assert world.run(world.pools.all) == list(before[0].values())
    world.assert_served("old", 0)


def own_lists(port: int, other_port: int) -> str:
    return f"""
[pool.x]
discovery = "127.0.0.1:{port}"
[pool.y]
discovery = "127.0.0.1:{other_port}"
[route.x]
prefix = "/menu/x"
weights = {{ x = 1 }}
[route.y]
weights = {{ y = 1 }}
"""


def test_a_drain_in_a_pools_own_list_affects_only_that_pool(
    make: Make, sockets: LoopbackSockets | VirtualSockets
) -> None:
    lists = [Peer(sockets), Peer(sockets)]
    world = make(own_lists(lists[0].port, lists[1].port))
    watches = [peer.accept() for peer in lists]
    for node, watch in enumerate(watches):  # the same name in both lists
        assert watch.read()[0].startswith("GET /v1/servers")
        watch.answer(200, list_body(1, entry("same", world.nodes[node]), reset=True))
        watch.read()
    world.wait_for(lambda: all(pool.is_ready for pool in world.pools.all()))
    world.assert_served("x", 0, "/menu/x")
    world.assert_served("y", 1)
    drained = {**entry("same", world.nodes[0]), "lifecycle": "DRAINING"}
    watches[0].answer(200, list_body(2, drained))
    watches[0].read()  # the next call shows that the answer was read
    rejected = world.call("/menu/x", headers="X-Time-Left-Ms: 500\r\n")
    assert rejected.read()[0].split()[1] == "503"
    world.assert_served("y", 1)
    world.reload(own_lists(lists[0].port, lists[1].port) + "[list]\nper_s = 20\n")
    assert {
        pool.serving.endpoint_list.request_schedule.pace.second_round_rate for pool in world.pools.all()
    } == {20.0}
    for wire in [*watches, *world.connections.values()]:
        wire.close()
    for peer in lists:
        peer.close()


def test_new_routes_wait_for_the_list_of_a_new_pool(
    make: Make, sockets: LoopbackSockets | VirtualSockets
) -> None:
    list_server = Peer(sockets)
    world = make()
    world.reload(
        own_lists(list_server.port, list_server.port).replace("/menu/x", "/x").replace("= { x", "= { y")
    )
    world.logged("config-reloaded")
    world.assert_served("old", 0)  # the previous routes stay in force until then
    calls = [list_server.accept(), list_server.accept()]
    for watch in calls:
        watch.read()
        watch.answer(200, list_body(1, entry("n9", world.nodes[1]), reset=True))
    world.logged("routes", 2)
    world.assert_served("y", 1)
    for watch in calls:
        watch.read()
    world.reload(TWO_POOLS)
    world.logged("pool-gone", 4)
    assert world.logged("discovery-connection", 2) == ["unsubscribed"] * 2
    for watch in calls:
        watch.close()
    list_server.close()


def test_an_overloaded_pool_leaves_another_its_reserved_connections(make: Make) -> None:
    world = make(TWO_POOLS.replace('"b"\n', '"b"\nleast = 2\n'))
    world.run(lambda: setattr(world.pools.budget, "total", 6))
    world.run(lambda: world.pools.router.change_weights("all", {"old": 1}))
    flood = [world.call(headers="X-Time-Left-Ms: 3000\r\n") for _ in range(9)]
    world.wait_for(lambda: world.pools.pools["old"].driver.last_id == len(flood))
    wires = [world.nodes[0].accept() for _ in range(4)]  # not answered
    world.logged("too-many-connections")
    assert world.run(lambda: world.pools.budget.in_use()) == 4
    world.run(lambda: world.pools.router.change_weights("all", {"new": 1}))
    caller = world.call()
    world.next_request_at(1).answer(200, b"still")
    assert caller.read()[2] == b"still" and len(wires) == 4


def submit_routed(world: PoolsWorld, correlation_id: str) -> RoutedRequest:
    """Submit a request and return it, in this iteration of the reactor."""
    content, now = ForwardedRequest(b"GET /menu HTTP/1.1\r\n", b""), world.reactor.seconds()
    route = world.pools.router.routes["all"]
    request = route.create_request(
        {}, correlation_id=correlation_id, class_name="menu", deadline=now + 5, content=content
    )
    world.sidecar.exchange.submit(request)
    return request


def test_idle_connections_are_closed_for_another_pool_except_reserved_ones(make: Make) -> None:
    text = TWO_POOLS.replace('"a"\n', '"a"\nleast = 1\n').replace('"b"\n', '"b"\nleast = 1\n')
    world = make(text)
    world.run(lambda: setattr(world.pools.budget, "total", 4))
    world.run(lambda: world.pools.router.change_weights("all", {"old": 1}))
    callers = [world.call() for _ in range(3)]
    world.wires += [world.nodes[0].accept() for _ in callers]
    for wire in world.wires[-3:]:
        wire.read()
        wire.answer(200)
    assert [caller.read()[0].split()[1] for caller in callers] == ["200"] * 3
    world.wait_for(
        lambda: (
            len(world.pools.pools["old"].connections.idle_connections)
            and not world.sidecar.exchange.open_count
        )
    )
    world.run(lambda: world.pools.router.change_weights("all", {"new": 1}))

    def submit_four() -> list[int]:
        for n in range(4):
            submit_routed(world, f"b{n}")
        old, new = (world.pools.pools[name].connections for name in ("old", "new"))
        return [sum(map(len, old.idle_connections.values())), len(new.pending_connects)]

    assert world.run(submit_four) == [1, 3]
    assert world.logged("endpoint-connection", 2) == ["pool-full"] * 2


def test_events_of_a_request_reach_the_balancer_of_its_pool(make: Make) -> None:
    world = make()

    class RecordingBalancer(InertBalancer):
        def handle(self, _now: float, event: i.Event) -> list[i.Action]:
            events.append(type(event))
            return []

    def submit_and_withdraw() -> None:
        for pool in world.pools.all():
            pool.driver.decision_module = RecordingBalancer()
        request = submit_routed(world, "x")
        world.sidecar.exchange.mark_committed(request)
        world.sidecar.exchange.withdraw(request)

    events: list[type] = []
    world.run(submit_and_withdraw)
    assert events == [i.NewRequest, i.Committed, i.RequestAbandoned]


def test_a_request_answered_in_the_exchange_ends_in_its_pool_with_its_pending_connect(make: Make) -> None:
    world = make()

    def submit_and_answer() -> list[int]:
        request = submit_routed(world, "x")
        counts = [len(request.pool.driver.open_requests), len(request.pool.connections.pending_connects)]
        world.sidecar.exchange.answer(request, Answer(AnswerKind.FAILED))
        counts.append(len(request.pool.driver.open_requests))
        request.pool.close("test")
        return counts

    assert world.run(submit_and_answer) == [1, 1, 0]
    world.settle()
    assert world.run(
        lambda: [len(pool.pool.connections) + len(pool.pool.pending_connects) for pool in world.pools.all()]
    ) == [
        0,
        0,
    ]


def test_a_newer_file_discards_a_staged_change_and_the_wait_for_lists_is_bounded(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    world, unreachable = make(), Peer(LoopbackSockets())
    unreachable.close()
    world.reload(own_lists(unreachable.port, unreachable.port))
    discarded = world.run(lambda: world.pools.all()[2:])
    world.wait_for(
        lambda: all(pool.serving.balancer.is_subscription_scheduled for pool in discarded)
    )  # each has a pending retry timer
    world.reload(TWO_POOLS)
    assert all(pool.is_closed for pool in discarded) and len(discarded) == 2
    for pool in discarded:
        world.run(partial(pool.driver.feed, i.TimerDue(0)))
    assert not any(pool.serving.endpoint_list.is_watching for pool in discarded)
    world.assert_served("old", 0)
    monkeypatch.setattr(pool_set, "LIST_WAIT_SECONDS", 0.1)
    world.reload(own_lists(unreachable.port, unreachable.port))
    world.logged("routes", 3)  # the new file applies though its lists are missing
    assert world.call().read()[0].split()[1] == "503"


@pytest.mark.parametrize("sockets", ["loopback"], indirect=True)  # no admin server in virtual time
def test_endpoints_taken_offline_are_out_of_service_in_pools_with_their_own_lists(
    make: Make, sockets: LoopbackSockets, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    list_server = Peer(sockets)
    world = make(own_lists(list_server.port, list_server.port), control=("127.0.0.1", 0))
    watches = [list_server.accept(), list_server.accept()]
    for watch in watches:
        watch.read()
        watch.answer(200, list_body(1, entry("own", world.nodes[0]), reset=True))
        watch.read()
    world.assert_served("x", 0, "/menu/x")
    admin = world.sidecar.admin_service
    assert (
        admin is not None
        and not world.run(lambda: admin.take_offline("none"))
        and world.run(lambda: admin.take_offline("own"))
    )
    assert world.logged("endpoint-connection") == ["close-idle"]
    world.reload(
        own_lists(list_server.port, list_server.port).replace("pool.x", "pool.z").replace("{ x", "{ z")
    )
    watches.append(list_server.accept())  # also applies to a pool created later
    watches[-1].read()
    watches[-1].answer(200, list_body(1, entry("own", world.nodes[0]), reset=True))
    world.logged("routes", 2)
    for path in ("/menu/x", "/menu"):
        assert world.call(path, headers="X-Time-Left-Ms: 300\r\n").read()[0].split()[1] == "503"
    world.settle()
    assert world.codes("endpoint-connection") == ["close-idle"]  # no further connection was made
    for wire in [*watches, *world.connections.values()]:
        wire.close()
    list_server.close()


@pytest.mark.parametrize("sockets", ["loopback"], indirect=True)
def test_endpoints_taken_offline_are_out_of_service_in_pools_of_the_platforms_list(
    make: Make, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    world = make(control=("127.0.0.1", 0))
    world.assert_served("old", 0)
    assert world.run(world.sidecar.connections_in_use) == 2  # one to a caller, one to an endpoint
    assert world.run(
        lambda: world.sidecar.admin_service is not None and world.sidecar.admin_service.take_offline("n0")
    )
    assert world.logged("endpoint-connection") == ["close-idle"]
    assert world.call(headers="X-Time-Left-Ms: 300\r\n").read()[0].split()[1] == "503"
    world.settle()
    assert world.codes("endpoint-connection") == ["close-idle"]
    world.run(lambda: world.sidecar.set_connection_limit(100))
    assert world.pools.budget.total == 40
