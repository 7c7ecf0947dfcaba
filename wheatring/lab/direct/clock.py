"""The clock of one sidecar process in virtual time."""

from __future__ import annotations

from collections.abc import Callable

from wheatring.daemon.core.clock import Clock
from wheatring.lab.timers import PlayedTime, Timer


class DirectClock(Clock):
    """The core's clock, in virtual time. No scheduled call is made after its process has ended."""

    def __init__(self, time: PlayedTime, unix: Callable[[], float]) -> None:
        self.time = time
        self.now = time.now
        self.unix = unix
        self.unix_offset = unix() - self.now()
        self.has_ended = False

    def at(self, instant: float, call: Callable[..., object], *args: object) -> Timer:
        """Schedule a call at an instant."""
        return self.time.at(instant, self.run, call, args)

    def run(self, call: Callable[..., object], args: tuple[object, ...]) -> None:
        """Make a due call, unless the process has ended."""
        if not self.has_ended:
            call(*args)
