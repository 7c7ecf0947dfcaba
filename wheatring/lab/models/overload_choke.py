"""Model of a metastable failure: an overloaded machine becomes slow until it is mostly idle."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from wheatring.lab.plan import ChokePlan
from wheatring.lab.timers import Timer, Timers

IDLE_SAMPLES = 8  # samples of the cores' busy time within the period `rest` of the plan


class OverloadChoke:
    """Decides when a machine is choked (slow), which happens after too many attempts in flight for a time.

    It recovers when its cores have been mostly idle for some time, or after a maximum time. Attempts that
    wait for the next tier are in flight too.

    Parameters
    ----------
    timers
        The clock.
    plan
        The thresholds.
    cores
        The number of the machine's cores.
    on_change
        Called whenever `is_slow` has changed.
    """

    def __init__(self, timers: Timers, plan: ChokePlan, cores: int, on_change: Callable[[], object]) -> None:
        self.timers = timers
        self.plan = plan
        self.cores = cores
        self.overload_threshold = (plan.at + 1.0) * cores  # attempts in flight
        self.on_change = on_change
        self.is_slow = False
        self._in_flight = 0
        self._utilisation = 0.0  # share of the cores in use
        self._updated_at = 0.0
        self._busy_time = 0.0  # integral of the utilisation until `_updated_at`, in seconds
        self._busy_samples: deque[float] = deque(maxlen=IDLE_SAMPLES + 1)  # of the busy time, only while slow
        self._timer: Timer | None = None  # for the start of the choke or, while slow, for the next sample
        self._recovery_timer: Timer | None = None

    @property
    def capacity_factor(self) -> float:
        """The share of the machine's capacity that is available."""
        return 1.0 / self.plan.slower if self.is_slow else 1.0

    def update(self, in_flight: int, runnable: int) -> None:
        """Update the number of attempts in flight and the number of runnable ones."""
        self._add_busy_time()
        self._in_flight = in_flight
        self._utilisation = runnable / self.cores if runnable < self.cores else 1.0
        if self.is_slow:
            return
        if in_flight < self.overload_threshold:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
        elif self._timer is None:
            self._timer = self.timers.at(self._updated_at + self.plan.over, self._toggle)

    def reset(self) -> None:
        """Reset the state at the end of the process; a new process is not slow."""
        self._cancel_timers()
        self.is_slow = False
        self._in_flight, self._utilisation = 0, 0.0

    def _add_busy_time(self) -> None:
        now = self.timers.now()
        self._busy_time += self._utilisation * (now - self._updated_at)
        self._updated_at = now

    def _cancel_timers(self) -> None:
        for timer in (self._timer, self._recovery_timer):
            if timer is not None:
                timer.cancel()
        self._timer = self._recovery_timer = None

    def _toggle(self) -> None:
        self._timer = None
        self._cancel_timers()
        self.is_slow = not self.is_slow
        if self.is_slow:
            self._recovery_timer = self.timers.at(self.timers.now() + self.plan.most, self._recover)
            self._busy_samples.clear()
            self._sample()
        else:
            self.update(self._in_flight, round(self._utilisation * self.cores))
        self.on_change()

    def _sample(self) -> None:
        """Sample the busy time, and end the choke if the machine has been mostly idle."""
        self._add_busy_time()
        samples, plan = self._busy_samples, self.plan
        samples.append(self._busy_time)
        if len(samples) > IDLE_SAMPLES and samples[-1] - samples[0] < plan.below * plan.rest:
            self._toggle()
        else:
            self._timer = self.timers.at(self.timers.now() + plan.rest / IDLE_SAMPLES, self._sample)

    def _recover(self) -> None:
        self._recovery_timer = None
        self._toggle()
