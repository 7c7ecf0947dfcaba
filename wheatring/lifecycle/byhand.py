"""Endpoints out by hand: the operators' word, laid over discovery's before the decision module sees it.

What is out is shown as draining, whatever discovery says of it. What comes back is shown as started at that
instant, and owed a call: it was restarted meanwhile, which discovery may tell later or never. A start that
discovery knows to be later still stands.

Pure: instants are handed in; nothing here knows of sockets or files.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from lapisway.interface import EndpointEntry, EndpointState, View, ViewKind

READY, GONE = EndpointState.READY, EndpointState.GONE


class ByHand:
    def __init__(self, on_view: Callable[[View], None]) -> None:
        self.on_view = on_view
        self.word: dict[str, EndpointEntry] = {}  # discovery's, of all that it lists
        self.version = 0
        self.out: frozenset[str] = frozenset()
        self.back: dict[str, float] = {}  # when one that is listed came back

    def view(self, view: View) -> None:
        """News of discovery."""
        if view.kind is not ViewKind.FAILED:
            self.version = view.version
            if view.kind is not ViewKind.DELTA:
                self.word.clear()
            for entry in view.entries:
                if entry.state is GONE:
                    self.word.pop(entry.endpoint, None)
                else:
                    self.word[entry.endpoint] = entry
            # One that has gone and comes again is told of with a start of its own.
            self.back = {name: at for name, at in self.back.items() if name in self.word}
            if self.out or self.back:
                view = replace(view, entries=tuple(map(self.shown, view.entries)))
        self.on_view(view)

    def knows(self, name: str) -> bool:
        return name in self.word or name in self.out

    def put(self, now: float, out: frozenset[str]) -> None:
        """From now on these are out, and no others."""
        changed = sorted(self.out ^ out)
        self.out = out
        for name in changed:
            if name in out:
                self.back.pop(name, None)
            elif name in self.word:
                self.back[name] = now
        entries = tuple([self.shown(self.word[name]) for name in changed if name in self.word])
        if entries:
            self.on_view(View(ViewKind.DELTA, entries, self.version))

    def shown(self, entry: EndpointEntry) -> EndpointEntry:
        name = entry.endpoint
        if entry.state is not READY:
            return entry
        if name in self.out:
            return replace(entry, state=EndpointState.DRAINING)
        at = self.back.get(name)
        if at is not None and entry.started_at < at:
            return replace(entry, started_at=at, owed=True)
        return entry
