"""`python -m wheatring`: serves, or carries out the command that is named."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from wheatring import commands, daemon


def main(argv: Sequence[str] | None = None) -> int:
    args = commands.parser().parse_args(argv)
    if args.call is None:
        return daemon.serve(commands.operators_file(args), args.capture)
    return commands.run(args)


if __name__ == "__main__":
    sys.exit(main())
