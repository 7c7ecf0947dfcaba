"""The lives of nodes and sidecars, which hang together: a node's own sidecar starts and ends with it."""

from __future__ import annotations

from collections.abc import Callable, Collection

from wheatring.lab.live.links.wires import Wires
from wheatring.lab.live.nodes import Nodes
from wheatring.lab.live.process import ProcessError
from wheatring.lab.live.sidecar_slots import SidecarSlot, SidecarSlots
from wheatring.lab.models.front import Front
from wheatring.lab.plan import EventPlan


class Lifecycles:
    """`ready` is called once all sidecars of the first hour listen, `failed` if one of them can't."""

    def __init__(self, nodes: Nodes, slots: SidecarSlots, front: Front, wires: Wires | None = None) -> None:
        self.wires = wires
        self.nodes = nodes
        self.slots = slots
        self.front = front
        self.awaited: dict[str, None] = {}  # sidecars of the first hour that don't listen yet
        self.coming: set[str] = set()  # nodes that run once their sidecar listens
        self.ready: Callable[[], object]
        self.failed: Callable[[ProcessError], object]
        slots.on_up, slots.on_stopping = self.on_sidecar_up, self.on_sidecar_stopping
        slots.on_down, slots.on_failed = self.on_sidecar_down, self.on_sidecar_failed
        nodes.on_fallen = self.on_node_ended

    def start_all(self, names: Collection[str]) -> None:
        """Start the sidecars of the first hour, at least one."""
        self.awaited = dict.fromkeys(names)
        for name in names:
            self.slots.start(self.slots.seats[name])

    def on_start_timeout(self) -> None:
        """They have had time enough."""
        self.failed(ProcessError(f"{', '.join(list(self.awaited)[:3])}: has not begun to listen in time"))

    # Sidecars come and go

    def on_sidecar_up(self, seat: SidecarSlot) -> None:
        if seat.name not in self.nodes.nodes:
            self.front.up(seat.name)
        elif seat.name in self.coming:
            self.coming.discard(seat.name)
            self.nodes.start(seat.name)
        if seat.name in self.awaited:
            del self.awaited[seat.name]
            if not self.awaited:
                self.ready()

    def on_sidecar_stopping(self, seat: SidecarSlot) -> None:
        if seat.name not in self.nodes.nodes:
            self.front.stopping(seat.name)

    def on_sidecar_down(self, seat: SidecarSlot) -> None:
        if seat.name not in self.nodes.nodes:
            self.front.down(seat.name)

    def on_sidecar_failed(self, seat: SidecarSlot) -> None:
        if seat.name in self.awaited:
            self.failed(ProcessError(f"{seat.name}: ended before it listened"))

    # Nodes

    def start(self, node: str) -> None:
        """It is to start; one with a sidecar of its own runs once that listens."""
        seat = self.slots.seats.get(node)
        if self.nodes.nodes[node].machine.running:
            return
        if seat is None:
            self.nodes.start(node)
        else:
            self.coming.add(node)
            self.slots.start(seat)

    def drain(self, node: str) -> None:
        self.nodes.drain(node)

    def stop(self, node: str) -> None:
        self.coming.discard(node)
        if self.nodes.stop(node):
            self.on_node_ended(node)

    def on_node_ended(self, node: str) -> None:
        """Its process has ended; its sidecar's does as well."""
        if node in self.slots.seats:
            self.slots.kill(self.slots.seats[node], 0.0)

    def vanish(self, node: str) -> None:
        """Its machine, with its own sidecar, falls silent."""
        assert self.wires is not None
        self.wires.begin(self._silence(node))
        self.nodes.registry.vanished(node)

    def back(self, node: str) -> None:
        """It answers again, and its connections are reset."""
        assert self.wires is not None
        self.wires.over(self._silence(node), reset=True)
        machine = self.nodes.nodes[node].machine
        if machine.running:
            self.nodes.registry.up(node, machine.started_at)

    def _silence(self, node: str) -> EventPlan:
        plan = self.nodes.nodes[node].plan
        return EventPlan(at=0.0, kind="vanish", hosts=(plan.host, plan.side_host))
