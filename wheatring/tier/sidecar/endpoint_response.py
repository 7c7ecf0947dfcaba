"""Responses of endpoints: a response whose body is still to be read, and a complete error response."""

from __future__ import annotations

from dataclasses import dataclass

from wheatring.common.http_parser import Message
from wheatring.tier.sidecar import headers
from wheatring.tier.sidecar.connection_pool import AcquiredConnection


@dataclass(slots=True)
class EndpointResponse:
    """The head of an endpoint's response, and the connection from which its body is read.

    `sent_at` is when the attempt began, in seconds of the event loop's clock.
    """

    message: Message
    connection: AcquiredConnection
    endpoint: str
    sent_at: float

    @property
    def status(self) -> int:
        """The HTTP status."""
        return int(self.message.start_line[0])


@dataclass(slots=True)
class ErrorResponse:
    """A complete error response of an endpoint, which can be relayed unchanged."""

    status: int
    fields: bytes  # encoded header lines
    body: bytes


def reported_load(message: Message) -> float | None:
    """Return the number of requests running and queued at the endpoint, if its response reports it."""
    value = message.fields.get(headers.SERVER_LOAD)
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) < 2 or not all(part.strip().isdigit() for part in parts[:2]):
        return None
    return float(int(parts[0]) + int(parts[1]))
