"""Writes a body that is on its way, in the framing that its head has told."""

from __future__ import annotations

from collections.abc import Callable

from wheatring.core.body import Body, no_listener
from wheatring.http1.connection import Transport

LAST_CHUNK = b"0\r\n\r\n"


class BodySender:
    """A pull producer: its transport asks for the next piece once it is through with the last one."""

    def __init__(
        self,
        transport: Transport,
        body: Body,
        is_chunked: bool,
        on_done: Callable[[], None],
        on_broken: Callable[[], None],
        on_last: Callable[[], None] = no_listener,
    ) -> None:
        """`on_last` is told just before the last byte is handed over, `on_done` once it has left."""
        self.transport = transport
        self.body = body
        self.is_chunked = is_chunked
        self.on_done = on_done
        self.on_broken = on_broken
        self.on_last = on_last
        self.is_starved = False
        self.is_last_written = False  # the last byte has been handed over
        self.resume_count = 0  # times that the transport has asked for more: once for the first piece
        body.on_data = self.resume_if_starved
        transport.registerProducer(self, False)

    @property
    def has_sent(self) -> bool:
        """All that had been written has left, at least once."""
        return self.resume_count > 1

    def resumeProducing(self) -> None:
        self.resume_count += 1
        self.send_next()

    def send_next(self) -> None:
        body = self.body
        if self.is_last_written:
            self.transport.unregisterProducer()
            self.on_done()
        elif piece := body.take():
            if self.is_chunked:
                piece = b"%x\r\n%s\r\n" % (len(piece), piece)
            elif body.is_exhausted:
                self.is_last_written = True
                self.on_last()
            self.transport.write(piece)
        elif body.is_exhausted:  # and not just whole: what a cancelled one still held will never leave
            self.is_last_written = True
            self.on_last()
            if self.is_chunked:
                self.transport.write(LAST_CHUNK)
            else:
                self.send_next()
        elif body.is_broken:
            self.on_broken()
        else:
            self.is_starved = True

    def resume_if_starved(self) -> None:
        if self.is_starved:
            self.is_starved = False
            self.send_next()

    def stopProducing(self) -> None:
        """The connection has ended, or is given up: the body is another's to take."""
        self.is_starved = False
        if self.body.on_data == self.resume_if_starved:
            self.body.on_data = no_listener
