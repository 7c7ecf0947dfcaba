"""Breaches as they are found: all are counted, the first hundred kept."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import structs

from wheatring.lab.outcome import Breach
from wheatring.lab.rules.trace import Trace

MAX_KEPT_BREACHES = 100


class MisuseError(Exception):
    """An event was recorded that can't happen: the fault is of the lab, not of the sidecar."""


class Breaches:
    """The breaches found so far. Instants are seconds of the world."""

    def __init__(self, now: Callable[[], float], start: float, trace: Trace | None) -> None:
        self.now = now
        self.start = start
        self.trace = trace
        self.count = 0
        self.kept: list[Breach] = []

    def add(self, rule: str, what: str, *, ident: str = "", sidecar: str = "", node: str = "") -> int:
        """Add a breach found now; return its index in the list, or -1 where it is not kept."""
        at = round(self.now() - self.start, 9)
        self.count += 1
        if self.trace is not None:
            self.trace.line(self.now(), ident, f"breach rule={rule} what={what}")
        if len(self.kept) == MAX_KEPT_BREACHES:
            return -1
        self.kept.append(Breach(rule, at, what, ident, sidecar, node))
        return len(self.kept) - 1

    def name(self, place: int, ident: str) -> None:
        """Name the request at fault, known only later, of the breach at an index."""
        self.kept[place] = structs.replace(self.kept[place], ident=ident)
