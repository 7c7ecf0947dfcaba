"""The network without bytes: what is sent from one host to another comes late, or once a cut is healed.

The faults are those of the lab's network, by the same names, and so is the law of the delays.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import partial
from math import log
from random import Random
from typing import Any, Protocol

from wheatring.lab.plan import NetPlan
from wheatring.lab.timers import PlayedTime

RESEND = 0.2  # seconds until what got lost is sent again, doubled each time ...
RESEND_MOST = 120.0  # ... up to this


class Link(Protocol):
    """The way from one host to another."""

    def send(self, least: float, call: Callable[..., object], *args: Any) -> float:
        """Call once what is sent now has arrived, not before the instant `least`, at which what was sent
        earlier arrives. Gives the instant of the arrival, or `least` while that is not known.
        """


class Links(Protocol):
    """Hosts are names."""

    def link(self, source: str, target: str) -> Link: ...

    def delay(self, source: str, target: str) -> float:
        """Seconds that a message sent now takes one way."""

    def reachable(self, source: str, target: str) -> bool:
        """Whether a message sent now arrives without being sent again."""


class DirectLink:
    """A delay is a floor and an exponential part above it. What is sent into a cut waits."""

    __slots__ = ("cut", "draw", "floor", "held", "since", "spread", "time")

    def __init__(self, time: PlayedTime, draw: Callable[[], float]) -> None:
        self.time = time
        self.draw = draw
        self.floor = 0.0
        self.spread = 0.0
        self.cut = False
        self.since = 0.0  # of what has been held longest
        self.held: list[tuple[Callable[..., object], tuple[Any, ...]]] = []

    def send(self, least: float, call: Callable[..., object], *args: Any) -> float:
        if self.cut:
            if not self.held:
                self.since = self.time.instant
            self.held.append((call, args))
            return least
        time = self.time
        arrival = time.instant + self.floor - self.spread * log(1.0 - self.draw())
        if arrival < least:
            arrival = least
        time.post(arrival, partial(call, *args) if args else call)
        return arrival

    def resume(self) -> None:
        """The cut is healed: what waited goes out when TCP would next try."""
        now = self.time.instant
        wait = RESEND
        again = self.since + wait
        while again < now:
            wait = min(2 * wait, RESEND_MOST)
            again += wait
        held, self.held = self.held, []
        for call, args in held:
            self.time.at(again + self.floor, call, *args)


class DirectLinks:
    """Links by the plan's delays. `zones`: of each host; one that has none is the clients'."""

    def __init__(self, plan: NetPlan, zones: Mapping[str, str], time: PlayedTime, random: Random) -> None:
        self.plan = plan
        self.zones = zones
        self.time = time
        self.draw = random.random
        self.links: dict[tuple[str, str], DirectLink] = {}
        self.vanished: list[str] = []
        self.cuts: list[tuple[tuple[str, ...], tuple[str, ...], bool]] = []
        self.slowed: dict[tuple[tuple[str, ...], tuple[str, ...]], float] = {}

    def link(self, source: str, target: str) -> DirectLink:
        link = self.links.get((source, target))
        if link is None:
            link = self.links[source, target] = DirectLink(self.time, self.draw)
            self._set(source, target, link)
        return link

    def delay(self, source: str, target: str) -> float:
        link = self.link(source, target)
        return link.floor - link.spread * log(1.0 - self.draw())

    def reachable(self, source: str, target: str) -> bool:
        return not self.link(source, target).cut

    # Faults. No names stand for all hosts; a host always reaches itself.

    def vanish(self, host: str) -> None:
        """Nothing leaves the host, and nothing reaches it."""
        self.vanished.append(host)
        self._rewire()

    def back(self, host: str) -> None:
        """It answers again. Its connections are to be reset by who holds its ends of them."""
        self.vanished.remove(host)
        self._rewire()

    def cut(self, hosts: Sequence[str], others: Sequence[str], one_way: bool = False) -> None:
        """What goes from `hosts` to `others` waits, and the other way too unless `one_way`, until some time
        after `heal`, which takes the same arguments.
        """
        self.cuts.append((tuple(hosts), tuple(others), one_way))
        self._rewire()

    def heal(self, hosts: Sequence[str], others: Sequence[str], one_way: bool = False) -> None:
        self.cuts.remove((tuple(hosts), tuple(others), one_way))
        self._rewire()

    def slow(self, hosts: Sequence[str], others: Sequence[str], factor: float) -> None:
        """Delays between them, both ways, are `factor` times as long; 1 ends it."""
        self.slowed.pop((tuple(hosts), tuple(others)), None)
        if factor != 1.0:
            self.slowed[tuple(hosts), tuple(others)] = factor
        self._rewire()

    # Its own

    def _rewire(self) -> None:
        for (source, target), link in self.links.items():
            self._set(source, target, link)
            if link.held and not link.cut:
                link.resume()

    def _set(self, source: str, target: str, link: DirectLink) -> None:
        here, there = self.zones.get(source), self.zones.get(target)
        mean = self.plan.client if here is None or there is None else self.plan.cross
        if here is not None and here == there:
            mean = self.plan.same
        link.cut = False
        if source != target:
            for (hosts, others), factor in self.slowed.items():
                if _between(hosts, others, source, target) or _between(hosts, others, target, source):
                    mean *= factor
            link.cut = (
                source in self.vanished
                or target in self.vanished
                or any(
                    _between(hosts, others, source, target)
                    or (not one_way and _between(hosts, others, target, source))
                    for hosts, others, one_way in self.cuts
                )
            )
        link.floor = mean * (1 - self.plan.jitter)
        link.spread = mean * self.plan.jitter


def _between(hosts: tuple[str, ...], others: tuple[str, ...], source: str, target: str) -> bool:
    return (not hosts or source in hosts) and (not others or target in others)
