"""Where each request in the world comes from. Side knowledge of the models: no sidecar may ever see it."""

from __future__ import annotations

from collections import deque
from random import Random

MOST = 400_000  # ids that are remembered; at the operators' load that is over five minutes


class Origin:
    """One first try of a client, shared by its retries; or one call of a node for it, of a size of its own.

    `size` is its work in seconds on a standard core, `key` the first try's idempotency key ("" where its
    class is safe).
    """

    __slots__ = ("class_index", "first", "key", "size")

    def __init__(self, first: int, class_index: int, size: float, key: str) -> None:
        self.first = first
        self.class_index = class_index
        self.size = size
        self.key = key


class Origins:
    """Correlation ids and their origins. An id is fresh for each try and for each call of a node. The oldest
    are forgotten, long after all of theirs is over.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.of: dict[str, Origin] = {}
        self.order: deque[str] = deque()

    def new(self, origin: Origin) -> str:
        ident = f"{self.random.getrandbits(64):016x}"
        self.of[ident] = origin
        self.order.append(ident)
        if len(self.order) > MOST:
            del self.of[self.order.popleft()]
        return ident

    def first(self, ident: str) -> int | None:
        """The first try that it comes from; None where it is not known."""
        origin = self.of.get(ident)
        return None if origin is None else origin.first
