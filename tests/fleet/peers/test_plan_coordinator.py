"""Plans in simulated fleets, with the components assembled as in the daemon."""

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


class PlanFleet:
    """A simulated fleet with plans.

    `formats` restricts the plan formats of single members, by name. `first_plan` is the plan in the
    configuration file of all members.
    """

    def __init__(self, size: int, first_plan: bytes = b"") -> None:
        self.formats: dict[str, tuple[int, ...]] = {}
        self.first_plan = first_plan
        self.agreements: dict[str, Agreement] = {}
        self.events: list[tuple[float, str, str, dict[str, Any]]] = []
        self.weights: dict[str, dict[str, Mapping[str, int]]] = {}
        self.cluster = Cluster(
            1,
            size,
            VoterSet(first_voters(3)),
            [LEADER_SETTINGS],
            LeaseTiming(),
            SwimTiming(),
            make_components=self.make_components,
        )
        for node in self.cluster.nodes.values():
            self.cluster.schedule(self.cluster.random.random(), self.cluster.start, node)
        self.cluster.run(14)

    def make_components(self, at: Instant, fleet: Fleet) -> list[FleetComponent]:
        name = fleet.me.name

        def set_weights(route: str, weights: Mapping[str, int]) -> None:
            self.weights.setdefault(name, {})[route] = dict(weights)

        def log(event: str, fields: dict[str, Any]) -> None:
            self.events.append((self.cluster.now, name, event, fields))

        self.agreements[name] = Agreement(
            at, fleet, PlanOptions(self.formats.get(name), set_weights, log, self.first_plan)
        )
        return fleet.components

    def coordinator(self, name: str) -> PlanCoordinator:
        coordinator = self.agreements[name].plan
        assert coordinator is not None
        return coordinator

    def node(self, name: str) -> Node:
        return self.cluster.nodes[name]

    def offer(self, name: str, body: bytes) -> dict[str, Any]:
        """Propose a plan, and wait until its proposal is final."""
        node = self.node(name)
        http_status, answer = self.coordinator(name).offer(self.cluster.instant(node), body)
        assert http_status == 202, answer
        self.cluster.send(node, [])
        proposal = self.coordinator(name).plans.proposals.entries[answer["push"]]
        for _ in range(300):
            if proposal.is_final:
                break
            self.cluster.run(self.cluster.now + 0.1)
        return {"state": proposal.state, "members": {reason.member for reason in proposal.reasons}}

    def restart(self, name: str, formats: tuple[int, ...] | None) -> None:
        """Kill a member, and start it again with support for these formats only; None for all."""
        self.cluster.kill(self.node(name))
        self.formats.pop(name, None)
        if formats is not None:
            self.formats[name] = formats
        self.cluster.start(self.node(name))

    def applied_numbers(self) -> set[int]:
        return {self.coordinator(name).plans.register.applied.number for name in self.agreements}


def plan(window: float | None = None) -> bytes:
    """Return an encoded plan; with `window` it has a window that opens then, in virtual seconds, for 8 s."""
    document: dict[str, Any] = {"format": 1, "routes": [{"name": "all", "weights": BASE}]}
    if window is not None:
        start = datetime.fromtimestamp(START_UNIX_MS / 1000 + window, UTC).strftime("%Y-%m-%dT%H:%M:%S")
        window_table = {"name": "w", "route": "all", "weights": {"b": 1}, "start": start, "length": 8}
        document.update(format=2, windows=[window_table])
    return json.dumps(document).encode()


def test_all_members_enter_and_leave_a_window_of_the_plan_simultaneously() -> None:
    fleet = PlanFleet(8)
    assert fleet.offer("n5", plan(window=60))["state"] == "settled"
    fleet.cluster.run(59)
    assert all(fleet.weights[name] == {"all": BASE} for name in fleet.agreements)
    fleet.cluster.run(62)
    assert all(fleet.weights[name] == {"all": {"b": 1}} for name in fleet.agreements)
    fleet.cluster.run(70)
    assert all(fleet.weights[name] == {"all": BASE} for name in fleet.agreements)
    entered = [at for at, _, event, _ in fleet.events if event == "window-entered"]
    assert len(entered) == 8 and max(entered) - min(entered) < 0.05


def test_the_plan_of_the_file_is_proposed_only_if_the_fleet_has_none() -> None:
    fleet = PlanFleet(6, plan())
    fleet.cluster.run(40)
    assert fleet.applied_numbers() == {1}
    assert fleet.offer("n4", plan(window=400))["state"] == "settled"
    fleet.restart("n5", None)
    fleet.cluster.run(fleet.cluster.now + 30)
    assert fleet.applied_numbers() == {2}


def test_the_minimum_format_excludes_older_members_and_is_at_least_the_plans_format() -> None:
    fleet = PlanFleet(6)
    assert fleet.offer("n4", plan(window=400))["state"] == "settled"
    leader = next(name for name in fleet.agreements if fleet.agreements[name].views.register.is_ready)
    node = fleet.node(leader)
    coordinator = fleet.coordinator(leader)

    def set_minimum(minimum: int) -> int:
        http_status, _, outgoing = coordinator.set_format_floor(fleet.cluster.instant(node), minimum)
        fleet.cluster.send(node, outgoing)
        fleet.cluster.run(fleet.cluster.now + 3)
        return http_status

    while set_minimum(2) != 202:  # the members' capabilities have to be collected first
        assert fleet.cluster.now < 60
    assert {fleet.coordinator(name).checker.minimum_format for name in fleet.agreements} == {2}
    assert set_minimum(1) == 409
    fleet.restart("n5", (1,))
    fleet.cluster.run(fleet.cluster.now + 20)
    views = fleet.agreements["n5"].views
    assert (
        not views.is_member
        and views.join_deferral is not None
        and "below-floor" in views.join_deferral.reason
    )


def test_a_leader_restarted_without_support_for_the_plan_does_not_lead() -> None:
    fleet = PlanFleet(6)
    assert fleet.offer("n4", plan(window=400))["state"] == "settled"
    fleet.restart("n0", (1,))
    fleet.cluster.run(fleet.cluster.now + 40)
    assert not fleet.agreements["n0"].views.register.is_ready and not fleet.agreements["n0"].views.is_member
    assert any(fleet.agreements[name].views.register.is_ready for name in ("n1", "n2"))
    fleet.restart("n5", None)  # a compatible member is admitted
    fleet.cluster.run(fleet.cluster.now + 20)
    assert fleet.agreements["n5"].views.is_member
