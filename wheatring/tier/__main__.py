"""`python -m wheatring.tier`: the roles of the tier, and its tools."""

from __future__ import annotations

from pathlib import Path

import click

from wheatring.tier.roles import ROLES, run_sidecar


@click.group(help="The serving tier for agent programs.")
def main() -> None:
    """Run the command line of the tier."""


for _name, _run in ROLES.items():
    if _run is not run_sidecar:
        main.command(_name, help=_run.__doc__)(_run)


@main.command(help=run_sidecar.__doc__)
@click.option("--policy", type=click.Path(exists=True, dir_okay=False), help="TOML file of policy parameters")
def sidecar(policy: str | None) -> None:
    """Run a sidecar. The help text of the command is the docstring of `run_sidecar`."""
    run_sidecar(policy)


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check(file: str) -> None:
    """Validate a settings file or an operator's configuration; an error is one line with its path."""
    from wheatring.tier.boot_settings.exceptions import SettingsError
    from wheatring.tier.boot_settings.settings import read_settings
    from wheatring.tier.controller.configuration import parse
    from wheatring.tier.controller.exceptions import InvalidConfigurationError

    body = Path(file).read_bytes()
    try:
        if b'"routes"' in body:
            parse(body)
        else:
            read_settings(file)
    except InvalidConfigurationError as error:
        raise click.ClickException(f"{file}: {error}") from error
    except SettingsError as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"{file}: sound")


@main.command()
@click.argument("address")
def status(address: str) -> None:
    """Print the status reported by a controller; ADDRESS is host:port of its control address."""
    import httpx

    try:
        response = httpx.get(f"http://{address}/status", timeout=2.0, trust_env=False)
        response.raise_for_status()
    except httpx.HTTPError as error:
        raise click.ClickException(f"{address}: {error}") from error
    for name, value in response.json().items():
        click.echo(f"{name}: {value}")


@main.command()
def demo() -> None:
    """Start a small but complete tier on loopback and run a conversation through it."""
    import asyncio

    from wheatring.lab.demo.play import DemoFailedError, play

    try:
        asyncio.run(play())
    except DemoFailedError as error:
        raise click.ClickException(str(error)) from error


@main.command()
@click.option("--sidecars", default="30,100,300,1000", help="comma-separated numbers of sidecars to measure")
@click.option("--turns", default=20.0, help="turns per second, the total of all sidecars")
@click.option("--json", "as_json", is_flag=True, help="print the result as JSON")
def scale(sidecars: str, turns: float, as_json: bool) -> None:
    """Measure the control-plane cost by number of sidecars, with real controllers and simulated sidecars."""
    import asyncio

    from wheatring.lab.scale.measurement import measure, report

    try:
        sizes = [int(size) for size in sidecars.split(",")]
    except ValueError as error:
        raise click.ClickException(
            f"--sidecars: must be comma-separated integers, got {sidecars!r}"
        ) from error
    if not sizes or min(sizes) < 1:
        raise click.ClickException("--sidecars: each number must be at least 1")
    click.echo(report(asyncio.run(measure(sizes, turns)), as_json))


if __name__ == "__main__":
    main()
