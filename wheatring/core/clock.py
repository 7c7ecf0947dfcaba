"""Absolute instants on the monotonic clock, and the one place that turns them into the reactor's delays."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    def cancel(self) -> None: ...

    def active(self) -> bool: ...


class Clock:
    """Instants are seconds of the reactor's clock, which the daemon sets to the monotonic one: steps of the
    system's time must not move deadlines. Both times are handed in, so that they can be others.
    """

    def __init__(self, reactor: Any, unix: Callable[[], float] = time.time) -> None:
        self.reactor = reactor
        self.now: Callable[[], float] = reactor.seconds
        self.unix = unix  # in seconds, for what others state in it and no deadline hangs on
        # Unix time is only ever converted with this one offset, so that equal times stay equal.
        self.unix_offset = unix() - self.now()

    def at(self, instant: float, call: Callable[..., object], *args: object) -> Timer:
        timer: Timer = self.reactor.callLater(max(0.0, instant - self.now()), call, *args)
        return timer

    def from_unix_ms(self, stamp: float) -> float:
        """The instant of a Unix time in milliseconds; 0, which means long ago, stays 0."""
        return stamp / 1000 - self.unix_offset if stamp > 0 else 0.0
