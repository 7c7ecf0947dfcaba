"""Priority tiers within a pool: chooses the tier of each request, the primary first.

The reference for load is the total weight of the first tier that is not empty. A tier that is at least as
large and not degraded takes the entire load that reaches it. Any other tier takes what its ready part can
serve and passes the rest on to the next tier. Load beyond the capacity of all tiers is spread over them by
their capacity.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from wheatring.daemon.routes.limit_settings import TierSettings, check_number

# Below 1, so that a degraded tier passes some load on until the transition in which it recovers.
MAX_DEGRADED_SHARE = 0.95
ROUNDING_TOLERANCE = 1e-9  # requests


@dataclass(frozen=True, slots=True)
class Capacity:
    """A tier's current capacity, as sums of endpoint weights. An endpoint of weight 0 gets no requests."""

    ready: float  # weight of the endpoints that are ready
    total: float  # weight of all endpoints that are listed
    answer_ratio: float = 1.0  # share of requests to ready endpoints that are answered

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_number("tier.whole", self.total, "(a weight)", 0, inf)
        check_number("tier.ready", self.ready, "(a weight)", 0, self.total)
        check_number("tier.answering", self.answer_ratio, "of the answers", 0, 1)

    @property
    def available_ratio(self) -> float:
        """The share of the tier that serves requests."""
        return self.ready * self.answer_ratio / self.total if self.total else 0.0


NO_CAPACITY = Capacity(0.0, 0.0)


class Tier:
    """One tier of a pool. While it is degraded it passes part of its load on.

    `crossed_at` is the instant at which its capacity crossed the threshold for the next transition; infinite
    if it has not.
    """

    __slots__ = ("capacity", "credit", "crossed_at", "has_report", "is_degraded", "share")

    def __init__(self) -> None:
        self.capacity = NO_CAPACITY
        self.is_degraded = False
        self.crossed_at = inf
        self.share = 0.0  # of the pool's requests
        self.credit = 0.0  # requests that it is still due by its share
        self.has_report = False  # whether a capacity has been reported

    def update(self, now: float, capacity: Capacity, settings: TierSettings) -> None:
        """Update the tier's capacity."""
        self.capacity = capacity
        if not self.has_report:
            # No requests were sent in an earlier state, so the first transition needs no delay.
            self.has_report = True
            self.is_degraded = capacity.available_ratio < settings.enough
        if self.is_degraded:
            is_beyond = capacity.available_ratio >= settings.back
        else:
            is_beyond = capacity.available_ratio < settings.enough
        self.crossed_at = min(self.crossed_at, now) if is_beyond else inf

    def transition_at(self, settings: TierSettings) -> float:
        """Return the instant of the next transition if the capacity does not change."""
        return self.crossed_at + (settings.rise_after if self.is_degraded else settings.fall_after)

    def max_share(self, required_weight: float, settings: TierSettings) -> float:
        """Return the share that it can take of a load that requires this weight."""
        available = self.capacity.ready * self.capacity.answer_ratio
        if not available:
            return 0.0
        if not self.is_degraded and self.capacity.total >= required_weight:
            return inf
        return min(available / (required_weight * settings.back), MAX_DEGRADED_SHARE)


class TierSelector:
    """The tiers of one pool, the primary first. Instants must not decrease."""

    __slots__ = ("_credit_bound", "next_transition", "settings", "tiers")

    def __init__(self, count: int, settings: TierSettings) -> None:
        self.settings = settings
        self.tiers = [Tier() for _ in range(count)]
        self.next_transition = inf  # when the shares change if no capacity does
        self._credit_bound = 1.0 - 1.0 / max(2.0, 2.0 * count - 2.0)

    def update(self, now: float, capacities: Sequence[Capacity]) -> None:
        """Update the capacities of all tiers."""
        for tier, capacity in zip(self.tiers, capacities, strict=True):
            tier.update(now, capacity, self.settings)
        self._run_transitions(now)

    def shares(self, now: float) -> list[float]:
        """Return each tier's share of the requests. All are 0 if no endpoint is ready."""
        if now >= self.next_transition:
            self._run_transitions(now)
        return [tier.share for tier in self.tiers]

    def pick(self, now: float) -> int | None:
        """Return the index of the tier for the next request, or None if no endpoint is ready.

        Uses Tijdeman's algorithm for the chairman assignment problem: among the tiers that the request would
        not put too far ahead of their share, it goes to the one that would otherwise fall too far behind
        first. With constant shares, the count of a tier then deviates from its share by at most half a
        request with two tiers, and by less than one request with more.
        """
        if now >= self.next_transition:
            self._run_transitions(now)
        bound = self._credit_bound
        best, soonest = -1, inf
        for index, tier in enumerate(self.tiers):
            if tier.share:
                tier.credit += tier.share
                if tier.credit >= 1.0 - bound - ROUNDING_TOLERANCE:
                    behind_after = (bound - tier.credit) / tier.share
                    if behind_after < soonest:
                        best, soonest = index, behind_after
        if best < 0:
            best = max(range(len(self.tiers)), key=lambda k: (self.tiers[k].share > 0, self.tiers[k].credit))
            if not self.tiers[best].share:
                return None
        self.tiers[best].credit -= 1.0
        return best

    def _run_transitions(self, now: float) -> None:
        settings = self.settings
        for tier in self.tiers:
            # An empty tier is degraded immediately, as it can't serve requests during the delay.
            is_empty = not tier.is_degraded and not tier.capacity.available_ratio
            if now >= tier.transition_at(settings) or is_empty:
                tier.is_degraded = not tier.is_degraded
                tier.crossed_at = inf
                tier.update(now, tier.capacity, settings)
        self.next_transition = min((tier.transition_at(settings) for tier in self.tiers), default=inf)
        self._assign_shares()

    def _assign_shares(self) -> None:
        tiers, settings = self.tiers, self.settings
        required_weight = next((tier.capacity.total for tier in tiers if tier.capacity.total), 0.0)
        rest = 1.0
        for tier in tiers:
            tier.share = min(rest, tier.max_share(required_weight, settings))
            rest -= tier.share
        if rest > 0.0:
            # If no ready endpoint answers, requests still go to the ready endpoints.
            weights = [tier.capacity.ready * tier.capacity.answer_ratio for tier in tiers]
            if not sum(weights):
                weights = [tier.capacity.ready for tier in tiers]
            total = sum(weights)
            for tier, weight in zip(tiers, weights, strict=True):
                tier.share += rest * weight / total if total else 0.0
        for tier in tiers:
            if not tier.share:
                tier.credit = 0.0
