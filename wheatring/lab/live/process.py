"""Child processes of the lab: they end with their parent, and their output is read line by line."""

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
# The root of this checkout: child processes must import the same `wheatring` package.
PROJECT_ROOT = str(Path(wheatring.__file__).parents[1])
# Time for a killed process to exit. On a busy machine the kernel has taken more than 2 s for it.
KILL_TIMEOUT_SECONDS = 30.0


class ProcessError(RuntimeError):
    """A process failed or did not respond in time; the message is one line with the process's name."""


def module(name: str, *arguments: str) -> list[str]:
    """Return the command line that runs a module with this interpreter."""
    return [sys.executable, "-m", name, *arguments]


class ContextManaged:
    """Base of context managers that call `end` on exit."""

    def __enter__(self) -> Self:
        """Enter the `with` block."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Call `end`, whether or not the block raised an exception."""
        self.end()

    def end(self) -> None:
        """Release all resources."""
        raise NotImplementedError


class Process(ContextManaged):
    """A child process. It is killed by `end`, at the end of the `with` block, and when this process exits.

    A dedicated thread reads its standard output, so that the child never blocks on a full pipe. That thread
    calls `on_line` for each line, and `on_end` once the process has exited. `stderr` is the descriptor for
    the child's standard error; by default the child inherits this process's.
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
        self.lines: list[str] = []  # lines read from its standard output
        self.on_line = on_line
        self.on_end = on_end
        self.changed = threading.Condition()
        self.closed = False
        path = os.pathsep.join(filter(None, (PROJECT_ROOT, os.environ.get("PYTHONPATH", ""))))
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
        """Write a line to its standard input. Raises ProcessError if the process has exited."""
        assert self.popen.stdin is not None
        try:
            self.popen.stdin.write(line + "\n")
            self.popen.stdin.flush()
        except OSError as error:
            raise ProcessError(f"{self.name}: has ended with status {self.popen.poll()}") from error

    def wait_for_line(self, prefix: str, deadline: float, after: int = 0) -> str:
        """Wait for an output line that starts with `prefix`, ignoring the first `after` lines.

        Raises
        ------
        ProcessError
            There is no such line by `deadline` (monotonic seconds), or the process exits first.
        """
        with self.changed:
            while True:
                for line in self.lines[after:]:
                    if line.startswith(prefix):
                        return line
                after = max(after, len(self.lines))
                if self.closed:
                    raise ProcessError(f"{self.name}: ended before it said {prefix!r}")
                if not self.changed.wait(deadline - time.monotonic()):
                    raise ProcessError(f"{self.name}: wrote no line that starts with {prefix!r} in time")

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.popen.poll() is None

    def send(self, signum: signal.Signals) -> None:
        """Send a signal, if the process is still running."""
        self.popen.send_signal(signum)

    def wait(self, deadline: float) -> int:
        """Wait for the exit status. ProcessError if there is none by `deadline` (monotonic seconds)."""
        try:
            return self.popen.wait(max(0.0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            raise ProcessError(f"{self.name}: did not exit in time") from None

    def end(self) -> None:
        """Kill the process if it is still running, and close its standard input."""
        self.popen.kill()
        self.wait(time.monotonic() + KILL_TIMEOUT_SECONDS)
        assert self.popen.stdin is not None
        with suppress(OSError):  # buffered input that the process never read can't be flushed
            self.popen.stdin.close()
