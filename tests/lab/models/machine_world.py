"""What the stories of a machine share: a book that remembers, a tier with one node."""

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


class Noted:
    """A book that remembers what it was told."""

    def __init__(self) -> None:
        self.told: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Callable[..., str]:
        def tell(*args: object, **values: object) -> str:
            self.told.append((name, *args, *values.values()))
            return f"stamp{len(self.told)}"

        return tell

    def of(self, name: str) -> list[tuple[Any, ...]]:
        return [each[1:] for each in self.told if each[0] == name]


CLASSES = (
    ClassPlan(name="view", share=0.6, work=0.25),
    ClassPlan(name="order", share=0.4, work=0.45, effect="keyed", window=10.0),
    ClassPlan(name="once", share=0.0, work=0.45, effect="unsafe"),
)
RULES = RulesPlan(fall_multiple=2.5, fall_for=1.0)


class World:
    """One node of a tier, of a kind and a tier as named, on a clock of its own.

    `ended` lists verdicts by (instant, name, verdict).
    """

    def __init__(
        self, *, below: NextTierCall | None = None, calls: float = 0.0, passes_deadline: bool = True,
        classes: tuple[ClassPlan, ...] = CLASSES, cold_start: bool = False, start: float = 0.0,
        speed: float = 1.0, tier: dict[str, Any] | None = None, **kind: Any,
    ) -> None:  # fmt: skip
        self.time = VirtualTime(start)
        self.noted = Noted()
        book = cast(EventRecorder, self.noted)
        self.origins = CorrelationTable(Random("origins"))
        self.effects = EffectDeduplicator(self.time, classes, book)
        self.ended: list[tuple[float, str, AttemptOutcome]] = []
        self.names: dict[str, str] = {}
        plan = TierPlan(name="front", work=1.0, kinds=(KindPlan(name="k", **kind),), **(tier or {}))
        node = NodePlan(name="n1", tier=0, kind=0, speed=speed, host="127.0.0.1")
        spec = MachineSpec(node, plan, classes, calls, RULES, passes_deadline)
        services = MachineServices(self.time, Random("machine"), self.origins, book, below, self.effects)
        self.machine = Machine(spec, services)
        self.machine.start(cold_start)

    def send(
        self, name: str, work: float, *, index: int = 0, key: str = "", left: float = 6.0, ident: str = ""
    ) -> ReceivedAttempt:
        """Let a request arrive now. `ident`: of a request whose attempt this is, too."""
        if not ident:
            ident = self.origins.new(OriginalRequest(0, index, work, key))
            self.names[ident] = name

        def reply(verdict: AttemptOutcome, stamp: str) -> None:
            assert (stamp != "") == (verdict is AttemptOutcome.SERVED)
            self.ended.append((round(self.time.now(), 6), name, verdict))

        attempt = ReceivedAttempt(ident, "s1", left, self.time.now(), reply)
        self.machine.receive(attempt)
        return attempt

    def run(self, until: float) -> list[tuple[float, str, AttemptOutcome]]:
        """Plays until then; gives what has ended since the last call."""
        self.time.run(until)
        ended, self.ended = self.ended, []
        return ended

    def work_of(self) -> dict[str, float]:
        """Work told of, by the request's name."""
        return {self.names[ident]: round(work, 6) for _, ident, work in self.noted.of("worked")}
