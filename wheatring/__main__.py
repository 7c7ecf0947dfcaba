"""`python -m wheatring`: runs a sidecar or the given command."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from wheatring.daemon import operator_properties, serving


def parse_simple(arguments: Sequence[str]) -> tuple[str | None, bool, str | None] | None:
    """Parse simple arguments of a sidecar without importing argparse, which would delay each start.

    Returns
    -------
    tuple[str | None, bool, str | None] | None
        The path of the operators' file, whether to capture, and the path of the project's configuration file
        (not a named tuple, whose class would be compiled at each start). None if the full parser is needed.
    """
    operators_path, capture, configuration_path, remaining = None, False, None, list(arguments)
    while remaining:
        argument = remaining.pop(0)
        if argument == "--capture":
            capture = True
        elif argument == "--operators" and remaining and not remaining[0].startswith("-"):
            operators_path = remaining.pop(0)
        elif argument == "--config" and remaining and not remaining[0].startswith("-"):
            configuration_path = remaining.pop(0)
        else:
            return None
    return operators_path, capture, configuration_path


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program; return its exit status."""
    arguments = sys.argv[1:] if argv is None else argv
    simple = parse_simple(arguments)
    if simple is not None:
        operators_path, capture, configuration_path = simple
        return serving.serve(operator_properties.find(operators_path), capture, configuration_path)
    from wheatring import commands

    args = commands.build_parser().parse_args(arguments)
    if args.call is None:
        return serving.serve(commands.operator_file_path(args), args.capture, args.config)
    return commands.run(args)


if __name__ == "__main__":
    sys.exit(main())
