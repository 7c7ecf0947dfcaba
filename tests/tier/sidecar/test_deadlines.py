"""No endpoint is given more time than is left, and no client waits beyond its route's time."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import pytest

from tests.tier.sidecar.test_request_service import play
from tests.tier.sidecar_world import Received, SidecarWorld

ROUTE_SECONDS = 2.0  # the time-out of the world's routes
FINAL_ANSWER_SECONDS = 0.5  # after the time-out, in which an answer has to be there
ROUNDING_SECONDS = 0.002
WARM_UP_REQUESTS = 60
NO_HEADERS: dict[str, str] = {}
BOTH = {"b1": ["ok"], "b2": ["ok"]}


async def timed(
    world: SidecarWorld, path: str, headers: Mapping[str, str] = NO_HEADERS
) -> tuple[Received, float]:
    """Send a request; return what came, and after how many seconds."""
    began = world.loop.time()
    received = await world.request(path, "GET", b"", ident="q", **headers)
    return received, received.at - began


def share_script(world: SidecarWorld, *script: str) -> None:
    """Have both endpoints answer by one script, whichever is asked first."""
    shared = list(script)
    for endpoint in world.endpoints.values():
        endpoint.script = shared


def given_deadlines(world: SidecarWorld) -> list[float]:
    """Return the seconds that each attempt was given, in the order of the attempts."""
    runs = [ran for endpoint in world.endpoints.values() for ran in endpoint.ran]
    return sorted((int(ran.headers[b"wheatring-deadline-ms"]) / 1000 for ran in runs), reverse=True)


@pytest.mark.parametrize("path", ["/safe/x", "/resume/x"])
@pytest.mark.parametrize("first", ["silent", "reset", "error"])
def test_a_later_attempt_is_given_only_what_is_left(tmp_path: Path, path: str, first: str) -> None:
    async def work(world: SidecarWorld) -> None:
        usual = "stream:3" if "resume" in path else "ok"
        share_script(world, usual)
        for number in range(WARM_UP_REQUESTS):  # silence is told by what is usual
            await world.request(path, ident=f"w{number}")
        for endpoint in world.endpoints.values():
            endpoint.ran.clear()
        share_script(world, first, usual)
        began = world.loop.time()
        received, _ = await timed(world, path, {"Wheatring_Deadline_Ms": "1500"})
        assert received.status == 200
        first_given, second_given = given_deadlines(world)
        assert first_given <= 1.5
        spent = world.loop.time() - began
        assert second_given <= 1.5
        if first == "silent":
            assert second_given < first_given  # by what the wait for the first one took
        assert second_given >= 1.5 - spent - ROUNDING_SECONDS

    play(tmp_path, BOTH, work)


def test_the_rest_of_a_stream_is_given_only_what_is_left(tmp_path: Path) -> None:
    async def work(world: SidecarWorld) -> None:
        share_script(world, "cut:20", "stream:30")
        received, _ = await timed(world, "/resume/x")
        assert received.whole and len(received.events) == 30
        first_given, second_given = given_deadlines(world)
        assert first_given <= ROUTE_SECONDS
        assert second_given <= ROUTE_SECONDS - 0.2 + ROUNDING_SECONDS  # twenty events at 10 ms

    play(tmp_path, BOTH, work)


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/once/x", "/stream/x", "/resume/x", "/turns/x"])
@pytest.mark.parametrize("how", ["silent", "slow:60", "stream:100000"])
@pytest.mark.parametrize("allowed_ms", ["", "700"])
def test_every_request_ends_soon_after_its_time(tmp_path: Path, path: str, how: str, allowed_ms: str) -> None:
    async def work(world: SidecarWorld) -> None:
        share_script(world, how)
        headers = {"Wheatring_Deadline_Ms": allowed_ms} if allowed_ms else {}
        received, seconds = await timed(world, path, headers)
        limit = float(allowed_ms or ROUTE_SECONDS * 1000) / 1000
        assert seconds <= limit + FINAL_ANSWER_SECONDS
        assert not (received.status == 200 and received.whole)

    play(tmp_path, BOTH, work)


@pytest.mark.parametrize("previous", ["", "t-before"])
def test_a_turn_ends_soon_after_its_time_while_storage_is_silent(tmp_path: Path, previous: str) -> None:
    async def work(world: SidecarWorld) -> None:
        share_script(world, "stream:3")
        world.cut("e1", ["s1"])
        headers = {"Program": "p", "Budget": "100"} | ({"Previous": previous} if previous else {})
        received, seconds = await timed(world, "/turns/x", headers)
        assert seconds <= ROUTE_SECONDS + FINAL_ANSWER_SECONDS
        assert received.status == 503 or not received.whole

    play(tmp_path, BOTH, work)
