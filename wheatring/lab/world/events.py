"""Injects the events of a plan: faults and lifecycles of nodes, sidecars, discovery and the network.

Events of the load are handled by the traffic model, which reads them from the plan.
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
# Kinds of events whose effects are recorded on their own.
LIFECYCLE_EVENTS = frozenset(("kill", "start", "sidecar_kill", "sidecar_restart"))
NETWORK_FAULTS = frozenset(("partition", "latency", "clock_step"))


class NodeController(Protocol):
    """Starts, drains and stops nodes, and isolates their machines."""

    def start(self, node: str) -> None:
        """Start the process of a node."""

    def drain(self, node: str) -> None:
        """Drain a node: it accepts no new requests."""

    def stop(self, node: str) -> None:
        """End the process of a node."""

    def isolate(self, node: str) -> None:
        """Isolate the machine of a node from the network."""

    def reconnect(self, node: str) -> None:
        """Connect the machine of a node to the network again."""


class FaultInjector(Protocol):
    """Injects faults of the network and of the clocks."""

    def start_fault(self, event: EventPlan) -> None:
        """Inject the fault of an event."""

    def end_fault(self, event: EventPlan) -> None:
        """End the fault of an event."""


class SidecarController(Protocol):
    """Starts and stops the sidecars of slots."""

    @property
    def by_name(self) -> Mapping[str, Any]:
        """The slots by name."""

    def kill(self, slot: Any, restart_delay: float) -> None:
        """Kill a sidecar, and restart it after `restart_delay` seconds, if that is not 0."""

    def restart(self, slot: Any, stop_timeout: float, restart_delay: float) -> None:
        """Stop a sidecar, kill it after `stop_timeout`, and restart it `restart_delay` after its end.

        Both are in seconds.
        """

    def set_paused(self, slot: Any, paused: bool) -> None:
        """Pause or resume the process, as by SIGSTOP and SIGCONT. In real time only."""

    def move_discovery(self) -> None:
        """Move discovery to another address, and notify all sidecars. In real time only."""


class EventScheduler:
    """Injects the events of a plan. `on_event` is called with a description of each start and end."""

    def __init__(
        self,
        timers: Timers,
        faults: FaultInjector,
        machines: dict[str, Machine],
        registry: Registry,
        slots: SidecarController,
        node_controller: NodeController,
        on_event: Callable[[str], None],
    ) -> None:
        self.timers = timers
        self.faults = faults
        self.machines = machines
        self.registry = registry
        self.slots = slots
        self.node_controller = node_controller
        self.on_event = on_event
        # By event, the call that ends an active fault of discovery.
        self.end_discovery_fault: dict[EventPlan, Callable[[], None]] = {}

    def schedule(self, day: float, events: tuple[EventPlan, ...]) -> None:
        """Schedule the events of a simulated day that starts at the instant `day`."""
        for event in events:
            self.timers.at(day + event.at, self.start_event, event)

    def start_event(self, event: EventPlan) -> None:
        """Start an event."""
        # Kills of the nodes' own sidecars are not recorded elsewhere.
        node_sidecars = [name for name in event.sidecars if name in self.machines]
        if event.kind not in LIFECYCLE_EVENTS or (event.kind == "sidecar_kill" and node_sidecars):
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
        """End an event that has a length."""
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
                (self.node_controller.isolate if on else self.node_controller.reconnect)(node)
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
        """Start, kill or drain a node, and schedule the start of its replacement."""
        if event.kind == "start":
            self.node_controller.start(node)
        elif event.kind == "kill":
            self.stop_node(event, node)
        else:
            self.node_controller.drain(node)
            self.timers.at(self.timers.now() + event.extra, self.stop_node, event, node)

    def stop_node(self, event: EventPlan, node: str) -> None:
        """Stop a node, and schedule the start of its replacement."""
        self.node_controller.stop(node)
        replacement = event.replaced_by or (node if event.length else "")
        if replacement:
            self.timers.at(self.timers.now() + event.length, self.node_controller.start, replacement)


def describe(event: EventPlan) -> str:
    """Return a one-line description of an event."""
    targets = event.nodes or event.sidecars or event.hosts
    names = ", ".join(targets[:3]) + (f" and {len(targets) - 3} more" if len(targets) > 3 else "")
    return " ".join(part for part in (event.kind, names and f"at {names}") if part)
