"""How loaded an endpoint looks: its outcomes, its latencies, its silence and its own reports."""

from __future__ import annotations

from math import exp, inf

from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.latency_estimate import LatencyEstimate
from wheatring.balancer.outcomes import LoadReport

MEMORY_SECONDS = 5.0  # in which what is remembered of an endpoint's outcomes fades to a third
PRIOR_OUTCOMES = 1.0  # outcomes that an endpoint has to show before what it shows counts for half
MAX_OUTCOMES = 6.0  # and those remembered at most: under dense traffic the last ones tell enough
FAILURE_WEIGHT = 4.0  # how much heavier an endpoint counts that fails all the time
OVERBURDENED = 4.0  # burden of an endpoint that is not chosen while a better one may be drawn
SILENT_ANSWERS = 4.0  # answers that an endpoint that counts as silent should have sent meanwhile
AVERAGE_WEIGHT = 0.05  # of a new observation, in the averages over all endpoints


class EndpointLoad:
    """Weighs endpoints against one another.

    Attributes
    ----------
    latency : LatencyEstimate
        That of all classes together.
    usual_slowness : float
        Mean latency of all endpoints in multiples of the class's unloaded latency.
    mean_reported : float
        Mean requests in flight that endpoints report.
    """

    def __init__(self) -> None:
        self.latency = LatencyEstimate()
        self.usual_slowness = 1.0
        self.mean_reported = 0.0

    def decay(self, now: float, endpoint: Endpoint) -> float:
        """Return the weight that what is remembered of an endpoint's outcomes still has."""
        return exp((endpoint.updated_at - now) / MEMORY_SECONDS)

    def record_outcome(self, now: float, endpoint: Endpoint, has_failed: bool) -> None:
        """Take in that an attempt has ended."""
        decay = exp((endpoint.updated_at - now) / MEMORY_SECONDS)
        endpoint.updated_at = now
        # An outcome weighs as one of those remembered: by a fixed weight, thin traffic would never tell.
        decay *= min(1.0, MAX_OUTCOMES / (endpoint.outcomes * decay + 1))
        endpoint.outcomes = endpoint.outcomes * decay + 1
        endpoint.failures = endpoint.failures * decay + has_failed
        endpoint.excess_latency *= decay

    def record_report(self, now: float, endpoint: Endpoint, report: LoadReport) -> None:
        """Take in what an endpoint reports of its load, if it reports requests."""
        in_flight = report.queue if report.in_flight is None else report.in_flight
        if in_flight is not None:
            endpoint.reported_in_flight, endpoint.reported_at = in_flight, now
            self.mean_reported += AVERAGE_WEIGHT * (in_flight - self.mean_reported)

    def record_latency(self, endpoint: Endpoint, latency: float, unloaded_latency: float) -> None:
        """Take in a latency, and the unloaded one of its class, both in seconds."""
        excess = min(latency / unloaded_latency, OVERBURDENED) - 1
        endpoint.excess_latency += excess
        self.usual_slowness += AVERAGE_WEIGHT * (1 + excess - self.usual_slowness)

    def burden(self, now: float, endpoint: Endpoint) -> float:
        """Return what an endpoint's attempts in flight are multiplied by: it is slow, fails or is silent."""
        decay = exp((endpoint.updated_at - now) / MEMORY_SECONDS)
        usual = self.usual_slowness
        known = endpoint.outcomes * decay + PRIOR_OUTCOMES  # with few outcomes, what is usual is expected
        slowness = 1 + (endpoint.excess_latency * decay + PRIOR_OUTCOMES * (usual - 1)) / known
        # Answers that it should have sent since its last one.
        missing = (now - endpoint.progressed_at) * endpoint.in_flight / (self.latency.mean or inf)
        slowness = max(slowness / usual, missing / SILENT_ANSWERS)
        mean = reported = self.mean_reported
        if endpoint.reported_at:  # an old report says no more than the mean
            reported += (endpoint.reported_in_flight - mean) * exp(endpoint.reported_at - now)
        crowd = (1 + reported) / (1 + mean) / (endpoint.entry.rating or 1.0)
        return slowness * crowd * (1 + FAILURE_WEIGHT * endpoint.failures * decay / known)
