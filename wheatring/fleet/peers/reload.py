"""Applies a reloaded configuration file to the running fleet runtime."""

from __future__ import annotations

from msgspec import structs

from wheatring.daemon.config import project_file
from wheatring.daemon.config.exceptions import RestartRequiredError, VotersInForceError
from wheatring.fleet.peers.assembly import voters_of
from wheatring.fleet.peers.fleet_runtime import FleetRuntime

RELOADABLE_KEYS = frozenset({"voters", "voters_next", "key_file"})  # keys of the table `[fleet]`


def reload_fleet(runtime: FleetRuntime, configuration: project_file.ProjectFile) -> None:
    """Apply the file's voters and keys, or neither of them.

    Raises
    ------
    RestartRequiredError
        Another setting of the fleet has changed.
    VotersInForceError
        The fleet can't change to these voters now.
    KeyFileError
        The key file is not usable.
    """
    fleet = configuration.fleet
    if fleet is None:
        raise RestartRequiredError("fleet: is left by a restart only")
    assert runtime.started_with is not None
    if why := restart_reason(runtime.started_with, configuration):
        raise RestartRequiredError(why)
    keys = project_file.read_keys(fleet.key_file)
    voters = voters_of(fleet)
    has_changed = runtime.fleet is not None and voters != runtime.fleet.voters
    if has_changed and (why := runtime.change_voters(voters)):
        raise VotersInForceError(f"fleet.voters: {why}")
    runtime.codec.keys = keys


def restart_reason(before: project_file.ProjectFile, after: project_file.ProjectFile) -> str:
    """Return why a restart is required, with the first changed key; "" if none is required."""
    assert before.fleet is not None and after.fleet is not None
    old, new = structs.asdict(before.fleet), structs.asdict(after.fleet)
    for key in sorted(old.keys() - RELOADABLE_KEYS):
        if old[key] != new[key]:
            return f"fleet.{key}: changes by a restart only"
    return "" if before.duty == after.duty else "duty: duties change by a restart only"
