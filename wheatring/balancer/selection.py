"""Endpoint selection by the power of two choices: the less loaded of two random endpoints."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from wheatring.balancer.active_request import ActiveRequest
from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.endpoint_load import MAX_ACCEPTABLE_MULTIPLIER, EndpointLoad
from wheatring.balancer.endpoint_pool import EndpointPool
from wheatring.balancer.outlier_ejection import OutlierEjector
from wheatring.balancer.settings import Idempotency, RepeatScope
from wheatring.balancer.slow_start import SlowStart

KEYED = Idempotency.KEYED  # bound once: enum attribute access is slow

REMOTE_ZONE_MULTIPLIER = 2.0  # Factor on the load of endpoints in other zones.


class EndpointSelector:
    """Picks the endpoint for an attempt.

    Two endpoints are drawn from the balancer's subset, and a third one from all zones if the subset is
    confined to the balancer's own zone. More are drawn, from a larger set, while there is no acceptable
    choice.
    """

    def __init__(
        self,
        zone: str,
        random: Random,
        pool: EndpointPool,
        slow_start: SlowStart,
        ejector: OutlierEjector,
        load: EndpointLoad,
    ) -> None:
        self.zone = zone
        self.random = random
        self.pool = pool
        self.slow_start = slow_start
        self.ejector = ejector
        self.load = load

    def pick(self, now: float, request: ActiveRequest) -> tuple[Endpoint | None, list[Endpoint]]:
        """Return the endpoint for the next attempt, or None if none is usable, and all endpoints drawn."""
        if self.pool.reinstated and not request.attempts:
            reinstated = self.pool.take_reinstated(now)
            if reinstated is not None:
                return reinstated, [reinstated]
        best, least_load, is_acceptable, usable = None, 0.0, False, 0
        seen: dict[str, Endpoint] = {}
        for drawn in self._draw_batches(request):
            for endpoint in drawn:
                name = endpoint.entry.endpoint
                if name in seen:
                    continue
                seen[name] = endpoint
                if not self._is_usable(now, endpoint):
                    continue
                multiplier = self._load_multiplier(now, request, endpoint)
                load = multiplier * (endpoint.in_flight + 1)
                usable += 1
                is_acceptable |= multiplier < MAX_ACCEPTABLE_MULTIPLIER
                if best is None or load < least_load:
                    best, least_load = endpoint, load
            if usable > 1 and is_acceptable:  # One usable endpoint alone would be picked whatever its load.
                break
        return best, list(seen.values())

    def _draw_batches(self, request: ActiveRequest) -> Iterable[list[Endpoint]]:
        """Draw batches of endpoints from successively larger sets; the last one is drawn from all of them."""
        pool = self.pool
        first = request.first_run_endpoint
        scope = self._repeat_scope(request, first) if first is not None else None
        sources = [pool.local, pool.local, pool.ready, pool.ready] if scope is None else [scope, scope]
        for source in sources:
            yield self._draw(source)
        last = pool.ready if scope is None else scope
        if self.ejector.is_majority_unhealthy():
            yield self._draw(last)
        else:  # Two draws could miss the few endpoints that are not ejected.
            yield self.random.sample(last, len(last))

    def _repeat_scope(self, request: ActiveRequest, first: Endpoint) -> list[Endpoint] | None:
        """Return the endpoints that drop a repeat of a request sent to `first`; None if it may go to any."""
        request_class = request.request_class
        if request_class.idempotency is not KEYED:
            return None
        scope = request_class.repeat_scope
        if scope is RepeatScope.ALL:
            return None
        if scope is RepeatScope.ZONE:
            return [endpoint for endpoint in self.pool.ready if endpoint.entry.zone == first.entry.zone]
        return [endpoint for endpoint in self.pool.ready if endpoint.entry.cell == first.entry.cell]

    def _draw(self, source: list[Endpoint]) -> list[Endpoint]:
        size, random = len(source), self.random.random
        drawn = [source[int(random() * size)], source[int(random() * size)]] if size else []
        remote = self.pool.remote
        if remote and source is self.pool.local:
            drawn.append(remote[int(random() * len(remote))])
        return drawn

    def _is_usable(self, now: float, endpoint: Endpoint) -> bool:
        """Whether the slow start and the health of an endpoint allow an attempt now."""
        slow_start = self.slow_start
        is_early = (
            slow_start.current_slot < endpoint.next_slot or endpoint.entry.endpoint not in self.pool.subset
        )
        if is_early and slow_start.capacity(now, endpoint) < 1:
            return False
        return not endpoint.ejections or self.ejector.is_available(now, endpoint)

    def _load_multiplier(self, now: float, request: ActiveRequest, endpoint: Endpoint) -> float:
        multiplier = self.load.multiplier(now, endpoint)
        if self.pool.remote and endpoint.entry.zone != self.zone:
            multiplier *= REMOTE_ZONE_MULTIPLIER
        if endpoint in request.attempts:
            multiplier *= MAX_ACCEPTABLE_MULTIPLIER
        return multiplier
