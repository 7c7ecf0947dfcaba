"""`wheatring lab check lease` and `check plan`: check the guarantees of leases and of the fleet's plan."""

from __future__ import annotations

import argparse
from collections.abc import Iterable


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of `lease`; `--days` and `--jobs` apply to `views` and `plan` too."""
    parser.add_argument(
        "--days", type=int, default=400, metavar="N", help="lease, views, plan: days to play (default: 400)"
    )
    parser.add_argument(
        "--states", type=int, default=300_000, metavar="N",
        help="lease: maximum number of states in each search (default: 300000)",
    )  # fmt: skip
    parser.add_argument(
        "--jobs",
        type=int,
        metavar="N",
        help="lease, views, plan: number of processes (default: one per core)",
    )


def check(args: argparse.Namespace) -> int:
    """Check the decision logic of leases; return 1 if it violates a guarantee."""
    import os

    from wheatring.lab.leases.check import report_lines

    failed: list[int] = []
    workers = args.jobs or os.cpu_count() or 1
    return _print(report_lines(args.days, args.states, workers, lambda: failed.append(1)), failed)


def check_plan(args: argparse.Namespace) -> int:
    """Check the decision logic of the plan; return 1 if it violates a guarantee."""
    import os

    from wheatring.lab.agreement.plan_days import report

    failed: list[int] = []
    return _print(report(args.days, args.jobs or os.cpu_count() or 1, lambda: failed.append(1)), failed)


def _print(found: Iterable[str], failed: list[int]) -> int:
    for line in found:
        print(line, flush=True)
    return 1 if failed else 0
