"""What clients get and what endpoints run, by the answers of endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from tests.tier.sidecar_world import SidecarWorld

SAFE = {"pathPrefix": "/safe/", "routeType": "safe", "maxAttempts": 3}
UNSAFE = {"pathPrefix": "/unsafe/", "routeType": "unsafe", "maxAttempts": 3}
ONCE = {"pathPrefix": "/once/", "routeType": "unsafe", "maxAttempts": 1}
STREAM = {"pathPrefix": "/stream/", "routeType": "streaming", "maxAttempts": 2}
RESUMABLE = {"pathPrefix": "/resume/", "routeType": "streaming", "maxAttempts": 2, "resumable": True}
TURNS = {
    "pathPrefix": "/turns/",
    "routeType": "streaming",
    "maxAttempts": 2,
    "retained": True,
    "retentionS": 60,
}
ROUTES = (SAFE, UNSAFE, ONCE, STREAM, RESUMABLE, TURNS)

Play = Callable[[SidecarWorld], Coroutine[Any, Any, None]]


def play(folder: Path, scripts: dict[str, list[str]], work: Play) -> SidecarWorld:
    world = SidecarWorld(folder, ROUTES, scripts)

    async def run_scenario() -> None:
        await world.begin()
        await work(world)

    world.run(run_scenario)
    return world


def test_an_answer_goes_back_unchanged(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        got = await world.request("/safe/x?a=1", ident="q")
        assert (got.status, got.body, got.whole) == (200, b"ok", True)
        assert got.headers[b"wheatring-response-signature"] == b"sig-i-b1-q"
        assert world.endpoints["b1"].ran[0].path == "/safe/x?a=1"

    play(tmp_path, {"b1": ["ok"]}, work)


def test_a_request_without_a_route_is_not_found(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        assert (await world.request("/nothing/x")).status == 404

    play(tmp_path, {"b1": ["ok"]}, work)


CASES = [
    # path, what the endpoint that is met first does, the client's status, runs at most
    ("/safe/x", "reset", 200, 2),
    ("/safe/x", "error", 200, 2),
    ("/safe/x", "full", 200, 1),
    ("/safe/x", "noise", 200, 2),
    ("/safe/x", "half", 200, 2),
    ("/safe/x", "late-other", 200, 1),
    ("/unsafe/x", "reset", 502, 1),
    ("/unsafe/x", "error", 500, 1),
    ("/unsafe/x", "full", 200, 1),
    ("/unsafe/x", "noise", 502, 1),
    ("/unsafe/x", "half", 502, 1),
    ("/unsafe/x", "silent", 504, 1),
    ("/unsafe/x", "late-other", 200, 1),
    ("/once/x", "full", 503, 0),
    ("/once/x", "reset", 502, 1),
    ("/stream/x", "reset", 502, 1),
    ("/stream/x", "full", 200, 1),
]


@pytest.mark.parametrize(("path", "first", "status", "runs"), CASES)
def test_what_a_client_gets(tmp_path: Path, path: str, first: str, status: int, runs: int) -> None:
    async def work(world: SidecarWorld) -> None:
        rest = "stream:3" if "stream" in path else "ok"
        shared = [first, rest]  # whichever endpoint is asked first
        for endpoint in world.endpoints.values():
            endpoint.script = shared
        got = await world.request(path, ident="q")
        assert got.status == status
        assert world.runs("q") <= runs
        if status in (503, 429):
            assert world.runs("q") == 0
            assert float(got.headers[b"retry-after"]) > 0
        if status == 200 and "stream" not in path:
            assert got.body == b"ok"

    play(tmp_path, {"b1": ["ok"], "b2": ["ok"]}, work)


def test_an_address_that_is_another_endpoints_now_runs_nothing(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        world.endpoints["b1"].ident = "i-somebody-else"
        for number in range(10):
            got = await world.request("/unsafe/x", ident=f"q{number}")
            assert got.status == 200
        assert not world.endpoints["b1"].ran

    play(tmp_path, {"b1": ["ok"], "b2": ["ok"]}, work)


def test_a_refusal_comes_at_once(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        began = world.loop.time()
        got = await world.request("/once/x")
        assert got.status == 503 and got.at - began < 0.1

    play(tmp_path, {"b1": ["full"]}, work)


def test_an_endpoint_gets_the_remaining_time_as_its_deadline(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        await world.request("/safe/x", Wheatring_Deadline_Ms="900")
        await world.request("/safe/x", Wheatring_Deadline_Ms="90000")
        told = [int(ran.headers[b"wheatring-deadline-ms"]) for ran in world.endpoints["b1"].ran]
        assert 800 < told[0] <= 900
        assert 1900 < told[1] <= 2000  # the route's timeout

    play(tmp_path, {"b1": ["ok"]}, work)


def test_a_stream_is_forwarded_completely(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        got = await world.request("/stream/x", ident="q")
        assert got.whole and got.events == ["q-1", "q-2", "q-3", "q-4"]

    play(tmp_path, {"b1": ["stream:4"]}, work)


@pytest.mark.parametrize("how", ["break:2", "cut:2"])
def test_a_stream_that_breaks_off_does_not_look_complete(tmp_path: Path, how: str) -> None:
    async def work(world: SidecarWorld) -> None:
        got = await world.request("/stream/x", ident="q")
        assert not got.whole and got.events == ["q-1", "q-2"]
        assert world.runs("q") == 1

    play(tmp_path, {"b1": [how], "b2": [how]}, work)


@pytest.mark.parametrize("how", ["break:2", "cut:2", "cut:0"])
def test_a_resumable_stream_goes_on_elsewhere(tmp_path: Path, how: str) -> None:
    async def work(world: SidecarWorld) -> None:
        shared = [how, "stream:5"]
        for endpoint in world.endpoints.values():
            endpoint.script = shared
        got = await world.request("/resume/x", ident="q")
        assert got.whole and got.events == [f"q-{n}" for n in range(1, 6)]

    play(tmp_path, {"b1": ["ok"], "b2": ["ok"]}, work)


def test_turns_build_on_one_another(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        one = await world.request("/turns/x", "POST", b"[one]", ident="t1")
        two = await world.request("/turns/x", "POST", b"[two]", ident="t2", Previous="t1")
        other = await world.request("/turns/x", "POST", b"[other]", ident="t3", Previous="t1")
        three = await world.request("/turns/x", "POST", b"[three]", ident="t4", Previous="t2")
        assert all(got.whole for got in (one, two, other, three))
        bodies = {ran.ident: ran.body for ran in world.endpoints["b1"].ran}
        assert bodies["t2"] == b"[one]t1-1\nt1-2\n[two]"
        assert bodies["t3"] == b"[one]t1-1\nt1-2\n[other]"
        assert bodies["t4"] == b"[one]t1-1\nt1-2\n[two]t2-1\nt2-2\n[three]"
        assert (await world.request("/turns/x", "POST", b"x", ident="t5", Previous="nobody")).status == 404
        assert world.runs("t5") == 0

    play(tmp_path, {"b1": ["stream:2"]}, work)


def test_a_turn_that_broke_off_cannot_be_built_on(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        got = await world.request("/turns/x", "POST", b"one", ident="t1")
        assert not got.whole
        assert (await world.request("/turns/x", "POST", b"two", ident="t2", Previous="t1")).status == 404

    play(tmp_path, {"b1": ["cut:2"]}, work)


def test_a_response_ends_only_once_its_turn_is_on_disk(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        asking = asyncio.create_task(world.request("/turns/x", "POST", b"one", ident="t1"))
        await world.settle(0.02)
        world.kill("s1")
        got = await asking
        assert got.status == 200 and not got.whole

    play(tmp_path, {"b1": ["stream:5"]}, work)


def test_without_storage_a_turn_is_refused_before_it_runs(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        world.kill("s1")
        got = await world.request("/turns/x", "POST", b"two", ident="t2", Previous="t1")
        assert got.status == 503 and world.runs("t2") == 0
        got = await world.request("/stream/x", "POST", b"x", ident="t3", **BUDGET)
        assert got.status == 503 and world.runs("t3") == 0

    play(tmp_path, {"b1": ["stream:2"]}, work)


BUDGET = {"Program": "p", "Budget": "100", "Wheatring_Token_Usage": "50,50"}


def test_a_budget_is_counted_by_what_was_handed_out(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        for number in range(4):  # 20 tokens each, as the stride says; 50 at the most
            got = await world.request("/stream/x", "POST", b"x", ident=f"t{number}", **BUDGET)
            await world.settle(0.3)
            assert got.status == (200 if number < 3 else 402)
        assert world.runs("t3") == 0

    play(tmp_path, {"b1": ["stream:2"]}, work)


def test_a_refused_turn_gives_its_reservation_back(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        world.endpoints["b1"].script = ["full", "full", "full", "stream:2"]
        for number in range(2):
            await world.request("/stream/x", "POST", b"x", ident=f"t{number}", **BUDGET)
            await world.settle(0.3)
        got = await world.request("/stream/x", "POST", b"x", ident="t9", **BUDGET)
        assert got.status == 200

    play(tmp_path, {"b1": ["full"]}, work)


def test_sigterm_answers_what_was_read(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        asking = asyncio.create_task(world.request("/safe/x"))
        await world.settle(0.1)
        host = world.hosts["e1"]
        assert host.incarnation is not None
        stopping = world.run_as(host.incarnation, host.process.stop)
        await world.settle(0.5)
        assert not host.process.is_ready
        late = await world.request("/unsafe/x")
        assert late.status == 200 and late.headers[b"connection"] == b"close"
        got = await asking
        assert (got.status, got.whole) == (200, True)
        await stopping

    play(tmp_path, {"b1": ["slow:1.5", "ok"]}, work)


def test_a_request_waits_no_longer_than_its_route_allows(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        began = world.loop.time()
        got = await world.request("/stream/x", ident="q")
        assert got.status == 504 and 1.9 < got.at - began < 2.1

    play(tmp_path, {"b1": ["silent"]}, work)


def test_a_resumable_stream_is_retried_elsewhere_when_its_endpoint_is_silent(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        for _ in range(40):
            assert (await world.request("/resume/x")).whole
        silent, well = world.endpoints["b1"], world.endpoints["b2"]
        silent.script = ["silent"]
        ran_before = len(silent.ran)
        for number in range(12):
            began = world.loop.time()
            got = await world.request("/resume/x", ident=f"late{number}")
            assert got.whole and len(got.events) == 2
            assert world.runs(f"late{number}") <= 2
            assert world.loop.time() - began < 0.5
        assert len(silent.ran) > ran_before  # it was tried, and left
        assert len(well.ran) >= 12

    play(tmp_path, {"b1": ["stream:2"], "b2": ["stream:2"]}, work)


def test_a_stream_that_may_not_be_repeated_waits_for_a_silent_endpoint(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        for _ in range(40):
            assert (await world.request("/stream/x")).whole
        world.endpoints["b1"].script = ["silent"]
        began = world.loop.time()
        got = await world.request("/stream/x", ident="late")
        assert got.status == 504 and world.runs("late") == 1
        assert world.loop.time() - began > 1.9

    play(tmp_path, {"b1": ["stream:2"]}, work)
