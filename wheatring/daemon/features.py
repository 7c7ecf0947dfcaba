"""The optional features of a sidecar.

Each function adds one feature: it imports the feature's modules, so that a sidecar without it does not load
them, stores the feature in the sidecar, and registers its cleanup in `Sidecar.cleanup`. Functions that insert
a feature between the endpoint list and its receiver return the new receiver.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from wheatring.daemon.config.exceptions import ProjectFileError
from wheatring.daemon.configuration import list_pace, temporary_folder

if TYPE_CHECKING:  # modules of a feature are imported at run time only if it is enabled
    from wheatring.balancer.interface import View
    from wheatring.common.body import BodyMemory
    from wheatring.daemon.config.project_file import ProjectFile
    from wheatring.daemon.interface import SidecarParts

    OnView = Callable[[View], None]


def add_pools(
    sidecar: SidecarParts,
    configuration: ProjectFile,
    max_endpoint_connections: int,
    body_memory: BodyMemory,
    capture: bool,
) -> OnView:
    """Add several pools and the routes to them. Pools without a list of their own share the endpoint list.

    Raises
    ------
    ProjectFileError
        The routes can't be combined with the other options.
    """
    from wheatring.daemon.pools.connection_budget import ConnectionBudget
    from wheatring.daemon.pools.pool_set import PoolSet
    from wheatring.daemon.pools.routed_pool import PoolEnvironment

    path = sidecar.configuration_path
    assert path is not None
    if capture:
        raise ProjectFileError(f"{path}: route: not with --capture, which records one pool's decisions")
    platform = sidecar.platform
    environment = PoolEnvironment(
        reactor=sidecar.reactor,
        clock=sidecar.clock,
        caller_exchange=sidecar.exchange,
        settings=platform.settings,
        seed=platform.seed,
        platform_pool=sidecar.serving,
        budget=ConnectionBudget(max_endpoint_connections),
        body_memory=body_memory,
    )
    pools = sidecar.pools = PoolSet(environment, sidecar.server, list_pace(configuration), path)
    pools.start(configuration)
    sidecar.cleanup.callback(pools.stop)
    return pools.on_list


def add_admin(sidecar: SidecarParts, on_view: OnView) -> OnView:
    """Add the operators' calls, and apply their orders to the endpoint list from discovery."""
    from wheatring.daemon.admin.server import AdminServer
    from wheatring.daemon.admin.service import AdminService
    from wheatring.daemon.lifecycle.endpoint_overrides import EndpointOverrides
    from wheatring.daemon.lifecycle.handover import HandoverFolder

    if sidecar.pools is None:
        overrides = EndpointOverrides(on_view)
    else:
        from wheatring.daemon.pools.manual_overrides import AllPoolsOverrides

        overrides = AllPoolsOverrides(on_view, sidecar.pools)
    folder = HandoverFolder(temporary_folder(), sidecar.platform.name, round(sidecar.clock.now() * 1e9))
    service = sidecar.admin_service = AdminService(
        sidecar.clock, folder, overrides, sidecar.server, sidecar.connection_limit,
        sidecar.connections_in_use, sidecar.set_connection_limit, sidecar.listen,
    )  # fmt: skip
    server = sidecar.admin_server = AdminServer(sidecar.reactor, sidecar.clock, service)
    sidecar.cleanup.callback(service.stop)
    sidecar.cleanup.callback(server.close)
    return overrides.view


def add_audit(sidecar: SidecarParts) -> None:
    """Add the audit log."""
    from wheatring.daemon.ops.audit import Audit

    sidecar.audit = Audit(sidecar.platform.name, sidecar.clock, sidecar.first_operators.audit.file)
    sidecar.cleanup.callback(sidecar.audit.close)


def add_fleet(sidecar: SidecarParts, configuration: ProjectFile, on_view: OnView) -> OnView:
    """Add the exchange of messages with the other sidecars, and the roles that this one may acquire."""
    from wheatring.daemon.admin.dispatch import MAX_PLAN_BYTES
    from wheatring.fleet.peers.assembly import build_fleet
    from wheatring.fleet.peers.operator_calls import PlanCalls, role_calls

    set_weights = None if sidecar.pools is None else sidecar.pools.router.apply_plan_weights
    fleet, sharing = build_fleet(
        sidecar.reactor, sidecar.clock, sidecar.platform, configuration, on_view, set_weights
    )
    sidecar.fleet, sidecar.list_sharing = fleet, sharing
    if sidecar.admin_service is not None:
        sidecar.admin_service.roles = role_calls(fleet, configuration)
        if configuration.plan is not None and sidecar.admin_server is not None:
            sidecar.admin_service.plans = PlanCalls(fleet)
            sidecar.admin_server.max_body_bytes = MAX_PLAN_BYTES
    sidecar.cleanup.callback(fleet.close)
    return on_view if sharing is None else sharing.on_list


def add_capture(sidecar: SidecarParts) -> None:
    """Add the recording of all decisions and their inputs."""
    from wheatring.daemon.ops.capture import record
    from wheatring.daemon.ops.capture.ring import CaptureRing

    options, platform, clock = sidecar.first_operators.capture, sidecar.platform, sidecar.clock
    folder = options.folder or temporary_folder()
    is_shared = platform.control is not None
    ring = sidecar.ring = CaptureRing(
        folder, platform.name, options.files, options.size, clock, shared=is_shared
    )
    sidecar.cleanup.callback(ring.close)
    for line in record.header(platform.name, platform.seed, clock.unix_offset, platform.given):
        ring.write(line)
    sidecar.driver.decision_module = record.Recorder(
        sidecar.serving.balancer,
        clock.unix_offset,
        ring.write,
        sidecar.driver.correlation_id,
        sidecar.pool.idle_count,
    )
