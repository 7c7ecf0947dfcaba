"""Draws a plan from a scenario and a seed. The same text and seed give the same plan, byte for byte."""

from __future__ import annotations

from itertools import pairwise

from msgspec import structs

from wheatring.lab.plan import (
    CheckPlan,
    ChokePlan,
    ClassPlan,
    ClientPlan,
    DiscoveryPlan,
    GoalPlan,
    KindPlan,
    LimitsPlan,
    NetPlan,
    Plan,
    RulesPlan,
    TierPlan,
    TrafficPlan,
)
from wheatring.lab.scenario.capacity import Summary, capacity, demand, summary
from wheatring.lab.scenario.events import Expansion
from wheatring.lab.scenario.fault_messages import ContradictionError
from wheatring.lab.scenario.fleet import Fleet
from wheatring.lab.scenario.load import LoadedScenario, ScenarioError
from wheatring.lab.scenario.sampler import PlanSampler
from wheatring.lab.scenario.schema import Choke, Kind, Scenario, Tier, Traffic

__all__ = ["Summary", "draw", "summary"]

_DEFAULT_DISCOVERY_CAPACITY = 4.0  # times the load of one list request by each sidecar within `ask_within`


def draw(found: LoadedScenario, seed: int) -> Plan:
    """Draw the plan of a seed. Raises ScenarioError if the drawn values contradict each other."""
    try:
        return _PlanBuilder(found.scenario, PlanSampler(seed)).build(found.name)
    except ContradictionError as error:
        raise ScenarioError(found.where, [error.fault]) from None


class _PlanBuilder:
    def __init__(self, scenario: Scenario, sampler: PlanSampler) -> None:
        self.scenario = scenario
        self.sampler = sampler

    def build(self, name: str) -> Plan:
        """Draw the whole plan."""
        given, sampler = self.scenario, self.sampler
        length, tail = sampler.number("length", given.length), sampler.number("tail", given.tail)
        classes = tuple(sampler.struct(ClassPlan, f"class.{one.name}", one) for one in given.classes)
        tiers = tuple(map(self._tier, given.tiers))
        fleet = Fleet(sampler, given)
        first = tuple(fleet.nodes.values())
        demands = demand(classes, tiers)
        rate = min(available / work for available, work in zip(capacity(first, tiers), demands, strict=True))
        events = Expansion(sampler, given, fleet, length + tail).events
        start = given.sidecar_start
        return Plan(
            scenario=name,
            seed=sampler.seed,
            length=length,
            tail=tail,
            epoch=given.epoch,
            front_notice=sampler.number("front.notice", given.front.notice),
            counted=sampler.number("front.counted", given.front.counted),
            held=sampler.choice("front.held", given.front.held),
            passes_deadline=sampler.choice("passes_deadline", given.passes_deadline),
            classes=classes,
            tiers=tiers,
            nodes=tuple(fleet.nodes.values()),
            sidecars=fleet.sidecars,
            traffic=self._traffic(given.traffic, rate, length),
            net=sampler.struct(NetPlan, "net", given.net),
            clients=sampler.struct(ClientPlan, "clients", given.clients),
            discovery=self._discovery(fleet),
            rules=sampler.struct(RulesPlan, "rules", given.rules),
            limits=sampler.struct(LimitsPlan, "limits", given.limits),
            goal=sampler.struct(GoalPlan, "goal", given.goal),
            check=CheckPlan(**structs.asdict(given.check)),
            events=tuple(events),
            sidecar_start=(start[0], start[1]) if isinstance(start, tuple) else (start, start),
        )

    def _tier(self, given: Tier) -> TierPlan:
        path = f"tier.{given.name}"
        kinds = tuple(self._kind(f"{path}.kind.{kind.name}", kind) for kind in given.kinds)
        return self.sampler.struct(
            TierPlan, path, given, kinds=kinds, choke=self._choke(f"{path}.choke", given.choke)
        )

    def _kind(self, path: str, given: Kind) -> KindPlan:
        cores = self.sampler.integer(f"{path}.cores", given.cores)
        slots = self.sampler.number(f"{path}.slots_per_core", given.slots_per_core)
        queue = self.sampler.number(f"{path}.queue_per_core", given.queue_per_core)
        knee = self.sampler.number(f"{path}.knee_per_core", given.knee_per_core)
        return self.sampler.struct(
            KindPlan, path, given,
            cores=cores, slots=max(1, round(slots * cores)), queue=round(queue * cores), knee=knee * cores,
        )  # fmt: skip

    def _choke(self, path: str, given: Choke | None) -> ChokePlan | None:
        if given is None:
            return None
        share = self.sampler.number(f"{path}.share", given.share)
        is_present = self.sampler.random(f"{path}.there").random() < share
        return self.sampler.struct(ChokePlan, path, given) if is_present else None

    def _traffic(self, given: Traffic, max_rate: float, length: float) -> TrafficPlan:
        """Draw the traffic. `max_rate` is the rate of first tries that saturates the scarcest tier."""
        sampler = self.sampler
        if given.rate is not None:
            rate = sampler.number("traffic.rate", given.rate)
        else:
            rate = float(f"{sampler.number('traffic.load', given.load or 0.0) * max_rate:.6g}")
        points = list(given.points) if given.points is not None else self._shape(given)
        points_to_end = [*points, (1.0, points[-1][1])]  # the last factor holds until the end of the day
        mean = sum((one + other) / 2 * (to - at) for (at, one), (to, other) in pairwise(points_to_end))
        return TrafficPlan(
            rate=rate,
            shape=tuple((round(at * length, 6), float(f"{factor / mean:.9g}")) for at, factor in points),
            burst_cv=sampler.number("traffic.burst_cv", given.burst_cv),
            burst=sampler.number("traffic.burst", given.burst),
        )

    def _shape(self, given: Traffic) -> list[tuple[float, float]]:
        """Return the points (part of the day, factor) of a shape that is given by name."""
        sampler = self.sampler
        shape = sampler.choice("traffic.shape", given.shape)
        swing = sampler.number("traffic.swing", given.swing)
        if shape == "ramp":
            return [(0.0, 1.0 - swing), (1.0, 1.0 + swing)]
        if shape == "steady":
            return [(0.0, 1.0)]
        humps = sampler.integer("traffic.humps", given.humps)
        points = [(0.0, 1.0 - swing)]
        for hump in range(humps):
            random = sampler.random(f"traffic.humps:{hump}")
            points.append(((hump + random.uniform(0.3, 0.7)) / humps, 1.0 + swing * random.uniform(0.6, 1.4)))
            points.append(((hump + 1) / humps, 1.0 - swing))
        return points

    def _discovery(self, fleet: Fleet) -> DiscoveryPlan:
        given, sampler = self.scenario.discovery, self.sampler
        lines_per_call = sampler.number("discovery.call_lines", given.call_lines)
        if given.lines_per_s is not None:
            lines_per_s = sampler.number("discovery.lines_per_s", given.lines_per_s)
        else:
            caller_counts = [len(fleet.sidecars), *map(len, fleet.tiers[:-1])]
            call_lines = sum(
                number * (lines_per_call + len(tier))
                for number, tier in zip(caller_counts, fleet.tiers, strict=True)
            )
            capacity_factor = sampler.number(
                "discovery.capacity", given.capacity or _DEFAULT_DISCOVERY_CAPACITY
            )
            ask_within = sampler.number("rules.ask_within", self.scenario.rules.ask_within)
            lines_per_s = float(f"{capacity_factor * call_lines / ask_within:.6g}")
        return sampler.struct(
            DiscoveryPlan, "discovery", given, call_lines=lines_per_call, lines_per_s=lines_per_s
        )
