"""How much work endpoints have lately served for this balancer."""

from __future__ import annotations

from math import exp


class Throughput:
    """Work served over about the last second, in unloaded latencies (seconds of an unloaded endpoint).

    Attributes
    ----------
    served : float
        The work, as of `served_at`; it fades to a third within a second.
    served_at : float
        When something was last served.
    """

    __slots__ = ("served", "served_at")  # a dataclass would compile its methods at each start

    def __init__(self) -> None:
        self.served = 0.0
        self.served_at = 0.0

    def record(self, now: float, unloaded_latency: float) -> None:
        """Take in an answer to a request of a class with this unloaded latency in seconds."""
        self.served = self.served * exp(self.served_at - now) + unloaded_latency
        self.served_at = now

    def rate(self, now: float) -> float:
        """Return the unloaded latencies served a second."""
        return self.served * exp(self.served_at - now)
