"""One visit while a machine holds it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wheatring.lab.correlation import OriginalRequest
from wheatring.lab.models.visit import Visit

if TYPE_CHECKING:
    from wheatring.lab.models.machine import Machine


class Stay:
    """A visit that the machine holds."""

    __slots__ = ("breaks", "calls", "done", "machine", "mark", "origin", "over", "part", "rest", "visit")

    def __init__(self, machine: Machine, visit: Visit, origin: OriginalRequest, work: float) -> None:
        self.machine = machine
        self.visit = visit
        self.origin = origin
        self.part = 0.0  # work that the cores have in hand, and the mark that they gave for it
        self.mark = 0.0
        self.rest = work  # work for which it will come back to them
        self.done = 0.0  # work behind it
        self.calls = 0  # to the next tier, still to be made
        self.breaks = False  # it is going to end in a reset
        self.over = False

    def called(self, served: bool) -> None:
        """A call to the next tier has ended."""
        if not self.over:
            self.machine.called(self, served)
