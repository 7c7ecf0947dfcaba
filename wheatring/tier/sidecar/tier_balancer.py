"""The tier's extension of the balancer, for one service.

The retry policy is that of the base class (gRFC A6). The tier adds a limit on the attempts of each route,
admission by the number of slots that endpoints report, and, for endpoints that run a model, selection by the
cached prefix of the prompt.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from wheatring.balancer import interface as i
from wheatring.balancer.active_request import ActiveRequest
from wheatring.balancer.balancer import Balancer
from wheatring.balancer.endpoint import Endpoint
from wheatring.tier.sidecar.policy import SidecarPolicy
from wheatring.tier.sidecar.prefix_placement import (
    CONVERSATION_SEGMENT_INDEX,
    PrefixCacheTracker,
    PromptSegment,
    home_endpoint,
)

LOAD_REPORT_TTL_SECONDS = 1.0
MAX_ATTEMPTS = 5
MIN_LATENCY_SAMPLES = 12  # With fewer responses, the usual latency of a route counts as unknown.


def are_zones_balanced(endpoints_by_zone: Mapping[str, int], policy: SidecarPolicy) -> bool:
    """Whether every zone can serve its own traffic: no zone has far less than its share of the endpoints."""
    least = min(endpoints_by_zone.values(), default=0)
    share = sum(endpoints_by_zone.values()) / max(len(endpoints_by_zone), 1)
    return least >= policy.least_in_zone and least >= policy.least_zone_share * share


class TierBalancer(Balancer):
    """A balancer with the tier's limits, which also takes prefix caches into account.

    Attributes
    ----------
    max_attempts
        The maximum number of attempts by name of the route.
    slots
        The number of requests that an endpoint runs concurrently, by endpoint.
    prompt_segments
        The segments of the prompt by number of the request.
    is_zone_local
        Whether endpoints in other zones cost more for prompts, and homes are in this sidecar's zone.
    """

    def __init__(self, settings: i.Settings, seed: int, policy: SidecarPolicy) -> None:
        super().__init__(settings, seed)
        self.policy = policy
        self.max_attempts: dict[str, int] = {}
        self.slots: dict[str, int] = {}
        self.prompt_segments: dict[int, tuple[PromptSegment, ...]] = {}
        self.prefix_caches = PrefixCacheTracker(policy.prefix_seconds)
        self.is_zone_local = False

    def may_retry(self, now: float, request: ActiveRequest, outcome: i.Outcome) -> bool:
        """Whether another attempt is allowed; the route limits the number of attempts."""
        if len(request.attempts) >= self.max_attempts.get(request.request_class.name, MAX_ATTEMPTS):
            return False
        return super().may_retry(now, request, outcome)

    def is_latency_known(
        self,
        now: float,  # noqa: ARG002 - the balancer's signature
        request_class: i.RequestClass,
    ) -> bool:
        """Whether the usual latency of a class is known.

        Routes are added and removed while a sidecar runs, so each route counts its own responses.
        """
        estimate = self.latencies.get(request_class.name)
        return estimate is not None and estimate.count >= MIN_LATENCY_SAMPLES

    def update_ejection(self, now: float, endpoint: Endpoint, outcome: i.Outcome) -> None:
        """Eject an endpoint for failures only.

        In the tier, the duration of a response depends on its length, so latency only counts in the burden.
        """
        excess_latency, endpoint.excess_latency = endpoint.excess_latency, 0.0
        super().update_ejection(now, endpoint, outcome)
        if endpoint.outcomes:
            endpoint.excess_latency = excess_latency

    def admits(self, now: float, request: ActiveRequest) -> bool:
        """Whether a request is admitted, which it always is while an endpoint has a free slot."""
        return super().admits(now, request) or any(
            self.occupancy(now, endpoint) < self.slots.get(endpoint.entry.endpoint, 0)
            for endpoint in self.pool.ready
        )

    def occupancy(self, now: float, endpoint: Endpoint) -> float:
        """Return the requests at an endpoint: its recent report, or this sidecar's attempts if more."""
        if endpoint.reported_at and now - endpoint.reported_at < LOAD_REPORT_TTL_SECONDS:
            return max(endpoint.reported_in_flight, endpoint.in_flight)
        return endpoint.in_flight

    def pick(self, now: float, request: ActiveRequest) -> tuple[Endpoint | None, list[Endpoint]]:
        """Return the endpoint for an attempt, and the endpoints that it was chosen from.

        The candidates are the choice of the base class, the endpoints that cache the longest part of the
        prompt, and the home endpoint of the conversation. The candidate with the lowest cost is chosen.
        """
        best, sampled = super().pick(now, request)
        segments = self.prompt_segments.get(request.request_id)
        if best is None or not segments or len(self.pool.ready) < 2:
            return best, sampled
        home = self._home_endpoint(segments) if self.policy.prompt_homes else None
        candidates = {best.entry.endpoint: best}
        for endpoint in (
            *self._endpoints_caching_prefix(now, segments),
            *([home] if home is not None else []),
        ):
            if endpoint not in request.attempts and self._is_usable(now, endpoint):
                candidates[endpoint.entry.endpoint] = endpoint

        def cost(endpoint: Endpoint) -> tuple[float, float]:
            """Return the cost, and a random number that breaks ties."""
            return self._cost(now, endpoint, segments, endpoint is home), self.random.random()

        chosen = min(candidates.values(), key=cost)
        return chosen, list({e.entry.endpoint: e for e in (*sampled, chosen)}.values())

    def _is_usable(self, now: float, endpoint: Endpoint) -> bool:
        """Whether an endpoint is healthy, or may be probed because its ejection has ended."""
        if not endpoint.ejections:
            return True
        return not self.ejector.is_ejected(now, endpoint) and endpoint.in_flight < endpoint.probation_limit

    def _home_endpoint(self, segments: Sequence[PromptSegment]) -> Endpoint | None:
        """Return the home endpoint of a conversation, which is in this zone if `is_zone_local` is set."""
        candidates = {e.entry.endpoint: e for e in self.pool.ready if not self._is_remote(e)}
        name = home_endpoint(segments, candidates.keys(), self.policy.sub_agent_spread)
        return candidates[name] if name is not None else None

    def _is_remote(self, endpoint: Endpoint) -> bool:
        return self.is_zone_local and endpoint.entry.zone != self.settings.zone

    def _endpoints_caching_prefix(self, now: float, segments: Sequence[PromptSegment]) -> list[Endpoint]:
        """Return the usable endpoints that cache the segment closest to the end of the prompt."""
        for segment in reversed(segments):
            names = self.prefix_caches.endpoints_caching(now, segment)
            caching = [self.pool.endpoints[name] for name in names if name in self.pool.endpoints]
            usable = [endpoint for endpoint in caching if self._is_usable(now, endpoint)]
            if usable:
                return usable
        return []

    def _cost(
        self, now: float, endpoint: Endpoint, segments: Sequence[PromptSegment], is_home: bool
    ) -> float:
        """Return the load in full batches, plus the costs of prefill, distance, burden and failures."""
        policy = self.policy
        uncached_tokens = self.prefix_caches.uncached_tokens(now, endpoint.entry.endpoint, segments)
        if is_home:
            # Other sidecars of the zone also send this conversation to its home, which is not tracked here.
            uncached_tokens = min(
                uncached_tokens, sum(s.tokens for s in segments[CONVERSATION_SEGMENT_INDEX + 1 :])
            )
        slots = max(self.slots.get(endpoint.entry.endpoint, 1), 1)
        load = self.occupancy(now, endpoint) / slots
        remote_cost = policy.far_cost if self._is_remote(endpoint) else 0.0
        burden_cost = max(0.0, self.load.multiplier(now, endpoint) - 1) * policy.burden_cost
        failing_cost = (
            policy.failing_cost * self.load.decay(now, endpoint) if endpoint.ejection_score else 0.0
        )
        return load + uncached_tokens / policy.tokens_per_load + remote_cost + burden_cost + failing_cost
