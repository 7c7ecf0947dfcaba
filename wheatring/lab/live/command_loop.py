"""The inside of a helper process: orders come as lines on standard input, answers go out as lines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

WriteLine = Callable[[bytes], None]


def serve(reactor: Any, obey: Callable[[bytes, WriteLine], object]) -> None:
    """Hand each line to `obey`, with what writes a line back, until standard input is closed."""
    from twisted.internet import stdio
    from twisted.protocols.basic import LineReceiver

    class Orders(LineReceiver):
        delimiter = b"\n"
        MAX_LENGTH = 1 << 24

        def lineReceived(self, line: bytes) -> None:
            obey(line, self.sendLine)

        def connectionLost(self, reason: object = None) -> None:
            if reactor.running:
                reactor.stop()

    stdio.StandardIO(Orders())  # type: ignore[no-untyped-call]
    reactor.run()
