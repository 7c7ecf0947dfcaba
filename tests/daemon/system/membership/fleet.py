"""The fleet of the scenarios: the decision code of real sidecars, in memory and in virtual time.

After each event the fleet checks two invariants: the view number of a sidecar never decreases, and two views
with the same number have the same members.
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

POLL_SECONDS = 0.1  # interval, in virtual time, of checking a condition


class ScenarioFleet:
    """Sidecars `n0`, `n1` and so on, the first `voters` of which vote. `last_named` is set by the steps."""

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
        self.cluster.after_event = self.check_invariants
        self.random = Random(seed)
        self.agreements: dict[str, Agreement] = {}
        self.voters = [f"n{number}" for number in range(voters)]
        self.last_named: list[str] = []
        self.current_views: dict[str, View] = {}  # by process
        self.views: dict[int, View] = {0: View()}  # all views so far, by number
        self.counted_from = 0  # the view number from which changes are counted
        self.violations: list[str] = []

    def components(self, at: Instant, fleet: Fleet) -> list[FleetComponent]:
        """Build the components with the daemon's own code."""
        self.agreements[fleet.me.name] = Agreement(at, fleet)
        self.current_views.pop(fleet.me.name, None)
        return fleet.components

    def check_invariants(self, node: Node) -> None:
        view = self.agreements[node.name].views.view
        previous = self.current_views.get(node.name)
        if previous is view:
            return
        self.current_views[node.name] = view
        at = f"{node.name} at {self.cluster.now:.2f} s"
        if previous is not None and view.number < previous.number:
            self.violations.append(f"{at} replaces view {previous.number} by the older view {view.number}")
        if self.views.setdefault(view.number, view).members != view.members:
            self.violations.append(f"{at} is in view {view.number} with other members")

    # Selection

    @property
    def running(self) -> list[str]:
        return [name for name, node in self.cluster.nodes.items() if node.fleet and not node.fleet.is_leaving]

    @property
    def leader(self) -> str:
        """The leader with the highest epoch."""
        leaders = [name for name in self.running if self.views_of(name).register.is_ready]
        return max(leaders, key=lambda name: self.views_of(name).register.epoch or 0, default="")

    def views_of(self, name: str) -> MembershipViews:
        return self.agreements[name].views

    def select(self, phrase: str) -> list[str]:
        """Return the names for "n3 and n4", "2 voters", "4 that do not vote", "the leader", "all others"."""
        selected = self._select(phrase)
        assert selected, f"{phrase}: nobody"
        return selected

    def _select(self, phrase: str) -> list[str]:
        names = list(self.cluster.nodes)
        if phrase in ("they", "them", "it"):
            return self.last_named
        if phrase == "all":
            return self.running
        if phrase == "all others":
            return [name for name in self.running if name not in self.last_named]
        if phrase == "the leader":
            return [self.leader] if self.leader else []
        if phrase == "all voters":
            return self.voters
        if match := re.fullmatch(r"the observers of (\w+)", phrase):
            return self.views_of(self.leader).installer.rings.observers(match[1])
        if match := re.fullmatch(r"(\d+) voters?( besides the leader)?", phrase):
            candidates = [name for name in self.voters if not match[2] or name != self.leader]
            return sorted(self.random.sample(candidates, int(match[1])))
        if match := re.fullmatch(r"(\d+) that (?:does|do) not vote", phrase):
            candidates = [name for name in names if name not in self.voters]
            return sorted(self.random.sample(candidates, int(match[1])))
        selected = re.split(r", | and ", phrase)
        assert {*selected} <= {*names}, f"{phrase}: who is that?"
        return selected

    # Faults

    def apply(self, action: Callable[[Node], None], names: list[str]) -> None:
        for name in names:
            action(self.cluster.nodes[name])

    def change_address(self, node: Node) -> None:
        """Change the address at which a node starts."""
        del self.cluster.by_address[node.address]
        node.address = (node.address[0], node.address[1] + 1)
        self.cluster.by_address[node.address] = node

    def leave(self, node: Node) -> None:
        """Leave as the daemon does on SIGTERM: announce it, then end the process."""
        assert node.fleet is not None
        at = self.cluster.instant(node)
        self.cluster.send(node, self.agreements[node.name].leave(at))
        self.cluster.send(node, node.fleet.leave(at))
        self.cluster.kill(node)

    def set_loss(self, names: list[str], share: float) -> None:
        """Drop this share of the messages between these sidecars and all others, in both directions."""
        net = self.cluster.default_link
        self.cluster.isolate(names, LinkState(delay=net.delay, jitter=net.jitter, drop=share))

    # Time

    def run(self, seconds: float) -> None:
        self.cluster.run(self.cluster.now + seconds)
        assert not self.violations, self.violations[:5]

    def wait_for(self, seconds: float, condition: Callable[[], object]) -> float | None:
        """Run until the condition holds; return the seconds that it took, or None if it timed out."""
        began_at = self.cluster.now
        while not condition():
            if self.cluster.now >= began_at + seconds:
                return None
            self.run(POLL_SECONDS)
        return self.cluster.now - began_at

    # State

    def have_agreed(self, names: list[str], members: list[str]) -> bool:
        """Whether these sidecars have the same current view, with exactly these members."""
        views = [self.views_of(name) for name in names]
        distinct_views = {(view.view.number, view.view.names) for view in views}
        return (
            len(distinct_views) == 1
            and next(iter(distinct_views))[1] == {*members}
            and all(view.is_current(self.cluster.now) for view in views)
        )

    def change_count(self) -> int:
        """Return the number of membership changes since `counted_from`."""
        views = [self.views[number] for number in sorted(self.views) if number >= self.counted_from]
        return sum(earlier.members != later.members for earlier, later in pairwise(views))

    def describe_views(self) -> str:
        """Describe the view of each running node, for assertion messages."""
        return "; ".join(
            f"{name} {view.view.number}:{len(view.view.members)}"
            f"{'' if view.is_current(self.cluster.now) else '?'}"
            for name in self.running
            if (view := self.views_of(name))
        )
