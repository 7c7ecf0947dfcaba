"""Bodies in transit, written by one connection and read by another, with one memory limit for all of them.

The writer checks `is_full` and waits for `on_space`; the reader takes available data and waits for `on_data`.
A body is *complete* once its last byte has been put, *broken* if the rest will never arrive, and *cancelled*
if it is not read any more.

A replayable body keeps the data that has been taken while there is memory, so that it can be read again from
its start. When memory runs out, it releases that data, calls `on_replay_lost`, and can be read only once.
"""

from __future__ import annotations

from collections import deque

from wheatring.common.exceptions import BodyNotReplayableError

MAX_COALESCED_BYTES = 16 * 1024  # smaller buffers are merged
WINDOW_LIMITS_BYTES = (16 * 1024, 64 * 1024)  # the smallest and the largest window
WINDOWS_PER_MEMORY = 256  # a window is the memory limit divided by this

# The fraction of the process's memory for bodies; the buffers on both sides of a body need the rest.
USABLE_FRACTION = 0.8
PROCESS_BASE_MB = 24.0  # a process without bodies takes 19 to 21 MB; the rest is a margin
MIN_BODY_MEMORY_MB = 1.0


def no_listener() -> None:
    """Do nothing; the default of callbacks that are not set."""


class BodyMemory:
    """The memory that all bodies of a process share.

    Each body may hold a window beyond the limit. Otherwise a body that begins when the memory is full would
    stall until others end.

    Attributes
    ----------
    limit_bytes, used_bytes : int
        The limit on the data held by all bodies, and its present size. Each body may exceed the limit by a
        window.
    window_bytes : int
        The amount that one body may hold even if the memory is full.
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
        The length that the sender stated, in bytes; None: it stated none.
    is_replayable : bool
        Whether taken data is kept while there is memory.
    start_offset, taken_offset, end_offset : int
        Offsets in the whole body: of the first byte held, of the first byte not taken yet, and of the first
        byte not received yet.
    on_data, on_space, on_replay_lost, on_cancel : Callable[[], None]
        Called when there is more data, when the writer may continue, when the start has been released, and
        when the body is cancelled.
    """

    def __init__(self, memory: BodyMemory, length: int | None = None, *, is_replayable: bool = False) -> None:
        self.memory = memory
        self.length = length
        self.is_replayable = is_replayable
        self.buffers: deque[bytes | bytearray] = deque()
        self.next_index = 0  # index of the next buffer to take
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
        self.is_writer_waiting = False  # `is_full` was true when the writer last checked it

    # The writer's side

    def put(self, data: bytes, is_last: bool = False) -> None:
        """Append data; with `is_last` it is the end of the body."""
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
        """Mark the body as broken: the rest will never arrive."""
        if not self.is_complete and not self.is_broken:
            self.is_broken = True
            self.on_data()

    @property
    def is_full(self) -> bool:
        """Whether the writer must wait. If so, `on_space` is called once it may continue."""
        unread = self.end_offset - self.taken_offset
        fits = unread < self.memory.window_bytes or (self.is_replayable and not self.memory.is_full)
        self.is_writer_waiting = not fits and not self.is_cancelled
        return self.is_writer_waiting

    @property
    def needs_consumer(self) -> bool:
        """Whether it holds a window and the memory is full, so that it can't complete unless it is read."""
        return self.end_offset - self.start_offset >= self.memory.window_bytes and self.memory.is_full

    # The reader's side

    def take(self) -> bytes:
        """Return the next buffer; empty if there is none yet."""
        if self.next_index >= len(self.buffers):
            return b""
        data = bytes(self.buffers[self.next_index])
        self.next_index += 1
        self.taken_offset += len(data)
        self.release_taken()
        if self.is_writer_waiting and self.end_offset - self.taken_offset < self.memory.window_bytes:
            self.is_writer_waiting = False
            self.on_space()
        return data

    @property
    def is_exhausted(self) -> bool:
        """Whether it is complete and all of it has been taken."""
        return self.is_complete and self.taken_offset == self.end_offset

    def rewind(self) -> None:
        """Restart reading from the start of the body.

        Raises
        ------
        BodyNotReplayableError
            The start has been released.
        """
        if self.start_offset:
            raise BodyNotReplayableError("the start of this body is gone")
        self.next_index = self.taken_offset = 0

    def release_taken(self) -> None:
        """Release taken data, unless the body is replayable and there is memory to keep it."""
        if not self.next_index or (self.is_replayable and not self.memory.is_full):
            return
        is_first = not self.start_offset
        for _ in range(self.next_index):
            self._drop_first()
        self.next_index = 0
        if is_first and self.is_replayable:
            self.on_replay_lost()

    def cancel(self) -> None:
        """Release all data, as the body is not read any more."""
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
    """Return the memory for the bodies of one of several processes that share `memory_mb`."""
    available_mb = memory_mb * USABLE_FRACTION / processes - PROCESS_BASE_MB
    return BodyMemory(int(max(available_mb, MIN_BODY_MEMORY_MB) * 1024 * 1024))
