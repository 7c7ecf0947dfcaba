"""`wheatring lab check control`: checks the invariants of the serving tier's control plane."""

from __future__ import annotations

import argparse


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that apply to `control` only."""
    parser.add_argument(
        "--depth", type=int, default=4, metavar="N",
        help="control: depth of the exhaustive searches in steps (default: 4)",
    )  # fmt: skip
    parser.add_argument(
        "--walks", type=int, default=200, metavar="N",
        help="control: random walks of each kind (default: 200)",
    )  # fmt: skip
    parser.add_argument(
        "--planted", action="store_true", help="control: search for the planted faults instead"
    )


def check(args: argparse.Namespace) -> int:
    """Print the results; return 1 if an invariant is violated or a planted fault is not found."""
    import os

    from wheatring.lab.model_checker.runner import mutant_lines, search_lines

    failed: list[int] = []
    workers = args.jobs or os.cpu_count() or 1
    if args.planted:
        lines = mutant_lines(workers, lambda: failed.append(1))
    else:
        lines = search_lines(args.depth, args.walks, workers, lambda: failed.append(1))
    for line in lines:
        print(line, flush=True)
    return 1 if failed else 0
