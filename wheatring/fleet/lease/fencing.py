"""Fencing tokens: a receiver rejects a holder's actions under an older lease than it has already seen."""

from __future__ import annotations


class FencingGuard:
    """Checks the fencing token, a lease's epoch, of each action that arrives.

    There is one guard for each role and receiver. An action that was in flight when its lease ended is
    harmless: if the next holder has already acted it is rejected, and otherwise it conflicts with nothing.
    """

    def __init__(self) -> None:
        self.highest_token = 0
        self.rejected_count = 0

    def admit(self, token: int) -> bool:
        """Return whether an action with this token may take effect."""
        if token < self.highest_token:
            self.rejected_count += 1
            return False
        self.highest_token = token
        return True
