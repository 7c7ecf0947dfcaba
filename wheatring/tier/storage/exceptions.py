"""The errors of replicated storage."""

from __future__ import annotations


class QuorumNotReachedError(Exception):
    """No quorum replied in time: nothing is known of the record.

    Attributes
    ----------
    key
        The turn's id or the program that the records are placed by.
    """

    def __init__(self, key: str, message: str = "") -> None:
        super().__init__(message or f"no quorum of storage members for {key}")
        self.key = key
