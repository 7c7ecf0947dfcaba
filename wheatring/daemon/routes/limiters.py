"""The counts and limits of one route and of one pool, used by `admission`."""

from __future__ import annotations

from math import exp
from random import Random
from typing import NamedTuple

from wheatring.daemon.routes.adaptive_limit import AdaptiveLimit
from wheatring.daemon.routes.callers import Caller, CallerTable
from wheatring.daemon.routes.gcra import NEVER_USED, Gcra
from wheatring.daemon.routes.limit_settings import ClassPriority, PoolLimitSettings, RouteLimitSettings

FLOOR_KEPT_SECONDS = 2.0  # time for which a class's floor stays reserved after its last request
ABOVE_MEAN_ROOM_FACTOR = 1.5  # a caller above the mean must leave this multiple of `shares.room` free
RETRY_AFTER_WINDOW_SECONDS = 2.0  # time constant of the counts for Retry-After


class Shortage(NamedTuple):
    """A limit that is reached."""

    reason: str  # a reason code
    wait_seconds: float  # minimum time until the limit may no longer be reached


class CapacityShortage(NamedTuple):
    """Why a pool has no capacity for a request."""

    status: int  # HTTP status of the answer
    reason: str  # a reason code


class ClassState:
    """The state of a class in its pool."""

    __slots__ = ("in_flight", "last_request_at", "priority")

    def __init__(self, priority: ClassPriority) -> None:
        self.priority = priority
        self.in_flight = 0
        self.last_request_at = float("-inf")


class Limiter:
    """The limits and counts that routes and pools have in common."""

    __slots__ = ("caller_gcra", "callers", "gcra", "in_flight", "now", "settings", "theoretical_arrival")

    def __init__(self, settings: RouteLimitSettings | PoolLimitSettings, now: float) -> None:
        self.now = now  # never decreases, even if an earlier instant is passed in
        self.in_flight = 0
        self.theoretical_arrival = NEVER_USED
        self.gcra: Gcra | None = None
        self.caller_gcra: Gcra | None = None
        self.callers: CallerTable | None = None
        self._apply_settings(settings)

    def _apply_settings(self, settings: RouteLimitSettings | PoolLimitSettings) -> None:
        """Apply new limits. Requests in flight, buckets and callers are kept."""
        shares = settings.shares if isinstance(settings, PoolLimitSettings) else None
        gcra = None if settings.rate is None else Gcra(settings.rate)
        if gcra is not None and self.gcra is not None:
            self.theoretical_arrival = gcra.convert(self.theoretical_arrival, self.gcra)
        self.gcra = gcra
        rate = None if settings.caller is None else settings.caller.rate
        caller_gcra = None if rate is None else Gcra(rate)
        if settings.caller is None and shares is None:
            self.callers = None
        elif self.callers is None:
            self.callers = CallerTable(settings.table, shares, self.now)
        else:
            self.callers.update_settings(settings.table, shares)
            if caller_gcra is not None and self.caller_gcra is not None:
                for caller in self.callers.entries():
                    caller.theoretical_arrival = caller_gcra.convert(
                        caller.theoretical_arrival, self.caller_gcra
                    )
        self.caller_gcra = caller_gcra
        self.settings = settings

    def caller_shortage(self, caller: Caller) -> Shortage | None:
        """Return the limit of its own that a caller has reached, if any."""
        own = self.settings.caller
        if own is None:
            return None
        if own.in_flight and caller.in_flight >= own.in_flight:
            return Shortage("caller-in-flight", 0.0)
        return self._rate_shortage(self.caller_gcra, caller.theoretical_arrival, "caller-rate")

    def shortage(self) -> Shortage | None:
        """Return the limit that all callers together have reached, if any."""
        return self._rate_shortage(self.gcra, self.theoretical_arrival, "rate")

    def _rate_shortage(self, gcra: Gcra | None, theoretical_arrival: int, reason: str) -> Shortage | None:
        if gcra is None:
            return None
        tick = gcra.tick(self.now)
        if gcra.conforms(theoretical_arrival, tick):
            return None
        return Shortage(reason, gcra.wait_seconds(theoretical_arrival, tick))

    def record_admission(self, caller: Caller | None, name: str) -> None:
        """Record an admitted request of the caller `name`."""
        self.in_flight += 1
        if self.gcra is not None:
            self.theoretical_arrival = self.gcra.charge(self.theoretical_arrival, self.gcra.tick(self.now))
        if caller is not None and self.callers is not None:
            self.callers.record_admission(caller, name, self.now)
            gcra = self.caller_gcra
            if gcra is not None:
                caller.theoretical_arrival = gcra.charge(caller.theoretical_arrival, gcra.tick(self.now))


class RouteLimiter(Limiter):
    """The limits and counts of a route."""

    __slots__ = ()

    def __init__(self, settings: RouteLimitSettings, now: float) -> None:
        super().__init__(settings, now)

    def update_settings(self, settings: RouteLimitSettings) -> None:
        """Apply new limits."""
        self._apply_settings(settings)

    def shortage(self) -> Shortage | None:
        """Return the limit that all callers together have reached, if any."""
        limit = self.settings.in_flight
        if limit and self.in_flight >= limit:
            return Shortage("in-flight", 0.0)
        return super().shortage()


class PoolLimiter(Limiter):
    """The limits and counts of a pool.

    `attempts` is the number of attempts in flight; a request without any counts as one until it is finished.
    """

    __slots__ = (
        "_recent_admissions", "_recent_at", "_recent_requests", "adaptive", "attempts", "classes",
        "other_classes", "pool_settings", "random",
    )  # fmt: skip

    def __init__(self, settings: PoolLimitSettings, now: float, random: Random) -> None:
        self.random = random  # for Retry-After
        self.attempts = 0
        self.adaptive: AdaptiveLimit | None = None
        self.classes: dict[str, ClassState] = {}
        self.other_classes = ClassState(ClassPriority("other"))  # all classes without a configured priority
        self._recent_requests = self._recent_admissions = 0.0  # exponentially decaying counts
        self._recent_at = now
        super().__init__(settings, now)
        self.update_settings(settings)

    def update_settings(self, settings: PoolLimitSettings) -> None:
        """Apply new limits. Requests in flight and the adaptive limit are kept."""
        self._apply_settings(settings)
        self.pool_settings = settings
        if settings.adaptive is None:
            self.adaptive = None
        elif self.adaptive is None:
            self.adaptive = AdaptiveLimit(settings.adaptive, self.now)
        else:
            self.adaptive.update_settings(settings.adaptive)
        previous, self.classes = self.classes, {}
        for priority in settings.worth:
            state = previous.pop(priority.name, None) or ClassState(priority)
            state.priority = priority
            self.classes[priority.name] = state

    def limit(self) -> int:
        """Return the current limit on requests in flight; 0: no limit."""
        limit = self.pool_settings.in_flight
        if self.adaptive is not None and (not limit or self.adaptive.limit < limit):
            limit = self.adaptive.limit
        claims = self.pool_settings.claims
        if claims is not None and (not limit or claims.most - claims.reserve < limit):
            limit = claims.most - claims.reserve
        return limit

    def record_request(self, class_name: str) -> ClassState:
        """Record a request of a class, and return the state of the class."""
        now = self.now
        if now > self._recent_at:
            remaining = exp((self._recent_at - now) / RETRY_AFTER_WINDOW_SECONDS)
            self._recent_requests *= remaining
            self._recent_admissions *= remaining
            self._recent_at = now
        self._recent_requests += 1.0
        state = self.classes.get(class_name, self.other_classes)
        state.last_request_at = now
        return state

    def capacity_shortage(self, state: ClassState, caller: Caller | None) -> CapacityShortage | None:
        """Return why there is no capacity for a request of a class and caller, or None if there is."""
        limit = self.limit()
        if not limit:
            return None
        in_flight, priority = self.in_flight, state.priority
        class_limit = max(1, int(priority.fill * limit))
        if caller is not None and self._is_over_share(caller, class_limit):
            return CapacityShortage(429, "share")
        claims = self.pool_settings.claims
        if claims is not None and self.attempts >= claims.most - claims.reserve:
            return CapacityShortage(503, "claims")
        if in_flight >= limit:
            return CapacityShortage(503, "full")
        is_above_floor = state.in_flight >= int(priority.floor * limit)
        if is_above_floor and in_flight + self._reserved_for_others(state, limit) >= class_limit:
            return CapacityShortage(503, "worth")
        return None

    def _is_over_share(self, caller: Caller, class_limit: int) -> bool:
        """Return whether the pool is so full that the rest is reserved for callers below their share."""
        shares, in_flight = self.pool_settings.shares, self.in_flight
        if shares is None or in_flight < int((1.0 - ABOVE_MEAN_ROOM_FACTOR * shares.room) * class_limit):
            return False
        callers = self.callers
        assert callers is not None
        is_over = callers.is_over_share(caller, self.now)
        if is_over and in_flight >= int((1.0 - shares.room) * class_limit):
            return True
        return callers.is_above_mean(caller)

    def _reserved_for_others(self, state: ClassState, limit: int) -> int:
        """Return the capacity reserved for the floors of other classes, in requests."""
        reserved = 0
        for other in self.classes.values():
            is_recent = self.now <= other.last_request_at + FLOOR_KEPT_SECONDS
            if other is not state and other.priority.floor and is_recent:
                reserved += max(0, int(other.priority.floor * limit) - other.in_flight)
        return reserved

    def record_class_admission(self, state: ClassState, caller: Caller | None, name: str) -> None:
        """Record an admitted request of a class and of the caller `name`."""
        self.record_admission(caller, name)
        self._recent_admissions += 1.0
        self.attempts += 1
        state.in_flight += 1
        if self.adaptive is not None:
            self.adaptive.on_admitted(self.in_flight)

    def retry_after_seconds(self, minimum: float, requests: float, admissions: float) -> float:
        """Draw a Retry-After of at least `minimum` seconds.

        Requests that are rejected at the same time are spread over the time in which so many are admitted,
        so that they don't all return at the same time.
        """
        bounds = self.pool_settings.retry_after
        low = max(bounds.least, min(minimum, 0.5 * bounds.most))
        spread = RETRY_AFTER_WINDOW_SECONDS * (requests - admissions) / max(1.0, admissions)
        high = min(bounds.most, low + max(bounds.least, spread))
        return low + max(0.0, high - low) * self.random.random()

    def recent_counts(self) -> tuple[float, float]:
        """Return the recent requests and admissions, which decay exponentially."""
        return self._recent_requests, self._recent_admissions
