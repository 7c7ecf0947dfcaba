"""The operators' desk: carries out what they call, in this process and by the folder in the other one.

It wires the deciders of `lifecycle/` to the parts that they steer: the list that the module sees, the
callers' side, and the places that all of them may take.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

from wheatring import log
from wheatring.core.clock import Clock
from wheatring.lifecycle.byhand import ByHand
from wheatring.lifecycle.drain import RESTED, Drain
from wheatring.lifecycle.handover import Folder, Other
from wheatring.lifecycle.orders import Orders
from wheatring.lifecycle.shares import ceiling

LOOK = 0.1  # seconds between looks at the folder; the rules on drains leave 2.5 s
SHED = 0.05  # seconds between looks at connections that are to be closed
# A newcomer serves once it has this part of the places, or after so many seconds in any case: an older
# process that hangs must not keep the new one out.
ENOUGH = 0.25
PATIENCE = 2.0


class Server(Protocol):
    """What is steered of the callers' side."""

    away: bool
    port: Any
    stopping: bool

    def standing(self) -> list[Any]: ...

    def shed(self, keep: int, rested: float) -> None: ...


class Duties(Protocol):
    """The fleet, as far as operators ask for it."""

    @property
    def seen(self) -> Callable[[], dict[str, Any]]: ...

    @property
    def release(self) -> Callable[[str], bool | None]: ...

    @property
    def turn(self) -> Callable[[], float]: ...

    @property
    def back(self) -> Callable[[], None]: ...


class Plans(Protocol):
    """The fleet's plan, as far as operators ask for it."""

    def seen(self) -> dict[str, Any]: ...

    def offer(self, body: bytes) -> tuple[int, str]: ...

    def floor(self, least: int) -> tuple[int, str]: ...


class Desk:
    """`places` are all that one sidecar may hold; `held` tells what this process does now, `resize` how many
    it may from now on. `open_door` lets callers in.
    """

    def __init__(
        self,
        clock: Clock,
        folder: Folder,
        by_hand: ByHand,
        server: Server,
        places: int,
        held: Callable[[], int],
        resize: Callable[[int], None],
        open_door: Callable[[], None],
    ) -> None:
        self.clock = clock
        self.folder = folder
        self.by_hand = by_hand
        self.server = server
        self.places = places
        self.held = held
        self.resize = resize
        self.open_door = open_door
        self.orders = Orders()
        self.drain: Drain | None = None
        self.others: list[Other] = []
        self.ceiling = places
        self.began = clock.now()
        self.opened = False
        self.over = False
        self.fleet: Duties | None = None
        self.plans: Plans | None = None
        self.waits = 0.0  # s, what the last call was told to wait for its turn

    def start(self) -> None:
        """Before the first list is read, so that none who is out is ever sent to."""
        self.settle()
        if (found := self.folder.news()) is not None:
            self.obey(found)

    def serve(self) -> None:
        """The list is there: callers are let in as soon as there are places for them."""
        self.look()

    def stop(self) -> None:
        self.over = True
        self.folder.leave()

    # Calls

    def ready(self) -> bool:
        return self.server.port is not None and not self.server.stopping

    def offline(self, node: str) -> bool:
        if not self.by_hand.knows(node):
            return False
        self.order(lambda o: Orders(o.offline | {node}, o.out_of_service))
        return True

    def online(self, node: str) -> bool:
        if not self.by_hand.knows(node):
            return False
        self.order(lambda o: Orders(o.offline - {node}, o.out_of_service))
        return True

    def out_of_service(self) -> bool:
        self.waits = 0.0 if self.fleet is None or self.orders.out_of_service else self.fleet.turn()
        if self.waits:
            return False
        self.order(lambda o: Orders(o.offline, True))
        return True

    def wait(self) -> float:
        return self.waits

    def duties(self) -> str | None:
        return None if self.fleet is None else json.dumps(self.fleet.seen())

    def release(self, duty: str) -> bool | None:
        return None if self.fleet is None else self.fleet.release(duty)

    def plan(self) -> str | None:
        return None if self.plans is None else json.dumps(self.plans.seen())

    def offer(self, body: bytes) -> tuple[int, str]:
        return (404, "no plan") if self.plans is None else self.plans.offer(body)

    def floor(self, least: int) -> tuple[int, str]:
        return (404, "no plan") if self.plans is None else self.plans.floor(least)

    def in_service(self) -> bool:
        if self.fleet is not None:
            self.fleet.back()
        self.order(lambda o: Orders(o.offline, False))
        return True

    def order(self, edit: Callable[[Orders], Orders]) -> None:
        self.obey(self.folder.change(edit, self.orders))

    # What is in force

    def obey(self, orders: Orders) -> None:
        now, before = self.clock.now(), self.orders
        self.orders = orders
        changed = sorted(before.offline ^ orders.offline)
        if changed:
            self.by_hand.put(now, orders.offline)
        for node in changed:
            log.line("endpoint", node=node, offline=int(node in orders.offline))
        if orders.out_of_service != before.out_of_service:
            self.server.away = orders.out_of_service
            log.line("service", out=int(orders.out_of_service))
            self.drain = Drain(now, len(self.server.standing())) if orders.out_of_service else None
            if self.drain is not None:
                self.send_away(self.drain)

    def send_away(self, drain: Drain) -> None:
        if drain is self.drain and not self.over and not self.server.stopping:
            self.server.shed(drain.keep(self.clock.now()), RESTED)
            self.clock.at(self.clock.now() + SHED, self.send_away, drain)

    # The other process

    @property
    def followed(self) -> bool:
        """A newer process of this sidecar lives."""
        return any(other.since > self.folder.since for other in self.others)

    def look(self) -> None:
        if self.over:
            return
        self.clock.at(self.clock.now() + LOOK, self.look)
        if (found := self.folder.news()) is not None:
            self.obey(found)
        if self.others or not self.folder.alone():
            self.settle()
        if not self.opened and not self.server.stopping:
            waited = self.clock.now() - self.began >= PATIENCE
            if self.ceiling >= ENOUGH * self.places or waited:
                self.opened = True
                self.open_door()
                if self.others and self.server.port is not None:
                    drawn = self.server.port.draw()
                    log.line("upgrade", part="newer", drawn=int(drawn), others=len(self.others))

    def settle(self) -> None:
        was = self.followed
        held, stopping = self.held(), self.server.stopping
        self.ceiling, self.others = self.folder.settle(
            lambda newest, others: ceiling(self.places, held, newest, stopping, others)
        )
        self.resize(self.ceiling)
        if self.followed and not was:
            log.line("upgrade", part="older", ceiling=self.ceiling, held=held)
