"""Bodies in transit: written by one connection, read by another, in memory that is counted over all of them.

The writer checks `is_full` and waits for `on_space`; the reader takes what there is and waits for `on_data`.
A body is *complete* once its last byte has been put, *broken* if that will never come, and *cancelled* if
nobody reads it any more.

A replayable body keeps what has been taken, so that it can be read again from its start, as long as there is
memory. Without memory it releases that, calls `on_replay_lost`, and can be read only once from then on.
"""

from __future__ import annotations

from collections import deque

from wheatring.common.exceptions import BodyNotReplayableError

MAX_COALESCED_BYTES = 16 * 1024  # smaller buffers are joined
WINDOW_LIMITS_BYTES = (16 * 1024, 64 * 1024)  # the smallest and the largest window
WINDOWS_PER_MEMORY = 256  # a window is this part of the memory

# Of the process's memory, the part that bodies may use: the buffers on both sides of a body come on top.
USABLE_FRACTION = 0.8
PROCESS_BASE_MB = 24.0  # a process without bodies: 19 to 21 were measured, and some is left over
MINIMUM_MB = 1.0


def no_listener() -> None:
    """Stand in for a callback that nobody has set."""


class BodyMemory:
    """The memory that all bodies of a process share.

    Each body may hold a window beside it, or a body that began late would stand still until others had ended.

    Attributes
    ----------
    limit_bytes, used_bytes : int
        What bodies may hold together, and what they do. The limit may be exceeded by a window for each body.
    window_bytes : int
        What one body may hold though there is no memory.
    """

    def __init__(self, limit_bytes: int) -> None:
        smallest, largest = WINDOW_LIMITS_BYTES
        self.limit_bytes = limit_bytes
        self.window_bytes = min(max(limit_bytes // WINDOWS_PER_MEMORY, smallest), largest)
        self.used_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether the limit is reached."""
        return self.used_bytes >= self.limit_bytes


class Body:
    """One body in transit between two connections.

    Attributes
    ----------
    length : int | None
        The length that the sender has stated, in bytes; None: it has not.
    is_replayable : bool
        What has been taken is kept, as long as there is memory.
    start_offset, taken_offset, end_offset : int
        Of the whole body: the first byte that is held, the first that has not been taken, and the first that
        has not come.
    on_data, on_space, on_replay_lost, on_cancel : Callable[[], None]
        Called when there is more to take, when the writer may go on, when the start has been released, and
        when nobody reads it any more.
    """

    def __init__(self, memory: BodyMemory, length: int | None = None, *, is_replayable: bool = False) -> None:
        self.memory = memory
        self.length = length
        self.is_replayable = is_replayable
        self.buffers: deque[bytes | bytearray] = deque()
        self.next_index = 0  # the buffer to be taken next
        self.start_offset = 0
        self.taken_offset = 0
        self.end_offset = 0
        self.is_complete = False
        self.is_broken = False
        self.is_cancelled = False
        self.on_data = no_listener
        self.on_space = no_listener
        self.on_replay_lost = no_listener
        self.on_cancel = no_listener
        self.producer_waits = False  # the writer was told that this is full

    # The writer's side

    def put(self, data: bytes, is_last: bool = False) -> None:
        """Append what has come next; `is_last`: the body ends with it."""
        self.is_complete = self.is_complete or is_last
        if self.is_cancelled:
            return
        if data:
            self._append(data)
        if data or is_last:
            self.on_data()

    def _append(self, data: bytes) -> None:
        self.end_offset += len(data)
        self.memory.used_bytes += len(data)
        newest = self.buffers[-1] if self.next_index < len(self.buffers) else None
        if isinstance(newest, bytearray) and len(newest) < MAX_COALESCED_BYTES:
            newest += data
        else:
            self.buffers.append(bytearray(data) if len(data) < MAX_COALESCED_BYTES else data)
        self.release_taken()

    def mark_broken(self) -> None:
        """Note that the rest will never come."""
        if not self.is_complete and not self.is_broken:
            self.is_broken = True
            self.on_data()

    @property
    def is_full(self) -> bool:
        """Whether the writer must wait. If so, `on_space` is called once it may go on."""
        unread = self.end_offset - self.taken_offset
        fits = unread < self.memory.window_bytes or (self.is_replayable and not self.memory.is_full)
        self.producer_waits = not fits and not self.is_cancelled
        return self.producer_waits

    @property
    def needs_consumer(self) -> bool:
        """Whether it holds a window and there is no memory: it can't become complete unless it is read."""
        return self.end_offset - self.start_offset >= self.memory.window_bytes and self.memory.is_full

    # The reader's side

    def take(self) -> bytes:
        """Return the next buffer; empty while there is none."""
        if self.next_index >= len(self.buffers):
            return b""
        data = bytes(self.buffers[self.next_index])
        self.next_index += 1
        self.taken_offset += len(data)
        self.release_taken()
        if self.producer_waits and self.end_offset - self.taken_offset < self.memory.window_bytes:
            self.producer_waits = False
            self.on_space()
        return data

    @property
    def is_exhausted(self) -> bool:
        """Whether it is complete and all of it has been taken."""
        return self.is_complete and self.taken_offset == self.end_offset

    def rewind(self) -> None:
        """Have it read again from its start.

        Raises
        ------
        BodyNotReplayableError
            Its start has been released.
        """
        if self.start_offset:
            raise BodyNotReplayableError("the start of this body is gone")
        self.next_index = self.taken_offset = 0

    def release_taken(self) -> None:
        """Release what has been taken, if it is not to be kept or there is no memory for it."""
        if not self.next_index or (self.is_replayable and not self.memory.is_full):
            return
        is_first = not self.start_offset
        for _ in range(self.next_index):
            self._drop_first()
        self.next_index = 0
        if is_first and self.is_replayable:
            self.on_replay_lost()

    def cancel(self) -> None:
        """Release all that it holds: nobody reads it any more."""
        if not self.is_cancelled:
            self.is_cancelled = True
            while self.buffers:
                self._drop_first()
            self.next_index = 0
            self.on_data = self.on_replay_lost = no_listener
            self.on_cancel()

    def _drop_first(self) -> None:
        size = len(self.buffers.popleft())
        self.start_offset += size
        self.memory.used_bytes -= size


def body_memory_for(memory_mb: int, processes: int) -> BodyMemory:
    """Return the memory for bodies in one of several processes that share `memory_mb`."""
    available_mb = memory_mb * USABLE_FRACTION / processes - PROCESS_BASE_MB
    return BodyMemory(int(max(available_mb, MINIMUM_MB) * 1024 * 1024))
