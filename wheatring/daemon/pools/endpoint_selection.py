"""One pool's part of an endpoint list that several pools use. Free of I/O and clocks.

Guards that an endpoint which no longer matches is gone from the pool, and that the pool never hears of one
that never matched.
"""

from __future__ import annotations

from dataclasses import replace

from wheatring.balancer.interface import EndpointEntry, EndpointState, View, ViewKind
from wheatring.daemon.config.project_file import PoolTable

GONE = EndpointState.GONE


class EndpointSelection:
    """Selects the endpoints whose zone, machine kind and cell are those that `table` states."""

    def __init__(self, table: PoolTable) -> None:
        self.table = table
        self.names: set[str] = set()  # of the endpoints in the pool now, draining ones among them

    def matches(self, entry: EndpointEntry) -> bool:
        """Whether an entry of the list belongs to the pool."""
        table = self.table
        return (
            (table.zone is None or table.zone == entry.zone)
            and (table.machine is None or table.machine == entry.machine_type)
            and (table.cell is None or table.cell == entry.cell)
        )

    def select(self, view: View) -> View:
        """Return the pool's part of an update of the list.

        Each update is passed on, even an empty one: that there was an answer, or none, is information too.
        """
        if view.kind is ViewKind.FAILED:
            return view
        if view.kind is not ViewKind.DELTA:
            self.names.clear()
        selected = []
        for entry in view.entries:
            name = entry.endpoint
            if entry.state is not GONE and self.matches(entry):
                self.names.add(name)
                selected.append(entry)
            elif name in self.names:
                self.names.discard(name)
                selected.append(replace(entry, state=GONE))
        return View(view.kind, tuple(selected), view.version)
