"""Makes happen what the plan says: troubles and lives of nodes, sidecars, discovery, the network.

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
OF_LIVES = frozenset(("kill", "start", "sidecar_kill", "sidecar_restart"))  # of these the book tells
OF_NET = frozenset(("partition", "latency", "clock_step"))


class Lives(Protocol):
    """The lives of nodes, as the world leads them."""

    def start(self, node: str) -> None: ...

    def drain(self, node: str) -> None: ...

    def stop(self, node: str) -> None: ...

    def vanish(self, node: str) -> None: ...

    def back(self, node: str) -> None: ...


class Faults(Protocol):
    """What goes wrong on the network or with the clocks."""

    def begin(self, event: EventPlan) -> None: ...

    def end(self, event: EventPlan) -> None: ...


class Sidecars(Protocol):
    """The seats of sidecars, by name."""

    @property
    def seats(self) -> Mapping[str, Any]: ...

    def kill(self, seat: Any, down: float) -> None: ...

    def restart(self, seat: Any, patience: float, down: float) -> None: ...

    def stall(self, seat: Any, on: bool) -> None:
        """Stop its process where it is, or have it go on. In real time only."""

    def move(self) -> None:
        """Discovery is at another address, and all are told. In real time only."""


class Events:
    """`happened` is told of each beginning and end, for the figures."""

    def __init__(
        self,
        timers: Timers,
        ground: Faults,
        machines: dict[str, Machine],
        registry: Registry,
        seats: Sidecars,
        lives: Lives,
        happened: Callable[[str], None],
    ) -> None:
        self.timers = timers
        self.ground = ground
        self.machines = machines
        self.registry = registry
        self.seats = seats
        self.lives = lives
        self.happened = happened
        self.ends: dict[EventPlan, Callable[[], None]] = {}  # of discovery's troubles that are on

    def schedule(self, day: float, events: tuple[EventPlan, ...]) -> None:
        """`day` is the instant at which the day begins."""
        for event in events:
            self.timers.at(day + event.at, self.begin, event)

    def begin(self, event: EventPlan) -> None:
        own = [name for name in event.sidecars if name in self.machines]  # the book is silent on their kills
        if event.kind not in OF_LIVES or (event.kind == "sidecar_kill" and own):
            self.happened(told(event))
        if event.kind in ("drain", "kill", "start"):
            for node in event.nodes:
                self.life(event, node)
        elif event.kind == "sidecar_kill":
            for name in event.sidecars:
                self.seats.kill(self.seats.seats[name], event.length)
        elif event.kind == "sidecar_restart":
            for name in event.sidecars:
                self.seats.restart(self.seats.seats[name], event.extra, event.length)
        else:
            self.turn(event, True)
            if event.length:
                self.timers.at(self.timers.now() + event.length, self.over, event)

    def over(self, event: EventPlan) -> None:
        self.happened(f"{event.kind} ends")
        self.turn(event, False)

    def turn(self, event: EventPlan, on: bool) -> None:
        """A trouble begins or ends."""
        if event.kind in OF_NODES:
            for node in event.nodes:
                (troubles.begin if on else troubles.end)(self.machines[node], event)
        elif event.kind == "vanish":
            for node in event.nodes:
                (self.lives.vanish if on else self.lives.back)(node)
        elif event.kind == "stall":
            for name in event.sidecars:
                self.seats.stall(self.seats.seats[name], on)
        elif event.kind == "discovery_move":
            self.seats.move()
        elif event.kind in OF_DISCOVERY:
            if on:
                self.ends[event] = self.registry.begin(OF_DISCOVERY[event.kind], event.size or 1.0)
            else:
                self.ends.pop(event)()
        if event.kind in OF_NET or event.kind in OF_NODES:
            (self.ground.begin if on else self.ground.end)(event)

    def life(self, event: EventPlan, node: str) -> None:
        """A node begins, or is to end and be followed by itself or another."""
        if event.kind == "start":
            self.lives.start(node)
        elif event.kind == "kill":
            self.end(event, node)
        else:
            self.lives.drain(node)
            self.timers.at(self.timers.now() + event.extra, self.end, event, node)

    def end(self, event: EventPlan, node: str) -> None:
        self.lives.stop(node)
        follower = event.replaced_by or (node if event.length else "")
        if follower:
            self.timers.at(self.timers.now() + event.length, self.lives.start, follower)


def told(event: EventPlan) -> str:
    """One line on an event, for people."""
    whom = event.nodes or event.sidecars or event.hosts
    names = ", ".join(whom[:3]) + (f" and {len(whom) - 3} more" if len(whom) > 3 else "")
    return " ".join(part for part in (event.kind, names and f"at {names}") if part)
