"""Decides when the endpoint list may be outdated and when to request it again.

A watch on discovery is silent while nothing changes, and also when discovery is no longer there. The
behaviour of the endpoints distinguishes the two cases: a listed endpoint that refuses connects, resets
connections or rejects every request is *suspected* until it answers or until the list reports a change of it.
Each suspected endpoint adds one endpoint-second of suspicion per second, counted from its fault or from the
last change of the list, whichever is later. The list is suspect

- once the suspicion adds up to SUSPECT_ENDPOINT_SECONDS: one endpoint for that long, or several for less; or
- once it has contained no serving endpoint for MAX_EMPTY_SECONDS.

A suspect list is requested again. These requests ("asks") are spread over the sidecars by index and are at
least MIN_ASK_INTERVAL_SECONDS apart; each one that brings no change doubles the interval, up to
MAX_ASK_INTERVAL_SECONDS. All sidecars of a tier together make at most MAX_ASK_RATE requests a second, so
interval and spread grow with the number of sidecars. A watch that has been silent for RENEWAL_SECONDS is
renewed even without suspicion, somewhat later in a large fleet: discovery may need a slot for each waiting
call, and renewals alone would then keep it busy. The notification deadline takes precedence over all of this:
a request that did not reach discovery is retried as soon as after any failed call, and a watch is renewed
before its wait is over.

Pure: the caller passes the time, in seconds; there are no sockets here.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from random import Random

from wheatring.balancer.interface import Outcome, Settings
from wheatring.daemon.lifecycle.list_request_schedule import DEFAULT_PACE, ListRequestSchedule, RequestPace
from wheatring.daemon.lifecycle.notification_deadline import HANGING_CALL_SECONDS, NotificationDeadline

SUSPECT_ENDPOINT_SECONDS = 6.0  # endpoint-seconds of suspicion
MAX_EMPTY_SECONDS = 1.0
MIN_ASK_INTERVAL_SECONDS = 4.0
MAX_ASK_INTERVAL_SECONDS = 32.0
MAX_ASK_RATE = 25.0  # requests a second by all sidecars of the tier
MIN_SPREAD_SECONDS = 1.0  # minimum time over which the sidecars' first requests are spread
RENEWAL_SECONDS = 25.0  # a large fleet waits longer, for at most EXPECTED_ANSWER_RATE renewals a second
# With the spread of a quarter it is less than the wait of a watch, whose end costs an answer as well.
MAX_RENEWAL_SECONDS = 39.0
EXPECTED_ANSWER_RATE = 4.0  # calls a second that discovery is expected to answer
CHANGE_AFTER_ASK_SECONDS = 2.0  # a change within this time after a request is attributed to the request
SUSPICION_MEMORY_SECONDS = 60.0  # an endpoint's faults are forgotten after this time without another one

SERVED, ERROR = Outcome.SERVED, Outcome.ERROR  # module globals, as looking up an enum member is slow
# Weight of one outcome; an endpoint is suspected from 1 on. A reset or rejection may be a coincidence.
FAULT_WEIGHTS = {Outcome.CONNECT_FAILED: 1.0, Outcome.RESET: 0.5, Outcome.REJECTED: 0.25}


class _Suspicion:
    """The faults of one endpoint, and since when it has been suspected (inf if it is not)."""

    __slots__ = ("last_fault_at", "suspect_since", "weight")

    def __init__(self) -> None:
        self.weight = 0.0
        self.suspect_since = inf
        self.last_fault_at = 0.0


class Freshness:
    """Tracks whether one sidecar's endpoint list may be outdated. Times and durations are in seconds.

    Attributes
    ----------
    spread_seconds : float
        The time within which each sidecar may make one request.
    renewal_seconds : float
        The time after which a silent watch is renewed.
    position : float
        This sidecar's position among all, from 0 to 1.
    suspicions : dict of str to _Suspicion
        Endpoints with faults, by name.
    serving : set of str
        The endpoints that are serving according to the list.
    changed_at : float
        When the list last changed.
    watching_since : float
        When the watch began; inf if there is none.
    suspect_since : float or None
        Since when the list has been suspect; None if it is not.
    asked_at, unchanged_asks : float and int
        The time of the last request, and the number of consecutive requests that brought no change.
    not_before : float
        The earliest time of the next request, unless a retry or the notification deadline is due before.
    retry_at : float
        When to retry a request that did not reach discovery; inf if none is due.
    """

    def __init__(
        self,
        sidecar_count: int,
        sidecar_index: int,
        random: Random,
        now: float,
        notification: NotificationDeadline | None = None,
    ) -> None:
        self.notification = NotificationDeadline(inf, now) if notification is None else notification
        self.random = random
        self.spread_seconds = sidecar_count / MAX_ASK_RATE
        self.renewal_seconds = min(
            max(RENEWAL_SECONDS, sidecar_count / EXPECTED_ANSWER_RATE), MAX_RENEWAL_SECONDS
        )
        self.position = (sidecar_index % sidecar_count + random.random()) / sidecar_count
        self.suspicions: dict[str, _Suspicion] = {}
        self.serving: set[str] = set()
        self.changed_at = now
        self.watching_since = inf
        self.suspect_since: float | None = None
        self.asked_at = -inf
        self.unchanged_asks = 0
        self.not_before = -inf
        self.retry_at = inf

    # Events

    def attempt_ended(self, now: float, endpoint: str, outcome: Outcome) -> bool:
        """Record the outcome of an attempt; return whether its endpoint has become suspected."""
        if outcome is SERVED or outcome is ERROR:
            if self.suspicions and self.suspicions.pop(endpoint, None) is not None:
                self.update(now)
            return False
        weight = FAULT_WEIGHTS.get(outcome)
        # Ignored: slow and cancelled attempts, and endpoints that are not serving according to the list.
        if weight is None or endpoint not in self.serving:
            return False
        suspicion = self.suspicions.get(endpoint)
        if suspicion is None or now - suspicion.last_fault_at > SUSPICION_MEMORY_SECONDS:
            suspicion = self.suspicions[endpoint] = _Suspicion()
        suspicion.last_fault_at = now
        suspicion.weight += weight
        if suspicion.weight < 1 or suspicion.suspect_since < inf:
            return False
        suspicion.suspect_since = now
        self.update(now)
        return True

    def list_changed(self, now: float, endpoints: Mapping[str, bool], is_full: bool) -> None:
        """Record the full list or changes of it: the endpoints, and whether each is serving."""
        if is_full:
            self.serving.clear()
            self.suspicions = {
                name: suspicion for name, suspicion in self.suspicions.items() if endpoints.get(name)
            }
        for name, is_serving in endpoints.items():
            if is_serving:
                self.serving.add(name)
            else:
                self.serving.discard(name)
            if not is_full:
                self.suspicions.pop(name, None)
        if endpoints:
            self.changed_at = now
            if now <= self.asked_at + CHANGE_AFTER_ASK_SECONDS:
                self.unchanged_asks = 0
        self.update(now)

    def watch_started(self, now: float) -> None:
        """Record that a watch begins."""
        self.watching_since, self.retry_at = now, inf

    def watch_stopped(self) -> None:
        """Record that there is no watch."""
        self.watching_since = self.retry_at = inf

    # Decisions

    @property
    def suspected_count(self) -> int:
        """The number of suspected endpoints."""
        return sum([suspicion.suspect_since < inf for suspicion in self.suspicions.values()])

    def suspect_at(self) -> float:
        """Return when the list becomes or became suspect if no event follows; inf if it does not."""
        suspected_from = [
            max(suspicion.suspect_since, self.changed_at)
            for suspicion in self.suspicions.values()
            if suspicion.suspect_since < inf
        ]
        at = (SUSPECT_ENDPOINT_SECONDS + sum(suspected_from)) / len(suspected_from) if suspected_from else inf
        return at if self.serving else min(at, self.changed_at + MAX_EMPTY_SECONDS)

    def update(self, now: float) -> None:
        """Forget expired faults and update `suspect_since`."""
        expired = [
            name
            for name, suspicion in self.suspicions.items()
            if now - suspicion.last_fault_at > SUSPICION_MEMORY_SECONDS
        ]
        for name in expired:
            del self.suspicions[name]
        at = self.suspect_at()
        if at > now:
            self.suspect_since = None
        elif self.suspect_since is None:
            self.suspect_since = at

    def next_ask_at(self, now: float) -> float:
        """Return when to request the list if no event follows; inf without a watch."""
        if self.watching_since == inf:
            return inf
        self.update(now)
        since = self.suspect_at() if self.suspect_since is None else self.suspect_since
        suspect_due = since + self.position * max(MIN_SPREAD_SECONDS, self.spread_seconds)
        renewal_due = self.watching_since + self.renewal_seconds * (1 + self.position / 4)
        # The request that began the watch would itself have returned any change.
        due = max(
            min(suspect_due, renewal_due), self.not_before, self.watching_since + MIN_ASK_INTERVAL_SECONDS
        )
        notify_by = max(self.notification.deadline(), self.asked_at + HANGING_CALL_SECONDS)
        return min(due, self.retry_at, notify_by)

    def ask_sent(self, now: float) -> None:
        """Record that the list is requested now."""
        if now > self.asked_at + 2 * MAX_ASK_INTERVAL_SECONDS:
            self.unchanged_asks = 0
        interval = MIN_ASK_INTERVAL_SECONDS
        if self.suspect_since is not None:
            interval = min(MIN_ASK_INTERVAL_SECONDS * 2**self.unchanged_asks, MAX_ASK_INTERVAL_SECONDS)
            self.unchanged_asks = min(self.unchanged_asks + 1, 16)
        self.asked_at, self.retry_at = now, inf
        self.not_before = now + max(interval, self.spread_seconds) * (1 + self.random.random() / 4)

    def ask_failed(self, now: float) -> None:
        """Record that the request failed; the watch remains, although its peer may be gone as well."""
        self.notification.call_failed(now, self.asked_at)
        self.retry_at = now + (self.notification.deadline() - now) * (1 - self.random.random() / 4)


def list_schedules(
    settings: Settings, seed: int, now: float, pace: RequestPace = DEFAULT_PACE
) -> tuple[ListRequestSchedule, Freshness]:
    """Return the schedules by which one sidecar requests its list.

    The first one applies at the start and after a failure, the second while there is a watch. The daemon and
    all its simulations use these.
    """
    sidecar_count, sidecar_index = settings.balancer_count, settings.balancer_index
    subscribe_within = settings.contract.subscribe_within
    if not settings.must_subscribe:  # lists are pushed to an agent that serves only this sidecar
        sidecar_count, sidecar_index, subscribe_within = 1, 0, 0.0
    request_schedule = ListRequestSchedule(
        sidecar_count, sidecar_index, subscribe_within, Random(f"{seed}:asking"), now, pace
    )
    return request_schedule, Freshness(
        sidecar_count, sidecar_index, Random(f"{seed}:list"), now, request_schedule.notification
    )
