"""The machines of a day: the first ones, those that come in their place, and from when on each runs."""

from __future__ import annotations

from math import exp, inf, log, sqrt

from wheatring.lab.plan import NodePlan, SidecarPlan
from wheatring.lab.scenario.checks import FRONT, high
from wheatring.lab.scenario.fault_messages import ContradictionError, Fault
from wheatring.lab.scenario.sampler import PlanSampler, apportion
from wheatring.lab.scenario.schema import Scenario

_SETTLE_SECONDS = 0.05  # after its return, for which a machine is left alone
_FIRST_NET = 16  # the first tier's addresses are in 127.16.0.0/16, the next one's in the net after it
_MAX_MACHINES = 250 * 256  # addresses of a net that are used


def _host(net: int, number: int) -> str:
    return f"127.{net}.{number // 250}.{number % 250 + 1}"


class Fleet:
    """`free` and `sidecar_free` say from when on one runs with nothing planned that takes it down again."""

    def __init__(self, sampler: PlanSampler, scenario: Scenario) -> None:
        self.sampler = sampler
        self.scenario = scenario
        self.nodes: dict[str, NodePlan] = {}
        self.tiers: list[list[str]] = []  # names of its machines, in the order in which they are planned
        self.free: dict[str, float] = {}
        self.sidecar_free: dict[str, float] = {}
        self._start_up = high(scenario.sidecar_start) + _SETTLE_SECONDS
        self._cells: list[int] = []
        self._speeds: list[list[tuple[float, float]]] = []  # mean and cv of each kind
        self._shares: list[list[float]] = []
        self.sidecars = self._front()
        self._front_hosts = {one.name: one.host for one in self.sidecars}
        for tier in range(len(scenario.tiers)):
            self._first(tier)

    def _front(self) -> tuple[SidecarPlan, ...]:
        front, zones = self.scenario.front, self.scenario.zones
        made = []
        for number in range(self.sampler.integer("front.sidecars", front.sidecars)):
            name = f"{FRONT}-{number + 1}"
            start = self.sampler.number(f"front.starts:{name}", front.starts)
            zone = zones[number % len(zones)]
            made.append(SidecarPlan(name=name, host=_host(1, number), zone=zone, start=start))
            self.sidecar_free[name] = start + self._start_up
        return tuple(made)

    def _first(self, tier: int) -> None:
        """Add a tier's machines that run from the start on."""
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
        # Kinds are assigned in a drawn order, so that a name says nothing about the machine.
        dealt_to = dict(zip(sampler.order(f"{path}.kinds", names), kind_of, strict=True))
        random = sampler.random(f"{path}.speeds")
        for name in names:
            self._add(tier, name, dealt_to[name], random.gauss(0.0, 1.0), 0.0)

    def _add(
        self,
        tier: int,
        name: str,
        kind: int,
        normal: float,
        start: float,
        like: NodePlan | None = None,
        host: str = "",
    ) -> None:
        """Add a machine that runs from the start on, or is started at an instant in the place of `like`.

        `normal` is the draw of its speed, from the standard normal distribution.
        """
        number = len(self.tiers[tier])
        mean, cv = self._speeds[tier][kind]
        sigma = sqrt(log(1 + cv * cv))
        zones = self.scenario.zones
        if number >= _MAX_MACHINES:
            raise ContradictionError(Fault(f"tier.{self.scenario.tiers[tier].name}", "runs out of addresses"))
        self.nodes[name] = NodePlan(
            name=name,
            tier=tier,
            kind=kind,
            speed=float(f"{mean * exp(sigma * normal - sigma * sigma / 2):.6g}"),
            host=host or _host(_FIRST_NET + tier, number),
            cell=like.cell if like else number // self._cells[tier],
            zone=like.zone if like else zones[number % len(zones)],
            up=start == 0.0,
        )
        self.tiers[tier].append(name)
        self.restart(name, start)

    def _normal(self, tier: int, name: str) -> float:
        return self.sampler.random(f"tier.{self.scenario.tiers[tier].name}.speed:{name}").gauss(0.0, 1.0)

    def add_successor(self, name: str, start: float, same_address: bool) -> str:
        """Add a machine in the place of one that ends, of its kind, and return its name."""
        like = self.nodes[name]
        place, _, generation = name.partition(".")
        new = f"{place}.{int(generation or 1) + 1}"
        normal = self._normal(like.tier, new)
        self._add(like.tier, new, like.kind, normal, start, like, like.host if same_address else "")
        self.free[name] = self.sidecar_free[name] = inf
        return new

    def add_newcomer(self, tier: int, start: float) -> str:
        """Add a machine to a tier, and return its name."""
        given = self.scenario.tiers[tier]
        name = f"{given.name}-{1 + sum('.' not in other for other in self.tiers[tier])}"
        kinds = range(len(given.kinds))
        random = self.sampler.random(f"tier.{given.name}.kind:{name}")
        kind = random.choices(kinds, self._shares[tier])[0]
        self._add(tier, name, kind, self._normal(tier, name), start)
        return name

    def restart(self, name: str, start: float) -> None:
        """Let a machine start, or start again, at an instant; infinite: never."""
        self.free[name] = start + _SETTLE_SECONDS if start else 0.0
        self.sidecar_free[name] = start + self._start_up

    def restart_sidecar(self, name: str, start: float) -> None:
        """Let a sidecar start, or start again, at an instant."""
        self.sidecar_free[name] = start + self._start_up

    def running(self, tier: int, at: float) -> list[str]:
        """Return a tier's machines that run at an instant."""
        return [name for name in self.tiers[tier] if self.free[name] <= at]

    def sidecars_running(self, tier: int | None, at: float) -> list[str]:
        """Return the front's sidecars that run at an instant, or a tier's machines whose own does."""
        names = [one.name for one in self.sidecars] if tier is None else self.running(tier, at)
        return [name for name in names if self.sidecar_free[name] <= at]

    def side_host(self, name: str) -> str:
        """Return the host of a sidecar, by its name: of the front, or a machine's own."""
        node = self.nodes.get(name)
        return self._front_hosts[name] if node is None else node.side_host

    def hosts(self, name: str) -> tuple[str, ...]:
        """Return the hosts of a machine and its own sidecar, if it has one, or of a sidecar of the front."""
        node = self.nodes.get(name)
        if node is None:
            return (self._front_hosts[name],)
        return (node.host, node.side_host) if node.tier + 1 < len(self.tiers) else (node.host,)
