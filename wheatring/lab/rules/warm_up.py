"""The fourth rule: a node that is warming up must not be overloaded.

`OverloadDetector` decides whether a node is overloaded, both for the simulated node and for this rule. An
overload is a breach if at least two thirds of the work came from sidecars that had been notified of the
node's start. Each start is watched until the node is warm or has been overloaded.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from wheatring.lab.models.slow_start import OverloadDetector
from wheatring.lab.plan import KindPlan, RulesPlan
from wheatring.lab.rules.breaches import Breaches
from wheatring.lab.rules.drains import Drains

NOTIFIED_SHARE = 2 / 3


class Offer(NamedTuple):
    """Work sent to a node that is warming up."""

    at: float
    work: float  # seconds on a standard core
    is_notified: bool  # whether its sidecar had been notified of the node's start


class WarmUp:
    """One node that is warming up; `offers` holds the work sent within the window."""

    __slots__ = ("capacity", "offers", "overload", "since", "until")

    def __init__(self, rules: RulesPlan, capacity: Callable[[], float], since: float, until: float) -> None:
        self.overload = OverloadDetector(rules)
        self.offers: deque[Offer] = deque()
        self.capacity = capacity
        self.since = since
        self.until = until

    def is_caused_by_notified(self) -> bool:
        """Return whether two thirds of the work in the window came from notified sidecars."""
        total = sum([offer.work for offer in self.offers])
        notified = sum([offer.work for offer in self.offers if offer.is_notified])
        return notified >= NOTIFIED_SHARE * total - 1e-9


class WarmUps:
    """Checks the load of all nodes that are warming up."""

    def __init__(self, rules: RulesPlan, drains: Drains, breaches: Breaches) -> None:
        self.rules = rules
        self.drains = drains
        self.breaches = breaches
        self.watched: dict[str, WarmUp] = {}  # by node
        self.start_count = 0
        self.overload_count = 0  # watched starts that ended in an overload, from any sender

    def node_up(self, node: str, kind: KindPlan, capacity: Callable[[], float], at: float) -> None:
        """Record that a node has started at time `at`; `capacity` returns its current capacity."""
        if kind.cold > 0 and kind.cold_from < 1:
            self.start_count += 1
            self.watched[node] = WarmUp(self.rules, capacity, at, at + kind.cold)

    def record_offer(self, node: str, sidecar: str, work: float, at: float) -> None:
        """Record work (seconds on a standard core) for a watched node."""
        warm_up, window = self.watched[node], self.rules.fall_for
        if at >= warm_up.until:
            del self.watched[node]
            return
        capacity, offers = warm_up.capacity(), warm_up.offers
        offers.append(Offer(at, work, self.drains.is_notified(sidecar, node, warm_up.since, at)))
        while offers[0].at <= at - window:
            offers.popleft()
        if warm_up.overload.offer(at, work, capacity):
            del self.watched[node]
            self.overload_count += 1
            if warm_up.is_caused_by_notified():
                what = f"{node} was sent {warm_up.overload.total_work:.3f} s of work within {window} s,"
                what += (
                    f" {at - warm_up.since:.1f} s after its start,"
                    f" when it could do {capacity:.3f} s a second."
                )
                self.breaches.add("cold", what, sidecar=sidecar, node=node)
