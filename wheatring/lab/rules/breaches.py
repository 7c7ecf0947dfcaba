"""Breaches as they are found: all are counted, the first hundred kept."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import structs

from wheatring.lab.outcome import Breach
from wheatring.lab.rules.trace import Trace

KEPT = 100


class MisuseError(Exception):
    """The book was told what can't be: the fault is of an attachment or a model, not of the sidecar."""


class Breaches:
    def __init__(self, now: Callable[[], float], start: float, trace: Trace | None) -> None:
        self.now = now
        self.start = start
        self.trace = trace
        self.count = 0
        self.kept: list[Breach] = []

    def add(self, rule: str, what: str, *, ident: str = "", sidecar: str = "", node: str = "") -> int:
        """Now, a rule is found broken. Its place in the list; -1 where it is not kept."""
        at = round(self.now() - self.start, 9)
        self.count += 1
        if self.trace is not None:
            self.trace.line(self.now(), ident, f"breach rule={rule} what={what}")
        if len(self.kept) == KEPT:
            return -1
        self.kept.append(Breach(rule, at, what, ident, sidecar, node))
        return len(self.kept) - 1

    def name(self, place: int, ident: str) -> None:
        """The request at fault has become known later than its breach."""
        self.kept[place] = structs.replace(self.kept[place], ident=ident)
