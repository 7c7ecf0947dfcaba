"""The table: finds the first route, in the order that `match` states, in time that hardly grows with their
number.

By host, then by path, each through a dict; prefixes by one look for each known length at a segment's
border; expressions all at once; and where many routes share host and path, by the value of a header that
they want. What is walked one by one is routes that differ by nothing but methods, beginnings of headers or
their presence.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from wheatring.routes.expressions import Expressions
from wheatring.routes.match import conditions, rank
from wheatring.routes.target import Spelling, Target, TurnedAway, read
from wheatring.routes.words import Route

FEW = 8  # routes that are walked sooner than looked up

Fields = Mapping[bytes, bytes]  # by name in lower case


class Found(NamedTuple):
    route: Route
    target: Target


class _Entry:
    """A route at its place in the order, its conditions past host and path ready for use."""

    __slots__ = ("methods", "place", "route", "texts", "there")

    def __init__(self, place: int, route: Route) -> None:
        match = route.match
        self.place = place
        self.route = route
        self.methods = frozenset(m.encode() for m in match.methods)
        exact = [(h.name.lower().encode(), True, h.exact.encode()) for h in match.headers if h.exact]
        self.texts = tuple(exact + [(h.name.lower().encode(), False, h.prefix.encode())
                                    for h in match.headers if not h.exact])  # fmt: skip
        self.there = not self.methods and not self.texts

    def fits(self, method: bytes, fields: Fields) -> bool:
        if self.there:
            return True
        if self.methods and method not in self.methods:
            return False
        for name, whole, text in self.texts:
            value = fields.get(name)
            if value is None or (value != text if whole else not value.startswith(text)):
                return False
        return True

    def values(self) -> list[tuple[bytes, bytes]]:
        return [(name, text) for name, whole, text in self.texts if whole]


class _Leaf:
    """The routes of one host and path. Where they are many, those that want a header's whole value are found
    by it, each under the rarest value that it wants.
    """

    __slots__ = ("by_value", "walked")

    def __init__(self, entries: Sequence[_Entry]) -> None:
        self.walked: list[_Entry] = []
        self.by_value: dict[bytes, dict[bytes, list[_Entry]]] = {}
        many = len(entries) > FEW
        often = Counter(value for entry in entries for value in entry.values()) if many else {}
        for entry in entries:
            values = entry.values() if many else []
            if values:
                name, text = min(values, key=lambda value: (often[value], value))
                self.by_value.setdefault(name, {}).setdefault(text, []).append(entry)
            else:
                self.walked.append(entry)

    def find(self, method: bytes, fields: Fields) -> _Entry | None:
        best = None
        for entry in self.walked:
            if entry.fits(method, fields):
                best = entry
                break
        for name, values in self.by_value.items():
            for entry in values.get(fields.get(name, b""), ()):
                if best is not None and best.place < entry.place:
                    break
                if entry.fits(method, fields):
                    best = entry
                    break
        return best


def _leaves(entries: Sequence[_Entry], key: str) -> dict[bytes, _Leaf]:
    """Leaves by the text of one kind of path, in the order in which these texts come."""
    groups: dict[bytes, list[_Entry]] = {}
    for entry in entries:
        text: str = getattr(entry.route.match, key)
        if text:
            groups.setdefault(text.encode(), []).append(entry)
    return {text: _Leaf(group) for text, group in groups.items()}


class _Paths:
    """The routes of one host."""

    __slots__ = ("exact", "expressed", "expressions", "lengths", "longest", "prefixes", "rest")

    def __init__(self, entries: Sequence[_Entry]) -> None:
        self.exact = _leaves(entries, "path")
        prefixes: dict[bytes, list[_Entry]] = {}
        for entry in entries:
            if entry.route.match.prefix:
                prefixes.setdefault(entry.route.match.prefix.rstrip("/").encode(), []).append(entry)
        self.prefixes = {text: _Leaf(group) for text, group in prefixes.items()}
        self.lengths = frozenset(map(len, prefixes))
        self.longest = max(self.lengths, default=-1)
        expressed = _leaves(entries, "expression")
        self.expressed = list(expressed.values())
        self.expressions = Expressions([text.decode() for text in expressed]) if expressed else None
        match = [(e, e.route.match) for e in entries]
        self.rest = _Leaf([e for e, m in match if not (m.path or m.prefix or m.expression)])

    def find(self, path: bytes, method: bytes, fields: Fields) -> _Entry | None:
        leaf = self.exact.get(path)
        best = leaf.find(method, fields) if leaf is not None else None
        if best is None and self.prefixes:
            best = self._below(path, method, fields)
        if best is None and self.expressions is not None:
            for number in self.expressions.matching(path):
                entry = self.expressed[number].find(method, fields)
                if entry is not None and (best is None or entry.place < best.place):
                    best = entry
        return best or self.rest.find(method, fields)

    def _below(self, path: bytes, method: bytes, fields: Fields) -> _Entry | None:
        """The longest prefix first. A path of many segments costs looks only up to the longest one known."""
        end = len(path)
        if end > self.longest:
            end = path.rfind(b"/", 0, self.longest + 1)
        while end >= 0:
            if end in self.lengths:
                leaf = self.prefixes.get(path[:end])
                entry = leaf.find(method, fields) if leaf is not None else None
                if entry is not None:
                    return entry
            end = path.rfind(b"/", 0, end)
        return None


class Table:
    """Routes, and how strictly targets are taken. Raises ValueError for routes that can't stand together."""

    def __init__(self, routes: Sequence[Route], spelling: Spelling = Spelling.PLAIN) -> None:
        self.spelling = spelling
        names: dict[str, Route] = {}
        asked: dict[tuple[object, ...], Route] = {}
        for route in routes:
            if names.setdefault(route.name, route) is not route:
                raise ValueError(f"route {route.name}: a name that another route has")
            other = asked.setdefault(conditions(route.match), route)
            if other is not route:
                raise ValueError(f"route {route.name}: the same conditions as {other.name}")
        self.routes = tuple(sorted(routes, key=lambda route: rank(route.match)))
        self.deciding = frozenset(name.encode() for route in routes for name in route.headers())
        hosts: dict[str, list[_Entry]] = {}
        for place, route in enumerate(self.routes):
            hosts.setdefault(route.match.host, []).append(_Entry(place, route))
        paths = {host.encode(): _Paths(entries) for host, entries in hosts.items()}
        self.anywhere = paths.pop(b"", None)
        self.below = {host[1:]: found for host, found in paths.items() if host[:1] == b"*"}
        self.hosts = {host: found for host, found in paths.items() if host[:1] != b"*"}

    def route(
        self, method: bytes, target: bytes, fields: Fields, repeated: frozenset[bytes] = frozenset()
    ) -> Found | None:
        """The route of a request as it came; None: 404. Raises TurnedAway for what is answered with 400."""
        plain = self.target(method, target, fields)
        if not self.deciding.isdisjoint(repeated):
            # A node may go by the first of them or the last, and we go by both.
            raise TurnedAway("a header more than once that decides about the route")
        route = self.find(method, plain, fields)
        return None if route is None else Found(route, plain)

    def target(self, method: bytes, target: bytes, fields: Fields) -> Target:
        """The plain form that is matched. Raises TurnedAway."""
        return read(method, target, fields.get(b"host"), self.spelling)

    def find(self, method: bytes, target: Target, fields: Fields) -> Route | None:
        """The route of a request whose target is in its plain form. Raises TurnedAway, as above."""
        host, path = target
        if host:
            paths = self.hosts.get(host)
            entry = paths.find(path, method, fields) if paths is not None else None
            if entry is not None:
                return entry.route
            if self.below:
                dot = host.find(b".")
                while dot >= 0:
                    paths = self.below.get(host[dot:])
                    entry = paths.find(path, method, fields) if paths is not None else None
                    if entry is not None:
                        return entry.route
                    dot = host.find(b".", dot + 1)
        entry = self.anywhere.find(path, method, fields) if self.anywhere is not None else None
        return None if entry is None else entry.route
