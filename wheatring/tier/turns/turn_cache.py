"""A sidecar's cache of turns."""

from __future__ import annotations

from collections import OrderedDict

from wheatring.tier.transport.messages_pb2 import Turn

CACHE_BYTES = 24 * 1024 * 1024
TURN_OVERHEAD_BYTES = 200
ANCESTOR_BYTES = 40  # Estimated size of an id in the list of ancestors.


class TurnCache:
    """An LRU cache of turns. Turns are immutable, so a cached turn is never stale."""

    def __init__(self, limit_bytes: int = CACHE_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._turns: OrderedDict[str, Turn] = OrderedDict()  # least recently used first
        self._size_bytes = 0

    def get(self, turn_id: str) -> Turn | None:
        """Return a turn by its id, or None if it is not cached."""
        turn = self._turns.get(turn_id)
        if turn is not None:
            self._turns.move_to_end(turn_id)
        return turn

    def put(self, turn: Turn) -> None:
        """Add a turn, and evict the least recently used ones beyond the size limit."""
        if turn.id in self._turns:
            return
        self._turns[turn.id] = turn
        self._size_bytes += _size_bytes(turn)
        while self._size_bytes > self._limit_bytes:
            _, oldest = self._turns.popitem(last=False)
            self._size_bytes -= _size_bytes(oldest)


def _size_bytes(turn: Turn) -> int:
    ancestors = ANCESTOR_BYTES * len(turn.ancestors)
    return len(turn.input) + len(turn.output) + ancestors + TURN_OVERHEAD_BYTES
