"""Absolute instants on the monotonic clock, and the one place that turns them into the reactor's delays."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    def cancel(self) -> None: ...

    def active(self) -> bool: ...


class Clock:
    """Instants are seconds of the monotonic clock: steps of the system's time must not move deadlines."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        # Unix time is only ever converted with this one offset, so that equal times stay equal.
        self.unix_offset = time.time() - time.monotonic()
        self.now = time.monotonic
        self.unix = time.time  # in seconds, for what others state in it and no deadline hangs on

    def at(self, instant: float, call: Callable[..., object], *args: object) -> Timer:
        timer: Timer = self.reactor.callLater(max(0.0, instant - self.now()), call, *args)
        return timer

    def from_unix_ms(self, stamp: float) -> float:
        """The instant of a Unix time in milliseconds; 0, which means long ago, stays 0."""
        return stamp / 1000 - self.unix_offset if stamp > 0 else 0.0
