"""Priority tiers within a pool: which of them a request goes to, the primary first.

Load is measured in the size of the first tier that has one. A tier that is not degraded takes all that
reaches it, if it is no smaller than that; else it takes what the part of it that is ready can serve, and
passes the rest on. What no tier has capacity for is spread over all of them by what they have.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from wheatring.daemon.routes.limit_settings import TierSettings, check_number

# Of the load, to a degraded tier: so that nothing is passed on and nothing comes back at the same instant.
MAX_DEGRADED_SHARE = 0.95
ROUNDING_TOLERANCE = 1e-9  # requests


@dataclass(frozen=True, slots=True)
class Capacity:
    """A tier at present. Weights of endpoints are added up; an endpoint of weight 0 is sent nothing."""

    ready: float  # weight of the endpoints that are ready
    total: float  # weight of all endpoints that are listed
    answer_ratio: float = 1.0  # of the requests that the ready ones are sent, those that they answer

    def __post_init__(self) -> None:
        """Check the fields. Raises ValueError."""
        check_number("tier.whole", self.total, "(a weight)", 0, inf)
        check_number("tier.ready", self.ready, "(a weight)", 0, self.total)
        check_number("tier.answering", self.answer_ratio, "of the answers", 0, 1)

    @property
    def available_ratio(self) -> float:
        """The part of the tier that serves requests."""
        return self.ready * self.answer_ratio / self.total if self.total else 0.0


NO_CAPACITY = Capacity(0.0, 0.0)


class Tier:
    """One tier of a pool, and whether it is degraded: then it passes part of its load on.

    `crossed_at` is the instant since which it has been beyond the threshold that would change this; infinite
    while it is not.
    """

    __slots__ = ("capacity", "credit", "crossed_at", "has_report", "is_degraded", "share")

    def __init__(self) -> None:
        self.capacity = NO_CAPACITY
        self.is_degraded = False
        self.crossed_at = inf
        self.share = 0.0  # of the requests
        self.credit = 0.0  # requests that it is due beyond those it has had
        self.has_report = False  # its capacity has been reported

    def update(self, now: float, capacity: Capacity, settings: TierSettings) -> None:
        """Take in the tier's capacity at an instant."""
        self.capacity = capacity
        if not self.has_report:
            # Nothing was sent under an earlier state: there is no reason to wait.
            self.has_report = True
            self.is_degraded = capacity.available_ratio < settings.enough
        if self.is_degraded:
            is_beyond = capacity.available_ratio >= settings.back
        else:
            is_beyond = capacity.available_ratio < settings.enough
        self.crossed_at = min(self.crossed_at, now) if is_beyond else inf

    def transition_at(self, settings: TierSettings) -> float:
        """Return the instant at which it becomes degraded, or recovers, if nothing changes."""
        return self.crossed_at + (settings.rise_after if self.is_degraded else settings.fall_after)

    def max_share(self, required_weight: float, settings: TierSettings) -> float:
        """Return the part of the entire load that it can take, of a load that needs so much weight."""
        available = self.capacity.ready * self.capacity.answer_ratio
        if not available:
            return 0.0
        if not self.is_degraded and self.capacity.total >= required_weight:
            return inf
        return min(available / (required_weight * settings.back), MAX_DEGRADED_SHARE)


class TierSelector:
    """The tiers of one pool, the primary first. Instants must not go back."""

    __slots__ = ("_credit_bound", "next_transition", "settings", "tiers")

    def __init__(self, count: int, settings: TierSettings) -> None:
        self.settings = settings
        self.tiers = [Tier() for _ in range(count)]
        self.next_transition = inf  # when the shares change if nothing is reported
        self._credit_bound = 1.0 - 1.0 / max(2.0, 2.0 * count - 2.0)

    def update(self, now: float, capacities: Sequence[Capacity]) -> None:
        """Take in the capacities of all tiers at an instant."""
        for tier, capacity in zip(self.tiers, capacities, strict=True):
            tier.update(now, capacity, self.settings)
        self._run_transitions(now)

    def shares(self, now: float) -> list[float]:
        """Return the part of the requests that each tier gets. All are 0 where no endpoint is ready."""
        if now >= self.next_transition:
            self._run_transitions(now)
        return [tier.share for tier in self.tiers]

    def pick(self, now: float) -> int | None:
        """Return the index of the tier for the next request; None: no tier has an endpoint that is ready.

        After any number of requests with the same shares, no tier of two has had more or less than its share
        by over half a request, and no tier of any number by an entire one (chairman assignment, Tijdeman):
        each request goes, of those that would not be ahead of their share by it, to the one that would be
        behind by too much first.
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
            # A tier with nothing left is degraded at once: there is nobody to wait for.
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
            # Where endpoints are ready and none answers, they are all there is.
            weights = [tier.capacity.ready * tier.capacity.answer_ratio for tier in tiers]
            if not sum(weights):
                weights = [tier.capacity.ready for tier in tiers]
            total = sum(weights)
            for tier, weight in zip(tiers, weights, strict=True):
                tier.share += rest * weight / total if total else 0.0
        for tier in tiers:
            if not tier.share:
                tier.credit = 0.0
