"""A ring of files: lines are appended to the newest, and the oldest are deleted. No line is split."""

from __future__ import annotations

import os
import re
from collections import deque
from contextlib import suppress
from pathlib import Path
from urllib.parse import quote, unquote

from wheatring.common import log
from wheatring.daemon.core.clock import Clock, Timer

FLUSH_SECONDS = 0.2  # longest time before a line is written
BATCH_BYTES = 16 * 1024  # lines are written as soon as there are this many bytes of them
CUT_MARK = "!\n"  # ends a line that a killed process left incomplete; no other line ends with it

_NAME = re.compile(r"capture-(.+)-([0-9]{6,})\.log")


def files_in(folder: Path) -> dict[str, list[tuple[int, Path]]]:
    """Return the numbered files of each sidecar, oldest first."""
    found: dict[str, list[tuple[int, Path]]] = {}
    for path in folder.iterdir():
        match = _NAME.fullmatch(path.name)
        if match is not None:
            found.setdefault(unquote(match[1], errors="surrogatepass"), []).append((int(match[2]), path))
    return {name: sorted(files) for name, files in sorted(found.items())}


class CaptureRing:
    """The files of one sidecar's record, and the lines that are not written yet.

    With `shared`, another process of the same sidecar may still be writing. This process then begins a file
    of its own, and the older process stops recording when it would begin its next file.

    Attributes
    ----------
    older_files : deque of tuple of Path and int
        The older files with their sizes in bytes, oldest first.
    number, used_bytes : int
        The number and the size of the newest file.
    is_off : bool
        Whether recording has ended: a write failed, or the ring was closed.
    """

    def __init__(
        self, folder: str, name: str, max_files: int, max_file_bytes: int, clock: Clock, shared: bool = False
    ) -> None:
        self.folder = Path(folder)
        self.name = name
        self.max_files = max_files
        self.max_file_bytes = max_file_bytes
        self.clock = clock
        self.lines: list[bytes] = []
        self.unwritten_bytes = 0
        self.flush_timer: Timer | None = None
        self.is_off = False
        self.older_files: deque[tuple[Path, int]] = deque()
        self.number = 0
        self.file = -1
        self.used_bytes = 0
        try:
            self._resume(shared)
        except OSError as error:
            self._disable(error)

    def write(self, line: str) -> None:
        """Record a line; a line longer than a file may be is replaced by a mark."""
        if self.is_off:
            return
        data = line.encode("ascii") + b"\n"
        if len(data) > self.max_file_bytes:
            data = b"x %d\n" % len(data)  # tells replay that a line is missing
        self.lines.append(data)
        self.unwritten_bytes += len(data)
        if self.unwritten_bytes >= BATCH_BYTES:
            self.flush()
        elif self.flush_timer is None:
            self.flush_timer = self.clock.at(self.clock.now() + FLUSH_SECONDS, self.flush)

    def flush(self) -> None:
        """Write the pending lines."""
        if self.flush_timer is not None and self.flush_timer.active():
            self.flush_timer.cancel()
        self.flush_timer = None
        lines, self.lines, self.unwritten_bytes = self.lines, [], 0
        if self.is_off:
            return
        try:
            batch = bytearray()
            for line in lines:
                if self.used_bytes + len(batch) + len(line) > self.max_file_bytes:
                    self._append(batch)
                    self._rotate()
                    batch.clear()
                batch += line
            self._append(batch)
        except OSError as error:
            self._disable(error)

    def close(self) -> None:
        """Write the pending lines and end recording."""
        self.flush()
        self.is_off = True
        self._close_file()

    def _append(self, data: bytearray) -> None:
        self.used_bytes += len(data)
        with memoryview(data) as remaining:
            written = 0
            while written < len(data):
                written += os.write(self.file, remaining[written:])

    def _resume(self, shared: bool) -> None:
        """Continue the files of an earlier process."""
        for number, path in files_in(self.folder).get(self.name, []):
            self.number = number
            self.older_files.append((path, path.stat().st_size))
        if shared or not self.older_files or self.older_files[-1][1] + len(CUT_MARK) >= self.max_file_bytes:
            self._rotate()
            return
        newest, self.used_bytes = self.older_files.pop()
        self._make_room()
        self.file = os.open(newest, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)
        if self.used_bytes and os.pread(self.file, 1, self.used_bytes - 1) != b"\n":
            self._append(bytearray(CUT_MARK, "ascii"))

    def _rotate(self) -> None:
        if self.file >= 0:
            self.older_files.append((self._path(), self.used_bytes))
        self._close_file()
        self._make_room()
        self.number += 1
        self.file = os.open(self._path(), os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o640)
        self.used_bytes = 0

    def _make_room(self) -> None:
        """Delete old files until another full one fits: the ring must never exceed its configured size."""
        while self.older_files and (
            len(self.older_files) >= self.max_files
            or sum(size for _, size in self.older_files) + self.max_file_bytes
            > self.max_files * self.max_file_bytes
        ):
            with suppress(FileNotFoundError):
                self.older_files[0][0].unlink()
            self.older_files.popleft()

    def _path(self) -> Path:
        name = quote(self.name, safe="", errors="surrogatepass")
        return self.folder / f"capture-{name}-{self.number:06d}.log"

    def _close_file(self) -> None:
        if self.file >= 0:
            os.close(self.file)
        self.file = -1

    def _disable(self, error: OSError) -> None:
        """End the record, as a record with a gap can't be replayed. Requests are still served."""
        self.is_off = True
        with suppress(OSError):
            self._close_file()
        log.line("capture-off", warning=error.strerror, folder=self.folder)
