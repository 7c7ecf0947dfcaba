"""`wheatring lab check lease` and `check plan`: hold deciders to their promise, of terms and of the plan."""

from __future__ import annotations

import argparse
from collections.abc import Iterable


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that count for `lease`, of which `views` and `plan` have days and jobs too."""
    parser.add_argument(
        "--days", type=int, default=400, metavar="N", help="lease, views, plan: days to play (default: 400)"
    )
    parser.add_argument(
        "--states", type=int, default=300_000, metavar="N",
        help="lease: states to look at in each search, at most (default: 300000)",
    )  # fmt: skip
    parser.add_argument(
        "--jobs",
        type=int,
        metavar="N",
        help="lease, views, plan: processes to work in (default: as many as cores)",
    )


def check(args: argparse.Namespace) -> int:
    """Check the deciders of leases; 1 where one breaks its promise."""
    import os

    from wheatring.lab.leases.check import report_lines

    failed: list[int] = []
    workers = args.jobs or os.cpu_count() or 1
    return _print(report_lines(args.days, args.states, workers, lambda: failed.append(1)), failed)


def check_plan(args: argparse.Namespace) -> int:
    """Check the deciders of the plan; 1 where one breaks its promise."""
    import os

    from wheatring.lab.agreement.plan_days import report

    failed: list[int] = []
    return _print(report(args.days, args.jobs or os.cpu_count() or 1, lambda: failed.append(1)), failed)


def _print(found: Iterable[str], failed: list[int]) -> int:
    for line in found:
        print(line, flush=True)
    return 1 if failed else 0
