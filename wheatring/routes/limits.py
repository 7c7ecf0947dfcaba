"""Whether a job is taken, decided before there is one: a route's limits, then its pool's, all or nothing.

A job holds one place of its route, its pool and its caller from `take` to `done`, for all its attempts, so a
repeat asks for no place. Attempts in flight have a bound of their own, in which each job owns one place.
"""

from __future__ import annotations

from enum import Enum

from wheatring.routes.callers import Caller
from wheatring.routes.gates import Pool, Route, Standing


class End(Enum):
    """How a job ended."""

    SERVED = "served"
    REFUSED = "refused"  # by the decisions, or by the nodes: says nothing of how long an answer takes
    FAILED = "failed"  # with an error
    LATE = "late"  # its time was over
    LEFT = "left"  # its caller has gone


class DoneTwice(RuntimeError):
    """A job was told to be over that was over, or an attempt that was not out."""


class Refusal:
    """Turned away: 429 for what the caller has too much of, 503 for what there is too little of. `why` is a
    reason code, `retry_after` seconds.
    """

    __slots__ = ("retry_after", "status", "why")

    def __init__(self, status: int, why: str, retry_after: float) -> None:
        self.status = status
        self.why = why
        self.retry_after = retry_after


class Taken:
    """A job that was taken, until `done`; after it, its attempts that are still in flight stay counted."""

    __slots__ = ("_at_pool", "_at_route", "_claims", "_over", "_pool", "_route", "_since", "_standing")

    def __init__(
        self, now: float, route: Route | None, pool: Pool, standing: Standing,
        at_route: Caller | None, at_pool: Caller | None,
    ) -> None:  # fmt: skip
        self._route = route
        self._pool = pool
        self._standing = standing
        self._at_route = at_route
        self._at_pool = at_pool
        self._claims = 0  # in flight
        self._since = now  # when the first of them began
        self._over = False

    def claim(self, now: float) -> bool:
        """Whether one more attempt may go out now. True: it counts from here on, to `claim_ended`. A job that
        is not over and has none in flight may always send one.
        """
        pool = self._pool
        if self._over:
            return False
        if not self._claims:
            self._since = now
        else:
            bound = pool.pool.claims
            if bound is not None and pool.claims >= bound.most:
                return False
            pool.claims += 1
        self._claims += 1
        return True

    def claim_ended(self) -> None:
        """An attempt is no longer in flight, whatever came of it."""
        if not self._claims:
            raise DoneTwice("an attempt has ended that was not in flight")
        if self._over or self._claims > 1:
            self._pool.claims -= 1
        self._claims -= 1

    def done(self, now: float, end: End) -> None:
        """The job is over: to be told once, or DoneTwice is raised."""
        if self._over:
            raise DoneTwice("a job is over that was over")
        self._over = True
        pool = self._pool
        if not self._claims:
            pool.claims -= 1
        pool.out -= 1
        self._standing.out -= 1
        if self._route is not None:
            self._route.out -= 1
        if self._at_route is not None:
            self._at_route.out -= 1
        if self._at_pool is not None:
            self._at_pool.out -= 1
        pool.now = now = max(now, pool.now)
        knee = pool.knee
        if knee is not None and end is not End.REFUSED:
            if end is End.SERVED:
                knee.answered(now, now - self._since, pool.out)
            else:
                knee.gave_up(now, now - self._since, pool.out)


def take(now: float, route: Route | None, pool: Pool, caller: str, kind: str) -> Taken | Refusal:
    """Take a job of a class, or turn it away. Nothing that is turned away uses up a place or a rate.

    `caller` names who asks, and is compared as it is. The callers' own limits come first, then the route's,
    then the pool's rate and place; the first that says no is the reason. An instant before one that was
    handed in earlier counts as that one.
    """
    now = max(now, pool.now)
    if route is not None:
        route.now = now = max(now, route.now)
    pool.now = now
    standing = pool.ask(kind)
    at_route = route.callers.ask(caller, now) if route is not None and route.callers is not None else None
    at_pool = pool.callers.ask(caller, now) if pool.callers is not None else None

    if route is not None and at_route is not None:
        lack = route.caller_lacks(at_route)
        if lack is not None:
            return _own(pool, "route-" + lack[0], lack[1], at_route)
    if at_pool is not None:
        lack = pool.caller_lacks(at_pool)
        if lack is not None:
            return _own(pool, "pool-" + lack[0], lack[1], at_pool)
    if route is not None:
        lack = route.lacks()
        if lack is not None:
            return Refusal(503, "route-" + lack[0], pool.advice(lack[1], *pool.crowd()))
    lack = pool.lacks()
    if lack is not None:
        return Refusal(503, "pool-" + lack[0], pool.advice(lack[1], *pool.crowd()))
    no_place = pool.no_place(standing, at_pool)
    if no_place is not None:
        status, why = no_place
        if pool.knee is not None and why != "claims" and pool.knee.limit == pool.limit():
            pool.knee.turned_away(now)
        if status == 429 and at_pool is not None:
            return _own(pool, "pool-" + why, 0.0, at_pool)
        return Refusal(status, "pool-" + why, pool.advice(0.0, *pool.crowd()))

    if route is not None:
        route.take(at_route)
    pool.begin(standing, at_pool)
    return Taken(now, route, pool, standing, at_route, at_pool)


def _own(pool: Pool, why: str, least: float, caller: Caller) -> Refusal:
    """Too much of one caller: its own jobs say how far its next ones are to be spread."""
    return Refusal(429, why, pool.advice(least, caller.asks, caller.takes))
