"""Expands events of a scenario to events of a plan: targets, repetitions, and events of several steps.

Steps are processed in the order of their instants, against the state of the fleet at that instant. A step
affects only machines and sidecars that run, and the replacement of a machine is a node of the plan.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from functools import partial
from math import inf
from typing import Any

from wheatring.lab.plan import DISCOVERY, EventKind, EventPlan
from wheatring.lab.scenario.checks import labelled_events
from wheatring.lab.scenario.event_forms import EVENT_FORMS
from wheatring.lab.scenario.fault_messages import ContradictionError, Fault
from wheatring.lab.scenario.fleet import Fleet
from wheatring.lab.scenario.sampler import PlanSampler
from wheatring.lab.scenario.schema import Event, Scenario

_Step = Callable[[float], None]


class Expansion:
    """Expands all events of one day. `events` has the events of the plan in the order of time."""

    def __init__(self, sampler: PlanSampler, scenario: Scenario, fleet: Fleet, end: float) -> None:
        self.events: list[EventPlan] = []
        self.fleet = fleet
        self.sampler = sampler
        self._end = end
        self.tiers = [tier.name for tier in scenario.tiers]
        self._steps: list[tuple[float, int, int, _Step]] = []
        self._step_count = 0
        for index, (label, event) in enumerate(labelled_events(scenario.events)):
            expansion = _EventExpansion(self, index, f"event.{label}", event)
            first, every = expansion.number("at"), expansion.number("every")
            for occurrence in range(expansion.integer("times", 1)):
                self.schedule(first + occurrence * every, index, partial(expansion.start, occurrence))
        while self._steps:
            at, _, _, call = heapq.heappop(self._steps)
            call(at)

    def schedule(self, at: float, index: int, call: _Step) -> None:
        """Schedule a step, unless its instant is after the end of the day."""
        at = round(at, 6)
        if at < self._end:
            self._step_count += 1
            heapq.heappush(self._steps, (at, index, self._step_count, call))

    def emit(self, at: float, kind: EventKind, **values: Any) -> None:
        """Add an event to the plan."""
        self.events.append(EventPlan(at=at, kind=kind, **values))


class _EventExpansion:
    """The expansion of one event of the scenario, with its repetitions and steps."""

    def __init__(self, day: Expansion, index: int, path: str, event: Event) -> None:
        self.day = day
        self.index = index
        self.path = path
        self.event = event
        self.form = EVENT_FORMS[event.kind]
        self.selected: list[str] = []

    # Keys of the event

    def _given(self, key: str, default: object = 0.0) -> Any:
        value = getattr(self.event, key)
        return self.form.optional.get(key, default) if value is None else value

    def number(self, key: str) -> float:
        """Return the value of a key, drawn if it is a range."""
        return self.day.sampler.number(f"{self.path}.{key}", self._given(key))

    def integer(self, key: str, default: int) -> int:
        """Return the integer value of a key, drawn if it is a range."""
        return self.day.sampler.integer(f"{self.path}.{key}", self._given(key, default))

    def switch(self, key: str) -> bool:
        """Return the value of a switch, drawn if it has choices."""
        return bool(self.day.sampler.choice(f"{self.path}.{key}", self._given(key, False)))

    def _tier(self) -> int | None:
        if self.event.tier is not None:
            return self.day.tiers.index(self.event.tier)
        if self.event.nodes is not None:
            return self.day.fleet.nodes[self.event.nodes[0]].tier
        return None

    # Targets

    def _select(self, occurrence: int, at: float, running: Sequence[str]) -> list[str]:
        """Select targets among those that run: by name, all, or some in a random order.

        Repetitions have the same targets, unless the event has `anew`.
        """
        anew = self.switch("anew")
        if occurrence and not anew:
            return [name for name in self.selected if name in running]
        named = self.event.nodes or self.event.sidecars
        if named:
            for name in named:
                if name not in running and not occurrence:
                    key = "nodes" if self.event.nodes else "sidecars"
                    raise ContradictionError(
                        Fault(f"{self.path}.{key}", f"{name} does not run at {at:g} s", named)
                    )
            self.selected = [name for name in named if name in running]
            return self.selected
        if not running:
            raise ContradictionError(Fault(f"{self.path}.at", "no possible target runs at that time", at))
        order = self.day.sampler.order(f"{self.path}.pick{occurrence if anew else ''}", running)
        if self.event.count is not None:
            count = self.integer("count", 1)
        elif self.event.part is not None:
            count = max(1, round(self.number("part") * len(running)))
        else:
            count = len(running)
        self.selected = order[:count]
        return self.selected

    def _select_nodes(self, occurrence: int, at: float) -> list[str]:
        tier, fleet = self._tier(), self.day.fleet
        if self.event.nodes is not None:
            running = [name for name in self.event.nodes if fleet.available_from[name] <= at]
        else:
            assert tier is not None
            running = fleet.running(tier, at)
        return self._select(occurrence, at, running)

    def _select_sidecars(self, occurrence: int, at: float) -> list[str]:
        fleet = self.day.fleet
        if self.event.sidecars is None:
            return self._select(occurrence, at, fleet.sidecars_running(self._tier(), at))
        available = [name for name in self.event.sidecars if fleet.sidecar_available_from[name] <= at]
        return self._select(
            occurrence, at, [name for name in available if fleet.available_from.get(name, 0.0) <= at]
        )

    # Steps

    def start(self, occurrence: int, at: float) -> None:
        """Expand one occurrence of the event."""
        kind: Any = self.event.kind
        figures = {key: self.number(key) for key in ("length", "size", "extra")}
        if self.form.target == "none":
            self.day.emit(at, kind, **figures)
        elif kind == "clock_step":
            self._step_clocks(occurrence, at, figures)
        elif self.form.target == "link":
            self._emit_link_fault(occurrence, at, kind, figures)
        elif kind == "start":
            self._start_nodes(at)
        elif self.form.target == "sidecars":
            self._end_sidecars(occurrence, at)
        elif kind in ("drain", "kill", "release", "restart"):
            self._end_nodes(occurrence, at)
        else:
            self._emit_node_fault(occurrence, at, kind, figures)

    def _emit_node_fault(
        self, occurrence: int, at: float, kind: EventKind, figures: dict[str, float]
    ) -> None:
        names = self._select_nodes(occurrence, at)
        if kind == "vanish":
            for name in names:
                self.day.fleet.restart(name, at + (figures["length"] or inf))
        if names:
            self.day.emit(at, kind, nodes=tuple(names), **figures)

    def _step_clocks(self, occurrence: int, at: float, figures: dict[str, float]) -> None:
        event = self.event
        hosts: tuple[str, ...] = ()
        if event.nodes is not None or event.tier is not None:
            hosts = self._hosts(self._select_nodes(occurrence, at))
        elif event.sidecars is not None or event.part is not None or event.count is not None:
            hosts = self._hosts(self._select_sidecars(occurrence, at))
        self.day.emit(at, "clock_step", hosts=hosts, **figures)

    def _emit_link_fault(
        self, occurrence: int, at: float, kind: EventKind, figures: dict[str, float]
    ) -> None:
        tier, fleet = self._tier(), self.day.fleet
        names = self._select_nodes(occurrence, at)
        assert tier is not None
        callers = fleet.running(tier - 1, at) if tier else [one.name for one in fleet.sidecars]
        callers = self.day.sampler.order(f"{self.path}.callers", callers)
        count = self.integer("callers", 0) or len(callers)
        if names and callers:
            self.day.emit(
                at, kind, hosts=self._hosts(callers[:count]), others=self._hosts(names),
                one_way=self.switch("one_way"), **figures,
            )  # fmt: skip

    def _hosts(self, names: Sequence[str]) -> tuple[str, ...]:
        """Return the hosts of machines and of their sidecars, which host faults affect together."""
        return tuple(dict.fromkeys(host for name in names for host in self.day.fleet.hosts(name)))

    def _start_nodes(self, at: float) -> None:
        tier = self._tier()
        assert tier is not None
        fleet = self.day.fleet
        if self.event.count is not None:
            count = self.integer("count", 1)
        else:
            count = max(1, round(self.number("part") * len(fleet.running(tier, at))))
        self.day.emit(at, "start", nodes=tuple(fleet.add_node(tier, at) for _ in range(count)))

    def _end_nodes(self, occurrence: int, at: float) -> None:
        """Drain or kill nodes, all simultaneously or one after another."""
        rolling = self.event.kind in ("release", "restart")
        kind: EventKind = "kill" if self.event.kind == "kill" else "drain"
        lead = self.number("lead" if rolling else "extra")
        gap = self.number("gap" if rolling else "length")
        replaced = self.event.kind == "release" or self.switch("replaced")
        step = self.number("step") if rolling else 0.0
        names = self._select_nodes(occurrence, at)
        if rolling or replaced:
            for index, name in enumerate(names):
                self.day.schedule(
                    at + index * step, self.index, partial(self._end_node, name, kind, lead, gap, replaced)
                )
            return
        for name in names:
            self.day.fleet.restart(name, at + lead + (gap or inf))
        if names:
            self.day.emit(at, kind, nodes=tuple(names), length=gap, extra=lead)

    def _end_node(
        self, name: str, kind: EventKind, lead: float, gap: float, replaced: bool, at: float
    ) -> None:
        fleet = self.day.fleet
        if fleet.available_from[name] > at:
            return  # another event has taken it down in the meantime
        replacement = ""
        if replaced:
            same_address_draw = self.day.sampler.random(f"{self.path}.same_address:{name}").random()
            replacement = fleet.add_replacement(
                name, at + lead + gap, same_address_draw < self.number("same_address")
            )
        else:
            fleet.restart(name, at + lead + gap)
        self.day.emit(at, kind, nodes=(name,), length=gap, extra=lead, replaced_by=replacement)

    def _end_sidecars(self, occurrence: int, at: float) -> None:
        names = self._select_sidecars(occurrence, at)
        if self.event.kind == "stall":
            if names:
                self.day.emit(at, "stall", sidecars=tuple(names), length=self.number("length"))
            return
        if self.event.kind == "discovery_cut":
            hosts = tuple(self.day.fleet.side_host(name) for name in names)
            if hosts:
                self.day.emit(
                    at, "partition", hosts=hosts, others=(DISCOVERY,), length=self.number("length"),
                    one_way=self.switch("one_way"),
                )  # fmt: skip
            return
        if self.event.kind in ("sidecar_kill", "sidecar_restart"):
            self._end_running_sidecars(
                names, self.event.kind, self.number("extra"), self.number("length"), at
            )
            return
        lead, gap = self.number("lead"), self.number("gap")
        step, spread = self.number("step"), self.number("spread")
        for index, name in enumerate(names):
            random = self.day.sampler.random(f"{self.path}.spread{occurrence}:{name}")
            delay = random.uniform(0.0, spread) if spread else index * step
            self.day.schedule(
                at + delay,
                self.index,
                partial(self._end_running_sidecars, [name], "sidecar_restart", lead, gap),
            )

    def _end_running_sidecars(
        self, names: list[str], kind: EventKind, lead: float, gap: float, at: float
    ) -> None:
        fleet = self.day.fleet
        running = [
            name
            for name in names
            if fleet.sidecar_available_from[name] <= at and fleet.available_from.get(name, 0.0) <= at
        ]
        for name in running:
            fleet.restart_sidecar(name, at + lead + gap)
        if running:
            self.day.emit(at, kind, sidecars=tuple(running), length=gap, extra=lead)
