"""Writes a body in transit to a connection, in the framing that its head has stated."""

from __future__ import annotations

from collections.abc import Callable

from wheatring.common.body import Body, no_listener
from wheatring.daemon.http1.connection import Transport

LAST_CHUNK = b"0\r\n\r\n"


class BodySender:
    """A pull producer: its transport asks for the next buffer once the last one is out.

    Attributes
    ----------
    on_done : Callable[[], None]
        Called once the last byte has left.
    on_broken : Callable[[], None]
        Called when the rest of the body will never come.
    on_last : Callable[[], None]
        Called just before the last byte is handed over.
    is_starved : bool
        The transport waits for data that has not come.
    resume_count : int
        How often the transport has asked for more: once for the first buffer.
    """

    def __init__(
        self,
        transport: Transport,
        body: Body,
        is_chunked: bool,
        on_done: Callable[[], None],
        on_broken: Callable[[], None],
        on_last: Callable[[], None] = no_listener,
    ) -> None:
        self.transport = transport
        self.body = body
        self.is_chunked = is_chunked
        self.on_done = on_done
        self.on_broken = on_broken
        self.on_last = on_last
        self.is_starved = False
        self.is_last_written = False
        self.resume_count = 0
        body.on_data = self.resume_if_starved
        transport.registerProducer(self, False)

    @property
    def has_sent(self) -> bool:
        """Whether all that had been written has left, at least once."""
        return self.resume_count > 1

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Write the next buffer: all before it is out."""
        self.resume_count += 1
        self.send_next()

    def send_next(self) -> None:
        """Write the next buffer if there is one, or the end of the body."""
        body = self.body
        if self.is_last_written:
            self.transport.unregisterProducer()
            self.on_done()
        elif data := body.take():
            if self.is_chunked:
                data = b"%x\r\n%s\r\n" % (len(data), data)
            elif body.is_exhausted:
                self.is_last_written = True
                self.on_last()
            self.transport.write(data)
        elif body.is_exhausted:  # not only complete: what a cancelled body still held will never leave
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
        """Go on if the transport waits: there is more of the body."""
        if self.is_starved:
            self.is_starved = False
            self.send_next()

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Leave the body to others: the connection has ended, or the transfer was given up."""
        self.is_starved = False
        if self.body.on_data == self.resume_if_starved:
            self.body.on_data = no_listener
