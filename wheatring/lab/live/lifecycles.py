"""The lifecycles of nodes and sidecars: a node's own sidecar starts and ends with it."""

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

    `ready` is called once all sidecars of the start listen, `failed` if one of them can't.
    """

    def __init__(
        self, nodes: Nodes, slots: SidecarSlots, front: FrontLoadBalancer, links: LinkController | None = None
    ) -> None:
        self.links = links
        self.nodes = nodes
        self.slots = slots
        self.front = front
        self.awaited: dict[str, None] = {}  # sidecars of the first hour that don't listen yet
        self.coming: set[str] = set()  # nodes that run once their sidecar listens
        self.ready: Callable[[], object]
        self.failed: Callable[[ProcessError], object]
        slots.on_up, slots.on_stopping = self.on_sidecar_up, self.on_sidecar_stopping
        slots.on_down, slots.on_failed = self.on_sidecar_down, self.on_sidecar_failed
        nodes.on_crash = self.on_node_ended

    def start_all(self, names: Collection[str]) -> None:
        """Start the sidecars that run from the beginning, at least one."""
        self.awaited = dict.fromkeys(names)
        for name in names:
            self.slots.start(self.slots.by_name[name])

    def on_start_timeout(self) -> None:
        """Fail, as they have had time enough to listen."""
        self.failed(ProcessError(f"{', '.join(list(self.awaited)[:3])}: has not begun to listen in time"))

    # Sidecars come and go

    def on_sidecar_up(self, slot: SidecarSlot) -> None:
        """Let callers, or its node, use a sidecar that listens."""
        if slot.name not in self.nodes.nodes:
            self.front.sidecar_up(slot.name)
        elif slot.name in self.coming:
            self.coming.discard(slot.name)
            self.nodes.start(slot.name)
        if slot.name in self.awaited:
            del self.awaited[slot.name]
            if not self.awaited:
                self.ready()

    def on_sidecar_stopping(self, slot: SidecarSlot) -> None:
        """Let callers know that a sidecar is shutting down."""
        if slot.name not in self.nodes.nodes:
            self.front.sidecar_stopping(slot.name)

    def on_sidecar_down(self, slot: SidecarSlot) -> None:
        """Let callers know that a sidecar has ended."""
        if slot.name not in self.nodes.nodes:
            self.front.sidecar_down(slot.name)

    def on_sidecar_failed(self, slot: SidecarSlot) -> None:
        """Fail where a sidecar of the start ended before it listened."""
        if slot.name in self.awaited:
            self.failed(ProcessError(f"{slot.name}: ended before it listened"))

    # Nodes

    def start(self, node: str) -> None:
        """Start a node; one with a sidecar of its own runs once that listens."""
        slot = self.slots.by_name.get(node)
        if self.nodes.nodes[node].machine.running:
            return
        if slot is None:
            self.nodes.start(node)
        else:
            self.coming.add(node)
            self.slots.start(slot)

    def drain(self, node: str) -> None:
        """Let a node drain."""
        self.nodes.drain(node)

    def stop(self, node: str) -> None:
        """End a node's process."""
        self.coming.discard(node)
        if self.nodes.stop(node):
            self.on_node_ended(node)

    def on_node_ended(self, node: str) -> None:
        """End the sidecar of a node that has ended."""
        if node in self.slots.by_name:
            self.slots.kill(self.slots.by_name[node], 0.0)

    def isolate(self, node: str) -> None:
        """Let a node's machine, with its own sidecar, fall silent."""
        assert self.links is not None
        self.links.start_fault(self._isolation_event(node))
        self.nodes.registry.node_vanished(node)

    def reconnect(self, node: str) -> None:
        """Let a machine that was silent answer again; its connections are reset."""
        assert self.links is not None
        self.links.end_fault(self._isolation_event(node), reset=True)
        machine = self.nodes.nodes[node].machine
        if machine.running:
            self.nodes.registry.node_started(node, machine.started_at)

    def _isolation_event(self, node: str) -> EventPlan:
        plan = self.nodes.nodes[node].plan
        return EventPlan(at=0.0, kind="vanish", hosts=(plan.host, plan.side_host))
