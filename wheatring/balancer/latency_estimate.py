"""Latency estimates: what is typical of a class of requests, also when endpoints are unloaded."""

from __future__ import annotations

from dataclasses import dataclass

LEARNING_RATE = 0.2  # weight of a new observation, of which each average takes its own part


@dataclass(slots=True)
class LatencyEstimate:
    """Typical latency of one class at this balancer, in seconds.

    Mean and mean deviation are kept as TCP keeps its round-trip times (RFC 6298).

    Attributes
    ----------
    mean, deviation : float
        Fast averages of the latency and of its distance from the mean. 0 while nothing has been observed.
    smoothed : float
        Mean over more answers, with less noise.
    unloaded : float
        `smoothed` when endpoints are unloaded. Follows it down, and up only within minutes.
    count : int
        Observations so far.
    """

    mean: float = 0.0
    deviation: float = 0.0
    smoothed: float = 0.0
    unloaded: float = 0.0
    count: int = 0

    def learn(self, latency: float, is_known: bool) -> None:
        """Take in one latency in seconds.

        `is_known` says whether enough has been observed for `unloaded` to be kept apart from `smoothed`.
        """
        self.count += 1
        if not self.mean:
            self.mean, self.deviation = latency, latency / 2
        self.deviation += LEARNING_RATE / 2 * (abs(latency - self.mean) - self.deviation)
        self.mean += LEARNING_RATE / 2 * (latency - self.mean)
        self.smoothed += max(1 / self.count, LEARNING_RATE / 10) * (latency - self.smoothed)
        gap = self.smoothed - self.unloaded
        rate = 1.0 if not is_known else LEARNING_RATE / 10 if gap < 0 else LEARNING_RATE / 2000
        self.unloaded += rate * gap
