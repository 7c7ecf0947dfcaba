"""The environment of the grain `exchange`: the service's core and decisions by direct calls."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from wheatring.config.platform_file import PlatformConfig
from wheatring.lab.direct.links import DirectLinks
from wheatring.lab.direct.node import DirectNode
from wheatring.lab.direct.sidecar import DirectSidecar
from wheatring.lab.direct.sidecar_client import DirectSidecarClient
from wheatring.lab.models.below import Calls
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.machine import Machine
from wheatring.lab.models.visit import Below
from wheatring.lab.plan import EventPlan, NodePlan
from wheatring.lab.world.environment import CLIENTS, DISCOVERY, PORT, side_hosts, zones

if TYPE_CHECKING:
    from wheatring.lab.world.world import World


class DirectEnvironment:
    """The `Environment` of the exchange grain: nodes, sidecars and discovery as plain objects."""

    def __init__(self, world: World) -> None:
        plan = world.plan
        self.world = world
        self.time = world.time
        self.links = DirectLinks(plan.net, zones(plan), world.time, world.random("net"))
        self.hosts = side_hosts(plan)
        most = plan.clients.connections
        callers = {node.name: node.host for node in plan.nodes}
        self.way = DirectSidecarClient(
            world.time,
            self.links,
            world.checker,
            {name: (callers.get(name, CLIENTS), host) for name, host in self.hosts.items()},
            dict.fromkeys((each.name for each in plan.sidecars), most) if most else None,
        )
        self.nodes: dict[str, DirectNode] = {}
        self.listening: dict[str, DirectNode] = {}  # by address: a successor may come to that of one gone
        self.sidecars: dict[str, DirectSidecar] = {}
        self.steps: dict[str, float] = {}  # of hosts' clocks; "" for all of them
        self.registry: Registry

    def open_discovery(self, registry: Registry) -> None:
        """Have sidecars reach the registry."""
        self.registry = registry

    # Nodes

    def below(self, node: NodePlan) -> Below:
        """Return the node's calls through its own sidecar."""
        return Calls(node.name, lambda: self.way, self.world.origins, self.world.sizes(node), self.time)

    def node_up(self, node: NodePlan, machine: Machine) -> None:
        """Have a node accept connections at its address."""
        if node.name not in self.nodes:
            tier = self.world.plan.tiers[node.tier]
            self.nodes[node.name] = DirectNode(
                machine, node.host, tier, self.time, self.links, self.world.checker
            )
        self.listening[f"{node.host}:{PORT}"] = self.nodes[node.name]

    def node_down(self, node: str) -> None:
        """End a node's process: its connections are reset."""
        self.nodes[node].down()

    # Sidecars

    def sidecar_up(self, name: str, told: PlatformConfig, ended: Callable[[], None]) -> None:
        """Start a sidecar's process; `ended` is called once, when it has ended by itself."""
        host = self.hosts[name]

        def over(killed: bool) -> None:
            del self.sidecars[name]
            if not killed:
                ended()

        sidecar = self.sidecars[name] = DirectSidecar(
            name,
            host,
            told.settings,
            told.seed,
            told.known,
            time=self.time,
            unix=lambda: self.unix(host),
            links=self.links,
            nodes=self.listening,
            registry=self.registry,
            discovery=DISCOVERY,
            recorder=self.world.checker,
            client=self.way,
            sockets=told.sockets,
            on_end=over,
        )
        sidecar.start()

    def sidecar_stop(self, name: str) -> None:
        """Send a sidecar SIGTERM."""
        self.sidecars[name].terminate()

    def sidecar_kill(self, name: str) -> None:
        """Kill a sidecar's process at once."""
        self.sidecars[name].kill()

    def unix(self, host: str) -> float:
        """Return a host's Unix time in seconds."""
        return self.world.unix() + self.steps.get(host, 0.0)

    # Faults

    def begin(self, event: EventPlan) -> None:
        """Inject a fault."""
        self.apply_fault(event, True)

    def end(self, event: EventPlan) -> None:
        """End a fault."""
        self.apply_fault(event, False)

    def apply_fault(self, event: EventPlan, on: bool) -> None:
        """Apply a fault to the links or the clocks, or take it away; the world applies faults of machines."""
        if event.kind == "partition":
            (self.links.cut if on else self.links.heal)(event.hosts, event.others, event.one_way)
        elif event.kind == "latency":
            self.links.slow(event.hosts, event.others, event.size if on else 1.0)
        elif event.kind == "clock_step":
            for host in event.hosts or ("",):
                self.steps[host] = self.steps.get(host, 0.0) + (event.size if on else -event.size)

    def vanish(self, node: NodePlan) -> None:
        """Cut a node's hosts off: nothing reaches them or leaves them."""
        for host in self.hosts_of(node):
            self.links.vanish(host)

    def back(self, node: NodePlan) -> None:
        """Connect a node's hosts again; their connections are reset."""
        for host in self.hosts_of(node):
            self.links.back(host)
        self.nodes[node.name].down()
        if node.name in self.sidecars:
            self.sidecars[node.name].reset()

    def hosts_of(self, node: NodePlan) -> list[str]:
        """Return the hosts of a node and of its own sidecar, if it has one."""
        return [node.host, node.side_host] if node.name in self.hosts else [node.host]

    def stepped(self) -> float:
        """Return the seconds by which the clocks of all hosts together have been stepped."""
        return self.steps.get("", 0.0)

    # What is seen of the sidecars

    def whose_turn(self) -> str:
        """Return "": in this grain it is not known whose code runs."""
        return ""

    def left_over(self) -> dict[str, dict[str, int]]:
        """Return, by sidecar, the counts by kind of what an idle sidecar should not have."""
        found = {}
        for name, sidecar in self.sidecars.items():
            jobs = max(sidecar.exchange.open_count, len(sidecar.driver.open_requests), len(sidecar.in_flight))
            found[name] = {
                "jobs": jobs,
                "claims": sum(connection.attempt is not None for connection in sidecar.pool.connections),
            }
        return found
