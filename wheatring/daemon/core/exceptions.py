"""Errors of the core."""

from __future__ import annotations


class RequestRejectedError(Exception):
    """A request is rejected by the server, a route or an authorizer before it is submitted.

    Attributes
    ----------
    status : int
        The HTTP status code of the answer.
    header_lines : bytes
        Encoded header lines to add to the answer, each with its line terminator.
    body : bytes
        The body of the answer.
    """

    def __init__(self, status: int, reason: str, header_lines: bytes = b"", body: bytes = b"") -> None:
        super().__init__(reason)
        self.status = status
        self.header_lines = header_lines
        self.body = body
