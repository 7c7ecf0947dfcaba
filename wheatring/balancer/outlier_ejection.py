"""Outlier ejection: temporary exclusion of unhealthy endpoints, and their gradual return."""

from __future__ import annotations

from math import inf

from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.endpoint_load import PRIOR_OUTCOMES
from wheatring.balancer.endpoint_pool import EndpointPool
from wheatring.balancer.outcomes import Outcome
from wheatring.balancer.throughput import Throughput

SERVED = Outcome.SERVED  # bound once: enum attribute access is slow

# An endpoint is ejected once the scores of its outcomes since the last served request add up to 1. One failed
# connection is enough: it leaves nothing in flight to wait for, and further attempts would fail as well. The
# other outcomes can also be caused by load.
EJECTION_SCORES = {
    Outcome.ERROR: 1 / 5,
    Outcome.REJECTED: 1 / 5,
    Outcome.TIMED_OUT: 1 / 5,
    Outcome.RESET: 1 / 3,
    Outcome.CONNECT_FAILED: 1.0,
}
MAX_EJECTION_DOUBLINGS = 4  # The length of an ejection doubles with each one, up to 2**4 rounds.
MAX_EJECTION_SECONDS = 5.0  # Limit at balancers with little traffic, where a round takes long.
OVERLOAD_EJECTION_SECONDS = 6.5  # Lets an overloaded endpoint finish its requests and be idle for some time.
ANSWERS_UNTIL_HEALTHY = 8
# From this multiple of the unloaded latency on, an endpoint recovers only without traffic.
OVERLOADED_LATENCY_RATIO = 2.8


class OutlierEjector:
    """Ejects endpoints by their outcomes.

    After an ejection, an endpoint is limited to one attempt in flight; each answer raises the limit by one.

    Attributes
    ----------
    rounds : float
        Rounds so far. In one round this balancer sends as many attempts as it has warm local endpoints.
    """

    def __init__(self, pool: EndpointPool, throughput: Throughput) -> None:
        self.pool = pool
        self.throughput = throughput
        self.rounds = 0.0

    def record_outcome(self, now: float, endpoint: Endpoint, outcome: Outcome) -> None:
        """Record the outcome of an attempt, and eject the endpoint if its score is high enough."""
        excess = (OVERLOADED_LATENCY_RATIO - 1) * (endpoint.outcomes + PRIOR_OUTCOMES)
        is_overloaded = endpoint.excess_latency >= excess
        if outcome is SERVED and not is_overloaded:
            endpoint.ejection_score = 0.0
            endpoint.probation_limit += endpoint.ejections > 0
            if endpoint.probation_limit > ANSWERS_UNTIL_HEALTHY:
                endpoint.ejections = 0
            return
        score = 1.0 if is_overloaded else EJECTION_SCORES.get(outcome, 0.0)
        if not score or self.is_ejected(now, endpoint):
            return  # attempts that were sent before the ejection don't count
        endpoint.ejection_score += score
        endpoint.probation_limit //= 2
        if endpoint.ejection_score >= 1 or (endpoint.ejections and not endpoint.probation_limit):
            self._eject(now, endpoint, is_overloaded)
        endpoint.probation_limit = max(endpoint.probation_limit, 1)

    def _eject(self, now: float, endpoint: Endpoint, is_overloaded: bool) -> None:
        endpoint.ejections = min(endpoint.ejections + 1, MAX_EJECTION_DOUBLINGS)
        endpoint.probation_limit = 1
        endpoint.ejected_at_round = self.rounds
        if is_overloaded:
            endpoint.ejected_until_round = inf
            endpoint.ejected_until = now + OVERLOAD_EJECTION_SECONDS
        else:
            endpoint.ejected_until_round = self.rounds + 2.0**endpoint.ejections
            endpoint.ejected_until = now + MAX_EJECTION_SECONDS
        # The endpoint returns without history.
        endpoint.outcomes = endpoint.excess_latency = endpoint.failures = endpoint.ejection_score = 0.0

    def is_ejected(self, now: float, endpoint: Endpoint) -> bool:
        """Whether an unhealthy endpoint is ejected at present.

        If more than half of the endpoints are unhealthy while some still serve, this balancer's own network
        path is the more likely cause, and an ejection lasts one round at most.
        """
        until_round = endpoint.ejected_until_round
        if now - self.throughput.served_at < 1 and self.is_majority_unhealthy():
            until_round = min(until_round, endpoint.ejected_at_round + 1)
        return self.rounds < until_round and now < endpoint.ejected_until

    def is_majority_unhealthy(self) -> bool:
        """Whether more than half of the ready endpoints are unhealthy."""
        ready = self.pool.ready
        return 2 * len([endpoint for endpoint in ready if endpoint.ejections]) > len(ready)

    def is_available(self, now: float, endpoint: Endpoint) -> bool:
        """Whether the health of an endpoint allows an attempt now."""
        if not endpoint.ejections:
            return True
        is_full = endpoint.in_flight >= endpoint.probation_limit and not self.is_majority_unhealthy()
        return not is_full and not self.is_ejected(now, endpoint)
