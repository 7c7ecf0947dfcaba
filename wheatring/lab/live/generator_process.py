"""The load generator's process.

    python -m wheatring.lab.live.generator_process

reads lines with a `Load` (JSON) from standard input, plays each, and writes a line with its `Result`.
"""

from __future__ import annotations

import gc
import sys
import time
from typing import Any

import msgspec

from wheatring.lab.live import command_loop
from wheatring.lab.live.generator import Generator
from wheatring.lab.live.load import Load, Result


def main() -> int:
    """Play the loads that arrive on standard input."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    reactor.seconds = time.monotonic
    gc.disable()  # a collection would delay requests; the objects of a load are freed by reference counting

    def handle(line: bytes, write_line: command_loop.WriteLine) -> None:
        """Play the load of one line."""

        def report(result: Result) -> None:
            """Write the result, and collect garbage between two loads."""
            write_line(msgspec.json.encode(result))
            gc.collect()

        Generator(reactor, msgspec.json.decode(line, type=Load), report)

    command_loop.serve(reactor, handle)
    return 0


if __name__ == "__main__":
    sys.exit(main())
