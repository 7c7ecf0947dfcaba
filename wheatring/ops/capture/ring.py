"""A ring of files: lines go to the newest, and the oldest makes room for the next. No line is split."""

from __future__ import annotations

import os
import re
from collections import deque
from contextlib import suppress
from pathlib import Path
from urllib.parse import quote, unquote

from wheatring import log
from wheatring.core.clock import Clock, Timer

SOON = 0.2  # seconds in which lines are written
BATCH = 16 * 1024  # bytes that are written at once
CUT = "!\n"  # the end of a line that a start was killed in; none else has that sign there

_NAME = re.compile(r"capture-(.+)-([0-9]{6,})\.log")


def files_in(folder: Path) -> dict[str, list[tuple[int, Path]]]:
    """The numbered files of each sidecar, the oldest first."""
    found: dict[str, list[tuple[int, Path]]] = {}
    for path in folder.iterdir():
        match = _NAME.fullmatch(path.name)
        if match is not None:
            found.setdefault(unquote(match[1], errors="surrogatepass"), []).append((int(match[2]), path))
    return {name: sorted(files) for name, files in sorted(found.items())}


class Ring:
    """`shared`: another process of this sidecar may be writing. Then this one begins a file of its own; the
    older one ends its record when it would begin the next.
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
        self.waiting = 0  # bytes of these
        self.soon: Timer | None = None
        self.off = False
        self.held: deque[tuple[Path, int]] = deque()  # the older files with their sizes, the oldest first
        self.number = 0  # of the newest
        self.file = -1
        self.used = 0  # bytes of it
        try:
            self._go_on(shared)
        except OSError as bad:
            self._failed(bad)

    def write(self, line: str) -> None:
        if self.off:
            return
        data = line.encode("ascii") + b"\n"
        if len(data) > self.size:
            data = b"x %d\n" % len(data)  # it fits no file, and replay must know that something lacks
        self.lines.append(data)
        self.waiting += len(data)
        if self.waiting >= BATCH:
            self.flush()
        elif self.soon is None:
            self.soon = self.clock.at(self.clock.now() + SOON, self.flush)

    def flush(self) -> None:
        if self.soon is not None and self.soon.active():
            self.soon.cancel()
        self.soon = None
        lines, self.lines, self.waiting = self.lines, [], 0
        if self.off:
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
        self.flush()
        self.off = True
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
            self.held.append((path, path.stat().st_size))
        if shared or not self.held or self.held[-1][1] + len(CUT) >= self.size:
            self._turn()
            return
        newest, self.used = self.held.pop()
        self._make_room()
        self.file = os.open(newest, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)
        if self.used and os.pread(self.file, 1, self.used - 1) != b"\n":
            self._append(bytearray(CUT, "ascii"))

    def _turn(self) -> None:
        if self.file >= 0:
            self.held.append((self._path(), self.used))
        self._shut()
        self._make_room()
        self.number += 1
        self.file = os.open(self._path(), os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o640)
        self.used = 0

    def _make_room(self) -> None:
        """For one whole file more: at no time may the ring be larger than it is told to be."""
        while self.held and (
            len(self.held) >= self.files
            or sum(size for _, size in self.held) + self.size > self.files * self.size
        ):
            with suppress(FileNotFoundError):
                self.held[0][0].unlink()
            self.held.popleft()

    def _path(self) -> Path:
        name = quote(self.name, safe="", errors="surrogatepass")
        return self.folder / f"capture-{name}-{self.number:06d}.log"

    def _shut(self) -> None:
        if self.file >= 0:
            os.close(self.file)
        self.file = -1

    def _failed(self, bad: OSError) -> None:
        """A record with a hole can't be replayed, so this ends it; serving goes on."""
        self.off = True
        with suppress(OSError):
            self._shut()
        log.line("capture-off", warning=bad.strerror, folder=self.folder)
