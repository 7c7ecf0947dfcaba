"""When the bytes have come that wait behind a request which is being answered. It knows no sockets.

What a caller gives a request runs from then on, and not from the request's turn: the caller has waited since.
"""

from __future__ import annotations

from collections import deque


class Arrivals:
    """The pieces that wait, in their order, each with the instant at which it was read."""

    __slots__ = ("pieces", "size")

    def __init__(self) -> None:
        self.pieces: deque[tuple[int, float]] = deque()
        self.size = 0  # of them all

    def held(self, size: int, now: float) -> None:
        """So many bytes wait by now; those that did not wait before have just been read."""
        if size > self.size:
            self.pieces.append((size - self.size, now))
            self.size = size

    def left(self, size: int, since: float) -> float:
        """So many bytes wait still. The instant at which the last one that does not was read, and `since` for
        one that has never waited."""
        while self.size > size:
            length, since = self.pieces.popleft()
            self.size -= length
            if self.size < size:
                self.pieces.appendleft((size - self.size, since))
                self.size = size
        return since

    def clear(self) -> None:
        """What waits is half a request: the rest comes later."""
        self.pieces.clear()
        self.size = 0
