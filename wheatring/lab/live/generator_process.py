"""The load generator's process.

    python -m wheatring.lab.live.generator_process

reads one `Load` a line (JSON) on standard input, plays it, and writes one `Result` a line on standard output.
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
    gc.disable()  # a collection would be a lateness of ours; what a load makes is freed by count

    def obey(line: bytes, say: command_loop.WriteLine) -> None:
        """Play the load of one line."""

        def report(result: Result) -> None:
            """Write the result, and collect garbage between two loads."""
            say(msgspec.json.encode(result))
            gc.collect()

        Generator(reactor, msgspec.json.decode(line, type=Load), report)

    command_loop.serve(reactor, obey)
    return 0


if __name__ == "__main__":
    sys.exit(main())
