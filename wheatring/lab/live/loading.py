"""The load generator's process.

    python -m wheatring.lab.live.loading

reads one `Load` a line (JSON) on standard input, plays it, and writes one `Result` a line on standard output.
"""

from __future__ import annotations

import gc
import sys
import time
from typing import Any

import msgspec

from wheatring.lab.live.generator import Generator
from wheatring.lab.live.load import Load, Result


def main() -> int:
    from twisted.internet import reactor as installed
    from twisted.internet import stdio
    from twisted.protocols.basic import LineReceiver

    reactor: Any = installed
    reactor.seconds = time.monotonic
    gc.disable()  # a collection would be a lateness of ours; what a load makes is freed by count

    class Orders(LineReceiver):
        delimiter = b"\n"
        MAX_LENGTH = 1 << 20

        def lineReceived(self, line: bytes) -> None:
            Generator(reactor, msgspec.json.decode(line, type=Load), self.report)

        def report(self, result: Result) -> None:
            self.sendLine(  # type: ignore[no-untyped-call]
                msgspec.json.encode(result)
            )
            gc.collect()

        def connectionLost(self, reason: object = None) -> None:
            if reactor.running:
                reactor.stop()

    stdio.StandardIO(Orders())  # type: ignore[no-untyped-call]
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
