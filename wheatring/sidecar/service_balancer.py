"""The decision module in the tier: one balancer for each service, fed with what happens on this sidecar's
sockets.

The retry policy is the module's own (gRFC A6). What the tier adds: the attempt limit of the route, admission
by the places that endpoints say they have, and, for endpoints that run a model, the prefix that they have
cached.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from math import inf

from wheatring.balancer import interface as i
from wheatring.balancer.active_request import ActiveRequest
from wheatring.balancer.balancer import Balancer
from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.latency_estimate import LatencyEstimate
from wheatring.sidecar.policy import SidecarPolicy
from wheatring.sidecar.prefix_placement import (
    CONVERSATION_SEGMENT,
    PrefixCacheTracker,
    PromptSegment,
    home_endpoint,
)
from wheatring.sidecar.route_table import Route

MAX_RETRY_AFTER_SECONDS = 1.0  # seconds
LOAD_REPORT_TTL_SECONDS = 1.0  # for which an endpoint's word of its load counts
MAX_ATTEMPTS = 5
MIN_LATENCY_SAMPLES = 12  # of a route, from which what is usual on it is known


@dataclass(slots=True)
class BalancedRequest:
    """One request under the decisions of one service."""

    number: int
    route: Route
    prompt_segments: tuple[PromptSegment, ...]
    attempt_count: int = 0
    actions: asyncio.Queue[i.Action] = field(default_factory=asyncio.Queue)


def are_zones_balanced(endpoints_by_zone: Mapping[str, int], policy: SidecarPolicy) -> bool:
    """Whether every zone can carry its own traffic: no zone has far less than its share of the endpoints."""
    least = min(endpoints_by_zone.values(), default=0)
    share = sum(endpoints_by_zone.values()) / max(len(endpoints_by_zone), 1)
    return least >= policy.least_in_zone and least >= policy.least_zone_share * share


class TierBalancer(Balancer):
    """The decision module with the tier's limits."""

    def __init__(self, settings: i.Settings, seed: int, policy: SidecarPolicy) -> None:
        super().__init__(settings, seed)
        self.policy = policy
        self.max_attempts: dict[str, int] = {}  # by route
        self.slots: dict[str, int] = {}  # by endpoint
        self.prompt_segments: dict[int, tuple[PromptSegment, ...]] = {}  # by request
        self.prefix_caches = PrefixCacheTracker(policy.prefix_seconds)
        self.is_zone_local = False  # so that prompts stay in their zone

    def may_retry(self, now: float, request: ActiveRequest, outcome: i.Outcome) -> bool:
        """The attempt limit is the route's."""
        if len(request.attempts) >= self.max_attempts.get(request.request_class.name, MAX_ATTEMPTS):
            return False
        return super().may_retry(now, request, outcome)

    def is_latency_known(self, now: float, request_class: i.RequestClass) -> bool:
        """Routes come and go while a sidecar runs, so what is usual is known for each by its own answers."""
        norm = self.latencies.get(request_class.name)
        return norm is not None and norm.count >= MIN_LATENCY_SAMPLES

    def judge(self, now: float, endpoint: Endpoint, outcome: i.Outcome) -> None:
        """Only failures have an endpoint left alone. How long an answer takes follows from its length here,
        and counts in the burden alone.
        """
        slow, endpoint.excess_latency = endpoint.excess_latency, 0.0
        super().judge(now, endpoint, outcome)
        if endpoint.outcomes:
            endpoint.excess_latency = slow

    def admits(self, now: float, request: ActiveRequest) -> bool:
        """Nothing is refused while an endpoint has a free place."""
        return super().admits(now, request) or any(
            self.occupancy(now, endpoint) < self.slots.get(endpoint.entry.endpoint, 0)
            for endpoint in self.pool.ready
        )

    def occupancy(self, now: float, endpoint: Endpoint) -> float:
        """Requests at an endpoint, by its own word while that is new and by this sidecar's own otherwise."""
        if endpoint.reported_at and now - endpoint.reported_at < LOAD_REPORT_TTL_SECONDS:
            return max(endpoint.reported_in_flight, endpoint.in_flight)
        return endpoint.in_flight

    def pick(self, now: float, request: ActiveRequest) -> tuple[Endpoint | None, list[Endpoint]]:
        """The lighter of a few, to which those are added that hold the longest part of the prompt, and the
        one where its line is at home.
        """
        best, drawn = super().pick(now, request)
        parts = self.prompt_segments.get(request.request_id)
        if best is None or not parts or len(self.pool.ready) < 2:
            return best, drawn
        home = self._home(parts) if self.policy.prompt_homes else None
        candidates = {best.entry.endpoint: best}
        for endpoint in (*self._holders(now, parts), *([home] if home is not None else [])):
            if endpoint not in request.attempts and self._usable(now, endpoint):
                candidates[endpoint.entry.endpoint] = endpoint

        def cost(endpoint: Endpoint) -> tuple[float, float]:
            return self._cost(now, endpoint, parts, endpoint is home), self.random.random()

        chosen = min(candidates.values(), key=cost)
        return chosen, list({e.entry.endpoint: e for e in (*drawn, chosen)}.values())

    def _usable(self, now: float, endpoint: Endpoint) -> bool:
        """Whether an endpoint is well, or is due to be tried again."""
        if not endpoint.ejections:
            return True
        return not self.ejector.is_ejected(now, endpoint) and endpoint.in_flight < endpoint.probation_limit

    def _home(self, parts: Sequence[PromptSegment]) -> Endpoint | None:
        """Where a line of turns is at home: in this zone, where zones carry themselves."""
        pool = {e.entry.endpoint: e for e in self.pool.ready if not self._is_far(e)}
        name = home_endpoint(parts, pool.keys(), self.policy.sub_agent_spread)
        return pool[name] if name is not None else None

    def _is_far(self, endpoint: Endpoint) -> bool:
        return self.is_zone_local and endpoint.entry.zone != self.settings.zone

    def _holders(self, now: float, parts: Sequence[PromptSegment]) -> list[Endpoint]:
        """Endpoints that hold the last part of a prompt that anyone is known to hold."""
        for part in reversed(parts):
            known = self.prefix_caches.endpoints_caching(now, part)
            found = [self.pool.endpoints[name] for name in known if name in self.pool.endpoints]
            usable = [endpoint for endpoint in found if self._usable(now, endpoint)]
            if usable:
                return usable
        return []

    def _cost(self, now: float, endpoint: Endpoint, parts: Sequence[PromptSegment], is_home: bool) -> float:
        """Load in requests, with what has to be read of the prompt counted as load too."""
        policy = self.policy
        missing = self.prefix_caches.uncached_tokens(now, endpoint.entry.endpoint, parts)
        if is_home:
            missing = min(missing, sum(part.tokens for part in parts[CONVERSATION_SEGMENT + 1 :]))
        slots = max(self.slots.get(endpoint.entry.endpoint, 1), 1)
        load = self.occupancy(now, endpoint) / slots
        far = policy.far_cost if self._is_far(endpoint) else 0.0
        burden = max(0.0, self.load.burden(now, endpoint) - 1) * policy.burden_cost
        failing = policy.failing_cost * self.load.decay(now, endpoint) if endpoint.evidence else 0.0
        return load + missing / policy.tokens_per_load + far + burden + failing


class ServiceBalancer:
    """Hosts the balancer of one service: events in, each request's actions out into its own queue."""

    def __init__(self, zone: str, seed: int, policy: SidecarPolicy) -> None:
        limits = i.Limits(
            max_attempts=MAX_ATTEMPTS, max_retry_after=MAX_RETRY_AFTER_SECONDS, sends_retry_after=True
        )
        settings = i.Settings(
            classes=(i.RequestClass("unknown", 1.0, 1.0, late_value=0.3),),
            zone=zone,
            limits=limits,
        )
        self.balancer = TierBalancer(settings, seed, policy)
        self.addresses: dict[str, str] = {}
        self._heads = LatencyEstimate()  # time from a send to the head of a stream's answer
        self._calls: dict[int, BalancedRequest] = {}
        self._last = 0

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def set_endpoints(self, entries: Sequence[tuple[i.EndpointEntry, str, int]]) -> None:
        """The service's endpoints, with address and slots, as the list has them now."""
        self.addresses = {entry.endpoint: address for entry, address, _ in entries}
        self.balancer.slots = {entry.endpoint: slots for entry, _, slots in entries}
        # The first list may hold the endpoints of one zone only, so zones are taken from each list anew.
        by_zone = Counter(entry.zone for entry, _, _ in entries)
        even = are_zones_balanced(by_zone, self.balancer.policy)
        zones = tuple(sorted(by_zone)) if even else ()
        self.balancer.pool.zones = zones
        self.balancer.is_zone_local = even
        self._feed(i.View(i.ViewKind.FULL, tuple(entry for entry, _, _ in entries)))

    def start_request(
        self, route: Route, timeout_seconds: float, parts: tuple[PromptSegment, ...]
    ) -> BalancedRequest:
        """A request comes under the decisions; its first step is in its queue afterwards."""
        self._last += 1
        call = BalancedRequest(self._last, route, parts)
        self._calls[call.number] = call
        balancer = self.balancer
        balancer.max_attempts[route.name] = route.max_attempts
        known = balancer.classes.get(route.name)
        if (
            known is None
            or known.latency_target != route.latency_target_seconds
            or known.idempotency is not route.effect
        ):
            self._learn_class(route)
        if parts:
            balancer.prompt_segments[call.number] = parts
        self._feed(i.NewRequest(call.number, route.name, timeout_seconds))
        return call

    def _learn_class(self, route: Route) -> None:
        worth = 1.0 / (1 + route.priority)
        deadline = max(route.timeout_seconds, route.latency_target_seconds)
        cls = i.RequestClass(
            route.name,
            route.latency_target_seconds,
            deadline,
            value=worth,
            late_value=0.3,
            idempotency=route.effect,
            is_streaming=route.is_streaming,
        )
        self.balancer.classes[route.name] = cls
        self.balancer.latencies.setdefault(route.name, LatencyEstimate())

    def head_timeout_seconds(self, route: Route) -> float:
        """Seconds after which a stream that can be resumed is tried elsewhere, if nothing has come of it.

        Without end where a retry would not be granted, or too little is known of what is usual.
        """
        heads = self._heads
        granted = self.balancer.retry_tokens.allows_retry
        if not self.balancer.policy.head_patience or heads.count < MIN_LATENCY_SAMPLES or not granted:
            return inf
        return max(
            route.latency_target_seconds, heads.mean + self.balancer.policy.head_patience * heads.deviation
        )

    def record_head_latency(self, seconds: float) -> None:
        """The head of a stream's answer has come so long after its request was sent."""
        self._heads.learn(seconds, is_known=True)

    def finish_attempt(
        self, call: BalancedRequest, endpoint: str, outcome: i.Outcome, latency: float, load: float | None
    ) -> None:
        """An attempt has ended; unless the request was served, its next step is in its queue afterwards."""
        report = i.LoadReport(in_flight=load) if load is not None else None
        served = outcome is i.Outcome.SERVED
        event = i.AttemptEnded(
            call.number, call.attempt_count - 1, outcome, endpoint, latency, served, report
        )
        self._feed(event)

    def record_load(self, endpoint: str, load: float) -> None:
        """An endpoint tells its load at the head of an answer that goes on."""
        known = self.balancer.pool.endpoints.get(endpoint)
        if known is not None:
            known.reported_in_flight, known.reported_at = load, self.now

    def finish_request(self, call: BalancedRequest) -> None:
        """The request has its answer, or its client has gone."""
        self._feed(i.RequestAbandoned(call.number))
        self._calls.pop(call.number, None)
        self.balancer.prompt_segments.pop(call.number, None)

    def _feed(self, event: i.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, i.SetTimer):
                loop = asyncio.get_running_loop()
                loop.call_later(action.delay, self._feed, i.TimerDue(action.token))
            elif isinstance(action, i.Send | i.Reject | i.Fail):
                call = self._calls.get(action.request)
                if call is not None:
                    call.actions.put_nowait(action)
