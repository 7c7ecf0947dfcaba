"""Bodies on their way: put by one connection, taken by another, in memory that is counted over all of them.

Whoever puts looks at `full` and waits for `on_room`; whoever takes waits for `on_more`. A body is *whole*
once its last byte has been put, *broken* if that will never come, *cancelled* if nobody takes it any more.

A body that is kept holds what has been taken, to be taken once more from its start: as long as there is room.
Without room it lets that go, tells `on_gone`, and is taken only once from then on.
"""

from __future__ import annotations

from collections import deque

SMALL = 16 * 1024  # pieces under this are put together
WINDOWS = (16 * 1024, 64 * 1024)  # the least and the most that a body may hold beside the room
SHARE = 256  # parts of the room that a window is


def nothing() -> None:
    """Nobody listens."""


class Room:
    """The memory that all bodies share. Each may hold a window beside it, or those that came late would stand
    still until others have gone.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.window = min(max(size // SHARE, WINDOWS[0]), WINDOWS[1])
        self.taken = 0

    @property
    def full(self) -> bool:
        return self.taken >= self.size


class Body:
    """One body. `length` is what it is said to have, None where nobody says."""

    def __init__(self, room: Room, length: int | None = None, *, kept: bool = False) -> None:
        self.room = room
        self.length = length
        self.kept = kept
        self.pieces: deque[bytes | bytearray] = deque()
        self.next = 0  # the piece to be taken next
        self.start = 0  # of the whole body, the first byte that is held, ...
        self.read = 0  # ... the first that has not been taken, ...
        self.end = 0  # ... and the first that has not come
        self.whole = False
        self.broken = False
        self.cancelled = False
        self.on_more = nothing
        self.on_room = nothing
        self.on_gone = nothing
        self.on_cancel = nothing
        self.waiting = False  # whoever puts has been stopped

    # Putting

    def put(self, data: bytes, last: bool = False) -> None:
        """What has come next; `last`: and that is the end."""
        self.whole = self.whole or last
        if self.cancelled:
            return
        if data:
            self._add(data)
        if data or last:
            self.on_more()

    def _add(self, data: bytes) -> None:
        self.end += len(data)
        self.room.taken += len(data)
        last = self.pieces[-1] if self.next < len(self.pieces) else None
        if isinstance(last, bytearray) and len(last) < SMALL:
            last += data
        else:
            self.pieces.append(bytearray(data) if len(data) < SMALL else data)
        self.let_go()

    def break_off(self) -> None:
        """The rest will never come."""
        if not self.whole and not self.broken:
            self.broken = True
            self.on_more()

    @property
    def full(self) -> bool:
        """No more should be put by now. If so, `on_room` will tell."""
        unread = self.end - self.read
        fit = unread < self.room.window or (self.kept and not self.room.full)
        self.waiting = not fit and not self.cancelled
        return self.waiting

    @property
    def crowded(self) -> bool:
        """It holds its window, and there is no room: it will not become whole unless it is taken."""
        return self.end - self.start >= self.room.window and self.room.full

    # Taking

    def take(self) -> bytes:
        """The next piece; empty while there is none."""
        if self.next >= len(self.pieces):
            return b""
        piece = bytes(self.pieces[self.next])
        self.next += 1
        self.read += len(piece)
        self.let_go()
        if self.waiting and self.end - self.read < self.room.window:
            self.waiting = False
            self.on_room()
        return piece

    @property
    def all_taken(self) -> bool:
        return self.whole and self.read == self.end

    def again(self) -> None:
        """From the start once more."""
        if self.start:
            raise ValueError("the start of this body is gone")
        self.next = self.read = 0

    def let_go(self) -> None:
        """Drop what has been taken, where it is not kept or there is no room for it."""
        if not self.next or (self.kept and not self.room.full):
            return
        first = not self.start
        for _ in range(self.next):
            self._drop()
        self.next = 0
        if first and self.kept:
            self.on_gone()

    def cancel(self) -> None:
        """Nobody takes it any more: all that it holds is let go."""
        if not self.cancelled:
            self.cancelled = True
            while self.pieces:
                self._drop()
            self.next = 0
            self.on_more = self.on_gone = nothing
            self.on_cancel()

    def _drop(self) -> None:
        size = len(self.pieces.popleft())
        self.start += size
        self.room.taken -= size


def room_in(memory_mb: int, processes: int) -> Room:
    """What bodies may take of the memory, which so many processes share. Each needs its BASE."""
    left = memory_mb * USED / processes - BASE
    return Room(int(max(left, LEAST) * 1024 * 1024))


USED = 0.8  # of the memory: what buffers on both sides of a body hold comes on top
BASE = 24.0  # MB of a process without bodies: 19 to 21 were seen, and some is left over
LEAST = 1.0
