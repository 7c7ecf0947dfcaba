"""The errors of replicated storage."""

from __future__ import annotations


class QuorumNotReachedError(Exception):
    """No quorum replied in time, so it is unknown whether the record exists or was written.

    Attributes
    ----------
    key
        The placement key of the records: the turn's id or the program.
    """

    def __init__(self, key: str, message: str = "") -> None:
        super().__init__(message or f"no quorum of storage members for {key}")
        self.key = key
