"""Makes happen what the plan says, as far as it can be on loopback. Load is the clients' own matter."""

from __future__ import annotations

from typing import Protocol

from wheatring.core.clock import Clock
from wheatring.lab.book import Book
from wheatring.lab.live.nodes import Nodes
from wheatring.lab.live.seats import Seats
from wheatring.lab.models import troubles
from wheatring.lab.models.discovery import Registry, Trouble
from wheatring.lab.plan import EventKind, EventPlan

OF_DISCOVERY: dict[EventKind, Trouble] = {
    "discovery_down": "down",
    "discovery_silent": "silent",
    "discovery_slow": "slow",
    "discovery_stale": "stale",
    "discovery_lies": "lies",
}


class Lives(Protocol):
    def start(self, name: str) -> None: ...

    def end(self, name: str) -> None: ...


class Events:
    def __init__(
        self, clock: Clock, book: Book, nodes: Nodes, registry: Registry, seats: Seats, lives: Lives
    ) -> None:
        self.clock = clock
        self.book = book
        self.nodes = nodes
        self.registry = registry
        self.seats = seats
        self.lives = lives

    def schedule(self, day: float, events: tuple[EventPlan, ...]) -> None:
        """`day` is the instant at which the day begins."""
        for event in events:
            self.clock.at(day + event.at, self.begin, event)

    def begin(self, event: EventPlan) -> None:
        whom = event.nodes or event.sidecars
        self.book.note("event", kind=event.kind, **({"at": ",".join(whom)} if whom else {}))
        kind = event.kind
        if kind == "start":
            for name in event.nodes:
                self.lives.start(name)
        elif kind == "kill":
            for name in event.nodes:
                self.end(event, name)
        elif kind == "drain":
            for name in event.nodes:
                self.nodes.drain(name)
                self.clock.at(self.clock.now() + event.extra, self.end, event, name)
        elif kind == "sidecar_kill":
            for name in event.sidecars:
                self.seats.kill(self.seats.seats[name], event.length)
        elif kind == "sidecar_restart":
            for name in event.sidecars:
                self.seats.restart(self.seats.seats[name], event.extra, event.length)
        elif kind in OF_DISCOVERY:
            end = self.registry.begin(OF_DISCOVERY[kind], event.size)
            if event.length:
                self.clock.at(self.clock.now() + event.length, end)
        elif kind != "load":
            self.trouble(event, True)
            if event.length:
                self.clock.at(self.clock.now() + event.length, self.trouble, event, False)

    def trouble(self, event: EventPlan, on: bool) -> None:
        """Something at nodes begins or is over."""
        for name in event.nodes:
            if event.kind == "refuse":
                self.nodes.refuse(name, on)
            else:
                machine = self.nodes.nodes[name].machine
                (troubles.begin if on else troubles.end)(machine, event)

    def end(self, event: EventPlan, name: str) -> None:
        """A node's process ends; itself or another one follows it."""
        self.lives.end(name)
        follower = event.replaced_by or (name if event.length else "")
        if follower:
            self.clock.at(self.clock.now() + event.length, self.lives.start, follower)
