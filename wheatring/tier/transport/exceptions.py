"""The errors of calls between processes."""

from __future__ import annotations


class PeerUnreachableError(Exception):
    """No reply came: the peer may or may not have done what the call asked for.

    Attributes
    ----------
    peer
        Host and port of the peer.
    reason
        What ended the wait.
    """

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__(f"{peer}: {reason}")
        self.peer = peer
        self.reason = reason
