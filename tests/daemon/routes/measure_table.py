"""Measures the time of a lookup in the routing table: `python -m tests.daemon.routes.measure_table`.

For each kind of index, it looks up each route in a table of 10 and one of 1,000 routes. The ratios matter, as
absolute figures depend on the machine.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from functools import partial
from random import Random
from time import perf_counter

from wheatring.daemon.routes.definitions import ClassSource, HeaderMatch, Route, RouteMatch, WeightedPool
from wheatring.daemon.routes.exceptions import InvalidRequestError
from wheatring.daemon.routes.expressions import ExpressionSet
from wheatring.daemon.routes.table import Fields, RoutingTable
from wheatring.daemon.routes.target import Strictness, normalize_target

Request = tuple[bytes, bytes, Fields]

ENV = HeaderMatch("X-Env", "live")  # required by all routes

KINDS: dict[str, Callable[[int], tuple[RouteMatch, bytes]]] = {
    "hosts": lambda i: (RouteMatch(host=f"a{i}.example", prefix="/x"), b"/x/soups"),
    "paths": lambda i: (RouteMatch(path=f"/a{i}/soups"), b"/a%d/soups" % i),
    "prefixes": lambda i: (RouteMatch(prefix=f"/a{i}/soups"), b"/a%d/soups/hot/today" % i),
    "expressions": lambda i: (RouteMatch(expression=f"/a{i}/[0-9]+/soups"), b"/a%d/17/soups" % i),
    "headers": lambda i: (RouteMatch(prefix="/x", headers=(ENV, HeaderMatch("X-Who", f"a{i}"))), b"/x/soups"),
}


def routes(kind: str, size: int) -> tuple[list[Route], list[Request]]:
    cases = [KINDS[kind](i) for i in range(size)]
    requests: list[Request] = [
        (b"GET", path, {b"host": b"a%d.example" % i, b"x-who": b"a%d" % i, b"x-env": b"live"})
        for i, (_, path) in enumerate(cases)
    ]
    pools_and_class = (WeightedPool("menu"),), ClassSource(first_part=True)
    return [Route(f"r{i}", match, *pools_and_class) for i, (match, _) in enumerate(cases)], requests


def microseconds(call: Callable[[], object], count: int) -> float:
    """Return the time per lookup, for `count` lookups per run: the minimum of five runs."""
    best = float("inf")
    for _ in range(5):
        start = perf_counter()
        call()
        best = min(best, perf_counter() - start)
    return best / count * 1e6


def main() -> None:
    print("microseconds per lookup        normalized target         raw target")
    print("kind             10   1,000 routes  ratio    10   1,000 routes  ratio")
    for kind in KINDS:
        find_times: list[float] = []
        raw_times: list[float] = []
        for size in (10, 1000):
            table_routes, requests = routes(kind, size)
            table = RoutingTable(table_routes)
            normalized = [
                (method, table.normalize(method, target, fields), fields)
                for method, target, fields in requests
            ]
            assert all(table.find(*p) is route for route, p in zip(table_routes, normalized, strict=True))
            rounds = range(10_000 // size)
            find, resolve = table.find, table.resolve
            find_times.append(microseconds(lambda: [find(*p) for _ in rounds for p in normalized], 10_000))  # noqa: B023
            raw_times.append(microseconds(lambda: [resolve(*r) for _ in rounds for r in requests], 10_000))  # noqa: B023
        columns = [f"{a:6.2f} {b:14.2f} {b / a:6.2f}" for a, b in (find_times, raw_times)]
        print(f"{kind:12}", *columns)
    for target in (b"/menu-view/soups", b"/menu-view/%41-soups"):
        duration = microseconds(partial(_normalize, target, 5000), 5000)
        print(f"normalization of {target.decode()}: {duration:.2f}")
    for part in (b"/%2e", b"/a", b"/%41", b"/\\"):
        duration = microseconds(partial(_normalize, part * (16000 // len(part)), 1), 1)
        print(f"the same for 16 KB of {part.decode()}: {duration:.0f}")
    for size in (1, 500):
        # As large as allowed, without literals to filter by, and with more states than RE2 may cache.
        hostile = ExpressionSet([f"/(a|b)*a(a|b){{{i % 20 + 20}}}(c{i})?" for i in range(size)])
        path = b"/" + b"".join(Random(1).choices((b"a", b"b"), k=1000))
        print(f"{size} hostile expressions, 1 KB: {microseconds(partial(hostile.matching, path), 1):.0f}")


def _normalize(target: bytes, count: int) -> None:
    for _ in range(count):
        with suppress(InvalidRequestError):
            normalize_target(b"GET", target, b"a.example", Strictness.LENIENT)


if __name__ == "__main__":
    main()
