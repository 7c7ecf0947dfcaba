"""What a plan's machines can do, what is asked of them, and the numbers that a person wants of a plan."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from msgspec import Struct

from wheatring.lab.plan import ClassPlan, NodePlan, Plan, TierPlan


class TierSummary(Struct, frozen=True):
    """The numbers of one tier."""

    name: str
    nodes: int  # that run at the start
    later: int  # that are started on the way
    capacity: float  # of those at the start, all warm, in work (seconds on a standard core) a second
    offered: float  # work a second, without retries and on the mean of the day
    calls: float  # a second

    @property
    def load(self) -> float:
        """The part of the capacity that is asked for."""
        return self.offered / self.capacity


class Summary(Struct, frozen=True):
    """The numbers of one plan."""

    scenario: str
    seed: int
    length: float
    rate: float  # first tries a second, on the mean of the day
    requests: int  # first tries to expect
    sidecars: int  # of the front
    tiers: tuple[TierSummary, ...]
    events: dict[str, int]  # by kind

    def lines(self) -> list[str]:
        """Return lines for a person."""
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
    """Return the work a second of each tier's machines that run at the start, warm and with no pauses."""
    total = [0.0] * len(tiers)
    for node in nodes:
        if node.up:
            total[node.tier] += node.speed * tiers[node.tier].kinds[node.kind].cores
    return total


def visits(tiers: Sequence[TierPlan]) -> list[float]:
    """Return the visits to each tier for one first try that is served at once."""
    made: list[float] = []
    for tier in tiers:
        made.append((made[-1] if made else 1.0) * tier.calls)
    return made


def demand(classes: Sequence[ClassPlan], tiers: Sequence[TierPlan]) -> list[float]:
    """Return the work that one first try asks of each tier on the mean, in seconds on a standard core."""
    mean = sum(one.share * one.work for one in classes) / sum(one.share for one in classes)
    return [mean * tier.work * times for tier, times in zip(tiers, visits(tiers), strict=True)]


def summary(plan: Plan) -> Summary:
    """Return the numbers that a person wants of a plan."""
    able = capacity(plan.nodes, plan.tiers)
    asked = demand(plan.classes, plan.tiers)
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
                tier.name, now[place], later[place], able[place], rate * asked[place], rate * calls[place]
            )
            for place, tier in enumerate(plan.tiers)
        ),
        events=dict(Counter(event.kind for event in plan.events)),
    )
