"""What a receiver of acts does: it refuses an older term than it has seen."""

from __future__ import annotations


class FencingGuard:
    """One for each duty, wherever its acts arrive. An act that was under way when its term ended does no harm
    behind it: by then the next holder has acted, or it was the last to act.
    """

    def __init__(self) -> None:
        self.highest_token = 0
        self.rejected_count = 0

    def admit(self, token: int) -> bool:
        if token < self.highest_token:
            self.rejected_count += 1
            return False
        self.highest_token = token
        return True
