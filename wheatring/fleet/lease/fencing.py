"""Fencing tokens: the receiver of a holder's acts rejects those of an older lease than it has seen."""

from __future__ import annotations


class FencingGuard:
    """Checks the fencing token, a lease's epoch, of each act that arrives; one for each role and receiver.

    An act that was in flight when its lease ended does no harm behind it: either the next holder has acted by
    then, and it is rejected, or nobody has.
    """

    def __init__(self) -> None:
        self.highest_token = 0
        self.rejected_count = 0

    def admit(self, token: int) -> bool:
        """Return whether an act with this token may take effect."""
        if token < self.highest_token:
            self.rejected_count += 1
            return False
        self.highest_token = token
        return True
