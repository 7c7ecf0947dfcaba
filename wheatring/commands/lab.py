"""`wheatring lab ...`: lists, checks and plays scenarios, and draws plans from them.

Each command is added by a function `add_NAME(commands)` in COMMAND_ADDERS, which creates its parser with
`add_command`. Modules of the lab are imported when a command is called, as the program must start without the
lab's dependencies.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from wheatring.commands import (
    lab_control,
    lab_lease,
    lab_live,
    lab_pace,
    lab_run,
    lab_singleton_roles,
    lab_study,
    lab_views,
)
from wheatring.commands.lab_errors import reports_errors

if TYPE_CHECKING:
    Commands = argparse._SubParsersAction[argparse.ArgumentParser]


def add_command(
    commands: Commands,
    name: str,
    call: Callable[[argparse.Namespace], int],
    description: str,
) -> argparse.ArgumentParser:
    """Add a command, and return its parser. Errors of the lab result in status 2."""
    parser = commands.add_parser(name, help=description, description=description)
    parser.set_defaults(call=reports_errors(call))
    return parser


def add_scenario_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that select a day: `scenario` and `seed`."""
    parser.add_argument("scenario", metavar="NAME|FILE", help="a scenario of the library, or a TOML file")
    parser.add_argument("--seed", type=int, default=1, metavar="N", help="seed of the draw (default: 1)")


def add_list(commands: Commands) -> None:
    """Add the command `list`."""
    add_command(commands, "list", list_scenarios, "the scenarios of the library")


def list_scenarios(_args: argparse.Namespace) -> int:
    """Print the scenarios of the library."""
    import textwrap

    from wheatring.lab.scenario.load import load, names

    for name in names():
        found = load(name).scenario
        print(f"{name}: {found.title}")
        print(textwrap.fill(found.what, 100, initial_indent="    ", subsequent_indent="    "))
    return 0


def add_check(commands: Commands) -> None:
    """Add the command `check`."""
    parser = add_command(commands, "check", check, "report errors in scenarios, and draw each several times")
    parser.add_argument(
        "files", nargs="+", metavar="NAME|FILE|lease|views|plan|control",
        help="lease: the decision logic of leases; views: of agreed views; plan: of the fleet's plan; "
             "control: consensus, orders, voters and storage of the serving tier",
    )  # fmt: skip
    lab_lease.add_arguments(parser)
    lab_control.add_arguments(parser)
    parser.add_argument(
        "--draws", type=int, default=20, metavar="N", help="seeds to draw each with (default: 20)"
    )


def check(args: argparse.Namespace) -> int:
    """Check scenarios and draw each several times, or run the check that a reserved name refers to."""
    from wheatring.lab.scenario.load import ScenarioError, load
    from wheatring.lab.scenario.plan_builder import draw

    if args.files == ["lease"]:
        return lab_lease.check(args)
    if args.files == ["plan"]:
        return lab_lease.check_plan(args)
    if args.files == ["control"]:
        return lab_control.check(args)
    if args.files == ["views"]:
        return lab_views.check(args)
    status = 0
    for name_or_file in args.files:
        try:
            found = load(name_or_file)
            for seed in range(1, args.draws + 1):
                try:
                    draw(found, seed)
                except ScenarioError as error:
                    raise ScenarioError(f"{found.where}: seed {seed}", error.faults) from None
        except ScenarioError as error:
            print(error, file=sys.stderr)
            status = 2
        else:
            print(f"{name_or_file}: ok")
    return status


def add_duties(commands: Commands) -> None:
    """Add the command `duties`."""
    description = "inject faults into real sidecars that hold a duty"
    lab_singleton_roles.add(add_command(commands, "duties", lab_singleton_roles.call, description))


def add_views(commands: Commands) -> None:
    """Add the command `views`."""
    description = "play faults of a virtual fleet with agreed views, and print measurements"
    lab_views.add(add_command(commands, "views", lab_views.call, description))


def add_plan(commands: Commands) -> None:
    """Add the command `plan`."""
    parser = add_command(commands, "plan", plan, "draw a day, print its figures, or write the plan")
    add_scenario_arguments(parser)
    parser.add_argument(
        "--json", metavar="FILE", help="write the whole plan to this file; -: to standard output"
    )


def plan(args: argparse.Namespace) -> int:
    """Draw a day, and print its figures or the plan itself."""
    import msgspec

    from wheatring.lab.scenario.load import load
    from wheatring.lab.scenario.plan_builder import draw, summary

    drawn = draw(load(args.scenario), args.seed)
    document = msgspec.json.format(msgspec.json.encode(drawn), indent=1) + b"\n" if args.json else b""
    if args.json == "-":
        print(document.decode(), end="")
        return 0
    if args.json:
        Path(args.json).write_bytes(document)
    print("\n".join(summary(drawn).lines()))
    return 0


COMMAND_ADDERS = (
    add_list,
    add_check,
    add_plan,
    lab_run.add,
    lab_pace.add,
    lab_study.add,
    lab_live.add,
    add_duties,
    add_views,
)


def add(groups: Commands) -> None:
    """Add the group to the program's commands."""
    group = groups.add_parser(
        "lab", help="simulate systems with sidecars, in virtual time or with real processes"
    )
    commands = group.add_subparsers(required=True, metavar="COMMAND")
    for add_to in COMMAND_ADDERS:
        add_to(commands)
