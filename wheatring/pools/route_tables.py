"""The file's routes as the table of routes takes them. Guards that `check` and a start take the same."""

from __future__ import annotations

from wheatring.config.file import File, RouteTable, Wrong
from wheatring.routes.split import split
from wheatring.routes.table import Table
from wheatring.routes.words import ClassFrom, Header, Match, Route, Weighted


def route_from(name: str, told: RouteTable) -> Route:
    """ValueError, beginning with the route and the field, for one that can't be meant."""
    match = Match(
        told.host, told.path, told.prefix, told.expression, told.methods,
        tuple([Header(one.name, one.exact, one.prefix) for one in told.headers]),
    )  # fmt: skip
    pools = tuple([Weighted(pool, weight) for pool, weight in told.weights.items()])
    source = ClassFrom(fixed=told.class_name) if told.class_name else ClassFrom(first_part=True)
    return Route(name, match, pools, source, told.deadline, split_by=told.split_by)


def first_invalid_key(said: File) -> Wrong | None:
    """The first key of the routes that is not taken, and why: each by itself, then all together."""
    made = []
    for name, told in said.route.items():
        try:
            made.append(route_from(name, told))
            split(made[-1])
            Table(made[-1:])
        except ValueError as bad:
            return _key(name, told, str(bad))
    try:
        Table(made)
    except ValueError as bad:
        return "route", str(bad).removeprefix("route ")
    return None


def _key(name: str, told: RouteTable, why: str) -> Wrong:
    field, colon, what = why.removeprefix(f"route {name}: ").partition(": ")
    field = {"fixed": "class_name"}.get(field, field)
    if colon and field in type(told).__struct_fields__:
        return f"route.{name}.{field}", what
    return f"route.{name}", why.removeprefix(f"route {name}: ")
