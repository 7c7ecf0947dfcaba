"""One pool's part of a list that several go by.

A decider, free of I/O and clocks. Guards that a node which stops to fit is gone from the pool, and that a
word of one that never fitted is not told there.
"""

from __future__ import annotations

from dataclasses import replace

from wheatring.balancer.interface import EndpointEntry, EndpointState, View, ViewKind
from wheatring.config.file import PoolTable

GONE = EndpointState.GONE


class EndpointSelection:
    """`table` says what the entries must state; what it leaves out may be anything."""

    def __init__(self, table: PoolTable) -> None:
        self.table = table
        self.names: set[str] = set()  # in the pool by now, draining ones among them

    def matches(self, entry: EndpointEntry) -> bool:
        told = self.table
        return (
            (told.zone is None or told.zone == entry.zone)
            and (told.machine is None or told.machine == entry.kind)
            and (told.cell is None or told.cell == entry.cell)
        )

    def select(self, view: View) -> View:
        """What the pool is told of news of the list. Each is passed on, though it be empty: that there was
        an answer, or none, is news too.
        """
        if view.kind is ViewKind.FAILED:
            return view
        if view.kind is not ViewKind.DELTA:
            self.names.clear()
        kept = []
        for entry in view.entries:
            name = entry.endpoint
            if entry.state is not GONE and self.matches(entry):
                self.names.add(name)
                kept.append(entry)
            elif name in self.names:
                self.names.discard(name)
                kept.append(replace(entry, state=GONE))
        return View(view.kind, tuple(kept), view.version)
