"""Virtual time: what is to come by its instant, played one after another.

The instants just ahead are in a heap. What is further off lies by slots of time until its slot is near: most
timers are cancelled before, and cost next to nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from math import inf
from operator import length_hint
from random import Random
from typing import Any, ClassVar

SLOTS = 16  # a second: a power of two, or equal instants could fall on both sides of a slot's end


class Event(list[Any]):
    """A call to come and its arguments."""

    __slots__ = ()

    def cancel(self) -> None:
        """Cancel the call."""
        self[0] = None
        self[1] = ()

    def active(self) -> bool:
        """Return whether the call is still to come."""
        return self[0] is not None


class StuckError(RuntimeError):
    """An instant that does not end."""


class VirtualTime:
    """The clock of a simulation. It satisfies `Timers`.

    What falls on one instant comes in the order in which it was asked for or, with `ties`, in an order drawn
    from it; never before what asked for it.

    `instant` is the present one, `running` the process whose code runs, `events` how many were played. What
    an event raises comes out of `run` and `step`, which can go on from there.
    """

    __slots__ = (
        "_buckets",
        "_check_at",
        "_checks_at_instant",
        "_far",
        "_heap",
        "_horizon",
        "_next",
        "_playing",
        "_seen",
        "_slots",
        "_ties",
        "events",
        "instant",
        "running",
        "start",
    )  # fmt: skip

    MAX_EVENTS_AT_INSTANT: ClassVar[int] = 1_000_000  # events without time passing
    CHECK_INTERVAL_EVENTS: ClassVar[int] = 50_000  # events between looks at that

    def __init__(self, start: float = 1000.0, ties: Random | None = None) -> None:
        self.start = start
        self.instant = start
        self.running: object = None
        self.events = 0
        # Each entry is an Event, or a bare call that is never cancelled.
        self._buckets: dict[float, list[Any]] = {}  # what comes at the instants just ahead ...
        self._heap: list[float] = []  # ... and these instants, all before the horizon
        self._horizon = start
        self._far: dict[int, list[tuple[float, Any]]] = {}  # the rest, by slot
        self._slots: list[int] = []  # a heap
        self._playing: list[Any] = []  # what comes at this one
        self._next: Iterator[Any] = iter(self._playing)
        self._ties = None if ties is None else ties.randrange
        self._check_at = self.CHECK_INTERVAL_EVENTS
        self._checks_at_instant = 0  # in a row that found this instant
        self._seen = start

    def now(self) -> float:
        """Return the present instant."""
        return self.instant

    def at(self, instant: float, call: Callable[..., object], *args: object) -> Event:
        """Call at an instant, at once where that has passed, but never from within this call."""
        event = Event((call, args))
        if instant > self.instant:  # as `post` and `_put_off` do, without a call of either
            if instant >= self._horizon:
                if instant < inf:
                    slot = int(instant * SLOTS)
                    entries = self._far.get(slot)
                    if entries is None:
                        self._far[slot] = [(instant, event)]
                        heappush(self._slots, slot)
                    else:
                        entries.append((instant, event))
                return event
            bucket = self._buckets.get(instant)
            if bucket is None:
                self._buckets[instant] = [event]
                heappush(self._heap, instant)
                return event
        else:
            bucket = self._playing
        bucket.append(event)
        if self._ties is not None:
            self._mix(bucket)
        return event

    def post(self, instant: float, call: Callable[[], object] | Event) -> None:
        """As `at`, for what has no arguments and is never cancelled."""
        if instant > self.instant:
            if instant >= self._horizon:
                self._put_off(instant, call)
                return
            bucket = self._buckets.get(instant)
            if bucket is None:
                self._buckets[instant] = [call]
                heappush(self._heap, instant)
                return
        else:
            bucket = self._playing
        bucket.append(call)
        if self._ties is not None:
            self._mix(bucket)

    def run(self, until: float) -> None:
        """Play all that comes up to an instant and at it; then it is that instant."""
        heap, buckets, kind = self._heap, self._buckets, Event
        events, look_at = self.events, self._check_at
        try:
            while True:
                for event in self._next:
                    events += 1
                    if event.__class__ is kind:
                        call, args = event
                        if call is None:
                            events -= 1
                            continue
                        event[0] = None
                        if events >= look_at:
                            look_at = self._check_progress(call, events)
                        call(*args)
                    else:
                        if events >= look_at:
                            look_at = self._check_progress(event, events)
                        event()
                if heap and heap[0] <= until:  # as `_advance` does, which is most of what is done here
                    self.instant = instant = heappop(heap)
                    self._playing = playing = buckets.pop(instant)
                    self._next = iter(playing)
                elif not self._advance(until):
                    self.instant = max(self.instant, until)
                    return
        finally:
            self.events = events

    def step(self, until: float = inf) -> bool:
        """Play the next event if there is one by then; False, and time stands still, if there is none."""
        while True:
            for event in self._next:
                call, args = event if event.__class__ is Event else (event, ())
                if call is None:
                    continue
                if event is not call:
                    event[0] = None
                self.events += 1
                if self.events >= self._check_at:
                    self._check_progress(call, self.events)
                call(*args)
                return True
            if not self._advance(until):
                return False

    def pending(self) -> list[Event]:
        """Return all that is to come and was asked for by `at`, in its order."""
        rest = self._playing[len(self._playing) - length_hint(self._next) :]
        for instant in sorted(self._heap):
            rest += self._buckets[instant]
        for slot in sorted(self._slots):
            rest += [event for _, event in sorted(self._far[slot], key=lambda entry: entry[0])]
        return [event for event in rest if event.__class__ is Event and event[0] is not None]

    def _put_off(self, instant: float, call: Any) -> None:
        if instant < inf:
            slot = int(instant * SLOTS)
            entries = self._far.get(slot)
            if entries is None:
                self._far[slot] = [(instant, call)]
                heappush(self._slots, slot)
            else:
                entries.append((instant, call))

    def _advance(self, until: float) -> bool:
        """Go to the next instant at which anything comes, if that is not after `until`."""
        heap = self._heap
        while not heap:
            if not self._slots or self._slots[0] > until * SLOTS:
                self._playing = []
                self._next = iter(self._playing)
                return False
            slot = heappop(self._slots)
            self._horizon = (slot + 1) / SLOTS
            for instant, event in self._far.pop(slot):
                if event.__class__ is not Event or event[0] is not None:
                    self.post(instant, event)
        if heap[0] > until:
            self._playing = []
            self._next = iter(self._playing)
            return False
        self.instant = instant = heappop(heap)
        self._playing = playing = self._buckets.pop(instant)
        self._next = iter(playing)
        return True

    def _mix(self, bucket: list[Any]) -> None:
        """Give the last entry its place among those that are not played yet."""
        assert self._ties is not None
        last = len(bucket) - 1
        first = len(bucket) - length_hint(self._next) if bucket is self._playing else 0
        place = self._ties(first, last + 1)
        bucket[place], bucket[last] = bucket[last], bucket[place]

    def _check_progress(self, call: Any, events: int) -> int:
        """Raise StuckError at an instant without end; return the number of events at which to check again."""
        self._check_at = events + self.CHECK_INTERVAL_EVENTS
        self._checks_at_instant = self._checks_at_instant + 1 if self.instant == self._seen else 0
        self._seen = self.instant
        if self._checks_at_instant * self.CHECK_INTERVAL_EVENTS >= self.MAX_EVENTS_AT_INSTANT:
            name = getattr(call, "__qualname__", type(call).__name__)
            whose = getattr(getattr(call, "__self__", None), "name", "")
            raise StuckError(
                f"{self.MAX_EVENTS_AT_INSTANT} events at {self.instant:.6f} s without time passing,"
                f" the last one {name}{whose and f' of {whose}'}"
            )
        return self._check_at
