"""Endpoints get only the remaining time as their deadline, and every request ends at its own deadline."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import pytest

from tests.tier.sidecar.test_request_service import run_in_world
from tests.tier.sidecar_world import ReceivedResponse, SidecarWorld

ROUTE_TIMEOUT_SECONDS = 2.0  # as in the routes of SidecarWorld
FINAL_RESPONSE_SECONDS = 0.5  # A final response must arrive within this time after the deadline.
ROUNDING_SECONDS = 0.002
WARM_UP_REQUESTS = 60
NO_HEADERS: dict[str, str] = {}
TWO_ENDPOINTS = {"b1": ["ok"], "b2": ["ok"]}


async def send_timed_request(
    world: SidecarWorld, path: str, headers: Mapping[str, str] = NO_HEADERS
) -> tuple[ReceivedResponse, float]:
    """Send a request; return the response, and its latency in seconds."""
    started_at = world.loop.time()
    received = await world.request(path, "GET", b"", request_id="q", **headers)
    return received, received.received_at - started_at


def set_shared_script(world: SidecarWorld, *script: str) -> None:
    """Let all endpoints share one script, so that it applies in order of the requests."""
    shared = list(script)
    for endpoint in world.endpoints.values():
        endpoint.script = shared


def sent_deadlines(world: SidecarWorld) -> list[float]:
    """Return the deadline in seconds that each attempt was sent with, in the order of the attempts."""
    runs = [run for endpoint in world.endpoints.values() for run in endpoint.runs]
    return sorted((int(run.headers[b"wheatring-deadline-ms"]) / 1000 for run in runs), reverse=True)


@pytest.mark.parametrize("path", ["/safe/x", "/resume/x"])
@pytest.mark.parametrize("first_behaviour", ["silent", "reset", "error"])
def test_retry_is_sent_with_the_remaining_time(tmp_path: Path, path: str, first_behaviour: str) -> None:
    async def scenario(world: SidecarWorld) -> None:
        usual_behaviour = "stream:3" if "resume" in path else "ok"
        set_shared_script(world, usual_behaviour)
        for number in range(WARM_UP_REQUESTS):  # The head time-out requires a known usual latency.
            await world.request(path, request_id=f"w{number}")
        for endpoint in world.endpoints.values():
            endpoint.runs.clear()
        set_shared_script(world, first_behaviour, usual_behaviour)
        started_at = world.loop.time()
        received, _ = await send_timed_request(world, path, {"Wheatring_Deadline_Ms": "1500"})
        assert received.status == 200
        first_deadline, second_deadline = sent_deadlines(world)
        assert first_deadline <= 1.5
        elapsed = world.loop.time() - started_at
        assert second_deadline <= 1.5
        if first_behaviour == "silent":
            assert second_deadline < first_deadline  # by the time-out of the first attempt
        assert second_deadline >= 1.5 - elapsed - ROUNDING_SECONDS

    run_in_world(tmp_path, TWO_ENDPOINTS, scenario)


def test_resumed_stream_is_sent_with_the_remaining_time(tmp_path: Path) -> None:
    async def scenario(world: SidecarWorld) -> None:
        set_shared_script(world, "cut:20", "stream:30")
        received, _ = await send_timed_request(world, "/resume/x")
        assert received.is_complete and len(received.events) == 30
        first_deadline, second_deadline = sent_deadlines(world)
        assert first_deadline <= ROUTE_TIMEOUT_SECONDS
        assert second_deadline <= ROUTE_TIMEOUT_SECONDS - 0.2 + ROUNDING_SECONDS  # twenty events at 10 ms

    run_in_world(tmp_path, TWO_ENDPOINTS, scenario)


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/once/x", "/stream/x", "/resume/x", "/turns/x"])
@pytest.mark.parametrize("behaviour", ["silent", "slow:60", "stream:100000"])
@pytest.mark.parametrize("deadline_ms", ["", "700"])
def test_every_request_ends_shortly_after_its_deadline(
    tmp_path: Path, path: str, behaviour: str, deadline_ms: str
) -> None:
    async def scenario(world: SidecarWorld) -> None:
        set_shared_script(world, behaviour)
        headers = {"Wheatring_Deadline_Ms": deadline_ms} if deadline_ms else {}
        received, latency_seconds = await send_timed_request(world, path, headers)
        limit = float(deadline_ms or ROUTE_TIMEOUT_SECONDS * 1000) / 1000
        assert latency_seconds <= limit + FINAL_RESPONSE_SECONDS
        assert not (received.status == 200 and received.is_complete)

    run_in_world(tmp_path, TWO_ENDPOINTS, scenario)


@pytest.mark.parametrize("previous", ["", "t-before"])
def test_turn_ends_shortly_after_its_deadline_while_storage_is_unreachable(
    tmp_path: Path, previous: str
) -> None:
    async def scenario(world: SidecarWorld) -> None:
        set_shared_script(world, "stream:3")
        world.cut("e1", ["s1"])
        headers = {"Program": "p", "Budget": "100"} | ({"Previous": previous} if previous else {})
        received, latency_seconds = await send_timed_request(world, "/turns/x", headers)
        assert latency_seconds <= ROUTE_TIMEOUT_SECONDS + FINAL_RESPONSE_SECONDS
        assert received.status == 503 or not received.is_complete

    run_in_world(tmp_path, TWO_ENDPOINTS, scenario)
