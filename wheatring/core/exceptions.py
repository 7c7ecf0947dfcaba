"""A request that is turned away before there is a job. Every front and every hook before it can say so."""

from __future__ import annotations


class RequestRejected(Exception):
    """`status` says why, in the numbers of HTTP; `more` are field lines and `body` the text of the answer."""

    def __init__(self, status: int, reason: str, header_lines: bytes = b"", body: bytes = b"") -> None:
        super().__init__(reason)
        self.status = status
        self.header_lines = header_lines
        self.body = body
