"""The cores of a machine: what wants them shares them evenly, at a rate that may change at any time.

A virtual clock runs as fast as each request is worked on. A request is done when that clock has gone on by
its work, whatever the rate did meanwhile, so requests stand in one heap by where they end and a change of the
rate touches none of them. One timer is pending at most.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Generic, TypeVar

from wheatring.lab.models.slow_start import CapacityRamp
from wheatring.lab.timers import Timer, Timers

T = TypeVar("T")
ROUNDING_TOLERANCE = 1e-9  # seconds of work: what is left of a request by rounding counts as done


class Cpu(Generic[T]):
    """`wanting` requests get min(1, cores / wanting) * speed * factor of a standard core each.

    `done` is called with each that is done, `watch` whenever their number has changed. Handshakes and the
    like want cores too, but nobody is told of their end: they are added as None.
    """

    __slots__ = (
        "_due", "_firing", "_heap", "_last", "_rate", "_seq", "_timer", "_v", "_worked", "cores", "done",
        "factor", "now", "speed", "timers", "warming", "watch",
    )  # fmt: skip

    def __init__(self, timers: Timers, cores: int, speed: float, done: Callable[[T], object]) -> None:
        self.timers = timers
        self.now = timers.now
        self.cores = cores
        self.speed = speed
        self.done = done
        self.watch: Callable[[int], object] | None = None
        self.factor = 1.0
        self.warming: CapacityRamp | None = None
        self._heap: list[tuple[float, int, T | None]] = []
        self._seq = 0
        self._v = 0.0  # the virtual clock, and when it was last set
        self._last = timers.now()
        self._rate = speed  # of the virtual clock, in work for each second of a warm machine
        self._worked = 0.0
        self._timer: Timer | None = None
        self._due = 0.0
        self._firing = False

    @property
    def wanting(self) -> int:
        return len(self._heap)

    def add(self, work: float, item: T | None) -> float:
        """Takes a request on; gives the mark by which `left` knows it."""
        self._advance()
        end = self._v + work
        heap, seq = self._heap, self._seq + 1
        self._seq = seq
        heappush(heap, (end, seq, item))
        if not self._firing:
            if self.watch is not None:
                self.watch(len(heap))
            self._rerate()
        return end

    def left(self, mark: float) -> float:
        """Work that is still to be done for a request that is not done yet."""
        return max(0.0, mark - self._v - self._gain(self.now()))

    def tune(self, factor: float) -> None:
        """From now on there is this part of the capacity; 0: it stands still."""
        if factor != self.factor:
            self._advance()
            self.factor = factor
            if not self._firing:
                self._rerate()

    def restart(self, warming: CapacityRamp | None) -> None:
        """Forgets all requests; from now on capacity is as of a new process."""
        self._advance()
        self._heap.clear()
        self.warming = warming
        self._changed()

    def rated(self) -> float:
        """What all cores can do at present, in work a second, if nothing but the cold hinders them."""
        share = 1.0 if self.warming is None else self.warming.share(self.now())
        return self.cores * self.speed * share

    def worked(self) -> float:
        """Work done since it was made."""
        return self._worked + self._gain(self.now()) * len(self._heap)

    def _gain(self, now: float) -> float:
        """How far the virtual clock has gone on since it was last set."""
        if not self._heap:
            return 0.0
        if self.warming is None:
            return (now - self._last) * self._rate
        return self.warming.between(self._last, now) * self._rate

    def _advance(self) -> None:
        now, last = self.now(), self._last
        if now > last:
            heap, warming = self._heap, self.warming
            if heap:
                gain = ((now - last) if warming is None else warming.between(last, now)) * self._rate
                self._v += gain
                self._worked += gain * len(heap)
            else:
                self._v = 0.0  # small figures are exact figures
            self._last = now
            if warming is not None and now >= warming.end:
                self.warming = None

    def _changed(self) -> None:
        if self.watch is not None:
            self.watch(len(self._heap))
        self._rerate()

    def _rerate(self) -> None:
        heap = self._heap
        wanting = len(heap)
        rate = self.speed * self.factor
        if wanting > self.cores:
            rate = rate * self.cores / wanting
        self._rate = rate
        if not wanting or rate <= 0.0:
            return
        due = self._when(heap[0][0])
        timer = self._timer
        if timer is not None:
            # A timer that comes early sets the next one: that is cheaper than to move it with each arrival.
            if self._due <= due:
                return
            timer.cancel()
        self._due = due
        self._timer = self.timers.at(due, self._fire)

    def _when(self, end: float) -> float:
        """When the virtual clock will be there, as far as can be seen now."""
        need = (end - self._v) / self._rate
        return self._last + need if self.warming is None else self.warming.after(self._last, need)

    def _fire(self) -> None:
        self._timer = None
        self._advance()
        heap = self._heap
        if not heap or self._rate <= 0.0:
            return
        now, reach = self._last, self._v + ROUNDING_TOLERANCE
        over: list[T] = []
        # The second test guards against a clock so coarse that a timer for the rest would come due at once.
        while heap and (heap[0][0] <= reach or self._when(heap[0][0]) <= now):
            item = heappop(heap)[2]
            if item is not None:
                over.append(item)
        if over:
            done = self.done
            self._firing = True
            for item in over:
                done(item)
            self._firing = False
        if self.watch is not None:
            self.watch(len(heap))
        self._rerate()
