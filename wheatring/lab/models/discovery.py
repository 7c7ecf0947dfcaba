"""Discovery: one service for all sidecars. It learns late, answers in turn, and has troubles of its own."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import prod
from random import Random
from typing import Literal, NamedTuple

from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.models.knowledge import Knowledge, Lie
from wheatring.lab.models.listing import KEPT, Line, Listed, Listing
from wheatring.lab.plan import DiscoveryPlan, Held
from wheatring.lab.timers import Timer, Timers

__all__ = ["MOST_WAIT", "Answer", "Call", "Done", "Line", "Listed", "Registry", "Trouble"]

MOST_WAIT = 60.0  # seconds for which a call may ask to wait at most

Trouble = Literal["down", "silent", "slow", "stale", "lies", "breaks"]


class Answer(NamedTuple):
    """What a call brought: the whole list without those that are gone (`reset`), or what changed."""

    generation: int
    reset: bool
    lines: tuple[Line, ...]


Done = Callable[[Answer | None], None]  # None: the call has failed


class Call:
    """A sidecar's call to discovery. It ends once: by its `done`, or by being cancelled."""

    __slots__ = (
        "broken", "done", "entered", "index", "lag", "listing", "over", "reach", "registry", "sidecar",
        "stage", "timer", "until",
    )  # fmt: skip

    def __init__(
        self, registry: Registry, sidecar: str, listing: Listing, index: int | None, until: float, done: Done
    ) -> None:
        self.registry = registry
        self.sidecar = sidecar
        self.listing = listing
        self.index = index
        self.until = until
        self.done = done
        self.lag = 0.0  # what is known reaches this call so much later
        self.reach = 0  # the newest version that has reached it
        self.stage: Literal["waits", "queued", "served", "quiet"] = "waits"
        self.timer: Timer | None = None
        self.over = False
        self.entered = True  # nothing but its answer takes a turn
        self.broken = False  # its answer has begun, and ends in a reset

    def cancel(self) -> None:
        """The sidecar waits no longer: the connection has ended. A turn, once begun, is not given back."""
        if not self.over:
            self.registry.close(self)

    def set(self, timer: Timer | None) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = timer


class Registry:
    """The model of discovery. What happens to nodes is told to it as facts, at the instant they happen.

    `unix` is the present Unix time in seconds. `on_down` are told when it goes down (True), before the calls
    that are open fail, and when it is back (False).
    """

    def __init__(
        self,
        plan: DiscoveryPlan,
        timers: Timers,
        unix: Callable[[], float],
        random: Random,
        book: EventRecorder,
        kept: int = KEPT,
    ) -> None:
        self.plan = plan
        self.timers = timers
        self.random = random
        self.book = book
        self.knowledge = Knowledge(plan, timers, unix, random, book, kept)
        self.knowledge.changed = self._changed
        self.tiers: dict[str, int] = {}
        self.open: dict[Call, None] = {}  # in the order in which they came
        self.line: deque[Call] = deque()
        self.turn: Timer | None = None
        self.on_down: list[Callable[[bool], None]] = []
        self.downs = 0
        self.silents = 0
        self.factors: list[float] = []
        self.broken: list[float] = []  # shares of answers

    # Facts

    def serve(self, sidecar: str, tier: int) -> None:
        """The sidecar sends to that tier and gets its list; one that was never named gets the first one's."""
        self.tiers[sidecar] = tier

    def add(self, node: Listed, up: bool = True) -> None:
        """A node, at the start of the day. One that is not up is listed once it has been started."""
        self.knowledge.add(node, up)

    def up(self, name: str, started: float) -> None:
        """A process of the node has started, or its machine is heard of again (`started` as it was)."""
        self.knowledge.up(name, started)

    def draining(self, name: str) -> None:
        """It has said that it takes nothing new."""
        self.knowledge.draining(name)

    def down(self, name: str) -> None:
        """Its process has ended."""
        self.knowledge.down(name)

    def vanished(self, name: str) -> None:
        """Its machine has fallen silent."""
        self.knowledge.vanished(name)

    def held(self, tier: int, how: Held) -> Answer:
        """The list with which a sidecar of that tier starts: as it is now, as it was at first, or none."""
        if how == "none":
            return Answer(0, True, ())
        listing = self.knowledge.listing(tier)
        version = listing.view(1 if how == "old" else listing.version)
        return Answer(version, True, tuple([line for line in listing.whole(version) if line.state != "gone"]))

    # Calls

    @property
    def refuses(self) -> bool:
        """It is down: who attaches it to a network refuses connects, and resets what is open."""
        return self.downs > 0

    def call(self, sidecar: str, index: int | None, wait: float, done: Done) -> Call:
        """Ask for the whole list (`index` None), or for what is newer than a version, for which the call may
        wait so many seconds. `done` is never called from within this.
        """
        now = self.timers.now()
        wait = min(max(0.0, wait), MOST_WAIT)
        listing = self.knowledge.listing(self.tiers.get(sidecar, 0))
        call = Call(self, sidecar, listing, index, now + wait, done)
        self.open[call] = None
        self.book.asking(sidecar, wait)
        if self.downs:
            call.stage = "quiet"
            call.set(self.timers.at(now, self._end, call, None))
        elif self.silents:
            call.stage = "quiet"
        else:
            call.lag = self.random.uniform(0, self.plan.spread)
            call.reach = listing.known_at(now - call.lag)
            for version in range(call.reach + 1, listing.version + 1):
                self._send_to(call, version)
            if self.plan.watch_turns and index is not None:
                call.entered = False
                self._queue(call)
            else:
                self._look(call)
        return call

    def refused(self, sidecar: str) -> None:
        """A connect of the sidecar was refused, or ended at once: a call that has failed."""
        self.book.asking(sidecar, 0.0)
        self.book.unheard(sidecar, True)

    def close(self, call: Call, failed: bool = False) -> None:
        """End a call, for the book; who waits for its answer is told elsewhere."""
        call.over = True
        call.set(None)
        del self.open[call]
        if call.stage == "queued":
            self.line.remove(call)
        self.book.unheard(call.sidecar, failed)

    def _changed(self, listing: Listing) -> None:
        for call in list(self.open):
            if call.listing is listing:
                self._send_to(call, listing.version)

    def _send_to(self, call: Call, version: int) -> None:
        if call.lag:
            self.timers.at(call.listing.since[version - 1] + call.lag, self._reached, call, version)
        else:
            self._reached(call, version)

    def _reached(self, call: Call, version: int) -> None:
        if not call.over:
            call.reach = max(call.reach, version)
            self._look(call)

    def _look(self, call: Call) -> None:
        """A call that has something to get takes its place in the line; a watch that has not waits on."""
        if call.stage != "waits":
            return
        index, listing, now = call.index, call.listing, self.timers.now()
        if (
            index is None
            or not listing.holds(index)
            or index < listing.view(call.reach)
            or now >= call.until
        ):  # fmt: skip
            self._queue(call)
        elif call.timer is None:
            call.set(self.timers.at(call.until, self._queue, call))

    def _queue(self, call: Call) -> None:
        call.stage = "queued"
        self.line.append(call)
        call.set(self.timers.at(self.timers.now() + self.plan.timeout, self._end, call, None))
        self._next()

    def _next(self) -> None:
        if self.line and self.turn is None:
            call = self.line.popleft()
            call.stage = "served"
            call.set(None)
            if not call.entered:
                cost = self.plan.call_lines / self.plan.lines_per_s * prod(self.factors)
                self.turn = self.timers.at(self.timers.now() + cost, self._enter, call)
                return
            answer, told = self._answer(call)
            self.book.note("list_turn", sidecar=call.sidecar, lines=len(answer.lines))
            cost = (self.plan.call_lines + len(answer.lines)) / self.plan.lines_per_s * prod(self.factors)
            self.turn = self.timers.at(self.timers.now() + cost, self._written, call, answer, told)

    def _enter(self, call: Call) -> None:
        """It has had the turn that it takes to come, and waits for news."""
        self.turn = None
        if not call.over:
            call.entered = True
            call.stage = "waits"
            self._look(call)
        self._next()

    def _answer(self, call: Call) -> tuple[Answer, list[Line]]:
        """What the call gets, and what it is told by it: of a whole list, also who is missing."""
        listing, index, view = call.listing, call.index, call.listing.view(call.reach)
        if index is None or not listing.holds(index):
            told = listing.whole(view)
            return Answer(view, True, tuple([line for line in told if line.state != "gone"])), told
        if index >= view:
            return Answer(index, False, ()), []
        told = listing.changes(index, view)
        return Answer(view, False, tuple(told)), told

    def _written(self, call: Call, answer: Answer, told: list[Line]) -> None:
        self.turn = None
        if not call.over and any(self.random.random() < share for share in self.broken):
            call.broken = True
            self._end(call, None)
        elif not call.over:
            for line in told:
                self.book.told(call.sidecar, line.node.name, line.state, line.started)
            self._end(call, answer)
        self._next()

    def _end(self, call: Call, answer: Answer | None) -> None:
        if not call.over:
            if answer is not None:
                self.book.brought(call.sidecar)
            self.close(call, answer is None)
            call.done(answer)

    # Troubles

    def begin(self, trouble: Trouble, size: float = 1.0) -> Callable[[], None]:
        """A trouble begins; what is returned ends it. Several may be on at once, of one kind too.

        down: calls fail, connects are refused. silent: calls that are open, or come while it is on, are never
        answered. slow: each call takes `size` times as long. stale: tells what it knew now. lies: names the
        share `size` of the running nodes as gone, others by turns. breaks: the share `size` of the answers
        ends in a reset after its head.
        """
        if trouble == "down":
            return self._begin_down()
        if trouble == "silent":
            return self._begin_silent()
        if trouble == "slow":
            self.factors.append(size)
            return lambda: self.factors.remove(size)
        if trouble == "stale":
            self.knowledge.hold()
            return self._end_stale
        if trouble == "breaks":
            self.broken.append(size)
            return lambda: self.broken.remove(size)
        return Lie(self.knowledge, size).end

    def _hush(self) -> list[Call]:
        """Nothing that is open now gets an answer any more."""
        if self.turn is not None:
            self.turn.cancel()
            self.turn = None
        self.line.clear()
        calls = list(self.open)
        for call in calls:
            call.stage = "quiet"
            if not self.downs:  # else its end is due already
                call.set(None)
        return calls

    def _begin_down(self) -> Callable[[], None]:
        if not self.downs:
            calls = self._hush()
            self.downs = 1
            for listener in self.on_down:
                listener(True)
            for call in calls:
                self._end(call, None)
        else:
            self.downs += 1
        return self._end_down

    def _end_down(self) -> None:
        self.downs -= 1
        if not self.downs:
            for listener in self.on_down:
                listener(False)

    def _begin_silent(self) -> Callable[[], None]:
        self.silents += 1
        self._hush()
        return self._end_silent

    def _end_silent(self) -> None:
        self.silents -= 1

    def _end_stale(self) -> None:
        self.knowledge.let_go()
        for call in list(self.open):
            self._look(call)
