"""Hosts one balancer for each service, fed with what happens on this sidecar's sockets."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from wheatring.balancer import interface as i
from wheatring.balancer.latency_estimate import LatencyEstimate
from wheatring.tier.sidecar.policy import SidecarPolicy
from wheatring.tier.sidecar.prefix_placement import PromptSegment
from wheatring.tier.sidecar.route_table import Route
from wheatring.tier.sidecar.tier_balancer import (
    MAX_ATTEMPTS,
    MIN_LATENCY_SAMPLES,
    TierBalancer,
    are_zones_balanced,
)

MAX_RETRY_AFTER_SECONDS = 1.0
OVERDUE_VALUE = 0.3  # of a response above its latency target, as a part of its value in time


class ListedEndpoint(NamedTuple):
    """One endpoint of a service as the endpoint list has it."""

    entry: i.EndpointEntry
    address: str  # host:port
    slots: int


@dataclass(slots=True)
class BalancedRequest:
    """One request that the balancer decides on."""

    number: int
    route: Route
    prompt_segments: tuple[PromptSegment, ...]
    attempt_count: int = 0
    actions: asyncio.Queue[i.Action] = field(default_factory=asyncio.Queue)


class ServiceBalancer:
    """Hosts the balancer of one service: events in, each request's actions out into its own queue.

    Latencies and time-outs are seconds.
    """

    def __init__(self, zone: str, seed: int, policy: SidecarPolicy) -> None:
        limits = i.Limits(
            max_attempts=MAX_ATTEMPTS, max_retry_after=MAX_RETRY_AFTER_SECONDS, sends_retry_after=True
        )
        settings = i.Settings(
            classes=(i.RequestClass("unknown", 1.0, 1.0, late_value=OVERDUE_VALUE),),
            zone=zone,
            limits=limits,
        )
        self.balancer = TierBalancer(settings, seed, policy)
        self.addresses: dict[str, str] = {}
        self._heads = LatencyEstimate()  # from a send to the head of a stream's response
        self._requests: dict[int, BalancedRequest] = {}
        self._last_number = 0

    @property
    def now(self) -> float:
        """The event loop's clock, in seconds."""
        return asyncio.get_running_loop().time()

    def set_endpoints(self, endpoints: Sequence[ListedEndpoint]) -> None:
        """Take over the service's endpoints as the endpoint list has them now."""
        self.addresses = {each.entry.endpoint: each.address for each in endpoints}
        self.balancer.slots = {each.entry.endpoint: each.slots for each in endpoints}
        # The first list may hold the endpoints of one zone only, so zones are taken from each list anew.
        endpoints_by_zone = Counter(each.entry.zone for each in endpoints)
        is_balanced = are_zones_balanced(endpoints_by_zone, self.balancer.policy)
        self.balancer.pool.zones = tuple(sorted(endpoints_by_zone)) if is_balanced else ()
        self.balancer.is_zone_local = is_balanced
        self._feed(i.View(i.ViewKind.FULL, tuple(each.entry for each in endpoints)))

    def start_request(
        self, route: Route, timeout_seconds: float, segments: tuple[PromptSegment, ...]
    ) -> BalancedRequest:
        """Hand a request to the balancer; its first action is in its queue afterwards."""
        self._last_number += 1
        request = BalancedRequest(self._last_number, route, segments)
        self._requests[request.number] = request
        balancer = self.balancer
        balancer.max_attempts[route.name] = route.max_attempts
        known = balancer.classes.get(route.name)
        is_same = known is not None and (known.latency_target, known.idempotency) == (
            route.latency_target_seconds,
            route.idempotency,
        )
        if not is_same:
            self._set_request_class(route)
        if segments:
            balancer.prompt_segments[request.number] = segments
        self._feed(i.NewRequest(request.number, route.name, timeout_seconds))
        return request

    def _set_request_class(self, route: Route) -> None:
        deadline = max(route.timeout_seconds, route.latency_target_seconds)
        self.balancer.classes[route.name] = i.RequestClass(
            route.name,
            route.latency_target_seconds,
            deadline,
            value=1.0 / (1 + route.priority),
            late_value=OVERDUE_VALUE,
            idempotency=route.idempotency,
            is_streaming=route.is_streaming,
        )
        self.balancer.latencies.setdefault(route.name, LatencyEstimate())

    def head_timeout_seconds(self, route: Route) -> float:
        """Return after how long a silent stream that can be resumed is sent to another endpoint.

        Infinite where a retry would not be granted, or too little is known of the usual latency.
        """
        heads = self._heads
        patience = self.balancer.policy.head_patience
        is_granted = self.balancer.retry_tokens.allows_retry
        if not patience or heads.count < MIN_LATENCY_SAMPLES or not is_granted:
            return inf
        return max(route.latency_target_seconds, heads.mean + patience * heads.deviation)

    def record_head_latency(self, seconds: float) -> None:
        """Count how long after its request the head of a stream's response has come."""
        self._heads.learn(seconds, is_known=True)

    def finish_attempt(
        self, request: BalancedRequest, endpoint: str, outcome: i.Outcome, latency: float, load: float | None
    ) -> None:
        """Report the end of an attempt.

        Unless the request was served, its next action is in its queue afterwards.

        Parameters
        ----------
        request, endpoint, outcome
            The attempt, and how it ended.
        latency
            Since the attempt began.
        load
            Requests at the endpoint, as its response reports; None where it does not.
        """
        report = i.LoadReport(in_flight=load) if load is not None else None
        is_served = outcome is i.Outcome.SERVED
        event = i.AttemptEnded(
            request.number, request.attempt_count - 1, outcome, endpoint, latency, is_served, report
        )
        self._feed(event)

    def record_load(self, endpoint: str, load: float) -> None:
        """Take over the load that an endpoint reports at the head of a response."""
        known = self.balancer.pool.endpoints.get(endpoint)
        if known is not None:
            known.reported_in_flight, known.reported_at = load, self.now

    def finish_request(self, request: BalancedRequest) -> None:
        """Drop a request that has its response, or whose client has gone."""
        self._feed(i.RequestAbandoned(request.number))
        self._requests.pop(request.number, None)
        self.balancer.prompt_segments.pop(request.number, None)

    def _feed(self, event: i.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, i.SetTimer):
                loop = asyncio.get_running_loop()
                loop.call_later(action.delay, self._feed, i.TimerDue(action.token))
            elif isinstance(action, i.Send | i.Reject | i.Fail):
                request = self._requests.get(action.request)
                if request is not None:
                    request.actions.put_nowait(action)
