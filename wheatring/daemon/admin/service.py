"""Carries out the operators' calls, in this process and by shared files in another one of the same sidecar.

It connects the decisions of `wheatring.daemon.lifecycle` to what they steer: the endpoint list that the
balancer sees, the connections of callers, and the connections that all processes of the sidecar may have.
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

POLL_INTERVAL_SECONDS = 0.1  # between two looks at the shared files; the rules on drains leave 2.5 s
CLOSE_INTERVAL_SECONDS = 0.05  # between two rounds of closing connections in a drain
# A new process serves once it has this part of the connections, or after so many seconds in any case: an
# older process that hangs must not keep the new one out.
MIN_CONNECTION_SHARE = 0.25
MAX_OPEN_DELAY_SECONDS = 2.0


class CallerServer(Protocol):
    """What is steered of the server that callers connect to."""

    is_out_of_service: bool  # callers are told to go elsewhere
    listener: Any
    is_stopping: bool

    def idle_connections(self) -> list[Any]:
        """Return the connections that are open."""

    def close_idle(self, keep: int, idle_seconds: float) -> None:
        """Close idle connections down to `keep`, of those that were idle for `idle_seconds`."""


class RoleOperations(Protocol):
    """The fleet's singleton roles, as far as operators ask for them."""

    @property
    def status(self) -> Callable[[], dict[str, Any]]:
        """Describe the fleet and its roles."""

    @property
    def release(self) -> Callable[[str], bool | None]:
        """Release the lease of a role. False: it is not held here. None: there is no such role."""

    @property
    def request_turn(self) -> Callable[[], float]:
        """Ask for a turn to be out of service: the seconds to wait for it; 0: this sidecar has it."""

    @property
    def return_turn(self) -> Callable[[], None]:
        """Give the turn back."""


class PlanOperations(Protocol):
    """The fleet's plan, as far as operators ask for it."""

    def status(self) -> dict[str, Any]:
        """Describe the plan."""

    def offer(self, body: bytes) -> tuple[int, str]:
        """Offer a plan to the fleet, and return the answer's status and its line."""

    def set_format_floor(self, minimum: int) -> tuple[int, str]:
        """Set the lowest plan format that members have to read, and return status and line."""


class AdminService:
    """Puts into force what operators call. Implements `dispatch.Operations`.

    Parameters
    ----------
    clock
        The process's clock.
    folder
        The files that all processes of this sidecar share.
    overrides
        What operators have ordered of endpoints, applied to each endpoint list.
    server
        The server that callers connect to.
    max_connections
        Of all processes of this sidecar together.
    connections_in_use
        Returns how many connections this process has now.
    set_connection_limit
        Sets how many this process may have from now on.
    open_server
        Lets callers in.
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
        self.turn_wait_seconds = 0.0  # as the last call for a turn was answered

    def start(self) -> None:
        """Put the orders of before into force.

        Called before the first endpoint list is read, so that no endpoint that is offline is ever sent to.
        """
        self.share_connections()
        if (orders := self.folder.changed_orders()) is not None:
            self.apply(orders)

    def serve(self) -> None:
        """Let callers in as soon as there are connections for them. Called once there is an endpoint list."""
        self.poll()

    def stop(self) -> None:
        """Leave the files that the processes share."""
        self.is_stopped = True
        self.folder.leave()

    # Calls

    def is_ready(self) -> bool:
        """Return whether callers are let in."""
        return self.server.listener is not None and not self.server.is_stopping

    def take_offline(self, endpoint: str) -> bool:
        """Send an endpoint nothing new. False: none has that id."""
        if not self.overrides.knows(endpoint):
            return False
        self.change_orders(lambda orders: OperatorOrders(orders.offline | {endpoint}, orders.out_of_service))
        return True

    def bring_online(self, endpoint: str) -> bool:
        """Send an endpoint requests again. False: none has that id."""
        if not self.overrides.knows(endpoint):
            return False
        self.change_orders(lambda orders: OperatorOrders(orders.offline - {endpoint}, orders.out_of_service))
        return True

    def take_out_of_service(self) -> bool:
        """Drain this sidecar. False: it has to wait for its turn."""
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
        """Return the seconds after which to ask again for what is not in force yet; 0: not known."""
        return self.turn_wait_seconds

    def roles_status(self) -> str | None:
        """Return the fleet as this sidecar knows it, as JSON. None: it has none."""
        return None if self.roles is None else json.dumps(self.roles.status())

    def release_role(self, role: str) -> bool | None:
        """Release the lease of a role. False: it is not held here. None: there is no such role."""
        return None if self.roles is None else self.roles.release(role)

    def plan_status(self) -> str | None:
        """Return the fleet's plan as this sidecar knows it, as JSON. None: it has none."""
        return None if self.plans is None else json.dumps(self.plans.status())

    def offer_plan(self, body: bytes) -> tuple[int, str]:
        """Offer a plan to the fleet, and return the answer's status and its line."""
        return (404, "no plan") if self.plans is None else self.plans.offer(body)

    def set_format_floor(self, minimum: int) -> tuple[int, str]:
        """Set the lowest plan format that members have to read, and return status and line."""
        return (404, "no plan") if self.plans is None else self.plans.set_format_floor(minimum)

    # Orders in force

    def change_orders(self, edit: Callable[[OperatorOrders], OperatorOrders]) -> None:
        """Change the orders in the shared files, and put them into force in this process."""
        self.apply(self.folder.change(edit, self.orders))

    def apply(self, orders: OperatorOrders) -> None:
        """Put orders into force in this process, and log what they change."""
        now, before = self.clock.now(), self.orders
        self.orders = orders
        changed = sorted(before.offline ^ orders.offline)
        if changed:
            self.overrides.set_offline(now, orders.offline)
        for endpoint in changed:
            log.line("endpoint", node=endpoint, offline=int(endpoint in orders.offline))
        if orders.out_of_service != before.out_of_service:
            self.server.is_out_of_service = orders.out_of_service
            log.line("service", out=int(orders.out_of_service))
            self.drain = Drain(now, len(self.server.idle_connections())) if orders.out_of_service else None
            if self.drain is not None:
                self._close_idle_connections(self.drain)

    def _close_idle_connections(self, drain: Drain) -> None:
        """Close connections as the drain goes on, for as long as it is the one in force."""
        if drain is self.drain and not self.is_stopped and not self.server.is_stopping:
            self.server.close_idle(drain.max_idle(self.clock.now()), MIN_IDLE_SECONDS)
            self.clock.at(self.clock.now() + CLOSE_INTERVAL_SECONDS, self._close_idle_connections, drain)

    # The other processes of this sidecar

    @property
    def has_successor(self) -> bool:
        """Whether a newer process of this sidecar runs."""
        return any(other.started_ns > self.folder.started_ns for other in self.other_processes)

    def poll(self) -> None:
        """Take up what other processes wrote to the shared files, and open the server once possible."""
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
            drawn = self.server.listener.direct_to_newcomer()
            log.line("upgrade", part="newer", drawn=int(drawn), others=len(self.other_processes))

    def share_connections(self) -> None:
        """Set how many connections this process may have beside the others."""
        had_successor = self.has_successor
        in_use, stopping = self.connections_in_use(), self.server.is_stopping
        self.connection_limit, self.other_processes = self.folder.publish_limit(
            lambda newest, others: descriptor_limit(self.max_connections, in_use, newest, stopping, others)
        )
        self.set_connection_limit(self.connection_limit)
        if self.has_successor and not had_successor:
            log.line("upgrade", part="older", ceiling=self.connection_limit, held=in_use)
