"""What a receiver of acts does: it refuses an older term than it has seen."""

from __future__ import annotations


class Fence:
    """One for each duty, wherever its acts arrive. An act that was under way when its term ended does no harm
    behind it: by then the next holder has acted, or it was the last to act.
    """

    def __init__(self) -> None:
        self.seen = 0
        self.refused = 0

    def admit(self, epoch: int) -> bool:
        if epoch < self.seen:
            self.refused += 1
            return False
        self.seen = epoch
        return True
