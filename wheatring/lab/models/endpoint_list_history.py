"""The endpoint list of one tier as discovery knows it, with its history: what each version of it said."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from wheatring.lab.event_recorder import NodeState
from wheatring.lab.plan import NodePlan, Plan

# Versions back to which changes are available; a sidecar with an older one gets the complete list.
KEPT_VERSIONS = 256


class RegisteredNode(NamedTuple):
    """A node as it is registered with discovery at the start of the day."""

    name: str
    address: str  # HOST:PORT
    zone: str = ""
    kind: str = ""
    cell: int = 0
    started: float = 0.0  # the instant of its start; 0: long ago
    tier: int = 0  # on whose list it is

    @classmethod
    def from_plan(cls, plan: Plan, node: NodePlan, address: str = "") -> RegisteredNode:
        """Return a node of a plan as it is registered; `address` is "" where each sidecar has its own."""
        kind = plan.tiers[node.tier].kinds[node.kind].name
        return cls(node.name, address, node.zone, kind, node.cell, tier=node.tier)


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list."""

    node: RegisteredNode
    state: NodeState
    started: float  # the instant of its last start; 0: long ago
    started_ms: int  # the same in Unix milliseconds; 0: long ago


class EndpointListHistory:
    """The versions of one endpoint list.

    Version 1 is what was listed at the start; each publication that changes anything makes the next.

    Parameters
    ----------
    kept_versions
        How many versions back changes are available.
    """

    def __init__(self, kept_versions: int = KEPT_VERSIONS) -> None:
        self.kept_versions = kept_versions
        self.version = 1
        self.frozen_version: int | None = None  # no newer version is visible while it is set
        self.publication_instants: list[float] = [float("-inf")]  # of each version
        # By node: the versions that changed its entry, in rising order, with the entry.
        self.entry_versions: dict[str, list[tuple[int, EndpointEntry]]] = {}

    @property
    def oldest_version(self) -> int:
        """The oldest version since which changes are available."""
        return max(1, self.version - self.kept_versions)

    def register(self, node: RegisteredNode) -> None:
        """Add a node by name and address, not listed yet."""
        self.entry_versions[node.name] = []

    def add_initial(self, entry: EndpointEntry) -> None:
        """List a registered node in the first version."""
        self.entry_versions[entry.node.name].append((1, entry))

    def publish(self, now: float, entries: Iterable[EndpointEntry]) -> list[EndpointEntry]:
        """Publish entries as one new version, and return those that differ from what was listed.

        If none of them differs, there is no new version.
        """
        changed = []
        for entry in entries:
            past = self.entry_versions[entry.node.name]
            if (past and past[-1][1] == entry) or (not past and entry.state == "gone"):
                continue
            past.append((self.version + 1, entry))
            changed.append(entry)
        if changed:
            self.version += 1
            self.publication_instants.append(now)
        return changed

    def published_at(self, version: int) -> float:
        """Return the instant at which a version was published."""
        return self.publication_instants[version - 1]

    def version_at(self, instant: float) -> int:
        """Return the version that was the newest at an instant."""
        return bisect_right(self.publication_instants, instant)

    def visible_version(self, reached_version: int) -> int:
        """Return what a request gets that a version has reached: an older version during a freeze."""
        if self.frozen_version is None:
            return reached_version
        return min(reached_version, self.frozen_version)

    def latest_entry(self, name: str) -> EndpointEntry:
        """Return the newest entry of a listed node."""
        return self.entry_versions[name][-1][1]

    def entries(self, version: int) -> list[EndpointEntry]:
        """Return the entries of all nodes that had been listed by a version, also of those that are gone."""
        return [entry for _, entry in self._entries_at(version)]

    def changes(self, since_version: int, version: int) -> list[EndpointEntry]:
        """Return the entries of a version that were changed after an earlier one."""
        return [entry for changed, entry in self._entries_at(version) if changed > since_version]

    def has_changes_since(self, version: int) -> bool:
        """Return whether the changes since a version are available."""
        return self.oldest_version <= version <= self.version

    def _entries_at(self, version: int) -> Iterable[tuple[int, EndpointEntry]]:
        """Give each node's entry at a version, with the version that changed it."""
        for past in self.entry_versions.values():
            for changed, entry in reversed(past):
                if changed <= version:
                    yield changed, entry
                    break
