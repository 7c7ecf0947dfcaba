"""The lives of nodes and sidecars, which hang together: a node's own sidecar starts and ends with it."""

from __future__ import annotations

from collections.abc import Callable, Collection

from wheatring.lab.live.links.wires import Wires
from wheatring.lab.live.nodes import Nodes
from wheatring.lab.live.process import ProcessError
from wheatring.lab.live.seats import Seat, Seats
from wheatring.lab.models.front import Front
from wheatring.lab.plan import EventPlan


class Lives:
    """`ready` is called once all sidecars of the first hour listen, `failed` if one of them can't."""

    def __init__(self, nodes: Nodes, seats: Seats, front: Front, wires: Wires | None = None) -> None:
        self.wires = wires
        self.nodes = nodes
        self.seats = seats
        self.front = front
        self.awaited: dict[str, None] = {}  # sidecars of the first hour that don't listen yet
        self.coming: set[str] = set()  # nodes that run once their sidecar listens
        self.ready: Callable[[], object]
        self.failed: Callable[[ProcessError], object]
        seats.came, seats.stops, seats.went, seats.failed = self.came, self.stops, self.went, self.lost
        nodes.on_fallen = self.fallen

    def begin(self, names: Collection[str]) -> None:
        """Start the sidecars of the first hour, at least one."""
        self.awaited = dict.fromkeys(names)
        for name in names:
            self.seats.start(self.seats.seats[name])

    def late(self) -> None:
        """They have had time enough."""
        self.failed(ProcessError(f"{', '.join(list(self.awaited)[:3])}: has not begun to listen in time"))

    # Sidecars come and go

    def came(self, seat: Seat) -> None:
        if seat.name not in self.nodes.nodes:
            self.front.up(seat.name)
        elif seat.name in self.coming:
            self.coming.discard(seat.name)
            self.nodes.start(seat.name)
        if seat.name in self.awaited:
            del self.awaited[seat.name]
            if not self.awaited:
                self.ready()

    def stops(self, seat: Seat) -> None:
        if seat.name not in self.nodes.nodes:
            self.front.stopping(seat.name)

    def went(self, seat: Seat) -> None:
        if seat.name not in self.nodes.nodes:
            self.front.down(seat.name)

    def lost(self, seat: Seat) -> None:
        if seat.name in self.awaited:
            self.failed(ProcessError(f"{seat.name}: ended before it listened"))

    # Nodes

    def start(self, node: str) -> None:
        """It is to start; one with a sidecar of its own runs once that listens."""
        seat = self.seats.seats.get(node)
        if self.nodes.nodes[node].machine.running:
            return
        if seat is None:
            self.nodes.start(node)
        else:
            self.coming.add(node)
            self.seats.start(seat)

    def drain(self, node: str) -> None:
        self.nodes.drain(node)

    def stop(self, node: str) -> None:
        self.coming.discard(node)
        if self.nodes.stop(node):
            self.fallen(node)

    def fallen(self, node: str) -> None:
        """Its process has ended; its sidecar's does as well."""
        if node in self.seats.seats:
            self.seats.kill(self.seats.seats[node], 0.0)

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
