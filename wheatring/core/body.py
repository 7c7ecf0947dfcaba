"""Bodies on their way: put by one connection, taken by another, in memory that is counted over all of them.

Whoever puts looks at `full` and waits for `on_room`; whoever takes waits for `on_more`. A body is *whole*
once its last byte has been put, *broken* if that will never come, *cancelled* if nobody takes it any more.

A body that is kept holds what has been taken, to be taken once more from its start: as long as there is room.
Without room it lets that go, tells `on_gone`, and is taken only once from then on.
"""

from __future__ import annotations

from collections import deque

COALESCE_BELOW_BYTES = 16 * 1024  # pieces under this are put together
WINDOW_LIMITS_BYTES = (16 * 1024, 64 * 1024)  # the least and the most that a body may hold beside the room
WINDOWS_PER_MEMORY = 256  # parts of the room that a window is


def no_listener() -> None:
    """Nobody listens."""


class BodyMemory:
    """The memory that all bodies share. Each may hold a window beside it, or those that came late would stand
    still until others have gone.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.window_bytes = min(
            max(limit_bytes // WINDOWS_PER_MEMORY, WINDOW_LIMITS_BYTES[0]), WINDOW_LIMITS_BYTES[1]
        )
        self.used_bytes = 0

    @property
    def is_full(self) -> bool:
        return self.used_bytes >= self.limit_bytes


class Body:
    """One body. `length` is what it is said to have, None where nobody says."""

    def __init__(self, memory: BodyMemory, length: int | None = None, *, is_replayable: bool = False) -> None:
        self.memory = memory
        self.length = length
        self.is_replayable = is_replayable
        self.buffers: deque[bytes | bytearray] = deque()
        self.next_index = 0  # the piece to be taken next
        self.start_offset = 0  # of the whole body, the first byte that is held, ...
        self.taken_offset = 0  # ... the first that has not been taken, ...
        self.end_offset = 0  # ... and the first that has not come
        self.is_complete = False
        self.is_broken = False
        self.is_cancelled = False
        self.on_data = no_listener
        self.on_space = no_listener
        self.on_replay_lost = no_listener
        self.on_cancel = no_listener
        self.producer_waits = False  # whoever puts has been stopped

    # Putting

    def put(self, data: bytes, is_last: bool = False) -> None:
        """What has come next; `last`: and that is the end."""
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
        last = self.buffers[-1] if self.next_index < len(self.buffers) else None
        if isinstance(last, bytearray) and len(last) < COALESCE_BELOW_BYTES:
            last += data
        else:
            self.buffers.append(bytearray(data) if len(data) < COALESCE_BELOW_BYTES else data)
        self.release_taken()

    def mark_broken(self) -> None:
        """The rest will never come."""
        if not self.is_complete and not self.is_broken:
            self.is_broken = True
            self.on_data()

    @property
    def is_full(self) -> bool:
        """No more should be put by now. If so, `on_room` will tell."""
        unread = self.end_offset - self.taken_offset
        fit = unread < self.memory.window_bytes or (self.is_replayable and not self.memory.is_full)
        self.producer_waits = not fit and not self.is_cancelled
        return self.producer_waits

    @property
    def needs_consumer(self) -> bool:
        """It holds its window, and there is no room: it will not become whole unless it is taken."""
        return self.end_offset - self.start_offset >= self.memory.window_bytes and self.memory.is_full

    # Taking

    def take(self) -> bytes:
        """The next piece; empty while there is none."""
        if self.next_index >= len(self.buffers):
            return b""
        piece = bytes(self.buffers[self.next_index])
        self.next_index += 1
        self.taken_offset += len(piece)
        self.release_taken()
        if self.producer_waits and self.end_offset - self.taken_offset < self.memory.window_bytes:
            self.producer_waits = False
            self.on_space()
        return piece

    @property
    def is_exhausted(self) -> bool:
        return self.is_complete and self.taken_offset == self.end_offset

    def rewind(self) -> None:
        """From the start once more."""
        if self.start_offset:
            raise ValueError("the start of this body is gone")
        self.next_index = self.taken_offset = 0

    def release_taken(self) -> None:
        """Drop what has been taken, where it is not kept or there is no room for it."""
        if not self.next_index or (self.is_replayable and not self.memory.is_full):
            return
        first = not self.start_offset
        for _ in range(self.next_index):
            self._drop_first()
        self.next_index = 0
        if first and self.is_replayable:
            self.on_replay_lost()

    def cancel(self) -> None:
        """Nobody takes it any more: all that it holds is let go."""
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
    """What bodies may take of the memory, which so many processes share. Each needs its BASE."""
    left = memory_mb * USABLE_FRACTION / processes - PROCESS_BASE_MB
    return BodyMemory(int(max(left, MINIMUM_MB) * 1024 * 1024))


USABLE_FRACTION = 0.8  # of the memory: what buffers on both sides of a body hold comes on top
PROCESS_BASE_MB = 24.0  # MB of a process without bodies: 19 to 21 were seen, and some is left over
MINIMUM_MB = 1.0
