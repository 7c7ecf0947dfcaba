"""What discovery knows: the facts about nodes, each learnt late, and its lies. All of it becomes listings."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil
from random import Random
from typing import NamedTuple

from wheatring.lab.event_recorder import EventRecorder, NodeState
from wheatring.lab.models.listing import KEPT, Line, Listed, Listing
from wheatring.lab.plan import DiscoveryPlan
from wheatring.lab.timers import Timer, Timers

LIE_TURN = 3.0  # seconds after which a lie names others


class _News(NamedTuple):
    order: int
    name: str
    state: NodeState
    started: float
    started_ms: int


class Knowledge:
    """Facts go in at the instant they happen; `changed` is told of each listing that has a new version.

    `unix` is the present Unix time in seconds. The book is told of what there is to tell: of lies too, and of
    what is learnt while it is stale only when that is over.
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
        self.unix = unix
        self.random = random
        self.book = book
        self.kept = kept
        self.changed: Callable[[Listing], None] = lambda listing: None
        self.phase = random.uniform(0, plan.period)
        self.listings: dict[int, Listing] = {}  # by tier
        self.started: dict[str, tuple[float, int]] = {}  # of each node's last start, learnt or not
        self.truth: dict[str, Line] = {}  # by node: what has been learnt of it
        self.due: dict[float, list[_News]] = {}
        self.newest: dict[str, int] = {}  # by node: the order of the newest fact that has been learnt
        self.orders = 0
        self.stales = 0
        self.untold: dict[str, None] = {}  # nodes of which there will be something to tell
        self.lies: list[Lie] = []

    # Facts

    def add(self, node: Listed, up: bool) -> None:
        self.listing(node.tier).add(node)
        started = self.started[node.name] = (node.started, self._unix_ms(node.started))
        line = self.truth[node.name] = Line(node, "ready" if up else "gone", *started)
        if up:
            self.listings[node.tier].list_first(line)
            self.book.known(node.name, "ready", node.started)

    def up(self, name: str, started: float) -> None:
        self.started[name] = (started, self._unix_ms(started))
        self._fact(name, "ready", self.plan.add)

    def draining(self, name: str) -> None:
        self._fact(name, "draining", self.plan.notice)

    def down(self, name: str) -> None:
        self._fact(name, "gone", self.plan.notice)

    def vanished(self, name: str) -> None:
        self._fact(name, "gone", self.plan.silent_notice)

    def listing(self, tier: int) -> Listing:
        listing = self.listings.get(tier)
        if listing is None:
            listing = self.listings[tier] = Listing(self.kept)
        return listing

    def _unix_ms(self, instant: float) -> int:
        return round((self.unix() + instant - self.timers.now()) * 1000) if instant > 0 else 0

    def _fact(self, name: str, state: NodeState, delay: float) -> None:
        self.orders += 1
        period, at = self.plan.period, self.timers.now() + delay
        if period > 0:
            at = self.phase + ceil((at - self.phase) / period) * period
        due = self.due.get(at)
        if due is None:
            due = self.due[at] = []
            self.timers.at(at, self._learn, at)
        due.append(_News(self.orders, name, state, *self.started[name]))

    def _learn(self, at: float) -> None:
        names = []
        for news in self.due.pop(at):
            # Of a node that is back, an older end that takes longer to be noticed is no news any more.
            if news.order > self.newest.get(news.name, 0):
                self.newest[news.name] = news.order
                node = self.truth[news.name].node
                self.truth[news.name] = Line(node, news.state, news.started, news.started_ms)
                names.append(news.name)
        self.publish(names)

    def publish(self, names: list[str]) -> None:
        """List these nodes from now on as they are known, or as they are lied about."""
        now = self.timers.now()
        by_tier: dict[int, dict[str, Line]] = {}
        for name in names:
            line = self.truth[name]
            if any(name in lie.names for lie in self.lies):
                line = line._replace(state="gone")
            by_tier.setdefault(line.node.tier, {})[name] = line
        for tier, lines in by_tier.items():
            listing = self.listings[tier]
            changed = listing.publish(now, lines.values())
            for line in changed:
                if self.stales:
                    self.untold[line.node.name] = None
                else:
                    self.book.known(line.node.name, line.state, line.started)
            if changed:
                self.changed(listing)

    # Troubles

    def hold(self) -> None:
        """From now on only what is listed now is told (stale)."""
        if not self.stales:
            for listing in self.listings.values():
                listing.pin = listing.version
        self.stales += 1

    def let_go(self) -> None:
        self.stales -= 1
        if self.stales:
            return
        for listing in self.listings.values():
            listing.pin = None
        untold, self.untold = self.untold, {}
        for name in untold:
            line = self.listings[self.truth[name].node.tier].last(name)
            self.book.known(name, line.state, line.started)


class Lie:
    """Names the share `size` of each tier's running nodes as gone, at least one of them, others by turns."""

    def __init__(self, knowledge: Knowledge, size: float) -> None:
        self.knowledge = knowledge
        self.size = size
        self.names: dict[str, None] = {}
        self.timer: Timer | None = None
        knowledge.lies.append(self)
        self.turn()

    def turn(self) -> None:
        known = self.knowledge
        before, self.names = self.names, {}
        for tier in known.listings:
            ready = [n for n, line in known.truth.items() if line.state == "ready" and line.node.tier == tier]
            count = min(len(ready), max(1, round(self.size * len(ready))))
            others = [name for name in ready if name not in before]
            chosen = known.random.sample(others if len(others) >= count else ready, count)
            self.names.update(dict.fromkeys(chosen))
        self.timer = known.timers.at(known.timers.now() + LIE_TURN, self.turn)
        known.publish([*before, *self.names])

    def end(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.knowledge.lies.remove(self)
        self.knowledge.publish(list(self.names))
