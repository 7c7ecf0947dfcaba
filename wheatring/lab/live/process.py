"""Processes of the lab: they die with the one that started them, and are read line by line."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Collection, Mapping, Sequence
from contextlib import suppress
from pathlib import Path
from types import TracebackType
from typing import Self

import wheatring

DIE_WITH_PARENT = str(Path(__file__).with_name("die_with_parent.py"))
HOME = str(Path(wheatring.__file__).parents[1])  # where this wheatring lies: its processes must run the same
# Until a killed process has ended. On a busy machine the kernel has been seen to take over 2 s for it.
KILL_TIMEOUT_SECONDS = 30.0


class ProcessError(RuntimeError):
    """A process didn't do what it was started for; the text is one line that names it."""


def module(name: str, *arguments: str) -> list[str]:
    """Return the command that runs a module with this interpreter."""
    return [sys.executable, "-m", name, *arguments]


class ContextManaged:
    """Ends with its `with` block, however that is left."""

    def __enter__(self) -> Self:
        """Begin the block."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, value: BaseException | None, where: TracebackType | None
    ) -> None:
        """End with the block."""
        self.end()

    def end(self) -> None:
        """End it."""
        raise NotImplementedError


class Process(ContextManaged):
    """One process. It ends, killed if need be, with `end`, with the `with` block, or with this process.

    Its standard output is read by a thread of its own, so that it never waits for a reader; `on_line` is
    called there, and `on_end` once it has ended. What it writes to standard error goes to `stderr`, this
    process's own by default.
    """

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        environment: Mapping[str, str] | None = None,
        cpus: Collection[int] = (),
        on_line: Callable[[str], None] | None = None,
        on_end: Callable[[], None] | None = None,
        stderr: int | None = None,
    ) -> None:
        self.name = name
        self.lines: list[str] = []  # of its standard output
        self.on_line = on_line
        self.on_end = on_end
        self.changed = threading.Condition()
        self.closed = False
        path = os.pathsep.join(filter(None, (HOME, os.environ.get("PYTHONPATH", ""))))
        self.popen = subprocess.Popen(
            [sys.executable, "-ES", DIE_WITH_PARENT, str(os.getpid()), *command],
            env={**os.environ, "PYTHONPATH": path, **(environment or {})},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=stderr,
            text=True,
        )
        self.pid = self.popen.pid
        try:
            if cpus:
                os.sched_setaffinity(self.pid, cpus)
        except BaseException:
            self.end()
            raise
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self) -> None:
        assert self.popen.stdout is not None
        for text in self.popen.stdout:
            line = text.rstrip("\n")
            with self.changed:
                self.lines.append(line)
                self.changed.notify_all()
            if self.on_line is not None:
                self.on_line(line)
        self.popen.wait()
        with self.changed:
            self.closed = True
            self.changed.notify_all()
        if self.on_end is not None:
            self.on_end()

    def write_line(self, line: str) -> None:
        """Write a line to its standard input. ProcessError if it has ended."""
        assert self.popen.stdin is not None
        try:
            self.popen.stdin.write(line + "\n")
            self.popen.stdin.flush()
        except OSError as bad:
            raise ProcessError(f"{self.name}: has ended with status {self.popen.poll()}") from bad

    def wait_for_line(self, start: str, by: float, after: int = 0) -> str:
        """Wait until it has written a line that starts so, after the first `after` lines.

        Raises
        ------
        ProcessError
            None comes until `by`, in monotonic seconds, or before the process ends.
        """
        with self.changed:
            while True:
                for line in self.lines[after:]:
                    if line.startswith(start):
                        return line
                after = max(after, len(self.lines))
                if self.closed:
                    raise ProcessError(f"{self.name}: ended before it said {start!r}")
                if not self.changed.wait(by - time.monotonic()):
                    raise ProcessError(f"{self.name}: has not said {start!r} in time")

    @property
    def is_running(self) -> bool:
        """Whether it runs."""
        return self.popen.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it still runs."""
        self.popen.send_signal(number)

    def wait(self, by: float) -> int:
        """Wait for its exit status until `by`, in monotonic seconds. ProcessError if it still runs then."""
        try:
            return self.popen.wait(max(0.0, by - time.monotonic()))
        except subprocess.TimeoutExpired:
            raise ProcessError(f"{self.name}: has not ended in time") from None

    def end(self) -> None:
        """Kill it if it still runs, and release it."""
        self.popen.kill()
        self.wait(time.monotonic() + KILL_TIMEOUT_SECONDS)
        assert self.popen.stdin is not None
        with suppress(OSError):  # it had left something unread
            self.popen.stdin.close()
