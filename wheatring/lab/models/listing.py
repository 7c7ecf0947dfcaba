"""One tier's machine list as discovery knows it, with its past: what each version of it said."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from wheatring.lab.event_recorder import NodeState

KEPT = 256  # versions back to which changes are told; who holds an older one gets the whole list


class Listed(NamedTuple):
    """A node as discovery is told of it at the start. `address` is host:port, `started` 0 for long ago."""

    name: str
    address: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    started: float = 0.0
    tier: int = 0  # the list on which it stands


class Line(NamedTuple):
    """One line of an answer. `started` is an instant, `started_ms` that in Unix milliseconds; 0: long ago."""

    node: Listed
    state: NodeState
    started: float
    started_ms: int


class Listing:
    """Versions are counted from 1, which is what was listed at the start; each publication that changes
    anything makes the next.
    """

    def __init__(self, kept: int = KEPT) -> None:
        self.kept = kept
        self.version = 1
        self.pin: int | None = None  # nothing newer is told while it is set
        self.since: list[float] = [float("-inf")]  # instant at which each version became known
        self.nodes: dict[str, Listed] = {}
        self.past: dict[str, list[tuple[int, Line]]] = {}  # by node: the versions that changed it, rising

    @property
    def oldest(self) -> int:
        """The oldest version from which changes are still told."""
        return max(1, self.version - self.kept)

    def add(self, node: Listed) -> None:
        """Known by name and address, and not listed yet."""
        self.nodes[node.name] = node
        self.past[node.name] = []

    def list_first(self, line: Line) -> None:
        """Listed from the start."""
        self.past[line.node.name].append((1, line))

    def publish(self, now: float, lines: Iterable[Line]) -> list[Line]:
        """List them so from now on: one new version, if any of them says something new. What changed."""
        changed = []
        for line in lines:
            past = self.past[line.node.name]
            if (past and past[-1][1] == line) or (not past and line.state == "gone"):
                continue
            past.append((self.version + 1, line))
            changed.append(line)
        if changed:
            self.version += 1
            self.since.append(now)
        return changed

    def known_at(self, instant: float) -> int:
        """The version that was the newest one at an instant."""
        return bisect_right(self.since, instant)

    def view(self, reach: int) -> int:
        """The version that is told to whom that one has reached."""
        return reach if self.pin is None else min(reach, self.pin)

    def last(self, name: str) -> Line:
        return self.past[name][-1][1]

    def whole(self, version: int) -> list[Line]:
        """All nodes that had ever been listed by that version, those that are gone among them."""
        return [line for _, line in self._at(version)]

    def changes(self, index: int, version: int) -> list[Line]:
        """What changed after version `index`, up to `version`, each node as it stands there."""
        return [line for changed, line in self._at(version) if changed > index]

    def holds(self, index: int) -> bool:
        """Whether changes since that version can be told."""
        return self.oldest <= index <= self.version

    def _at(self, version: int) -> Iterable[tuple[int, Line]]:
        for past in self.past.values():
            for entry in reversed(past):
                if entry[0] <= version:
                    yield entry
                    break
