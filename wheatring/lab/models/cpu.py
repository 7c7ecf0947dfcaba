"""The cores of a machine, which serve all that want them at the same rate (processor sharing).

A virtual clock advances at the rate at which each request is worked on. A request is done when that clock has
advanced by the request's work, however the rate has changed meanwhile. So requests are in one heap by their
virtual finish time, and a change of the rate touches none of them. One timer is pending at most.

Instants are seconds; work is in seconds on a standard core.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Generic, TypeVar

from wheatring.lab.models.slow_start import CapacityRamp
from wheatring.lab.timers import Timer, Timers

T = TypeVar("T")
ROUNDING_TOLERANCE = 1e-9  # work: a request with less left over is done


class Cpu(Generic[T]):
    """The cores of one machine; each of n runnable requests gets min(1, cores / n) * speed * factor.

    Handshakes and the like want cores too, but nobody is notified of their end: they are added as None.

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
        The part of the capacity that is available; 0: the cores stand still.
    ramp
        The slow start of the present process; None once it is over.
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
        self._heap: list[tuple[float, int, T | None]] = []  # by virtual finish time and order of arrival
        self._sequence = 0
        self._virtual_time = 0.0  # at the last update
        self._updated_at = timers.now()
        self._rate = speed  # of the virtual clock, in work for each second of full capacity
        self._work_done = 0.0
        self._timer: Timer | None = None
        self._due = 0.0  # the instant of the timer
        self._is_firing = False

    @property
    def runnable(self) -> int:
        """The number of requests that want a core."""
        return len(self._heap)

    def add(self, work: float, item: T | None) -> float:
        """Begin to work on a request, and return its virtual finish time, which `remaining` takes."""
        self._advance()
        finish = self._virtual_time + work
        self._sequence += 1
        heappush(self._heap, (finish, self._sequence, item))
        if not self._is_firing:
            self._changed()
        return finish

    def remaining(self, finish: float) -> float:
        """Return the work left to do for a request that is not done yet, by its virtual finish time."""
        return max(0.0, finish - self._virtual_time - self._gain(self.now()))

    def set_factor(self, factor: float) -> None:
        """Set the part of the capacity that is available from now on; 0: the cores stand still."""
        if factor != self.factor:
            self._advance()
            self.factor = factor
            if not self._is_firing:
                self._reschedule()

    def restart(self, ramp: CapacityRamp | None) -> None:
        """Forget all requests, as a new process starts, with slow start if there is a ramp."""
        self._advance()
        self._heap.clear()
        self.ramp = ramp
        self._changed()

    def unhindered_capacity(self) -> float:
        """Return what all cores can do at present, in work a second, hindered by slow start alone."""
        share = 1.0 if self.ramp is None else self.ramp.share_at(self.now())
        return self.cores * self.speed * share

    def work_done(self) -> float:
        """Return the work done for all requests since the cores were created."""
        return self._work_done + self._gain(self.now()) * len(self._heap)

    def _gain(self, now: float) -> float:
        """Return by how much the virtual clock has advanced since the last update."""
        if not self._heap:
            return 0.0
        if self.ramp is None:
            return (now - self._updated_at) * self._rate
        return self.ramp.capacity_between(self._updated_at, now) * self._rate

    def _advance(self) -> None:
        """Bring the virtual clock up to the present."""
        now = self.now()
        if now <= self._updated_at:
            return
        if self._heap:
            gain = self._gain(now)
            self._virtual_time += gain
            self._work_done += gain * len(self._heap)
        else:
            self._virtual_time = 0.0  # small floats are more precise
        self._updated_at = now
        if self.ramp is not None and now >= self.ramp.end:
            self.ramp = None

    def _changed(self) -> None:
        """Handle a change of the runnable requests."""
        if self.on_runnable_changed is not None:
            self.on_runnable_changed(len(self._heap))
        self._reschedule()

    def _reschedule(self) -> None:
        """Compute the rate anew, and set the timer for the next request to finish."""
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
            # A timer that fires early sets the next one: cheaper than to move it with each arrival.
            if self._due <= due:
                return
            timer.cancel()
        self._due = due
        self._timer = self.timers.at(due, self._fire)

    def _instant_of(self, virtual_time: float) -> float:
        """Return the instant at which the virtual clock will have reached a time if the rate stays."""
        need = (virtual_time - self._virtual_time) / self._rate
        return (
            self._updated_at + need if self.ramp is None else self.ramp.instant_after(self._updated_at, need)
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
        self._changed()

    def _pop_finished(self) -> list[T]:
        heap, now, reach = self._heap, self._updated_at, self._virtual_time + ROUNDING_TOLERANCE
        finished: list[T] = []
        # The second test guards against a clock so coarse that a timer for the rest would be due at once.
        while heap and (heap[0][0] <= reach or self._instant_of(heap[0][0]) <= now):
            item = heappop(heap)[2]
            if item is not None:
                finished.append(item)
        return finished
