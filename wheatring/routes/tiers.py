"""Priority tiers within a pool: which of them a request goes to, primary first.

Load is measured in the size of the first tier that has one. A tier that is whole takes all that reaches it,
if it is no smaller than that; else it takes what the share of it that is ready is good for, and hands the
rest on. What no tier has room for is spread over all of them by what they have.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from wheatring.routes.values import TierLaw, number

HELD = 0.95  # of the load at most goes to a tier that is short, so that it is whole at one instant


@dataclass(frozen=True, slots=True)
class Capacity:
    """A tier at present. Weights of nodes are added up; who has weight 0 is sent nothing."""

    ready: float  # of the nodes that are ready
    whole: float  # of all nodes that are listed
    answering: float = 1.0  # share of what the ready ones are sent that they answer

    def __post_init__(self) -> None:
        number("tier.whole", self.whole, "(a weight)", 0, inf)
        number("tier.ready", self.ready, "(a weight)", 0, self.whole)
        number("tier.answering", self.answering, "of the answers", 0, 1)

    @property
    def share(self) -> float:
        """Of the tier that is there for requests."""
        return self.ready * self.answering / self.whole if self.whole else 0.0


NOTHING = Capacity(0.0, 0.0)


class Tier:
    """`short`: it hands part of its load on. `since`: from when on it has been on the far side of the bound
    that would change this; inf while it is not.
    """

    __slots__ = ("capacity", "credit", "seen", "share", "short", "since")

    def __init__(self) -> None:
        self.capacity = NOTHING
        self.short = False
        self.since = inf
        self.share = 0.0  # of the requests
        self.credit = 0.0  # requests that it is due beyond those it has had
        self.seen = False  # it was told of

    def tell(self, now: float, capacity: Capacity, law: TierLaw) -> None:
        self.capacity = capacity
        if not self.seen:
            # Nothing was sent by an earlier state: there is nothing to be slow about.
            self.seen = True
            self.short = capacity.share < law.enough
        beyond = capacity.share >= law.back if self.short else capacity.share < law.enough
        self.since = min(self.since, now) if beyond else inf

    def due(self, law: TierLaw) -> float:
        """The instant at which it turns short or whole if nothing changes."""
        return self.since + (law.rise_after if self.short else law.fall_after)

    def room(self, need: float, law: TierLaw) -> float:
        """The part of the whole load that it can take, of a load that needs so much weight."""
        there = self.capacity.ready * self.capacity.answering
        if not there:
            return 0.0
        if not self.short and self.capacity.whole >= need:
            return inf
        return min(there / (need * law.back), HELD)


class Tiers:
    """The tiers of one pool, the first one first. Instants must not go back."""

    __slots__ = ("_edge", "due", "law", "tiers")

    def __init__(self, count: int, law: TierLaw) -> None:
        self.law = law
        self.tiers = [Tier() for _ in range(count)]
        self.due = inf  # when the shares change if nothing is told
        self._edge = 1.0 - 1.0 / max(2.0, 2.0 * count - 2.0)

    def tell(self, now: float, capacities: Sequence[Capacity]) -> None:
        """What the tiers have now; one entry for each tier."""
        for tier, capacity in zip(self.tiers, capacities, strict=True):
            tier.tell(now, capacity, self.law)
        self._turn(now)

    def shares(self, now: float) -> list[float]:
        """Which part of the requests each tier gets. All are 0 where no node is ready."""
        if now >= self.due:
            self._turn(now)
        return [tier.share for tier in self.tiers]

    def pick(self, now: float) -> int | None:
        """The tier for the next request; None: no tier has a node that is ready.

        After any number of requests with the same shares, no tier of two has had more or less than its share
        by over half a request, and no tier of any number by a whole one: each request goes, of those that
        would not be ahead of their share by it, to the one that would be behind by too much first.
        """
        if now >= self.due:
            self._turn(now)
        edge = self._edge
        best, soonest = -1, inf
        for index, tier in enumerate(self.tiers):
            if tier.share:
                tier.credit += tier.share
                if tier.credit >= 1.0 - edge - 1e-9:
                    last = (edge - tier.credit) / tier.share
                    if last < soonest:
                        best, soonest = index, last
        if best < 0:
            best = max(range(len(self.tiers)), key=lambda k: (self.tiers[k].share > 0, self.tiers[k].credit))
            if not self.tiers[best].share:
                return None
        self.tiers[best].credit -= 1.0
        return best

    def _turn(self, now: float) -> None:
        law = self.law
        for tier in self.tiers:
            # A tier with nothing left is short at once: there is nobody to wait for.
            if now >= tier.due(law) or (not tier.short and not tier.capacity.share):
                tier.short = not tier.short
                tier.since = inf
                tier.tell(now, tier.capacity, law)
        self.due = min((tier.due(law) for tier in self.tiers), default=inf)
        self._share_out()

    def _share_out(self) -> None:
        tiers, law = self.tiers, self.law
        need = next((tier.capacity.whole for tier in tiers if tier.capacity.whole), 0.0)
        rest = 1.0
        for tier in tiers:
            tier.share = min(rest, tier.room(need, law))
            rest -= tier.share
        if rest > 0.0:
            # Where nodes are ready and none answers, they are all there is.
            weights = [tier.capacity.ready * tier.capacity.answering for tier in tiers]
            if not sum(weights):
                weights = [tier.capacity.ready for tier in tiers]
            there = sum(weights)
            for tier, weight in zip(tiers, weights, strict=True):
                tier.share += rest * weight / there if there else 0.0
        for tier in tiers:
            if not tier.share:
                tier.credit = 0.0
