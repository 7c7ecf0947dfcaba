"""A simulated fleet whose members agree on views, and an observer of the views that they install."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import Struct

from wheatring.fleet.lease.component import FleetComponent, Instant
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.membership_views import MembershipViews
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet, first_voters
from wheatring.fleet.members.timing import SwimTiming
from wheatring.fleet.members.view import View
from wheatring.fleet.peers.agreement import LEADER_SETTINGS, Agreement
from wheatring.lab.leases.cluster import Cluster, Node
from wheatring.lab.leases.membership import datagram_bytes

MakeComponents = Callable[[Instant, Fleet], list[FleetComponent]]


def make_agreement(at: Instant, fleet: Fleet) -> list[FleetComponent]:
    """Return the components of a member that agrees on views."""
    return Agreement(at, fleet).components


def make_cluster(
    seed: int,
    size: int,
    voters: int = 3,
    make_components: MakeComponents = make_agreement,
    lease_seconds: float = 3.0,
) -> Cluster:
    """Return a fleet with the built-in role `lead`, whose members are not started yet."""
    return Cluster(
        seed,
        size,
        VoterSet(first_voters(voters)),
        [LEADER_SETTINGS],
        LeaseTiming(lease_seconds),
        SwimTiming(),
        zones=2,
        size_of=datagram_bytes,
        make_components=make_components,
    )


def views_of(node: Node) -> MembershipViews | None:
    """Return the view component of a node, None while no process runs there."""
    if node.fleet is None:
        return None
    component = node.fleet.components[0]
    assert isinstance(component, MembershipViews)
    return component


class ViewChange(Struct):
    """A new view: when it was installed, and its difference from the view before.

    `first_seen` and `last_seen` are the times at which the first and the last member installed it.
    """

    first_seen: float
    number: int
    added: frozenset[str]
    removed: frozenset[str]
    last_seen: float = 0.0


class ViewObserver:
    """Records view changes, and samples whether all healthy members are in the same view."""

    def __init__(self, fleet: Cluster, interval_seconds: float = 0.1) -> None:
        self.fleet = fleet
        self.interval_seconds = interval_seconds
        self.changes: list[ViewChange] = []
        self.newest = 0
        self.names: frozenset[str] = frozenset()
        self.view = View()
        self.excluded: set[str] = set()  # members that are not expected in the newest view
        self.delayed: set[str] = set()  # members that install it late because they were suspended
        self.samples = self.agreeing = 0
        self.installed: dict[str, int] = {}
        fleet.after_event = self.observe
        fleet.schedule(fleet.now, self.sample)

    def observe(self, node: Node) -> None:
        """Record a view that a node has newly installed; called after each event of the node."""
        views = views_of(node)
        if views is None or views.view.number == self.installed.get(node.name):
            return
        view = views.view
        self.installed[node.name] = view.number
        if view.number > self.newest:
            added, removed = view.names - self.names, self.names - view.names
            self.newest, self.names, self.view = view.number, view.names, view
            self.changes.append(ViewChange(self.fleet.now, view.number, added, removed))
        if self.changes and view.number == self.newest and node.name not in self.delayed:
            self.changes[-1].last_seen = self.fleet.now

    def healthy(self) -> list[Node]:
        """Return the running nodes that are expected in the newest view."""
        return [
            node
            for node in self.fleet.nodes.values()
            if node.fleet is not None and not node.is_stopped and node.name not in self.excluded
        ]

    def sample(self) -> None:
        """Sample whether all healthy members are in one view, and schedule the next sample."""
        all_views = [views for node in self.healthy() if (views := views_of(node)) is not None]
        numbers = {
            views.view.number
            for views in all_views
            if self.view.member(views.fleet.me.name) == views.installer.self_member
        }
        self.samples += 1
        self.agreeing += len(numbers) <= 1
        self.fleet.schedule(self.fleet.now + self.interval_seconds, self.sample)

    @property
    def agreement_share(self) -> float:
        """The share of samples in which all healthy members were in one view."""
        return self.agreeing / max(1, self.samples)

    def clear(self) -> None:
        """Clear the samples and changes."""
        self.samples = self.agreeing = 0
        self.changes.clear()

    def has_converged(self, names: Iterable[str]) -> bool:
        """Whether each healthy member is in a view of exactly these names."""
        expected = frozenset(names)
        all_views = [views_of(node) for node in self.healthy()]
        return bool(all_views) and all(
            views is not None and views.is_member and views.view.names == expected for views in all_views
        )

    def run_until_converged(self, names: Iterable[str], timeout_seconds: float) -> float:
        """Run until each healthy member is in a view of exactly these names.

        Returns
        -------
        float
            The seconds that it took, -1 after the time-out.
        """
        expected, started_at = list(names), self.fleet.now
        while not self.has_converged(expected):
            if self.fleet.now - started_at >= timeout_seconds:
                return -1.0
            self.fleet.run(self.fleet.now + 0.1)
        return self.fleet.now - started_at
