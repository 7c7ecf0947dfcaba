"""Builds routes from the configuration file's tables, for `check` and a start alike."""

from __future__ import annotations

from wheatring.daemon.config.project_file import InvalidKey, ProjectFile, RouteTable
from wheatring.daemon.routes.definitions import ClassSource, HeaderMatch, Route, RouteMatch, WeightedPool
from wheatring.daemon.routes.split import split_for
from wheatring.daemon.routes.table import RoutingTable


def route_from(name: str, table: RouteTable) -> Route:
    """Build a route from its table.

    Raises
    ------
    ValueError
        The table is invalid; the text begins with the route and the field.
    """
    match = RouteMatch(
        table.host, table.path, table.prefix, table.expression, table.methods,
        tuple([HeaderMatch(header.name, header.exact, header.prefix) for header in table.headers]),
    )  # fmt: skip
    pools = tuple([WeightedPool(pool, weight) for pool, weight in table.weights.items()])
    source = ClassSource(fixed=table.class_name) if table.class_name else ClassSource(first_part=True)
    return Route(name, match, pools, source, table.deadline, split_by=table.split_by)


def first_invalid_key(configuration: ProjectFile) -> InvalidKey | None:
    """Return the first invalid key with its reason: checks each route by itself, then all together."""
    routes = []
    for name, table in configuration.route.items():
        try:
            routes.append(route_from(name, table))
            split_for(routes[-1])
            RoutingTable(routes[-1:])
        except ValueError as error:
            return _key_and_reason(name, table, str(error))
    try:
        RoutingTable(routes)
    except ValueError as error:
        return InvalidKey("route", str(error).removeprefix("route "))
    return None


def _key_and_reason(name: str, table: RouteTable, text: str) -> InvalidKey:
    field, colon, reason = text.removeprefix(f"route {name}: ").partition(": ")
    field = {"fixed": "class_name"}.get(field, field)
    if colon and field in type(table).__struct_fields__:
        return InvalidKey(f"route.{name}.{field}", reason)
    return InvalidKey(f"route.{name}", text.removeprefix(f"route {name}: "))
