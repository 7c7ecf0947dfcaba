"""The network without bytes: delays, partitions and slow links between hosts.

What is sent from one host to another arrives late, or after a partition is healed. The faults are those
of the lab's network, by the same names, and so is the distribution of the delays.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import partial
from math import log
from random import Random
from typing import Any, NamedTuple, Protocol

from wheatring.lab.plan import NetPlan
from wheatring.lab.timers import PlayedTime

RETRANSMIT_SECONDS = 0.2  # until what was lost is sent again, doubled each time
MAX_RETRANSMIT_SECONDS = 120.0  # at most


class Link(Protocol):
    """The path from one host to another."""

    def send(self, earliest: float, call: Callable[..., object], *args: Any) -> float:
        """Make a call when what is sent now arrives, not before the instant `earliest`.

        Parameters
        ----------
        earliest
            The instant at which what was sent earlier arrives.

        Returns
        -------
        float
            The instant of the arrival, or `earliest` while that is not known.
        """


class Links(Protocol):
    """The paths between all hosts, which are given by name."""

    def link(self, source: str, target: str) -> Link:
        """Return the path from one host to another."""

    def delay(self, source: str, target: str) -> float:
        """Return the seconds that a message sent now takes one way."""

    def reachable(self, source: str, target: str) -> bool:
        """Return whether a message sent now arrives without being sent again."""


class SidecarLinks(NamedTuple):
    """One sidecar's place on the links."""

    name: str
    host: str
    links: Links


class DirectLink:
    """A path whose delay is a minimum and an exponential part; what is sent into a partition waits."""

    __slots__ = ("cut", "delayed", "draw", "floor", "since", "spread", "time")

    def __init__(self, time: PlayedTime, draw: Callable[[], float]) -> None:
        self.time = time
        self.draw = draw
        self.floor = 0.0
        self.spread = 0.0
        self.cut = False
        self.since = 0.0  # of what has been delayed longest
        self.delayed: list[tuple[Callable[..., object], tuple[Any, ...]]] = []

    def send(self, earliest: float, call: Callable[..., object], *args: Any) -> float:
        """Make a call when what is sent now arrives; see `Link.send`."""
        if self.cut:
            if not self.delayed:
                self.since = self.time.instant
            self.delayed.append((call, args))
            return earliest
        time = self.time
        arrival = time.instant + self.floor - self.spread * log(1.0 - self.draw())
        if arrival < earliest:
            arrival = earliest
        time.post(arrival, partial(call, *args) if args else call)
        return arrival

    def resume(self) -> None:
        """Deliver what waited, once the partition is healed, when TCP would next retransmit."""
        now = self.time.instant
        wait = RETRANSMIT_SECONDS
        again = self.since + wait
        while again < now:
            wait = min(2 * wait, MAX_RETRANSMIT_SECONDS)
            again += wait
        delayed, self.delayed = self.delayed, []
        for call, args in delayed:
            self.time.at(again + self.floor, call, *args)


class DirectLinks:
    """Links by the plan's delays; a host that has no zone in `zones` is the clients'."""

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
        """Return the path from one host to another."""
        link = self.links.get((source, target))
        if link is None:
            link = self.links[source, target] = DirectLink(self.time, self.draw)
            self._update(source, target, link)
        return link

    def delay(self, source: str, target: str) -> float:
        """Return the seconds that a message sent now takes one way."""
        link = self.link(source, target)
        return link.floor - link.spread * log(1.0 - self.draw())

    def reachable(self, source: str, target: str) -> bool:
        """Return whether a message sent now arrives without being sent again."""
        return not self.link(source, target).cut

    # Faults. No names stand for all hosts; a host always reaches itself.

    def vanish(self, host: str) -> None:
        """Cut a host off: nothing reaches it or leaves it."""
        self.vanished.append(host)
        self._update_all()

    def back(self, host: str) -> None:
        """Connect a host again; the owners of its connections have to reset them."""
        self.vanished.remove(host)
        self._update_all()

    def cut(self, hosts: Sequence[str], others: Sequence[str], one_way: bool = False) -> None:
        """Partition the network: what `hosts` send to `others` waits until after `heal`.

        Unless `one_way`, what `others` send to `hosts` waits too. `heal` takes the same arguments.
        """
        self.cuts.append((tuple(hosts), tuple(others), one_way))
        self._update_all()

    def heal(self, hosts: Sequence[str], others: Sequence[str], one_way: bool = False) -> None:
        """Heal the partition that `cut` made with the same arguments."""
        self.cuts.remove((tuple(hosts), tuple(others), one_way))
        self._update_all()

    def slow(self, hosts: Sequence[str], others: Sequence[str], factor: float) -> None:
        """Multiply the delays between the hosts, both ways, by `factor`; 1 ends it."""
        self.slowed.pop((tuple(hosts), tuple(others)), None)
        if factor != 1.0:
            self.slowed[tuple(hosts), tuple(others)] = factor
        self._update_all()

    # Internal

    def _update_all(self) -> None:
        for (source, target), link in self.links.items():
            self._update(source, target, link)
            if link.delayed and not link.cut:
                link.resume()

    def _update(self, source: str, target: str, link: DirectLink) -> None:
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
