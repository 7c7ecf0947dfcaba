"""When the machine list may have grown old, and when to ask for it anew.

Discovery's watch says nothing while nothing changes, and nothing when nobody is there any more. What the
nodes show tells the two apart: a listed node that refuses connects, breaks connections or turns all away
is *struck* until it answers, or until the list has news of it. Each struck node adds one node-second of
doubt a second, counted from its strike or from the last news, whichever is later. The list is suspect

- once all doubt together has come to NEED: one node for so many seconds, several for fewer; or
- once it has named no node that serves for EMPTY.

A suspect list is asked for anew. Asks are spread over the copies by their numbers, are never nearer than
FLOOR to each other, and each that brings no news doubles the gap, up to CEILING. All copies of a tier
together ask no more than RATE times a second, however many they are: for that, gap and spread grow with
them. Without doubt too, a watch that has been silent for QUIET is laid anew, in a large fleet somewhat later:
where a call that waits takes a turn too, renewals alone would keep discovery busy. Before all that goes what
counts as told (`told.py`): an ask that found nobody is made again as soon as any call that failed, and the
watch that is out is laid anew before its wait is over.

Pure: instants in seconds are handed in; nothing here knows of sockets.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from random import Random

from wheatring.balancer.interface import Outcome, Settings
from wheatring.lifecycle.list_request_schedule import DEFAULT_PACE, ListRequestSchedule, RequestPace
from wheatring.lifecycle.notification_deadline import HANGING_CALL_SECONDS, NotificationDeadline

SUSPECT_NODE_SECONDS = 6.0  # node-seconds of doubt
MAX_EMPTY_SECONDS = 1.0
MIN_ASK_INTERVAL_SECONDS = 4.0
MAX_ASK_INTERVAL_SECONDS = 32.0
MAX_ASK_RATE = 25.0  # asks a second by all copies of the tier
MIN_SPREAD_SECONDS = 1.0  # least time over which the copies' first asks are spread
RENEWAL_SECONDS = 25.0  # or, in a large fleet, so long that LIKELY watches a second are laid by all, up to
MAX_RENEWAL_SECONDS = (
    39.0  # with its spread less than a watch waits: one that ends by itself costs an answer too
)
EXPECTED_ANSWER_RATE = 4.0  # calls a second that discovery is held to answer
CHANGE_AFTER_ASK_SECONDS = 2.0  # news that come within so long of an ask are its own
SUSPICION_MEMORY_SECONDS = 60.0  # a node that has not been struck for so long counts no more

SERVED, ERROR = Outcome.SERVED, Outcome.ERROR  # looked up once: an enum takes its time
# What one outcome adds; at 1 the node is struck. A connection may break and a queue be full by chance.
FAULT_WEIGHTS = {Outcome.CONNECT_FAILED: 1.0, Outcome.RESET: 0.5, Outcome.REJECTED: 0.25}


class _Suspicion:
    __slots__ = ("last_fault_at", "suspect_since", "weight")

    def __init__(self) -> None:
        self.weight = 0.0
        self.suspect_since = inf  # struck since then
        self.last_fault_at = 0.0


class Freshness:
    """Judges one sidecar's list. `copies` send into the tier, and this one is `number` of them, from 0."""

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
        self.spread_seconds = copies / MAX_ASK_RATE  # seconds that one ask of each copy takes them together
        self.renewal_seconds = min(max(RENEWAL_SECONDS, copies / EXPECTED_ANSWER_RATE), MAX_RENEWAL_SECONDS)
        self.position = (number % copies + random.random()) / copies  # among the copies, from 0 to 1
        self.suspicions: dict[str, _Suspicion] = {}
        self.serving: set[str] = set()  # the nodes that the list names so
        self.changed_at = now  # the last that there were
        self.watching_since = inf  # the watch that is out; inf: none
        self.suspect_since: float | None = None  # since when the list has been
        self.asked_at = -inf
        self.unchanged_asks = 0  # asks in a row that brought no news
        self.not_before = -inf  # not to be asked before
        self.retry_at = inf  # but by then, as the last ask found nobody

    # Evidence

    def attempt_ended(self, now: float, node: str, outcome: Outcome) -> bool:
        """A claim at a node has ended so. Whether the list is in more doubt than before."""
        if outcome is SERVED or outcome is ERROR:
            if self.suspicions and self.suspicions.pop(node, None) is not None:
                self.update(now)
            return False
        weight = FAULT_WEIGHTS.get(outcome)
        # A slow node or an end of our own making say nothing, nor does one of which the list tells the same.
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
        """The list has come, or changes of it: the names on it, and whether each serves."""
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
        """A watch begins."""
        self.watching_since, self.retry_at = now, inf

    def watch_stopped(self) -> None:
        """There is no watch."""
        self.watching_since = self.retry_at = inf

    # Judgement

    @property
    def suspected_count(self) -> int:
        return sum([doubt.suspect_since < inf for doubt in self.suspicions.values()])

    def suspect_at(self) -> float:
        """When the list is, or was, suspect, should nothing more come; inf: never."""
        begun = [
            max(doubt.suspect_since, self.changed_at)
            for doubt in self.suspicions.values()
            if doubt.suspect_since < inf
        ]
        at = (SUSPECT_NODE_SECONDS + sum(begun)) / len(begun) if begun else inf
        return at if self.serving else min(at, self.changed_at + MAX_EMPTY_SECONDS)

    def update(self, now: float) -> None:
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
        """The instant at which to ask, should nothing more come; inf without a watch that could be wrong."""
        if self.watching_since == inf:
            return inf
        self.update(now)
        since = self.suspect_at() if self.suspect_since is None else self.suspect_since
        doubted = since + self.position * max(MIN_SPREAD_SECONDS, self.spread_seconds)
        quiet = self.watching_since + self.renewal_seconds * (1 + self.position / 4)
        # Whoever laid the watch has asked by that, and would have had an answer.
        due = max(min(doubted, quiet), self.not_before, self.watching_since + MIN_ASK_INTERVAL_SECONDS)
        return min(
            due, self.retry_at, max(self.notification.deadline(), self.asked_at + HANGING_CALL_SECONDS)
        )

    def ask_sent(self, now: float) -> None:
        """It is asked for now."""
        if now > self.asked_at + 2 * MAX_ASK_INTERVAL_SECONDS:
            self.unchanged_asks = 0
        gap = MIN_ASK_INTERVAL_SECONDS
        if self.suspect_since is not None:
            gap = min(MIN_ASK_INTERVAL_SECONDS * 2**self.unchanged_asks, MAX_ASK_INTERVAL_SECONDS)
            self.unchanged_asks = min(self.unchanged_asks + 1, 16)
        self.asked_at, self.retry_at = now, inf
        self.not_before = now + max(gap, self.spread_seconds) * (1 + self.random.random() / 4)

    def ask_failed(self, now: float) -> None:
        """The ask has found nobody, and the old watch stands, which may be one to nobody."""
        self.notification.call_failed(now, self.asked_at)
        self.retry_at = now + (self.notification.deadline() - now) * (1 - self.random.random() / 4)


def list_schedules(
    settings: Settings, seed: int, now: float, pace: RequestPace = DEFAULT_PACE
) -> tuple[ListRequestSchedule, Freshness]:
    """When one sidecar asks for its list, by one law for both: in the daemon and in all that plays it."""
    copies, number, within = (
        settings.balancer_count,
        settings.balancer_index,
        settings.contract.subscribe_within,
    )
    if not settings.must_subscribe:  # the lists are pushed to an agent, which this sidecar asks alone
        copies, number, within = 1, 0, 0.0
    asking = ListRequestSchedule(copies, number, within, Random(f"{seed}:asking"), now, pace)
    return asking, Freshness(copies, number, Random(f"{seed}:list"), now, asking.notification)
