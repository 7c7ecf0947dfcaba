"""Events of a scenario to events of a plan: who is struck, repeats, and what takes several steps.

Steps are gone through in the order of their instants, against the fleet as it is by then: nobody is named who
does not run, nobody is taken down who is down already, and what comes in a machine's place is a planned node.
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

_Call = Callable[[float], None]


class Expansion:
    """Goes through a day once; `made` holds what it gave, in the order of time."""

    def __init__(self, sampler: PlanSampler, scenario: Scenario, fleet: Fleet, end: float) -> None:
        self.made: list[EventPlan] = []
        self.fleet = fleet
        self.sampler = sampler
        self._end = end
        self.tiers = [tier.name for tier in scenario.tiers]
        self._steps: list[tuple[float, int, int, _Call]] = []
        self._serial = 0
        for place, (label, event) in enumerate(labelled_events(scenario.events)):
            expansion = _EventExpansion(self, place, f"event.{label}", event)
            first, every = expansion.number("at"), expansion.number("every")
            for time in range(expansion.integer("times", 1)):
                self.schedule(first + time * every, place, partial(expansion.start, time))
        while self._steps:
            at, _, _, call = heapq.heappop(self._steps)
            call(at)

    def schedule(self, at: float, place: int, call: _Call) -> None:
        """Call at an instant, unless that is after the end of the day."""
        at = round(at, 6)
        if at < self._end:
            self._serial += 1
            heapq.heappush(self._steps, (at, place, self._serial, call))

    def emit(self, at: float, kind: EventKind, **values: Any) -> None:
        """Add an event to the plan."""
        self.made.append(EventPlan(at=at, kind=kind, **values))


class _EventExpansion:
    """One event of the scenario, with all its times and steps."""

    def __init__(self, day: Expansion, place: int, path: str, event: Event) -> None:
        self.day = day
        self.place = place
        self.path = path
        self.event = event
        self.form = EVENT_FORMS[event.kind]
        self.chosen: list[str] = []

    # The event's own figures, drawn

    def _given(self, key: str, default: object = 0.0) -> Any:
        value = getattr(self.event, key)
        return self.form.optional.get(key, default) if value is None else value

    def number(self, key: str) -> float:
        """Return a figure, drawn."""
        return self.day.sampler.number(f"{self.path}.{key}", self._given(key))

    def integer(self, key: str, default: int) -> int:
        """Return a whole number, drawn."""
        return self.day.sampler.integer(f"{self.path}.{key}", self._given(key, default))

    def switch(self, key: str) -> bool:
        """Return a switch, drawn."""
        return bool(self.day.sampler.choice(f"{self.path}.{key}", self._given(key, False)))

    def _tier(self) -> int | None:
        if self.event.tier is not None:
            return self.day.tiers.index(self.event.tier)
        if self.event.nodes is not None:
            return self.day.fleet.nodes[self.event.nodes[0]].tier
        return None

    # What it strikes

    def _pick(self, time: int, at: float, running: Sequence[str]) -> list[str]:
        """Out of those that run: by name, all, or some in a drawn order; for further times the same again."""
        anew = self.switch("anew")
        if time and not anew:
            return [name for name in self.chosen if name in running]
        named = self.event.nodes or self.event.sidecars
        if named:
            for name in named:
                if name not in running and not time:
                    key = "nodes" if self.event.nodes else "sidecars"
                    raise ContradictionError(
                        Fault(f"{self.path}.{key}", f"{name} does not run at {at:g} s", named)
                    )
            self.chosen = [name for name in named if name in running]
            return self.chosen
        if not running:
            raise ContradictionError(Fault(f"{self.path}.at", "nothing that it could strike runs then", at))
        order = self.day.sampler.order(f"{self.path}.pick{time if anew else ''}", running)
        if self.event.count is not None:
            wanted = self.integer("count", 1)
        elif self.event.part is not None:
            wanted = max(1, round(self.number("part") * len(running)))
        else:
            wanted = len(running)
        self.chosen = order[:wanted]
        return self.chosen

    def _nodes(self, time: int, at: float) -> list[str]:
        tier, fleet = self._tier(), self.day.fleet
        if self.event.nodes is not None:
            running = [name for name in self.event.nodes if fleet.free[name] <= at]
        else:
            assert tier is not None
            running = fleet.running(tier, at)
        return self._pick(time, at, running)

    def _sidecars(self, time: int, at: float) -> list[str]:
        fleet = self.day.fleet
        if self.event.sidecars is None:
            return self._pick(time, at, fleet.sidecars_running(self._tier(), at))
        free = [name for name in self.event.sidecars if fleet.sidecar_free[name] <= at]
        return self._pick(time, at, [name for name in free if fleet.free.get(name, 0.0) <= at])

    # What it does

    def start(self, time: int, at: float) -> None:
        """Carry out one occurrence."""
        kind: Any = self.event.kind
        figures = {key: self.number(key) for key in ("length", "size", "extra")}
        if self.form.target == "none":
            self.day.emit(at, kind, **figures)
        elif kind == "clock_step":
            self._clock(time, at, figures)
        elif self.form.target == "link":
            self._link(time, at, kind, figures)
        elif kind == "start":
            self._start(at)
        elif self.form.target == "sidecars":
            self._end_sidecars(time, at)
        elif kind in ("drain", "kill", "release", "restart"):
            self._end_nodes(time, at)
        else:
            self._strike(time, at, kind, figures)

    def _strike(self, time: int, at: float, kind: EventKind, figures: dict[str, float]) -> None:
        names = self._nodes(time, at)
        if kind == "vanish":
            for name in names:
                self.day.fleet.restart(name, at + (figures["length"] or inf))
        if names:
            self.day.emit(at, kind, nodes=tuple(names), **figures)

    def _clock(self, time: int, at: float, figures: dict[str, float]) -> None:
        event = self.event
        hosts: tuple[str, ...] = ()
        if event.nodes is not None or event.tier is not None:
            hosts = self._hosts(self._nodes(time, at))
        elif event.sidecars is not None or event.part is not None or event.count is not None:
            hosts = self._hosts(self._sidecars(time, at))
        self.day.emit(at, "clock_step", hosts=hosts, **figures)

    def _link(self, time: int, at: float, kind: EventKind, figures: dict[str, float]) -> None:
        tier, fleet = self._tier(), self.day.fleet
        names = self._nodes(time, at)
        assert tier is not None
        callers = fleet.running(tier - 1, at) if tier else [one.name for one in fleet.sidecars]
        callers = self.day.sampler.order(f"{self.path}.callers", callers)
        wanted = self.integer("callers", 0) or len(callers)
        if names and callers:
            self.day.emit(
                at, kind, hosts=self._hosts(callers[:wanted]), others=self._hosts(names),
                one_way=self.switch("one_way"), **figures,
            )  # fmt: skip

    def _hosts(self, names: Sequence[str]) -> tuple[str, ...]:
        """Return the hosts of machines and of their own sidecars: what strikes one strikes both."""
        return tuple(dict.fromkeys(host for name in names for host in self.day.fleet.hosts(name)))

    def _start(self, at: float) -> None:
        tier = self._tier()
        assert tier is not None
        fleet = self.day.fleet
        if self.event.count is not None:
            wanted = self.integer("count", 1)
        else:
            wanted = max(1, round(self.number("part") * len(fleet.running(tier, at))))
        self.day.emit(at, "start", nodes=tuple(fleet.add_newcomer(tier, at) for _ in range(wanted)))

    def _end_nodes(self, time: int, at: float) -> None:
        """Drained or killed; all at once, or one after another."""
        rolling = self.event.kind in ("release", "restart")
        kind: EventKind = "kill" if self.event.kind == "kill" else "drain"
        lead = self.number("lead" if rolling else "extra")
        gap = self.number("gap" if rolling else "length")
        replaced = self.event.kind == "release" or self.switch("replaced")
        step = self.number("step") if rolling else 0.0
        names = self._nodes(time, at)
        if rolling or replaced:
            for place, name in enumerate(names):
                self.day.schedule(
                    at + place * step, self.place, partial(self._end_node, name, kind, lead, gap, replaced)
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
        if fleet.free[name] > at:
            return  # something else has taken it down in the meantime
        new = ""
        if replaced:
            same = self.day.sampler.random(f"{self.path}.same_address:{name}").random()
            new = fleet.add_successor(name, at + lead + gap, same < self.number("same_address"))
        else:
            fleet.restart(name, at + lead + gap)
        self.day.emit(at, kind, nodes=(name,), length=gap, extra=lead, replaced_by=new)

    def _end_sidecars(self, time: int, at: float) -> None:
        names = self._sidecars(time, at)
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
            self._end_them(names, self.event.kind, self.number("extra"), self.number("length"), at)
            return
        lead, gap = self.number("lead"), self.number("gap")
        step, spread = self.number("step"), self.number("spread")
        for place, name in enumerate(names):
            random = self.day.sampler.random(f"{self.path}.spread{time}:{name}")
            delay = random.uniform(0.0, spread) if spread else place * step
            self.day.schedule(
                at + delay, self.place, partial(self._end_them, [name], "sidecar_restart", lead, gap)
            )

    def _end_them(self, names: list[str], kind: EventKind, lead: float, gap: float, at: float) -> None:
        fleet = self.day.fleet
        running = [
            name for name in names if fleet.sidecar_free[name] <= at and fleet.free.get(name, 0.0) <= at
        ]
        for name in running:
            fleet.restart_sidecar(name, at + lead + gap)
        if running:
            self.day.emit(at, kind, sidecars=tuple(running), length=gap, extra=lead)
