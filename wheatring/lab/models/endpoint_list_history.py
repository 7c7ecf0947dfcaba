"""The endpoint list of one tier at the discovery service, with its past versions."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from wheatring.lab.event_recorder import NodeState
from wheatring.lab.plan import NodePlan, Plan

# Number of past versions since which changes are available; with an older one, a sidecar gets the full list.
KEPT_VERSIONS = 256


class RegisteredNode(NamedTuple):
    """A node as it is registered with discovery at the start of the day."""

    name: str
    address: str  # HOST:PORT
    zone: str = ""
    kind: str = ""
    cell: int = 0
    started: float = 0.0  # instant of its start; 0 if long ago
    tier: int = 0  # tier whose list has it

    @classmethod
    def from_plan(cls, plan: Plan, node: NodePlan, address: str = "") -> RegisteredNode:
        """Return the registration of a node of a plan.

        `address` is "" if each sidecar has its own address for the node.
        """
        kind = plan.tiers[node.tier].kinds[node.kind].name
        return cls(node.name, address, node.zone, kind, node.cell, tier=node.tier)


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list."""

    node: RegisteredNode
    state: NodeState
    started: float  # instant of its last start; 0 if long ago
    started_ms: int  # the same instant in Unix milliseconds; 0 if long ago


class EndpointListHistory:
    """The versions of one endpoint list.

    Version 1 is the list at the start of the day; each publication that changes an entry adds a version.

    Parameters
    ----------
    kept_versions
        Number of past versions since which changes are available.
    """

    def __init__(self, kept_versions: int = KEPT_VERSIONS) -> None:
        self.kept_versions = kept_versions
        self.version = 1
        self.frozen_version: int | None = None  # during a freeze: the newest visible version
        self.publication_instants: list[float] = [float("-inf")]  # by version
        # By node: the versions that changed its entry, in ascending order, with the new entry.
        self.entry_versions: dict[str, list[tuple[int, EndpointEntry]]] = {}

    @property
    def oldest_version(self) -> int:
        """The oldest version since which changes are available."""
        return max(1, self.version - self.kept_versions)

    def register(self, node: RegisteredNode) -> None:
        """Add a node that is not listed yet."""
        self.entry_versions[node.name] = []

    def add_initial(self, entry: EndpointEntry) -> None:
        """List a registered node in the first version."""
        self.entry_versions[entry.node.name].append((1, entry))

    def publish(self, now: float, entries: Iterable[EndpointEntry]) -> list[EndpointEntry]:
        """Publish entries as one new version, and return those that have changed.

        If none has changed, there is no new version.
        """
        changed = []
        for entry in entries:
            versions = self.entry_versions[entry.node.name]
            if (versions and versions[-1][1] == entry) or (not versions and entry.state == "gone"):
                continue
            versions.append((self.version + 1, entry))
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
        """Return the version for a request that a version has reached; during a freeze it may be older."""
        if self.frozen_version is None:
            return reached_version
        return min(reached_version, self.frozen_version)

    def latest_entry(self, name: str) -> EndpointEntry:
        """Return the newest entry of a listed node."""
        return self.entry_versions[name][-1][1]

    def entries(self, version: int) -> list[EndpointEntry]:
        """Return the entries of all nodes at a version, including nodes that are gone."""
        return [entry for _, entry in self._entries_at(version)]

    def changes(self, since_version: int, version: int) -> list[EndpointEntry]:
        """Return the entries at a version that have changed since an earlier version."""
        return [entry for changed, entry in self._entries_at(version) if changed > since_version]

    def has_changes_since(self, version: int) -> bool:
        """Return whether the changes since a version are available."""
        return self.oldest_version <= version <= self.version

    def _entries_at(self, version: int) -> Iterable[tuple[int, EndpointEntry]]:
        """Yield each node's entry at a version, with the version that changed it last."""
        for versions in self.entry_versions.values():
            for changed, entry in reversed(versions):
                if changed <= version:
                    yield changed, entry
                    break
