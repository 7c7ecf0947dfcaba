"""The operators' calls on the fleet's plan: each is answered, and a plan is never offered in part."""

from __future__ import annotations

import json
from typing import Any

import pytest

from tests.daemon.admin.test_service import call, connect, make_world  # noqa: F401
from tests.support.world import World
from wheatring.daemon.admin import dispatch


class FakePlanOperations:
    """A fake of the fleet's plan operations."""

    def __init__(self) -> None:
        self.offered: list[bytes] = []

    def status(self) -> dict[str, Any]:
        return {"number": len(self.offered)}

    def offer(self, body: bytes) -> tuple[int, str]:
        self.offered.append(body)
        return 202, "offered"

    def set_format_floor(self, minimum: int) -> tuple[int, str]:
        return (200, f"floor {minimum}") if minimum < 3 else (409, "plan-floor-in-use: plan 4 needs format 2")


def send_call(world: World, method: str, path: str, body: bytes = b"") -> tuple[int, str]:
    wire = connect(world)
    head = f"{method} /control/{path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    wire.send(head.encode() + body)
    status_line, _, response_body = wire.read()
    return int(status_line.split()[1]), response_body.decode()


def test_plan_calls_to_a_sidecar_without_a_plan_are_not_found(make_world: Any) -> None:  # noqa: F811
    world = make_world()
    assert call(world, "plan", "GET") == call(world, "plan", "POST") == call(world, "plan/floor/2") == 404


def test_a_plan_is_offered_completely_and_its_status_is_shown(make_world: Any) -> None:  # noqa: F811
    world = make_world()
    plans = world.sidecar.admin_service.plans = FakePlanOperations()
    world.sidecar.admin_server.max_body_bytes = dispatch.MAX_PLAN_BYTES
    body = json.dumps({"format": 1, "routes": ["x" * 200_000]}).encode()
    assert send_call(world, "POST", "plan", body)[0] == 202 and plans.offered == [body]
    assert json.loads(send_call(world, "GET", "plan")[1]) == {"number": 1}
    assert send_call(world, "PUT", "plan", b"x")[0] == 405
    assert (
        send_call(world, "POST", "plan", b"x" * (dispatch.MAX_PLAN_BYTES + 1))[0] == 400
        and len(plans.offered) == 1
    )


@pytest.mark.parametrize(("minimum", "status"), [("2", 200), ("3", 409), ("-1", 400), ("9999", 400)])
def test_the_minimum_format_must_be_a_small_integer(make_world: Any, minimum: str, status: int) -> None:  # noqa: F811
    world = make_world()
    world.sidecar.admin_service.plans = FakePlanOperations()
    assert send_call(world, "POST", f"plan/floor/{minimum}")[0] == status
    assert send_call(world, "GET", f"plan/floor/{minimum}")[0] == 405
