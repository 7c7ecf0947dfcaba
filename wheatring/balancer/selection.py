"""Endpoint selection: the less loaded of two random endpoints, after gRFC A6's ordinary path."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from wheatring.balancer.active_request import ActiveRequest
from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.endpoint_load import OVERBURDENED, EndpointLoad
from wheatring.balancer.endpoint_pool import EndpointPool
from wheatring.balancer.outlier_ejection import OutlierEjector
from wheatring.balancer.settings import Idempotency, RepeatScope
from wheatring.balancer.slow_start import SlowStart

KEYED = Idempotency.KEYED  # looked up once, not for each pick: an enum takes its time

REMOTE_ZONE_BURDEN = 2.0  # how much heavier an endpoint of another zone counts


class EndpointSelector:
    """Picks the endpoint for an attempt.

    Two endpoints are drawn from the balancer's subset, with one of another zone where traffic is kept in its
    own; and more, from wider, while none that came up is fit.
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
        """Return the endpoint for a request's next attempt, if one is usable, and all that were drawn."""
        if self.pool.reinstated and not request.attempts:
            reinstated = self.pool.take_reinstated(now)
            if reinstated is not None:
                return reinstated, [reinstated]
        best, least, is_fit, usable = None, 0.0, False, 0
        seen: dict[str, Endpoint] = {}
        for drawn in self._draws(request):
            for endpoint in drawn:
                name = endpoint.entry.endpoint
                if name in seen:
                    continue
                seen[name] = endpoint
                if not self._is_usable(now, endpoint):
                    continue
                burden = self._burden(now, request, endpoint)
                load = burden * (endpoint.in_flight + 1)
                usable += 1
                is_fit |= burden < OVERBURDENED
                if best is None or load < least:
                    best, least = endpoint, load
            if usable > 1 and is_fit:  # with one alone, however burdened, there would be no choice
                break
        return best, list(seen.values())

    def _draws(self, request: ActiveRequest) -> Iterable[list[Endpoint]]:
        """Draw endpoints for a request, from wider each time; the last time all of them, in random order."""
        pool = self.pool
        first = request.first_run_endpoint
        scope = self._repeat_scope(request, first) if first is not None else None
        sources = [pool.local, pool.local, pool.ready, pool.ready] if scope is None else [scope, scope]
        for source in sources:
            yield self._draw(source)
        last = pool.ready if scope is None else scope
        if self.ejector.is_majority_unhealthy():
            yield self._draw(last)
        else:  # draws would miss the few that are not ejected
            yield self.random.sample(last, len(last))

    def _repeat_scope(self, request: ActiveRequest, first: Endpoint) -> list[Endpoint] | None:
        """Return the endpoints that drop repeats of what may have run at `first`; None: it may go to any."""
        request_class = request.request_class
        if request_class.idempotency is not KEYED:
            return None
        scope = request_class.repeat_scope
        if scope is RepeatScope.ALL:
            return None
        if scope is RepeatScope.ZONE:
            return [each for each in self.pool.ready if each.entry.zone == first.entry.zone]
        return [each for each in self.pool.ready if each.entry.cell == first.entry.cell]

    def _draw(self, source: list[Endpoint]) -> list[Endpoint]:
        size, random = len(source), self.random.random
        drawn = [source[int(random() * size)], source[int(random() * size)]] if size else []
        remote = self.pool.remote
        if remote and source is self.pool.local:
            drawn.append(remote[int(random() * len(remote))])
        return drawn

    def _is_usable(self, now: float, endpoint: Endpoint) -> bool:
        """Whether an endpoint may get an attempt now, by its turn of the slow start and its health."""
        slow_start = self.slow_start
        is_early = slow_start.turn < endpoint.next_turn or endpoint.entry.endpoint not in self.pool.subset
        if is_early and slow_start.capacity(now, endpoint) < 1:
            return False
        return not endpoint.ejections or self.ejector.is_available(now, endpoint)

    def _burden(self, now: float, request: ActiveRequest, endpoint: Endpoint) -> float:
        burden = self.load.burden(now, endpoint)
        if self.pool.remote and endpoint.entry.zone != self.zone:
            burden *= REMOTE_ZONE_BURDEN
        if endpoint in request.attempts:
            burden *= OVERBURDENED
        return burden
