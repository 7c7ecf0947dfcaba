"""Admission control: admits or rejects a request by the limits of its route and then of its pool.

An admitted request counts for its route, pool and caller from `admit` to `Admission.finish`, with all its
attempts, so a retry needs no further capacity. Attempts in flight have a separate limit, but each request can
always have one.
"""

from __future__ import annotations

from enum import Enum

from wheatring.daemon.routes.callers import Caller
from wheatring.daemon.routes.exceptions import AlreadyFinishedError
from wheatring.daemon.routes.limiters import ClassState, PoolLimiter, RouteLimiter


class Outcome(Enum):
    """How a request ended."""

    SERVED = "served"
    REJECTED = "refused"  # by this sidecar or by the endpoints; no sample of the latency
    FAILED = "failed"  # the response is an error
    DEADLINE_EXCEEDED = "late"
    CANCELLED = "left"  # its caller disconnected


class Rejection:
    """A request that is not admitted.

    `status` is 429 if the caller exceeds a limit of its own, 503 if capacity is short; `reason` is a reason
    code, `retry_after` is in seconds.
    """

    __slots__ = ("reason", "retry_after", "status")

    def __init__(self, status: int, reason: str, retry_after: float) -> None:
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


class Admission:
    """An admitted request, until `finish`. Attempts that are still in flight then stay counted."""

    __slots__ = (
        "_attempts", "_caller_name", "_class_state", "_first_attempt_at", "_is_finished", "_pool",
        "_pool_caller", "_route", "_route_caller",
    )  # fmt: skip

    def __init__(
        self, now: float, route: RouteLimiter | None, pool: PoolLimiter, class_state: ClassState,
        route_caller: Caller | None, pool_caller: Caller | None, caller_name: str,
    ) -> None:  # fmt: skip
        self._route = route
        self._pool = pool
        self._class_state = class_state
        self._route_caller = route_caller
        self._pool_caller = pool_caller
        self._caller_name = caller_name
        self._attempts = 0  # in flight
        self._first_attempt_at = now  # start of the first attempt in flight
        self._is_finished = False

    def start_attempt(self, now: float) -> bool:
        """Return whether another attempt may start. If so, it is counted until `finish_attempt`.

        An unfinished request without an attempt in flight may always start one.
        """
        pool = self._pool
        if self._is_finished:
            return False
        if not self._attempts:
            self._first_attempt_at = now
        else:
            claims = pool.pool_settings.claims
            if claims is not None and pool.attempts >= claims.most:
                return False
            pool.attempts += 1
        self._attempts += 1
        return True

    def finish_attempt(self) -> None:
        """Record that an attempt is no longer in flight, with any outcome.

        Raises AlreadyFinishedError if none was in flight.
        """
        if not self._attempts:
            raise AlreadyFinishedError("no attempt of the request is in flight")
        if self._is_finished or self._attempts > 1:
            self._pool.attempts -= 1
        self._attempts -= 1

    def finish(self, now: float, outcome: Outcome) -> None:
        """Record the end of the request. Raises AlreadyFinishedError if called twice."""
        if self._is_finished:
            raise AlreadyFinishedError("the request is already finished")
        self._is_finished = True
        pool = self._pool
        if not self._attempts:
            pool.attempts -= 1
        pool.in_flight -= 1
        self._class_state.in_flight -= 1
        if self._route is not None:
            self._route.in_flight -= 1
        if self._route_caller is not None:
            self._route_caller.finish_request(self._caller_name)
        if self._pool_caller is not None:
            self._pool_caller.finish_request(self._caller_name)
        pool.now = now = max(now, pool.now)
        adaptive = pool.adaptive
        if adaptive is not None and outcome is not Outcome.REJECTED:
            if outcome is Outcome.SERVED:
                adaptive.on_response(now, now - self._first_attempt_at, pool.in_flight)
            else:
                adaptive.on_abandoned(now, now - self._first_attempt_at, pool.in_flight)


def admit(
    now: float, route: RouteLimiter | None, pool: PoolLimiter, caller: str, class_name: str
) -> Admission | Rejection:
    """Admit or reject a request. A rejected one uses neither capacity nor tokens of a rate limit.

    Limits of the caller are checked first, then those of the route, then the pool's rate and capacity. The
    first limit that is reached is the reason.

    Parameters
    ----------
    now
        The current instant in seconds. If it is before a previous one, the previous one is used.
    route
        The limits of the request's route, if it has any.
    pool
        The limits of its pool.
    caller
        Identifies the caller; compared literally.
    class_name
        The request's class.
    """
    now = max(now, pool.now)
    if route is not None:
        route.now = now = max(now, route.now)
    pool.now = now
    class_state = pool.record_request(class_name)
    route_callers = None if route is None else route.callers
    route_caller = None if route_callers is None else route_callers.record_request(caller, now)
    pool_caller = None if pool.callers is None else pool.callers.record_request(caller, now)

    rejection = (
        _check_callers(route, pool, route_caller, pool_caller)
        or _check_totals(route, pool)
        or _check_capacity(pool, class_state, pool_caller)
    )
    if rejection is not None:
        return rejection
    if route is not None:
        route.record_admission(route_caller, caller)
    pool.record_class_admission(class_state, pool_caller, caller)
    return Admission(now, route, pool, class_state, route_caller, pool_caller, caller)


def _check_callers(
    route: RouteLimiter | None, pool: PoolLimiter, route_caller: Caller | None, pool_caller: Caller | None
) -> Rejection | None:
    """Check the caller's own limits."""
    if route is not None and route_caller is not None:
        shortage = route.caller_shortage(route_caller)
        if shortage is not None:
            return _caller_rejection(pool, "route-" + shortage.reason, shortage.wait_seconds, route_caller)
    if pool_caller is not None:
        shortage = pool.caller_shortage(pool_caller)
        if shortage is not None:
            return _caller_rejection(pool, "pool-" + shortage.reason, shortage.wait_seconds, pool_caller)
    return None


def _check_totals(route: RouteLimiter | None, pool: PoolLimiter) -> Rejection | None:
    """Check the limits for all callers together."""
    if route is not None:
        shortage = route.shortage()
        if shortage is not None:
            return _pool_rejection(pool, 503, "route-" + shortage.reason, shortage.wait_seconds)
    shortage = pool.shortage()
    if shortage is not None:
        return _pool_rejection(pool, 503, "pool-" + shortage.reason, shortage.wait_seconds)
    return None


def _check_capacity(pool: PoolLimiter, class_state: ClassState, caller: Caller | None) -> Rejection | None:
    """Check that the pool has capacity for the class and the caller."""
    shortage = pool.capacity_shortage(class_state, caller)
    if shortage is None:
        return None
    status, reason = shortage
    if pool.adaptive is not None and reason != "claims" and pool.adaptive.limit == pool.limit():
        pool.adaptive.on_rejected(pool.now)
    if status == 429 and caller is not None:
        return _caller_rejection(pool, "pool-" + reason, 0.0, caller)
    return _pool_rejection(pool, status, "pool-" + reason, 0.0)


def _pool_rejection(pool: PoolLimiter, status: int, reason: str, wait_seconds: float) -> Rejection:
    """Reject because the pool is short of capacity; Retry-After depends on all recent requests."""
    return Rejection(status, reason, pool.retry_after_seconds(wait_seconds, *pool.recent_counts()))


def _caller_rejection(pool: PoolLimiter, reason: str, wait_seconds: float, caller: Caller) -> Rejection:
    """Reject because of the caller's own limit; Retry-After depends on its recent requests."""
    retry_after = pool.retry_after_seconds(wait_seconds, caller.requests, caller.admissions)
    return Rejection(429, reason, retry_after)
