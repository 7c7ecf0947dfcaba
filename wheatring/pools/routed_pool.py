"""One pool of several: where its list comes from, whether it may be sent to, and how it goes away.

States, moved by `Pools` alone, but for `ready`, which the list moves:

- *made*: it has its parts and hears its list. No job is its own.
- *ready*: its list was told once. The routes may name it.
- *leaving*: no route names it; its jobs go on, and it still hears who drains.
- *closed*: nothing is its own any more: no list, no connection, no timer that starts another.

What must never hold: a job in a closed pool.
"""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Any

from wheatring.balancer.interface import Action, Event, Outcome, Settings, View, ViewKind
from wheatring.config.file import PoolTable
from wheatring.core.body import Room
from wheatring.core.clock import Clock
from wheatring.core.exchange import Exchange
from wheatring.lifecycle.asking import Pace
from wheatring.lifecycle.byhand import ByHand, Word
from wheatring.pools.connection_budget import BudgetedPool, ConnectionBudget
from wheatring.pools.endpoint_selection import EndpointSelection
from wheatring.serving_pool import ServingPool

NONE = {"generation": 0, "instances": []}  # the list of a pool that has just been made


class InertBalancer:
    """Decides nothing any more: a timer of a closed pool must not start the next."""

    def handle(self, now: float, event: Event) -> list[Action]:
        return []


class SharedListClient:
    """The one list, as a pool's driver knows it: the plain pool has it asked for, and doubts are shared."""

    def __init__(self, home: ServingPool) -> None:
        self.home = home

    def subscribe(self) -> None:
        """The plain pool hears the same of the list, and sees to it."""

    def unsubscribe(self) -> None:
        """Others go by it."""

    def fetch(self) -> None:
        self.home.machine_list.fetch()

    def seen(self, now: float, node: str, outcome: Outcome) -> None:
        self.home.machine_list.seen(now, node, outcome)


class RoutedPool:
    """`front` is the callers' exchange: ids and what is usual are one for all pools."""

    def __init__(
        self,
        name: str,
        table: PoolTable,
        reactor: Any,
        clock: Clock,
        front: Exchange,
        settings: Settings,
        seed: int,
        places: ConnectionBudget,
        room: Room,
        pace: Pace,
        home: ServingPool,
    ) -> None:
        self.name = name
        self.table = table
        own = Exchange(clock, front.grace)
        own.idents, own.usual = front.idents, front.usual
        # Decisions, and the list's timetable, drawn apart from any other pool's.
        number = Random(f"{seed}:pool:{name}").getrandbits(63)
        self.serving = ServingPool(
            reactor, clock, own, settings, number, 0, room, pace, partial(BudgetedPool, places)
        )
        self.driver = self.serving.driver
        self.pool = self.serving.pool
        assert isinstance(self.pool, BudgetedPool)
        self.connections: BudgetedPool = self.pool
        self.ready = self.closed = False
        self.selection: EndpointSelection | None = None
        self.by_hand = ByHand(self.driver.feed)  # over its own list
        if table.discovery is None:
            self.selection = EndpointSelection(table)
            self.driver.machine_list = SharedListClient(home)
            self.connections.addresses = home.pool.addresses
        else:
            host, _, port = table.discovery.rpartition(":")
            self.serving.list_from((host, int(port)), self.own_view)

    def start(self, word: Word) -> None:
        """Hear the list from now on."""
        if self.selection is None:
            self.serving.machine_list.known(NONE)
        else:
            self.view(word.whole())

    def view(self, view: View) -> None:
        """News of the one list."""
        if self.selection is not None and not self.closed:
            self.ready = True
            self.driver.feed(self.selection.select(view))

    def own_view(self, view: View) -> None:
        """News of its own list."""
        if view.kind in (ViewKind.FULL, ViewKind.DELTA):
            self.ready = True
        self.by_hand.view(view)

    def repace(self, pace: Pace) -> None:
        if self.selection is None:
            self.serving.machine_list.asking.pace = pace

    def close(self, code: str) -> None:
        """It has no jobs, or the sidecar ends."""
        if self.closed:
            return
        self.closed = True
        if self.selection is None:
            self.serving.machine_list.unsubscribe()
        self.connections.leave(code)
        self.driver.balancer = InertBalancer()
