"""What events do to a machine. Each can begin and end in any overlap with others and with itself.

Troubles are the machine's: they go on over the end and the start of its process.
"""

from __future__ import annotations

from collections.abc import Callable
from math import prod
from random import Random
from typing import TYPE_CHECKING

from wheatring.lab.plan import EventKind, EventPlan
from wheatring.lab.timers import Timer, Timers

if TYPE_CHECKING:
    from wheatring.lab.models.machine import Machine

MACHINE_FAULT_KINDS: frozenset[EventKind] = frozenset(
    {
        "slow", "hang", "fast_errors", "neighbour", "refuse", "conn_cap", "late_connects", "spoilt", "resets",
        "vanish",
    }
)  # fmt: skip


class NoisyNeighbour:
    """Another program on the machine, on and off: each phase is drawn between half and one and a half times
    the mean. It begins with one that is on.
    """

    def __init__(
        self, timers: Timers, random: Random, event: EventPlan, turned: Callable[[], object]
    ) -> None:
        self.timers = timers
        self.random = random
        self.event = event
        self.turned = turned
        self.on = True
        self.step: Timer | None = None
        self._wait()

    def stop(self) -> None:
        if self.step is not None:
            self.step.cancel()
        self.step = None

    def _wait(self) -> None:
        if self.event.extra > 0.0:
            length = self.event.extra * self.random.uniform(0.5, 1.5)
            self.step = self.timers.at(self.timers.now() + length, self._turn)

    def _turn(self) -> None:
        self.on = not self.on
        self._wait()
        self.turned()


class MachineFaults:
    """The events that are on at one machine, and what they come to.

    `factor`: part of its capacity that is left; `fail`, `spoil`, `broken`: shares of requests that fail at
    once, of answers that can't be read, of requests that end in a reset; `cap`: most connections;
    `connect_delay`: seconds by which connects are late. `hung` works on nothing and says nothing, `refusing`
    takes no new connections, `silent` can't be reached.
    """

    def __init__(self, timers: Timers, random: Random) -> None:
        self.timers = timers
        self.random = random
        self.on: list[EventPlan] = []
        self.neighbours: list[NoisyNeighbour] = []
        self.reckon()

    def reckon(self) -> None:
        """Once more from the events that are on, so that no rounding is left behind by those that ended."""
        sizes: dict[EventKind, list[float]] = {}
        for event in self.on:
            sizes.setdefault(event.kind, []).append(event.size)
        free = prod(1.0 - each.event.size for each in self.neighbours if each.on)
        self.factor = max(0.0, free) / prod(sizes.get("slow", ()))
        self.fail = _any(sizes.get("fast_errors", ()))
        self.spoil = _any(sizes.get("spoilt", ()))
        self.broken = _any(sizes.get("resets", ()))
        self.cap = min(sizes.get("conn_cap", ()), default=float("inf"))
        self.connect_delay = sum(sizes.get("late_connects", ()))
        self.hung = "hang" in sizes
        self.refusing = "refuse" in sizes
        self.silent = "vanish" in sizes


def _any(shares: list[float] | tuple[()]) -> float:
    """Share of what at least one of them falls on."""
    return 1.0 - prod(1.0 - share for share in shares)


def begin(machine: Machine, event: EventPlan) -> None:
    """ValueError where the kind is not a machine's trouble."""
    if event.kind not in MACHINE_FAULT_KINDS:
        raise ValueError(f"not a trouble of a machine: {event.kind}")
    troubles = machine.troubles
    troubles.on.append(event)
    if event.kind == "neighbour":
        troubles.neighbours.append(NoisyNeighbour(troubles.timers, troubles.random, event, machine.troubled))
    machine.troubled()


def end(machine: Machine, event: EventPlan) -> None:
    """ValueError where the event is not on."""
    troubles = machine.troubles
    troubles.on.remove(event)
    if event.kind == "neighbour":
        at = next(i for i, each in enumerate(troubles.neighbours) if each.event == event)
        troubles.neighbours.pop(at).stop()
    machine.troubled()
