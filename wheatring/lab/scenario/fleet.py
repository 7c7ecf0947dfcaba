"""The machines of a day: initial machines, added ones and replacements, and when each is available."""

from __future__ import annotations

from math import exp, inf, log, sqrt

from wheatring.lab.plan import NodePlan, SidecarPlan
from wheatring.lab.scenario.checks import FRONT, high
from wheatring.lab.scenario.fault_messages import ContradictionError, Fault
from wheatring.lab.scenario.sampler import PlanSampler, apportion
from wheatring.lab.scenario.schema import Scenario

_SETTLE_SECONDS = 0.05  # no event affects a machine for this long after its start
_FIRST_NET = 16  # the first tier is in 127.16.0.0/16, the second one in 127.17.0.0/16, and so on
_MAX_MACHINES = 250 * 256  # the number of addresses used in one net


def _host(net: int, number: int) -> str:
    return f"127.{net}.{number // 250}.{number % 250 + 1}"


class Fleet:
    """The machines and sidecars of a day while its events are expanded.

    `available_from` and `sidecar_available_from` have, by name, the instant from which a machine or a sidecar
    runs and no event expanded so far takes it down.
    """

    def __init__(self, sampler: PlanSampler, scenario: Scenario) -> None:
        self.sampler = sampler
        self.scenario = scenario
        self.nodes: dict[str, NodePlan] = {}
        self.tiers: list[list[str]] = []  # by tier: names of its machines, in the order of addition
        self.available_from: dict[str, float] = {}
        self.sidecar_available_from: dict[str, float] = {}
        self._startup_seconds = high(scenario.sidecar_start) + _SETTLE_SECONDS
        self._cells: list[int] = []
        self._speeds: list[list[tuple[float, float]]] = []  # by tier and kind: mean and cv of the speed
        self._shares: list[list[float]] = []
        self.sidecars = self._create_front_sidecars()
        self._front_hosts = {one.name: one.host for one in self.sidecars}
        for tier in range(len(scenario.tiers)):
            self._add_initial_machines(tier)

    def _create_front_sidecars(self) -> tuple[SidecarPlan, ...]:
        front, zones = self.scenario.front, self.scenario.zones
        sidecars = []
        for number in range(self.sampler.integer("front.sidecars", front.sidecars)):
            name = f"{FRONT}-{number + 1}"
            start = self.sampler.number(f"front.starts:{name}", front.starts)
            zone = zones[number % len(zones)]
            sidecars.append(SidecarPlan(name=name, host=_host(1, number), zone=zone, start=start))
            self.sidecar_available_from[name] = start + self._startup_seconds
        return tuple(sidecars)

    def _add_initial_machines(self, tier: int) -> None:
        """Add a tier's machines that run from the start."""
        given, sampler = self.scenario.tiers[tier], self.sampler
        path = f"tier.{given.name}"
        if given.nodes is not None:
            size = sampler.integer(f"{path}.nodes", given.nodes)
        else:
            size = max(1, round(sampler.number(f"{path}.times", given.times or 1.0) * len(self.tiers[0])))
        kinds = [(f"{path}.kind.{kind.name}", kind) for kind in given.kinds]
        self._shares.append([sampler.number(f"{at}.share", kind.share) for at, kind in kinds])
        self._speeds.append(
            [
                (sampler.number(f"{at}.speed", kind.speed), sampler.number(f"{at}.speed_cv", kind.speed_cv))
                for at, kind in kinds
            ]
        )
        self._cells.append(sampler.integer(f"{path}.cell_size", given.cell_size))
        self.tiers.append([])
        names = [f"{given.name}-{number}" for number in range(1, size + 1)]
        parts = apportion(size, self._shares[tier])
        kind_of = [kind for kind, number in enumerate(parts) for _ in range(number)]
        # Kinds are assigned in a random order, so that a name reveals nothing about the machine.
        kind_by_name = dict(zip(sampler.order(f"{path}.kinds", names), kind_of, strict=True))
        random = sampler.random(f"{path}.speeds")
        for name in names:
            self._add_machine(tier, name, kind_by_name[name], random.gauss(0.0, 1.0), 0.0)

    def _add_machine(
        self,
        tier: int,
        name: str,
        kind: int,
        normal: float,
        start: float,
        replaced: NodePlan | None = None,
        host: str = "",
    ) -> None:
        """Add a machine that runs from the start, or is started later as a replacement of `replaced`.

        `normal` is the draw for its speed from the standard normal distribution.
        """
        number = len(self.tiers[tier])
        mean, cv = self._speeds[tier][kind]
        sigma = sqrt(log(1 + cv * cv))
        zones = self.scenario.zones
        if number >= _MAX_MACHINES:
            raise ContradictionError(
                Fault(f"tier.{self.scenario.tiers[tier].name}", "has more machines than addresses")
            )
        self.nodes[name] = NodePlan(
            name=name,
            tier=tier,
            kind=kind,
            speed=float(f"{mean * exp(sigma * normal - sigma * sigma / 2):.6g}"),
            host=host or _host(_FIRST_NET + tier, number),
            cell=replaced.cell if replaced else number // self._cells[tier],
            zone=replaced.zone if replaced else zones[number % len(zones)],
            up=start == 0.0,
        )
        self.tiers[tier].append(name)
        self.restart(name, start)

    def _draw_speed_normal(self, tier: int, name: str) -> float:
        return self.sampler.random(f"tier.{self.scenario.tiers[tier].name}.speed:{name}").gauss(0.0, 1.0)

    def add_replacement(self, name: str, start: float, same_address: bool) -> str:
        """Add a machine of the same kind that replaces one that ends, and return its name."""
        replaced = self.nodes[name]
        base_name, _, generation = name.partition(".")
        new_name = f"{base_name}.{int(generation or 1) + 1}"
        normal = self._draw_speed_normal(replaced.tier, new_name)
        self._add_machine(
            replaced.tier,
            new_name,
            replaced.kind,
            normal,
            start,
            replaced,
            replaced.host if same_address else "",
        )
        self.available_from[name] = self.sidecar_available_from[name] = inf
        return new_name

    def add_node(self, tier: int, start: float) -> str:
        """Add a machine to a tier, and return its name."""
        given = self.scenario.tiers[tier]
        name = f"{given.name}-{1 + sum('.' not in other for other in self.tiers[tier])}"
        kinds = range(len(given.kinds))
        random = self.sampler.random(f"tier.{given.name}.kind:{name}")
        kind = random.choices(kinds, self._shares[tier])[0]
        self._add_machine(tier, name, kind, self._draw_speed_normal(tier, name), start)
        return name

    def restart(self, name: str, start: float) -> None:
        """Record that a machine starts or restarts at an instant; an infinite instant means never."""
        self.available_from[name] = start + _SETTLE_SECONDS if start else 0.0
        self.sidecar_available_from[name] = start + self._startup_seconds

    def restart_sidecar(self, name: str, start: float) -> None:
        """Record that a sidecar starts or restarts at an instant."""
        self.sidecar_available_from[name] = start + self._startup_seconds

    def running(self, tier: int, at: float) -> list[str]:
        """Return a tier's machines that run at an instant."""
        return [name for name in self.tiers[tier] if self.available_from[name] <= at]

    def sidecars_running(self, tier: int | None, at: float) -> list[str]:
        """Return the front's sidecars that run at an instant, or a tier's machines whose sidecar runs."""
        names = [one.name for one in self.sidecars] if tier is None else self.running(tier, at)
        return [name for name in names if self.sidecar_available_from[name] <= at]

    def side_host(self, name: str) -> str:
        """Return the host of a sidecar of the front or of a machine."""
        node = self.nodes.get(name)
        return self._front_hosts[name] if node is None else node.side_host

    def hosts(self, name: str) -> tuple[str, ...]:
        """Return the hosts of a machine and its sidecar, if it has one, or of a sidecar of the front."""
        node = self.nodes.get(name)
        if node is None:
            return (self._front_hosts[name],)
        return (node.host, node.side_host) if node.tier + 1 < len(self.tiers) else (node.host,)
