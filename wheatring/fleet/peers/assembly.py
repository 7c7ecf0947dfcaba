"""Builds a sidecar's fleet runtime from the platform's settings and the configuration file."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import inf
from random import Random
from typing import Any

from wheatring.balancer.interface import View
from wheatring.common import address, log
from wheatring.daemon.config import platform_file, project_file
from wheatring.daemon.core.clock import Clock
from wheatring.fleet.lease.singleton_role import RoleSettings
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet, first_voters
from wheatring.fleet.members.messages import MemberInfo
from wheatring.fleet.peers.fleet_runtime import FleetRuntime
from wheatring.fleet.peers.list_sharing import ListSharing
from wheatring.fleet.peers.options import FleetOptions, PlanOptions
from wheatring.fleet.peers.role_workers import HttpRoleWorker, PassiveWorker, RoleWorker

SetWeights = Callable[[str, Mapping[str, int]], None]


def build_fleet(
    reactor: Any,
    clock: Clock,
    platform: platform_file.PlatformConfig,
    configuration: project_file.ProjectFile,
    on_view: Callable[[View], None],
    set_weights: SetWeights | None = None,
) -> tuple[FleetRuntime, ListSharing | None]:
    """Build the fleet's runtime, and the endpoint list sharing if a role is configured for it.

    The runtime joins the fleet with `FleetRuntime.start`.

    Parameters
    ----------
    on_view : Callable[[View], None]
        Called with each update of the endpoint list, if sharing it is a role.
    set_weights : SetWeights | None
        Called with a route and its weights when the fleet's plan changes them.

    Raises
    ------
    ProjectFileError
        The key file is not usable.
    """
    random = Random(f"{platform.seed}:fleet")
    runtime = FleetRuntime(reactor, clock, fleet_options(platform, configuration, set_weights), random)
    settings = platform.settings
    workers: dict[str, RoleWorker] = {}
    sharing = None
    for name, table in configuration.duty.items():
        if table.work == "list":
            sharing = ListSharing(
                clock, runtime, name, settings.balancer_count, settings.balancer_index, on_view
            )
            workers[name] = sharing
        else:
            workers[name] = role_worker(reactor, clock, runtime, name, table)
    runtime.workers, runtime.started_with = workers, configuration
    return runtime, sharing


def fleet_options(
    platform: platform_file.PlatformConfig,
    configuration: project_file.ProjectFile,
    set_weights: SetWeights | None,
) -> FleetOptions:
    """Derive this sidecar's fleet options from the files; raise KeyFileError if the keys are not usable."""
    fleet = configuration.fleet
    assert fleet is not None
    voters = voters_of(fleet)
    own_address = address.parse(fleet.address or fleet.listen)
    roles = [
        RoleSettings(name, table.places, table.near, table.idle or inf, on_request=table.work == "turns")
        for name, table in configuration.duty.items()
    ]
    if fleet.view:
        from wheatring.fleet.peers.agreement import LEADER_SETTINGS

        roles.append(LEADER_SETTINGS)
    plan = None if configuration.plan is None else plan_options(configuration.plan, set_weights)
    return FleetOptions(
        fleet=fleet.name,
        me=MemberInfo(
            platform.name, *own_address, platform.settings.balancer_index, 0, fleet.zone, voters.digest
        ),
        listen=address.parse(fleet.listen),
        seeds=[address.parse(seed) for seed in fleet.seeds],
        voters=voters,
        roles=roles,
        timing=LeaseTiming(fleet.term),
        keys=project_file.read_keys(fleet.key_file),
        view=fleet.view,
        plan=plan,
    )


def plan_options(plan: project_file.PlanTable, set_weights: SetWeights | None) -> PlanOptions:
    """Derive the plan options from the file; raise ProjectFileError if the first plan is not usable."""

    def write_log(event: str, fields: dict[str, Any]) -> None:
        """Log an event of the plan."""
        log.line(event, **fields)

    formats = None if plan.formats is None else tuple(plan.formats)
    first_plan = b"" if plan.file is None else project_file.read_plan(plan.file)
    return PlanOptions(formats, set_weights or (lambda _route, _weights: None), write_log, first_plan)


def role_worker(
    reactor: Any, clock: Clock, runtime: FleetRuntime, name: str, table: project_file.RoleTable
) -> RoleWorker:
    """Build the worker of a role, except for endpoint list sharing."""
    if table.call is None:
        return PassiveWorker()
    return HttpRoleWorker(reactor, clock, runtime, name, address.parse(table.call), table.path, table.every)


def voters_of(fleet: project_file.FleetTable) -> VoterSet:
    """Return the voters, and those of a change in progress, from the file's table."""

    def names(value: int | list[str] | None) -> tuple[str, ...]:
        """Return the voters that a setting names, or the first ones if it is a number."""
        if isinstance(value, int):
            return first_voters(value)
        return tuple(value or ())

    return VoterSet(names(fleet.voters), names(fleet.voters_next))
