"""Applies the operators' offline orders to the endpoint list from discovery.

An endpoint that an operator has taken offline is reported as draining, whatever its state in discovery. When
it is brought back online, it is reported as started at that time and as reinstated: it has been restarted in
the meantime, which discovery may announce late or never. A later start time from discovery takes precedence.

Pure: the caller passes the time; there are no sockets or files here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from wheatring.balancer.interface import EndpointEntry, EndpointState, View, ViewKind

READY, GONE = EndpointState.READY, EndpointState.GONE


class EndpointListState:
    """The endpoint list, by endpoint, after all views received from discovery."""

    def __init__(self) -> None:
        self.entries: dict[str, EndpointEntry] = {}
        self.version = 0

    def view(self, view: View) -> None:
        """Apply a view; the view of a failed call changes nothing."""
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
        """Return the whole list as one view."""
        return View(ViewKind.FULL, tuple(self.entries.values()), self.version)


class EndpointOverrides:
    """Applies the operators' orders to each view and passes it to `on_view`.

    Attributes
    ----------
    discovered : EndpointListState
        The list without the overrides.
    offline : frozenset of str
        The endpoints that operators have taken offline.
    restored_at : dict of str to float
        When each listed endpoint was brought back online.
    """

    def __init__(self, on_view: Callable[[View], None]) -> None:
        self.on_view = on_view
        self.discovered = EndpointListState()
        self.offline: frozenset[str] = frozenset()
        self.restored_at: dict[str, float] = {}

    def view(self, view: View) -> None:
        """Record a view from discovery, apply the overrides and pass it on."""
        self.discovered.view(view)
        if view.kind is not ViewKind.FAILED:
            # An endpoint that has left the list and returns is listed with its own start time.
            listed = self.discovered.entries
            self.restored_at = {name: at for name, at in self.restored_at.items() if name in listed}
            if self.offline or self.restored_at:
                view = replace(view, entries=tuple(map(self.overridden, view.entries)))
        self.on_view(view)

    def knows(self, name: str) -> bool:
        """Whether an endpoint is in the list or has been taken offline."""
        return name in self.discovered.entries or name in self.offline

    def set_offline(self, now: float, offline: frozenset[str]) -> None:
        """Replace the set of offline endpoints, and pass on the entries that change."""
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
        """Return an entry of the list from discovery with the overrides applied."""
        name = entry.endpoint
        if entry.state is not READY:
            return entry
        if name in self.offline:
            return replace(entry, state=EndpointState.DRAINING)
        restored_at = self.restored_at.get(name)
        if restored_at is not None and entry.started_at < restored_at:
            return replace(entry, started_at=restored_at, is_reinstated=True)
        return entry
