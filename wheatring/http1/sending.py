"""Writes a body that is on its way, in the framing that its head has told."""

from __future__ import annotations

from collections.abc import Callable

from wheatring.core.body import Body, nothing
from wheatring.http1.connection import Transport

LAST_CHUNK = b"0\r\n\r\n"


class Sender:
    """A pull producer: its transport asks for the next piece once it is through with the last one."""

    def __init__(
        self,
        transport: Transport,
        body: Body,
        chunked: bool,
        on_done: Callable[[], None],
        on_broken: Callable[[], None],
        on_last: Callable[[], None] = nothing,
    ) -> None:
        """`on_last` is told just before the last byte is handed over, `on_done` once it has left."""
        self.transport = transport
        self.body = body
        self.chunked = chunked
        self.on_done = on_done
        self.on_broken = on_broken
        self.on_last = on_last
        self.starved = False
        self.ended = False  # the last byte has been handed over
        self.asked = 0  # times that the transport has asked for more: once for the first piece
        body.on_more = self.more
        transport.registerProducer(self, False)

    @property
    def begun(self) -> bool:
        """All that had been written has left, at least once."""
        return self.asked > 1

    def resumeProducing(self) -> None:
        self.asked += 1
        self.go_on()

    def go_on(self) -> None:
        body = self.body
        if self.ended:
            self.transport.unregisterProducer()
            self.on_done()
        elif piece := body.take():
            if self.chunked:
                piece = b"%x\r\n%s\r\n" % (len(piece), piece)
            elif body.all_taken:
                self.ended = True
                self.on_last()
            self.transport.write(piece)
        elif body.all_taken:  # and not just whole: what a cancelled one still held will never leave
            self.ended = True
            self.on_last()
            if self.chunked:
                self.transport.write(LAST_CHUNK)
            else:
                self.go_on()
        elif body.broken:
            self.on_broken()
        else:
            self.starved = True

    def more(self) -> None:
        if self.starved:
            self.starved = False
            self.go_on()

    def stopProducing(self) -> None:
        """The connection has ended, or is given up: the body is another's to take."""
        self.starved = False
        if self.body.on_more == self.more:
            self.body.on_more = nothing
