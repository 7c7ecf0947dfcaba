"""The fourth rule: what a cold node is sent. Pure arithmetic; who was told of its start is told to it.

Within any window the work offered, its largest piece left out, must stay within the multiple of what the node
could do in such a window at its present capacity. The largest piece is the slack for chance: sizes vary
widely and no sidecar knows them. More pushes the node over; that is a breach where two thirds of the work
came from sidecars that had been told of its start. Each start is watched until the node is warm or over.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from wheatring.lab.plan import KindPlan, RulesPlan
from wheatring.lab.rules.breaches import Breaches
from wheatring.lab.rules.drains import Drains

SHARE = 2 / 3


class Budget:
    """One cold node's. `multiple` and `window` (seconds) are the rule's figures."""

    __slots__ = ("largest", "multiple", "pieces", "told", "total", "window")

    def __init__(self, multiple: float, window: float) -> None:
        self.multiple = multiple
        self.window = window
        self.pieces: deque[tuple[float, float, bool]] = deque()
        self.largest: deque[tuple[float, float]] = deque()  # falling: each the largest of all since it
        self.total = 0.0
        self.told = 0.0

    def offer(self, at: float, work: float, told: bool, capacity: float) -> bool:
        """So much work (seconds on a standard core) is offered, by a sidecar that was told of the start or
        was not; the node can do `capacity` a second at present. True: it is too much."""
        pieces, largest = self.pieces, self.largest
        pieces.append((at, work, told))
        self.total += work
        if told:
            self.told += work
        past = at - self.window
        while pieces[0][0] <= past:
            _, gone, by_told = pieces.popleft()
            self.total -= gone
            if by_told:
                self.told -= gone
        while largest and largest[-1][1] <= work:
            largest.pop()
        largest.append((at, work))
        while largest[0][0] <= past:
            largest.popleft()
        return self.total - largest[0][1] > self.multiple * capacity * self.window

    @property
    def blamed(self) -> bool:
        """Two thirds of the work in the window came from sidecars that were told."""
        return self.told >= SHARE * self.total - 1e-9


class ColdStart:
    """A start that is watched."""

    __slots__ = ("budget", "capacity", "since", "until")

    def __init__(self, budget: Budget, capacity: Callable[[], float], since: float, until: float) -> None:
        self.budget = budget
        self.capacity = capacity
        self.since = since
        self.until = until


class ColdStarts:
    def __init__(self, rules: RulesPlan, drains: Drains, breaches: Breaches) -> None:
        self.rules = rules
        self.drains = drains
        self.breaches = breaches
        self.watched: dict[str, ColdStart] = {}  # by node
        self.count = 0
        self.over = 0  # that were pushed over, by whomever

    def up(self, node: str, kind: KindPlan, capacity: Callable[[], float], at: float) -> None:
        if kind.cold > 0:
            self.count += 1
            budget = Budget(self.rules.fall_multiple, self.rules.fall_for)
            self.watched[node] = ColdStart(budget, capacity, at, at + kind.cold)

    def offered(self, node: str, sidecar: str, work: float, at: float) -> None:
        """Work for a node that is watched."""
        start = self.watched[node]
        if at >= start.until:
            del self.watched[node]
            return
        told, able = self.drains.told_of(sidecar, node, start.since, at), start.capacity()
        budget = start.budget
        if budget.offer(at, work, told, able):
            del self.watched[node]
            self.over += 1
            if budget.blamed:
                what = f"{node} was sent {budget.total:.3f} s of work within {budget.window} s,"
                what += f" {at - start.since:.1f} s after its start, when it could do {able:.3f} s a second."
                self.breaches.add("cold", what, sidecar=sidecar, node=node)
