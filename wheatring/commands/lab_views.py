"""`wheatring lab views` and `lab check views`: faults of a virtual fleet with agreed views.

The former prints what is measured, the latter checks that views and their register keep their promise.
"""

from __future__ import annotations

import argparse
import sys


def add(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command `views`."""
    parser.add_argument("cases", nargs="*", metavar="CASE", help="default: all; an unknown one lists them")
    parser.add_argument("--sidecars", type=int, default=20, metavar="N", help="12 or more (default: 20)")
    parser.add_argument("--seeds", type=int, default=3, metavar="N", help="to play each with (default: 3)")


def call(args: argparse.Namespace) -> int:
    """Play cases and print what is measured."""
    from wheatring.lab.agreement.view_cases import CASES, format_measurement, measure

    unknown = [case for case in args.cases if case not in CASES]
    if unknown or args.sidecars < 12 or args.seeds < 1:
        why = f"{unknown[0]!r} is none of {', '.join(CASES)}" if unknown else "12 sidecars, 1 seed at least"
        print(f"wheatring: lab: {why}", file=sys.stderr)
        return 2
    for case in args.cases or CASES:
        for seed in range(1, args.seeds + 1):
            print(format_measurement(measure(case, args.sidecars, seed)), flush=True)
    return 0


def check(args: argparse.Namespace) -> int:
    """`--days` and `--jobs` are those of `lease`."""
    import os

    from wheatring.lab.agreement.view_checks import report

    failed = []
    for line in report(args.days, args.jobs or os.cpu_count() or 1, lambda: failed.append(1)):
        print(line, flush=True)
    return 1 if failed else 0
