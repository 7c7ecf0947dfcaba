"""The scheduler of virtual time: runs events in the order of their instants.

Instants of the near future are in a heap. Later events are kept unsorted in slots of time and move to the
heap when their slot comes: most timers are cancelled before that, and so cost almost nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from math import inf
from operator import length_hint
from random import Random
from typing import Any, ClassVar

SLOTS_PER_SECOND = 16  # a power of two, as otherwise rounding could put equal instants into different slots


class Event(list[Any]):
    """A scheduled call: the callable and its arguments."""

    __slots__ = ()

    def cancel(self) -> None:
        """Cancel the call."""
        self[0] = None
        self[1] = ()

    def active(self) -> bool:
        """Return whether the call is still to come."""
        return self[0] is not None


class StuckError(RuntimeError):
    """Events follow each other without end at one instant."""


class VirtualTime:
    """The clock of a simulation. It satisfies `Timers`.

    Events of one instant run in the order in which they were scheduled or, with `ties`, in a random order
    drawn from it. An event never runs before the one that scheduled it.

    `instant` is the present instant, `running` the process whose code runs, and `events` the number of events
    run so far. An exception of an event propagates from `run` and `step`, which may be called again.
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
        "_seen_instant",
        "_slots",
        "_ties",
        "events",
        "instant",
        "running",
        "start",
    )  # fmt: skip

    MAX_EVENTS_AT_INSTANT: ClassVar[int] = 1_000_000  # limit of events without time passing
    CHECK_INTERVAL_EVENTS: ClassVar[int] = 50_000  # number of events between checks of that limit

    def __init__(self, start: float = 1000.0, ties: Random | None = None) -> None:
        self.start = start
        self.instant = start
        self.running: object = None
        self.events = 0
        # Each entry is an Event, or a bare call that is never cancelled.
        self._buckets: dict[float, list[Any]] = {}  # events by instant, up to the horizon
        self._heap: list[float] = []  # the instants of the buckets
        self._horizon = start
        self._far: dict[int, list[tuple[float, Any]]] = {}  # instants and events after the horizon, by slot
        self._slots: list[int] = []  # a heap of the slots in use
        self._playing: list[Any] = []  # events of the present instant
        self._next: Iterator[Any] = iter(self._playing)
        self._ties = None if ties is None else ties.randrange
        self._check_at = self.CHECK_INTERVAL_EVENTS
        self._checks_at_instant = 0  # consecutive checks at the same instant
        self._seen_instant = start

    def now(self) -> float:
        """Return the present instant."""
        return self.instant

    def at(self, instant: float, call: Callable[..., object], *args: object) -> Event:
        """Schedule a call at an instant, or now if that has passed; it is never made from within `at`."""
        event = Event((call, args))
        if instant > self.instant:  # the bodies of `post` and `_post_far`, inlined for speed
            if instant >= self._horizon:
                if instant < inf:
                    slot = int(instant * SLOTS_PER_SECOND)
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
            self._shuffle_last(bucket)
        return event

    def post(self, instant: float, call: Callable[[], object] | Event) -> None:
        """Schedule a call without arguments that is never cancelled; see `at`."""
        if instant > self.instant:
            if instant >= self._horizon:
                self._post_far(instant, call)
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
            self._shuffle_last(bucket)

    def run(self, until: float) -> None:
        """Run all events up to and including the instant `until`, and advance the clock to it."""
        heap, buckets, event_class = self._heap, self._buckets, Event
        events, next_check = self.events, self._check_at
        try:
            while True:
                for event in self._next:
                    events += 1
                    if event.__class__ is event_class:
                        call, args = event
                        if call is None:
                            events -= 1
                            continue
                        event[0] = None
                        if events >= next_check:
                            next_check = self._check_progress(call, events)
                        call(*args)
                    else:
                        if events >= next_check:
                            next_check = self._check_progress(event, events)
                        event()
                if heap and heap[0] <= until:  # the common case of `_advance`, inlined for speed
                    self.instant = instant = heappop(heap)
                    self._playing = playing = buckets.pop(instant)
                    self._next = iter(playing)
                elif not self._advance(until):
                    self.instant = max(self.instant, until)
                    return
        finally:
            self.events = events

    def step(self, until: float = inf) -> bool:
        """Run the next event up to `until`; return False, without advancing the clock, if there is none."""
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
        """Return the pending events scheduled with `at`, in the order in which they are due."""
        rest = self._playing[len(self._playing) - length_hint(self._next) :]
        for instant in sorted(self._heap):
            rest += self._buckets[instant]
        for slot in sorted(self._slots):
            rest += [event for _, event in sorted(self._far[slot], key=lambda entry: entry[0])]
        return [event for event in rest if event.__class__ is Event and event[0] is not None]

    def _post_far(self, instant: float, call: Any) -> None:
        if instant < inf:
            slot = int(instant * SLOTS_PER_SECOND)
            entries = self._far.get(slot)
            if entries is None:
                self._far[slot] = [(instant, call)]
                heappush(self._slots, slot)
            else:
                entries.append((instant, call))

    def _advance(self, until: float) -> bool:
        """Advance to the next instant that has events, and return True, unless it is after `until`."""
        heap = self._heap
        while not heap:
            if not self._slots or self._slots[0] > until * SLOTS_PER_SECOND:
                self._playing = []
                self._next = iter(self._playing)
                return False
            slot = heappop(self._slots)
            self._horizon = (slot + 1) / SLOTS_PER_SECOND
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

    def _shuffle_last(self, bucket: list[Any]) -> None:
        """Swap the last entry with a random one of those that have not run yet."""
        assert self._ties is not None
        last = len(bucket) - 1
        first = len(bucket) - length_hint(self._next) if bucket is self._playing else 0
        place = self._ties(first, last + 1)
        bucket[place], bucket[last] = bucket[last], bucket[place]

    def _check_progress(self, call: Any, events: int) -> int:
        """Raise StuckError if time no longer passes; return the number of events at which to check again."""
        self._check_at = events + self.CHECK_INTERVAL_EVENTS
        self._checks_at_instant = self._checks_at_instant + 1 if self.instant == self._seen_instant else 0
        self._seen_instant = self.instant
        if self._checks_at_instant * self.CHECK_INTERVAL_EVENTS >= self.MAX_EVENTS_AT_INSTANT:
            name = getattr(call, "__qualname__", type(call).__name__)
            owner = getattr(getattr(call, "__self__", None), "name", "")
            raise StuckError(
                f"{self.MAX_EVENTS_AT_INSTANT} events at {self.instant:.6f} s without time passing,"
                f" the last one {name}{owner and f' of {owner}'}"
            )
        return self._check_at
