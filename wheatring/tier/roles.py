"""The roles of the tier. Each is imported only where it runs."""

from __future__ import annotations

from wheatring.tier.run import run


def run_sidecar() -> None:
    """Serve clients on an edge machine."""
    from wheatring.sidecar.process import Sidecar

    run(Sidecar)


def run_controller() -> None:
    """Keep the control state on a core machine."""
    from wheatring.controller.process import ControllerProcess

    run(ControllerProcess)


def run_storage() -> None:
    """Keep turns and budgets on a storage machine."""
    from wheatring.storage.process import StorageProcess

    run(StorageProcess)


ROLES = {"sidecar": run_sidecar, "controller": run_controller, "storage": run_storage}
