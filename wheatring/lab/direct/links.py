"""A network without bytes: delays, partitions and slow links between hosts.

Messages arrive after the delay of their link, or after a partition has healed. The faults, their names and
the distribution of the delays are those of the simulated network `lab.net`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import partial
from math import log
from random import Random
from typing import Any, NamedTuple, Protocol

from wheatring.lab.plan import NetPlan
from wheatring.lab.timers import PlayedTime

RETRANSMIT_SECONDS = 0.2  # initial retransmission time-out, doubled with each retransmission
MAX_RETRANSMIT_SECONDS = 120.0


class Link(Protocol):
    """The link from one host to another."""

    def send(self, earliest: float, call: Callable[..., object], *args: Any) -> float:
        """Make a call when a message sent now arrives, not before the instant `earliest`.

        Parameters
        ----------
        earliest
            The instant at which earlier messages have arrived.

        Returns
        -------
        float
            The instant of arrival, or `earliest` if that is not known yet.
        """


class Links(Protocol):
    """The links between all hosts, given by name."""

    def link(self, source: str, target: str) -> Link:
        """Return the link from one host to another."""

    def delay(self, source: str, target: str) -> float:
        """Return the seconds that a message sent now takes one way."""

    def reachable(self, source: str, target: str) -> bool:
        """Return whether a message sent now arrives without a retransmission."""


class SidecarLinks(NamedTuple):
    """A sidecar's name and host, and the links of its network."""

    name: str
    host: str
    links: Links


class DirectLink:
    """A link with a minimum delay plus an exponential part; messages wait until a partition has healed."""

    __slots__ = ("cut", "delayed", "draw", "floor", "held_since", "spread", "time")

    def __init__(self, time: PlayedTime, draw: Callable[[], float]) -> None:
        self.time = time
        self.draw = draw
        self.floor = 0.0
        self.spread = 0.0
        self.cut = False
        self.held_since = 0.0  # when the oldest delayed message was sent
        self.delayed: list[tuple[Callable[..., object], tuple[Any, ...]]] = []

    def send(self, earliest: float, call: Callable[..., object], *args: Any) -> float:
        """Make a call when a message sent now arrives; see `Link.send`."""
        if self.cut:
            if not self.delayed:
                self.held_since = self.time.instant
            self.delayed.append((call, args))
            return earliest
        time = self.time
        arrival = time.instant + self.floor - self.spread * log(1.0 - self.draw())
        if arrival < earliest:
            arrival = earliest
        time.post(arrival, partial(call, *args) if args else call)
        return arrival

    def resume(self) -> None:
        """Deliver the delayed messages at TCP's next retransmission after the partition has healed."""
        now = self.time.instant
        wait = RETRANSMIT_SECONDS
        arrival = self.held_since + wait
        while arrival < now:
            wait = min(2 * wait, MAX_RETRANSMIT_SECONDS)
            arrival += wait
        delayed, self.delayed = self.delayed, []
        for call, args in delayed:
            self.time.at(arrival + self.floor, call, *args)


class DirectLinks:
    """Links with the plan's delays. A host without a zone in `zones` belongs to the clients."""

    def __init__(self, plan: NetPlan, zones: Mapping[str, str], time: PlayedTime, random: Random) -> None:
        self.plan = plan
        self.zones = zones
        self.time = time
        self.draw = random.random
        self.links: dict[tuple[str, str], DirectLink] = {}
        self.isolated: list[str] = []
        self.cuts: list[tuple[tuple[str, ...], tuple[str, ...], bool]] = []
        self.slowed: dict[tuple[tuple[str, ...], tuple[str, ...]], float] = {}

    def link(self, source: str, target: str) -> DirectLink:
        """Return the link from one host to another."""
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
        """Return whether a message sent now arrives without a retransmission."""
        return not self.link(source, target).cut

    # Faults. An empty sequence means all hosts; a host always reaches itself.

    def isolate(self, host: str) -> None:
        """Lose all messages to and from a host."""
        self.isolated.append(host)
        self._update_all()

    def reconnect(self, host: str) -> None:
        """Connect an isolated host again; the owners of its connections have to reset them."""
        self.isolated.remove(host)
        self._update_all()

    def cut(self, hosts: Sequence[str], others: Sequence[str], one_way: bool = False) -> None:
        """Partition the network: messages from `hosts` to `others` wait until after `heal`.

        Unless `one_way`, messages in the reverse direction wait too. `heal` takes the same arguments.
        """
        self.cuts.append((tuple(hosts), tuple(others), one_way))
        self._update_all()

    def heal(self, hosts: Sequence[str], others: Sequence[str], one_way: bool = False) -> None:
        """End the partition that `cut` started with the same arguments."""
        self.cuts.remove((tuple(hosts), tuple(others), one_way))
        self._update_all()

    def slow(self, hosts: Sequence[str], others: Sequence[str], factor: float) -> None:
        """Multiply the delays between the hosts, in both directions, by `factor`; 1 ends the fault."""
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
                if _matches(hosts, others, source, target) or _matches(hosts, others, target, source):
                    mean *= factor
            link.cut = (
                source in self.isolated
                or target in self.isolated
                or any(
                    _matches(hosts, others, source, target)
                    or (not one_way and _matches(hosts, others, target, source))
                    for hosts, others, one_way in self.cuts
                )
            )
        link.floor = mean * (1 - self.plan.jitter)
        link.spread = mean * self.plan.jitter


def _matches(hosts: tuple[str, ...], others: tuple[str, ...], source: str, target: str) -> bool:
    return (not hosts or source in hosts) and (not others or target in others)
