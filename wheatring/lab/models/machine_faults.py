"""Faults of a machine, injected by events of a plan. Faults may overlap, including faults of one kind.

Faults belong to the machine and outlive its process.
"""

from __future__ import annotations

from collections.abc import Callable
from math import prod
from random import Random

from wheatring.lab.plan import EventKind, EventPlan
from wheatring.lab.timers import Timer, Timers

MACHINE_FAULT_KINDS: frozenset[EventKind] = frozenset(
    {
        "slow", "hang", "fast_errors", "neighbour", "refuse", "conn_cap", "late_connects", "spoilt", "resets",
        "vanish",
    }
)  # fmt: skip


class NoisyNeighbour:
    """Another program on the machine that takes a share of its capacity, in phases that are on and off.

    Each phase is drawn between 0.5 and 1.5 times the mean; the first one is on.

    Parameters
    ----------
    timers
        The clock.
    random
        Draws the phases.
    event
        The event: `size` is the share taken, `extra` the mean length of a phase in seconds, 0
        for a phase without an end.
    on_change
        Called at the end of each phase.
    """

    def __init__(
        self, timers: Timers, random: Random, event: EventPlan, on_change: Callable[[], object]
    ) -> None:
        self.timers = timers
        self.random = random
        self.event = event
        self.on_change = on_change
        self.is_on = True
        self._timer: Timer | None = None
        self._schedule_toggle()

    def stop(self) -> None:
        """Stop the program permanently."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None

    def _schedule_toggle(self) -> None:
        if self.event.extra > 0.0:
            length = self.event.extra * self.random.uniform(0.5, 1.5)
            self._timer = self.timers.at(self.timers.now() + length, self._toggle)

    def _toggle(self) -> None:
        self.is_on = not self.is_on
        self._schedule_toggle()
        self.on_change()


class MachineFaults:
    """The present faults of one machine, and their combined effect.

    Parameters
    ----------
    timers
        The clock.
    random
        Draws the phases of noisy neighbours.
    on_change
        Called whenever the combined effect may have changed.

    Attributes
    ----------
    capacity_factor
        The share of the machine's capacity that is available.
    error_share
        The share of requests that fail immediately.
    malformed_share
        The share of responses that can't be parsed.
    reset_share
        The share of requests that end in a reset.
    max_connections
        The maximum number of connections.
    connect_delay
        Seconds by which the establishment of a connection is delayed.
    is_hung
        The machine processes nothing and sends nothing.
    refuses_connections
        The machine accepts no new connections.
    is_unreachable
        No traffic reaches the machine or leaves it.
    """

    def __init__(self, timers: Timers, random: Random, on_change: Callable[[], object]) -> None:
        self.timers = timers
        self.random = random
        self.on_change = on_change
        self._events: list[EventPlan] = []
        self._neighbours: list[NoisyNeighbour] = []
        self._update()

    def begin(self, event: EventPlan) -> None:
        """Inject the fault of an event.

        Raises
        ------
        ValueError
            The event is not a fault of a machine.
        """
        if event.kind not in MACHINE_FAULT_KINDS:
            raise ValueError(f"not a fault of a machine: {event.kind}")
        self._events.append(event)
        if event.kind == "neighbour":
            self._neighbours.append(NoisyNeighbour(self.timers, self.random, event, self._change))
        self._change()

    def end(self, event: EventPlan) -> None:
        """End the fault of an event.

        Raises
        ------
        ValueError
            The fault is not present.
        """
        self._events.remove(event)
        if event.kind == "neighbour":
            index = next(i for i, each in enumerate(self._neighbours) if each.event == event)
            self._neighbours.pop(index).stop()
        self._change()

    def _change(self) -> None:
        self._update()
        self.on_change()

    def _update(self) -> None:
        """Recompute the combined effect from all faults, so that ended faults leave no rounding errors."""
        sizes: dict[EventKind, list[float]] = {}
        for event in self._events:
            sizes.setdefault(event.kind, []).append(event.size)
        remaining_share = prod(1.0 - each.event.size for each in self._neighbours if each.is_on)
        self.capacity_factor = max(0.0, remaining_share) / prod(sizes.get("slow", ()))
        self.error_share = _union(sizes.get("fast_errors", ()))
        self.malformed_share = _union(sizes.get("spoilt", ()))
        self.reset_share = _union(sizes.get("resets", ()))
        self.max_connections = min(sizes.get("conn_cap", ()), default=float("inf"))
        self.connect_delay = sum(sizes.get("late_connects", ()))
        self.is_hung = "hang" in sizes
        self.refuses_connections = "refuse" in sizes
        self.is_unreachable = "vanish" in sizes


def _union(shares: list[float] | tuple[()]) -> float:
    """Return the share that at least one of several independent shares covers."""
    return 1.0 - prod(1.0 - share for share in shares)
