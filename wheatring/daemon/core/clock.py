"""Instants on the monotonic clock; the only place that converts them to delays of the reactor."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A scheduled call: the part of Twisted's `IDelayedCall` that is used."""

    def cancel(self) -> None:
        """Cancel the call, which must still be pending."""

    def active(self) -> bool:
        """Return whether the call is still pending."""


class Clock:
    """The clock of one process. Instants are seconds on the reactor's clock.

    The daemon sets the reactor's clock to the monotonic one, as steps of the system time must not move
    deadlines. Both sources of time are passed in, so that a simulation can replace them.

    Attributes
    ----------
    now : Callable[[], float]
        Returns the current instant.
    unix : Callable[[], float]
        Returns Unix time in seconds, for messages and logs; no deadline depends on it.
    unix_offset : float
        Seconds to add to an instant for its Unix time. Computed once, so that equal instants stay equal.
    """

    def __init__(self, reactor: Any, unix: Callable[[], float] = time.time) -> None:
        self.reactor = reactor
        self.now: Callable[[], float] = reactor.seconds
        self.unix = unix
        self.unix_offset = unix() - self.now()

    def at(self, instant: float, call: Callable[..., object], *args: object) -> Timer:
        """Schedule a call at an instant; if that has passed, in the next iteration of the reactor."""
        timer: Timer = self.reactor.callLater(max(0.0, instant - self.now()), call, *args)
        return timer

    def present_unix_offset(self) -> float:
        """Return the current offset from instants to Unix time, which changes when system time steps."""
        return self.unix() - self.now()
