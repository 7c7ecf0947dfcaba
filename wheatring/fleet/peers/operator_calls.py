"""The fleet as the operators' calls see it: its roles and its plan."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from wheatring.daemon.config import project_file
from wheatring.fleet.peers.fleet_runtime import FleetRuntime

MIN_WAIT_SECONDS = 1.0  # that an operator is told to wait for a turn to be out of service


class PlanCalls(NamedTuple):
    """Calls on the fleet's plan. Each returns the HTTP status and the JSON text of the answer."""

    runtime: FleetRuntime

    def status(self) -> dict[str, Any]:
        """Describe the plan."""
        return self.runtime.plan_status()

    def offer(self, body: bytes) -> tuple[int, str]:
        """Propose a plan."""
        http_status, answer = self.runtime.offer_plan(body)
        return http_status, json.dumps(answer)

    def set_format_floor(self, minimum: int) -> tuple[int, str]:
        """Set the lowest plan format that members have to read."""
        http_status, answer = self.runtime.set_format_floor(minimum)
        return http_status, json.dumps(answer)


class RoleCalls(NamedTuple):
    """Calls on roles.

    `request_turn` returns the seconds to wait for a turn to be out of service; 0: this sidecar has it, or
    needs none. `return_turn` gives the turn back.
    """

    status: Callable[[], dict[str, Any]]
    release: Callable[[str], bool | None]
    request_turn: Callable[[], float]
    return_turn: Callable[[], None]


def role_calls(runtime: FleetRuntime, configuration: project_file.ProjectFile) -> RoleCalls:
    """Make the calls on the roles that the file names."""
    turns = next((name for name, table in configuration.duty.items() if table.work == "turns"), "")

    def release(name: str) -> bool | None:
        """Release a role; None if the sidecar does not run it."""
        return runtime.release_role(name) if name in runtime.workers else None

    def request_turn() -> float:
        """Ask for the right to restart; return the seconds to wait, 0 if it is granted."""
        if not turns or runtime.active_epoch(turns) is not None:
            return 0.0
        runtime.set_wanted(turns, True)
        if runtime.active_epoch(turns) is not None:
            return 0.0
        return max(MIN_WAIT_SECONDS, runtime.timing.lease_seconds / 3)

    def return_turn() -> None:
        """Give the right to restart back."""
        if turns:
            runtime.set_wanted(turns, False)

    return RoleCalls(runtime.status, release, request_turn, return_turn)
