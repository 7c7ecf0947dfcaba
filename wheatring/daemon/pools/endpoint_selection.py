"""One pool's subset of an endpoint list that several pools share. Uses no I/O and no clock.

Ensures that an endpoint which no longer matches is reported to the pool as gone, and that one which never
matched is not reported at all.
"""

from __future__ import annotations

from dataclasses import replace

from wheatring.balancer.interface import EndpointEntry, EndpointState, View, ViewKind
from wheatring.daemon.config.project_file import PoolTable

GONE = EndpointState.GONE


class EndpointSelection:
    """Selects the endpoints that match the zone, machine type and cell in `table`."""

    def __init__(self, table: PoolTable) -> None:
        self.table = table
        self.names: set[str] = set()  # endpoints in the pool, including draining ones

    def matches(self, entry: EndpointEntry) -> bool:
        """Return whether an entry of the list belongs to the pool."""
        table = self.table
        return (
            (table.zone is None or table.zone == entry.zone)
            and (table.machine is None or table.machine == entry.machine_type)
            and (table.cell is None or table.cell == entry.cell)
        )

    def select(self, view: View) -> View:
        """Return the pool's subset of an update of the list.

        Every update is passed on, even an empty one, as it also shows whether the call succeeded.
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
