"""A ring of files: lines go to the newest, and the oldest makes room for the next. No line is split."""

from __future__ import annotations

import os
import re
from collections import deque
from contextlib import suppress
from pathlib import Path
from urllib.parse import quote, unquote

from wheatring.common import log
from wheatring.daemon.core.clock import Clock, Timer

FLUSH_SECONDS = 0.2  # in which lines are written
BATCH_BYTES = 16 * 1024  # that are written at once
CUT_MARK = "!\n"  # the end of a line that a start was killed in; no other line ends with it

_NAME = re.compile(r"capture-(.+)-([0-9]{6,})\.log")


def files_in(folder: Path) -> dict[str, list[tuple[int, Path]]]:
    """Return the numbered files of each sidecar, the oldest first."""
    found: dict[str, list[tuple[int, Path]]] = {}
    for path in folder.iterdir():
        match = _NAME.fullmatch(path.name)
        if match is not None:
            found.setdefault(unquote(match[1], errors="surrogatepass"), []).append((int(match[2]), path))
    return {name: sorted(files) for name, files in sorted(found.items())}


class CaptureRing:
    """The files of one sidecar's record, and the lines that are not written yet.

    With `shared`, another process of this sidecar may be writing. Then this one begins a file of its own; the
    older one ends its record when it would begin the next.

    Attributes
    ----------
    older_files : deque of tuple of Path and int
        The older files with their sizes in bytes, the oldest first.
    number, used : int
        Of the newest file: its number, and its bytes.
    is_off : bool
        Nothing more is recorded: a write failed, or it was closed.
    """

    def __init__(
        self, folder: str, name: str, files: int, size: int, clock: Clock, shared: bool = False
    ) -> None:
        self.folder = Path(folder)
        self.name = name
        self.files = files
        self.size = size
        self.clock = clock
        self.lines: list[bytes] = []
        self.unwritten_bytes = 0  # bytes of these
        self.flush_timer: Timer | None = None
        self.is_off = False
        self.older_files: deque[tuple[Path, int]] = (
            deque()
        )  # the older files with their sizes, the oldest first
        self.number = 0  # of the newest
        self.file = -1
        self.used = 0  # bytes of it
        try:
            self._go_on(shared)
        except OSError as bad:
            self._failed(bad)

    def write(self, line: str) -> None:
        """Record a line; one that no file can hold is replaced by a mark."""
        if self.is_off:
            return
        data = line.encode("ascii") + b"\n"
        if len(data) > self.size:
            data = b"x %d\n" % len(data)  # it fits no file, and replay must know that something lacks
        self.lines.append(data)
        self.unwritten_bytes += len(data)
        if self.unwritten_bytes >= BATCH_BYTES:
            self.flush()
        elif self.flush_timer is None:
            self.flush_timer = self.clock.at(self.clock.now() + FLUSH_SECONDS, self.flush)

    def flush(self) -> None:
        """Write the lines that wait."""
        if self.flush_timer is not None and self.flush_timer.active():
            self.flush_timer.cancel()
        self.flush_timer = None
        lines, self.lines, self.unwritten_bytes = self.lines, [], 0
        if self.is_off:
            return
        try:
            batch = bytearray()
            for line in lines:
                if self.used + len(batch) + len(line) > self.size:
                    self._append(batch)
                    self._turn()
                    batch.clear()
                batch += line
            self._append(batch)
        except OSError as bad:
            self._failed(bad)

    def close(self) -> None:
        """Write the lines that wait, and record no more."""
        self.flush()
        self.is_off = True
        self._shut()

    def _append(self, data: bytearray) -> None:
        self.used += len(data)
        with memoryview(data) as rest:
            done = 0
            while done < len(data):
                done += os.write(self.file, rest[done:])

    def _go_on(self, shared: bool) -> None:
        """Go on after what an earlier start has left."""
        for number, path in files_in(self.folder).get(self.name, []):
            self.number = number
            self.older_files.append((path, path.stat().st_size))
        if shared or not self.older_files or self.older_files[-1][1] + len(CUT_MARK) >= self.size:
            self._turn()
            return
        newest, self.used = self.older_files.pop()
        self._make_room()
        self.file = os.open(newest, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)
        if self.used and os.pread(self.file, 1, self.used - 1) != b"\n":
            self._append(bytearray(CUT_MARK, "ascii"))

    def _turn(self) -> None:
        if self.file >= 0:
            self.older_files.append((self._path(), self.used))
        self._shut()
        self._make_room()
        self.number += 1
        self.file = os.open(self._path(), os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o640)
        self.used = 0

    def _make_room(self) -> None:
        """For one whole file more: at no time may the ring be larger than it is told to be."""
        while self.older_files and (
            len(self.older_files) >= self.files
            or sum(size for _, size in self.older_files) + self.size > self.files * self.size
        ):
            with suppress(FileNotFoundError):
                self.older_files[0][0].unlink()
            self.older_files.popleft()

    def _path(self) -> Path:
        name = quote(self.name, safe="", errors="surrogatepass")
        return self.folder / f"capture-{name}-{self.number:06d}.log"

    def _shut(self) -> None:
        if self.file >= 0:
            os.close(self.file)
        self.file = -1

    def _failed(self, bad: OSError) -> None:
        """End the record: one with a hole can't be replayed. Serving goes on."""
        self.is_off = True
        with suppress(OSError):
            self._shut()
        log.line("capture-off", warning=bad.strerror, folder=self.folder)
