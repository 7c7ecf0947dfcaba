"""Errors of the sockets between sidecars."""

from __future__ import annotations


class DatagramRejectedError(ValueError):
    """A datagram, sent or received, that fails a check and is dropped.

    Attributes
    ----------
    cause : str
        The reason code in the log and in the counters: `too-large`, `version`, `key`, `form`, `unknown-word`,
        `fleet`, `name`, `old-start` or `replayed`.
    """

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause
