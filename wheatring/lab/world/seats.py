"""Seats: the places of sidecars, each under one name and address over all of its starts."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from wheatring.config.platform_file import PlatformConfig, read_settings
from wheatring.lab.plan import Plan
from wheatring.lab.settings import settings
from wheatring.lab.timers import Timer, Timers
from wheatring.lab.world.ground import DISCOVERY, PORT, Ground


class Seat:
    """One sidecar's place: what it is told at each start, and its comings and goings.

    `known` says what the machine list of its tier was when last heard, in discovery's form.
    """

    def __init__(
        self,
        plan: Plan,
        name: str,
        host: str,
        tier: int,
        number: int,
        copies: int,
        known: Callable[[int], dict[str, Any]],
    ) -> None:
        self.name = name
        self.host = host
        self.tier = tier
        self.known = known
        self.limits = plan.limits
        self.told = settings(plan, tier, number, copies)
        self.read = read_settings(self.told)
        self.random = Random(f"{plan.seed}:sidecar:{name}")
        self.start_time = plan.sidecar_start
        self.running = False
        self.stopping = False
        self.down = 0.0  # seconds from its end to its next start; 0: it has none
        self.timer: Timer | None = None  # the next thing that is to become of it

    def config(self) -> PlatformConfig:
        """The configuration of its next start, with a seed of its own."""
        return PlatformConfig(
            name=self.name,
            listen=(self.host, PORT),
            discovery=DISCOVERY,
            seed=self.random.getrandbits(64),
            sockets=self.limits.sockets,
            known=self.known(self.tier),
            settings=self.read,
            given=self.told,
        )

    def wait(self) -> float:
        """Seconds from the start of its process until it listens."""
        least, most = self.start_time
        return least + (most - least) * self.random.random()


class Seats:
    """Starts and ends sidecars, and tells whoever wants to know. The ground tells the book."""

    def __init__(
        self,
        timers: Timers,
        ground: Ground,
        came: Callable[[Seat], None],
        stops: Callable[[Seat], None],
        went: Callable[[Seat], None],
    ) -> None:
        self.timers = timers
        self.ground = ground
        self.came, self.stops, self.went = came, stops, went
        self.seats: dict[str, Seat] = {}

    def up(self, seat: Seat) -> None:
        """It listens from now on."""
        seat.timer = None
        seat.running, seat.stopping = True, False
        self.ground.sidecar_up(seat.name, seat.config(), lambda: self.ended(seat))
        self.came(seat)

    def start(self, seat: Seat, after: float) -> None:
        """Start its process `after` seconds from now; whatever else was to become of it does not."""
        self.call_off(seat)
        seat.timer = self.timers.at(self.timers.now() + after + seat.wait(), self.up, seat)

    def kill(self, seat: Seat, down: float) -> None:
        """Kill it outright, and start it anew after `down` seconds, if that is not 0."""
        seat.down = down
        if seat.running:
            self.ground.sidecar_kill(seat.name)
            self.ended(seat)
        else:
            self.call_off(seat)
            if down:
                self.start(seat, down)

    def restart(self, seat: Seat, patience: float, down: float) -> None:
        """SIGTERM, SIGKILL after `patience` seconds if it still runs, a new start `down` after its end."""
        if not seat.running or seat.stopping:
            return
        seat.stopping, seat.down = True, down
        self.stops(seat)
        seat.timer = self.timers.at(self.timers.now() + patience, self.kill, seat, down)
        self.ground.sidecar_stop(seat.name)

    def stall(self, seat: Seat, on: bool) -> None:
        raise ValueError(f"{seat.name}: no process that could be stopped")

    def move(self) -> None:
        raise ValueError("no process that could be told of a move")

    def ended(self, seat: Seat) -> None:
        self.call_off(seat)
        seat.running = seat.stopping = False
        self.went(seat)
        if seat.down:
            self.start(seat, seat.down)

    def call_off(self, seat: Seat) -> None:
        if seat.timer is not None and seat.timer.active():
            seat.timer.cancel()
        seat.timer = None
