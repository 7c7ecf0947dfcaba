"""Compiles a plan's document into a routing table and checks its windows against the routes."""

from __future__ import annotations

from typing import NamedTuple

from wheatring.daemon.routes.definitions import ClassSource, HeaderMatch, Route, RouteMatch, WeightedPool
from wheatring.daemon.routes.table import RoutingTable
from wheatring.fleet.plan.document import Plan, PlanRoute, PlanWindow
from wheatring.fleet.plan.errors import (
    PlanRoutesClashError,
    PlanUnreadableError,
    PlanWeightsEmptyError,
    PlanWindowsClashError,
    PlanWindowUnknownPoolError,
    PlanWindowUnknownRouteError,
)
from wheatring.fleet.plan.parser import quote


class CompiledRoutes(NamedTuple):
    """A compiled plan; `windows` are grouped by the name of their route, in document order."""

    plan: Plan
    table: RoutingTable
    routes: dict[str, Route]
    windows: dict[str, tuple[PlanWindow, ...]]


def compile_routes(plan: Plan) -> CompiledRoutes:
    """Compile a plan's routes and check its windows against them.

    Raises
    ------
    PlanUnreadableError, PlanWeightsEmptyError, PlanRoutesClashError, PlanWindowsClashError
        A part of the plan is invalid, or two parts conflict.
    PlanWindowUnknownRouteError, PlanWindowUnknownPoolError
        A window refers to a route or a pool that does not exist.
    """
    routes: dict[str, Route] = {}
    for index, route in enumerate(plan.routes):
        if route.name in routes:
            raise PlanRoutesClashError(f"routes[{index}].name: {route.name} is another route's name")
        routes[route.name] = _compile_route(index, route)
    try:
        table = RoutingTable(tuple(routes.values()))
    except ValueError as error:
        if "the same conditions as" in str(error):
            raise PlanRoutesClashError(quote(str(error))) from None
        raise PlanUnreadableError(f"routes: {quote(str(error))}") from None
    return CompiledRoutes(plan, table, routes, _group_windows(plan, routes))


def _compile_route(index: int, route: PlanRoute) -> Route:
    if not any(route.weights.values()):
        raise PlanWeightsEmptyError(f"routes[{index}].weights: route {route.name} has no weight above 0")
    try:
        return Route(
            route.name,
            _compile_match(route),
            tuple(WeightedPool(pool, weight) for pool, weight in sorted(route.weights.items())),
            ClassSource(fixed=route.class_name) if route.class_name else ClassSource(first_part=True),
            route.deadline,
            (),
            route.split_by,
        )
    except ValueError as error:
        raise PlanUnreadableError(f"routes[{index}]: {quote(str(error))}") from None


def _compile_match(route: PlanRoute) -> RouteMatch:
    match = route.match
    headers = tuple(HeaderMatch(header.name, header.exact, header.prefix) for header in match.headers)
    return RouteMatch(match.host, match.path, match.prefix, match.expression, match.methods, headers)


def _group_windows(plan: Plan, routes: dict[str, Route]) -> dict[str, tuple[PlanWindow, ...]]:
    """Return the windows by route; check that names are unique and that routes and pools exist."""
    names: set[str] = set()
    by_route: dict[str, tuple[PlanWindow, ...]] = {}
    for index, window in enumerate(plan.windows):
        where = f"windows[{index}]"
        if window.name in names:
            raise PlanWindowsClashError(f"{where}.name: {window.name} is another window's name")
        names.add(window.name)
        route = routes.get(window.route)
        if route is None:
            raise PlanWindowUnknownRouteError(f"{where}.route: {window.route} is no route of this plan")
        pools = {weighted.pool for weighted in route.pools}
        if unknown := sorted(window.weights.keys() - pools):
            raise PlanWindowUnknownPoolError(f"{where}.weights.{unknown[0]}: no pool of route {route.name}")
        if not any(window.weights.values()):
            raise PlanWeightsEmptyError(f"{where}.weights: window {window.name} has no weight above 0")
        by_route[window.route] = (*by_route.get(window.route, ()), window)
    return by_route
