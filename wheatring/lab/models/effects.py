"""What requests bring about: the memory by which the nodes of a tier drop repeats of a key."""

from __future__ import annotations

from collections.abc import Sequence

from wheatring.lab.correlation import OriginalRequest
from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.plan import ClassPlan
from wheatring.lab.timers import Timers


class Effects:
    """Shared by all nodes of a tier, which see one another's effects at once.

    A repeat of a key within its class's window, counted from the run that had the effect, has none. It is
    worked on all the same.
    """

    def __init__(self, timers: Timers, classes: Sequence[ClassPlan], book: EventRecorder) -> None:
        self.timers = timers
        self.classes = classes
        self.book = book
        self.had: list[dict[str, float]] = [{} for _ in classes]  # by class: keys by the time of their effect

    def ran(self, node: str, ident: str, origin: OriginalRequest) -> None:
        """An attempt starts its work: from here on it counts as run."""
        plan = self.classes[origin.class_index]
        if plan.effect == "safe":
            return
        if plan.effect == "keyed":
            now = self.timers.now()
            had = self.had[origin.class_index]
            # The oldest stand first: an entry is only ever added, at the present, once the old one is gone.
            while had and (oldest := next(iter(had))) and now - had[oldest] >= plan.window:
                del had[oldest]
            if origin.key in had:
                return
            had[origin.key] = now
        self.book.effect(node, ident, origin.key)
