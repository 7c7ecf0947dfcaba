"""Several pools behind one door, over sockets: who gets a request, and what a change does to it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.pools.pools_world import TWO, PoolsWorld
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
ONE = TWO.replace("old = 3, new = 1", "new = 1").replace('[pool.old]\nzone = "a"\n', "")


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

    def build(text: str = TWO, zones: str = "ab", **more: Any) -> PoolsWorld:
        worlds.append(PoolsWorld(sockets, tmp_path, text, zones, **more))
        return worlds[-1]

    yield build
    for world in worlds:
        world.end()
        assert all(member.is_closed for member in world.pools.all())


def shares(world: PoolsWorld, count: int) -> Counter[str]:
    got: Counter[str] = Counter()
    caller = world.caller()
    for _ in range(count):
        world.call(wire=caller)
        (pool,) = world.busy()
        got[pool] += 1
        world.at({"old": 0, "new": 1}[pool]).answer(200)
        caller.read()
    assert world.run(lambda: world.sidecar.exchange.open_count) == 0
    assert world.run(lambda: world.sidecar.exchange.latencies.recent["menu"])  # what leaving goes by
    return got


def test_each_pool_gets_its_part_of_a_routes_requests_and_weights_change_while_it_serves(make: Make) -> None:
    world = make()
    drawn = world.run(lambda: {m.serving.balancer.random.random() for m in world.pools.all()})
    assert len(drawn) == 2  # or both would ask for their lists in the same moments
    got = shares(world, 22)
    assert abs(got["old"] - 16.5) <= 0.5 and got.total() == 22
    world.run(lambda: world.pools.router.change_weights("all", {"old": 1, "new": 4}))
    got = shares(world, 20)
    assert abs(got["new"] - 16) <= 1 and got.total() == 20


def test_what_pools_are_owed_outlives_a_reload_and_a_new_pool_knows_the_list(make: Make) -> None:
    world, got = make(zones="abc"), Counter[str]()
    for _ in range(8):  # begun anew, each of them would be the first, and go to the same pool
        got += shares(world, 1)
        world.reload(TWO)
    assert got == {"old": 6, "new": 2}
    world.reload(TWO.replace("old = 3", "third = 1, old = 0").replace('"b"', '"b"\n[pool.third]\nzone = "c"'))
    world.run(lambda: world.pools.router.change_weights("all", {"third": 1}))
    world.served("third", 2)


def test_impossible_weights_are_reported_and_change_nothing(make: Make) -> None:
    world = make()

    def change(route: str, **weights: int) -> None:
        world.run(lambda: world.pools.router.change_weights(route, weights))

    refusals: list[tuple[type[OperatorError], str, dict[str, int]]] = [
        (UnknownRouteError, "al", {"old": 1}), (UnknownPoolError, "all", {"old": 1, "nev": 1}),
        (BadWeightsError, "all", {"old": 0}), (BadWeightsError, "all", {"old": -1}),
        (BadWeightsError, "all", {}),
    ]  # fmt: skip
    for kind, route, weights in refusals:
        with pytest.raises(kind) as told:
            change(route, **weights)
        assert "\n" not in str(told.value) and route in told.value.what
    change("all", new=1)
    world.served("new", 1)


def test_a_retry_stays_in_its_pool_though_another_would_serve(make: Make) -> None:
    world = make(TWO.replace("new = 1 }", "new = 0 }"), "aab")
    for peer in world.nodes[:2]:
        peer.close()
    caller = world.call(more="X-Time-Left-Ms: 900\r\n")
    assert caller.read()[0].split()[1] in ("502", "503")
    tried = world.run(lambda: [len(world.pools.pools[p].pool.connections) for p in ("old", "new")])
    failed = [
        v["peer"] for e, v in world.lines if e == "endpoint-connection" and v["code"] == "connect-failed"
    ]
    assert len(failed) >= 2 and {f"127.0.0.1:{p.port}" for p in world.nodes[:2]} == set(failed)
    assert (
        len(world.run(lambda: world.sidecar.serving.freshness.suspicions)) == 2
    )  # of the list that is theirs too
    assert tried == [0, 0] and world.run(lambda: world.pools.pools["new"].driver.last_id) == 0


def test_what_no_route_wants_is_404_and_what_can_be_read_two_ways_400_with_the_reason(make: Make) -> None:
    world = make(TWO.replace("[route.all]", '[route.all]\nprefix = "/menu"'))
    caller = world.call("/order/1")
    assert caller.read()[0].split()[1] == "404"
    world.call("/order/2", wire=caller)  # the connection is kept
    assert caller.read()[0].split()[1] == "404"
    assert world.call("/menu/../order").read()[0].split()[1] == "400"
    told = [values for event, values in world.lines if event == "not-routed"]
    assert [(each["status"], each["why"]) for each in told] == [(404, "no route"), (400, "dot segments")]
    assert world.run(lambda: [m.driver.last_id for m in world.pools.all()]) == [0, 0]
    world.run(lambda: world.pools.router.change_weights("all", {"old": 1}))
    world.served("old", 0, "/menu/x")


def test_a_route_says_the_class_and_the_deadline_of_who_gives_none(make: Make) -> None:
    text = TWO.replace("[route.all]", '[route.all]\nhost = "shop"\nclass_name = "menu"\ndeadline = 1.5')
    world = make(text)
    caller = world.call("/any/where", more="X-Service-Class: other\r\n")
    assert world.busy() == ["old"]
    ((name, allowed),) = world.run(
        lambda: [(j.class_name, j.time_limit) for j in world.sidecar.exchange.open_requests.values()]
    )
    assert (name, allowed) == ("menu", 1.5)
    world.at(0).answer(200)
    assert caller.read()[0].split()[1] == "200"


def test_routes_move_with_requests_in_flight_and_a_removed_pool_ends_its_own_first(make: Make) -> None:
    world = make()
    world.run(lambda: world.pools.router.change_weights("all", {"old": 1}))
    caller, lost = world.call(), world.call()
    wires = [world.nodes[0].accept(), world.nodes[0].accept()]
    ids = [wire.read()[1]["x-correlation-id"] for wire in wires]
    wire, orphan = wires if ids[0] == "c1" else wires[::-1]
    leaving = world.pools.pools["old"]
    world.reload(ONE)
    world.logged("routes", 2)
    places = world.pools.budget
    assert world.run(lambda: places.limit_of(world.pools.pools["new"].connections)) == places.total - 2
    watch = world.discovery.accept()  # one for all pools that go by the platform's list
    watch.read()
    watch.answer(200, list_body(8, {**entry("n0", world.nodes[0], zone="a"), "lifecycle": "DRAINING"}))
    watch.read()
    assert not leaving.serving.balancer.pool.endpoints  # what still goes on there is told of drains
    later = world.call()
    world.at(1).answer(200, b"new")
    assert later.read()[2] == b"new"
    assert not leaving.is_closed and leaving in world.pools.leaving
    wire.answer(200, b"kept")
    assert caller.read()[2] == b"kept"
    lost.close()
    world.met(lambda: not world.sidecar.exchange.open_count)
    world.run(world.pools.advance)
    assert not leaving.is_closed  # a node still works on the other, whose caller has gone
    orphan.answer(200)
    world.logged("pool-gone")
    assert leaving.is_closed and wire.at_end() and not leaving.connections.sweep_timer.active()
    assert world.run(lambda: list(world.pools.budget.reserved)) == [world.pools.pools["new"].connections]


def test_a_request_that_is_still_coming_keeps_its_pool_alive(make: Make) -> None:
    world = make(TWO.replace("new = 1 }", "new = 0 }"))
    caller, body = world.caller(), b"x" * (BUFFERED_BODY_BYTES + 1000)
    head = f"POST /order HTTP/1.1\r\nX-Correlation-Id: up\r\nContent-Length: {len(body)}\r\n\r\n"
    caller.send(head.encode() + body[:-500])
    world.met(lambda: any(c.request is not None for c in world.sidecar.server.connections))
    world.reload(ONE)
    world.logged("routes", 2)
    for _ in range(3):
        world.run(world.pools.advance)
    assert [m.name for m in world.pools.leaving] == ["old"] and not world.run(
        lambda: world.pools.leaving[0].driver.open_requests
    )
    caller.send(body[-500:])
    wire = world.at(0)
    wire.answer(200, b"whole")
    assert caller.read()[2] == b"whole"
    world.logged("pool-gone")


def test_a_file_that_can_not_be_used_changes_nothing(make: Make) -> None:
    world = make()
    before = world.run(lambda: (world.pools.pools, world.pools.router.routes, world.pools.router.table))
    bad = (
        TWO.replace("new = 1", "nev = 1"), TWO.replace("[route.all]", "[route.all]\npath = '/a/../b'"),
        TWO.replace("[route.all]", "[route.all]\nclass_name = 'none'"), "[list]\n",
        TWO.replace('zone = "a"', 'zone = "a"\nleast = 1000'),
    )  # fmt: skip
    for count, text in enumerate(bad, 1):
        world.reload(text)
        world.logged("config-not-reloaded", count)
    router = world.pools.router
    assert before == world.run(lambda: (world.pools.pools, router.routes, router.table))
    assert world.run(world.pools.all) == list(before[0].values())
    world.served("old", 0)


def own_list(port: int, other: int) -> str:
    return f"""
[pool.x]
discovery = "127.0.0.1:{port}"
[pool.y]
discovery = "127.0.0.1:{other}"
[route.x]
prefix = "/menu/x"
weights = {{ x = 1 }}
[route.y]
weights = {{ y = 1 }}
"""


def test_a_drain_is_applied_in_one_pool_and_counts_in_that_alone(
    make: Make, sockets: LoopbackSockets | VirtualSockets
) -> None:
    lists = [Peer(sockets), Peer(sockets)]
    world = make(own_list(lists[0].port, lists[1].port))
    watches = [each.accept() for each in lists]
    for node, watch in enumerate(watches):  # the same name in both lists
        assert watch.read()[0].startswith("GET /v1/servers")
        watch.answer(200, list_body(1, entry("same", world.nodes[node]), reset=True))
        watch.read()
    world.met(lambda: all(m.is_ready for m in world.pools.all()))
    world.served("x", 0, "/menu/x")
    world.served("y", 1)
    gone = {**entry("same", world.nodes[0]), "lifecycle": "DRAINING"}
    watches[0].answer(200, list_body(2, gone))
    watches[0].read()  # it asks on, so it has read that
    refused = world.call("/menu/x", more="X-Time-Left-Ms: 500\r\n")
    assert refused.read()[0].split()[1] == "503"
    world.served("y", 1)
    world.reload(own_list(lists[0].port, lists[1].port) + "[list]\nper_s = 20\n")
    assert {m.serving.machine_list.asking.pace.second_round_rate for m in world.pools.all()} == {20.0}
    for wire in [*watches, *world.taken.values()]:
        wire.close()
    for each in lists:
        each.close()


def test_routes_wait_for_the_list_of_a_pool_that_is_new(
    make: Make, sockets: LoopbackSockets | VirtualSockets
) -> None:
    found = Peer(sockets)
    world = make()
    world.reload(own_list(found.port, found.port).replace("/menu/x", "/x").replace("= { x", "= { y"))
    world.logged("config-reloaded")
    world.served("old", 0)  # the routes before stand, and nobody is refused meanwhile
    calls = [found.accept(), found.accept()]
    for watch in calls:
        watch.read()
        watch.answer(200, list_body(1, entry("n9", world.nodes[1]), reset=True))
    world.logged("routes", 2)
    world.served("y", 1)
    for watch in calls:
        watch.read()
    world.reload(TWO)
    world.logged("pool-gone", 4)
    assert world.logged("discovery-connection", 2) == ["unsubscribed"] * 2
    for watch in calls:
        watch.close()
    found.close()


def test_a_flooded_pool_leaves_another_its_own_connections(make: Make) -> None:
    world = make(TWO.replace('"b"\n', '"b"\nleast = 2\n'))
    world.run(lambda: setattr(world.pools.budget, "total", 6))
    world.run(lambda: world.pools.router.change_weights("all", {"old": 1}))
    flood = [world.call(more="X-Time-Left-Ms: 3000\r\n") for _ in range(9)]
    world.met(lambda: world.pools.pools["old"].driver.last_id == len(flood))
    held = [world.nodes[0].accept() for _ in range(4)]  # and none is answered
    world.logged("too-many-connections")
    assert world.run(lambda: world.pools.budget.in_use()) == 4
    world.run(lambda: world.pools.router.change_weights("all", {"new": 1}))
    caller = world.call()
    world.at(1).answer(200, b"still")
    assert caller.read()[2] == b"still" and len(held) == 4


def submit_routed(world: PoolsWorld, ident: str) -> RoutedRequest:
    """Return a request that came to its pool within this turn of the reactor."""
    content, now = ForwardedRequest(b"GET /menu HTTP/1.1\r\n", b""), world.reactor.seconds()
    route = world.pools.router.routes["all"]
    request = route.create_request(
        {}, correlation_id=ident, class_name="menu", deadline=now + 5, content=content
    )
    world.sidecar.exchange.submit(request)
    return request


def test_idle_connections_give_way_to_need_but_not_those_that_are_a_pools_own(make: Make) -> None:
    text = TWO.replace('"a"\n', '"a"\nleast = 1\n').replace('"b"\n', '"b"\nleast = 1\n')
    world = make(text)
    world.run(lambda: setattr(world.pools.budget, "total", 4))
    world.run(lambda: world.pools.router.change_weights("all", {"old": 1}))
    callers = [world.call() for _ in range(3)]
    world.wires += [world.nodes[0].accept() for _ in callers]
    for wire in world.wires[-3:]:
        wire.read()
        wire.answer(200)
    assert [caller.read()[0].split()[1] for caller in callers] == ["200"] * 3
    world.met(
        lambda: (
            len(world.pools.pools["old"].connections.idle_connections)
            and not world.sidecar.exchange.open_count
        )
    )
    world.run(lambda: world.pools.router.change_weights("all", {"new": 1}))

    def four_at_once() -> list[int]:
        for n in range(4):
            submit_routed(world, f"b{n}")
        old, new = (world.pools.pools[name].connections for name in ("old", "new"))
        return [sum(map(len, old.idle_connections.values())), len(new.pending_connects)]

    assert world.run(four_at_once) == [1, 3]
    assert world.logged("endpoint-connection", 2) == ["pool-full"] * 2


def test_what_the_callers_side_says_of_a_request_reaches_its_pool(make: Make) -> None:
    world = make()

    class Heard(InertBalancer):
        def handle(self, _now: float, event: i.Event) -> list[i.Action]:
            heard.append(type(event))
            return []

    def all_of_it() -> None:
        for member in world.pools.all():
            member.driver.decision_module = Heard()
        request = submit_routed(world, "x")
        world.sidecar.exchange.mark_committed(request)
        world.sidecar.exchange.withdraw(request)

    heard: list[type] = []
    world.run(all_of_it)
    assert heard == [i.NewRequest, i.Committed, i.RequestAbandoned]


def test_a_request_that_ends_above_its_pool_ends_in_it_and_leaves_no_connect_behind(make: Make) -> None:
    world = make()

    def begin_and_end() -> list[int]:
        request = submit_routed(world, "x")
        counts = [len(request.pool.driver.open_requests), len(request.pool.connections.pending_connects)]
        world.sidecar.exchange.answer(request, Answer(AnswerKind.FAILED))
        counts.append(len(request.pool.driver.open_requests))
        request.pool.close("test")
        return counts

    assert world.run(begin_and_end) == [1, 1, 0]
    world.settle()
    assert world.run(
        lambda: [len(m.pool.connections) + len(m.pool.pending_connects) for m in world.pools.all()]
    ) == [
        0,
        0,
    ]


def test_a_newer_file_drops_what_still_waited_for_its_list_and_none_is_waited_for_without_end(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    world, nobody = make(), Peer(LoopbackSockets())
    nobody.close()
    world.reload(own_list(nobody.port, nobody.port))
    dropped = world.run(lambda: world.pools.all()[2:])
    world.met(
        lambda: all(m.serving.balancer.is_subscription_scheduled for m in dropped)
    )  # each has a timer out, to ask again
    world.reload(TWO)
    assert all(m.is_closed for m in dropped) and len(dropped) == 2
    for member in dropped:
        world.run(partial(member.driver.feed, i.TimerDue(0)))
    assert not any(m.serving.machine_list.is_watching for m in dropped)
    world.served("old", 0)
    monkeypatch.setattr(pool_set, "LIST_WAIT_SECONDS", 0.1)
    world.reload(own_list(nobody.port, nobody.port))
    world.logged("routes", 3)  # the operators' word holds, though nobody tells the lists
    assert world.call().read()[0].split()[1] == "503"


@pytest.mark.parametrize("sockets", ["loopback"], indirect=True)  # no door for operators in virtual time
def test_what_operators_take_offline_is_out_in_the_lists_that_pools_have_of_their_own(
    make: Make, sockets: LoopbackSockets, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    found = Peer(sockets)
    world = make(own_list(found.port, found.port), control=("127.0.0.1", 0))
    watches = [found.accept(), found.accept()]
    for watch in watches:
        watch.read()
        watch.answer(200, list_body(1, entry("own", world.nodes[0]), reset=True))
        watch.read()
    world.served("x", 0, "/menu/x")
    admin = world.sidecar.admin_service
    assert (
        admin is not None
        and not world.run(lambda: admin.take_offline("none"))
        and world.run(lambda: admin.take_offline("own"))
    )
    assert world.logged("endpoint-connection") == ["close-idle"]
    world.reload(own_list(found.port, found.port).replace("pool.x", "pool.z").replace("{ x", "{ z"))
    watches.append(found.accept())  # a pool that comes later holds to it as well
    watches[-1].read()
    watches[-1].answer(200, list_body(1, entry("own", world.nodes[0]), reset=True))
    world.logged("routes", 2)
    for path in ("/menu/x", "/menu"):
        assert world.call(path, more="X-Time-Left-Ms: 300\r\n").read()[0].split()[1] == "503"
    world.settle()
    assert world.codes("endpoint-connection") == ["close-idle"]  # no claim was made for these two
    for wire in [*watches, *world.taken.values()]:
        wire.close()
    found.close()


@pytest.mark.parametrize("sockets", ["loopback"], indirect=True)
def test_what_operators_take_offline_is_out_in_the_pools_of_that_list(
    make: Make, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    world = make(control=("127.0.0.1", 0))
    world.served("old", 0)
    assert world.run(world.sidecar.connections_in_use) == 2  # a caller's and a node's
    assert world.run(
        lambda: world.sidecar.admin_service is not None and world.sidecar.admin_service.take_offline("n0")
    )
    assert world.logged("endpoint-connection") == ["close-idle"]
    assert world.call(more="X-Time-Left-Ms: 300\r\n").read()[0].split()[1] == "503"
    world.settle()
    assert world.codes("endpoint-connection") == ["close-idle"]
    world.run(lambda: world.sidecar.set_connection_limit(100))
    assert world.pools.budget.total == 40
