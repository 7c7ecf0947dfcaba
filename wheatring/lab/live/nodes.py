"""Stand-in endpoints, and the list of them. All are in this process, each on an address of its own.

One process, so that the record of a run has one order of events; to a sidecar an endpoint's end looks the
same, as its port is closed and its connections are reset. On loopback a connection doesn't tell whose it is
by where it comes from, so an endpoint has a port for each sidecar that may call it, and each sidecar is told
its own.
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
Where = Callable[[str], tuple[str, int]]  # a sidecar's address


class Node:
    """One endpoint: its machine, and its listening ports."""

    def __init__(self, plan: NodePlan, machine: Machine) -> None:
        self.plan = plan
        self.machine = machine
        self.peers: dict[str, NodeServer] = {}  # by the sidecar that may call it
        self.listeners: list[Any] = []

    def reset(self) -> None:
        """Reset all connections."""
        for peer in self.peers.values():
            peer.reset()


class Nodes:
    """All endpoints of a plan. `where` returns where a sidecar listens."""

    def __init__(
        self,
        reactor: Any,
        plan: Plan,
        clock: Clock,
        origins: CorrelationTable,
        recorder: EventRecorder,
        registry: Registry,
        where: Where,
        links: LinkController | None = None,
    ) -> None:
        self.links = links
        self.reactor = reactor
        self.plan = plan
        self.clock = clock
        self.origins = origins
        self.registry = registry
        self.forms = RequestFormat(plan.classes)
        self.recorder = recorder
        self.where = where
        self.ports: dict[tuple[str, str], int] = {}  # by host and sidecar: once the kernel has chosen, kept
        self.hosts = {node.name: node.host for node in plan.nodes}
        self.callers: list[list[tuple[str, str]]] = [[(each.name, each.zone) for each in plan.sidecars]]
        for tier in range(len(plan.tiers) - 1):
            self.callers.append([(node.name, node.zone) for node in plan.nodes if node.tier == tier])
        self.ways: dict[str, SidecarClient] = {}  # of nodes that run, into their own sidecars
        deduplicator = EffectDeduplicator(clock, plan.classes, recorder)
        self.nodes = {node.name: self._node(node, deduplicator) for node in plan.nodes}
        self.on_crash: Callable[[str], object] = lambda _name: None

    def _node(self, node: NodePlan, deduplicator: EffectDeduplicator) -> Node:
        plan, tier = self.plan, self.plan.tiers[node.tier]
        client = None
        if node.tier + 1 < len(plan.tiers):
            samplers = call_work_samplers(plan, node)
            find_transport = partial(self.ways.get, node.name)
            client = NextTierClient(node.name, find_transport, self.origins, samplers, self.clock)
        services = MachineServices(
            timers=self.clock,
            random=Random(f"{plan.seed}:node:{node.name}"),
            correlation_table=self.origins,
            recorder=self.recorder,
            call_next_tier=client,
            deduplicator=deduplicator,
        )
        machine = Machine(MachineSpec.from_plan(plan, node), services)
        machine.on_crash = partial(self._handle_crash, node.name)
        made = Node(node, machine)
        for sidecar, zone in self.callers[node.tier]:
            trip = 2 * (plan.net.same if zone == node.zone else plan.net.cross)
            network = NodeNetwork(partial(_this, sidecar), partial(_that, trip))
            made.peers[sidecar] = NodeServer(
                machine, tier, self.clock, Random(f"{plan.seed}:spoilt:{node.name}:{sidecar}"),
                self.origins, self.forms, self.recorder, network,
            )  # fmt: skip
        return made

    def address(self, sidecar: str, node: RegisteredNode) -> str:
        """Return where a sidecar finds an endpoint that has been up, as HOST:PORT."""
        host = self.hosts[node.name]
        if self.links is not None:
            host, port = self.links.address(f"{sidecar}>{host}")
            return f"{host}:{port}"
        return f"{host}:{self.ports[host, sidecar]}"

    # Lives

    def add(self, name: str) -> None:
        """Add an endpoint at the start of the day; it runs if it is up from the start."""
        node = self.nodes[name].plan
        if node.up:
            self._run(self.nodes[name], cold=False)
        self.registry.register(RegisteredNode.from_plan(self.plan, node), node.up)

    def start(self, name: str) -> None:
        """Start an endpoint's process, cold, unless one runs."""
        node = self.nodes[name]
        if not node.machine.running:
            self._run(node, cold=True)
            self.registry.node_started(name, self.clock.now())

    def _run(self, node: Node, cold: bool) -> None:
        self._open(node)
        node.machine.start(cold)
        if node.plan.tier + 1 < len(self.plan.tiers):
            self.ways[node.plan.name] = SidecarClient(
                self.reactor, self.clock, self.recorder, self.forms, self.where, node.plan.host
            )

    def drain(self, name: str) -> None:
        """Let an endpoint that runs drain."""
        node = self.nodes[name]
        if node.machine.running:
            node.machine.drain()
            self.registry.node_draining(name)

    def stop(self, name: str) -> bool:
        """End an endpoint's process at once; False where none runs."""
        node = self.nodes[name]
        if not node.machine.running:
            return False
        node.machine.stop()
        self._ended(node)
        return True

    # The effects of a node's faults on the network; its machine has been notified of them.

    def start_fault(self, event: EventPlan) -> None:
        """Close the ports of endpoints that a fault makes refuse connections."""
        for name in event.nodes:
            node = self.nodes[name]
            if node.machine.faults.refuses_connections:
                self._close(node)

    def end_fault(self, event: EventPlan) -> None:
        """Open the ports again of endpoints that run."""
        for name in event.nodes:
            node = self.nodes[name]
            if node.machine.running:
                self._open(node)

    def _handle_crash(self, name: str) -> None:
        self._ended(self.nodes[name])
        self.on_crash(name)

    def _ended(self, node: Node) -> None:
        self._close(node)
        node.reset()
        # Its own sidecar goes with it: what it had asked of that ends as the connections to it do.
        self.ways.pop(node.plan.name, None)
        self.registry.node_ended(node.plan.name)

    def _open(self, node: Node) -> None:
        if node.listeners or node.machine.faults.refuses_connections:
            return
        host = node.plan.host
        for sidecar, peer in node.peers.items():
            port = self.ports.get((host, sidecar), 0)
            listener = self.reactor.listenTCP(port, peer, backlog=BACKLOG, interface=host)
            self.ports[host, sidecar] = listener.getHost().port
            node.listeners.append(listener)
        if self.links is not None:
            self.links.set_targets({f"{one}>{host}": (host, self.ports[host, one]) for one in node.peers})

    def _close(self, node: Node) -> None:
        listeners, node.listeners = node.listeners, []
        if self.links is not None and listeners:
            self.links.close([f"{one}>{node.plan.host}" for one in node.peers])
        for listener in listeners:
            listener.stopListening()


def _this(sidecar: str, _host: str) -> str:
    return sidecar


def _that(seconds: float, _host: str) -> float:
    return seconds
