"""The state of a link, and when what was sent on it arrives. No I/O: instants (s) are handed in."""

from __future__ import annotations

from collections import deque
from random import Random

from msgspec import Struct

MAX_BUFFERED_BYTES = 262_144  # bytes that one direction of a connection holds, as a window would


class LinkState(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What a link does; `forward` is from who connects to the other end, `backward` the way from there."""

    forward: bool = True  # what goes that way arrives; else it is held, as TCP would send it again later
    backward: bool = True
    connects: bool = True  # new connections come up; else they hang, as nobody answers
    delay: float = 0.0  # seconds that each way takes
    jitter: float = 0.0  # seconds more at most, drawn evenly for each piece
    rate: float = 0.0  # bytes a second each way; 0: as fast as it goes
    drop: float = 0.0  # share of datagrams that are lost,
    duplicate: float = 0.0  # that come twice,
    reorder: float = 0.0  # and that are overtaken by those of the next moment
    reorder_delay: float = 0.02  # seconds by which an overtaken one is late

    def passes(self, forward: bool) -> bool:
        """Whether anything passes, that way."""
        return self.forward if forward else self.backward


NO_FAULT = LinkState()


class DelayLine:
    """One direction of one connection, in order."""

    __slots__ = ("buffered_bytes", "due", "queue", "random")

    def __init__(self, random: Random) -> None:
        self.random = random
        self.queue: deque[tuple[float, bytes]] = deque()
        self.buffered_bytes = 0  # bytes
        self.due = 0.0  # of the last piece

    def put(self, now: float, data: bytes, state: LinkState) -> None:
        """Send bytes on their way."""
        due = now + state.delay + (state.jitter * self.random.random() if state.jitter else 0.0)
        start = max(self.due, due)
        self.due = start + (len(data) / state.rate if state.rate else 0.0)
        self.queue.append((self.due, data))
        self.buffered_bytes += len(data)

    def take(self, now: float) -> bytes:
        """Return all that has arrived by now."""
        parts = []
        while self.queue and self.queue[0][0] <= now:
            parts.append(self.queue.popleft()[1])
        data = b"".join(parts)
        self.buffered_bytes -= len(data)
        return data

    @property
    def next(self) -> float | None:
        """When the next bytes arrive; None: there are none."""
        return self.queue[0][0] if self.queue else None


def datagram(now: float, state: LinkState, forward: bool, random: Random) -> list[float]:
    """Return the instants at which a datagram that is sent now arrives: none, one or two of them."""
    if not state.passes(forward) or random.random() < state.drop:
        return []
    due = now + state.delay + state.jitter * random.random()
    if random.random() < state.reorder:
        due += state.reorder_delay
    return [due, due] if random.random() < state.duplicate else [due]
