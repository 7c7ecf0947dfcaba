"""The state of a link, and the arrival times that it gives to data. No I/O; the time (s) is an argument."""

from __future__ import annotations

from collections import deque
from random import Random

from msgspec import Struct

MAX_BUFFERED_BYTES = 262_144  # buffer per direction of a connection, like a receive window


class LinkState(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The state of a link; `forward` is the direction from the connecting side, `backward` the reverse."""

    forward: bool = True  # data is delivered; otherwise it is held back, as TCP would retransmit it
    backward: bool = True
    connects: bool = True  # connects succeed; otherwise they hang without an answer
    delay: float = 0.0  # one-way delay in seconds
    jitter: float = 0.0  # maximum additional delay in seconds, drawn uniformly for each chunk
    rate: float = 0.0  # bytes per second in each direction; 0: unlimited
    drop: float = 0.0  # probability that a datagram is lost
    duplicate: float = 0.0  # probability that it is delivered twice
    reorder: float = 0.0  # probability that it is delayed by `reorder_delay`
    reorder_delay: float = 0.02  # seconds; later datagrams overtake it

    def passes(self, forward: bool) -> bool:
        """Return whether data is delivered in a direction."""
        return self.forward if forward else self.backward


NO_FAULT = LinkState()


class DelayLine:
    """Delays the data of one direction of a connection, and keeps its order."""

    __slots__ = ("buffered_bytes", "due", "queue", "random")

    def __init__(self, random: Random) -> None:
        self.random = random
        self.queue: deque[tuple[float, bytes]] = deque()
        self.buffered_bytes = 0
        self.due = 0.0  # arrival time of the last chunk

    def put(self, now: float, data: bytes, state: LinkState) -> None:
        """Add data, and determine when it arrives."""
        due = now + state.delay + (state.jitter * self.random.random() if state.jitter else 0.0)
        start = max(self.due, due)
        self.due = start + (len(data) / state.rate if state.rate else 0.0)
        self.queue.append((self.due, data))
        self.buffered_bytes += len(data)

    def take(self, now: float) -> bytes:
        """Remove and return all data that has arrived by now."""
        parts = []
        while self.queue and self.queue[0][0] <= now:
            parts.append(self.queue.popleft()[1])
        data = b"".join(parts)
        self.buffered_bytes -= len(data)
        return data

    @property
    def next(self) -> float | None:
        """The arrival time of the next chunk, or None if there is none."""
        return self.queue[0][0] if self.queue else None


def datagram(now: float, state: LinkState, forward: bool, random: Random) -> list[float]:
    """Return the arrival times of a datagram that is sent now: none, one or two."""
    if not state.passes(forward) or random.random() < state.drop:
        return []
    due = now + state.delay + state.jitter * random.random()
    if random.random() < state.reorder:
        due += state.reorder_delay
    return [due, due] if random.random() < state.duplicate else [due]
