"""Drives an invariant checker on a simulated clock, with short methods for its events.

The last tier of the plan has no nodes.
"""

from __future__ import annotations

from typing import Any

from wheatring.lab.outcome import Outcome
from wheatring.lab.plan import (
    ClassPlan,
    EventPlan,
    GoalPlan,
    KindPlan,
    LimitsPlan,
    NodePlan,
    Plan,
    SidecarPlan,
    TierPlan,
    TrafficPlan,
)
from wheatring.lab.rules import InvariantChecker, Trace

START = 1000.0
SAFE, KEYED, UNSAFE = range(3)
KIND = KindPlan(name="kind", cold=24.0, cold_from=0.13)


def make_plan(events: tuple[EventPlan, ...] = (), **limits: Any) -> Plan:
    return Plan(
        scenario="desk",
        seed=7,
        length=30.0,
        classes=(
            ClassPlan(name="menu", share=0.5, work=0.2, late_worth=0.5),
            ClassPlan(name="order", share=0.3, work=0.4, worth=5.0, late_worth=0.25, effect="keyed"),
            ClassPlan(name="pay", share=0.2, work=0.4, worth=3.0, effect="unsafe"),
        ),
        tiers=(
            TierPlan(name="front", work=0.4, kinds=(KIND,)),
            TierPlan(name="stock", work=0.6, calls=2.0, kinds=(KIND,)),
            TierPlan(name="store", work=0.1, calls=3.0),
        ),
        nodes=tuple(
            NodePlan(name=f"{tier}{number}", tier=index, kind=0, speed=1.0, host=f"127.0.{index}.{number}")
            for index, tier in enumerate(("front", "stock"))
            for number in range(3)
        ),
        sidecars=(SidecarPlan(name="lb", host="127.1.0.1"),),
        traffic=TrafficPlan(rate=10.0),
        limits=LimitsPlan(**limits),
        goal=GoalPlan(),
        events=events,
    )


class CheckerDriver:
    def __init__(
        self, plan: Plan | None = None, trace: Trace | None = None, first_request_of: Any = None
    ) -> None:
        self.time = START
        self.plan = plan or make_plan()
        self.checker = InvariantChecker(
            self.plan, "exchange", lambda: self.time, START, trace, first_request_of
        )
        for sidecar in ("lb", "front0"):
            self.checker.sidecar_up(sidecar)
        for node in self.plan.nodes:
            self.checker.known(node.name, "ready", 0.0)

    def at(self, time: float) -> CheckerDriver:
        """Set the clock to a time since the start."""
        self.time = START + time
        return self

    def take(self, ident: str = "r", index: int = SAFE, deadline: float = 6.0) -> None:
        """Record a taken request; `deadline` counts from the start."""
        self.checker.taken("lb", ident, index, f"key-{ident}", START + deadline)

    def answer(self, ident: str = "r", kind: Any = "failed", stamp: str = "", **more: Any) -> None:
        self.checker.answered("lb", ident, kind, stamp, 0.0, **more)

    def send(self, node: str = "front0", ident: str = "r", sent: float | None = None) -> None:
        """Let an attempt arrive now; `sent` counts from the start and defaults to now."""
        at = self.time if sent is None else START + sent
        self.checker.sending("lb", node, at)
        self.checker.arrived("lb", node, ident, at)

    def reject(self, node: str = "front0", ident: str = "r") -> None:
        self.checker.turned_away(node, ident)
        self.checker.ended(node, ident)

    def serve(self, node: str = "front0", ident: str = "r") -> None:
        stamp = self.checker.made(node, ident)
        self.checker.ended(node, ident)
        self.answer(ident, "served", stamp)

    def finish(self, **open_counts: int) -> Outcome:
        return self.checker.finish(1.0, {"lb": open_counts})

    def broken_rules(self, **open_counts: int) -> set[str]:
        """Finish the day and return the rules that were broken."""
        return {breach.rule for breach in self.finish(**open_counts).breaches}
