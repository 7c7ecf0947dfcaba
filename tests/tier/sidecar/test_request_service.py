"""Responses to clients and requests run by endpoints, for various behaviours of endpoints."""

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
LONG_TURNS = TURNS | {"pathPrefix": "/long/", "retentionS": 20, "timeoutMs": 30_000}
ROUTES = (SAFE, UNSAFE, ONCE, STREAM, RESUMABLE, TURNS, LONG_TURNS)

Scenario = Callable[[SidecarWorld], Coroutine[Any, Any, None]]


def run_in_world(folder: Path, scripts: dict[str, list[str]], scenario: Scenario) -> SidecarWorld:
    world = SidecarWorld(folder, ROUTES, scripts)

    async def run_scenario() -> None:
        await world.begin()
        await scenario(world)

    world.run(run_scenario)
    return world


def test_response_is_relayed_unchanged(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        response = await world.request("/safe/x?a=1", request_id="q")
        assert (response.status, response.body, response.is_complete) == (200, b"ok", True)
        assert response.headers[b"wheatring-response-signature"] == b"sig-i-b1-q"
        assert world.endpoints["b1"].runs[0].path == "/safe/x?a=1"

    run_in_world(tmp_path, {"b1": ["ok"]}, scenario)


def test_request_without_matching_route_gets_404(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        assert (await world.request("/nothing/x")).status == 404

    run_in_world(tmp_path, {"b1": ["ok"]}, scenario)


CASES = [
    # path, behaviour of the first endpoint, status of the response, maximum number of runs
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


@pytest.mark.parametrize(("path", "first_behaviour", "status", "max_runs"), CASES)
def test_response_status_and_number_of_runs(
    tmp_path: Path, path: str, first_behaviour: str, status: int, max_runs: int
) -> None:
    async def scenario(world: SidecarWorld) -> None:
        later_behaviour = "stream:3" if "stream" in path else "ok"
        shared_script = [first_behaviour, later_behaviour]  # applies in order of the requests
        for endpoint in world.endpoints.values():
            endpoint.script = shared_script
        response = await world.request(path, request_id="q")
        assert response.status == status
        assert world.run_count("q") <= max_runs
        if status in (503, 429):
            assert world.run_count("q") == 0
            assert float(response.headers[b"retry-after"]) > 0
        if status == 200 and "stream" not in path:
            assert response.body == b"ok"

    run_in_world(tmp_path, {"b1": ["ok"], "b2": ["ok"]}, scenario)


def test_endpoint_with_another_id_runs_no_request(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        world.endpoints["b1"].instance_id = "i-somebody-else"
        for number in range(10):
            response = await world.request("/unsafe/x", request_id=f"q{number}")
            assert response.status == 200
        assert not world.endpoints["b1"].runs

    run_in_world(tmp_path, {"b1": ["ok"], "b2": ["ok"]}, scenario)


def test_rejection_is_immediate(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        started_at = world.loop.time()
        response = await world.request("/once/x")
        assert response.status == 503 and response.received_at - started_at < 0.1

    run_in_world(tmp_path, {"b1": ["full"]}, scenario)


def test_endpoint_gets_the_remaining_time_as_its_deadline(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        await world.request("/safe/x", Wheatring_Deadline_Ms="900")
        await world.request("/safe/x", Wheatring_Deadline_Ms="90000")
        deadlines_ms = [int(run.headers[b"wheatring-deadline-ms"]) for run in world.endpoints["b1"].runs]
        assert 800 < deadlines_ms[0] <= 900
        assert 1900 < deadlines_ms[1] <= 2000  # the time-out of the route

    run_in_world(tmp_path, {"b1": ["ok"]}, scenario)


def test_stream_is_relayed_completely(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        response = await world.request("/stream/x", request_id="q")
        assert response.is_complete and response.events == ["q-1", "q-2", "q-3", "q-4"]

    run_in_world(tmp_path, {"b1": ["stream:4"]}, scenario)


@pytest.mark.parametrize("behaviour", ["break:2", "cut:2"])
def test_interrupted_stream_does_not_look_complete(tmp_path: Path, behaviour: str) -> None:
    async def scenario(world: SidecarWorld) -> None:
        response = await world.request("/stream/x", request_id="q")
        assert not response.is_complete and response.events == ["q-1", "q-2"]
        assert world.run_count("q") == 1

    run_in_world(tmp_path, {"b1": [behaviour], "b2": [behaviour]}, scenario)


@pytest.mark.parametrize("behaviour", ["break:2", "cut:2", "cut:0"])
def test_resumable_stream_continues_at_another_endpoint(tmp_path: Path, behaviour: str) -> None:
    async def scenario(world: SidecarWorld) -> None:
        shared_script = [behaviour, "stream:5"]
        for endpoint in world.endpoints.values():
            endpoint.script = shared_script
        response = await world.request("/resume/x", request_id="q")
        assert response.is_complete and response.events == [f"q-{n}" for n in range(1, 6)]

    run_in_world(tmp_path, {"b1": ["ok"], "b2": ["ok"]}, scenario)


def test_prompt_contains_the_previous_turns(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        first = await world.request("/turns/x", "POST", b"[one]", request_id="t1")
        second = await world.request("/turns/x", "POST", b"[two]", request_id="t2", Previous="t1")
        branch = await world.request("/turns/x", "POST", b"[other]", request_id="t3", Previous="t1")
        third = await world.request("/turns/x", "POST", b"[three]", request_id="t4", Previous="t2")
        assert all(response.is_complete for response in (first, second, branch, third))
        bodies = {run.request_id: run.body for run in world.endpoints["b1"].runs}
        assert bodies["t2"] == b"[one]t1-1\nt1-2\n[two]"
        assert bodies["t3"] == b"[one]t1-1\nt1-2\n[other]"
        assert bodies["t4"] == b"[one]t1-1\nt1-2\n[two]t2-1\nt2-2\n[three]"
        assert (
            await world.request("/turns/x", "POST", b"x", request_id="t5", Previous="nobody")
        ).status == 404
        assert world.run_count("t5") == 0

    run_in_world(tmp_path, {"b1": ["stream:2"]}, scenario)


def test_interrupted_turn_cannot_be_continued(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        response = await world.request("/turns/x", "POST", b"one", request_id="t1")
        assert not response.is_complete
        assert (await world.request("/turns/x", "POST", b"two", request_id="t2", Previous="t1")).status == 404

    run_in_world(tmp_path, {"b1": ["cut:2"]}, scenario)


def test_response_is_incomplete_if_its_turn_cannot_be_stored(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        pending_response = asyncio.create_task(world.request("/turns/x", "POST", b"one", request_id="t1"))
        await world.settle(0.02)
        world.kill("s1")
        response = await pending_response
        assert response.status == 200 and not response.is_complete

    run_in_world(tmp_path, {"b1": ["stream:5"]}, scenario)


def test_turn_is_rejected_before_it_runs_if_storage_is_unavailable(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        world.kill("s1")
        response = await world.request("/turns/x", "POST", b"two", request_id="t2", Previous="t1")
        assert response.status == 503 and world.run_count("t2") == 0
        response = await world.request("/stream/x", "POST", b"x", request_id="t3", **BUDGET)
        assert response.status == 503 and world.run_count("t3") == 0

    run_in_world(tmp_path, {"b1": ["stream:2"]}, scenario)


BUDGET = {"Program": "p", "Budget": "100", "Wheatring_Token_Usage": "50,50"}


def test_budget_counts_delivered_tokens(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        for number in range(4):  # Each turn reserves 50 tokens and delivers 20 (2 events of 10).
            response = await world.request("/stream/x", "POST", b"x", request_id=f"t{number}", **BUDGET)
            await world.settle(0.3)
            assert response.status == (200 if number < 3 else 402)
        assert world.run_count("t3") == 0

    run_in_world(tmp_path, {"b1": ["stream:2"]}, scenario)


def test_rejected_turn_releases_its_reservation(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        world.endpoints["b1"].script = ["full", "full", "full", "stream:2"]
        for number in range(2):
            await world.request("/stream/x", "POST", b"x", request_id=f"t{number}", **BUDGET)
            await world.settle(0.3)
        response = await world.request("/stream/x", "POST", b"x", request_id="t9", **BUDGET)
        assert response.status == 200

    run_in_world(tmp_path, {"b1": ["full"]}, scenario)


def test_sigterm_completes_requests_in_flight(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        pending_response = asyncio.create_task(world.request("/safe/x"))
        await world.settle(0.1)
        host = world.hosts["e1"]
        assert host.incarnation is not None
        stopping = world.run_as(host.incarnation, host.process.stop)
        await world.settle(0.5)
        assert not host.process.is_ready
        late_response = await world.request("/unsafe/x")
        assert late_response.status == 200 and late_response.headers[b"connection"] == b"close"
        response = await pending_response
        assert (response.status, response.is_complete) == (200, True)
        await stopping

    run_in_world(tmp_path, {"b1": ["slow:1.5", "ok"]}, scenario)


def test_request_gets_504_at_the_time_out_of_its_route(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        started_at = world.loop.time()
        response = await world.request("/stream/x", request_id="q")
        assert response.status == 504 and 1.9 < response.received_at - started_at < 2.1

    run_in_world(tmp_path, {"b1": ["silent"]}, scenario)


def test_resumable_stream_without_a_response_head_is_retried_at_another_endpoint(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        for _ in range(40):
            assert (await world.request("/resume/x")).is_complete
        silent, healthy = world.endpoints["b1"], world.endpoints["b2"]
        silent.script = ["silent"]
        runs_before = len(silent.runs)
        for number in range(12):
            started_at = world.loop.time()
            response = await world.request("/resume/x", request_id=f"late{number}")
            assert response.is_complete and len(response.events) == 2
            assert world.run_count(f"late{number}") <= 2
            assert world.loop.time() - started_at < 0.5
        assert len(silent.runs) > runs_before  # Some requests were sent to the silent endpoint first.
        assert len(healthy.runs) >= 12

    run_in_world(tmp_path, {"b1": ["stream:2"], "b2": ["stream:2"]}, scenario)


def test_non_resumable_stream_is_not_retried_if_its_endpoint_is_silent(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        for _ in range(40):
            assert (await world.request("/stream/x")).is_complete
        world.endpoints["b1"].script = ["silent"]
        started_at = world.loop.time()
        response = await world.request("/stream/x", request_id="late")
        assert response.status == 504 and world.run_count("late") == 1
        assert world.loop.time() - started_at > 1.9

    run_in_world(tmp_path, {"b1": ["stream:2"]}, scenario)


def test_turn_is_kept_until_one_that_began_within_its_retention_has_ended(tmp_path: Path) -> None:
    """A turn expired during a long one that went on from it, whose conversation could not be read then."""

    async def scenario(world: SidecarWorld) -> None:
        first = await world.request("/long/x", "POST", b"[one]", request_id="t1")
        await world.settle(19.5)
        second = await world.request("/long/x", "POST", b"[two]", request_id="t2", Previous="t1")
        assert second.received_at - first.received_at > 40.0
        world.kill("e1")  # with its cache of turns
        world.start("e1")
        await world.settle(6.0)
        third = await world.request("/long/x", "POST", b"[three]", request_id="t3", Previous="t2")
        assert [first.status, second.status, third.status] == [200, 200, 200]

    run_in_world(tmp_path, {"b1": ["stream:1", "stream:2500", "stream:1"]}, scenario)
