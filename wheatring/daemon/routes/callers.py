"""The callers of a route or pool, in a table of bounded size, and their fair shares.

A caller is identified by a string: a token's holder, a header's value or an address. There are two segments,
as in a segmented LRU cache. A caller that keeps sending requests is promoted to *known* and is not evicted
while it is active. All others are *strangers*; a flood of names evicts only these. Strangers are also counted
together as one caller, so that nothing is gained by inventing names.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Mapping
from math import exp, inf

from wheatring.daemon.routes.gcra import NEVER_USED
from wheatring.daemon.routes.limit_settings import CallerTableSettings, FairShareSettings

MAX_EVICTION_ATTEMPTS = 8  # entries with requests in flight that are skipped before an eviction fails
NEGLIGIBLE_REQUESTS = 1e-3  # smaller decayed counts are ignored
THROUGHPUT_WINDOW_SECONDS = 0.5  # time constant; short, as throughput rises at the onset of overload
OVERLOAD_RATIO = 1.1  # of requests to admissions; a lower ratio would limit callers by chance
ABOVE_MEAN_RATIO = 1.02  # of a caller's admissions to the mean
MAX_REQUESTS_AHEAD = 4.0  # requests by which a caller may exceed its share
LEVEL_INTERVAL_SECONDS = 0.1  # between updates of the fair level


class Caller:
    """The counts of one caller.

    `requests` and `admissions` decay exponentially; their values are as of `updated_at`, the instant of the
    last request. `in_flight` is exact.
    """

    __slots__ = (
        "admissions", "admitted_total", "first_seen_at", "in_flight", "is_known", "name", "next_slot_at",
        "requests", "theoretical_arrival", "updated_at", "weight",
    )  # fmt: skip

    def __init__(self, name: str, weight: float, now: float) -> None:
        self.name = name
        self.weight = weight
        self.in_flight = 0
        self.admitted_total = 0
        self.theoretical_arrival = NEVER_USED  # of its rate limit, see `gcra`
        self.requests = 0.0
        self.admissions = 0.0
        self.next_slot_at = now  # the instant at which its usage equals its share
        self.updated_at = self.first_seen_at = now
        self.is_known = False

    def start_request(self, name: str) -> None:  # noqa: ARG002 - used by OverflowEntry
        """Count a request of the caller of that name as in flight."""
        self.in_flight += 1

    def finish_request(self, name: str) -> None:  # noqa: ARG002 - used by OverflowEntry
        """Count a request of the caller of that name as in flight no longer."""
        self.in_flight -= 1

    def decay(self, now: float, window_seconds: float) -> None:
        """Decay the counts up to an instant, with `window_seconds` as the time constant."""
        if now > self.updated_at:
            remaining = exp((self.updated_at - now) / window_seconds)
            self.requests *= remaining
            self.admissions *= remaining
            self.updated_at = now


class OverflowEntry(Caller):
    """The entry that counts all strangers for which the table had no room.

    Attributes
    ----------
    in_flight_by_name : dict[str, int]
        The requests in flight of each caller that has any. Its size is bounded by the requests in flight.
    """

    __slots__ = ("in_flight_by_name",)

    def __init__(self, now: float) -> None:
        super().__init__("", 1.0, now)
        self.in_flight_by_name: dict[str, int] = {}

    def start_request(self, name: str) -> None:
        """Count a request of the caller of that name as in flight."""
        super().start_request(name)
        self.in_flight_by_name[name] = self.in_flight_by_name.get(name, 0) + 1

    def finish_request(self, name: str) -> None:
        """Count a request of the caller of that name as in flight no longer."""
        super().finish_request(name)
        remaining = self.in_flight_by_name[name] - 1
        if remaining:
            self.in_flight_by_name[name] = remaining
        else:
            del self.in_flight_by_name[name]


class CallerTable:
    """The callers that have entries, and which of them are over their fair share.

    There are at most `settings.known + settings.strangers` entries, where strangers may use all that known
    callers don't, and three entries that count many callers together.
    """

    __slots__ = (
        "_fair_level", "_level_due_at", "_mean_use", "all_callers", "all_strangers", "known", "overflow",
        "settings", "strangers", "weights", "window_seconds",
    )  # fmt: skip

    def __init__(self, settings: CallerTableSettings, shares: FairShareSettings | None, now: float) -> None:
        # Both segments are ordered by the last request, least recent first.
        self.known: OrderedDict[str, Caller] = OrderedDict()
        self.strangers: OrderedDict[str, Caller] = OrderedDict()
        self.all_strangers = Caller("", 1.0, now)
        self.overflow = OverflowEntry(now)
        self.all_callers = Caller("", 1.0, now)
        self._fair_level = inf
        self._mean_use = inf  # admissions per weight, of the callers above the fair level
        self._level_due_at = now
        self.update_settings(settings, shares)

    def update_settings(self, settings: CallerTableSettings, shares: FairShareSettings | None) -> None:
        """Apply new settings; the entries are kept."""
        shares = shares or FairShareSettings()
        self.settings = settings
        self.window_seconds = shares.over
        self.weights: Mapping[str, float] = shares.weight
        self.all_strangers.weight = shares.strangers
        for callers in (self.known, self.strangers):
            for caller in callers.values():
                caller.weight = self.weights.get(caller.name, 1.0)

    def entries(self) -> Iterator[Caller]:
        """Yield the entries of single callers and the overflow entry."""
        yield from self.known.values()
        yield from self.strangers.values()
        yield self.overflow

    def record_request(self, name: str, now: float) -> Caller:
        """Record a request of a caller, and return its entry. `now` must not decrease."""
        caller = self.known.get(name)
        if caller is not None:
            self.known.move_to_end(name)
        else:
            caller = self._record_stranger(name, now)
        caller.decay(now, self.window_seconds)
        caller.requests += 1.0
        self.all_callers.decay(now, THROUGHPUT_WINDOW_SECONDS)
        self.all_callers.requests += 1.0
        return caller

    def _record_stranger(self, name: str, now: float) -> Caller:
        """Return the entry of a stranger, which this request may promote to known."""
        caller = self.strangers.get(name)
        if caller is None:
            caller = self._add_stranger(name, now)
        elif self._is_proven(caller, now) and self._make_room_for_known(now):
            del self.strangers[name]
            self.known[name] = caller
            caller.is_known = True
        else:
            self.strangers.move_to_end(name)
        if not caller.is_known:
            self.all_strangers.decay(now, self.window_seconds)
            self.all_strangers.requests += 1.0
        return caller

    def _is_proven(self, caller: Caller, now: float) -> bool:
        return caller.admitted_total >= 2 and now - caller.first_seen_at >= self.settings.prove

    def record_admission(self, caller: Caller, name: str, now: float) -> None:
        """Record that the last recorded request of the caller `name` was admitted."""
        caller.start_request(name)
        caller.admitted_total += 1
        caller.admissions += 1.0
        self._advance_slot(caller, now)
        if not caller.is_known:
            self.all_strangers.admissions += 1.0
            self._advance_slot(self.all_strangers, now)
        self.all_callers.admissions += 1.0

    def is_over_share(self, caller: Caller, now: float) -> bool:
        """Return whether a caller's requests and usage both exceed its fair share.

        The share is the max-min fair level times the caller's weight. A stranger is also over its share if
        all strangers together are.
        """
        if now >= self._level_due_at:
            self._level_due_at = now + LEVEL_INTERVAL_SECONDS
            self._fair_level = self._compute_level(now)
        if self._is_ahead(caller, now):
            return True
        if caller.is_known:
            return False
        self.all_strangers.decay(now, self.window_seconds)
        return self._is_ahead(self.all_strangers, now)

    def is_above_mean(self, caller: Caller) -> bool:
        """Return whether a caller requests more than its share and got more than the mean of such callers.

        Rejecting it leaves capacity for the others. Only valid after `is_over_share` for the same instant.
        """
        if not caller.is_known:
            caller = self.all_strangers
        share = caller.weight * self._fair_level
        most = ABOVE_MEAN_RATIO * caller.weight * self._mean_use
        return caller.requests > share and caller.admissions > most

    def _is_ahead(self, caller: Caller, now: float) -> bool:
        share = caller.weight * self._fair_level
        requests_ahead = (caller.next_slot_at - now) * share
        return caller.requests > share and requests_ahead > MAX_REQUESTS_AHEAD * self.window_seconds

    def _advance_slot(self, caller: Caller, now: float) -> None:
        """Advance a caller's next slot by the time that one request takes of its share.

        The slot is in the future if usage exceeds the share, but by at most one window.
        """
        share = caller.weight * self._fair_level
        if share < inf:
            window = self.window_seconds
            slot_at = caller.next_slot_at if caller.next_slot_at > now else now
            caller.next_slot_at = min(slot_at + window / share, now + window) if share else now + window

    def _compute_level(self, now: float) -> float:
        """Return the max-min fair level of the recent throughput; infinite without overload."""
        window = self.window_seconds
        self.all_callers.decay(now, THROUGHPUT_WINDOW_SECONDS)
        self.all_strangers.decay(now, window)
        strangers = self.all_strangers
        active = [(strangers.requests, strangers.admissions, strangers.weight)]
        for caller in self.known.values():
            remaining = exp((caller.updated_at - now) / window)  # the entry itself is not updated
            if caller.requests * remaining > NEGLIGIBLE_REQUESTS:
                active.append((caller.requests * remaining, caller.admissions * remaining, caller.weight))
        throughput = self.all_callers.admissions * window / THROUGHPUT_WINDOW_SECONDS
        self._mean_use = inf
        total_demand = sum(requests for requests, _, _ in active)
        is_overloaded = self.all_callers.requests > OVERLOAD_RATIO * self.all_callers.admissions
        if total_demand <= OVERLOAD_RATIO * throughput or not is_overloaded:
            return inf
        level = max_min_level([(requests, weight) for requests, _, weight in active], throughput)
        above = [(admissions, weight) for requests, admissions, weight in active if requests > weight * level]
        if len(above) > 1:
            total_weight = sum(weight for _, weight in above)
            self._mean_use = sum(admissions for admissions, _ in above) / total_weight
        return level

    def _add_stranger(self, name: str, now: float) -> Caller:
        if name in self.overflow.in_flight_by_name:
            # With an additional entry of its own, it could have twice its limit in flight.
            return self.overflow
        strangers = self.strangers
        room = self.settings.known + self.settings.strangers - len(self.known)
        if len(strangers) >= room and not self._evict_idle(strangers, inf):
            return self.overflow
        caller = strangers[name] = Caller(name, self.weights.get(name, 1.0), now)
        return caller

    def _make_room_for_known(self, now: float) -> bool:
        has_room = len(self.known) < self.settings.known
        return has_room or self._evict_idle(self.known, now - self.settings.keep)

    @staticmethod
    def _evict_idle(callers: OrderedDict[str, Caller], before: float) -> bool:
        """Evict a caller without requests in flight whose last request was before an instant."""
        for _ in range(min(MAX_EVICTION_ATTEMPTS, len(callers))):
            name, caller = next(iter(callers.items()))
            if caller.updated_at > before:
                return False
            if not caller.in_flight:
                del callers[name]
                return True
            # An entry with requests in flight must stay, as they are counted there.
            callers.move_to_end(name)
        return False


def max_min_level(demands: list[tuple[float, float]], supply: float) -> float:
    """Return the level f at which the sum of min(demand, weight * f) equals the supply.

    It is infinite if the supply meets all demands.

    Parameters
    ----------
    demands
        Pairs of demand and weight. The list is sorted in place.
    supply
        The capacity to share, in the unit of the demands.
    """
    demands.sort(key=lambda pair: pair[0] / pair[1])
    weights = sum(weight for _, weight in demands)
    for demand, weight in demands:
        if demand * weights > supply * weight:
            return max(0.0, supply) / weights
        supply -= demand
        weights -= weight
    return inf
