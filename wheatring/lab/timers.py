"""Interfaces of time for the models. Virtual time implements them, and so does `core.clock.Clock`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """One scheduled call."""

    def cancel(self) -> None:
        """Cancel the call. Not allowed once the call is due."""

    def active(self) -> bool:
        """Return whether the call is still to come."""
        ...


class Timers(Protocol):
    """A clock and its scheduler. Instants are seconds on one clock that only moves forward."""

    def now(self) -> float:
        """Return the present instant."""
        ...

    def at(self, instant: float, call: Callable[..., object], *args: object) -> Timer:
        """Schedule a call for an instant.

        If the instant has passed, the call is made at once, but never from within this method.
        """


class PlayedTime(Timers, Protocol):
    """Virtual time, with the present instant as a plain attribute."""

    @property
    def instant(self) -> float:
        """The present instant."""
        ...

    def post(self, instant: float, call: Callable[[], object]) -> None:
        """Schedule a call without arguments that is never cancelled."""
