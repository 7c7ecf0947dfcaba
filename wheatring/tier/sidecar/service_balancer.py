"""Connects the balancer of a service to the event loop and to the requests of this sidecar."""

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
OVERDUE_VALUE = 0.3  # Value of a response above its latency target, relative to a timely one.


class ListedEndpoint(NamedTuple):
    """An endpoint of a service as given in the endpoint list."""

    entry: i.EndpointEntry
    address: str  # host:port
    slots: int


@dataclass(slots=True)
class BalancedRequest:
    """A request that is known to the balancer."""

    number: int
    route: Route
    prompt_segments: tuple[PromptSegment, ...]
    attempt_count: int = 0
    actions: asyncio.Queue[i.Action] = field(default_factory=asyncio.Queue)


class ServiceBalancer:
    """Runs the balancer of one service: reports events to it, and queues its actions for each request.

    Latencies and time-outs are in seconds.
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
        self._head_latency = LatencyEstimate()  # Time from sending a streaming request to its response head.
        self._requests: dict[int, BalancedRequest] = {}
        self._last_number = 0

    @property
    def now(self) -> float:
        """The event loop's clock, in seconds."""
        return asyncio.get_running_loop().time()

    def set_endpoints(self, endpoints: Sequence[ListedEndpoint]) -> None:
        """Replace the service's endpoints by those of a new endpoint list."""
        self.addresses = {listed.entry.endpoint: listed.address for listed in endpoints}
        self.balancer.slots = {listed.entry.endpoint: listed.slots for listed in endpoints}
        # The first list may contain the endpoints of one zone only, so each list determines the zones anew.
        endpoints_by_zone = Counter(listed.entry.zone for listed in endpoints)
        is_balanced = are_zones_balanced(endpoints_by_zone, self.balancer.policy)
        self.balancer.pool.zones = tuple(sorted(endpoints_by_zone)) if is_balanced else ()
        self.balancer.is_zone_local = is_balanced
        self._handle_event(i.View(i.ViewKind.FULL, tuple(listed.entry for listed in endpoints)))

    def start_request(
        self, route: Route, timeout_seconds: float, segments: tuple[PromptSegment, ...]
    ) -> BalancedRequest:
        """Hand a request to the balancer, which queues its first action."""
        self._last_number += 1
        request = BalancedRequest(self._last_number, route, segments)
        self._requests[request.number] = request
        balancer = self.balancer
        balancer.max_attempts[route.name] = route.max_attempts
        request_class = balancer.classes.get(route.name)
        is_unchanged = request_class is not None and (
            request_class.latency_target,
            request_class.idempotency,
        ) == (
            route.latency_target_seconds,
            route.idempotency,
        )
        if not is_unchanged:
            self._set_request_class(route)
        if segments:
            balancer.prompt_segments[request.number] = segments
        self._handle_event(i.NewRequest(request.number, route.name, timeout_seconds))
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
        """Return after how long without a response head a resumable stream is retried at another endpoint.

        Infinite if the retry budget is exhausted, or if the usual latency is not known yet.
        """
        latency = self._head_latency
        max_deviations = self.balancer.policy.head_patience
        is_retry_allowed = self.balancer.retry_tokens.allows_retry
        if not max_deviations or latency.count < MIN_LATENCY_SAMPLES or not is_retry_allowed:
            return inf
        return max(route.latency_target_seconds, latency.mean + max_deviations * latency.deviation)

    def record_head_latency(self, seconds: float) -> None:
        """Record the time from sending a streaming request to its response head."""
        self._head_latency.learn(seconds, is_known=True)

    def finish_attempt(
        self, request: BalancedRequest, endpoint: str, outcome: i.Outcome, latency: float, load: float | None
    ) -> None:
        """Report the end of an attempt.

        Unless the request was served, the balancer then queues its next action.

        Parameters
        ----------
        request, endpoint, outcome
            The request of the attempt, its endpoint, and its outcome.
        latency
            The time since the attempt began.
        load
            The number of requests at the endpoint, as reported by its response; None if not reported.
        """
        report = i.LoadReport(in_flight=load) if load is not None else None
        is_served = outcome is i.Outcome.SERVED
        event = i.AttemptEnded(
            request.number, request.attempt_count - 1, outcome, endpoint, latency, is_served, report
        )
        self._handle_event(event)

    def record_load(self, endpoint: str, load: float) -> None:
        """Record the load that an endpoint reports in a response head."""
        pool_endpoint = self.balancer.pool.endpoints.get(endpoint)
        if pool_endpoint is not None:
            pool_endpoint.reported_in_flight, pool_endpoint.reported_at = load, self.now

    def finish_request(self, request: BalancedRequest) -> None:
        """Remove a request that has been answered or whose client has disconnected."""
        self._handle_event(i.RequestAbandoned(request.number))
        self._requests.pop(request.number, None)
        self.balancer.prompt_segments.pop(request.number, None)

    def _handle_event(self, event: i.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, i.SetTimer):
                loop = asyncio.get_running_loop()
                loop.call_later(action.delay, self._handle_event, i.TimerDue(action.token))
            elif isinstance(action, i.Send | i.Reject | i.Fail):
                request = self._requests.get(action.request)
                if request is not None:
                    request.actions.put_nowait(action)
