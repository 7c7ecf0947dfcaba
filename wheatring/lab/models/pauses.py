"""Pauses in which a machine processes nothing, such as those of a garbage collector."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from wheatring.lab.plan import KindPlan
from wheatring.lab.timers import Timer, Timers


class ProcessingPauses:
    """Pauses of one machine at random instants, whose length rises with the utilisation.

    Parameters
    ----------
    timers
        The clock.
    kind
        The kind of machine, with the mean gap and length of its pauses.
    random
        Draws gaps and lengths.
    utilisation
        Returns the share of the machine's cores in use.
    on_change
        Called whenever `is_paused` has changed.
    """

    def __init__(
        self,
        timers: Timers,
        kind: KindPlan,
        random: Random,
        utilisation: Callable[[], float],
        on_change: Callable[[], object],
    ) -> None:
        self.timers = timers
        self.kind = kind
        self.random = random
        self.utilisation = utilisation
        self.on_change = on_change
        self.is_paused = False
        self._timer: Timer | None = None

    def start(self) -> None:
        """Start the pauses when the process starts."""
        self._schedule_pause()

    def stop(self) -> None:
        """Stop the pauses when the process ends."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self.is_paused = False

    def _schedule_pause(self) -> None:
        gap = self.random.expovariate(1.0 / self.kind.pause_every)
        self._timer = self.timers.at(self.timers.now() + gap, self._pause)

    def _pause(self) -> None:
        self.is_paused = True
        drawn = self.random.expovariate(1.0)
        length = self.kind.pause * drawn * (1.0 + self.kind.pause_grow * self.utilisation())
        self._timer = self.timers.at(self.timers.now() + length, self._resume)
        self.on_change()

    def _resume(self) -> None:
        self.is_paused = False
        self._schedule_pause()
        self.on_change()
