"""Injects the events of a plan: faults and lifecycles of nodes, sidecars, discovery and the network.

The load's own events are in the traffic, which reads them from the plan.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from wheatring.lab.models import troubles
from wheatring.lab.models.discovery import Registry, Trouble
from wheatring.lab.models.machine import Machine
from wheatring.lab.plan import EventPlan
from wheatring.lab.timers import Timers

OF_NODES = frozenset(
    ("slow", "hang", "fast_errors", "neighbour", "conn_cap", "spoilt", "resets", "refuse", "late_connects")
)
OF_DISCOVERY: dict[str, Trouble] = {
    "discovery_down": "down",
    "discovery_silent": "silent",
    "discovery_slow": "slow",
    "discovery_stale": "stale",
    "discovery_lies": "lies",
    "discovery_breaks": "breaks",
}
OF_LIFECYCLES = frozenset(
    ("kill", "start", "sidecar_kill", "sidecar_restart")
)  # recorded by their own events
OF_NET = frozenset(("partition", "latency", "clock_step"))


class NodeLifecycles(Protocol):
    """The lifecycles of nodes, as the world leads them."""

    def start(self, node: str) -> None:
        """Start the process of a node."""

    def drain(self, node: str) -> None:
        """Have a node take nothing new."""

    def stop(self, node: str) -> None:
        """End the process of a node."""

    def vanish(self, node: str) -> None:
        """Have the machine of a node fall silent."""

    def back(self, node: str) -> None:
        """Have the machine of a node answer again."""


class Faults(Protocol):
    """The faults of the network and of the clocks."""

    def begin(self, event: EventPlan) -> None:
        """Inject the fault of an event."""

    def end(self, event: EventPlan) -> None:
        """End the fault of an event."""


class Sidecars(Protocol):
    """The slots of sidecars."""

    @property
    def by_name(self) -> Mapping[str, Any]:
        """The slots by name."""

    def kill(self, slot: Any, down: float) -> None:
        """Kill a sidecar, and start it anew after `down` seconds, if that is not 0."""

    def restart(self, slot: Any, patience: float, down: float) -> None:
        """Stop a sidecar within `patience` seconds, and start it anew `down` seconds after its end."""

    def stall(self, slot: Any, on: bool) -> None:
        """Stop its process where it is, or have it go on. In real time only."""

    def move(self) -> None:
        """Discovery is at another address, and all are told. In real time only."""


class Events:
    """Injects the events of a plan. `happened` is called with each start and end, for the figures."""

    def __init__(
        self,
        timers: Timers,
        environment: Faults,
        machines: dict[str, Machine],
        registry: Registry,
        slots: Sidecars,
        lifecycles: NodeLifecycles,
        happened: Callable[[str], None],
    ) -> None:
        self.timers = timers
        self.environment = environment
        self.machines = machines
        self.registry = registry
        self.slots = slots
        self.lifecycles = lifecycles
        self.happened = happened
        self.ends: dict[EventPlan, Callable[[], None]] = {}  # of discovery's troubles that are on

    def schedule(self, day: float, events: tuple[EventPlan, ...]) -> None:
        """Schedule the events of a day that starts at an instant."""
        for event in events:
            self.timers.at(day + event.at, self.begin, event)

    def begin(self, event: EventPlan) -> None:
        """Start an event."""
        own = [
            name for name in event.sidecars if name in self.machines
        ]  # of their kills there is no other record
        if event.kind not in OF_LIFECYCLES or (event.kind == "sidecar_kill" and own):
            self.happened(describe(event))
        if event.kind in ("drain", "kill", "start"):
            for node in event.nodes:
                self.life(event, node)
        elif event.kind == "sidecar_kill":
            for name in event.sidecars:
                self.slots.kill(self.slots.by_name[name], event.length)
        elif event.kind == "sidecar_restart":
            for name in event.sidecars:
                self.slots.restart(self.slots.by_name[name], event.extra, event.length)
        else:
            self.turn(event, True)
            if event.length:
                self.timers.at(self.timers.now() + event.length, self.over, event)

    def over(self, event: EventPlan) -> None:
        """End an event that lasts."""
        self.happened(f"{event.kind} ends")
        self.turn(event, False)

    def turn(self, event: EventPlan, on: bool) -> None:
        """Inject a fault, or end it."""
        if event.kind in OF_NODES:
            for node in event.nodes:
                (troubles.begin if on else troubles.end)(self.machines[node], event)
        elif event.kind == "vanish":
            for node in event.nodes:
                (self.lifecycles.vanish if on else self.lifecycles.back)(node)
        elif event.kind == "stall":
            for name in event.sidecars:
                self.slots.stall(self.slots.by_name[name], on)
        elif event.kind == "discovery_move":
            self.slots.move()
        elif event.kind in OF_DISCOVERY:
            if on:
                self.ends[event] = self.registry.begin(OF_DISCOVERY[event.kind], event.size or 1.0)
            else:
                self.ends.pop(event)()
        if event.kind in OF_NET or event.kind in OF_NODES:
            (self.environment.begin if on else self.environment.end)(event)

    def life(self, event: EventPlan, node: str) -> None:
        """Start a node, or have it end and be followed by itself or another."""
        if event.kind == "start":
            self.lifecycles.start(node)
        elif event.kind == "kill":
            self.end(event, node)
        else:
            self.lifecycles.drain(node)
            self.timers.at(self.timers.now() + event.extra, self.end, event, node)

    def end(self, event: EventPlan, node: str) -> None:
        """End a node, and start the one that follows it."""
        self.lifecycles.stop(node)
        follower = event.replaced_by or (node if event.length else "")
        if follower:
            self.timers.at(self.timers.now() + event.length, self.lifecycles.start, follower)


def describe(event: EventPlan) -> str:
    """Return one line on an event, for people."""
    whom = event.nodes or event.sidecars or event.hosts
    names = ", ".join(whom[:3]) + (f" and {len(whom) - 3} more" if len(whom) > 3 else "")
    return " ".join(part for part in (event.kind, names and f"at {names}") if part)
