"""Fixtures for tests of a machine: a recorder that keeps its calls, and a tier with one node."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, cast

from wheatring.lab.correlation import CorrelationTable, OriginalRequest
from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.models.deduplication import EffectDeduplicator
from wheatring.lab.models.machine import Machine
from wheatring.lab.models.machine_spec import MachineServices, MachineSpec
from wheatring.lab.models.received_attempt import AttemptOutcome, NextTierCall, ReceivedAttempt
from wheatring.lab.net.time import VirtualTime
from wheatring.lab.plan import ClassPlan, KindPlan, NodePlan, RulesPlan, TierPlan


class RecordedCalls:
    """An event recorder that keeps all calls as (method, *arguments)."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Callable[..., str]:
        def record(*args: object, **values: object) -> str:
            self.calls.append((name, *args, *values.values()))
            return f"stamp{len(self.calls)}"

        return record

    def calls_of(self, name: str) -> list[tuple[Any, ...]]:
        return [call[1:] for call in self.calls if call[0] == name]


CLASSES = (
    ClassPlan(name="view", share=0.6, work=0.25),
    ClassPlan(name="order", share=0.4, work=0.45, effect="keyed", window=10.0),
    ClassPlan(name="once", share=0.0, work=0.45, effect="unsafe"),
)
RULES = RulesPlan(fall_multiple=2.5, fall_for=1.0)


class World:
    """One node with its own clock; keyword arguments set fields of its kind and tier.

    `ended` lists the ends of attempts as (instant, name, outcome).
    """

    def __init__(
        self, *, call_next_tier: NextTierCall | None = None, calls: float = 0.0, passes_deadline: bool = True,
        classes: tuple[ClassPlan, ...] = CLASSES, cold_start: bool = False, start: float = 0.0,
        speed: float = 1.0, tier: dict[str, Any] | None = None, **kind: Any,
    ) -> None:  # fmt: skip
        self.time = VirtualTime(start)
        self.recorder = RecordedCalls()
        event_recorder = cast(EventRecorder, self.recorder)
        self.correlation_table = CorrelationTable(Random("origins"))
        self.deduplicator = EffectDeduplicator(self.time, classes, event_recorder)
        self.ended: list[tuple[float, str, AttemptOutcome]] = []
        self.names: dict[str, str] = {}
        plan = TierPlan(name="front", work=1.0, kinds=(KindPlan(name="k", **kind),), **(tier or {}))
        node = NodePlan(name="n1", tier=0, kind=0, speed=speed, host="127.0.0.1")
        spec = MachineSpec(node, plan, classes, calls, RULES, passes_deadline)
        services = MachineServices(
            self.time,
            Random("machine"),
            self.correlation_table,
            event_recorder,
            call_next_tier,
            self.deduplicator,
        )
        self.machine = Machine(spec, services)
        self.machine.start(cold_start)

    def send(
        self,
        name: str,
        work: float,
        *,
        index: int = 0,
        key: str = "",
        time_left: float = 6.0,
        ident: str = "",
    ) -> ReceivedAttempt:
        """Send an attempt now. `ident` is the id of the request if this is a further attempt of it."""
        if not ident:
            ident = self.correlation_table.new(OriginalRequest(0, index, work, key))
            self.names[ident] = name

        def reply(outcome: AttemptOutcome, stamp: str) -> None:
            assert (stamp != "") == (outcome is AttemptOutcome.SERVED)
            self.ended.append((round(self.time.now(), 6), name, outcome))

        attempt = ReceivedAttempt(ident, "s1", time_left, self.time.now(), reply)
        self.machine.receive(attempt)
        return attempt

    def run(self, until: float) -> list[tuple[float, str, AttemptOutcome]]:
        """Run until an instant, and return the attempts that have ended since the last call."""
        self.time.run(until)
        ended, self.ended = self.ended, []
        return ended

    def recorded_work(self) -> dict[str, float]:
        """Return the recorded work by the request's name."""
        return {self.names[ident]: round(work, 6) for _, ident, work in self.recorder.calls_of("worked")}
