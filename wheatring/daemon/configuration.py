"""Reads the project's configuration file at the start, and reloads all files of a sidecar on SIGHUP.

If a file can't be read or is invalid, the settings of its last valid version stay in force.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import TYPE_CHECKING

from wheatring.common import log
from wheatring.daemon import operator_properties
from wheatring.daemon.config import platform_file
from wheatring.daemon.config.exceptions import PlatformFileError, ProjectFileError, RestartRequiredError

if TYPE_CHECKING:  # imported at run time only if there is a configuration file
    from wheatring.daemon.config.project_file import InvalidKey, ProjectFile
    from wheatring.daemon.interface import SidecarParts
    from wheatring.daemon.lifecycle.list_request_schedule import RequestPace


def read_configuration(path: str | None) -> ProjectFile | None:
    """Read the project's configuration file; return None if `path` is None.

    Raises
    ------
    ProjectFileError
        The file can't be read or is invalid.
    """
    if path is None:
        return None
    from wheatring.daemon.config import project_file

    return project_file.read(path, first_invalid_route)


def first_invalid_route(configuration: ProjectFile) -> InvalidKey | None:
    """Return the first route key that the routing table rejects, with the reason; None if there is none."""
    if not configuration.route:
        return None
    from wheatring.daemon.pools.route_tables import first_invalid_key

    return first_invalid_key(configuration)


def list_pace(configuration: ProjectFile) -> RequestPace:
    """Return the rates of requests for the endpoint list from the file."""
    from wheatring.daemon.lifecycle.list_request_schedule import RequestPace

    table = configuration.list
    return RequestPace(table.first_per_s, table.first_longest, table.per_s, table.likely_per_s)


def temporary_folder() -> str:
    """Return the platform's temporary folder, which the processes of one sidecar share."""
    return os.environ.get("TMPDIR") or "/tmp"


def reload_all(sidecar: SidecarParts, environment: Mapping[str, str], operators_path: str | None) -> None:
    """Reload the operators', the project's and the platform's file, in this order."""
    reload_operators(sidecar, operators_path)
    reload_configuration(sidecar)
    reload_platform(sidecar, environment)


def reload_operators(sidecar: SidecarParts, path: str | None) -> None:
    """Reload the operators' file."""
    try:
        properties = operator_properties.read(path)
    except operator_properties.OperatorFileError as error:
        log.line("operators-not-reloaded", why=str(error), code=error.code)
        return
    if path is not None:
        sidecar.record("config", "operators")
    if properties != sidecar.operators:
        log.line("operators-reloaded")
        sidecar.apply_operators(properties)


def reload_configuration(sidecar: SidecarParts) -> None:
    """Reload the project's configuration file, if there is one."""
    try:
        configuration = read_configuration(sidecar.configuration_path)
        if configuration is None:
            return
        _reload_features(sidecar, configuration)
    except ProjectFileError as error:
        log.line("config-not-reloaded", why=str(error), code=error.code)
    else:
        sidecar.endpoint_list.request_schedule.pace = list_pace(configuration)
        log.line("config-reloaded")


def _reload_features(sidecar: SidecarParts, configuration: ProjectFile) -> None:
    """Apply the file to the pools and the fleet, or raise ProjectFileError with nothing applied."""
    pools = sidecar.pools
    if (pools is None) != (not configuration.route):
        raise RestartRequiredError(
            "route: adding the first route or removing the last one requires a restart"
        )
    if pools is not None and (why := pools.rejection(configuration)):  # before the fleet applies it
        raise ProjectFileError(why)
    if sidecar.fleet is not None:
        from wheatring.fleet.peers.reload import reload_fleet

        reload_fleet(sidecar.fleet, configuration)
    elif configuration.fleet is not None:
        raise RestartRequiredError("fleet: adding it requires a restart")
    if pools is not None:
        pools.reload(configuration, list_pace(configuration))


def reload_platform(sidecar: SidecarParts, environment: Mapping[str, str]) -> None:
    """Reload the platform's file, of which only the address of discovery is applied without a restart."""
    try:
        platform = platform_file.read(environment, is_reload=True)
    except PlatformFileError as error:
        log.line("not-reloaded", why=str(error), code=error.code)
        return
    sidecar.record("config", "platform")
    log.line("reloaded", discovery=":".join(map(str, platform.discovery)))
    if not sidecar.server.is_stopping:
        sidecar.endpoint_list.change_discovery(platform.discovery)
