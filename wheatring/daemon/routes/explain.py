"""Explains the routing of a request to an operator: the chosen route, and why similar routes lost."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from wheatring.daemon.routes.definitions import Route, WeightedPool
from wheatring.daemon.routes.exceptions import InvalidRequestError
from wheatring.daemon.routes.expressions import MAX_PATH_BYTES, ExpressionSet
from wheatring.daemon.routes.match import mismatches, precedence
from wheatring.daemon.routes.split import split_for
from wheatring.daemon.routes.table import Fields, ResolvedRoute, RoutingTable
from wheatring.daemon.routes.target import Target

MAX_LOSING_ROUTES = 10  # listed besides the chosen route

# The criteria of `precedence`, each with the end of its part of the sort key.
_PRECEDENCE_PARTS = ((2, "host is"), (4, "path is"), (5, "methods are"), (9, "headers are"))
_DISTANCES = {"host": 3, "path": 3, "methods": 1, "headers": 1}  # weight of each condition that is not met


@dataclass(frozen=True, slots=True)
class LosingRoute:
    """A route that was not chosen."""

    route: str
    reason: str  # one sentence


@dataclass(frozen=True, slots=True)
class Explanation:
    """How one request is routed. `status` is 0 if a route takes it, else the HTTP status of the answer."""

    status: int
    reason: str  # one sentence
    host: str = ""  # normalized, as is the path
    path: str = ""
    route: str = ""
    pools: tuple[WeightedPool, ...] = ()
    pool: str = ""  # the only possible pool; empty if requests are split by count
    class_name: str = ""  # "" if the request names none
    deadline_seconds: float | None = None  # for a caller that sets none
    limits: tuple[str, ...] = ()
    losing_routes: tuple[LosingRoute, ...] = ()  # the most similar first
    omitted_count: int = 0  # number of losing routes that are not listed

    def text(self) -> str:
        """Return the explanation as lines for a terminal."""
        lines = [self.reason]
        if self.route:
            weights = ", ".join(f"{pool.pool} (weight {pool.weight})" for pool in self.pools)
            seconds = self.deadline_seconds
            deadline = "the caller's" if seconds is None else f"the caller's, else {seconds:g} s"
            lines += [
                f"route     {self.route}",
                f"pool      {self.pool or 'by turns: ' + weights}",
                f"class     {self.class_name or 'none in the request'}",
                f"deadline  {deadline}",
                f"limits    {', '.join(self.limits) or 'none'}",
            ]
        lines += [f"not {losing.route}: {losing.reason}" for losing in self.losing_routes]
        if self.omitted_count:
            lines.append(f"and {self.omitted_count} more that lost")
        return "\n".join(lines) + "\n"


def explain(
    table: RoutingTable, method: str, target: str, host: str = "", headers: Mapping[str, str] | None = None
) -> Explanation:
    """Explain the routing of one request, also of an invalid one, without raising. Texts are Latin-1."""
    try:
        fields = {name.lower().encode(): value.encode("latin-1") for name, value in (headers or {}).items()}
        fields[b"host"] = host.encode("latin-1")
        method_bytes = method.encode("latin-1")
        resolved = table.resolve(method_bytes, target.encode("latin-1"), fields)
        normal = (
            resolved.target if resolved else table.normalize(method_bytes, target.encode("latin-1"), fields)
        )
    except UnicodeEncodeError:
        return Explanation(400, "Turned away: a character that no request may hold.")
    except InvalidRequestError as error:
        return Explanation(400, f"Turned away: {error}.")

    losing, omitted_count = _losing_routes(table, resolved, method_bytes, normal, fields)
    shown = (normal.host.decode(), normal.path.decode())
    if resolved is None:
        return Explanation(
            404, "No route takes it.", *shown, losing_routes=losing, omitted_count=omitted_count
        )
    route = resolved.route
    return Explanation(
        0, f"Route {route.name} takes it.", *shown, route.name, route.pools, _only_pool(route, fields),
        route.class_of(normal.path, fields), route.deadline_seconds, route.limits, losing, omitted_count,
    )  # fmt: skip


def _losing_routes(
    table: RoutingTable, resolved: ResolvedRoute | None, method: bytes, target: Target, fields: Fields
) -> tuple[tuple[LosingRoute, ...], int]:
    """Return the losing routes, the most similar first, and the number of those not listed."""
    losing: list[tuple[int, int, Route, list[str]]] = []
    matched = _matching_expressions(table, target.path)
    for position, route in enumerate(table.routes):
        if resolved is not None and route is resolved.route:
            continue
        is_expression_met = route.match.expression in matched
        unmet = mismatches(route.match, method, target, fields, is_expression_met)
        distance = sum(_DISTANCES[mismatch.condition] for mismatch in unmet)
        losing.append((distance, position, route, [mismatch.reason for mismatch in unmet]))
    losing.sort(key=lambda item: item[:2])
    listed = tuple(
        LosingRoute(route.name, _sentence(reasons) if reasons else _reason_to_lose(resolved, route))
        for _, _, route, reasons in losing[:MAX_LOSING_ROUTES]
    )
    return listed, len(losing) - len(listed)


def _matching_expressions(table: RoutingTable, path: bytes) -> frozenset[str]:
    texts = list(dict.fromkeys(r.match.expression for r in table.routes if r.match.expression))
    if not texts or len(path) > MAX_PATH_BYTES:
        return frozenset()
    # Compiled one by one, as together they may exceed the limit of one host.
    return frozenset(text for text in texts if ExpressionSet([text]).matching(path))


def _only_pool(route: Route, fields: Fields) -> str:
    """Return the pool if the request determines it, else ""."""
    active = [pool.pool for pool in route.pools if pool.weight]
    if len(active) == 1:
        return active[0]
    if route.split_by and fields.get(route.split_by.lower().encode()):
        return split_for(route).pick(fields)
    return ""


def _sentence(clauses: list[str]) -> str:
    text = ", and ".join(clauses)
    return text[0].upper() + text[1:] + "."


def _reason_to_lose(chosen: ResolvedRoute | None, route: Route) -> str:
    """Return why a route that matches as well comes after the chosen one."""
    assert chosen is not None
    first, second = precedence(chosen.route.match), precedence(route.match)
    for end, part in _PRECEDENCE_PARTS:
        if first[:end] != second[:end]:
            return f"It fits too, but {chosen.route.name}'s {part} closer."
    return f"It fits just as well, but {chosen.route.name} comes before it."
