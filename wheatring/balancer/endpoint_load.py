"""Estimates the load of an endpoint from outcomes, latencies, missing responses and its own reports."""

from __future__ import annotations

from math import exp, inf

from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.latency_estimate import LatencyEstimate
from wheatring.balancer.outcomes import LoadReport

DECAY_SECONDS = 5.0  # Time constant of the sums over an endpoint's outcomes.
PRIOR_OUTCOMES = 1.0  # Weight of the prior (the average endpoint), in outcomes.
MAX_OUTCOMES = 6.0  # Limit of the sum of outcomes, so that recent ones dominate under high traffic.
FAILURE_WEIGHT = 4.0  # An endpoint that always fails counts as 1 + this many times as loaded.
MAX_ACCEPTABLE_MULTIPLIER = 4.0  # More endpoints are drawn while all usable ones reach this multiplier.
TOLERATED_MISSING_RESPONSES = 4.0  # An endpoint with this many overdue responses counts as average.
AVERAGE_WEIGHT = 0.05  # Weight of a new observation in the averages over all endpoints.


class EndpointLoad:
    """Compares endpoints by their load.

    Attributes
    ----------
    latency : LatencyEstimate
        Latency estimate over all classes.
    mean_latency_ratio : float
        Mean latency over all endpoints, in multiples of the class's unloaded latency.
    mean_reported : float
        Mean of the requests in flight that endpoints report.
    """

    def __init__(self) -> None:
        self.latency = LatencyEstimate()
        self.mean_latency_ratio = 1.0
        self.mean_reported = 0.0

    def decay(self, now: float, endpoint: Endpoint) -> float:
        """Return the factor by which the sums over an endpoint's outcomes have decayed since their update."""
        return exp((endpoint.updated_at - now) / DECAY_SECONDS)

    def record_outcome(self, now: float, endpoint: Endpoint, has_failed: bool) -> None:
        """Record that an attempt has ended."""
        decay = exp((endpoint.updated_at - now) / DECAY_SECONDS)
        endpoint.updated_at = now
        # Beyond MAX_OUTCOMES older outcomes lose weight faster. A moving average with a fixed weight instead
        # would hardly change at an endpoint with little traffic.
        decay *= min(1.0, MAX_OUTCOMES / (endpoint.outcomes * decay + 1))
        endpoint.outcomes = endpoint.outcomes * decay + 1
        endpoint.failures = endpoint.failures * decay + has_failed
        endpoint.excess_latency *= decay

    def record_report(self, now: float, endpoint: Endpoint, report: LoadReport) -> None:
        """Record a load report, if it contains requests in flight or queued."""
        in_flight = report.queue if report.in_flight is None else report.in_flight
        if in_flight is not None:
            endpoint.reported_in_flight, endpoint.reported_at = in_flight, now
            self.mean_reported += AVERAGE_WEIGHT * (in_flight - self.mean_reported)

    def record_latency(self, endpoint: Endpoint, latency: float, unloaded_latency: float) -> None:
        """Record the latency of an attempt. Both arguments are in seconds."""
        excess = min(latency / unloaded_latency, MAX_ACCEPTABLE_MULTIPLIER) - 1
        endpoint.excess_latency += excess
        self.mean_latency_ratio += AVERAGE_WEIGHT * (1 + excess - self.mean_latency_ratio)

    def multiplier(self, now: float, endpoint: Endpoint) -> float:
        """Return the factor by which an endpoint's attempts in flight are multiplied in a comparison.

        It grows if the endpoint is slow, fails, doesn't respond, or reports more load than others.
        """
        decay = exp((endpoint.updated_at - now) / DECAY_SECONDS)
        mean_ratio = self.mean_latency_ratio
        outcomes = endpoint.outcomes * decay + PRIOR_OUTCOMES
        slowness = 1 + (endpoint.excess_latency * decay + PRIOR_OUTCOMES * (mean_ratio - 1)) / outcomes
        # Expected number of responses since the last one.
        missing = (now - endpoint.progressed_at) * endpoint.in_flight / (self.latency.mean or inf)
        slowness = max(slowness / mean_ratio, missing / TOLERATED_MISSING_RESPONSES)
        mean = reported = self.mean_reported
        if endpoint.reported_at:  # The weight of a report decays, so that an old one counts as the mean.
            reported += (endpoint.reported_in_flight - mean) * exp(endpoint.reported_at - now)
        relative_load = (1 + reported) / (1 + mean) / (endpoint.entry.rating or 1.0)
        return slowness * relative_load * (1 + FAILURE_WEIGHT * endpoint.failures * decay / outcomes)
