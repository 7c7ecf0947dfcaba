"""The command line."""

from __future__ import annotations

import argparse

from wheatring import operators


def parser() -> argparse.ArgumentParser:
    # The same option before or after a command: absent, it must not undo the other place's.
    file = argparse.ArgumentParser(add_help=False)
    file.add_argument(
        "--operators", metavar="FILE", default=argparse.SUPPRESS,
        help=f"the operators' file (default: {operators.DEFAULT}, if it is there)",
    )  # fmt: skip
    top = argparse.ArgumentParser(
        prog="wheatring", parents=[file], description="A sidecar load balancer. Without a command, it serves."
    )
    return top


def operators_file(args: argparse.Namespace) -> str | None:
    return operators.find(getattr(args, "operators", None))
