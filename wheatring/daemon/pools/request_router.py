"""Dispatches each request to a pool of its route, by the routes in force.

All pools share the callers' exchange, which owns identifiers, deadlines and final answers. Its callbacks
for a request go to the driver of that request's pool. The pool is chosen once, when the request is created,
so a retry stays in its pool.
"""

from __future__ import annotations

from collections.abc import Mapping

from wheatring.common import log
from wheatring.common.errors import OperatorError
from wheatring.common.http_parser import Message
from wheatring.daemon.core.clock import Clock
from wheatring.daemon.core.exceptions import RequestRejectedError
from wheatring.daemon.core.exchange import Attempt, Exchange, Request
from wheatring.daemon.pools.active_route import ActiveRoute, RoutedRequest
from wheatring.daemon.pools.exceptions import BadWeightsError, UnknownPoolError, UnknownRouteError
from wheatring.daemon.pools.routed_pool import RoutedPool
from wheatring.daemon.routes.definitions import Route, WeightedPool
from wheatring.daemon.routes.exceptions import InvalidRequestError
from wheatring.daemon.routes.table import RoutingTable

LOG_INTERVAL_SECONDS = 1.0  # between two log lines on requests rejected for the same reason


class RequestRouter:
    """The routes in force, each with its weights for the choice of a pool."""

    def __init__(self, clock: Clock, exchange: Exchange) -> None:
        self.clock = clock
        self.pools: dict[str, RoutedPool] = {}
        self.routes: dict[str, ActiveRoute] = {}
        self.table = RoutingTable(())
        self.rejections: dict[str, tuple[float, int]] = {}  # by reason: next log instant, count
        exchange.on_request = lambda request: pool_of(request).driver.add_request(request)
        exchange.on_caller_disconnected = lambda request: pool_of(request).driver.report_caller_disconnected(
            request
        )
        exchange.on_committed = lambda request: pool_of(request).driver.report_committed(request)
        exchange.on_attempt_ended = self.on_attempt_ended

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Report the end of an attempt to the driver of its request's pool."""
        pool_of(attempt.request).driver.report_attempt_ended(attempt)

    def route(self, message: Message) -> ActiveRoute:
        """Return the route of a request.

        Raises
        ------
        RequestRejectedError
            No route matches it, or its target is ambiguous.
        """
        method, target = message.start_line
        try:
            match = self.table.resolve(method, target, message.fields, message.repeated_fields)
        except InvalidRequestError as error:
            self._log_rejection(400, str(error))
            raise RequestRejectedError(400, str(error)) from None
        if match is None:
            self._log_rejection(404, "no route")
            raise RequestRejectedError(404, "route")
        return self.routes[match.route.name]

    def _log_rejection(self, status: int, why: str) -> None:
        """Log at most one line per reason and second, with a count, so that callers can't flood the log."""
        now = self.clock.now()
        next_log_at, count = self.rejections.get(why, (now, 0))
        count += 1
        if now >= next_log_at:
            log.line("not-routed", status=status, why=why, count=count)
            next_log_at, count = now + LOG_INTERVAL_SECONDS, 0
        self.rejections[why] = next_log_at, count

    def replace(self, routes: list[Route], pools: dict[str, RoutedPool]) -> None:
        """Replace routes and pools atomically; the deficits of the traffic splits are kept."""
        active = {route.name: ActiveRoute(route, pools) for route in routes}
        for name, new in active.items():
            old = self.routes.get(name)
            if old is not None and old.route.split_by == new.route.split_by:
                old.split.update_weights(new.route.pools)
                new.split = old.split
        table = RoutingTable(routes)
        self.pools, self.routes, self.table = pools, active, table

    def change_weights(self, name: str, weights: Mapping[str, int]) -> None:
        """Set the weights of a route from its next request on, until another change or a reload.

        Raises
        ------
        UnknownRouteError, UnknownPoolError, BadWeightsError
            The change is rejected and has no effect.
        """
        route = self.routes.get(name)
        if route is None:
            raise UnknownRouteError(f"no route {name!r} is in force")
        unknown = [pool for pool in weights if pool not in self.pools]
        if unknown:
            raise UnknownPoolError(f"route {name}: no pool {unknown[0]!r} is in force")
        try:
            route.split.update_weights([WeightedPool(pool, weight) for pool, weight in weights.items()])
        except ValueError as error:
            raise BadWeightsError(f"route {name}: {error}") from None
        log.line("weights", route=name, **{f"pool_{pool}": weight for pool, weight in weights.items()})

    def apply_plan_weights(self, name: str, weights: Mapping[str, int]) -> None:
        """Apply weights of the fleet's plan; a route or pool that the file lacks is logged and skipped."""
        try:
            self.change_weights(name, weights)
        except OperatorError as error:
            log.line("plan-weights", route=name, code=error.code, why=error.what)


def pool_of(request: Request) -> RoutedPool:
    """Return the pool of a routed request."""
    assert isinstance(request, RoutedRequest)
    return request.pool
