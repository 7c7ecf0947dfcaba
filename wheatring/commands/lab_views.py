"""`wheatring lab check views`: holds agreed views and their register to their promise."""

from __future__ import annotations

import argparse


def check(args: argparse.Namespace) -> int:
    """`--days` and `--jobs` are those of `lease`."""
    import os

    from wheatring.lab.agree.check import lines

    failed = []
    for line in lines(args.days, args.jobs or os.cpu_count() or 1, lambda: failed.append(1)):
        print(line, flush=True)
    return 1 if failed else 0
