"""Clock and timer interfaces of the models, implemented by virtual time and by `core.clock.Clock`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call. Not allowed after the call is due."""

    def active(self) -> bool:
        """Return whether the call is pending."""
        ...


class Timers(Protocol):
    """A monotonic clock and its scheduler. Instants are seconds."""

    def now(self) -> float:
        """Return the present instant."""
        ...

    def at(self, instant: float, call: Callable[..., object], *args: object) -> Timer:
        """Schedule a call for an instant.

        If the instant has passed, the call is made as soon as possible, but never synchronously.
        """


class PlayedTime(Timers, Protocol):
    """Virtual time, with the present instant as an attribute."""

    @property
    def instant(self) -> float:
        """The present instant."""
        ...

    def post(self, instant: float, call: Callable[[], object]) -> None:
        """Schedule a call without arguments that is never cancelled."""
