"""The errors of calls between processes."""

from __future__ import annotations


class PeerUnreachableError(Exception):
    """No reply was received; the peer may or may not have executed the call.

    Attributes
    ----------
    peer
        Host and port of the peer.
    reason
        Why there is no reply.
    """

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__(f"{peer}: {reason}")
        self.peer = peer
        self.reason = reason
