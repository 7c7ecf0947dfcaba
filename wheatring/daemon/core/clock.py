"""Instants on the monotonic clock, and the one place that turns them into the reactor's delays."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A call that is scheduled: Twisted's `IDelayedCall`, as far as it is used."""

    def cancel(self) -> None:
        """Cancel a call that is still to come."""

    def active(self) -> bool:
        """Return whether the call is still to come."""


class Clock:
    """The clock of one process. Instants are seconds on the reactor's clock.

    The daemon sets that to the monotonic clock, as steps of the system's time must not move deadlines. Both
    times are passed in, so that a simulation can replace them.

    Attributes
    ----------
    now : Callable[[], float]
        The present instant.
    unix : Callable[[], float]
        Unix time in seconds, for statements to others; no deadline depends on it.
    unix_offset : float
        Seconds to add to an instant for its Unix time. It is taken once, so that equal times stay equal.
    """

    def __init__(self, reactor: Any, unix: Callable[[], float] = time.time) -> None:
        self.reactor = reactor
        self.now: Callable[[], float] = reactor.seconds
        self.unix = unix
        self.unix_offset = unix() - self.now()

    def at(self, instant: float, call: Callable[..., object], *args: object) -> Timer:
        """Schedule a call at an instant; at once, in a later turn of the reactor, if that has passed."""
        timer: Timer = self.reactor.callLater(max(0.0, instant - self.now()), call, *args)
        return timer

    def present_unix_offset(self) -> float:
        """Return what to add to an instant for its Unix time by now: other if that was stepped since."""
        return self.unix() - self.now()
