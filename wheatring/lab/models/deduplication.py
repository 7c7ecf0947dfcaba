"""Deduplication of effects: the nodes of a tier apply an effect once for each idempotency key."""

from __future__ import annotations

from collections.abc import Sequence

from wheatring.lab.correlation import OriginalRequest
from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.plan import ClassPlan
from wheatring.lab.timers import Timers


class EffectDeduplicator:
    """The idempotency keys of a tier, shared by its nodes without delay.

    A duplicate of a key has no effect within the window of its class, which begins with the attempt that had
    the effect. The work of a duplicate is still done.
    """

    def __init__(self, timers: Timers, classes: Sequence[ClassPlan], recorder: EventRecorder) -> None:
        self.timers = timers
        self.classes = classes
        self.recorder = recorder
        self.effect_instants: list[dict[str, float]] = [{} for _ in classes]  # by class and key

    def attempt_started(self, node: str, ident: str, origin: OriginalRequest) -> None:
        """Record the effect of an attempt that starts to run, unless it is a duplicate."""
        plan = self.classes[origin.class_index]
        if plan.effect == "safe":
            return
        if plan.effect == "keyed" and not self._add_key(origin, plan.window):
            return
        self.recorder.effect(node, ident, origin.key)

    def _add_key(self, origin: OriginalRequest, window: float) -> bool:
        """Record the key of an attempt; return False if it is a duplicate."""
        now = self.timers.now()
        instants = self.effect_instants[origin.class_index]
        # Entries are in order of time: a key is added at the present, after its old entry was removed.
        while instants and (oldest := next(iter(instants))) and now - instants[oldest] >= window:
            del instants[oldest]
        if origin.key in instants:
            return False
        instants[origin.key] = now
        return True
