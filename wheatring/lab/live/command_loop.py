"""Main loop of a helper process: commands are lines on standard input, replies lines on standard output."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

WriteLine = Callable[[bytes], None]


def serve(reactor: Any, handle: Callable[[bytes, WriteLine], object]) -> None:
    """Call `handle` with each line and a function to write a reply, until standard input is closed."""
    from twisted.internet import stdio
    from twisted.protocols.basic import LineReceiver

    class Commands(LineReceiver):
        """Reads commands from standard input."""

        delimiter = b"\n"
        MAX_LENGTH = 1 << 24

        def lineReceived(self, line: bytes) -> None:  # noqa: N802 - Twisted's name
            """Handle one command."""
            handle(line, self.sendLine)

        def connectionLost(self, reason: object = None) -> None:  # noqa: N802, ARG002 - Twisted's
            """Stop the reactor at the end of standard input."""
            if reactor.running:
                reactor.stop()

    stdio.StandardIO(Commands())  # type: ignore[no-untyped-call]
    reactor.run()
