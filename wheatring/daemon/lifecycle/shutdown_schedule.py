"""The schedule of a shutdown: from SIGTERM on, what is still accepted, and until when open requests may run.

The successor starts once this process has ended, so that each moment here is a moment later there. The law:

- Connections are accepted until none has come for `QUIET_SECONDS`, not less than `MIN_ACCEPT_SECONDS` and no
  longer than `MAX_ACCEPT_SECONDS`.
- Connections between requests are closed one after another within `CLOSE_IDLE_SECONDS`, the longest idle
  first: their callers go elsewhere a few at a time. Each answer is the last on its connection.
- Once none are accepted, all requests go on for as long as the value that they are likely to bring within
  some time ahead is more than that of being back sooner by that time. A second here costs the value that this
  sidecar has lately served in one, times the chance that nobody else serves it. Then all that is left is
  given up at once: one request alone would hold up the end as much as ten.
- Nothing runs longer than `MARGIN_BEFORE_KILL_SECONDS` before SIGKILL may come, or past its deadline.

Where the successor serves already, nobody waits for this end: all requests run on as long as they may, and
connections between requests are closed over `CLOSE_IDLE_WITH_SUCCESSOR_SECONDS`, for each that is closed may
cross a request.

What a request is likely to bring is read off the latest latencies of its class: of those that took longer
than it has run by now, the part that was answered within that time. One that is older than all of them is
answered within as long again with a chance of a half.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from wheatring.balancer.interface import Idempotency, RequestClass

MIN_ACCEPT_SECONDS = 0.42  # after SIGTERM, in which new connections may come; the platform says 0.4
QUIET_SECONDS = 0.05  # and since the last that came
MAX_ACCEPT_SECONDS = 0.65  # what is accepted later than 0.7 s may be left to SIGKILL
CLOSE_IDLE_SECONDS = 0.2
CLOSE_IDLE_WITH_SUCCESSOR_SECONDS = 2.0
MIN_IDLE_SECONDS = 0.3  # with a successor: one that is idle for less is about to bring a request
KILL_AFTER_DEADLINE_SECONDS = 0.7  # SIGKILL follows the longest deadline after this ...
MAX_DEADLINE_SECONDS = 3.0  # ... which is taken as this where it is longer
MARGIN_BEFORE_KILL_SECONDS = 0.2
LATENCIES_KEPT = 64  # latencies of each class that say what is usual
HORIZONS_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6)  # times ahead for which it is reckoned
UNSERVED_CHANCE = 0.5  # chance that what comes while this copy is away is served by nobody, times the copies


class OpenRequest(NamedTuple):
    """An open request, as far as the schedule depends on it.

    `age` is seconds since it was accepted, `remaining` seconds to its deadline.
    """

    class_name: str
    age: float
    remaining: float


class LatencyHistory:
    """The latest served requests of each class: when, and how long they took. Instants never go back."""

    __slots__ = ("recent",)

    def __init__(self) -> None:
        self.recent: dict[str, deque[tuple[float, float]]] = {}

    def record(self, class_name: str, now: float, latency: float) -> None:
        """Take in that a request has been served, after so many seconds."""
        recent = self.recent.get(class_name)
        if recent is None:
            recent = self.recent[class_name] = deque(maxlen=LATENCIES_KEPT)
        recent.append((now, latency))

    def latencies(self, class_name: str) -> list[float]:
        """Return the latencies of a class in seconds, sorted."""
        return sorted([latency for _, latency in self.recent.get(class_name, ())])

    def rate(self, class_name: str, now: float) -> float:
        """Return the requests of a class served a second; 0 while too few have been to tell."""
        recent = self.recent.get(class_name)
        if recent is None or len(recent) < 2 or now <= recent[0][0]:
            return 0.0
        return (len(recent) - 1) / (now - recent[0][0])


def answer_probability(latencies: Sequence[float], age: float, ahead: float) -> float:
    """Return the chance that a request of this age is answered within the seconds ahead.

    `latencies` are sorted.
    """
    if ahead <= 0:
        return 0.0
    before = bisect_right(latencies, age)
    within = bisect_right(latencies, age + ahead) - before
    return (within + ahead / (age + ahead)) / (len(latencies) - before + 1)


class ShutdownSchedule:
    """One shutdown, from SIGTERM at `started_at`.

    The latency history is not read again later, or what is given up to be back sooner would depend on what
    the last moments brought.

    Attributes
    ----------
    has_successor : bool
        Another process of this sidecar serves already.
    min_idle_seconds : float
        For which a connection must have been idle to be closed.
    deadline : float
        The instant at which nothing runs on.
    value_per_second_away : float
        What a second without this sidecar costs.
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
        """Whether no more connections are to be accepted.

        `is_full` says that callers may wait to be accepted, who are not rejected.
        """
        since = now - self.started_at
        if is_full:
            return now >= self.deadline
        return since >= MAX_ACCEPT_SECONDS or (
            since >= MIN_ACCEPT_SECONDS and now - last_accepted_at >= QUIET_SECONDS
        )

    def max_idle(self, now: float) -> int:
        """Return how many connections may still stand between requests."""
        over = CLOSE_IDLE_WITH_SUCCESSOR_SECONDS if self.has_successor else CLOSE_IDLE_SECONDS
        return int(self.idle * max(0.0, 1 - (now - self.started_at) / over))

    def should_continue(self, now: float, requests: Sequence[OpenRequest]) -> bool:
        """Whether open requests may run on, once no connections are accepted."""
        if not requests or now >= self.deadline:
            return False
        if self.has_successor:
            return True
        return any(
            self.expected_value(requests, ahead) > self.value_per_second_away * ahead
            for ahead in HORIZONS_SECONDS
        )

    def expected_value(self, requests: Iterable[OpenRequest], ahead: float) -> float:
        """Return the value that these requests are likely to bring within the seconds ahead."""
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
        """Whether what is given up may be rejected, which says that trying again is harmless."""
        return not may_have_run or self.classes[class_name].idempotency is Idempotency.IDEMPOTENT
