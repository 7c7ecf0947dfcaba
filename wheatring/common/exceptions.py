"""Errors of HTTP/1.1 messages and of bodies in transit."""

from __future__ import annotations


class MalformedMessageError(Exception):
    """Data from a peer is not valid HTTP/1.1.

    Attributes
    ----------
    status : int
        The HTTP status code of a server's response to it.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class BodyNotReplayableError(ValueError):
    """A body can't be read again: its start has been released."""
