"""Sends one request on a connection to an endpoint, and tracks how much of it has been sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wheatring.daemon.http1.body_sender import BodySender

if TYPE_CHECKING:
    from collections.abc import Callable

    from wheatring.common.http_parser import ForwardedRequest
    from wheatring.daemon.http1.connection import Transport


class RequestSender:
    """Sends one request.

    A small request is written by a pull producer, which the transport calls again once the last byte has been
    sent. A large one is streamed.

    Attributes
    ----------
    on_written : Callable[[], None]
        Called just before the last byte is passed to the transport.
    on_broken : Callable[[], None]
        Called when the body of the request is truncated.
    is_flushed : bool
        The last byte has been sent.
    body_sender : BodySender | None
        Streams the body of a large request, until it has been sent.
    """

    __slots__ = ("body_sender", "is_flushed", "on_broken", "on_written", "transport", "unwritten")

    def __init__(
        self, transport: Transport, on_written: Callable[[], None], on_broken: Callable[[], None]
    ) -> None:
        self.transport = transport
        self.on_written = on_written
        self.on_broken = on_broken
        self.is_flushed = False
        self.unwritten = b""
        self.body_sender: BodySender | None = None

    def start(self, request: ForwardedRequest, remaining_ms: int) -> None:
        """Write the request, with the remaining time in its head."""
        head = b"%sX-Time-Left-Ms: %d\r\n\r\n" % (request.head, remaining_ms)
        if request.stream is None:
            self.unwritten = head + request.body
            self.transport.registerProducer(self, False)
            return
        self.transport.write(head)
        self.body_sender = BodySender(
            self.transport,
            request.stream,
            request.is_chunked,
            self.mark_flushed,
            self.on_broken,
            self.on_written,
        )

    @property
    def has_started(self) -> bool:
        """Whether a byte of the request may have been sent."""
        has_sent = self.body_sender is not None and self.body_sender.has_sent
        return self.is_flushed or bool(self.transport.dataBuffer) or has_sent

    def mark_flushed(self) -> None:
        """Record that the last byte of the request has been sent."""
        self.is_flushed = True
        self.body_sender = None

    def stop(self) -> None:
        """Stop sending a large request."""
        if self.body_sender is not None:
            self.body_sender.stopProducing()
            self.body_sender = None

    # Pull producer interface, called by the transport

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Write a small request, or record that it has been sent."""
        if self.unwritten:
            data, self.unwritten = self.unwritten, b""
            self.on_written()
            self.transport.write(data)
        else:
            self.transport.unregisterProducer()
            self.mark_flushed()

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Do nothing: the connection was closed, and settles the attempt itself."""
