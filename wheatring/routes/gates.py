"""What counts for the limits of one route, and of one pool. Who takes and turns away is `limits`."""

from __future__ import annotations

from math import exp
from random import Random

from wheatring.routes.adaptive import Knee
from wheatring.routes.callers import Caller, Callers
from wheatring.routes.rate import LONG_AGO, Gcra
from wheatring.routes.values import PoolLimits, RouteLimits, Worth

SEEN = 2.0  # seconds since a class last asked in which its floor is kept free for it
LOWER = 1.5  # times its room a caller must leave that has had more than others who want more
FLOW = 2.0  # seconds over which comers and those taken are counted, for Retry-After

Lack = tuple[str, float]  # a reason code, and the seconds that pass at least before it can be otherwise


class Standing:
    """A class in its pool."""

    __slots__ = ("asked", "out", "worth")

    def __init__(self, worth: Worth) -> None:
        self.worth = worth
        self.out = 0
        self.asked = float("-inf")


class Gate:
    """What a route and a pool have alike."""

    __slots__ = ("callers", "full", "gcra", "limits", "now", "out", "per_caller")

    def __init__(self, limits: RouteLimits | PoolLimits, now: float) -> None:
        self.now = now  # never goes back, whatever is handed in
        self.out = 0
        self.full = LONG_AGO
        self.gcra: Gcra | None = None
        self.per_caller: Gcra | None = None
        self.callers: Callers | None = None
        self._settle(limits)

    def _settle(self, limits: RouteLimits | PoolLimits) -> None:
        """Other limits from now on. Jobs out stay counted, buckets and callers known."""
        shares = limits.shares if isinstance(limits, PoolLimits) else None
        gcra = None if limits.rate is None else Gcra(limits.rate)
        if gcra is not None and self.gcra is not None:
            self.full = gcra.moved(self.full, self.gcra)
        self.gcra = gcra
        rate = None if limits.caller is None else limits.caller.rate
        gcra = None if rate is None else Gcra(rate)
        if limits.caller is None and shares is None:
            self.callers = None
        elif self.callers is None:
            self.callers = Callers(limits.table, shares, self.now)
        else:
            self.callers.change(limits.table, shares)
            if gcra is not None and self.per_caller is not None:
                for caller in self.callers.each():
                    caller.full = gcra.moved(caller.full, self.per_caller)
        self.per_caller = gcra
        self.limits = limits

    def caller_lacks(self, caller: Caller) -> Lack | None:
        """Which of its own limits the caller has reached, and for how many seconds at least."""
        own = self.limits.caller
        if own is None:
            return None
        if own.in_flight and caller.out >= own.in_flight:
            return "caller-in-flight", 0.0
        gcra = self.per_caller
        if gcra is not None:
            mark = gcra.mark(self.now)
            if not gcra.fits(caller.full, mark):
                return "caller-rate", gcra.wait(caller.full, mark)
        return None

    def lacks(self) -> Lack | None:
        """The same of the rate of all callers together."""
        gcra = self.gcra
        if gcra is not None:
            mark = gcra.mark(self.now)
            if not gcra.fits(self.full, mark):
                return "rate", gcra.wait(self.full, mark)
        return None

    def take(self, caller: Caller | None) -> None:
        self.out += 1
        if self.gcra is not None:
            self.full = self.gcra.taken(self.full, self.gcra.mark(self.now))
        if caller is not None and self.callers is not None:
            self.callers.take(caller, self.now)
            if self.per_caller is not None:
                caller.full = self.per_caller.taken(caller.full, self.per_caller.mark(self.now))


class Route(Gate):
    """A route's limits and what counts for them."""

    __slots__ = ()

    def __init__(self, limits: RouteLimits, now: float) -> None:
        super().__init__(limits, now)

    def change(self, limits: RouteLimits) -> None:
        self._settle(limits)

    def lacks(self) -> Lack | None:
        most = self.limits.in_flight
        return ("in-flight", 0.0) if most and self.out >= most else super().lacks()


class Pool(Gate):
    """A pool's limits and what counts for them. `claims` is the sum of what each job holds in attempts: those
    it has in flight, one at least until it is over.
    """

    __slots__ = ("_at", "_comers", "_taken", "claims", "knee", "other", "pool", "random", "standings")

    def __init__(self, limits: PoolLimits, now: float, random: Random) -> None:
        self.random = random  # for Retry-After
        self.claims = 0
        self.knee: Knee | None = None
        self.standings: dict[str, Standing] = {}
        self.other = Standing(Worth("other"))  # all classes of which nothing is said
        self._comers = self._taken = 0.0  # counts that fade
        self._at = now
        super().__init__(limits, now)
        self.change(limits)

    def change(self, limits: PoolLimits) -> None:
        self._settle(limits)
        self.pool = limits
        law = limits.adaptive
        if law is None:
            self.knee = None
        elif self.knee is None:
            self.knee = Knee(law, self.now)
        else:
            self.knee.change(law)
        before, self.standings = self.standings, {}
        for worth in limits.worth:
            standing = before.pop(worth.name, None) or Standing(worth)
            standing.worth = worth
            self.standings[worth.name] = standing

    def limit(self) -> int:
        """Jobs in flight at present at most; 0: there is no limit."""
        limit = self.pool.in_flight
        if self.knee is not None and (not limit or self.knee.limit < limit):
            limit = self.knee.limit
        claims = self.pool.claims
        if claims is not None and (not limit or claims.most - claims.reserve < limit):
            limit = claims.most - claims.reserve
        return limit

    def ask(self, kind: str) -> Standing:
        """A job of this class has come."""
        now = self.now
        if now > self._at:
            left = exp((self._at - now) / FLOW)
            self._comers *= left
            self._taken *= left
            self._at = now
        self._comers += 1.0
        standing = self.standings.get(kind, self.other)
        standing.asked = now
        return standing

    def no_place(self, standing: Standing, caller: Caller | None) -> tuple[int, str] | None:
        """Status and reason code if there is no place for a job of that class and caller."""
        limit = self.limit()
        if not limit:
            return None
        out, worth = self.out, standing.worth
        top = max(1, int(worth.fill * limit))
        shares = self.pool.shares
        if shares is not None and caller is not None and out >= int((1.0 - LOWER * shares.room) * top):
            callers = self.callers
            assert callers is not None
            over = callers.over_share(caller, self.now)
            if (over and out >= int((1.0 - shares.room) * top)) or callers.above_others(caller):
                return 429, "share"
        claims = self.pool.claims
        if claims is not None and self.claims >= claims.most - claims.reserve:
            return 503, "claims"
        if out >= limit:
            return 503, "full"
        if standing.out >= int(worth.floor * limit) and out + self._kept(standing, limit) >= top:
            return 503, "worth"
        return None

    def _kept(self, standing: Standing, limit: int) -> int:
        """Places kept free for the floors of the other classes."""
        kept = 0
        for other in self.standings.values():
            if other is not standing and other.worth.floor and self.now <= other.asked + SEEN:
                kept += max(0, int(other.worth.floor * limit) - other.out)
        return kept

    def begin(self, standing: Standing, caller: Caller | None) -> None:
        """A job is taken."""
        self.take(caller)
        self._taken += 1.0
        self.claims += 1
        standing.out += 1
        if self.knee is not None:
            self.knee.took(self.out)

    def advice(self, least: float, comers: float, taken: float) -> float:
        """A Retry-After of `least` or more, drawn so that those turned away come back spread over the time in
        which so many are taken.
        """
        told = self.pool.advice
        low = max(told.least, min(least, 0.5 * told.most))
        spread = FLOW * (comers - taken) / max(1.0, taken)
        high = min(told.most, low + max(told.least, spread))
        return low + max(0.0, high - low) * self.random.random()

    def crowd(self) -> tuple[float, float]:
        """Who came of late, and who was taken."""
        return self._comers, self._taken
