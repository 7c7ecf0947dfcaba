"""Entry points of the roles. The modules of a role are imported only by the process that runs it."""

from __future__ import annotations

import sys
from pathlib import Path

from wheatring.tier.run import EXIT_CANNOT_START, run


def run_sidecar(policy: str | None = None) -> None:
    """Run a sidecar, which serves clients on an edge machine."""
    from wheatring.tier.sidecar.exceptions import PolicyError
    from wheatring.tier.sidecar.policy import DEFAULT_POLICY, read_policy
    from wheatring.tier.sidecar.process import SidecarProcess

    try:
        parsed_policy = read_policy(Path(policy)) if policy is not None else DEFAULT_POLICY
    except PolicyError as error:
        print(f"wheatring: {error}", file=sys.stderr)
        sys.exit(EXIT_CANNOT_START)
    run(lambda settings, random: SidecarProcess(settings, random, parsed_policy))


def run_controller() -> None:
    """Run a controller, which replicates the control state, on a core machine."""
    from wheatring.tier.controller.process import ControllerProcess

    run(ControllerProcess)


def run_storage() -> None:
    """Run a storage replica, which stores turns and budgets, on a storage machine."""
    from wheatring.tier.storage.process import StorageProcess

    run(StorageProcess)


ROLES = {"sidecar": run_sidecar, "controller": run_controller, "storage": run_storage}
