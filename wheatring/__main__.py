"""`python -m wheatring`: serves, or runs the command that is named."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from wheatring.daemon import operator_properties, serving


def parse_simple(words: Sequence[str]) -> tuple[str | None, bool, str | None] | None:
    """Read the arguments of a sidecar that serves, where they are written plainly.

    Returns
    -------
    tuple[str | None, bool, str | None] | None
        The path of the operators' file, whether to capture, and the path of the project's own file; a class
        of its own would cost each start its compilation. None: it takes the parser, whose import a sidecar
        that restarts should not wait for.
    """
    operators_path, capture, configuration_path, rest = None, False, None, list(words)
    while rest:
        word = rest.pop(0)
        if word == "--capture":
            capture = True
        elif word == "--operators" and rest and not rest[0].startswith("-"):
            operators_path = rest.pop(0)
        elif word == "--config" and rest and not rest[0].startswith("-"):
            configuration_path = rest.pop(0)
        else:
            return None
    return operators_path, capture, configuration_path


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program; return its exit status."""
    words = sys.argv[1:] if argv is None else argv
    simple = parse_simple(words)
    if simple is not None:
        operators_path, capture, configuration_path = simple
        return serving.serve(operator_properties.find(operators_path), capture, configuration_path)
    from wheatring import commands

    args = commands.build_parser().parse_args(words)
    if args.call is None:
        return serving.serve(commands.operator_file_path(args), args.capture, args.config)
    return commands.run(args)


if __name__ == "__main__":
    sys.exit(main())
