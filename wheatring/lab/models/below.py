"""A node's calls to the next tier, through a sidecar of its own."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wheatring.lab.correlation import CorrelationTable, OriginalRequest
from wheatring.lab.models.visit import Visit
from wheatring.lab.models.way import LINGER, Asked, ReplyKind, Way
from wheatring.lab.timers import Timer, Timers


class Calls:
    """Implements `Below` for one node. A call is a request of its own: it has the first try, the class and
    the key of its visit, and a size of work that is drawn anew, by `sizes` for each class. `way` gives the
    way into the sidecar of the node's present process, None while it has none.

    What is out of time has failed for the node, which stays on the line for LINGER more: what is
    answered then is too late for it, but the rules want to see it.
    """

    def __init__(
        self,
        name: str,
        way: Callable[[], Way | None],
        origins: CorrelationTable,
        sizes: Sequence[Callable[[], float]],
        timers: Timers,
    ) -> None:
        self.name = name
        self.way = way
        self.origins = origins
        self.sizes = sizes
        self.timers = timers

    def __call__(self, visit: Visit, left: float, done: Callable[[bool], None]) -> None:
        way, timers = self.way(), self.timers
        origin = self.origins.by_id.get(visit.ident)
        if way is None or origin is None:
            timers.at(timers.now(), done, False)
            return
        call = _Call(self, done)
        call.late = timers.at(timers.now() + left, call.out_of_time)
        index = origin.class_index
        ident = self.origins.new(OriginalRequest(origin.first, index, self.sizes[index](), origin.key))
        call.asked = way.ask(self.name, ident, index, left, origin.key, False, call.answered)


class _Call:
    """One of them."""

    __slots__ = ("asked", "calls", "done", "late")

    def __init__(self, calls: Calls, done: Callable[[bool], None]) -> None:
        self.calls = calls
        self.done: Callable[[bool], None] | None = done
        self.asked: Asked | None = None
        self.late: Timer | None = None

    def answered(self, kind: ReplyKind, retry_after: float) -> None:
        if self.late is not None and self.late.active():
            self.late.cancel()
        self.late = None
        done, self.done = self.done, None
        if done is not None:
            done(kind == "served")

    def out_of_time(self) -> None:
        timers = self.calls.timers
        assert self.asked is not None
        self.late = timers.at(timers.now() + LINGER, self.asked.leave)
        done, self.done = self.done, None
        if done is not None:
            done(False)
