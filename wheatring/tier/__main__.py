"""`python -m wheatring.tier`: the roles of the tier and the tools around them."""

from __future__ import annotations

import click

from wheatring.tier.roles import ROLES


@click.group()
def main() -> None:
    """The serving tier for agent programs."""


for _name, _run in ROLES.items():
    main.command(_name, help=_run.__doc__)(_run)


if __name__ == "__main__":
    main()
