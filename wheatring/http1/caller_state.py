"""What a caller's connection is at, and since when what waits on it is there. It knows no sockets.

The state is told in one place, from what the connection holds. Whoever looks for connections to end goes by
it: the sweep, callers that wait for a place, and the stop. What is owed, and what ends it:

| state | owed | ended by |
| --- | --- | --- |
| RESTING | nothing; a request may be on its way | idling, a full house, the stop; what came is read first |
| READING | an answer, if only that it took too long | the same, and its own time |
| UPLOADING | the same; its job may be under way | its own time; the stop, unless another copy serves |
| BUSY | one whole final answer | that answer, the caller |
| STREAMING | the rest of the answer, and nothing else | that, its endpoint, the caller |
| CLOSING | what has been written | that it has left, the caller, a bounded time |
| SHUT | hearing: a reset would destroy what has left | the caller, a bounded time |
"""

from __future__ import annotations

from collections import deque
from enum import Enum


class CallerState(Enum):
    RESTING = "between requests"
    READING = "a request is awaited and not whole; the first one from the connect on"
    UPLOADING = "the body of a large request comes in"
    BUSY = "a whole request is under way"
    STREAMING = "a large answer goes out, also before its request is whole"
    CLOSING = "the last answer goes out; nothing is read"
    SHUT = "all that was written has left; what is read is thrown away"


def caller_state(
    *, ending: bool, shut: bool, job: bool, upload: bool, sender: bool, waiting: bool
) -> CallerState:
    """The state of a connection of which these hold: the first that fits, in the order of the lines."""
    if ending:
        return CallerState.SHUT if shut else CallerState.CLOSING
    if sender:
        return CallerState.STREAMING
    if upload:
        return CallerState.UPLOADING
    if job:
        return CallerState.BUSY
    return CallerState.READING if waiting else CallerState.RESTING


class ArrivalTimes:
    """The pieces that wait behind a request that is being answered, in their order, each with the instant at
    which it was read. What a caller gives a request runs from then on: it has waited since.
    """

    __slots__ = ("segments", "waiting_bytes")

    def __init__(self) -> None:
        self.segments: deque[tuple[int, float]] = deque()
        self.waiting_bytes = 0  # of them all

    def record(self, size: int, now: float) -> None:
        """So many bytes wait by now; those that did not wait before have just been read."""
        if size > self.waiting_bytes:
            self.segments.append((size - self.waiting_bytes, now))
            self.waiting_bytes = size

    def consume(self, size: int, since: float) -> float:
        """So many bytes wait still. The instant at which the last one that does not was read, and `since` for
        one that has never waited.
        """
        while self.waiting_bytes > size:
            length, since = self.segments.popleft()
            self.waiting_bytes -= length
            if self.waiting_bytes < size:
                self.segments.appendleft((size - self.waiting_bytes, since))
                self.waiting_bytes = size
        return since

    def clear(self) -> None:
        """What waits is half a request: the rest comes later."""
        self.segments.clear()
        self.waiting_bytes = 0
