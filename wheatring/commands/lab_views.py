"""`wheatring lab views` and `lab check views`: faults of a virtual fleet with agreed views.

`lab views` prints measurements; `lab check views` checks the invariants of views and of their register.
"""

from __future__ import annotations

import argparse
import sys


def add(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command `views`."""
    parser.add_argument("cases", nargs="*", metavar="CASE", help="default: all; an unknown name lists them")
    parser.add_argument("--sidecars", type=int, default=20, metavar="N", help="12 or more (default: 20)")
    parser.add_argument(
        "--seeds", type=int, default=3, metavar="N", help="the number of seeds per case (default: 3)"
    )


def call(args: argparse.Namespace) -> int:
    """Play cases and print the measurements."""
    from wheatring.lab.agreement.view_cases import CASES, format_measurement, measure

    unknown = [case for case in args.cases if case not in CASES]
    if unknown or args.sidecars < 12 or args.seeds < 1:
        reason = (
            f"{unknown[0]!r} is none of {', '.join(CASES)}" if unknown else "12 sidecars, 1 seed at least"
        )
        print(f"wheatring: lab: {reason}", file=sys.stderr)
        return 2
    for case in args.cases or CASES:
        for seed in range(1, args.seeds + 1):
            print(format_measurement(measure(case, args.sidecars, seed)), flush=True)
    return 0


def check(args: argparse.Namespace) -> int:
    """Check views; `--days` and `--jobs` are shared with the check `lease`."""
    import os

    from wheatring.lab.agreement.view_checks import report

    failed = []
    for line in report(args.days, args.jobs or os.cpu_count() or 1, lambda: failed.append(1)):
        print(line, flush=True)
    return 1 if failed else 0
