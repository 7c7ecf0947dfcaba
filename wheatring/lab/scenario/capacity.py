"""The capacity of a plan's machines, the expected load on them, and a summary of a plan."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from msgspec import Struct

from wheatring.lab.plan import ClassPlan, NodePlan, Plan, TierPlan


class TierSummary(Struct, frozen=True):
    """Figures of one tier."""

    name: str
    nodes: int  # nodes that run from the start
    later: int  # nodes that are started during the day
    capacity: (
        float  # of the nodes that run from the start, all warm: work (seconds on a standard core) a second
    )
    offered: float  # mean work a second over the day, without retries
    calls: float  # calls a second

    @property
    def load(self) -> float:
        """The offered work as a share of the capacity."""
        return self.offered / self.capacity


class Summary(Struct, frozen=True):
    """Figures of one plan."""

    scenario: str
    seed: int
    length: float
    rate: float  # mean first tries a second over the day
    requests: int  # expected number of first tries
    sidecars: int  # number of the front's sidecars
    tiers: tuple[TierSummary, ...]
    events: dict[str, int]  # number of events by kind

    def lines(self) -> list[str]:
        """Return the summary as lines of text."""
        lines = [
            f"{self.scenario}, seed {self.seed}: {self.length:g} s, {self.rate:.1f} requests a second "
            f"(about {self.requests} in all), {self.sidecars} sidecars in front"
        ]
        for tier in self.tiers:
            later = f" and {tier.later} later" if tier.later else ""
            lines.append(
                f"  {tier.name}: {tier.nodes} nodes{later}, {tier.capacity:.1f} work/s, "
                f"{tier.offered:.1f} offered ({tier.load:.0%}) in {tier.calls:.0f} calls/s"
            )
        lines.append("  events: " + (", ".join(f"{n} {kind}" for kind, n in self.events.items()) or "none"))
        return lines


def capacity(nodes: Iterable[NodePlan], tiers: Sequence[TierPlan]) -> list[float]:
    """Return the capacity of each tier's machines that run from the start, warm and without pauses.

    The unit is work a second.
    """
    totals = [0.0] * len(tiers)
    for node in nodes:
        if node.up:
            totals[node.tier] += node.speed * tiers[node.tier].kinds[node.kind].cores
    return totals


def visits(tiers: Sequence[TierPlan]) -> list[float]:
    """Return the mean number of calls to each tier for one first try that is served without a retry."""
    counts: list[float] = []
    for tier in tiers:
        counts.append((counts[-1] if counts else 1.0) * tier.calls)
    return counts


def demand(classes: Sequence[ClassPlan], tiers: Sequence[TierPlan]) -> list[float]:
    """Return the mean work of one first try at each tier, in seconds on a standard core."""
    mean = sum(one.share * one.work for one in classes) / sum(one.share for one in classes)
    return [mean * tier.work * times for tier, times in zip(tiers, visits(tiers), strict=True)]


def summary(plan: Plan) -> Summary:
    """Return the summary of a plan."""
    capacities = capacity(plan.nodes, plan.tiers)
    demands = demand(plan.classes, plan.tiers)
    calls = visits(plan.tiers)
    now = Counter(node.tier for node in plan.nodes if node.up)
    later = Counter(node.tier for node in plan.nodes if not node.up)
    rate = plan.traffic.rate
    return Summary(
        scenario=plan.scenario,
        seed=plan.seed,
        length=plan.length,
        rate=rate,
        requests=round(rate * plan.length),
        sidecars=len(plan.sidecars),
        tiers=tuple(
            TierSummary(
                tier.name,
                now[index],
                later[index],
                capacities[index],
                rate * demands[index],
                rate * calls[index],
            )
            for index, tier in enumerate(plan.tiers)
        ),
        events=dict(Counter(event.kind for event in plan.events)),
    )
