"""What comes over a machine by itself: it chokes when it is crowded, and pauses now and then."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from wheatring.lab.plan import ChokePlan, KindPlan
from wheatring.lab.timers import Timer, Timers

IDLE_SAMPLES = 8  # within the time that a machine must have been mostly idle


class OverloadChoke:
    """A machine that holds too much for a while turns slow, until it has been mostly idle for a while or long
    enough. What waits for the next tier counts as held; mostly idle is a part of the cores' time.

    `turned` is called whenever `slow` has changed.
    """

    def __init__(self, timers: Timers, plan: ChokePlan, cores: int, turned: Callable[[], object]) -> None:
        self.timers = timers
        self.plan = plan
        self.cores = cores
        self.crowd = (plan.at + 1.0) * cores
        self.turned = turned
        self.slow = False
        self._held = 0
        self._busy = 0.0  # part of the cores that is wanted
        self._since = 0.0  # from then on
        self._worked = 0.0  # time of all cores until then
        self._looks: deque[float] = deque(
            maxlen=IDLE_SAMPLES + 1
        )  # what that was at the last looks, while slow
        self._step: Timer | None = None  # well: it chokes; slow: the next look
        self._end: Timer | None = None

    @property
    def factor(self) -> float:
        return 1.0 / self.plan.slower if self.slow else 1.0

    def watch(self, held: int, wanting: int) -> None:
        """So many requests are held, and want a core, from now on."""
        now = self.timers.now()
        self._worked += self._busy * (now - self._since)
        self._since = now
        self._held = held
        self._busy = wanting / self.cores if wanting < self.cores else 1.0
        if self.slow:
            return
        if held < self.crowd:
            if self._step is not None:
                self._step.cancel()
                self._step = None
        elif self._step is None:
            self._step = self.timers.at(now + self.plan.over, self._turn)

    def reset(self) -> None:
        """A new process is well."""
        self._stop()
        self.slow = False
        self._held, self._busy = 0, 0.0

    def _count(self) -> None:
        now = self.timers.now()
        self._worked += self._busy * (now - self._since)
        self._since = now

    def _stop(self) -> None:
        for timer in (self._step, self._end):
            if timer is not None:
                timer.cancel()
        self._step = self._end = None

    def _turn(self) -> None:
        self._step = None
        self._stop()
        self.slow = not self.slow
        if self.slow:
            self._end = self.timers.at(self.timers.now() + self.plan.most, self._over)
            self._looks.clear()
            self._look()
        else:
            self.watch(self._held, round(self._busy * self.cores))
        self.turned()

    def _look(self) -> None:
        """See whether it has been mostly idle."""
        self._count()
        looks, plan = self._looks, self.plan
        looks.append(self._worked)
        if len(looks) > IDLE_SAMPLES and looks[-1] - looks[0] < plan.below * plan.rest:
            self._turn()
        else:
            self._step = self.timers.at(self.timers.now() + plan.rest / IDLE_SAMPLES, self._look)

    def _over(self) -> None:
        self._end = None
        self._turn()


class ProcessingPauses:
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
