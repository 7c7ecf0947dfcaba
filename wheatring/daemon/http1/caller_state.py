"""The states of a caller's connection, and the arrival times of its buffered input. Independent of sockets.

The state is derived here only, from the attributes of the connection. The idle sweep, the eviction when all
slots are in use, and the shutdown use it to decide which connections to close:

| state | owed to the caller | ended by |
| --- | --- | --- |
| IDLE | nothing; a request may be in transit | idle time-out, eviction or shutdown, if no input is pending |
| READING | a response, which may be a time-out error | the same, and the request's time limit |
| UPLOADING | the same; the request may be in flight | the request's time limit; shutdown without successor |
| BUSY | one complete final response | that response, the caller |
| STREAMING | the rest of the response, nothing else | the end of the response, its endpoint, the caller |
| CLOSING | the output that was written | all output sent, the caller, a time limit |
| SHUT | reading until the caller closes, as a reset could destroy sent output | the caller, a time limit |
"""

from __future__ import annotations

from collections import deque
from enum import Enum


class CallerState(Enum):
    """The state of a caller's connection."""

    IDLE = "between requests"
    READING = "a request is being received; for the first one, from the connect on"
    UPLOADING = "the body of a large request is being received"
    BUSY = "a complete request is in flight"
    STREAMING = "a large response is being sent, possibly before its request is complete"
    CLOSING = "the last response is being sent; nothing is read"
    SHUT = "all output has been sent; input is discarded"


def caller_state(
    *,
    is_closing: bool,
    is_write_shut: bool,
    has_request: bool,
    has_upload: bool,
    has_sender: bool,
    is_reading_request: bool,
) -> CallerState:
    """Return the state of a connection. Conditions are checked in order of precedence."""
    if is_closing:
        return CallerState.SHUT if is_write_shut else CallerState.CLOSING
    if has_sender:
        return CallerState.STREAMING
    if has_upload:
        return CallerState.UPLOADING
    if has_request:
        return CallerState.BUSY
    return CallerState.READING if is_reading_request else CallerState.IDLE


class ArrivalTimes:
    """Arrival times of the bytes that are buffered behind the current request.

    The deadline of a pipelined request is computed from its arrival, so that queueing time counts.

    Attributes
    ----------
    segments : deque[tuple[int, float]]
        Size in bytes and time of each read, in order of arrival.
    waiting_bytes : int
        Sum of the sizes.
    """

    __slots__ = ("segments", "waiting_bytes")

    def __init__(self) -> None:
        self.segments: deque[tuple[int, float]] = deque()
        self.waiting_bytes = 0

    def record(self, size: int, now: float) -> None:
        """Record that `size` bytes are buffered at time `now`; the increase has just been read."""
        if size > self.waiting_bytes:
            self.segments.append((size - self.waiting_bytes, now))
            self.waiting_bytes = size

    def consume(self, size: int, since: float) -> float:
        """Record that only `size` bytes are still buffered.

        Returns
        -------
        float
            Time at which the last of the consumed bytes was read; `since` if nothing was consumed.
        """
        while self.waiting_bytes > size:
            part, since = self.segments.popleft()
            self.waiting_bytes -= part
            if self.waiting_bytes < size:
                self.segments.appendleft((size - self.waiting_bytes, since))
                self.waiting_bytes = size
        return since

    def clear(self) -> None:
        """Discard all entries: a partial request counts from the arrival of its last byte."""
        self.segments.clear()
        self.waiting_bytes = 0
