"""Parameters of a machine: its figures from the plan, and the parts of the world that it uses."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from wheatring.lab.correlation import CorrelationTable
from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.models.deduplication import EffectDeduplicator
from wheatring.lab.models.received_attempt import NextTierCall
from wheatring.lab.plan import ClassPlan, KindPlan, NodePlan, Plan, RulesPlan, TierPlan
from wheatring.lab.timers import Timers


@dataclass(frozen=True, slots=True)
class MachineSpec:
    """The figures of one machine.

    Attributes
    ----------
    node
        The node of the machine.
    tier
        The tier of the node.
    classes
        The classes of requests.
    mean_calls
        The mean number of calls to the next tier for one attempt.
    rules
        The thresholds of an overload in slow start.
    passes_deadline
        Whether calls to the next tier carry the remaining time of the node's caller.
    """

    node: NodePlan
    tier: TierPlan
    classes: Sequence[ClassPlan]
    mean_calls: float = 0.0
    rules: RulesPlan = field(default_factory=RulesPlan)
    passes_deadline: bool = True

    @classmethod
    def from_plan(cls, plan: Plan, node: NodePlan) -> MachineSpec:
        """Return the figures of one node of a plan."""
        is_last_tier = node.tier + 1 == len(plan.tiers)
        return cls(
            node=node,
            tier=plan.tiers[node.tier],
            classes=plan.classes,
            mean_calls=0.0 if is_last_tier else plan.tiers[node.tier + 1].calls,
            rules=plan.rules,
            passes_deadline=plan.passes_deadline,
        )

    @property
    def kind(self) -> KindPlan:
        """The kind of machine."""
        return self.tier.kinds[self.node.kind]


@dataclass(frozen=True, slots=True)
class MachineServices:
    """The parts of the world that a machine uses.

    Attributes
    ----------
    timers
        The clock.
    random
        Draws all random values of the machine.
    correlation_table
        Returns the first try behind an attempt.
    recorder
        Records the events of attempts.
    call_next_tier
        Makes a call to the next tier; None on the last tier.
    deduplicator
        The deduplication of effects, used on the first tier only; None records no effects.
    """

    timers: Timers
    random: Random
    correlation_table: CorrelationTable
    recorder: EventRecorder
    call_next_tier: NextTierCall | None = None
    deduplicator: EffectDeduplicator | None = None
