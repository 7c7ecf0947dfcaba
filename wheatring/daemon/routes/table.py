"""The routing table: finds the first matching route, in the order defined in `match`, in near-constant time.

Hosts and paths are looked up in dicts. Prefixes take one lookup for each known length that ends at a segment
boundary, and expressions are matched together. If many routes share host and path, they are indexed by the
value of a required header. Routes that differ only in methods, prefixes of headers or the presence of headers
are scanned linearly.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from wheatring.daemon.routes.definitions import Route
from wheatring.daemon.routes.exceptions import InvalidRequestError
from wheatring.daemon.routes.expressions import ExpressionSet
from wheatring.daemon.routes.match import condition_key, precedence
from wheatring.daemon.routes.target import Strictness, Target, normalize_target

MAX_SCANNED_ROUTES = 8  # of one host and path; more are indexed by a header's value

Fields = Mapping[bytes, bytes]  # by lower-case name


class ResolvedRoute(NamedTuple):
    """The route of a request, and its normalized target."""

    route: Route
    target: Target


class _Entry:
    """A route with its position in the order and its precomputed conditions on methods and headers."""

    __slots__ = ("header_conditions", "is_unconditional", "methods", "position", "route")

    def __init__(self, position: int, route: Route) -> None:
        match = route.match
        self.position = position
        self.route = route
        self.methods = frozenset(method.encode() for method in match.methods)
        exact = [(h.name.lower().encode(), True, h.exact.encode()) for h in match.headers if h.exact]
        prefix = [(h.name.lower().encode(), False, h.prefix.encode()) for h in match.headers if not h.exact]
        self.header_conditions = tuple(exact + prefix)  # (name, is exact, value or prefix)
        self.is_unconditional = not self.methods and not self.header_conditions

    def matches(self, method: bytes, fields: Fields) -> bool:
        """Return whether a request that matches host and path meets the other conditions."""
        if self.is_unconditional:
            return True
        if self.methods and method not in self.methods:
            return False
        for name, is_exact, text in self.header_conditions:
            value = fields.get(name)
            if value is None or (value != text if is_exact else not value.startswith(text)):
                return False
        return True

    def exact_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the names and values of the headers with an exact condition."""
        return [(name, text) for name, is_exact, text in self.header_conditions if is_exact]


class _EntryIndex:
    """The routes of one host and path.

    If there are many, those that require an exact value of a header are indexed by it, each by the required
    header and value that the fewest routes share.
    """

    __slots__ = ("by_header", "scanned")

    def __init__(self, entries: Sequence[_Entry]) -> None:
        self.scanned: list[_Entry] = []
        self.by_header: dict[bytes, dict[bytes, list[_Entry]]] = {}
        is_indexed = len(entries) > MAX_SCANNED_ROUTES
        counts = (
            Counter(header for entry in entries for header in entry.exact_headers()) if is_indexed else {}
        )
        for entry in entries:
            headers = entry.exact_headers() if is_indexed else []
            if headers:
                name, text = min(headers, key=lambda header: (counts[header], header))
                self.by_header.setdefault(name, {}).setdefault(text, []).append(entry)
            else:
                self.scanned.append(entry)

    def find(self, method: bytes, fields: Fields) -> _Entry | None:
        """Return the first matching entry."""
        best = None
        for entry in self.scanned:
            if entry.matches(method, fields):
                best = entry
                break
        for name, values in self.by_header.items():
            for entry in values.get(fields.get(name, b""), ()):
                if best is not None and best.position < entry.position:
                    break
                if entry.matches(method, fields):
                    best = entry
                    break
        return best


def _index_by_path(entries: Sequence[_Entry], kind: str) -> dict[bytes, _EntryIndex]:
    """Index entries by one kind of path condition, in the order of first appearance."""
    groups: dict[bytes, list[_Entry]] = {}
    for entry in entries:
        text: str = getattr(entry.route.match, kind)
        if text:
            groups.setdefault(text.encode(), []).append(entry)
    return {text: _EntryIndex(group) for text, group in groups.items()}


class _HostIndex:
    """The routes of one host, indexed by path."""

    __slots__ = (
        "any_path", "by_expression", "by_path", "by_prefix", "expressions", "longest_prefix",
        "prefix_lengths",
    )  # fmt: skip

    def __init__(self, entries: Sequence[_Entry]) -> None:
        self.by_path = _index_by_path(entries, "path")
        prefixes: dict[bytes, list[_Entry]] = {}
        for entry in entries:
            if entry.route.match.prefix:
                prefixes.setdefault(entry.route.match.prefix.rstrip("/").encode(), []).append(entry)
        self.by_prefix = {text: _EntryIndex(group) for text, group in prefixes.items()}
        self.prefix_lengths = frozenset(map(len, prefixes))
        self.longest_prefix = max(self.prefix_lengths, default=-1)
        by_expression = _index_by_path(entries, "expression")
        self.by_expression = list(by_expression.values())
        texts = [text.decode() for text in by_expression]
        self.expressions = ExpressionSet(texts) if by_expression else None
        with_match = [(entry, entry.route.match) for entry in entries]
        self.any_path = _EntryIndex([e for e, m in with_match if not (m.path or m.prefix or m.expression)])

    def find(self, path: bytes, method: bytes, fields: Fields) -> _Entry | None:
        """Return the first matching entry. Raises InvalidRequestError if the path is too long."""
        index = self.by_path.get(path)
        best = index.find(method, fields) if index is not None else None
        if best is None and self.by_prefix:
            best = self._find_by_prefix(path, method, fields)
        if best is None and self.expressions is not None:
            for number in self.expressions.matching(path):
                entry = self.by_expression[number].find(method, fields)
                if entry is not None and (best is None or entry.position < best.position):
                    best = entry
        return best or self.any_path.find(method, fields)

    def _find_by_prefix(self, path: bytes, method: bytes, fields: Fields) -> _Entry | None:
        """Return the first matching entry with the longest matching prefix.

        The number of lookups depends on the longest known prefix, not on the length of the path.
        """
        end = len(path)
        if end > self.longest_prefix:
            end = path.rfind(b"/", 0, self.longest_prefix + 1)
        while end >= 0:
            if end in self.prefix_lengths:
                index = self.by_prefix.get(path[:end])
                entry = index.find(method, fields) if index is not None else None
                if entry is not None:
                    return entry
            end = path.rfind(b"/", 0, end)
        return None


class RoutingTable:
    """The routes of one sidecar, indexed.

    Parameters
    ----------
    routes
        In the order of the file. Raises ValueError if two have the same name or the same conditions.
    strictness
        Which spellings of a target are accepted.
    """

    def __init__(self, routes: Sequence[Route], strictness: Strictness = Strictness.PLAIN) -> None:
        self.strictness = strictness
        names: dict[str, Route] = {}
        by_conditions: dict[tuple[object, ...], Route] = {}
        for route in routes:
            if names.setdefault(route.name, route) is not route:
                raise ValueError(f"route {route.name}: a name that another route has")
            other = by_conditions.setdefault(condition_key(route.match), route)
            if other is not route:
                raise ValueError(f"route {route.name}: the same conditions as {other.name}")
        self.routes = tuple(sorted(routes, key=lambda route: precedence(route.match)))
        self.deciding_headers = frozenset(
            name.encode() for route in routes for name in route.deciding_headers()
        )
        by_host: dict[str, list[_Entry]] = {}
        for position, route in enumerate(self.routes):
            by_host.setdefault(route.match.host, []).append(_Entry(position, route))
        indexes = {host.encode(): _HostIndex(entries) for host, entries in by_host.items()}
        self.any_host = indexes.pop(b"", None)
        self.by_host_suffix = {host[1:]: index for host, index in indexes.items() if host[:1] == b"*"}
        self.by_host = {host: index for host, index in indexes.items() if host[:1] != b"*"}

    def resolve(
        self, method: bytes, target: bytes, fields: Fields, repeated: frozenset[bytes] = frozenset()
    ) -> ResolvedRoute | None:
        """Return the route of a received request, or None if it is answered with 404.

        Parameters
        ----------
        method, target, fields
            The request line and the header fields.
        repeated
            The names of repeated header fields.

        Raises
        ------
        InvalidRequestError
            The request is answered with 400.
        """
        normal = self.normalize(method, target, fields)
        if not self.deciding_headers.isdisjoint(repeated):
            # An endpoint may use the first or the last value, but the table uses the joined values.
            raise InvalidRequestError("a header more than once that decides about the route")
        route = self.find(method, normal, fields)
        return None if route is None else ResolvedRoute(route, normal)

    def normalize(self, method: bytes, target: bytes, fields: Fields) -> Target:
        """Return the normal form of a target. Raises InvalidRequestError."""
        return normalize_target(method, target, fields.get(b"host"), self.strictness)

    def find(self, method: bytes, target: Target, fields: Fields) -> Route | None:
        """Return the route of a request with a normalized target.

        Raises InvalidRequestError if the path is too long to match expressions against.
        """
        host, path = target
        if host:
            index = self.by_host.get(host)
            entry = index.find(path, method, fields) if index is not None else None
            if entry is not None:
                return entry.route
            if self.by_host_suffix:
                dot = host.find(b".")
                while dot >= 0:
                    index = self.by_host_suffix.get(host[dot:])
                    entry = index.find(path, method, fields) if index is not None else None
                    if entry is not None:
                        return entry.route
                    dot = host.find(b".", dot + 1)
        entry = self.any_host.find(path, method, fields) if self.any_host is not None else None
        return None if entry is None else entry.route
