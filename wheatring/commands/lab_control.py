"""`wheatring lab check control`: hold the control side of the serving tier to its invariants."""

from __future__ import annotations

import argparse


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that count for `control` only."""
    parser.add_argument(
        "--depth", type=int, default=4, metavar="N",
        help="control: steps of the exhaustive searches (default: 4)",
    )  # fmt: skip
    parser.add_argument(
        "--walks", type=int, default=200, metavar="N",
        help="control: random ways of each kind (default: 200)",
    )  # fmt: skip
    parser.add_argument("--planted", action="store_true", help="control: look for the planted faults instead")


def check(args: argparse.Namespace) -> int:
    """Print what is found; 1 where an invariant breaks or a planted fault is not found."""
    import os

    from wheatring.lab.model_checker.runner import mutant_lines, search_lines

    failed: list[int] = []
    workers = args.jobs or os.cpu_count() or 1
    if args.planted:
        found = mutant_lines(workers, lambda: failed.append(1))
    else:
        found = search_lines(args.depth, args.walks, workers, lambda: failed.append(1))
    for line in found:
        print(line, flush=True)
    return 1 if failed else 0
