"""Endpoints that operators have taken offline: their orders, laid over discovery's list.

An endpoint that is offline is passed on as draining, whatever discovery says of it. One that comes back is
passed on as started at that instant and as reinstated: it was restarted meanwhile, which discovery may
announce later or never. A start that discovery knows to be later still stands.

Pure: instants are handed in; nothing here knows of sockets or files.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from wheatring.balancer.interface import EndpointEntry, EndpointState, View, ViewKind

READY, GONE = EndpointState.READY, EndpointState.GONE


class EndpointListState:
    """The endpoint list as discovery's views have left it, by endpoint."""

    def __init__(self) -> None:
        self.entries: dict[str, EndpointEntry] = {}
        self.version = 0

    def view(self, view: View) -> None:
        """Take in a view; one of a failed call changes nothing."""
        if view.kind is ViewKind.FAILED:
            return
        self.version = view.version
        if view.kind is not ViewKind.DELTA:
            self.entries.clear()
        for entry in view.entries:
            if entry.state is GONE:
                self.entries.pop(entry.endpoint, None)
            else:
                self.entries[entry.endpoint] = entry

    def full_view(self) -> View:
        """Return all of it as one view."""
        return View(ViewKind.FULL, tuple(self.entries.values()), self.version)


class EndpointOverrides:
    """Passes views on to `on_view`, with the operators' orders laid over them.

    Attributes
    ----------
    discovered : EndpointListState
        The list without the overrides.
    offline : frozenset of str
        The endpoints that operators have taken offline.
    restored_at : dict of str to float
        When a listed endpoint came back.
    """

    def __init__(self, on_view: Callable[[View], None]) -> None:
        self.on_view = on_view
        self.discovered = EndpointListState()
        self.offline: frozenset[str] = frozenset()
        self.restored_at: dict[str, float] = {}

    def view(self, view: View) -> None:
        """Take in a view of discovery, and pass it on."""
        self.discovered.view(view)
        if view.kind is not ViewKind.FAILED:
            # One that has gone and comes again is listed with a start of its own.
            listed = self.discovered.entries
            self.restored_at = {name: at for name, at in self.restored_at.items() if name in listed}
            if self.offline or self.restored_at:
                view = replace(view, entries=tuple(map(self.overridden, view.entries)))
        self.on_view(view)

    def knows(self, name: str) -> bool:
        """Whether an endpoint is listed, or offline."""
        return name in self.discovered.entries or name in self.offline

    def set_offline(self, now: float, offline: frozenset[str]) -> None:
        """Have these endpoints offline from now on, and no others; pass on what that changes."""
        changed, listed = sorted(self.offline ^ offline), self.discovered.entries
        self.offline = offline
        for name in changed:
            if name in offline:
                self.restored_at.pop(name, None)
            elif name in listed:
                self.restored_at[name] = now
        entries = tuple([self.overridden(listed[name]) for name in changed if name in listed])
        if entries:
            self.on_view(View(ViewKind.DELTA, entries, self.discovered.version))

    def overridden(self, entry: EndpointEntry) -> EndpointEntry:
        """Return a line of discovery's list as it is passed on."""
        name = entry.endpoint
        if entry.state is not READY:
            return entry
        if name in self.offline:
            return replace(entry, state=EndpointState.DRAINING)
        restored_at = self.restored_at.get(name)
        if restored_at is not None and entry.started_at < restored_at:
            return replace(entry, started_at=restored_at, is_reinstated=True)
        return entry
