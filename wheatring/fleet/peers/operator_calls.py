"""Operator calls on the fleet: its roles and its plan."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from wheatring.daemon.config import project_file
from wheatring.fleet.peers.fleet_runtime import FleetRuntime

MIN_WAIT_SECONDS = 1.0  # shortest wait reported to a caller of `request_turn`


class PlanCalls(NamedTuple):
    """Operator calls on the fleet's plan; changes return the HTTP status and the JSON text of the answer."""

    runtime: FleetRuntime

    def status(self) -> dict[str, Any]:
        """Return the plan's status."""
        return self.runtime.plan_status()

    def offer(self, body: bytes) -> tuple[int, str]:
        """Propose a plan to the fleet."""
        http_status, answer = self.runtime.offer_plan(body)
        return http_status, json.dumps(answer)

    def set_format_floor(self, minimum: int) -> tuple[int, str]:
        """Set the minimum plan format that members have to support."""
        http_status, answer = self.runtime.set_format_floor(minimum)
        return http_status, json.dumps(answer)


class RoleCalls(NamedTuple):
    """Operator calls on roles.

    `request_turn` requests permission to restart, which one sidecar has at a time. It returns the seconds to
    wait; 0 if the permission is granted or not required. `return_turn` returns the permission.
    """

    status: Callable[[], dict[str, Any]]
    release: Callable[[str], bool | None]
    request_turn: Callable[[], float]
    return_turn: Callable[[], None]


def role_calls(runtime: FleetRuntime, configuration: project_file.ProjectFile) -> RoleCalls:
    """Create the calls on the configured roles."""
    restart_role = next((name for name, table in configuration.duty.items() if table.work == "turns"), "")

    def release(name: str) -> bool | None:
        """Release a role; return None if it isn't configured."""
        return runtime.release_role(name) if name in runtime.workers else None

    def request_turn() -> float:
        """Request permission to restart; return the seconds to wait, or 0 if it is granted."""
        if not restart_role or runtime.active_epoch(restart_role) is not None:
            return 0.0
        runtime.set_wanted(restart_role, True)
        if runtime.active_epoch(restart_role) is not None:
            return 0.0
        return max(MIN_WAIT_SECONDS, runtime.timing.lease_seconds / 3)

    def return_turn() -> None:
        """Return the permission to restart."""
        if restart_role:
            runtime.set_wanted(restart_role, False)

    return RoleCalls(runtime.status, release, request_turn, return_turn)
