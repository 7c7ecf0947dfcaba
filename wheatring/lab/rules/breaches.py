"""Records breaches of rules: counts all of them and keeps the first hundred."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import structs

from wheatring.lab.outcome import Breach
from wheatring.lab.rules.trace import Trace

MAX_KEPT_BREACHES = 100


class MisuseError(Exception):
    """An impossible event was recorded, which is a bug of the lab and not of the sidecar."""


class Breaches:
    """The breaches found so far. Times are seconds on the world's clock."""

    def __init__(self, now: Callable[[], float], start: float, trace: Trace | None) -> None:
        self.now = now
        self.start = start
        self.trace = trace
        self.count = 0
        self.kept: list[Breach] = []

    def add(self, rule: str, what: str, *, ident: str = "", sidecar: str = "", node: str = "") -> int:
        """Add a breach at the current time; return its index in the list, or -1 if it is not kept."""
        at = round(self.now() - self.start, 9)
        self.count += 1
        if self.trace is not None:
            self.trace.line(self.now(), ident, f"breach rule={rule} what={what}")
        if len(self.kept) == MAX_KEPT_BREACHES:
            return -1
        self.kept.append(Breach(rule, at, what, ident, sidecar, node))
        return len(self.kept) - 1

    def set_ident(self, index: int, ident: str) -> None:
        """Set the request of the breach at an index, for a request identified only after the breach."""
        self.kept[index] = structs.replace(self.kept[index], ident=ident)
