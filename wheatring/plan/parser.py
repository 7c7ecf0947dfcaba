"""From a body to a plan, strictly, and from a plan to routes that can stand together.

Guards that nothing half understood is ever offered: each refusal is one line that names the key. Formats only
add keys so far, so one reader reads all of them and holds each to its own keys; a body that was written as
format 1 reads for ever. Expressions of calendars and zones are judged where they are used (`schedule/`).
"""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from wheatring.lease.bodies import LARGEST
from wheatring.plan.document import NEWEST_FORMAT, OLDEST_FORMAT, Plan, PlanRoute, PlanWindow, Weight
from wheatring.plan.errors import (
    PlanFormatTooLowError,
    PlanFormatUnknownError,
    PlanRoutesClashError,
    PlanTooLargeError,
    PlanUnreadableError,
    PlanWeightsEmptyError,
    PlanWindowsClashError,
    PlanWindowUnknownPoolError,
    PlanWindowUnknownRouteError,
)
from wheatring.routes.table import Table
from wheatring.routes.words import ClassFrom, Header, Match, Route, Weighted

MAX_QUOTED_CHARACTERS = 200  # characters of what a document says that are repeated in an error


class _Head(Struct):
    """What tells by which format the rest is read."""

    format: int


class _Twice(ValueError):
    pass


class CompiledRoutes(NamedTuple):
    """A plan as it is gone by. `windows` by the name of their route, in the order of the document."""

    plan: Plan
    table: Table
    routes: dict[str, Route]
    windows: dict[str, tuple[PlanWindow, ...]]


_head: msgspec.json.Decoder[_Head] = msgspec.json.Decoder(_Head)
_plan: msgspec.json.Decoder[Plan] = msgspec.json.Decoder(Plan)


def encode_plan(plan: Plan) -> bytes:
    """The body of a plan: keys in the order of the words, pools by their names, defaults left out."""
    return msgspec.json.encode(plan, order="deterministic")


def parse_plan(body: bytes) -> Plan:
    """The document that a body (JSON, UTF-8) spells. Raises PlanTooLarge, PlanUnreadable, PlanFormatUnknown
    or PlanFormatTooLow.
    """
    if len(body) > LARGEST:
        raise PlanTooLargeError(f"{len(body)} bytes, {LARGEST} at most")
    try:
        found = _head.decode(body)
        if not OLDEST_FORMAT <= found.format <= NEWEST_FORMAT:
            raise PlanFormatUnknownError(
                f"format: {found.format}, and this program reads {OLDEST_FORMAT} to {NEWEST_FORMAT}"
            )
        plan = _plan.decode(body)
        json.loads(body, object_pairs_hook=_once)
    except msgspec.ValidationError as bad:
        raise PlanUnreadableError(_said(body, str(bad))) from None
    except _Twice as bad:
        raise PlanUnreadableError(f"{_short(str(bad))}: a key that stands twice in one object") from None
    except (ValueError, RecursionError) as bad:
        raise PlanUnreadableError(f"not JSON: {_short(str(bad))}") from None
    needs, key = _needed(plan)
    if needs > plan.format:
        raise PlanFormatTooLowError(f"{key}: is of format {needs}, and the plan says format {plan.format}")
    return plan


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, value in pairs:
        if key in found:
            raise _Twice(key)
        found[key] = value
    return found


def _short(text: str) -> str:
    """On one line, and no longer than an error may be."""
    text = text if text.isprintable() else repr(text)
    return text if len(text) <= MAX_QUOTED_CHARACTERS else f"{text[:MAX_QUOTED_CHARACTERS]}..."


def _needed(plan: Plan) -> tuple[int, str]:
    """The lowest format that has all keys of a plan, and the first key that needs it."""
    for number, route in enumerate(plan.routes):
        if route.split_by:
            return 3, f"routes[{number}].split_by"
    for number, window in enumerate(plan.windows):
        if window.ramp is not None:
            return 3, f"windows[{number}].ramp"
    return (2, "windows") if plan.windows else (1, "format")


def _said(body: bytes, why: str) -> str:
    """One line on what msgspec found, with the key. Those of dicts it does not name: they are looked for."""
    what, _, path = why.partition(" - at `")
    key_of = path.startswith("key` in ")
    path = path.removeprefix("key` in `").rstrip("`").removeprefix("$").lstrip(".")
    if key_of:
        what = f"a key in it: {what}"
    elif path.endswith("[...]"):
        path, what = _inside(msgspec.json.decode(body), path.removesuffix("[...]"), what)
    if unknown := re.fullmatch(r"Object contains unknown field `(.*)`", what, re.DOTALL):
        return f"{_short(f'{path}.{unknown[1]}'.lstrip('.'))}: not a key"
    return f"{_short(path or 'the document')}: {_short(what[:1].lower() + what[1:])}"


def _inside(value: Any, path: str, what: str) -> tuple[str, str]:
    """Which value of the dict at that path is the wrong one."""
    for step in re.findall(r"[^.\[\]]+", path):
        value = value[int(step)] if isinstance(value, list) else value[step]
    kind: Any = str if path.endswith("headers") else Weight
    for name, one in value.items():
        try:
            msgspec.convert(one, kind)
        except msgspec.ValidationError as bad:
            return f"{path}.{name}", str(bad)
    return path, what


def _match(route: PlanRoute) -> Match:
    said = route.match
    headers = tuple(Header(header.name, header.exact, header.prefix) for header in said.headers)
    return Match(said.host, said.path, said.prefix, said.expression, said.methods, headers)


def _route(number: int, route: PlanRoute) -> Route:
    if not any(route.weights.values()):
        raise PlanWeightsEmptyError(f"routes[{number}].weights: route {route.name} has no weight above 0")
    try:
        return Route(
            route.name,
            _match(route),
            tuple(Weighted(pool, weight) for pool, weight in sorted(route.weights.items())),
            ClassFrom(fixed=route.class_name) if route.class_name else ClassFrom(first_part=True),
            route.deadline,
            (),
            route.split_by,
        )
    except ValueError as bad:
        raise PlanUnreadableError(f"routes[{number}]: {_short(str(bad))}") from None


def compile_routes(plan: Plan) -> CompiledRoutes:
    """What a plan means. Raises PlanUnreadable, PlanWeightsEmpty, PlanRoutesClash, PlanWindowsClash,
    PlanWindowUnknownRoute or PlanWindowUnknownPool for what cannot stand together.
    """
    routes: dict[str, Route] = {}
    for number, said in enumerate(plan.routes):
        if said.name in routes:
            raise PlanRoutesClashError(f"routes[{number}].name: {said.name} is another route's name")
        routes[said.name] = _route(number, said)
    try:
        table = Table(tuple(routes.values()))
    except ValueError as bad:
        if "the same conditions as" in str(bad):
            raise PlanRoutesClashError(_short(str(bad))) from None
        raise PlanUnreadableError(f"routes: {_short(str(bad))}") from None
    return CompiledRoutes(plan, table, routes, _windows(plan, routes))


def _windows(plan: Plan, routes: dict[str, Route]) -> dict[str, tuple[PlanWindow, ...]]:
    names: set[str] = set()
    found: dict[str, tuple[PlanWindow, ...]] = {}
    for number, window in enumerate(plan.windows):
        at = f"windows[{number}]"
        if window.name in names:
            raise PlanWindowsClashError(f"{at}.name: {window.name} is another window's name")
        names.add(window.name)
        route = routes.get(window.route)
        if route is None:
            raise PlanWindowUnknownRouteError(f"{at}.route: {window.route} is no route of this plan")
        pools = {weighted.pool for weighted in route.pools}
        if unknown := sorted(window.weights.keys() - pools):
            raise PlanWindowUnknownPoolError(f"{at}.weights.{unknown[0]}: no pool of route {route.name}")
        if not any(window.weights.values()):
            raise PlanWeightsEmptyError(f"{at}.weights: window {window.name} has no weight above 0")
        found[window.route] = (*found.get(window.route, ()), window)
    return found
