"""Outlier ejection: which endpoints are left out for a while, and how they come back."""

from __future__ import annotations

from math import inf

from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.endpoint_load import PRIOR_OUTCOMES
from wheatring.balancer.endpoint_pool import EndpointPool
from wheatring.balancer.outcomes import Outcome
from wheatring.balancer.throughput import Throughput

SERVED = Outcome.SERVED  # looked up once, not for each attempt: an enum takes its time

# Parts of the evidence that has an endpoint ejected, if nothing is served in between. A refused connect
# leaves nothing in flight, and proves by itself that sending there is vain; the others also come from load.
EVIDENCE = {
    Outcome.ERROR: 1 / 5,
    Outcome.REJECTED: 1 / 5,
    Outcome.TIMED_OUT: 1 / 5,
    Outcome.RESET: 1 / 3,
    Outcome.CONNECT_FAILED: 1.0,
}
MAX_EJECTION_DOUBLINGS = 4  # of the turns for which an endpoint is ejected
MAX_EJECTION_SECONDS = 5.0  # after which a balancer with little traffic tries it again before its turn
OVERLOAD_REST_SECONDS = 6.5  # in which an overloaded one ends its work and stands idle for a while
HEALTHY_ANSWERS = 8  # after which it counts as healthy again
OVERLOADED_LATENCY_RATIO = 2.8  # times the unloaded latency, from which only rest makes it fast again


class OutlierEjector:
    """Ejects endpoints by the evidence of their outcomes.

    An ejected endpoint comes back by one attempt at a time, then by one more with each answer.

    Attributes
    ----------
    turns : float
        Even shares of this balancer's attempts that have passed: one for each attempt to each warm endpoint.
    """

    def __init__(self, pool: EndpointPool, throughput: Throughput) -> None:
        self.pool = pool
        self.throughput = throughput
        self.turns = 0.0

    def record_outcome(self, now: float, endpoint: Endpoint, outcome: Outcome) -> None:
        """Take in the outcome of an attempt; eject the endpoint if there is evidence enough."""
        excess = (OVERLOADED_LATENCY_RATIO - 1) * (endpoint.outcomes + PRIOR_OUTCOMES)
        is_overloaded = endpoint.excess_latency >= excess
        if outcome is SERVED and not is_overloaded:
            endpoint.evidence = 0.0
            endpoint.probation_limit += endpoint.ejections > 0
            if endpoint.probation_limit > HEALTHY_ANSWERS:
                endpoint.ejections = 0
            return
        weight = 1.0 if is_overloaded else EVIDENCE.get(outcome, 0.0)
        if not weight or self.is_ejected(now, endpoint):
            return  # what was sent before the ejection says nothing new
        endpoint.evidence += weight
        endpoint.probation_limit //= 2
        if endpoint.evidence >= 1 or (endpoint.ejections and not endpoint.probation_limit):
            self._eject(now, endpoint, is_overloaded)
        endpoint.probation_limit = max(endpoint.probation_limit, 1)

    def _eject(self, now: float, endpoint: Endpoint, is_overloaded: bool) -> None:
        endpoint.ejections = min(endpoint.ejections + 1, MAX_EJECTION_DOUBLINGS)
        endpoint.probation_limit = 1
        endpoint.ejected_at_turn = self.turns
        if is_overloaded:
            endpoint.ejected_until_turn = inf
            endpoint.ejected_until = now + OVERLOAD_REST_SECONDS
        else:
            endpoint.ejected_until_turn = self.turns + 2.0**endpoint.ejections
            endpoint.ejected_until = now + MAX_EJECTION_SECONDS
        # It comes back with no history.
        endpoint.outcomes = endpoint.excess_latency = endpoint.failures = endpoint.evidence = 0.0

    def is_ejected(self, now: float, endpoint: Endpoint) -> bool:
        """Whether nothing is sent to an unhealthy endpoint for now.

        Where more than half are unhealthy and some do serve, the ejection holds for one turn at most: rather
        than the fleet, it is this balancer's own network path that is bad.
        """
        until_turn = endpoint.ejected_until_turn
        if now - self.throughput.served_at < 1 and self.is_majority_unhealthy():
            until_turn = min(until_turn, endpoint.ejected_at_turn + 1)
        return self.turns < until_turn and now < endpoint.ejected_until

    def is_majority_unhealthy(self) -> bool:
        """Whether more than half of the ready endpoints are unhealthy."""
        ready = self.pool.ready
        return 2 * len([each for each in ready if each.ejections]) > len(ready)

    def is_available(self, now: float, endpoint: Endpoint) -> bool:
        """Whether an attempt may go to an endpoint now, as far as its health goes."""
        if not endpoint.ejections:
            return True
        is_full = endpoint.in_flight >= endpoint.probation_limit and not self.is_majority_unhealthy()
        return not is_full and not self.is_ejected(now, endpoint)
