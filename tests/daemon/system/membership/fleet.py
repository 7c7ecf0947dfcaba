"""The fleet of the scenarios: the deciders of real sidecars, in memory and in virtual time.

At each event of each sidecar it is held to what must never be: one that goes back to a lower number, or two
that stand in views of one number with other members.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from itertools import pairwise
from random import Random

from wheatring.fleet.lease.component import FleetComponent, Instant
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.membership_views import MembershipViews
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet, first_voters
from wheatring.fleet.members.timing import SwimTiming
from wheatring.fleet.members.view import View
from wheatring.fleet.peers.agreement import LEADER_SETTINGS, Agreement
from wheatring.lab.leases.cluster import Cluster, Node
from wheatring.lab.live.links.link_state import LinkState

POLL_SECONDS = 0.1  # seconds of virtual time between two looks at whether something is so


class ScenarioFleet:
    """A fleet by names, `n0` and up, of which the first `voters` vote. `them` is whom the last step named."""

    def __init__(self, size: int, voters: int, seed: int) -> None:
        self.cluster = Cluster(
            seed,
            size,
            VoterSet(first_voters(voters)),
            [LEADER_SETTINGS],
            LeaseTiming(),
            SwimTiming(),
            make_components=self.components,
        )
        self.cluster.after_event = self.after
        self.random = Random(seed)
        self.agreed: dict[str, Agreement] = {}
        self.voters = [f"n{number}" for number in range(voters)]
        self.them: list[str] = []
        self.known: dict[str, View] = {}  # the view in which each process stands
        self.views: dict[int, View] = {0: View()}  # all that there were, by their numbers
        self.mark = 0  # the number from which on changes are counted
        self.broken: list[str] = []

    def components(self, at: Instant, fleet: Fleet) -> list[FleetComponent]:
        """Build the components of the daemon by the same code."""
        self.agreed[fleet.me.name] = Agreement(at, fleet)
        self.known.pop(fleet.me.name, None)
        return fleet.components

    def after(self, node: Node) -> None:
        view = self.agreed[node.name].views.view
        was = self.known.get(node.name)
        if was is view:
            return
        self.known[node.name] = view
        at = f"{node.name} at {self.cluster.now:.2f} s"
        if was is not None and view.number < was.number:
            self.broken.append(f"{at} goes back from {was.number} to {view.number}")
        if self.views.setdefault(view.number, view).members != view.members:
            self.broken.append(f"{at} stands in {view.number} with other members")

    # Who

    @property
    def running(self) -> list[str]:
        return [name for name, node in self.cluster.nodes.items() if node.fleet and not node.fleet.is_leaving]

    @property
    def leader(self) -> str:
        """The one that leads in the highest epoch."""
        leads = [name for name in self.running if self.views_of(name).register.is_ready]
        return max(leads, key=lambda name: self.views_of(name).register.epoch or 0, default="")

    def views_of(self, name: str) -> MembershipViews:
        return self.agreed[name].views

    def who(self, phrase: str) -> list[str]:
        """Whom words like "n3 and n4", "2 voters", "4 that do not vote", "the leader", "all others" name."""
        found = self._who(phrase)
        assert found, f"{phrase}: nobody"
        return found

    def _who(self, phrase: str) -> list[str]:
        names = list(self.cluster.nodes)
        if phrase in ("they", "them", "it"):
            return self.them
        if phrase == "all":
            return self.running
        if phrase == "all others":
            return [name for name in self.running if name not in self.them]
        if phrase == "the leader":
            return [self.leader] if self.leader else []
        if phrase == "all voters":
            return self.voters
        if match := re.fullmatch(r"the observers of (\w+)", phrase):
            return self.views_of(self.leader).installer.rings.observers(match[1])
        if match := re.fullmatch(r"(\d+) voters?( besides the leader)?", phrase):
            some = [name for name in self.voters if not match[2] or name != self.leader]
            return sorted(self.random.sample(some, int(match[1])))
        if match := re.fullmatch(r"(\d+) that (?:does|do) not vote", phrase):
            rest = [name for name in names if name not in self.voters]
            return sorted(self.random.sample(rest, int(match[1])))
        listed = re.split(r", | and ", phrase)
        assert {*listed} <= {*names}, f"{phrase}: who is that?"
        return listed

    # What befalls them

    def each(self, do: Callable[[Node], None], names: list[str]) -> None:
        for name in names:
            do(self.cluster.nodes[name])

    def moved(self, node: Node) -> None:
        """Let a node start at another address."""
        del self.cluster.by_address[node.address]
        node.address = (node.address[0], node.address[1] + 1)
        self.cluster.by_address[node.address] = node

    def leave(self, node: Node) -> None:
        """As the daemon does on SIGTERM: it says so, and its process ends."""
        assert node.fleet is not None
        at = self.cluster.instant(node)
        self.cluster.send(node, self.agreed[node.name].leave(at))
        self.cluster.send(node, node.fleet.leave(at))
        self.cluster.kill(node)

    def lose(self, names: list[str], share: float) -> None:
        """So much of what goes between these and all others is lost, both ways."""
        net = self.cluster.default_link
        self.cluster.isolate(names, LinkState(delay=net.delay, jitter=net.jitter, drop=share))

    # Time

    def go(self, seconds: float) -> None:
        self.cluster.run(self.cluster.now + seconds)
        assert not self.broken, self.broken[:5]

    def within(self, seconds: float, what: Callable[[], object]) -> float | None:
        """Let time go until something is so; how long it took, or None: it is not so in good time."""
        begun = self.cluster.now
        while not what():
            if self.cluster.now >= begun + seconds:
                return None
            self.go(POLL_SECONDS)
        return self.cluster.now - begun

    # What is so

    def agree(self, names: list[str], members: list[str]) -> bool:
        """Whether these stand in one view of just those members, and count on it."""
        views = [self.views_of(name) for name in names]
        one = {(view.view.number, view.view.names) for view in views}
        return (
            len(one) == 1
            and next(iter(one))[1] == {*members}
            and all(view.is_current(self.cluster.now) for view in views)
        )

    def changes(self) -> int:
        """Count the views with other members than the one before, since counting began anew."""
        later = [self.views[number] for number in sorted(self.views) if number >= self.mark]
        return sum(one.members != other.members for one, other in pairwise(later))

    def standing(self) -> str:
        """Return every node's view, for the text of a failure."""
        return "; ".join(
            f"{name} {view.view.number}:{len(view.view.members)}"
            f"{'' if view.is_current(self.cluster.now) else '?'}"
            for name in self.running
            if (view := self.views_of(name))
        )
