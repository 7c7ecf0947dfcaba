"""The first try behind each request in the world. Only models use it; it is not available to sidecars."""

from __future__ import annotations

from collections import deque
from random import Random

MAX_IDS = 400_000  # the ids of more than five minutes at the operators' load


class OriginalRequest:
    """A first try of a client, shared by its retries, or a node's call for it, which has its own size.

    `size` is the work in seconds on a standard core, `key` the first try's idempotency key ("" if its class
    is safe).
    """

    __slots__ = ("class_index", "first", "key", "size")

    def __init__(self, first: int, class_index: int, size: float, key: str) -> None:
        self.first = first
        self.class_index = class_index
        self.size = size
        self.key = key


class CorrelationTable:
    """The original requests by correlation id.

    Each try and each call of a node has a separate id. The oldest ids are evicted, long after their requests
    have ended.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.by_id: dict[str, OriginalRequest] = {}
        self.order: deque[str] = deque()

    def new(self, origin: OriginalRequest) -> str:
        """Draw an id for a request, and record its origin."""
        ident = f"{self.random.getrandbits(64):016x}"
        self.by_id[ident] = origin
        self.order.append(ident)
        if len(self.order) > MAX_IDS:
            del self.by_id[self.order.popleft()]
        return ident

    def first(self, ident: str) -> int | None:
        """Return the number of the first try behind an id, or None if the id is unknown."""
        origin = self.by_id.get(ident)
        return None if origin is None else origin.first
