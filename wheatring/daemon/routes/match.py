"""The precedence of routes, and the check of a request against a route's conditions.

Of all routes whose conditions a request meets, the first in this order is chosen:

1. host: an exact one, then `*.NAME`, the longest first, then none;
2. path: an exact one, then a prefix, the longest first, then an expression, then none;
3. method: stated, then any;
4. headers: more exact ones first, then more prefixes, then more that need only be present, then the longer
   prefixes, all their lengths added up;
5. the position in the file.

The host takes precedence over the path, as a path has a meaning only within its host. The length of an
expression does not show how specific it is, so expressions are ordered by the later criteria. If no route of
an exact host matches, the search continues with the routes of `*.NAME` and of no host.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from wheatring.daemon.routes.definitions import HeaderMatch, RouteMatch
from wheatring.daemon.routes.target import Target

Precedence = tuple[int, ...]


class Mismatch(NamedTuple):
    """A condition that a request does not meet."""

    condition: str  # host, path, methods or headers
    reason: str  # a clause of a sentence


def precedence(match: RouteMatch) -> Precedence:
    """Return the sort key of a route's conditions; lower keys come first.

    It leaves out the position in the file, as sorting is stable.
    """
    if not match.host:
        host = (2, 0)
    elif match.host[0] == "*":
        host = (1, -len(match.host))
    else:
        host = (0, 0)
    if match.path:
        path = (0, 0)
    elif match.prefix:
        path = (1, -len(match.prefix.rstrip("/")))
    else:
        path = (2, 0) if match.expression else (3, 0)
    exact = sum(bool(header.exact) for header in match.headers)
    prefix_lengths = [len(header.prefix) for header in match.headers if header.prefix]
    present = len(match.headers) - exact - len(prefix_lengths)
    method = 0 if match.methods else 1
    return (*host, *path, method, -exact, -len(prefix_lengths), -present, -sum(prefix_lengths))


def condition_key(match: RouteMatch) -> tuple[object, ...]:
    """Return a key that is equal for equivalent conditions."""
    headers = frozenset((header.name.lower(), header.exact, header.prefix) for header in match.headers)
    prefix = match.prefix and match.prefix.rstrip("/") + "/"
    return match.host, match.path, prefix, match.expression, frozenset(match.methods), headers


def _header_mismatch(header: HeaderMatch, fields: Mapping[bytes, bytes]) -> str:
    value = fields.get(header.name.lower().encode())
    if value is None:
        return f"it wants the header {header.name}, which is not there"
    if header.exact and value != header.exact.encode():
        return f"it wants the header {header.name} to be {header.exact!r}"
    if not value.startswith(header.prefix.encode()):
        return f"it wants the header {header.name} to begin with {header.prefix!r}"
    return ""


def _host_mismatch(match: RouteMatch, host: str) -> str:
    is_suffix = bool(match.host) and match.host[0] == "*" and host.endswith(match.host[1:])
    if not match.host or match.host == host or is_suffix:
        return ""
    return f"its host is {match.host}, not {host or 'none'}"


def _path_mismatch(match: RouteMatch, path: str, is_expression_met: bool) -> str:
    if match.path and match.path != path:
        return f"its path is {match.path}, not {path}"
    if match.prefix and not (path + "/").startswith(match.prefix.rstrip("/") + "/"):
        return f"its prefix is {match.prefix}, and {path} is not below it"
    if match.expression and not is_expression_met:
        return f"its expression {match.expression} does not take in {path}"
    return ""


def mismatches(
    match: RouteMatch, method: bytes, target: Target, fields: Mapping[bytes, bytes], is_expression_met: bool
) -> tuple[Mismatch, ...]:
    """Return the conditions that a request does not meet; empty if it meets them all.

    Parameters
    ----------
    match
        The conditions.
    method, target, fields
        The request; header names in lower case.
    is_expression_met
        Whether the expression in the conditions, if any, matches the path.
    """
    candidates = [
        Mismatch("host", _host_mismatch(match, target.host.decode())),
        Mismatch("path", _path_mismatch(match, target.path.decode(), is_expression_met)),
    ]
    if match.methods and method.decode("latin-1") not in match.methods:
        candidates.append(Mismatch("methods", f"its methods are {', '.join(match.methods)}"))
    candidates += [Mismatch("headers", _header_mismatch(header, fields)) for header in match.headers]
    return tuple(mismatch for mismatch in candidates if mismatch.reason)
