"""The callers of a route or pool, a bounded number of them, and their fair shares.

A caller is a string: a token's holder, a header, an address. There are two tables, as in a segmented LRU
cache: a caller that has proved to come again is known, and can't be evicted while it comes; all others are
strangers, in a table that a crowd of names passes through. Strangers are also counted as one caller, so that
names can be made up without gain.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Mapping
from math import exp, inf

from wheatring.daemon.routes.gcra import NEVER_USED
from wheatring.daemon.routes.limit_settings import CallerTableSettings, FairShareSettings

MAX_EVICTION_ATTEMPTS = 8  # entries with requests in flight that are passed over in search of one to evict
NEGLIGIBLE_REQUESTS = 1e-3  # fewer count as none
THROUGHPUT_WINDOW_SECONDS = 0.5  # over which the throughput to share is measured: it rises under pressure
PRESSURE_RATIO = 1.1  # of requests to admissions; with less, chance would put callers over their share
ABOVE_MEAN_RATIO = 1.02
MAX_REQUESTS_AHEAD = 4.0  # that a caller may be ahead of its share
LEVEL_INTERVAL_SECONDS = 0.1  # between two computations of the fair level


class Caller:
    """One caller's counts.

    `requests` and `admissions` fade with time, as of `updated_at`, when it last asked. `in_flight` is exact.
    """

    __slots__ = (
        "admissions", "admitted_total", "first_seen_at", "in_flight", "is_known", "name", "next_turn",
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
        self.next_turn = now  # the instant at which it would be level with its share
        self.updated_at = self.first_seen_at = now
        self.is_known = False

    def start_request(self, name: str) -> None:  # noqa: ARG002 - an entry of its own has one name only
        """Count a request of the caller of that name as in flight."""
        self.in_flight += 1

    def finish_request(self, name: str) -> None:  # noqa: ARG002 - as above
        """Count a request of the caller of that name as in flight no longer."""
        self.in_flight -= 1

    def fade(self, now: float, window_seconds: float) -> None:
        """Let the counts decay up to an instant, by the factor e in each window."""
        if now > self.updated_at:
            remaining = exp((self.updated_at - now) / window_seconds)
            self.requests *= remaining
            self.admissions *= remaining
            self.updated_at = now


class OverflowEntry(Caller):
    """The one entry that counts all strangers that found none of their own.

    Attributes
    ----------
    in_flight_by_name : dict[str, int]
        The requests in flight of each caller that has any, so that it has as many items as requests at most.
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

    There are at most `settings.known + settings.strangers` entries, of which strangers have what the known
    ones leave, and three that count many callers together.
    """

    __slots__ = (
        "_fair_level", "_level_due_at", "_mean_use", "all_callers", "all_strangers", "known", "overflow",
        "settings", "strangers", "weights", "window_seconds",
    )  # fmt: skip

    def __init__(self, settings: CallerTableSettings, shares: FairShareSettings | None, now: float) -> None:
        # Both tables are in the order of the last request, the oldest first.
        self.known: OrderedDict[str, Caller] = OrderedDict()
        self.strangers: OrderedDict[str, Caller] = OrderedDict()
        self.all_strangers = Caller("", 1.0, now)
        self.overflow = OverflowEntry(now)
        self.all_callers = Caller("", 1.0, now)
        self._fair_level = inf
        self._mean_use = inf  # for each weight, of the callers that want more than the level
        self._level_due_at = now
        self.update_settings(settings, shares)

    def update_settings(self, settings: CallerTableSettings, shares: FairShareSettings | None) -> None:
        """Go by other settings from now on; the entries stay."""
        shares = shares or FairShareSettings()
        self.settings = settings
        self.window_seconds = shares.over
        self.weights: Mapping[str, float] = shares.weight
        self.all_strangers.weight = shares.strangers
        for callers in (self.known, self.strangers):
            for caller in callers.values():
                caller.weight = self.weights.get(caller.name, 1.0)

    def entries(self) -> Iterator[Caller]:
        """Yield all entries that requests are counted in."""
        yield from self.known.values()
        yield from self.strangers.values()
        yield self.overflow

    def record_request(self, name: str, now: float) -> Caller:
        """Count a request of a caller, and return the entry. `now` must not go back."""
        caller = self.known.get(name)
        if caller is not None:
            self.known.move_to_end(name)
        else:
            caller = self._record_stranger(name, now)
        caller.fade(now, self.window_seconds)
        caller.requests += 1.0
        self.all_callers.fade(now, THROUGHPUT_WINDOW_SECONDS)
        self.all_callers.requests += 1.0
        return caller

    def _record_stranger(self, name: str, now: float) -> Caller:
        """Return the entry of a stranger, which may become known by this request."""
        caller = self.strangers.get(name)
        if caller is None:
            caller = self._add_stranger(name, now)
        elif self._has_proved(caller, now) and self._make_room_for_known(now):
            del self.strangers[name]
            self.known[name] = caller
            caller.is_known = True
        else:
            self.strangers.move_to_end(name)
        if not caller.is_known:
            self.all_strangers.fade(now, self.window_seconds)
            self.all_strangers.requests += 1.0
        return caller

    def _has_proved(self, caller: Caller, now: float) -> bool:
        return caller.admitted_total >= 2 and now - caller.first_seen_at >= self.settings.prove

    def record_admission(self, caller: Caller, name: str, now: float) -> None:
        """Count the request that was just recorded, of the caller of that name, as admitted."""
        caller.start_request(name)
        caller.admitted_total += 1
        caller.admissions += 1.0
        self._advance_turn(caller, now)
        if not caller.is_known:
            self.all_strangers.admissions += 1.0
            self._advance_turn(self.all_strangers, now)
        self.all_callers.admissions += 1.0

    def is_over_share(self, caller: Caller, now: float) -> bool:
        """Return whether a caller asks for more than its fair share, and is ahead of it.

        The share is the most that all callers that want more could have alike, for their weight. A stranger
        is over its share as well if all strangers together are.
        """
        if now >= self._level_due_at:
            self._level_due_at = now + LEVEL_INTERVAL_SECONDS
            self._fair_level = self._compute_level(now)
        if self._is_ahead(caller, now):
            return True
        if caller.is_known:
            return False
        self.all_strangers.fade(now, self.window_seconds)
        return self._is_ahead(self.all_strangers, now)

    def is_above_mean(self, caller: Caller) -> bool:
        """Return whether it wants more than its fair share and has had more than the mean of those who do.

        What it leaves, the others take. Only valid after `is_over_share`, for the same instant.
        """
        if not caller.is_known:
            caller = self.all_strangers
        share = caller.weight * self._fair_level
        most = ABOVE_MEAN_RATIO * caller.weight * self._mean_use
        return caller.requests > share and caller.admissions > most

    def _is_ahead(self, caller: Caller, now: float) -> bool:
        share = caller.weight * self._fair_level
        requests_ahead = (caller.next_turn - now) * share
        return caller.requests > share and requests_ahead > MAX_REQUESTS_AHEAD * self.window_seconds

    def _advance_turn(self, caller: Caller, now: float) -> None:
        """Let a share's worth of time pass for one request of a caller.

        Its turn runs ahead of the time if it has more than its share. The excess counts against it for as
        long as use is measured, no longer.
        """
        share = caller.weight * self._fair_level
        if share < inf:
            window = self.window_seconds
            turn = caller.next_turn if caller.next_turn > now else now
            caller.next_turn = min(turn + window / share, now + window) if share else now + window

    def _compute_level(self, now: float) -> float:
        """Return the max-min fair level: up to it all wants can be filled out of the recent throughput."""
        window = self.window_seconds
        self.all_callers.fade(now, THROUGHPUT_WINDOW_SECONDS)
        self.all_strangers.fade(now, window)
        strangers = self.all_strangers
        crowd = [(strangers.requests, strangers.admissions, strangers.weight)]
        for caller in self.known.values():
            remaining = exp((caller.updated_at - now) / window)  # the entry stays as of its last request
            if caller.requests * remaining > NEGLIGIBLE_REQUESTS:
                crowd.append((caller.requests * remaining, caller.admissions * remaining, caller.weight))
        throughput = self.all_callers.admissions * window / THROUGHPUT_WINDOW_SECONDS
        self._mean_use = inf
        wanted = sum(requests for requests, _, _ in crowd)
        is_pressed = self.all_callers.requests > PRESSURE_RATIO * self.all_callers.admissions
        if wanted <= PRESSURE_RATIO * throughput or not is_pressed:
            return inf
        level = max_min_level([(requests, weight) for requests, _, weight in crowd], throughput)
        above = [(admissions, weight) for requests, admissions, weight in crowd if requests > weight * level]
        if len(above) > 1:
            total_weight = sum(weight for _, weight in above)
            self._mean_use = sum(admissions for admissions, _ in above) / total_weight
        return level

    def _add_stranger(self, name: str, now: float) -> Caller:
        if name in self.overflow.in_flight_by_name:
            # With an entry of its own beside them, it would have its limit in flight twice.
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
        """Evict a caller that asked last before an instant and has nothing in flight."""
        for _ in range(min(MAX_EVICTION_ATTEMPTS, len(callers))):
            name, caller = next(iter(callers.items()))
            if caller.updated_at > before:
                return False
            if not caller.in_flight:
                del callers[name]
                return True
            # A request in flight must find its entry again, or its count would be lost.
            callers.move_to_end(name)
        return False


def max_min_level(wants: list[tuple[float, float]], supply: float) -> float:
    """Return the level f at which the sum of min(want, weight * f) is the supply; infinite if it suffices.

    Parameters
    ----------
    wants
        Pairs of want and weight. The list is sorted in place.
    supply
        What there is to share, in the unit of the wants.
    """
    wants.sort(key=lambda pair: pair[0] / pair[1])
    weights = sum(weight for _, weight in wants)
    for want, weight in wants:
        if want * weights > supply * weight:
            return max(0.0, supply) / weights
        supply -= want
        weights -= weight
    return inf
