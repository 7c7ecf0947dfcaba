"""What comes over a machine by itself: it chokes when it is crowded, and pauses now and then."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from wheatring.lab.plan import ChokePlan, KindPlan
from wheatring.lab.timers import Timer, Timers


class Choke:
    """Crowded for a while, a machine turns slow, until it has been mostly idle for a while or long enough.

    `turned` is called whenever `slow` has changed.
    """

    def __init__(self, timers: Timers, plan: ChokePlan, cores: int, turned: Callable[[], object]) -> None:
        self.timers = timers
        self.plan = plan
        self.crowd = plan.at * cores
        self.idle = plan.below * cores
        self.turned = turned
        self.slow = False
        self._wanting = 0
        self._step: Timer | None = None  # well: it chokes; slow: it has rested
        self._end: Timer | None = None

    @property
    def factor(self) -> float:
        return 1.0 / self.plan.slower if self.slow else 1.0

    def watch(self, wanting: int) -> None:
        """So many requests want a core from now on."""
        self._wanting = wanting
        near = wanting < self.idle if self.slow else wanting >= self.crowd
        if near and self._step is None:
            wait = self.plan.rest if self.slow else self.plan.over
            self._step = self.timers.at(self.timers.now() + wait, self._turn)
        elif not near and self._step is not None:
            self._step.cancel()
            self._step = None

    def reset(self) -> None:
        """A new process is well."""
        for timer in (self._step, self._end):
            if timer is not None:
                timer.cancel()
        self._step = self._end = None
        self.slow = False
        self._wanting = 0

    def _turn(self) -> None:
        self._step = None
        self.slow = not self.slow
        if self.slow:
            self._end = self.timers.at(self.timers.now() + self.plan.most, self._over)
        elif self._end is not None:
            self._end.cancel()
            self._end = None
        self.watch(self._wanting)
        self.turned()

    def _over(self) -> None:
        self._end = None
        if self._step is not None:
            self._step.cancel()
        self._turn()


class Pauses:
    """Now and then a machine does nothing for a moment, for longer the busier it is.

    `busy` gives the part of its cores that is wanted. `turned` is called whenever `on` has changed.
    """

    def __init__(
        self,
        timers: Timers,
        kind: KindPlan,
        random: Random,
        busy: Callable[[], float],
        turned: Callable[[], object],
    ) -> None:
        self.timers = timers
        self.kind = kind
        self.random = random
        self.busy = busy
        self.turned = turned
        self.on = False
        self._step: Timer | None = None

    def start(self) -> None:
        self._wait()

    def stop(self) -> None:
        if self._step is not None:
            self._step.cancel()
        self._step = None
        self.on = False

    def _wait(self) -> None:
        gap = self.random.expovariate(1.0 / self.kind.pause_every)
        self._step = self.timers.at(self.timers.now() + gap, self._begin)

    def _begin(self) -> None:
        self.on = True
        length = self.kind.pause * self.random.expovariate(1.0) * (1.0 + self.kind.pause_grow * self.busy())
        self._step = self.timers.at(self.timers.now() + length, self._end)
        self.turned()

    def _end(self) -> None:
        self.on = False
        self._wait()
        self.turned()
