"""The order of routes, and whether a request meets a route's conditions.

The order, stated once. Of all routes whose conditions a request meets, the first in this order gets it:

1. host: an exact one, then `*.NAME`, the longest first, then none;
2. path: an exact one, then a prefix, the longest first, then an expression, then none;
3. method: named, then not;
4. headers: more exact ones first, then more prefixes, then more that need only be there, then the longer
   prefixes, all their lengths added up;
5. the place in the file.

So the host goes before the path: a path has its meaning within its host only. Expressions have no length
that says how much they take in, so among them what follows decides. An exact host whose routes all fail
does not end the search: those of `*.NAME` and of no host come next.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from wheatring.routes.target import Target
from wheatring.routes.words import Header, Match

Rank = tuple[int, ...]


class Miss(NamedTuple):
    """A condition that a request does not meet."""

    part: str  # host, path, methods or headers
    clause: str


def rank(match: Match) -> Rank:
    """Less goes first; the place in the file is left to who sorts, as sorting keeps it."""
    host = (2, 0) if not match.host else (1, -len(match.host)) if match.host[0] == "*" else (0, 0)
    if match.path:
        path = (0, 0)
    elif match.prefix:
        path = (1, -len(match.prefix.rstrip("/")))
    else:
        path = (2, 0) if match.expression else (3, 0)
    exact = sum(bool(h.exact) for h in match.headers)
    prefixes = [len(h.prefix) for h in match.headers if h.prefix]
    there = len(match.headers) - exact - len(prefixes)
    return (*host, *path, 0 if match.methods else 1, -exact, -len(prefixes), -there, -sum(prefixes))


def conditions(match: Match) -> tuple[object, ...]:
    """What it asks for, alike for two that ask for the same."""
    headers = frozenset((h.name.lower(), h.exact, h.prefix) for h in match.headers)
    prefix = match.prefix and match.prefix.rstrip("/") + "/"
    return match.host, match.path, prefix, match.expression, frozenset(match.methods), headers


def _header(header: Header, fields: Mapping[bytes, bytes]) -> str:
    value = fields.get(header.name.lower().encode())
    if value is None:
        return f"it wants the header {header.name}, which is not there"
    if header.exact and value != header.exact.encode():
        return f"it wants the header {header.name} to be {header.exact!r}"
    if not value.startswith(header.prefix.encode()):
        return f"it wants the header {header.name} to begin with {header.prefix!r}"
    return ""


def _host(match: Match, host: str) -> str:
    if not match.host or match.host == host or (match.host[0] == "*" and host.endswith(match.host[1:])):
        return ""
    return f"its host is {match.host}, not {host or 'none'}"


def _path(match: Match, path: str, expressed: bool) -> str:
    if match.path and match.path != path:
        return f"its path is {match.path}, not {path}"
    if match.prefix and not (path + "/").startswith(match.prefix.rstrip("/") + "/"):
        return f"its prefix is {match.prefix}, and {path} is not below it"
    if match.expression and not expressed:
        return f"its expression {match.expression} does not take in {path}"
    return ""


def misses(
    match: Match, method: bytes, target: Target, fields: Mapping[bytes, bytes], expressed: bool
) -> tuple[Miss, ...]:
    """Why a request does not meet these conditions; none: it does.

    `expressed`: the route's expression, if it has one, takes the path in.
    """
    told = [
        Miss("host", _host(match, target.host.decode())),
        Miss("path", _path(match, target.path.decode(), expressed)),
    ]
    if match.methods and method.decode("latin-1") not in match.methods:
        told.append(Miss("methods", f"its methods are {', '.join(match.methods)}"))
    told += [Miss("headers", _header(header, fields)) for header in match.headers]
    return tuple(miss for miss in told if miss.clause)
