"""Lifecycles of nodes and sidecars: a node's own sidecar starts and ends with the node."""

from __future__ import annotations

from collections.abc import Callable, Collection

from wheatring.lab.live.links.link_controller import LinkController
from wheatring.lab.live.nodes import Nodes
from wheatring.lab.live.process import ProcessError
from wheatring.lab.live.sidecar_slots import SidecarSlot, SidecarSlots
from wheatring.lab.models.front_load_balancer import FrontLoadBalancer
from wheatring.lab.plan import EventPlan


class Lifecycles:
    """Starts and ends nodes with their sidecars.

    `ready` is called once all initial sidecars listen, `failed` if one of them can't be started.
    """

    def __init__(
        self, nodes: Nodes, slots: SidecarSlots, front: FrontLoadBalancer, links: LinkController | None = None
    ) -> None:
        self.links = links
        self.nodes = nodes
        self.slots = slots
        self.front = front
        self.pending_sidecars: dict[str, None] = {}  # initial sidecars that do not listen yet
        self.nodes_to_start: set[str] = set()  # nodes to start once their sidecar listens
        self.ready: Callable[[], object]
        self.failed: Callable[[ProcessError], object]
        slots.on_up, slots.on_stopping = self.on_sidecar_up, self.on_sidecar_stopping
        slots.on_down, slots.on_failed = self.on_sidecar_down, self.on_sidecar_failed
        nodes.on_crash = self.on_node_ended

    def start_all(self, names: Collection[str]) -> None:
        """Start the initial sidecars; there must be at least one."""
        self.pending_sidecars = dict.fromkeys(names)
        for name in names:
            self.slots.start(self.slots.by_name[name])

    def on_start_timeout(self) -> None:
        """Fail because not all initial sidecars listen in time."""
        self.failed(ProcessError(f"{', '.join(list(self.pending_sidecars)[:3])}: not listening in time"))

    # Sidecars

    def on_sidecar_up(self, slot: SidecarSlot) -> None:
        """Make a sidecar that listens available to its callers, or start its node."""
        if slot.name not in self.nodes.nodes:
            self.front.sidecar_up(slot.name)
        elif slot.name in self.nodes_to_start:
            self.nodes_to_start.discard(slot.name)
            self.nodes.start(slot.name)
        if slot.name in self.pending_sidecars:
            del self.pending_sidecars[slot.name]
            if not self.pending_sidecars:
                self.ready()

    def on_sidecar_stopping(self, slot: SidecarSlot) -> None:
        """Notify the front load balancer that a sidecar is shutting down."""
        if slot.name not in self.nodes.nodes:
            self.front.sidecar_stopping(slot.name)

    def on_sidecar_down(self, slot: SidecarSlot) -> None:
        """Notify the front load balancer that a sidecar has ended."""
        if slot.name not in self.nodes.nodes:
            self.front.sidecar_down(slot.name)

    def on_sidecar_failed(self, slot: SidecarSlot) -> None:
        """Fail if an initial sidecar exits before it listens."""
        if slot.name in self.pending_sidecars:
            self.failed(ProcessError(f"{slot.name}: ended before it listened"))

    # Nodes

    def start(self, node: str) -> None:
        """Start a node; if it has its own sidecar, once that listens."""
        slot = self.slots.by_name.get(node)
        if self.nodes.nodes[node].machine.running:
            return
        if slot is None:
            self.nodes.start(node)
        else:
            self.nodes_to_start.add(node)
            self.slots.start(slot)

    def drain(self, node: str) -> None:
        """Start draining a node."""
        self.nodes.drain(node)

    def stop(self, node: str) -> None:
        """Stop a node."""
        self.nodes_to_start.discard(node)
        if self.nodes.stop(node):
            self.on_node_ended(node)

    def on_node_ended(self, node: str) -> None:
        """Kill the sidecar of a node that has ended."""
        if node in self.slots.by_name:
            self.slots.kill(self.slots.by_name[node], 0.0)

    def isolate(self, node: str) -> None:
        """Cut a node's machine, including its own sidecar, off the network without closing connections."""
        assert self.links is not None
        self.links.start_fault(self._isolation_event(node))
        self.nodes.registry.node_vanished(node)

    def reconnect(self, node: str) -> None:
        """Reconnect an isolated machine; its old connections are reset."""
        assert self.links is not None
        self.links.end_fault(self._isolation_event(node), reset=True)
        machine = self.nodes.nodes[node].machine
        if machine.running:
            self.nodes.registry.node_started(node, machine.started_at)

    def _isolation_event(self, node: str) -> EventPlan:
        plan = self.nodes.nodes[node].plan
        return EventPlan(at=0.0, kind="vanish", hosts=(plan.host, plan.side_host))
