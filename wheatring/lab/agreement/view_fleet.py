"""A virtual fleet whose members agree on views, and the observer that reads them off it."""

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

MakePieces = Callable[[Instant, Fleet], list[FleetComponent]]


def make_agreement(at: Instant, fleet: Fleet) -> list[FleetComponent]:
    """Return the components of a member that agrees on views."""
    return Agreement(at, fleet).components


def make_cluster(
    seed: int, size: int, voters: int = 3, makes: MakePieces = make_agreement, term: float = 3.0
) -> Cluster:
    """Return a fleet with the built-in role `lead`; none of its members is started yet."""
    return Cluster(
        seed,
        size,
        VoterSet(first_voters(voters)),
        [LEADER_SETTINGS],
        LeaseTiming(term),
        SwimTiming(),
        zones=2,
        size_of=datagram_bytes,
        make_components=makes,
    )


def views_of(node: Node) -> MembershipViews | None:
    """Return the views of a node; None while no process runs there."""
    if node.fleet is None:
        return None
    piece = node.fleet.components[0]
    assert isinstance(piece, MembershipViews)
    return piece


class ViewChange(Struct):
    """A view as the fleet came to know it.

    `first_seen` and `last_seen` are when the first and the last member installed it, `added` and `removed`
    are the names by which it differs from the one before.
    """

    first_seen: float
    number: int
    added: frozenset[str]
    removed: frozenset[str]
    last_seen: float = 0.0  # when the last member installed it


class ViewObserver:
    """Follows which views there are, and samples how often all healthy members agree.

    `agreement_share` is the share of samples in which all healthy members were in one view.
    """

    def __init__(self, fleet: Cluster, every: float = 0.1) -> None:
        self.fleet = fleet
        self.interval_seconds = every
        self.changes: list[ViewChange] = []
        self.newest = 0
        self.names: frozenset[str] = frozenset()
        self.view = View()
        self.excluded: set[str] = set()  # members that are not expected in the newest view
        self.delayed: set[str] = set()  # members that install it late, as they were suspended
        self.samples = self.agreeing = 0
        self.installed: dict[str, int] = {}
        fleet.after_event = self.observe
        fleet.schedule(fleet.now, self.sample)

    def observe(self, node: Node) -> None:
        """Note a view that a node has newly installed; called after each event of the node."""
        found = views_of(node)
        if found is None or found.view.number == self.installed.get(node.name):
            return
        view = found.view
        self.installed[node.name] = view.number
        if view.number > self.newest:
            came, went = view.names - self.names, self.names - view.names
            self.newest, self.names, self.view = view.number, view.names, view
            self.changes.append(ViewChange(self.fleet.now, view.number, came, went))
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
        """Note whether all healthy members are in one view now, and schedule the next sample."""
        found = [one for node in self.healthy() if (one := views_of(node)) is not None]
        numbers = {
            one.view.number
            for one in found
            if self.view.member(one.fleet.me.name) == one.installer.self_member
        }
        self.samples += 1
        self.agreeing += len(numbers) <= 1
        self.fleet.schedule(self.fleet.now + self.interval_seconds, self.sample)

    @property
    def agreement_share(self) -> float:
        """Share of the samples in which all healthy members were in one view."""
        return self.agreeing / max(1, self.samples)

    def clear(self) -> None:
        """Forget samples and changes so far."""
        self.samples = self.agreeing = 0
        self.changes.clear()

    def has_converged(self, names: Iterable[str]) -> bool:
        """Whether each healthy member is in one view of exactly these names."""
        want = frozenset(names)
        found = [views_of(node) for node in self.healthy()]
        return bool(found) and all(
            one is not None and one.is_member and one.view.names == want for one in found
        )

    def run_until_converged(self, names: Iterable[str], longest: float) -> float:
        """Run until each healthy member is in a view of exactly these names.

        Returns
        -------
        float
            The seconds that it took, -1 if it never was.
        """
        want, began = list(names), self.fleet.now
        while not self.has_converged(want):
            if self.fleet.now - began >= longest:
                return -1.0
            self.fleet.run(self.fleet.now + 0.1)
        return self.fleet.now - began
