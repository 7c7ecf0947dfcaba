"""Injects the events of a plan: faults and lifecycles of nodes, sidecars, discovery and the network.

The load's own events are in the traffic, which reads them from the plan.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from wheatring.lab.models.discovery import DiscoveryFault, Registry
from wheatring.lab.models.machine import Machine
from wheatring.lab.plan import EventPlan
from wheatring.lab.timers import Timers

NODE_FAULTS = frozenset(
    ("slow", "hang", "fast_errors", "neighbour", "conn_cap", "spoilt", "resets", "refuse", "late_connects")
)
DISCOVERY_FAULTS: dict[str, DiscoveryFault] = {
    "discovery_down": "down",
    "discovery_silent": "silent",
    "discovery_slow": "slow",
    "discovery_stale": "stale",
    "discovery_lies": "lies",
    "discovery_breaks": "breaks",
}
# Recorded by their own events.
LIFECYCLE_EVENTS = frozenset(("kill", "start", "sidecar_kill", "sidecar_restart"))
NETWORK_FAULTS = frozenset(("partition", "latency", "clock_step"))


class NodeController(Protocol):
    """The lifecycles of nodes, as the world leads them."""

    def start(self, node: str) -> None:
        """Start the process of a node."""

    def drain(self, node: str) -> None:
        """Have a node take nothing new."""

    def stop(self, node: str) -> None:
        """End the process of a node."""

    def isolate(self, node: str) -> None:
        """Have the machine of a node fall silent."""

    def reconnect(self, node: str) -> None:
        """Have the machine of a node answer again."""


class FaultInjector(Protocol):
    """The faults of the network and of the clocks."""

    def start_fault(self, event: EventPlan) -> None:
        """Inject the fault of an event."""

    def end_fault(self, event: EventPlan) -> None:
        """End the fault of an event."""


class SidecarController(Protocol):
    """The slots of sidecars."""

    @property
    def by_name(self) -> Mapping[str, Any]:
        """The slots by name."""

    def kill(self, slot: Any, restart_delay: float) -> None:
        """Kill a sidecar, and start it anew after `restart_delay` seconds, if that is not 0."""

    def restart(self, slot: Any, stop_timeout: float, restart_delay: float) -> None:
        """Stop a sidecar, kill it after `stop_timeout`, and start it anew `restart_delay` after its end.

        Both are seconds.
        """

    def set_paused(self, slot: Any, paused: bool) -> None:
        """Stop its process where it is, or have it go on. In real time only."""

    def move_discovery(self) -> None:
        """Discovery is at another address, and all are told. In real time only."""


class EventScheduler:
    """Injects the events of a plan. `on_event` is called with each start and end, for the figures."""

    def __init__(
        self,
        timers: Timers,
        faults: FaultInjector,
        machines: dict[str, Machine],
        registry: Registry,
        slots: SidecarController,
        lifecycles: NodeController,
        on_event: Callable[[str], None],
    ) -> None:
        self.timers = timers
        self.faults = faults
        self.machines = machines
        self.registry = registry
        self.slots = slots
        self.lifecycles = lifecycles
        self.on_event = on_event
        # By event: what ends a fault of discovery that is on.
        self.end_discovery_fault: dict[EventPlan, Callable[[], None]] = {}

    def schedule(self, day: float, events: tuple[EventPlan, ...]) -> None:
        """Schedule the events of a day that starts at an instant."""
        for event in events:
            self.timers.at(day + event.at, self.start_event, event)

    def start_event(self, event: EventPlan) -> None:
        """Start an event."""
        own = [
            name for name in event.sidecars if name in self.machines
        ]  # of their kills there is no other record
        if event.kind not in LIFECYCLE_EVENTS or (event.kind == "sidecar_kill" and own):
            self.on_event(describe(event))
        if event.kind in ("drain", "kill", "start"):
            for node in event.nodes:
                self.apply_lifecycle_event(event, node)
        elif event.kind == "sidecar_kill":
            for name in event.sidecars:
                self.slots.kill(self.slots.by_name[name], event.length)
        elif event.kind == "sidecar_restart":
            for name in event.sidecars:
                self.slots.restart(self.slots.by_name[name], event.extra, event.length)
        else:
            self.apply_fault(event, True)
            if event.length:
                self.timers.at(self.timers.now() + event.length, self.end_event, event)

    def end_event(self, event: EventPlan) -> None:
        """End an event that lasts."""
        self.on_event(f"{event.kind} ends")
        self.apply_fault(event, False)

    def apply_fault(self, event: EventPlan, on: bool) -> None:
        """Inject a fault, or end it."""
        if event.kind in NODE_FAULTS:
            for node in event.nodes:
                faults = self.machines[node].faults
                (faults.begin if on else faults.end)(event)
        elif event.kind == "vanish":
            for node in event.nodes:
                (self.lifecycles.isolate if on else self.lifecycles.reconnect)(node)
        elif event.kind == "stall":
            for name in event.sidecars:
                self.slots.set_paused(self.slots.by_name[name], on)
        elif event.kind == "discovery_move":
            self.slots.move_discovery()
        elif event.kind in DISCOVERY_FAULTS:
            if on:
                self.end_discovery_fault[event] = self.registry.begin_fault(
                    DISCOVERY_FAULTS[event.kind], event.size or 1.0
                )
            else:
                self.end_discovery_fault.pop(event)()
        if event.kind in NETWORK_FAULTS or event.kind in NODE_FAULTS:
            (self.faults.start_fault if on else self.faults.end_fault)(event)

    def apply_lifecycle_event(self, event: EventPlan, node: str) -> None:
        """Start a node, or have it end and be followed by itself or another."""
        if event.kind == "start":
            self.lifecycles.start(node)
        elif event.kind == "kill":
            self.stop_node(event, node)
        else:
            self.lifecycles.drain(node)
            self.timers.at(self.timers.now() + event.extra, self.stop_node, event, node)

    def stop_node(self, event: EventPlan, node: str) -> None:
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
