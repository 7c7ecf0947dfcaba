"""A request that is turned away before there is a job. Every front and every hook before it can say so."""

from __future__ import annotations


class Refused(Exception):
    """`status` says why, in the numbers of HTTP; `more` are field lines and `body` the text of the answer."""

    def __init__(self, status: int, why: str, more: bytes = b"", body: bytes = b"") -> None:
        super().__init__(why)
        self.status = status
        self.more = more
        self.body = body
