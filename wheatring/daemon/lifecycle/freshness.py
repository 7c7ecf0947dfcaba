"""When the endpoint list may be outdated, and when to ask for it anew.

Discovery's watch says nothing while nothing changes, and nothing when nobody is there any more. What the
endpoints show tells the two apart: a listed endpoint that refuses connects, breaks connections or rejects all
is *suspected* until it answers, or until the list has changes of it. Each suspected one adds one node-second
of suspicion a second, counted from its fault or from the last change, whichever is later. The list is suspect

- once all suspicion has come to SUSPECT_NODE_SECONDS: one endpoint for so long, several for less; or
- once it has named no endpoint that serves for MAX_EMPTY_SECONDS.

A suspect list is asked for anew. Asks are spread over the copies by their numbers, are never nearer than
MIN_ASK_INTERVAL_SECONDS to each other, and each that brings no change doubles the gap, up to
MAX_ASK_INTERVAL_SECONDS. All sidecars of a tier together ask no more than MAX_ASK_RATE times a second,
however many they are: for that, gap and spread grow with them. Without suspicion too, a watch that has been
silent for RENEWAL_SECONDS is renewed, in a large fleet somewhat later: where a call that waits takes a turn
too, renewals alone would keep discovery busy. Before all that goes the notification deadline: an ask that
found nobody is made again as soon as any call that failed, and the watch is renewed before its wait is over.

Pure: instants in seconds are handed in; nothing here knows of sockets.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from random import Random

from wheatring.balancer.interface import Outcome, Settings
from wheatring.daemon.lifecycle.list_request_schedule import DEFAULT_PACE, ListRequestSchedule, RequestPace
from wheatring.daemon.lifecycle.notification_deadline import HANGING_CALL_SECONDS, NotificationDeadline

SUSPECT_NODE_SECONDS = 6.0  # node-seconds of suspicion
MAX_EMPTY_SECONDS = 1.0
MIN_ASK_INTERVAL_SECONDS = 4.0
MAX_ASK_INTERVAL_SECONDS = 32.0
MAX_ASK_RATE = 25.0  # asks a second by all sidecars of the tier
MIN_SPREAD_SECONDS = 1.0  # least time over which the sidecars' first asks are spread
RENEWAL_SECONDS = 25.0  # or, in a large fleet, what keeps all to EXPECTED_ANSWER_RATE watches a second, up to
MAX_RENEWAL_SECONDS = 39.0  # with its spread less than a watch waits: one that ends costs an answer too
EXPECTED_ANSWER_RATE = 4.0  # calls a second that discovery is expected to answer
CHANGE_AFTER_ASK_SECONDS = 2.0  # a change that comes within so long of an ask is its own
SUSPICION_MEMORY_SECONDS = 60.0  # an endpoint without a fault for so long counts no more

SERVED, ERROR = Outcome.SERVED, Outcome.ERROR  # looked up once: an enum takes its time
# What one outcome adds; at 1 the endpoint is suspected. A connection may break and a queue be full by chance.
FAULT_WEIGHTS = {Outcome.CONNECT_FAILED: 1.0, Outcome.RESET: 0.5, Outcome.REJECTED: 0.25}


class _Suspicion:
    """The faults of one endpoint, and since when it is suspected; inf: it is not."""

    __slots__ = ("last_fault_at", "suspect_since", "weight")

    def __init__(self) -> None:
        self.weight = 0.0
        self.suspect_since = inf
        self.last_fault_at = 0.0


class Freshness:
    """Judges whether one sidecar's list is outdated. Instants and durations are seconds.

    Attributes
    ----------
    spread_seconds : float
        The time in which all sidecars may ask once.
    renewal_seconds : float
        The time after which a silent watch is renewed.
    position : float
        This sidecar's position among all, from 0 to 1.
    suspicions : dict of str to _Suspicion
        Endpoints with faults, by name.
    serving : set of str
        The endpoints that serve by the list.
    changed_at : float
        When the list last changed.
    watching_since : float
        The begin of the watch; inf: there is none.
    suspect_since : float or None
        Since when the list has been suspect.
    asked_at, unchanged_asks : float and int
        The last ask, and the asks in a row that brought no change.
    not_before, retry_at : float
        The next ask is not before the one, and by the other, as the last found nobody.
    """

    def __init__(
        self,
        copies: int,
        number: int,
        random: Random,
        now: float,
        notification: NotificationDeadline | None = None,
    ) -> None:
        self.notification = NotificationDeadline(inf, now) if notification is None else notification
        self.random = random
        self.spread_seconds = copies / MAX_ASK_RATE
        self.renewal_seconds = min(max(RENEWAL_SECONDS, copies / EXPECTED_ANSWER_RATE), MAX_RENEWAL_SECONDS)
        self.position = (number % copies + random.random()) / copies
        self.suspicions: dict[str, _Suspicion] = {}
        self.serving: set[str] = set()
        self.changed_at = now
        self.watching_since = inf
        self.suspect_since: float | None = None
        self.asked_at = -inf
        self.unchanged_asks = 0
        self.not_before = -inf
        self.retry_at = inf

    # Evidence

    def attempt_ended(self, now: float, node: str, outcome: Outcome) -> bool:
        """Take in an attempt's outcome; return whether the list is more suspect than before."""
        if outcome is SERVED or outcome is ERROR:
            if self.suspicions and self.suspicions.pop(node, None) is not None:
                self.update(now)
            return False
        weight = FAULT_WEIGHTS.get(outcome)
        # A slow endpoint or a cancelled attempt say nothing, nor does one that the list knows not to serve.
        if weight is None or node not in self.serving:
            return False
        doubt = self.suspicions.get(node)
        if doubt is None or now - doubt.last_fault_at > SUSPICION_MEMORY_SECONDS:
            doubt = self.suspicions[node] = _Suspicion()
        doubt.last_fault_at = now
        doubt.weight += weight
        if doubt.weight < 1 or doubt.suspect_since < inf:
            return False
        doubt.suspect_since = now
        self.update(now)
        return True

    def list_changed(self, now: float, lines: Mapping[str, bool], is_full: bool) -> None:
        """Take in the list, or changes of it: the endpoints on it, and whether each serves."""
        if is_full:
            self.serving.clear()
            self.suspicions = {name: doubt for name, doubt in self.suspicions.items() if lines.get(name)}
        for name, serves in lines.items():
            if serves:
                self.serving.add(name)
            else:
                self.serving.discard(name)
            if not is_full:
                self.suspicions.pop(name, None)
        if lines:
            self.changed_at = now
            if now <= self.asked_at + CHANGE_AFTER_ASK_SECONDS:
                self.unchanged_asks = 0
        self.update(now)

    def watch_started(self, now: float) -> None:
        """Take in that a watch begins."""
        self.watching_since, self.retry_at = now, inf

    def watch_stopped(self) -> None:
        """Take in that there is no watch."""
        self.watching_since = self.retry_at = inf

    # Judgement

    @property
    def suspected_count(self) -> int:
        """How many endpoints are suspected."""
        return sum([doubt.suspect_since < inf for doubt in self.suspicions.values()])

    def suspect_at(self) -> float:
        """Return when the list is, or was, suspect, should nothing more come; inf: never."""
        begun = [
            max(doubt.suspect_since, self.changed_at)
            for doubt in self.suspicions.values()
            if doubt.suspect_since < inf
        ]
        at = (SUSPECT_NODE_SECONDS + sum(begun)) / len(begun) if begun else inf
        return at if self.serving else min(at, self.changed_at + MAX_EMPTY_SECONDS)

    def update(self, now: float) -> None:
        """Forget old faults, and see whether the list is suspect by now."""
        old = [
            name
            for name, doubt in self.suspicions.items()
            if now - doubt.last_fault_at > SUSPICION_MEMORY_SECONDS
        ]
        for name in old:
            del self.suspicions[name]
        at = self.suspect_at()
        if at > now:
            self.suspect_since = None
        elif self.suspect_since is None:
            self.suspect_since = at

    def next_ask_at(self, now: float) -> float:
        """Return when to ask, should nothing more come; inf without a watch that could be outdated."""
        if self.watching_since == inf:
            return inf
        self.update(now)
        since = self.suspect_at() if self.suspect_since is None else self.suspect_since
        doubted = since + self.position * max(MIN_SPREAD_SECONDS, self.spread_seconds)
        quiet = self.watching_since + self.renewal_seconds * (1 + self.position / 4)
        # The watch itself was a call that would have been answered.
        due = max(min(doubted, quiet), self.not_before, self.watching_since + MIN_ASK_INTERVAL_SECONDS)
        notified = max(self.notification.deadline(), self.asked_at + HANGING_CALL_SECONDS)
        return min(due, self.retry_at, notified)

    def ask_sent(self, now: float) -> None:
        """Take in that the list is asked for now."""
        if now > self.asked_at + 2 * MAX_ASK_INTERVAL_SECONDS:
            self.unchanged_asks = 0
        gap = MIN_ASK_INTERVAL_SECONDS
        if self.suspect_since is not None:
            gap = min(MIN_ASK_INTERVAL_SECONDS * 2**self.unchanged_asks, MAX_ASK_INTERVAL_SECONDS)
            self.unchanged_asks = min(self.unchanged_asks + 1, 16)
        self.asked_at, self.retry_at = now, inf
        self.not_before = now + max(gap, self.spread_seconds) * (1 + self.random.random() / 4)

    def ask_failed(self, now: float) -> None:
        """Take in that the ask has found nobody; the old watch stands, which may be one to nobody."""
        self.notification.call_failed(now, self.asked_at)
        self.retry_at = now + (self.notification.deadline() - now) * (1 - self.random.random() / 4)


def list_schedules(
    settings: Settings, seed: int, now: float, pace: RequestPace = DEFAULT_PACE
) -> tuple[ListRequestSchedule, Freshness]:
    """Return when one sidecar asks for its list: at a start or a failure, and while it watches.

    The daemon and all simulations of it go by these.
    """
    copies, number = settings.balancer_count, settings.balancer_index
    within = settings.contract.subscribe_within
    if not settings.must_subscribe:  # the lists are pushed to an agent, which this sidecar asks alone
        copies, number, within = 1, 0, 0.0
    asking = ListRequestSchedule(copies, number, within, Random(f"{seed}:asking"), now, pace)
    return asking, Freshness(copies, number, Random(f"{seed}:list"), now, asking.notification)
