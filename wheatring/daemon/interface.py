"""The protocol of a sidecar's parts for its features, reload and shutdown; used only for type annotations."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from wheatring.daemon.admin.server import AdminServer
    from wheatring.daemon.admin.service import AdminService
    from wheatring.daemon.config.platform_file import PlatformConfig
    from wheatring.daemon.core.clock import Clock
    from wheatring.daemon.core.driver import Driver
    from wheatring.daemon.core.exchange import Exchange
    from wheatring.daemon.http1.connection_pool import ConnectionPool
    from wheatring.daemon.http1.endpoint_list import EndpointList
    from wheatring.daemon.http1.server import Server
    from wheatring.daemon.operator_properties import OperatorProperties
    from wheatring.daemon.ops.audit import Audit
    from wheatring.daemon.ops.capture.ring import CaptureRing
    from wheatring.daemon.pools.pool_set import PoolSet
    from wheatring.daemon.serving_pool import ServingPool
    from wheatring.fleet.peers.fleet_runtime import FleetRuntime
    from wheatring.fleet.peers.list_sharing import ListSharing


class SidecarParts(Protocol):
    """The interface of `wheatring.daemon.sidecar.Sidecar` for the modules that extend it."""

    reactor: Any
    clock: Clock
    platform: PlatformConfig
    configuration_path: str | None
    operators: OperatorProperties
    first_operators: OperatorProperties
    cleanup: ExitStack
    exchange: Exchange
    driver: Driver
    server: Server
    serving: ServingPool
    pool: ConnectionPool
    endpoint_list: EndpointList
    connection_limit: int
    admin_service: AdminService | None
    admin_server: AdminServer | None
    audit: Audit | None
    ring: CaptureRing | None
    fleet: FleetRuntime | None
    list_sharing: ListSharing | None
    pools: PoolSet | None

    def connections_in_use(self) -> int:
        """Return the number of connections to callers and endpoints, including pending connects."""

    def set_connection_limit(self, connections: int) -> None:
        """Limit the connections of this process, as other processes of the sidecar use the rest."""

    def listen(self) -> None:
        """Start to accept callers' connections."""

    def record(self, event: str, actor: str) -> None:
        """Write an event to the audit log if it is enabled."""

    def apply_operators(self, operators: OperatorProperties) -> None:
        """Apply the operators' properties that may change at run time."""

    def finish(self) -> None:
        """Stop all parts and then the process."""
