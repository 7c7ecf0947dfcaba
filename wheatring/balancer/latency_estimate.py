"""Latency estimates of a class of requests: the current latency, and the latency of unloaded endpoints."""

from __future__ import annotations

from dataclasses import dataclass

LEARNING_RATE = 0.2  # Base weight of a new observation; each average uses its own fraction of it.


@dataclass(slots=True)
class LatencyEstimate:
    """Latency estimate of one class at this balancer, in seconds.

    Mean and mean deviation are exponentially weighted averages as in TCP's RTT estimator (RFC 6298).

    Attributes
    ----------
    mean, deviation : float
        Fast averages of the latency and of its distance from the mean. 0 before the first observation.
    smoothed : float
        Average over more observations, with less noise.
    unloaded : float
        Latency of unloaded endpoints. It follows `smoothed` down quickly, and up only over minutes.
    count : int
        Number of observations.
    """

    mean: float = 0.0
    deviation: float = 0.0
    smoothed: float = 0.0
    unloaded: float = 0.0
    count: int = 0

    def learn(self, latency: float, is_known: bool) -> None:
        """Record one latency in seconds.

        `is_known` tells whether there are enough observations for `unloaded` to differ from `smoothed`.
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
