"""The cores of a machine, which serve all runnable requests at the same rate (processor sharing).

A virtual clock advances at the rate at which each request is processed. A request is done when this clock has
advanced by the request's work. So requests are in one heap by their virtual finish time, and a change of the
rate changes no entry. At most one timer is pending.

Instants are seconds; work is in seconds on a standard core.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Generic, TypeVar

from wheatring.lab.models.slow_start import CapacityRamp
from wheatring.lab.timers import Timer, Timers

T = TypeVar("T")
ROUNDING_TOLERANCE = 1e-9  # a request with less work left is done


class Cpu(Generic[T]):
    """The cores of one machine; each of n runnable requests gets min(1, cores / n) * speed * factor.

    Work without a request, such as a handshake, is added as None; its end is not reported.

    Parameters
    ----------
    timers
        The clock.
    cores
        The number of cores.
    speed
        The speed of each core, in standard cores.
    on_done
        Called with each request that is done.

    Attributes
    ----------
    on_runnable_changed
        Called with the number of runnable requests whenever it has changed.
    factor
        The share of the capacity that is available; 0 if the cores are stalled.
    ramp
        The slow start of the present process; None after its end.
    """

    __slots__ = (
        "_due", "_heap", "_is_firing", "_rate", "_sequence", "_timer", "_updated_at", "_virtual_time",
        "_work_done", "cores", "factor", "now", "on_done", "on_runnable_changed", "ramp", "speed", "timers",
    )  # fmt: skip

    def __init__(self, timers: Timers, cores: int, speed: float, on_done: Callable[[T], object]) -> None:
        self.timers = timers
        self.now = timers.now
        self.cores = cores
        self.speed = speed
        self.on_done = on_done
        self.on_runnable_changed: Callable[[int], object] | None = None
        self.factor = 1.0
        self.ramp: CapacityRamp | None = None
        self._heap: list[tuple[float, int, T | None]] = []  # (virtual finish time, order of arrival, request)
        self._sequence = 0
        self._virtual_time = 0.0  # at the last update
        self._updated_at = timers.now()
        self._rate = speed  # of the virtual clock: work for each second of full capacity
        self._work_done = 0.0
        self._timer: Timer | None = None
        self._due = 0.0  # the instant of the timer
        self._is_firing = False

    @property
    def runnable(self) -> int:
        """The number of runnable requests."""
        return len(self._heap)

    def add(self, work: float, item: T | None) -> float:
        """Start a request, and return its virtual finish time, which is the argument of `remaining`."""
        self._advance()
        finish = self._virtual_time + work
        self._sequence += 1
        heappush(self._heap, (finish, self._sequence, item))
        if not self._is_firing:
            self._handle_runnable_change()
        return finish

    def remaining(self, finish: float) -> float:
        """Return the work left for a request that is not done yet, by its virtual finish time."""
        return max(0.0, finish - self._virtual_time - self._virtual_time_gain(self.now()))

    def set_factor(self, factor: float) -> None:
        """Set the share of the capacity that is available from now on; 0 stalls the cores."""
        if factor != self.factor:
            self._advance()
            self.factor = factor
            if not self._is_firing:
                self._reschedule()

    def restart(self, ramp: CapacityRamp | None) -> None:
        """Discard all requests when a process starts or ends; with a ramp, the process has slow start."""
        self._advance()
        self._heap.clear()
        self.ramp = ramp
        self._handle_runnable_change()

    def unhindered_capacity(self) -> float:
        """Return the present capacity of all cores, in work a second, reduced only by slow start."""
        share = 1.0 if self.ramp is None else self.ramp.share_at(self.now())
        return self.cores * self.speed * share

    def work_done(self) -> float:
        """Return the total work done since the cores were created."""
        return self._work_done + self._virtual_time_gain(self.now()) * len(self._heap)

    def _virtual_time_gain(self, now: float) -> float:
        """Return the advance of the virtual clock since the last update."""
        if not self._heap:
            return 0.0
        if self.ramp is None:
            return (now - self._updated_at) * self._rate
        return self.ramp.capacity_between(self._updated_at, now) * self._rate

    def _advance(self) -> None:
        """Advance the virtual clock to the present instant."""
        now = self.now()
        if now <= self._updated_at:
            return
        if self._heap:
            gain = self._virtual_time_gain(now)
            self._virtual_time += gain
            self._work_done += gain * len(self._heap)
        else:
            self._virtual_time = 0.0  # small floats have a finer resolution
        self._updated_at = now
        if self.ramp is not None and now >= self.ramp.end:
            self.ramp = None

    def _handle_runnable_change(self) -> None:
        """Handle a change of the runnable requests."""
        if self.on_runnable_changed is not None:
            self.on_runnable_changed(len(self._heap))
        self._reschedule()

    def _reschedule(self) -> None:
        """Recompute the rate, and set the timer for the next request to finish."""
        heap = self._heap
        runnable = len(heap)
        rate = self.speed * self.factor
        if runnable > self.cores:
            rate = rate * self.cores / runnable
        self._rate = rate
        if not runnable or rate <= 0.0:
            return
        due = self._instant_of(heap[0][0])
        timer = self._timer
        if timer is not None:
            # A timer that fires early sets the next one, which costs less than moving it at each arrival.
            if self._due <= due:
                return
            timer.cancel()
        self._due = due
        self._timer = self.timers.at(due, self._fire)

    def _instant_of(self, virtual_time: float) -> float:
        """Return the instant at which the virtual clock reaches a time if the rate does not change."""
        needed = (virtual_time - self._virtual_time) / self._rate
        return (
            self._updated_at + needed
            if self.ramp is None
            else self.ramp.instant_after(self._updated_at, needed)
        )

    def _fire(self) -> None:
        self._timer = None
        self._advance()
        if not self._heap or self._rate <= 0.0:
            return
        finished = self._pop_finished()
        if finished:
            on_done = self.on_done
            self._is_firing = True
            for item in finished:
                on_done(item)
            self._is_firing = False
        self._handle_runnable_change()

    def _pop_finished(self) -> list[T]:
        heap, now, finished_until = self._heap, self._updated_at, self._virtual_time + ROUNDING_TOLERANCE
        finished: list[T] = []
        # The second condition is for a coarse clock, on which a timer for the rest would be due immediately.
        while heap and (heap[0][0] <= finished_until or self._instant_of(heap[0][0]) <= now):
            item = heappop(heap)[2]
            if item is not None:
                finished.append(item)
        return finished
