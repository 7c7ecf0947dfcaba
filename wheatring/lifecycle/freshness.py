"""When the machine list may have grown old, and when to ask for it anew.

Discovery's watch says nothing while nothing changes, and nothing when nobody is there any more. What the
nodes show tells the two apart: a listed node that refuses connects, breaks connections or turns all away
is *struck* until it answers, or until the list has news of it. Each struck node adds one node-second of
doubt a second, counted from its strike or from the last news, whichever is later. The list is suspect

- once all doubt together has come to NEED: one node for so many seconds, several for fewer; or
- once it has named no node that serves for EMPTY.

A suspect list is asked for anew. Asks are spread over the copies by their numbers, are never nearer than
FLOOR to each other, and each that brings no news doubles the gap, up to CEILING. All copies of a tier
together ask no more than RATE times a second, however many they are: for that, gap and spread grow with
them. Without doubt too, a watch that has been silent for QUIET is laid anew, in a large fleet somewhat later:
where a call that waits takes a turn too, renewals alone would keep discovery busy. Before all that goes what
counts as told (`told.py`): an ask that found nobody is made again as soon as any call that failed, and the
watch that is out is laid anew before its wait is over.

Pure: instants in seconds are handed in; nothing here knows of sockets.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from random import Random

from wheatring.balancer.interface import Outcome, Settings
from wheatring.lifecycle.asking import DEFAULT, Asking, Pace
from wheatring.lifecycle.told import HANG, Told

NEED = 6.0  # node-seconds of doubt
EMPTY = 1.0
FLOOR = 4.0
CEILING = 32.0
RATE = 25.0  # asks a second by all copies of the tier
SPREAD = 1.0  # least time over which the copies' first asks are spread
QUIET = 25.0  # or, in a large fleet, so long that LIKELY watches a second are laid by all, up to
QUIET_UP_TO = 39.0  # with its spread less than a watch waits: one that ends by itself costs an answer too
LIKELY = 4.0  # calls a second that discovery is held to answer
FRUIT = 2.0  # news that come within so long of an ask are its own
MEMORY = 60.0  # a node that has not been struck for so long counts no more

SERVED, ERROR = Outcome.SERVED, Outcome.ERROR  # looked up once: an enum takes its time
# What one outcome adds; at 1 the node is struck. A connection may break and a queue be full by chance.
STRIKES = {Outcome.CONNECT_FAILED: 1.0, Outcome.RESET: 0.5, Outcome.REJECTED: 0.25}


class _Doubt:
    __slots__ = ("last", "since", "weight")

    def __init__(self) -> None:
        self.weight = 0.0
        self.since = inf  # struck since then
        self.last = 0.0


class Freshness:
    """Judges one sidecar's list. `copies` send into the tier, and this one is `number` of them, from 0."""

    def __init__(
        self, copies: int, number: int, random: Random, now: float, told: Told | None = None
    ) -> None:
        self.told = Told(inf, now) if told is None else told
        self.random = random
        self.crowd = copies / RATE  # seconds that one ask of each copy takes them together
        self.quiet = min(max(QUIET, copies / LIKELY), QUIET_UP_TO)
        self.place = (number % copies + random.random()) / copies  # among the copies, from 0 to 1
        self.doubts: dict[str, _Doubt] = {}
        self.serving: set[str] = set()  # the nodes that the list names so
        self.news = now  # the last that there were
        self.laid = inf  # the watch that is out; inf: none
        self.suspect: float | None = None  # since when the list has been
        self.asked = -inf
        self.fruitless = 0  # asks in a row that brought no news
        self.next = -inf  # not to be asked before
        self.again = inf  # but by then, as the last ask found nobody

    # Evidence

    def ended(self, now: float, node: str, outcome: Outcome) -> bool:
        """A claim at a node has ended so. Whether the list is in more doubt than before."""
        if outcome is SERVED or outcome is ERROR:
            if self.doubts and self.doubts.pop(node, None) is not None:
                self.weigh(now)
            return False
        weight = STRIKES.get(outcome)
        # A slow node or an end of our own making say nothing, nor does one of which the list tells the same.
        if weight is None or node not in self.serving:
            return False
        doubt = self.doubts.get(node)
        if doubt is None or now - doubt.last > MEMORY:
            doubt = self.doubts[node] = _Doubt()
        doubt.last = now
        doubt.weight += weight
        if doubt.weight < 1 or doubt.since < inf:
            return False
        doubt.since = now
        self.weigh(now)
        return True

    def listed(self, now: float, lines: Mapping[str, bool], whole: bool) -> None:
        """The list has come, or changes of it: the names on it, and whether each serves."""
        if whole:
            self.serving.clear()
            self.doubts = {name: doubt for name, doubt in self.doubts.items() if lines.get(name)}
        for name, serves in lines.items():
            if serves:
                self.serving.add(name)
            else:
                self.serving.discard(name)
            if not whole:
                self.doubts.pop(name, None)
        if lines:
            self.news = now
            if now <= self.asked + FRUIT:
                self.fruitless = 0
        self.weigh(now)

    def watching(self, now: float) -> None:
        """A watch begins."""
        self.laid, self.again = now, inf

    def unwatched(self) -> None:
        """There is no watch."""
        self.laid = self.again = inf

    # Judgement

    @property
    def struck(self) -> int:
        return sum([doubt.since < inf for doubt in self.doubts.values()])

    def crossing(self) -> float:
        """When the list is, or was, suspect, should nothing more come; inf: never."""
        begun = [max(doubt.since, self.news) for doubt in self.doubts.values() if doubt.since < inf]
        at = (NEED + sum(begun)) / len(begun) if begun else inf
        return at if self.serving else min(at, self.news + EMPTY)

    def weigh(self, now: float) -> None:
        old = [name for name, doubt in self.doubts.items() if now - doubt.last > MEMORY]
        for name in old:
            del self.doubts[name]
        at = self.crossing()
        if at > now:
            self.suspect = None
        elif self.suspect is None:
            self.suspect = at

    def due(self, now: float) -> float:
        """The instant at which to ask, should nothing more come; inf without a watch that could be wrong."""
        if self.laid == inf:
            return inf
        self.weigh(now)
        since = self.crossing() if self.suspect is None else self.suspect
        doubted = since + self.place * max(SPREAD, self.crowd)
        quiet = self.laid + self.quiet * (1 + self.place / 4)
        # Whoever laid the watch has asked by that, and would have had an answer.
        due = max(min(doubted, quiet), self.next, self.laid + FLOOR)
        return min(due, self.again, max(self.told.by(), self.asked + HANG))

    def ask(self, now: float) -> None:
        """It is asked for now."""
        if now > self.asked + 2 * CEILING:
            self.fruitless = 0
        gap = FLOOR
        if self.suspect is not None:
            gap = min(FLOOR * 2**self.fruitless, CEILING)
            self.fruitless = min(self.fruitless + 1, 16)
        self.asked, self.again = now, inf
        self.next = now + max(gap, self.crowd) * (1 + self.random.random() / 4)

    def failed(self, now: float) -> None:
        """The ask has found nobody, and the old watch stands, which may be one to nobody."""
        self.told.failed(now, self.asked)
        self.again = now + (self.told.by() - now) * (1 - self.random.random() / 4)


def deciders(settings: Settings, seed: int, now: float, pace: Pace = DEFAULT) -> tuple[Asking, Freshness]:
    """When one sidecar asks for its list, by one law for both: in the daemon and in all that plays it."""
    copies, number, within = (
        settings.balancer_count,
        settings.balancer_index,
        settings.contract.subscribe_within,
    )
    if not settings.must_subscribe:  # the lists are pushed to an agent, which this sidecar asks alone
        copies, number, within = 1, 0, 0.0
    asking = Asking(copies, number, within, Random(f"{seed}:asking"), now, pace)
    return asking, Freshness(copies, number, Random(f"{seed}:list"), now, asking.told)
