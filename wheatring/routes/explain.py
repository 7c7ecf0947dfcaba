"""Why a request goes where it goes, for a person: the route, and why those near it lost."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from wheatring.routes.expressions import MOST_PATH, Expressions
from wheatring.routes.match import misses, rank
from wheatring.routes.split import split
from wheatring.routes.table import Found, Table
from wheatring.routes.target import TurnedAway
from wheatring.routes.words import Route, Weighted

MOST_LOST = 10  # routes that are told of besides the one that won

# The parts of a rank, each up to this place.
_PLACES = ((2, "host is"), (4, "path is"), (5, "methods are"), (9, "headers are"))
_FAR = {"host": 3, "path": 3, "methods": 1, "headers": 1}  # how far off a miss makes a route


@dataclass(frozen=True, slots=True)
class Lost:
    route: str
    why: str  # one sentence


@dataclass(frozen=True, slots=True)
class Explanation:
    """What becomes of one request. `status` is 0 if a route takes it, else what it is answered with."""

    status: int
    why: str  # one sentence
    host: str = ""  # in plain form, as is the path
    path: str = ""
    route: str = ""
    pools: tuple[Weighted, ...] = ()
    pool: str = ""  # the one, if the split leaves no choice; else requests are counted
    class_name: str = ""  # "": the request names none
    deadline: float | None = None  # seconds, for a caller that gives none
    limits: tuple[str, ...] = ()
    lost: tuple[Lost, ...] = ()  # the nearest first
    left_out: int = 0  # routes that lost too and are not told of

    def text(self) -> str:
        """Lines for a terminal."""
        lines = [self.why]
        if self.route:
            shares = ", ".join(f"{w.pool} (weight {w.weight})" for w in self.pools)
            deadline = "the caller's" if self.deadline is None else f"the caller's, else {self.deadline:g} s"
            lines += [
                f"route     {self.route}",
                f"pool      {self.pool or 'by turns: ' + shares}",
                f"class     {self.class_name or 'none in the request'}",
                f"deadline  {deadline}",
                f"limits    {', '.join(self.limits) or 'none'}",
            ]
        lines += [f"not {lost.route}: {lost.why}" for lost in self.lost]
        if self.left_out:
            lines.append(f"and {self.left_out} more that lost")
        return "\n".join(lines) + "\n"


def explain(
    table: Table, method: str, target: str, host: str = "", headers: Mapping[str, str] | None = None
) -> Explanation:
    """Play one request through the table. Never raises for what a request may be; texts are Latin-1."""
    try:
        fields = {k.lower().encode(): v.encode("latin-1") for k, v in (headers or {}).items()}
        fields[b"host"] = host.encode("latin-1")
        verb = method.encode("latin-1")
        found = table.route(verb, target.encode("latin-1"), fields)
        plain = found.target if found else table.target(verb, target.encode("latin-1"), fields)
    except UnicodeEncodeError:
        return Explanation(400, "Turned away: a character that no request may hold.")
    except TurnedAway as why:
        return Explanation(400, f"Turned away: {why}.")

    lost: list[tuple[int, int, Route, list[str]]] = []
    expressed = _expressed(table, plain.path)
    for place, route in enumerate(table.routes):
        if found is not None and route is found.route:
            continue
        takes = route.match.expression in expressed
        missed = misses(route.match, verb, plain, fields, takes)
        far = sum(_FAR[miss.part] for miss in missed)
        lost.append((far, place, route, [miss.clause for miss in missed]))
    lost.sort(key=lambda item: item[:2])
    told = tuple(
        Lost(route.name, _sentence(clauses) if clauses else _later(found, route))
        for _, _, route, clauses in lost[:MOST_LOST]
    )
    more = len(lost) - len(told)
    shown = (plain.host.decode(), plain.path.decode())
    if found is None:
        return Explanation(404, "No route takes it.", *shown, lost=told, left_out=more)
    route = found.route
    return Explanation(
        0, f"Route {route.name} takes it.", *shown, route.name, route.pools, _pool(route, fields),
        route.class_name(plain.path, fields), route.deadline, route.limits, told, more,
    )  # fmt: skip


def _expressed(table: Table, path: bytes) -> frozenset[str]:
    texts = list(dict.fromkeys(r.match.expression for r in table.routes if r.match.expression))
    if not texts or len(path) > MOST_PATH:
        return frozenset()
    # Each by itself: together they may be more than one host's limit.
    return frozenset(text for text in texts if Expressions([text]).matching(path))


def _pool(route: Route, fields: Mapping[bytes, bytes]) -> str:
    taking = [w.pool for w in route.pools if w.weight]
    if len(taking) == 1:
        return taking[0]
    if route.split_by and fields.get(route.split_by.lower().encode()):
        return split(route).pick(fields)
    return ""


def _sentence(clauses: list[str]) -> str:
    text = ", and ".join(clauses)
    return text[0].upper() + text[1:] + "."


def _later(found: Found | None, route: Route) -> str:
    assert found is not None
    first, second = rank(found.route.match), rank(route.match)
    for end, part in _PLACES:
        if first[:end] != second[:end]:
            return f"It fits too, but {found.route.name}'s {part} closer."
    return f"It fits just as well, but {found.route.name} comes before it."
