"""The routing table against a simple reference implementation, and bounds on its lookups."""

from __future__ import annotations

import re
from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tests.daemon.routes.measure_table import KINDS, routes
from wheatring.daemon.routes import table as table_module
from wheatring.daemon.routes.definitions import ClassSource, HeaderMatch, Route, RouteMatch, WeightedPool
from wheatring.daemon.routes.exceptions import InvalidRequestError
from wheatring.daemon.routes.explain import explain
from wheatring.daemon.routes.expressions import MAX_PATH_BYTES, ExpressionSet
from wheatring.daemon.routes.table import Fields, RoutingTable
from wheatring.daemon.routes.target import Strictness, Target

POOLS, CLASS = (WeightedPool("menu"),), ClassSource(first_part=True)


def routes_for(*matches: RouteMatch) -> list[Route]:
    return [Route(f"r{i}", match, POOLS, CLASS) for i, match in enumerate(matches)]


HOSTS = ["", "a.b", "*.a.b", "*.b", "c.a.b"]
PATHS = ["/", "/a", "/a/", "/a/b", "/ab", "/a/b/c", "/%C3%A9"]
EXPRESSIONS = ["/.*", "/a.*", "/[ab]+", "/a/(b|c)", "(/[a-c])*/?", "/a|/b"]
HEADERS = [
    HeaderMatch("X-Who"),
    HeaderMatch("x-who", "gold"),
    HeaderMatch("X-Who", prefix="go"),
    HeaderMatch("X-Env", "gold"),
]
HEADERS += [HeaderMatch("X-Env", prefix="g"), HeaderMatch("X-Who", prefix="g")]

PATH_CONDITIONS: st.SearchStrategy[dict[str, str]] = st.one_of(
    st.just({}),
    st.sampled_from(PATHS).map(lambda path: {"path": path}),
    st.sampled_from(PATHS).map(lambda path: {"prefix": path}),
    st.sampled_from(EXPRESSIONS).map(lambda text: {"expression": text}),
)
METHODS: st.SearchStrategy[tuple[str, ...]] = st.sampled_from([(), (), ("GET",), ("POST", "GET")])
HEADER_CONDITIONS = st.lists(st.sampled_from(HEADERS), max_size=2, unique_by=lambda h: h.name.lower()).map(
    tuple
)


@st.composite
def tables(draw: st.DrawFn) -> list[RouteMatch]:
    """Draw conditions on few hosts and paths, so that several routes match the same request."""
    hosts = draw(st.lists(st.sampled_from(HOSTS), min_size=1, max_size=3))
    path_conditions = draw(st.lists(PATH_CONDITIONS, min_size=1, max_size=4))
    matches = [
        RouteMatch(draw(st.sampled_from(hosts)), methods=draw(METHODS), headers=draw(HEADER_CONDITIONS),
              **draw(st.sampled_from(path_conditions)))
        for _ in range(draw(st.integers(0, 14)))
    ]  # fmt: skip
    return list({condition_identity(match): match for match in matches}.values())


FIELDS = st.fixed_dictionaries(
    {b"x-who": st.sampled_from([b"gold", b"gold", b"good", b""])}, optional={b"x-env": st.just(b"gold")}
)
REQUESTS = st.tuples(
    st.sampled_from([b"GET", b"GET", b"POST", b"get"]),
    st.builds(
        Target,
        st.sampled_from([b"", b"a.b", b"b", b"c.a.b", b"xa.b", b"d.c.a.b"]),
        st.sampled_from([b"*", b"/b", b"/a/b/", b"/abc", b"/a/c", *(path.encode() for path in PATHS)]),
    ),
    FIELDS,
)


def meets(match: RouteMatch, method: bytes, target: Target, fields: Fields) -> bool:
    host, path = target.host.decode(), target.path.decode()
    if match.host.startswith("*."):
        if not host.endswith(match.host[1:]):
            return False
    elif match.host not in ("", host):
        return False
    if match.path and path != match.path:
        return False
    if match.prefix:
        wanted = [part for part in match.prefix.split("/") if part]
        if path[0] != "/" or [part for part in path.split("/") if part][: len(wanted)] != wanted:
            return False
    if match.expression and not re.fullmatch(match.expression, path):
        return False
    if match.methods and method.decode() not in match.methods:
        return False
    for header in match.headers:
        value = fields.get(header.name.lower().encode())
        if value is None or (header.exact and value.decode() != header.exact):
            return False
        if not value.decode().startswith(header.prefix):
            return False
    return True


def has_precedence(one: RouteMatch, other: RouteMatch) -> bool:
    """Compare by the documented rules, one after another. Equal ones keep the file's order."""

    def sort_key(match: RouteMatch) -> list[tuple[bool, int]]:
        exact = sum(1 for h in match.headers if h.exact)
        prefixes = [h.prefix for h in match.headers if h.prefix]
        is_wildcard = match.host.startswith("*")
        return [
            (bool(match.host) and not is_wildcard, 0), (is_wildcard, len(match.host)),
            (bool(match.path), 0), (bool(match.prefix), len(match.prefix.strip("/"))),
            (bool(match.expression), 0),
            (bool(match.methods), 0), (True, exact), (True, len(prefixes)),
            (True, len(match.headers) - exact - len(prefixes)), (True, len("".join(prefixes))),
        ]  # fmt: skip

    for left, right in zip(sort_key(one), sort_key(other), strict=True):
        if left != right:
            return left > right
    return False


def reference_find(all_routes: list[Route], method: bytes, target: Target, fields: Fields) -> Route | None:
    best = None
    for route in all_routes:
        is_match = meets(route.match, method, target, fields)
        if is_match and (best is None or has_precedence(route.match, best.match)):
            best = route
    return best


def condition_identity(match: RouteMatch) -> object:
    headers = frozenset(replace(h, name=h.name.lower()) for h in match.headers)
    return replace(match, prefix=match.prefix and match.prefix.rstrip("/") + "/", headers=()), headers


@settings(max_examples=200)
@example(
    [
        RouteMatch(expression="/a.*", methods=("POST",)),
        RouteMatch(expression="/.*", headers=tuple(HEADERS[:1])),
        RouteMatch(expression="/a.*"),
    ],
    [(b"GET", Target(b"", b"/a"), {b"x-who": b"gold"})],
    False,
)
@example(
    [
        RouteMatch(headers=(HeaderMatch("X-Env", prefix="g"),)),
        RouteMatch(headers=(HeaderMatch("X-Who", prefix="go"),)),
    ],
    [(b"GET", Target(b"", b"/"), {b"x-who": b"gold", b"x-env": b"gold"})], False,
)  # fmt: skip
@given(tables(), st.lists(REQUESTS, min_size=4, max_size=12), st.booleans())
def test_the_table_finds_the_same_route_as_the_reference(
    matches: list[RouteMatch], requests: list[tuple[bytes, Target, Fields]], is_indexed: bool
) -> None:
    original = table_module.MAX_SCANNED_ROUTES
    table_module.MAX_SCANNED_ROUTES = (
        0 if is_indexed else original
    )  # 0 forces the header index, which small tables don't use
    try:
        all_routes = routes_for(*matches)
        table = RoutingTable(all_routes)
        for method, target, fields in requests:
            best = reference_find(all_routes, method, target, fields)
            assert table.find(method, target, fields) is best
            if target.path != b"*":
                explanation = explain(
                    table, method.decode(), target.path.decode(), target.host.decode(),
                    {name.decode(): value.decode() for name, value in fields.items()},
                )  # fmt: skip
                assert explanation.route == (best.name if best else "")
                assert len(explanation.losing_routes) + explanation.omitted_count + (best is not None) == len(
                    matches
                )
    finally:
        table_module.MAX_SCANNED_ROUTES = original


PATH_PARTS = st.lists(st.sampled_from(["/", "a", "b", "%61", "%62", "c", "%C3%A9", "%c3%a9"]), max_size=6)


@given(tables(), PATH_PARTS)
@example([RouteMatch(path="/a/b"), RouteMatch(prefix="/a")], ["a", "/", "%62"])
def test_a_spelling_reaches_the_route_of_its_normal_form_or_is_rejected(
    matches: list[RouteMatch], parts: list[str]
) -> None:
    path = "/" + "".join(parts)
    all_routes = routes_for(*matches)
    try:
        found = RoutingTable(all_routes).resolve(b"GET", path.encode(), {b"host": b"A.B:80"})
    except InvalidRequestError:
        assert "//" in path
        return
    normal = path.replace("%61", "a").replace("%62", "b").replace("%c3%a9", "%C3%A9")
    best = reference_find(all_routes, b"GET", Target(b"a.b", normal.encode()), {})
    assert (found and found.route) is best


@pytest.mark.parametrize("kind", KINDS)
def test_a_lookup_checks_no_more_routes_in_a_table_a_hundred_times_as_large(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    checked = 0
    matches = table_module._Entry.matches

    def count_and_match(entry: table_module._Entry, method: bytes, fields: Fields) -> bool:
        nonlocal checked
        checked += 1
        return matches(entry, method, fields)

    monkeypatch.setattr(table_module._Entry, "matches", count_and_match)
    checks_per_lookup = []
    for size in (10, 1000):
        all_routes, requests = routes(kind, size)
        table = RoutingTable(all_routes)
        checked = 0
        for route, request in zip(all_routes, requests, strict=True):
            found = table.resolve(*request)
            assert found is not None and found.route is route
        checks_per_lookup.append(checked / size)
    assert checks_per_lookup[1] <= checks_per_lookup[0]


def test_hostile_expressions_are_matched_in_linear_time_and_long_paths_are_rejected() -> None:
    """With `re`, any of these would take exponential time; it must not be used for them."""
    hostile = ExpressionSet(["/(a*)*b", "/(a|aa)+c", "/(a|b)*a(a|b){40}", "/([a-z]+)+[0-9]"])
    assert type(hostile.filter).__module__.partition(".")[0] == "re2"
    path = b"/" + b"a" * (MAX_PATH_BYTES - 2)
    assert list(hostile.matching(path)) == [2]
    assert list(hostile.matching(path + b"b")) == [0, 2]
    table = RoutingTable(routes_for(RouteMatch(expression="/a*"), RouteMatch()))
    with pytest.raises(InvalidRequestError):
        table.resolve(b"GET", path + b"bbb", {})
    for invalid in (r"/(a)\1", "/(?=a)", "/a)|(b", "/((a{30}){30}b){3}", "/(a{30}){30}"):
        with pytest.raises(ValueError, match="expression: "):
            ExpressionSet([invalid])
    with pytest.raises(ValueError, match="steps together"):
        ExpressionSet([f"/a{i}[a-z]{{200}}" for i in range(200)])


def test_a_repeated_header_that_routing_depends_on_is_rejected() -> None:
    table = RoutingTable(
        [Route("r", RouteMatch(prefix="/"), POOLS, ClassSource(header="X-Class"), split_by="X-Who")]
    )
    for name in (b"x-class", b"x-who"):
        with pytest.raises(InvalidRequestError):
            table.resolve(b"GET", b"/", {name: b"a, b"}, frozenset((name,)))
    assert table.resolve(b"GET", b"/", {b"x-other": b"a, b"}, frozenset((b"x-other",)))


def test_an_explanation_states_why_other_routes_lost() -> None:
    table = RoutingTable(
        [
            Route(
                "orders",
                RouteMatch(prefix="/place-order/", methods=("POST",)),
                POOLS,
                CLASS,
                3.0,
                ("orders",),
            ),
            Route(
                "menu",
                RouteMatch("a.b", prefix="/menu-view/"),
                (WeightedPool("old", 9), WeightedPool("new")),
                CLASS,
            ),
            Route("all", RouteMatch(), POOLS, ClassSource(fixed="menu-view")),
            *(Route(f"gold-{i}", RouteMatch(path=f"/gold/{i}"), POOLS, CLASS) for i in range(20)),
        ],
        Strictness.PLAIN,
    )
    explanation = explain(table, "GET", "/menu-view/%73oups?x", "A.b:80")
    assert (explanation.route, explanation.path, explanation.class_name) == (
        "menu",
        "/menu-view/soups",
        "menu-view",
    )
    assert explanation.losing_routes[0].reason == "It fits too, but menu's host is closer."
    assert (len(explanation.losing_routes), explanation.omitted_count) == (10, 12)
    assert "pool      by turns: old (weight 9), new (weight 1)" in explanation.text()
    reasons = {
        losing.route: losing.reason for losing in explain(table, "POST", "/place-order/1").losing_routes
    }
    assert reasons["all"] == "It fits too, but orders's path is closer."
    fallback = explain(table, "GET", "/place-order/1")
    assert fallback.route == "all" and fallback.losing_routes[0].reason == "Its methods are POST."
    assert explain(table, "GET", "/menu-view/../place-order/1").status == 400
    assert (
        explain(RoutingTable(table.routes[:1]), "GET", "/gold")
        .losing_routes[0]
        .reason.startswith("Its host is a.b, not none")
    )


INVALID_VALUES = [
    (lambda: RouteMatch(prefix="/a/../b"), "prefix: not in its plain form, '/b': '/a/../b'"),
    (lambda: RouteMatch(path="/a", prefix="/b"), "prefix: not beside path: '/b'"),
    (lambda: RouteMatch(host="A.b"), "host: a host that is not in its plain form: 'A.b'"),
    (lambda: RouteMatch(host="*.b:80"), "host: not NAME or *.NAME without a port: '*.b:80'"),
    (lambda: WeightedPool("a", -1), "weight: not a whole number from 0 to 1000000: -1"),
    (
        lambda: Route("r", RouteMatch(), (WeightedPool("a", 0),), CLASS),
        "route r: pools: none with a weight above 0",
    ),
    (
        lambda: Route("r", RouteMatch(), POOLS, CLASS, 0),
        "route r: deadline: not seconds above 0 and up to 3600: 0",
    ),
    (
        lambda: RoutingTable(routes_for(RouteMatch(prefix="/a"), RouteMatch(prefix="/a/"))),
        "route r1: the same conditions as r0",
    ),
]


@pytest.mark.parametrize("make, message", INVALID_VALUES, ids=[message for _, message in INVALID_VALUES])
def test_invalid_values_are_reported_on_one_line(make: object, message: str) -> None:
    assert callable(make)
    with pytest.raises(ValueError) as caught:
        make()
    assert str(caught.value) == message
