"""`python -m wheatring.tier`: the roles of the tier and the tools around them."""

from __future__ import annotations

import click

from wheatring.tier.run import run


@click.group()
def main() -> None:
    """The serving tier for agent programs."""


@main.command()
def sidecar() -> None:
    """Serve clients on an edge machine."""
    from wheatring.sidecar.process import Sidecar

    run(Sidecar)


@main.command()
def controller() -> None:
    """Keep the control state on a core machine."""
    from wheatring.controller.process import ControllerProcess

    run(ControllerProcess)


@main.command()
def storage() -> None:
    """Keep turns and budgets on a storage machine."""
    from wheatring.storage.process import StorageProcess

    run(StorageProcess)


if __name__ == "__main__":
    main()
