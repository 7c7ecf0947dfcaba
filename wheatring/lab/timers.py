"""Time as the models see it: an object that is handed in. Virtual time is one, `core.clock.Clock` another."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    def cancel(self) -> None:
        """Not to be called once it has come due."""

    def active(self) -> bool: ...


class Timers(Protocol):
    """Instants are seconds on one clock that only moves forward."""

    def now(self) -> float: ...

    def at(self, instant: float, call: Callable[..., object], *args: object) -> Timer:
        """Call at an instant, at once where that has passed, but never from within this call."""


class PlayedTime(Timers, Protocol):
    """Virtual time: the present instant stands there to be read."""

    @property
    def instant(self) -> float: ...

    def post(self, instant: float, call: Callable[[], object]) -> None:
        """As `at`, for what has no arguments and is never cancelled."""
