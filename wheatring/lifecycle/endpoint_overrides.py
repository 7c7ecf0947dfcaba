"""Endpoints out by hand: the operators' word, laid over discovery's before the decision module sees it.

What is out is shown as draining, whatever discovery says of it. What comes back is shown as started at that
instant, and owed a call: it was restarted meanwhile, which discovery may tell later or never. A start that
discovery knows to be later still stands.

Pure: instants are handed in; nothing here knows of sockets or files.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from wheatring.balancer.interface import EndpointEntry, EndpointState, View, ViewKind

READY, GONE = EndpointState.READY, EndpointState.GONE


class EndpointListState:
    """A list as it was last told, with all that it lists."""

    def __init__(self) -> None:
        self.entries: dict[str, EndpointEntry] = {}
        self.version = 0

    def view(self, view: View) -> None:
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
        return View(ViewKind.FULL, tuple(self.entries.values()), self.version)


class EndpointOverrides:
    def __init__(self, on_view: Callable[[View], None]) -> None:
        self.on_view = on_view
        self.discovered = EndpointListState()  # discovery's
        self.offline: frozenset[str] = frozenset()
        self.restored_at: dict[str, float] = {}  # when one that is listed came back

    def view(self, view: View) -> None:
        """News of discovery."""
        self.discovered.view(view)
        if view.kind is not ViewKind.FAILED:
            # One that has gone and comes again is told of with a start of its own.
            self.restored_at = {
                name: at for name, at in self.restored_at.items() if name in self.discovered.entries
            }
            if self.offline or self.restored_at:
                view = replace(view, entries=tuple(map(self.overridden, view.entries)))
        self.on_view(view)

    def knows(self, name: str) -> bool:
        return name in self.discovered.entries or name in self.offline

    def set_offline(self, now: float, out: frozenset[str]) -> None:
        """From now on these are out, and no others."""
        changed, word = sorted(self.offline ^ out), self.discovered.entries
        self.offline = out
        for name in changed:
            if name in out:
                self.restored_at.pop(name, None)
            elif name in word:
                self.restored_at[name] = now
        entries = tuple([self.overridden(word[name]) for name in changed if name in word])
        if entries:
            self.on_view(View(ViewKind.DELTA, entries, self.discovered.version))

    def overridden(self, entry: EndpointEntry) -> EndpointEntry:
        name = entry.endpoint
        if entry.state is not READY:
            return entry
        if name in self.offline:
            return replace(entry, state=EndpointState.DRAINING)
        at = self.restored_at.get(name)
        if at is not None and entry.started_at < at:
            return replace(entry, started_at=at, is_reinstated=True)
        return entry
