"""The fleet's plan put together as the daemon does it, by whole fleets in virtual time."""

from __future__ import annotations

import json
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any

from wheatring.fleet.lease.component import FleetComponent, Instant
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet, first_voters
from wheatring.fleet.members.timing import SwimTiming
from wheatring.fleet.peers.agreement import LEADER_SETTINGS, Agreement
from wheatring.fleet.peers.options import PlanOptions
from wheatring.fleet.peers.plan_coordinator import PlanCoordinator
from wheatring.lab.leases.cluster import START_UNIX_MS, Cluster, Node

BASE = {"a": 3, "b": 1}


class World:
    """`formats` are those that some are held to, by name; `offered` is in the file of all."""

    def __init__(self, size: int, offered: bytes = b"") -> None:
        self.formats: dict[str, tuple[int, ...]] = {}
        self.offered = offered
        self.agreed: dict[str, Agreement] = {}
        self.told: list[tuple[float, str, str, dict[str, Any]]] = []
        self.weights: dict[str, dict[str, Mapping[str, int]]] = {}
        self.cluster = Cluster(
            1,
            size,
            VoterSet(first_voters(3)),
            [LEADER_SETTINGS],
            LeaseTiming(),
            SwimTiming(),
            make_components=self.pieces,
        )
        for node in self.cluster.nodes.values():
            self.cluster.schedule(self.cluster.random.random(), self.cluster.start, node)
        self.cluster.run(14)

    def pieces(self, at: Instant, fleet: Fleet) -> list[FleetComponent]:
        name = fleet.me.name

        def weigh(route: str, weights: Mapping[str, int]) -> None:
            self.weights.setdefault(name, {})[route] = dict(weights)

        def tell(event: str, fields: dict[str, Any]) -> None:
            self.told.append((self.cluster.now, name, event, fields))

        self.agreed[name] = Agreement(
            at, fleet, PlanOptions(self.formats.get(name), weigh, tell, self.offered)
        )
        return fleet.components

    def planned(self, name: str) -> PlanCoordinator:
        found = self.agreed[name].plan
        assert found is not None
        return found

    def node(self, name: str) -> Node:
        return self.cluster.nodes[name]

    def offer(self, name: str, body: bytes) -> dict[str, Any]:
        """Push a plan, and wait for its end."""
        node = self.node(name)
        status, said = self.planned(name).offer(self.cluster.instant(node), body)
        assert status == 202, said
        self.cluster.send(node, [])
        push = self.planned(name).plans.proposals.entries[said["push"]]
        for _ in range(300):
            if push.is_final:
                break
            self.cluster.run(self.cluster.now + 0.1)
        return {"state": push.state, "members": {one.member for one in push.reasons}}

    def again(self, name: str, formats: tuple[int, ...] | None) -> None:
        """Kill a member, and restart it as a program that reads just these formats."""
        self.cluster.kill(self.node(name))
        self.formats.pop(name, None)
        if formats is not None:
            self.formats[name] = formats
        self.cluster.start(self.node(name))

    def numbers(self) -> set[int]:
        return {self.planned(name).plans.register.applied.number for name in self.agreed}


def plan(window: float | None = None) -> bytes:
    """`window`: virtual seconds at which its one opens, for 8 s."""
    said: dict[str, Any] = {"format": 1, "routes": [{"name": "all", "weights": BASE}]}
    if window is not None:
        start = datetime.fromtimestamp(START_UNIX_MS / 1000 + window, UTC).strftime("%Y-%m-%dT%H:%M:%S")
        one = {"name": "w", "route": "all", "weights": {"b": 1}, "start": start, "length": 8}
        said.update(format=2, windows=[one])
    return json.dumps(said).encode()


def test_a_plan_is_committed_and_its_window_entered_and_left_by_all_at_once() -> None:
    made = World(8)
    assert made.offer("n5", plan(window=60))["state"] == "settled"
    made.cluster.run(59)
    assert all(made.weights[name] == {"all": BASE} for name in made.agreed)
    made.cluster.run(62)
    assert all(made.weights[name] == {"all": {"b": 1}} for name in made.agreed)
    made.cluster.run(70)
    assert all(made.weights[name] == {"all": BASE} for name in made.agreed)
    entered = [at for at, _, event, _ in made.told if event == "window-entered"]
    assert len(entered) == 8 and max(entered) - min(entered) < 0.05


def test_a_plan_in_the_file_is_offered_where_there_is_none_and_only_there() -> None:
    made = World(6, plan())
    made.cluster.run(40)
    assert made.numbers() == {1}
    assert made.offer("n4", plan(window=400))["state"] == "settled"
    made.again("n5", None)
    made.cluster.run(made.cluster.now + 30)
    assert made.numbers() == {2}


def test_the_floor_keeps_out_who_reads_less_and_stays_where_a_plan_needs_it() -> None:
    made = World(6)
    assert made.offer("n4", plan(window=400))["state"] == "settled"
    leader = next(name for name in made.agreed if made.agreed[name].views.register.is_ready)
    node = made.node(leader)
    planned = made.planned(leader)

    def floor(minimum: int) -> int:
        status, _, out = planned.set_format_floor(made.cluster.instant(node), minimum)
        made.cluster.send(node, out)
        made.cluster.run(made.cluster.now + 3)
        return status

    while floor(2) != 202:  # members are asked first what they can
        assert made.cluster.now < 60
    assert {made.planned(name).skew.minimum_format for name in made.agreed} == {2}
    assert floor(1) == 409
    made.again("n5", (1,))
    made.cluster.run(made.cluster.now + 20)
    views = made.agreed["n5"].views
    assert (
        not views.is_member
        and views.join_deferral is not None
        and "below-floor" in views.join_deferral.reason
    )


def test_a_leader_that_comes_back_older_than_the_plan_does_not_lead() -> None:
    made = World(6)
    assert made.offer("n4", plan(window=400))["state"] == "settled"
    made.again("n0", (1,))
    made.cluster.run(made.cluster.now + 40)
    assert not made.agreed["n0"].views.register.is_ready and not made.agreed["n0"].views.is_member
    assert any(made.agreed[name].views.register.is_ready for name in ("n1", "n2"))
    made.again("n5", None)  # and those who can are let in
    made.cluster.run(made.cluster.now + 20)
    assert made.agreed["n5"].views.is_member
