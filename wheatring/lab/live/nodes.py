"""Simulated endpoints, each with an address of its own. All of them run in this process.

A single process gives the events of a run a total order. To a sidecar the end of an endpoint looks like the
exit of a process: its ports are closed and its connections are reset. On loopback the source address of a
connection does not identify the caller, so an endpoint has a separate port for each sidecar that may call it,
and each sidecar gets a list with its own ports.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from wheatring.daemon.core.clock import Clock
from wheatring.lab.correlation import CorrelationTable
from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.live.links.link_controller import LinkController
from wheatring.lab.models.deduplication import EffectDeduplicator
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.endpoint_list_history import RegisteredNode
from wheatring.lab.models.machine import Machine
from wheatring.lab.models.machine_spec import MachineServices, MachineSpec
from wheatring.lab.models.next_tier import NextTierClient
from wheatring.lab.models.traffic import call_work_samplers
from wheatring.lab.plan import EventPlan, NodePlan, Plan
from wheatring.lab.wire.node_server import NodeNetwork, NodeServer
from wheatring.lab.wire.request_format import RequestFormat
from wheatring.lab.wire.sidecar_client import SidecarClient

BACKLOG = 511
AddressLookup = Callable[[str], tuple[str, int]]  # from a sidecar's name to its address


class Node:
    """One endpoint: its simulated machine, and its listening ports."""

    def __init__(self, plan: NodePlan, machine: Machine) -> None:
        self.plan = plan
        self.machine = machine
        self.servers: dict[str, NodeServer] = {}  # by the name of the calling sidecar
        self.listeners: list[Any] = []

    def reset(self) -> None:
        """Reset all connections."""
        for server in self.servers.values():
            server.reset()


class Nodes:
    """All endpoints of a plan. `sidecar_address` returns the address of a sidecar."""

    def __init__(
        self,
        reactor: Any,
        plan: Plan,
        clock: Clock,
        correlation_table: CorrelationTable,
        recorder: EventRecorder,
        registry: Registry,
        sidecar_address: AddressLookup,
        links: LinkController | None = None,
    ) -> None:
        self.links = links
        self.reactor = reactor
        self.plan = plan
        self.clock = clock
        self.correlation_table = correlation_table
        self.registry = registry
        self.request_format = RequestFormat(plan.classes)
        self.recorder = recorder
        self.sidecar_address = sidecar_address
        self.ports: dict[tuple[str, str], int] = {}  # by host and sidecar; reused when a node listens again
        self.hosts = {node.name: node.host for node in plan.nodes}
        self.callers: list[list[tuple[str, str]]] = [
            [(sidecar.name, sidecar.zone) for sidecar in plan.sidecars]
        ]
        for tier in range(len(plan.tiers) - 1):
            self.callers.append([(node.name, node.zone) for node in plan.nodes if node.tier == tier])
        self.next_tier_clients: dict[str, SidecarClient] = {}  # from running nodes to their own sidecars
        deduplicator = EffectDeduplicator(clock, plan.classes, recorder)
        self.nodes = {node.name: self._node(node, deduplicator) for node in plan.nodes}
        self.on_crash: Callable[[str], object] = lambda _name: None

    def _node(self, node: NodePlan, deduplicator: EffectDeduplicator) -> Node:
        plan, tier = self.plan, self.plan.tiers[node.tier]
        client = None
        if node.tier + 1 < len(plan.tiers):
            samplers = call_work_samplers(plan, node)
            find_transport = partial(self.next_tier_clients.get, node.name)
            client = NextTierClient(node.name, find_transport, self.correlation_table, samplers, self.clock)
        services = MachineServices(
            timers=self.clock,
            random=Random(f"{plan.seed}:node:{node.name}"),
            correlation_table=self.correlation_table,
            recorder=self.recorder,
            call_next_tier=client,
            deduplicator=deduplicator,
        )
        machine = Machine(MachineSpec.from_plan(plan, node), services)
        machine.on_crash = partial(self._handle_crash, node.name)
        created = Node(node, machine)
        for sidecar, zone in self.callers[node.tier]:
            round_trip = 2 * (plan.net.same if zone == node.zone else plan.net.cross)
            network = NodeNetwork(partial(_fixed_sidecar, sidecar), partial(_fixed_delay, round_trip))
            created.servers[sidecar] = NodeServer(
                machine, tier, self.clock, Random(f"{plan.seed}:spoilt:{node.name}:{sidecar}"),
                self.correlation_table, self.request_format, self.recorder, network,
            )  # fmt: skip
        return created

    def address(self, sidecar: str, node: RegisteredNode) -> str:
        """Return the address that a sidecar uses for a node that has been started once, as HOST:PORT."""
        host = self.hosts[node.name]
        if self.links is not None:
            host, port = self.links.address(f"{sidecar}>{host}")
            return f"{host}:{port}"
        return f"{host}:{self.ports[host, sidecar]}"

    # Lifecycles

    def add(self, name: str) -> None:
        """Register an endpoint at the start of the run, and start it if the plan has it up then."""
        node = self.nodes[name].plan
        if node.up:
            self._run(self.nodes[name], cold=False)
        self.registry.register(RegisteredNode.from_plan(self.plan, node), node.up)

    def start(self, name: str) -> None:
        """Start an endpoint with a cold cache, unless it is running."""
        node = self.nodes[name]
        if not node.machine.running:
            self._run(node, cold=True)
            self.registry.node_started(name, self.clock.now())

    def _run(self, node: Node, cold: bool) -> None:
        self._open(node)
        node.machine.start(cold)
        if node.plan.tier + 1 < len(self.plan.tiers):
            self.next_tier_clients[node.plan.name] = SidecarClient(
                self.reactor,
                self.clock,
                self.recorder,
                self.request_format,
                self.sidecar_address,
                node.plan.host,
            )

    def drain(self, name: str) -> None:
        """Start draining an endpoint, if it is running."""
        node = self.nodes[name]
        if node.machine.running:
            node.machine.drain()
            self.registry.node_draining(name)

    def stop(self, name: str) -> bool:
        """Stop an endpoint immediately. Returns False if it was not running."""
        node = self.nodes[name]
        if not node.machine.running:
            return False
        node.machine.stop()
        self._on_end(node)
        return True

    # Network effects of a node's faults. The event scheduler applies the faults to the machine itself.

    def start_fault(self, event: EventPlan) -> None:
        """Close the ports of endpoints that a fault makes refuse connections."""
        for name in event.nodes:
            node = self.nodes[name]
            if node.machine.faults.refuses_connections:
                self._close(node)

    def end_fault(self, event: EventPlan) -> None:
        """Reopen the ports of endpoints that are running."""
        for name in event.nodes:
            node = self.nodes[name]
            if node.machine.running:
                self._open(node)

    def _handle_crash(self, name: str) -> None:
        self._on_end(self.nodes[name])
        self.on_crash(name)

    def _on_end(self, node: Node) -> None:
        self._close(node)
        node.reset()
        # Its own sidecar ends too, which closes the connections with the node's calls to the next tier.
        self.next_tier_clients.pop(node.plan.name, None)
        self.registry.node_ended(node.plan.name)

    def _open(self, node: Node) -> None:
        if node.listeners or node.machine.faults.refuses_connections:
            return
        host = node.plan.host
        for sidecar, server in node.servers.items():
            port = self.ports.get((host, sidecar), 0)
            listener = self.reactor.listenTCP(port, server, backlog=BACKLOG, interface=host)
            self.ports[host, sidecar] = listener.getHost().port
            node.listeners.append(listener)
        if self.links is not None:
            self.links.set_targets(
                {f"{sidecar}>{host}": (host, self.ports[host, sidecar]) for sidecar in node.servers}
            )

    def _close(self, node: Node) -> None:
        listeners, node.listeners = node.listeners, []
        if self.links is not None and listeners:
            self.links.close([f"{sidecar}>{node.plan.host}" for sidecar in node.servers])
        for listener in listeners:
            listener.stopListening()


def _fixed_sidecar(sidecar: str, _host: str) -> str:
    return sidecar


def _fixed_delay(seconds: float, _host: str) -> float:
    return seconds
