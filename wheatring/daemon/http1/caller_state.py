"""The states of a caller's connection, and the arrival times of what waits on it. It knows no sockets.

The state is derived in one place, from what the connection holds. Whoever looks for connections to end goes
by it: the sweep, the eviction when all places are taken, and the shutdown. What is due, and what ends it:

| state | due  | ended by |
| --- | --- | --- |
| RESTING | nothing; a request may be on its way | idling, eviction, the shutdown; what came is read first |
| READING | an answer, if only that it took too long | the same, and its own time limit |
| UPLOADING | the same; its request may be under way | its own time limit; the shutdown without a successor |
| BUSY | one complete final answer | that answer, the caller |
| STREAMING | the rest of the answer, and nothing else | that, its endpoint, the caller |
| CLOSING | what has been written | that it has left, the caller, a time limit |
| SHUT | to be read until the caller closes: a reset would destroy what has left | the caller, a time limit |
"""

from __future__ import annotations

from collections import deque
from enum import Enum


class CallerState(Enum):
    """What a caller's connection is doing."""

    RESTING = "between requests"
    READING = "a request is awaited and not complete; the first one from the connect on"
    UPLOADING = "the body of a large request comes in"
    BUSY = "a complete request is under way"
    STREAMING = "a large answer goes out, also before its request is complete"
    CLOSING = "the last answer goes out; nothing is read"
    SHUT = "all that was written has left; what is read is discarded"


def caller_state(
    *,
    is_ending: bool,
    is_shut: bool,
    has_request: bool,
    has_upload: bool,
    has_sender: bool,
    is_awaiting: bool,
) -> CallerState:
    """Return the state of a connection of which these hold: the first that fits, from the top."""
    if is_ending:
        return CallerState.SHUT if is_shut else CallerState.CLOSING
    if has_sender:
        return CallerState.STREAMING
    if has_upload:
        return CallerState.UPLOADING
    if has_request:
        return CallerState.BUSY
    return CallerState.READING if is_awaiting else CallerState.RESTING


class ArrivalTimes:
    """When the bytes arrived that wait behind a request that is being answered.

    The time limit of a request that was sent ahead runs from its arrival: it has waited since.

    Attributes
    ----------
    segments : deque[tuple[int, float]]
        Sizes in bytes, each with the instant at which it was read, in the order of arrival.
    waiting_bytes : int
        The sum of the sizes.
    """

    __slots__ = ("segments", "waiting_bytes")

    def __init__(self) -> None:
        self.segments: deque[tuple[int, float]] = deque()
        self.waiting_bytes = 0

    def record(self, size: int, now: float) -> None:
        """Note that `size` bytes wait by now; those that did not wait before have just been read."""
        if size > self.waiting_bytes:
            self.segments.append((size - self.waiting_bytes, now))
            self.waiting_bytes = size

    def consume(self, size: int, since: float) -> float:
        """Note that only `size` bytes wait still.

        Returns
        -------
        float
            The instant at which the last byte was read that waits no more; `since`, if none did wait.
        """
        while self.waiting_bytes > size:
            part, since = self.segments.popleft()
            self.waiting_bytes -= part
            if self.waiting_bytes < size:
                self.segments.appendleft((size - self.waiting_bytes, since))
                self.waiting_bytes = size
        return since

    def clear(self) -> None:
        """Forget what waits: it is half a request, the rest of which comes later."""
        self.segments.clear()
        self.waiting_bytes = 0
