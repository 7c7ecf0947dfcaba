"""Streams a body to a connection, in the framing that the head of the message states."""

from __future__ import annotations

from collections.abc import Callable

from wheatring.common.body import Body, no_listener
from wheatring.daemon.http1.connection import Transport

LAST_CHUNK = b"0\r\n\r\n"


class BodySender:
    """A pull producer: the transport requests the next buffer once the previous one has been sent.

    Attributes
    ----------
    on_done : Callable[[], None]
        Called once the last byte has been sent.
    on_broken : Callable[[], None]
        Called when the body is truncated.
    on_last : Callable[[], None]
        Called just before the last byte is passed to the transport.
    is_starved : bool
        The transport has requested data, and none is available yet.
    resume_count : int
        Number of requests for data by the transport, including the one for the first buffer.
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
        """Whether a written buffer has been sent completely at least once."""
        return self.resume_count > 1

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Write the next buffer; all previous output has been sent."""
        self.resume_count += 1
        self.send_next()

    def send_next(self) -> None:
        """Write the next buffer if one is available, or the end of the body."""
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
        elif body.is_exhausted:  # `is_complete` also holds for a cancelled body, whose rest is never sent
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
        """Continue if the transport waits for data, as more of the body is available."""
        if self.is_starved:
            self.is_starved = False
            self.send_next()

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Detach from the body: the connection was closed, or the transfer was cancelled."""
        self.is_starved = False
        if self.body.on_data == self.resume_if_starved:
            self.body.on_data = no_listener
