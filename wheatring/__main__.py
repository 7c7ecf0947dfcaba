"""`python -m wheatring`: serves, or carries out the command that is named."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from wheatring import operator_properties, serving


def parse_simple(words: Sequence[str]) -> tuple[str | None, bool, str | None] | None:
    """The operators' file, whether to capture, and the project's own file, where nothing else is said. None:
    it takes the parser, for which a sidecar that starts anew should not wait.
    """
    file, capture, own, rest = None, False, None, list(words)
    while rest:
        word = rest.pop(0)
        if word == "--capture":
            capture = True
        elif word == "--operators" and rest and not rest[0].startswith("-"):
            file = rest.pop(0)
        elif word == "--config" and rest and not rest[0].startswith("-"):
            own = rest.pop(0)
        else:
            return None
    return file, capture, own


def main(argv: Sequence[str] | None = None) -> int:
    words = sys.argv[1:] if argv is None else argv
    told = parse_simple(words)
    if told is not None:
        return serving.serve(operator_properties.find(told[0]), told[1], told[2])
    from wheatring import commands

    args = commands.parser().parse_args(words)
    if args.call is None:
        return serving.serve(commands.operators_file(args), args.capture, args.config)
    return commands.run(args)


if __name__ == "__main__":
    sys.exit(main())
