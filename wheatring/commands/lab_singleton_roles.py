"""`wheatring lab duties`: faults of real sidecars that hold a duty."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable
from itertools import chain

# Played on its own, twice: each sidecar watches the list itself, then one watches it for all.
LISTS = "lists"
CASES = ("kill", "stop", "cut", "unheard", "deaf", "release", "voters", "split", "late")
AGREED = ("pauses", "killed", "loss", "oneway")  # cases of a fleet with agreed views
PLANNED = ("plan", "skew", "windows")  # cases of a fleet with one plan


def add(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command `duties`."""
    parser.add_argument(
        "cases",
        nargs="*",
        metavar="CASE",
        help=f"from {', '.join(CASES)} (default: all); or from {', '.join(AGREED)}; "
        f"or from {', '.join(PLANNED)}; or {LISTS}",
    )
    parser.add_argument("--sidecars", type=int, default=8, metavar="N", help="5 or more (default: 8)")
    parser.add_argument(
        "--seed", type=int, default=1, metavar="N", help="seed of the times of faults (default: 1)"
    )
    parser.add_argument(
        "--virtual", action="store_true", help="only the membership, in virtual time, without processes"
    )
    parser.add_argument("--term", type=float, default=3.0, metavar="S", help="seconds (default: 3)")


def call(args: argparse.Namespace) -> int:
    """Play cases with real sidecars, and print whether each guarantee holds."""
    from wheatring.lab.live.plan_cases import play as planned_play
    from wheatring.lab.live.process import ProcessError
    from wheatring.lab.live.singleton_role_cases import Measurement, lists, play
    from wheatring.lab.live.view_cases import play as agreed_play

    is_lists = args.cases == [LISTS]
    known_cases = next((kind for kind in (AGREED, PLANNED) if args.cases and args.cases[0] in kind), CASES)
    unknown = [] if is_lists else [case for case in args.cases if case not in known_cases]
    if unknown or args.sidecars < 5:
        print(f"wheatring: lab: {unknown[0]!r} is no case" if unknown else "wheatring: --sidecars: 5 or more",
              file=sys.stderr)  # fmt: skip
        return 2
    if args.virtual:
        return virtual(args.sidecars, args.seed)
    status = 0
    try:
        results: Iterable[Measurement] = play(args.cases or list(CASES), args.sidecars, args.seed, args.term)
        if known_cases is not CASES:
            other = agreed_play if known_cases is AGREED else planned_play
            results = other(args.cases, args.sidecars, args.seed, args.term)
        if is_lists:
            results = chain.from_iterable(
                lists(args.sidecars, args.seed, args.term, shared) for shared in (False, True)
            )
        for measured in results:
            print(f"{'kept' if measured.is_kept else 'NOT KEPT'}  {measured.what}", flush=True)
            status |= not measured.is_kept
    except ProcessError as error:
        print(f"wheatring: lab: {error}", file=sys.stderr)
        return 1
    return int(status)


def virtual(size: int, seed: int) -> int:
    """Play only the membership, in virtual time."""
    from wheatring.lab.leases.membership import false_suspicions, membership_costs

    for lines in (
        membership_costs(seed, size),
        false_suspicions(seed, size, 0.05, 0.0),
        false_suspicions(seed, size, 0.0, 0.1),
    ):
        for line in lines:
            print(line, flush=True)
    return 0
