"""Carries out operators' calls in this process and, through shared files, in others of the same sidecar.

Applies the decisions of `wheatring.daemon.lifecycle` to the endpoint list of the balancer, to the callers'
connections, and to the connection limits of all processes of the sidecar.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

from wheatring.common import log
from wheatring.daemon.core.clock import Clock
from wheatring.daemon.lifecycle.descriptor_limit import descriptor_limit
from wheatring.daemon.lifecycle.drain import MIN_IDLE_SECONDS, Drain
from wheatring.daemon.lifecycle.endpoint_overrides import EndpointOverrides
from wheatring.daemon.lifecycle.handover import HandoverFolder, OtherProcess
from wheatring.daemon.lifecycle.operator_orders import OperatorOrders

POLL_INTERVAL_SECONDS = 0.1  # interval of reading the shared files; the rules on drains allow 2.5 s
CLOSE_INTERVAL_SECONDS = 0.05  # interval of closing idle connections during a drain
# A new process serves once its limit is this share of the connections, or after MAX_OPEN_DELAY_SECONDS in any
# case: an older process that hangs must not prevent the new one from serving.
MIN_CONNECTION_SHARE = 0.25
MAX_OPEN_DELAY_SECONDS = 2.0


class CallerServer(Protocol):
    """The part of the callers' server that operators' calls use."""

    is_out_of_service: bool  # health checks fail, and each response closes its connection
    listener: Any
    is_stopping: bool

    def idle_connections(self) -> list[Any]:
        """Return the idle connections, the longest idle first."""

    def close_idle(self, keep: int, min_idle_seconds: float) -> None:
        """Close connections idle for at least `min_idle_seconds`, until `keep` idle ones are left."""


class RoleOperations(Protocol):
    """The operators' calls on the fleet's singleton roles and on turns to be out of service."""

    @property
    def status(self) -> Callable[[], dict[str, Any]]:
        """Describe the fleet and its roles."""

    @property
    def release(self) -> Callable[[str], bool | None]:
        """Release the lease of a role. False: it is not held here. None: there is no such role."""

    @property
    def request_turn(self) -> Callable[[], float]:
        """Request a turn to be out of service; returns the seconds to wait, or 0 if it is granted."""

    @property
    def return_turn(self) -> Callable[[], None]:
        """Release the turn."""


class PlanOperations(Protocol):
    """The operators' calls on the fleet's plan."""

    def status(self) -> dict[str, Any]:
        """Describe the plan."""

    def offer(self, body: bytes) -> tuple[int, str]:
        """Offer a plan to the fleet; return the reply's status and line."""

    def set_format_floor(self, minimum: int) -> tuple[int, str]:
        """Set the lowest plan format that members must support; return the reply's status and line."""


class AdminService:
    """Carries out operators' calls. Implements `dispatch.Operations`.

    Parameters
    ----------
    clock
        The process's clock.
    folder
        The files that all processes of this sidecar share.
    overrides
        Applies the operators' orders on endpoints to each endpoint list.
    server
        The server that callers connect to.
    max_connections
        The connection limit of all processes of this sidecar together.
    connections_in_use
        Returns the number of connections of this process.
    set_connection_limit
        Sets the connection limit of this process.
    open_server
        Starts to accept callers' connections.
    """

    def __init__(
        self,
        clock: Clock,
        folder: HandoverFolder,
        overrides: EndpointOverrides,
        server: CallerServer,
        max_connections: int,
        connections_in_use: Callable[[], int],
        set_connection_limit: Callable[[int], None],
        open_server: Callable[[], None],
    ) -> None:
        self.clock = clock
        self.folder = folder
        self.overrides = overrides
        self.server = server
        self.max_connections = max_connections
        self.connections_in_use = connections_in_use
        self.set_connection_limit = set_connection_limit
        self.open_server = open_server
        self.orders = OperatorOrders()
        self.drain: Drain | None = None
        self.other_processes: list[OtherProcess] = []
        self.connection_limit = max_connections
        self.started_at = clock.now()
        self.is_open = False
        self.is_stopped = False
        self.roles: RoleOperations | None = None
        self.plans: PlanOperations | None = None
        self.turn_wait_seconds = 0.0  # from the reply to the last request for a turn

    def start(self) -> None:
        """Apply the stored orders.

        Called before the first endpoint list is read, so that no request goes to an endpoint that is offline.
        """
        self.share_connections()
        if (orders := self.folder.changed_orders()) is not None:
            self.apply(orders)

    def serve(self) -> None:
        """Open the server as soon as the connection limit permits. Called once there is an endpoint list."""
        self.poll()

    def stop(self) -> None:
        """Remove this process from the shared files."""
        self.is_stopped = True
        self.folder.leave()

    # Calls

    def is_ready(self) -> bool:
        """Return whether callers' connections are accepted."""
        return self.server.listener is not None and not self.server.is_stopping

    def take_offline(self, endpoint: str) -> bool:
        """Stop sending new requests to an endpoint. False: there is no such endpoint."""
        if not self.overrides.knows(endpoint):
            return False
        self.change_orders(lambda orders: OperatorOrders(orders.offline | {endpoint}, orders.out_of_service))
        return True

    def bring_online(self, endpoint: str) -> bool:
        """Resume sending requests to an endpoint. False: there is no such endpoint."""
        if not self.overrides.knows(endpoint):
            return False
        self.change_orders(lambda orders: OperatorOrders(orders.offline - {endpoint}, orders.out_of_service))
        return True

    def take_out_of_service(self) -> bool:
        """Drain this sidecar. False: it must wait until other sidecars are back in service."""
        if self.roles is None or self.orders.out_of_service:
            self.turn_wait_seconds = 0.0
        else:
            self.turn_wait_seconds = self.roles.request_turn()
        if self.turn_wait_seconds:
            return False
        self.change_orders(lambda orders: OperatorOrders(orders.offline, True))
        return True

    def return_to_service(self) -> bool:
        """End the drain of this sidecar."""
        if self.roles is not None:
            self.roles.return_turn()
        self.change_orders(lambda orders: OperatorOrders(orders.offline, False))
        return True

    def retry_seconds(self) -> float:
        """Return the seconds after which to retry a call that has not taken effect yet; 0 if unknown."""
        return self.turn_wait_seconds

    def roles_status(self) -> str | None:
        """Return the fleet's state as known to this sidecar, as JSON. None: there is no fleet."""
        return None if self.roles is None else json.dumps(self.roles.status())

    def release_role(self, role: str) -> bool | None:
        """Release the lease of a role. False: it is not held here. None: there is no such role."""
        return None if self.roles is None else self.roles.release(role)

    def plan_status(self) -> str | None:
        """Return the fleet's plan as known to this sidecar, as JSON. None: there is no plan."""
        return None if self.plans is None else json.dumps(self.plans.status())

    def offer_plan(self, body: bytes) -> tuple[int, str]:
        """Offer a plan to the fleet; return the reply's status and line."""
        return (404, "no plan") if self.plans is None else self.plans.offer(body)

    def set_format_floor(self, minimum: int) -> tuple[int, str]:
        """Set the lowest plan format that members must support; return the reply's status and line."""
        return (404, "no plan") if self.plans is None else self.plans.set_format_floor(minimum)

    # Orders in force

    def change_orders(self, edit: Callable[[OperatorOrders], OperatorOrders]) -> None:
        """Change the orders in the shared file, and apply them in this process."""
        self.apply(self.folder.change(edit, self.orders))

    def apply(self, orders: OperatorOrders) -> None:
        """Apply orders in this process, and log the changes."""
        now, previous = self.clock.now(), self.orders
        self.orders = orders
        changed = sorted(previous.offline ^ orders.offline)
        if changed:
            self.overrides.set_offline(now, orders.offline)
        for endpoint in changed:
            log.line("endpoint", node=endpoint, offline=int(endpoint in orders.offline))
        if orders.out_of_service != previous.out_of_service:
            self.server.is_out_of_service = orders.out_of_service
            log.line("service", out=int(orders.out_of_service))
            self.drain = Drain(now, len(self.server.idle_connections())) if orders.out_of_service else None
            if self.drain is not None:
                self._close_idle_connections(self.drain)

    def _close_idle_connections(self, drain: Drain) -> None:
        """Close idle connections repeatedly until the drain ends or is replaced."""
        if drain is self.drain and not self.is_stopped and not self.server.is_stopping:
            self.server.close_idle(drain.max_idle(self.clock.now()), MIN_IDLE_SECONDS)
            self.clock.at(self.clock.now() + CLOSE_INTERVAL_SECONDS, self._close_idle_connections, drain)

    # The other processes of this sidecar

    @property
    def has_successor(self) -> bool:
        """Whether a newer process of this sidecar runs."""
        return any(other.started_ns > self.folder.started_ns for other in self.other_processes)

    def poll(self) -> None:
        """Apply changes of the shared files periodically, and open the server once possible."""
        if self.is_stopped:
            return
        self.clock.at(self.clock.now() + POLL_INTERVAL_SECONDS, self.poll)
        if (orders := self.folder.changed_orders()) is not None:
            self.apply(orders)
        if self.other_processes or not self.folder.is_only_process():
            self.share_connections()
        if not self.is_open and not self.server.is_stopping:
            is_overdue = self.clock.now() - self.started_at >= MAX_OPEN_DELAY_SECONDS
            if self.connection_limit >= MIN_CONNECTION_SHARE * self.max_connections or is_overdue:
                self._open()

    def _open(self) -> None:
        self.is_open = True
        self.open_server()
        if self.other_processes and self.server.listener is not None:
            is_directed = self.server.listener.direct_to_new_process()
            log.line("upgrade", part="newer", drawn=int(is_directed), others=len(self.other_processes))

    def share_connections(self) -> None:
        """Update the connection limits of this process and the others."""
        had_successor = self.has_successor
        in_use, is_stopping = self.connections_in_use(), self.server.is_stopping
        self.connection_limit, self.other_processes = self.folder.publish_limit(
            lambda is_newest, other_limits: descriptor_limit(
                self.max_connections, in_use, is_newest, is_stopping, other_limits
            )
        )
        self.set_connection_limit(self.connection_limit)
        if self.has_successor and not had_successor:
            log.line("upgrade", part="older", ceiling=self.connection_limit, held=in_use)
