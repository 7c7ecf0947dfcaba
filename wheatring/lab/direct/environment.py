"""The environment of grain `exchange`: the service's core and balancer, run by direct calls."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from wheatring.daemon.config.platform_file import PlatformConfig
from wheatring.lab.direct.links import DirectLinks
from wheatring.lab.direct.node import DirectNode
from wheatring.lab.direct.sidecar import DirectSidecar, SidecarConfig, SidecarNetwork
from wheatring.lab.direct.sidecar_client import DirectSidecarClient
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.machine import Machine
from wheatring.lab.models.next_tier import NextTierClient
from wheatring.lab.models.received_attempt import NextTierCall
from wheatring.lab.models.traffic import call_work_samplers
from wheatring.lab.plan import EventPlan, NodePlan
from wheatring.lab.world.environment import CLIENTS, DISCOVERY, PORT, sidecar_hosts, zones

if TYPE_CHECKING:
    from wheatring.lab.world.world import World


class DirectEnvironment:
    """The `Environment` of grain `exchange`: nodes, sidecars and discovery as plain objects."""

    def __init__(self, world: World) -> None:
        plan = world.plan
        self.world = world
        self.time = world.time
        self.links = DirectLinks(plan.net, zones(plan), world.time, world.random("net"))
        self.hosts = sidecar_hosts(plan)
        max_connections = plan.clients.connections
        callers = {node.name: node.host for node in plan.nodes}
        self.client_transport = DirectSidecarClient(
            world.time,
            self.links,
            world.checker,
            {name: (callers.get(name, CLIENTS), host) for name, host in self.hosts.items()},
            dict.fromkeys((each.name for each in plan.sidecars), max_connections)
            if max_connections
            else None,
        )
        self.nodes: dict[str, DirectNode] = {}
        self.listening: dict[str, DirectNode] = {}  # by address, which a new node may take over
        self.sidecars: dict[str, DirectSidecar] = {}
        self.clock_steps: dict[str, float] = {}  # seconds by host; "" for all hosts
        self.registry: Registry

    def open_discovery(self, registry: Registry) -> None:
        """Connect sidecars to the registry."""
        self.registry = registry

    # Nodes

    def downstream_client(self, node: NodePlan) -> NextTierCall:
        """Return the client by which a node calls the next tier through its own sidecar."""
        return NextTierClient(
            node.name,
            lambda: self.client_transport,
            self.world.origins,
            call_work_samplers(self.world.plan, node),
            self.time,
        )

    def node_up(self, node: NodePlan, machine: Machine) -> None:
        """Start a node's server at its address."""
        if node.name not in self.nodes:
            tier = self.world.plan.tiers[node.tier]
            self.nodes[node.name] = DirectNode(
                machine, node.host, tier, self.time, self.links, self.world.checker
            )
        self.listening[f"{node.host}:{PORT}"] = self.nodes[node.name]

    def node_down(self, node: str) -> None:
        """End a node's process: its connections are reset."""
        self.nodes[node].reset_connections()

    # Sidecars

    def sidecar_up(self, name: str, config: PlatformConfig, on_exit: Callable[[], None]) -> None:
        """Start a sidecar's process; `on_exit` is called once, when it has exited without being killed."""
        host = self.hosts[name]

        def on_end(killed: bool) -> None:
            """Remove the sidecar, and report its exit unless it was killed."""
            del self.sidecars[name]
            if not killed:
                on_exit()

        sidecar = self.sidecars[name] = DirectSidecar(
            name,
            host,
            SidecarConfig(config.settings, config.seed, config.known, config.sockets),
            SidecarNetwork(self.links, self.listening, self.registry, DISCOVERY, self.client_transport),
            time=self.time,
            unix=lambda: self.unix(host),
            recorder=self.world.checker,
            on_end=on_end,
        )
        sidecar.start()

    def sidecar_stop(self, name: str) -> None:
        """Send a sidecar SIGTERM."""
        self.sidecars[name].terminate()

    def sidecar_kill(self, name: str) -> None:
        """Kill a sidecar's process."""
        self.sidecars[name].kill()

    def unix(self, host: str) -> float:
        """Return a host's Unix time in seconds."""
        return self.world.unix_time() + self.clock_steps.get(host, 0.0)

    # Faults

    def start_fault(self, event: EventPlan) -> None:
        """Inject a fault."""
        self.apply_fault(event, True)

    def end_fault(self, event: EventPlan) -> None:
        """End a fault."""
        self.apply_fault(event, False)

    def apply_fault(self, event: EventPlan, on: bool) -> None:
        """Start or end a fault of the links or the clocks; the world applies faults of machines."""
        if event.kind == "partition":
            (self.links.cut if on else self.links.heal)(event.hosts, event.others, event.one_way)
        elif event.kind == "latency":
            self.links.slow(event.hosts, event.others, event.size if on else 1.0)
        elif event.kind == "clock_step":
            for host in event.hosts or ("",):
                self.clock_steps[host] = self.clock_steps.get(host, 0.0) + (event.size if on else -event.size)

    def isolate_node(self, node: NodePlan) -> None:
        """Isolate a node's hosts from the network."""
        for host in self.hosts_of(node):
            self.links.isolate(host)

    def reconnect_node(self, node: NodePlan) -> None:
        """Connect a node's hosts again; their connections are reset."""
        for host in self.hosts_of(node):
            self.links.reconnect(host)
        self.nodes[node.name].reset_connections()
        if node.name in self.sidecars:
            self.sidecars[node.name].reset()

    def hosts_of(self, node: NodePlan) -> list[str]:
        """Return the hosts of a node and of its own sidecar, if it has one."""
        return [node.host, node.side_host] if node.name in self.hosts else [node.host]

    def clock_step(self) -> float:
        """Return the seconds by which the clocks of all hosts together have been stepped."""
        return self.clock_steps.get("", 0.0)

    # Observation of the sidecars

    def active_sidecar(self) -> str:
        """Return "", as this grain does not track whose code is running."""
        return ""

    def leftovers(self) -> dict[str, dict[str, int]]:
        """Return, by sidecar and kind, the counts of resources that an idle sidecar should have released."""
        found = {}
        for name, sidecar in self.sidecars.items():
            open_requests = max(
                sidecar.exchange.open_count, len(sidecar.driver.open_requests), len(sidecar.in_flight)
            )
            found[name] = {
                "jobs": open_requests,
                "claims": sum(connection.attempt is not None for connection in sidecar.pool.connections),
            }
        return found
