"""Recent throughput of the endpoints, as seen by this balancer."""

from __future__ import annotations

from math import exp


class Throughput:
    """Work served over about the last second; each answer counts as the unloaded latency of its class.

    Attributes
    ----------
    served : float
        Work in seconds as of `served_at`; decays with a time constant of one second.
    served_at : float
        When the last request was served.
    """

    __slots__ = ("served", "served_at")  # a dataclass would add to the start-up time

    def __init__(self) -> None:
        self.served = 0.0
        self.served_at = 0.0

    def record(self, now: float, unloaded_latency: float) -> None:
        """Record an answer to a request of a class with this unloaded latency in seconds."""
        self.served = self.served * exp(self.served_at - now) + unloaded_latency
        self.served_at = now

    def rate(self, now: float) -> float:
        """Return the unloaded latencies served per second."""
        return self.served * exp(self.served_at - now)
