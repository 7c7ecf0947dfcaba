"""The schedule of a graceful shutdown: how long connections are accepted and open requests may run.

The successor starts only after this process has ended, so a longer shutdown delays it. From SIGTERM on:

- Connections are accepted until none has arrived for `QUIET_SECONDS`, for at least `MIN_ACCEPT_SECONDS` and
  at most `MAX_ACCEPT_SECONDS`.
- Idle connections are closed one after another within `CLOSE_IDLE_SECONDS`, the longest idle first, so that
  their callers reconnect elsewhere a few at a time. Each response closes its connection.
- When no more connections are accepted, open requests continue while, for one of several times ahead, the
  value expected from them within that time exceeds the cost of delaying the successor by it. The cost of a
  second is the value that this sidecar recently served per second, times the probability that no other
  sidecar serves it. After that all open requests are given up together, as a single one would delay the end
  as much as ten.
- No request runs past its deadline, or past `MARGIN_BEFORE_KILL_SECONDS` before the earliest SIGKILL.

If a successor is already serving, nothing waits for this process to end: all requests continue up to that
limit, and idle connections are closed over `CLOSE_IDLE_WITH_SUCCESSOR_SECONDS`, as each close may cross a
request.

The expected value of a request is estimated from the recent latencies of its class: of those longer than the
current age of the request, the part that ended within the time ahead. A request older than all of them is
assumed to end within its age again with a probability of one half.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from wheatring.balancer.interface import Idempotency, RequestClass

MIN_ACCEPT_SECONDS = 0.42  # from SIGTERM; the platform may send new connections for 0.4 s
QUIET_SECONDS = 0.05  # time since the last new connection
MAX_ACCEPT_SECONDS = 0.65  # requests accepted later than 0.7 s after SIGTERM may still be open at SIGKILL
CLOSE_IDLE_SECONDS = 0.2
CLOSE_IDLE_WITH_SUCCESSOR_SECONDS = 2.0
MIN_IDLE_SECONDS = 0.3  # with a successor: a caller idle for less may be about to send a request
KILL_AFTER_DEADLINE_SECONDS = 0.7  # time from the longest class deadline to SIGKILL
MAX_DEADLINE_SECONDS = 3.0  # longer class deadlines count as this
MARGIN_BEFORE_KILL_SECONDS = 0.2
LATENCIES_KEPT = 64  # recent latencies kept for each class
HORIZONS_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6)  # times ahead for which value and cost are compared
# Probability that a request during this sidecar's absence is not served, times the number of sidecars.
UNSERVED_CHANCE = 0.5


class OpenRequest(NamedTuple):
    """An open request: its class, the seconds since it was accepted, and the seconds to its deadline."""

    class_name: str
    age: float
    remaining: float


class LatencyHistory:
    """The completion times, in order, and latencies of the latest served requests of each class."""

    __slots__ = ("recent",)

    def __init__(self) -> None:
        self.recent: dict[str, deque[tuple[float, float]]] = {}

    def record(self, class_name: str, now: float, latency: float) -> None:
        """Record that a request has been served with this latency in seconds."""
        recent = self.recent.get(class_name)
        if recent is None:
            recent = self.recent[class_name] = deque(maxlen=LATENCIES_KEPT)
        recent.append((now, latency))

    def latencies(self, class_name: str) -> list[float]:
        """Return the latencies of a class in seconds, sorted."""
        return sorted([latency for _, latency in self.recent.get(class_name, ())])

    def rate(self, class_name: str, now: float) -> float:
        """Return the rate of served requests of a class per second; 0 if there are too few to estimate it."""
        recent = self.recent.get(class_name)
        if recent is None or len(recent) < 2 or now <= recent[0][0]:
            return 0.0
        return (len(recent) - 1) / (now - recent[0][0])


def answer_probability(latencies: Sequence[float], age: float, ahead: float) -> float:
    """Return the probability that a request of this age is answered within the next `ahead` seconds.

    `latencies` are sorted.
    """
    if ahead <= 0:
        return 0.0
    before = bisect_right(latencies, age)
    within = bisect_right(latencies, age + ahead) - before
    return (within + ahead / (age + ahead)) / (len(latencies) - before + 1)


class ShutdownSchedule:
    """One shutdown, from SIGTERM at `started_at`.

    The latency history is read only at the start, so that the decision does not depend on the requests served
    during the shutdown.

    Attributes
    ----------
    idle : int
        The number of idle connections at the start.
    has_successor : bool
        Whether another process of this sidecar is already serving.
    min_idle_seconds : float
        The time for which a connection must have been idle to be closed.
    deadline : float
        The time at which all open requests are given up.
    lost_value_per_second : float
        The value lost per second without this sidecar.
    """

    def __init__(
        self,
        started_at: float,
        classes: Iterable[RequestClass],
        sidecar_count: int,
        history: LatencyHistory,
        idle: int = 0,
        has_successor: bool = False,
    ) -> None:
        self.started_at = started_at
        self.has_successor = has_successor
        self.min_idle_seconds = MIN_IDLE_SECONDS if has_successor else 0.0
        self.classes: Mapping[str, RequestClass] = {
            request_class.name: request_class for request_class in classes
        }
        self.idle = idle
        longest = max([request_class.deadline for request_class in self.classes.values()], default=0.0)
        self.deadline = (
            started_at
            + min(longest, MAX_DEADLINE_SECONDS)
            + KILL_AFTER_DEADLINE_SECONDS
            - MARGIN_BEFORE_KILL_SECONDS
        )
        self.latencies = {name: history.latencies(name) for name in self.classes}
        served = sum(
            [
                request_class.value * history.rate(name, started_at)
                for name, request_class in self.classes.items()
            ]
        )
        self.lost_value_per_second = served * min(1.0, UNSERVED_CHANCE / sidecar_count)

    def should_stop_accepting(self, now: float, last_accepted_at: float, is_full: bool) -> bool:
        """Whether to stop accepting connections.

        `is_full`: the connection limit is reached, so callers may be waiting in the backlog, and the listener
        stays open for them.
        """
        since = now - self.started_at
        if is_full:
            return now >= self.deadline
        return since >= MAX_ACCEPT_SECONDS or (
            since >= MIN_ACCEPT_SECONDS and now - last_accepted_at >= QUIET_SECONDS
        )

    def max_idle(self, now: float) -> int:
        """Return the number of connections that may still be idle."""
        over = CLOSE_IDLE_WITH_SUCCESSOR_SECONDS if self.has_successor else CLOSE_IDLE_SECONDS
        return int(self.idle * max(0.0, 1 - (now - self.started_at) / over))

    def should_continue(self, now: float, requests: Sequence[OpenRequest]) -> bool:
        """Whether open requests may continue once no more connections are accepted."""
        if not requests or now >= self.deadline:
            return False
        if self.has_successor:
            return True
        return any(
            self.expected_value(requests, ahead) > self.lost_value_per_second * ahead
            for ahead in HORIZONS_SECONDS
        )

    def expected_value(self, requests: Iterable[OpenRequest], ahead: float) -> float:
        """Return the expected value of these requests within the next `ahead` seconds."""
        total = 0.0
        for name, age, left in requests:
            request_class = self.classes[name]
            latencies = self.latencies[name]
            reach = min(ahead, left)
            in_time = answer_probability(latencies, age, min(reach, request_class.latency_target - age))
            total += request_class.value * in_time
            if request_class.late_value and age + reach > request_class.latency_target:
                total += (
                    request_class.value
                    * request_class.late_value
                    * (answer_probability(latencies, age, reach) - in_time)
                )
        return total

    def may_reject(self, class_name: str, may_have_run: bool) -> bool:
        """Whether a request that is given up may be rejected, which tells the caller that a retry is safe."""
        return not may_have_run or self.classes[class_name].idempotency is Idempotency.IDEMPOTENT
