"""Sends each request to the pool of its route, by the routes in force.

The callers' exchange (the *front*) stays one: identifiers, deadlines and final answers are its own. What it
reports of a request goes to the driver of that request's pool, which is chosen once, when the request is
made, and never again: so a retry stays in its pool.
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

LOG_INTERVAL_SECONDS = 1.0  # between two log lines on requests rejected for one reason


class RequestRouter:
    """The routes in force, and the weights by which each chooses among its pools."""

    def __init__(self, clock: Clock, front: Exchange) -> None:
        self.clock = clock
        self.pools: dict[str, RoutedPool] = {}
        self.routes: dict[str, ActiveRoute] = {}
        self.table = RoutingTable(())
        self.rejections: dict[str, tuple[float, int]] = {}  # by reason: when to log next, how many since
        front.on_request = lambda request: pool_of(request).driver.add_request(request)
        front.on_caller_left = lambda request: pool_of(request).driver.report_caller_disconnected(request)
        front.on_committed = lambda request: pool_of(request).driver.report_committed(request)
        front.on_attempt_ended = self.on_attempt_ended

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Report the end of an attempt to the driver of its request's pool."""
        pool_of(attempt.request).driver.report_attempt_ended(attempt)

    def route(self, message: Message) -> ActiveRoute:
        """Return the route of a request.

        Raises
        ------
        RequestRejected
            No route matches it, or its target can be read in more than one way.
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
        """Log one line a reason and second, with the number: callers must not fill the log."""
        now = self.clock.now()
        due, count = self.rejections.get(why, (now, 0))
        count += 1
        if now >= due:
            log.line("not-routed", status=status, why=why, count=count)
            due, count = now + LOG_INTERVAL_SECONDS, 0
        self.rejections[why] = due, count

    def replace(self, routes: list[Route], pools: dict[str, RoutedPool]) -> None:
        """Put other routes and pools in force at once; shares that are still due to the pools are kept."""
        active = {route.name: ActiveRoute(route, pools) for route in routes}
        for name, new in active.items():
            old = self.routes.get(name)
            if old is not None and old.route.split_by == new.route.split_by:
                old.split.update_weights(new.route.pools)
                new.split = old.split
        table = RoutingTable(routes)
        self.pools, self.routes, self.table = pools, active, table

    def change_weights(self, name: str, weights: Mapping[str, int]) -> None:
        """Go by these weights of a route from its next request on, until another change or file.

        Raises
        ------
        UnknownRouteError, UnknownPoolError, BadWeightsError
            Nothing is changed.
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
        """Change weights by the fleet's plan, whose routes and pools the file may lack: this is logged."""
        try:
            self.change_weights(name, weights)
        except OperatorError as error:
            log.line("plan-weights", route=name, code=error.code, why=error.what)


def pool_of(request: Request) -> RoutedPool:
    """Return the pool of a request that came by a route."""
    assert isinstance(request, RoutedRequest)
    return request.pool
