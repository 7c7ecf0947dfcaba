"""The roles of the tier. Each role is imported only by the process that runs it."""

from __future__ import annotations

import sys
from pathlib import Path

from wheatring.tier.run import STATUS_CANNOT_START, run


def run_sidecar(policy: str | None = None) -> None:
    """Serve clients on an edge machine. `policy` is a file of figures to decide by."""
    from wheatring.tier.sidecar.exceptions import PolicyError
    from wheatring.tier.sidecar.policy import DEFAULT_POLICY, read_policy
    from wheatring.tier.sidecar.process import SidecarProcess

    try:
        chosen = read_policy(Path(policy)) if policy is not None else DEFAULT_POLICY
    except PolicyError as error:
        print(f"wheatring: {error}", file=sys.stderr)
        sys.exit(STATUS_CANNOT_START)
    run(lambda settings, random: SidecarProcess(settings, random, chosen))


def run_controller() -> None:
    """Keep the control state on a core machine."""
    from wheatring.tier.controller.process import ControllerProcess

    run(ControllerProcess)


def run_storage() -> None:
    """Keep turns and budgets on a storage machine."""
    from wheatring.tier.storage.process import StorageProcess

    run(StorageProcess)


ROLES = {"sidecar": run_sidecar, "controller": run_controller, "storage": run_storage}
