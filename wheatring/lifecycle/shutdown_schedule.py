"""Leaving: from SIGTERM on, what is still taken, until when open jobs may run, and when to end.

The follower starts once this process has ended, so that each moment here is a moment later there. The law:

- The door stays open until no connection has come for `QUIET`, not less than `ARRIVING` and no longer than
  `DOOR`. Until then all is taken.
- Connections between requests are closed one after another until `SHED` is over, that which has stood longest
  first: their callers go elsewhere a few at a time. Each answer is the last on its connection.
- With the door shut, all jobs go on for as long as what they are likely to bring within some time ahead is
  worth more than being back sooner by that time. What a second here costs is the worth that this copy has
  lately served in one, times the chance that nobody else serves it. Then all that is left is given up at
  once: one job alone would hold up the end as much as ten.
- Nothing runs longer than `LAST` before SIGKILL may come, or past its deadline.

Where the follower serves already, nobody waits for this end: all jobs run on as long as they may, and
connections between requests are closed over `SHED_FOLLOWED`, for each that is closed may cross a request.

What a job is likely to bring is read off the latest latencies of its class: of those that took longer than it
has run by now, the part that was answered within that time. One that is older than all of them is answered
within as long again with a chance of a half.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from wheatring.balancer.interface import Idempotency, RequestClass

MIN_ACCEPT_SECONDS = 0.42  # seconds after SIGTERM in which new connections may come; the platform says 0.4
QUIET_SECONDS = 0.05  # and since the last that came
MAX_ACCEPT_SECONDS = (
    0.65  # the door is shut by then: what is taken later than 0.7 s may not be left to SIGKILL
)
CLOSE_IDLE_SECONDS = 0.2
CLOSE_IDLE_WITH_SUCCESSOR_SECONDS = 2.0
MIN_IDLE_SECONDS = 0.3  # then none is closed that has not stood for so long: its caller is about to ask again
REQUEST_AFTER_CONNECT_SECONDS = 0.1  # seconds in which a caller that has connected writes its request
KILL_AFTER_DEADLINE_SECONDS = 0.7  # SIGKILL follows the longest deadline after this ...
MAX_DEADLINE_SECONDS = 3.0  # ... which is taken as this where it is longer
MARGIN_BEFORE_KILL_SECONDS = 0.2  # seconds before SIGKILL
LATENCIES_KEPT = 64  # latencies of each class that say what is usual
HORIZONS_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6)  # times ahead for which it is reckoned
UNSERVED_CHANCE = 0.5  # chance that what comes while this copy is away is served by nobody, times the copies


class OpenRequest(NamedTuple):
    """An open job, as far as the plan hangs on it."""

    class_name: str
    age: float  # seconds since it was taken
    remaining: float  # seconds to its deadline


class LatencyHistory:
    """The latest served jobs of each class: when, and how long they took. Instants never go back."""

    __slots__ = ("recent",)

    def __init__(self) -> None:
        self.recent: dict[str, deque[tuple[float, float]]] = {}

    def record(self, class_name: str, now: float, latency: float) -> None:
        recent = self.recent.get(class_name)
        if recent is None:
            recent = self.recent[class_name] = deque(maxlen=LATENCIES_KEPT)
        recent.append((now, latency))

    def latencies(self, class_name: str) -> list[float]:
        """In their order of length."""
        return sorted([latency for _, latency in self.recent.get(class_name, ())])

    def rate(self, class_name: str, now: float) -> float:
        """Jobs served a second; 0 while too few have been to tell."""
        recent = self.recent.get(class_name)
        if recent is None or len(recent) < 2 or now <= recent[0][0]:
            return 0.0
        return (len(recent) - 1) / (now - recent[0][0])


def answer_probability(latencies: Sequence[float], age: float, ahead: float) -> float:
    """That a job of this age is answered within the time ahead. `latencies` are sorted."""
    if ahead <= 0:
        return 0.0
    before = bisect_right(latencies, age)
    within = bisect_right(latencies, age + ahead) - before
    return (within + ahead / (age + ahead)) / (len(latencies) - before + 1)


class ShutdownSchedule:
    """One departure. `told` is the instant of SIGTERM; `usual` is not asked again later, or what is given up
    to be back sooner would hang on what the last moments brought.
    """

    def __init__(
        self,
        started_at: float,
        classes: Iterable[RequestClass],
        copies: int,
        history: LatencyHistory,
        idle: int = 0,
        has_successor: bool = False,
    ) -> None:
        self.started_at = started_at
        self.has_successor = has_successor
        self.min_idle_seconds = MIN_IDLE_SECONDS if has_successor else 0.0
        self.classes: Mapping[str, RequestClass] = {each.name: each for each in classes}
        self.idle = idle
        longest = max([each.deadline for each in self.classes.values()], default=0.0)
        self.deadline = (
            started_at
            + min(longest, MAX_DEADLINE_SECONDS)
            + KILL_AFTER_DEADLINE_SECONDS
            - MARGIN_BEFORE_KILL_SECONDS
        )
        self.latencies = {name: history.latencies(name) for name in self.classes}
        served = sum([each.value * history.rate(name, started_at) for name, each in self.classes.items()])
        self.value_per_second_away = served * min(1.0, UNSERVED_CHANCE / copies)  # of a second away, in worth

    def should_stop_accepting(self, now: float, last_accepted_at: float, is_full: bool) -> bool:
        """Whether the door is to be shut; `came` is the instant of the last new connection, `full` that more
        callers may wait at the door, who are not turned away.
        """
        since = now - self.started_at
        if is_full:
            return now >= self.deadline
        return since >= MAX_ACCEPT_SECONDS or (
            since >= MIN_ACCEPT_SECONDS and now - last_accepted_at >= QUIET_SECONDS
        )

    def max_idle(self, now: float) -> int:
        """How many connections may still stand between requests."""
        over = CLOSE_IDLE_WITH_SUCCESSOR_SECONDS if self.has_successor else CLOSE_IDLE_SECONDS
        return int(self.idle * max(0.0, 1 - (now - self.started_at) / over))

    def should_continue(self, now: float, requests: Sequence[OpenRequest]) -> bool:
        """The door is shut: whether open jobs may run on."""
        if not requests or now >= self.deadline:
            return False
        if self.has_successor:
            return True
        return any(
            self.expected_value(requests, ahead) > self.value_per_second_away * ahead
            for ahead in HORIZONS_SECONDS
        )

    def expected_value(self, requests: Iterable[OpenRequest], ahead: float) -> float:
        """What these jobs are likely to bring within the time ahead."""
        total = 0.0
        for name, age, left in requests:
            each = self.classes[name]
            latencies = self.latencies[name]
            reach = min(ahead, left)
            in_time = answer_probability(latencies, age, min(reach, each.latency_target - age))
            total += each.value * in_time
            if each.late_value and age + reach > each.latency_target:
                total += each.value * each.late_value * (answer_probability(latencies, age, reach) - in_time)
        return total

    def may_reject(self, class_name: str, may_have_run: bool) -> bool:
        """Whether what is given up may be called refused, which says that trying again is harmless."""
        return not may_have_run or self.classes[class_name].idempotency is Idempotency.IDEMPOTENT
