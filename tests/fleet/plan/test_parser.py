"""Parsing of plan documents: accepted bodies, errors, and compatibility with recorded bodies."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatring.common.errors import OperatorError, kinds
from wheatring.fleet.lease.payloads import MAX_PAYLOAD_BYTES
from wheatring.fleet.plan import errors
from wheatring.fleet.plan.compiler import compile_routes
from wheatring.fleet.plan.document import Plan, PlanMatch, PlanRoute, PlanWindow, Ramp, Trial
from wheatring.fleet.plan.parser import encode_plan, parse_plan

ROUTE: dict[str, Any] = {"name": "shop", "match": {"prefix": "/shop"}, "weights": {"blue": 9, "green": 1}}
WINDOW: dict[str, Any] = {
    "name": "night", "route": "shop", "weights": {"blue": 0, "green": 1},
    "start": "2026-01-01T02:00:00", "length": 3600,
}  # fmt: skip

# Bodies as written by the programs that introduced each format; they must keep their meaning.
FORMAT_1_BODY = b'{"format":1,"title":"one","routes":[{"name":"a","weights":{"blue":1}}]}'
FORMAT_2_BODY = (
    b'{"format":2,"routes":[{"name":"a","match":{"host":"x.example"},"weights":{"blue":1,"green":0}}],"windows":'
    b'[{"name":"w","route":"a","weights":{"green":3},"start":"2026-03-29T02:30:00","length":600,'
    b'"rrule":"FREQ=DAILY","zone":"Europe/Berlin","when_cut":"hold"}]}'
)
FORMAT_3_BODY = FORMAT_2_BODY.replace(b'"format":2', b'"format":3').replace(
    b'"when_cut"', b'"ramp":{"steps":4,"every":30},"when_cut"'
)


def document(**parts: Any) -> bytes:
    return json.dumps({"format": 3, "routes": [ROUTE], "windows": [WINDOW], **parts}).encode()


def rejection(body: bytes) -> tuple[str, str]:
    with pytest.raises(OperatorError) as error:
        compile_routes(parse_plan(body))
    assert error.value.do and "\n" not in str(error.value)
    return error.value.code, error.value.what


def test_recorded_bodies_of_each_format_keep_their_meaning() -> None:
    one, two, three = (
        compile_routes(parse_plan(body)) for body in (FORMAT_1_BODY, FORMAT_2_BODY, FORMAT_3_BODY)
    )
    assert (one.plan.format, one.plan.title, one.windows) == (1, "one", {})
    match = one.table.resolve(b"GET", b"/any/thing", {})
    assert match is not None and match.route.class_of(b"/any/thing", {}) == "any"
    assert [(w.pool, w.weight) for w in two.routes["a"].pools] == [("blue", 1), ("green", 0)]
    (window,) = two.windows["a"]
    assert (window.zone, window.when_cut, window.ramp) == ("Europe/Berlin", "hold", None)
    assert three.plan.windows[0].ramp == Ramp(steps=4, every=30.0)


@pytest.mark.parametrize(
    ("body", "code", "what"),
    [
        (document(routes=[{**ROUTE, "weights": {"blue": "9"}}]), "unreadable", "routes[0].weights.blue: "),
        (document(routes=[{**ROUTE, "weights": {"blue": -1}}]), "unreadable", "routes[0].weights.blue: "),
        (document(routes=[{**ROUTE, "weights": {"b e": 1}}]), "unreadable", "routes[0].weights: a key in"),
        (document(routes=[{**ROUTE, "wieghts": {}}]), "unreadable", "routes[0].wieghts: not a key"),
        (document(routes=[{**ROUTE, "match": {"path": "x"}}]), "unreadable", "routes[0]: path: "),
        (document(windows=[{**WINDOW, "start": "today"}]), "unreadable", "windows[0].start: "),
        (document(trials=[{"target": "/", "headers": {"a": 1}}]), "unreadable", "trials[0].headers.a: "),
        (document(trials=[{"target": "/", "at": 1e300}]), "unreadable", "trials[0].at: "),
        (b'{"format":1,"routes":[],"routes":[]}', "unreadable", "routes: a key that stands twice"),
        (b"[" * MAX_PAYLOAD_BYTES, "unreadable", "the document: expected `object`"),
        (b'{"format":1,"x":' + b"[" * 100_000, "unreadable", "not JSON: "),
        (b"\xff", "unreadable", "not JSON: "),
        (b" " * (MAX_PAYLOAD_BYTES + 1), "too-large", f"{MAX_PAYLOAD_BYTES + 1} bytes"),
        (document(format=4), "format-unknown", "format: 4, and this program reads 1 to 3"),
        (document(format=1), "format-too-low", "windows: is of format 2"),
        (
            FORMAT_3_BODY.replace(b'"format":3', b'"format":2'),
            "format-too-low",
            "windows[0].ramp: is of format 3",
        ),
        (document(format=2, routes=[{**ROUTE, "split_by": "x"}]), "format-too-low", "routes[0].split_by"),
        (document(routes=[{**ROUTE, "weights": {"blue": 0}}]), "weights-empty", "routes[0].weights"),
        (document(windows=[{**WINDOW, "weights": {}}]), "weights-empty", "windows[0].weights"),
        (document(routes=[ROUTE, ROUTE]), "routes-clash", "routes[1].name: shop"),
        (document(routes=[ROUTE, {**ROUTE, "name": "too"}]), "routes-clash", "route too: the same"),
        (document(windows=[WINDOW, WINDOW]), "windows-clash", "windows[1].name: night"),
        (document(windows=[{**WINDOW, "route": "shpo"}]), "window-unknown-route", "windows[0].route: shpo"),
        (document(windows=[{**WINDOW, "weights": {"red": 1}}]), "window-unknown-pool", "windows[0].weights"),
    ],
    ids=range(24),
)  # fmt: skip
def test_a_rejection_names_the_invalid_key(body: bytes, code: str, what: str) -> None:
    error = rejection(body)
    assert error[0] == f"plan-{code}" and error[1].startswith(what), error


NAME = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,8}", fullmatch=True)
WEIGHTS = st.dictionaries(NAME, st.integers(0, 1_000_000), min_size=1, max_size=3)


@st.composite
def plans(draw: st.DrawFn) -> Plan:
    routes = tuple(
        PlanRoute(
            name=name,
            match=PlanMatch(prefix=f"/{name}", methods=draw(st.sampled_from([(), ("GET",)]))),
            weights={**draw(WEIGHTS), "sure": 1},
            split_by=draw(st.sampled_from(["", "x-user"])),
        )
        for name in draw(st.lists(NAME, unique=True, max_size=4))
    )
    windows = tuple(
        PlanWindow(
            name=f"w{number}", route=route.name, weights={"sure": 2},
            start="2026-01-01T00:00:00", length=60.5,
            ramp=draw(st.sampled_from([None, Ramp(steps=2, every=0.5)])),
        )
        for number, route in enumerate(routes)
    )  # fmt: skip
    trials = (Trial(target="/", at=draw(st.sampled_from([None, 1.5]))),)
    return Plan(format=3, title=draw(st.text(max_size=20)), routes=routes, windows=windows, trials=trials)


@settings(max_examples=60, deadline=None)
@given(plans())
def test_an_encoded_plan_is_decoded_to_the_same_plan(plan: Plan) -> None:
    body = encode_plan(plan)
    assert parse_plan(body) == plan and encode_plan(parse_plan(body)) == body
    compiled = compile_routes(plan)
    assert {*compiled.routes} == {route.name for route in plan.routes}
    assert sum(map(len, compiled.windows.values())) == len(plan.windows)


@settings(max_examples=150, deadline=None)
@given(st.integers(0, len(FORMAT_3_BODY) - 1), st.binary(max_size=4), st.integers(0, 6))
def test_a_broken_body_is_rejected_in_one_line_or_read_completely(
    at: int, inserted: bytes, removed: int
) -> None:
    body = FORMAT_3_BODY[:at] + inserted + FORMAT_3_BODY[at + removed :]
    try:
        plan = parse_plan(body)
        compile_routes(plan)
    except OperatorError as error:
        assert error.code and "\n" not in str(error) and len(str(error)) < 600
    else:
        assert parse_plan(encode_plan(plan)) == plan


def test_each_error_has_a_code_and_advice() -> None:
    own = [kind for kind in kinds() if kind.__module__ == errors.__name__]
    assert len(own) == len({kind.code for kind in own}) >= 19
    assert all(kind.code.startswith("plan-") and kind.do.endswith(".") for kind in own)
