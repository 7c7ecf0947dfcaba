"""Slots of sidecars: a slot keeps its name and address across restarts."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from wheatring.daemon.config.platform_file import PlatformConfig, read_settings
from wheatring.lab.plan import Plan
from wheatring.lab.settings import sidecar_settings
from wheatring.lab.timers import Timer, Timers
from wheatring.lab.world.environment import DISCOVERY, PORT, Environment


class SidecarSlot:
    """The slot of a sidecar: its configuration, and the state of its process.

    `endpoint_list_of` returns the newest endpoint list of a tier, in discovery's format.
    """

    def __init__(
        self,
        plan: Plan,
        name: str,
        host: str,
        tier: int,
        number: int,
        sidecar_count: int,
        endpoint_list_of: Callable[[int], dict[str, Any]],
    ) -> None:
        self.name = name
        self.host = host
        self.tier = tier
        self.endpoint_list_of = endpoint_list_of
        self.limits = plan.limits
        self.given_settings = sidecar_settings(plan, tier, number, sidecar_count)
        self.settings = read_settings(self.given_settings)
        self.random = Random(f"{plan.seed}:sidecar:{name}")
        self.start_time = plan.sidecar_start
        self.running = False
        self.stopping = False
        self.restart_delay = 0.0  # seconds from its end to its restart; 0: no restart
        self.timer: Timer | None = None  # for its next scheduled start, kill or end

    def config(self) -> PlatformConfig:
        """Return the configuration of the next start, with a new seed."""
        return PlatformConfig(
            name=self.name,
            listen=(self.host, PORT),
            discovery=DISCOVERY,
            seed=self.random.getrandbits(64),
            sockets=self.limits.sockets,
            known=self.endpoint_list_of(self.tier),
            settings=self.settings,
            given=self.given_settings,
        )

    def draw_startup_seconds(self) -> float:
        """Draw the seconds from the start of the process until it listens."""
        min_seconds, max_seconds = self.start_time
        return min_seconds + (max_seconds - min_seconds) * self.random.random()


class SidecarSlots:
    """Starts and stops sidecars, and reports that to its callbacks. The environment records it."""

    def __init__(
        self,
        timers: Timers,
        environment: Environment,
        on_up: Callable[[SidecarSlot], None],
        on_stopping: Callable[[SidecarSlot], None],
        on_down: Callable[[SidecarSlot], None],
    ) -> None:
        self.timers = timers
        self.environment = environment
        self.on_up, self.on_stopping, self.on_down = on_up, on_stopping, on_down
        self.by_name: dict[str, SidecarSlot] = {}

    def up(self, slot: SidecarSlot) -> None:
        """Bring a sidecar up: it listens from now on."""
        slot.timer = None
        slot.running, slot.stopping = True, False
        self.environment.sidecar_up(slot.name, slot.config(), lambda: self.on_ended(slot))
        self.on_up(slot)

    def start(self, slot: SidecarSlot, after: float) -> None:
        """Start a process `after` seconds from now, and cancel any other scheduled start or kill."""
        self.cancel_timer(slot)
        slot.timer = self.timers.at(self.timers.now() + after + slot.draw_startup_seconds(), self.up, slot)

    def kill(self, slot: SidecarSlot, restart_delay: float) -> None:
        """Kill a sidecar, and restart it after `restart_delay` seconds, if that is not 0."""
        slot.restart_delay = restart_delay
        if slot.running:
            self.environment.sidecar_kill(slot.name)
            self.on_ended(slot)
        else:
            self.cancel_timer(slot)
            if restart_delay:
                self.start(slot, restart_delay)

    def restart(self, slot: SidecarSlot, stop_timeout: float, restart_delay: float) -> None:
        """Send SIGTERM, SIGKILL after `stop_timeout` seconds; restart `restart_delay` after the end."""
        if not slot.running or slot.stopping:
            return
        slot.stopping, slot.restart_delay = True, restart_delay
        self.on_stopping(slot)
        slot.timer = self.timers.at(self.timers.now() + stop_timeout, self.kill, slot, restart_delay)
        self.environment.sidecar_stop(slot.name)

    def set_paused(self, slot: SidecarSlot, paused: bool) -> None:  # noqa: ARG002 - the interface
        """Raise ValueError, as there are no processes to pause in virtual time."""
        raise ValueError(f"{slot.name}: can't pause a process in virtual time")

    def move_discovery(self) -> None:
        """Raise ValueError, as there are no processes to notify in virtual time."""
        raise ValueError("can't move discovery in virtual time")

    def on_ended(self, slot: SidecarSlot) -> None:
        """Handle the end of a sidecar's process, and schedule its restart if there is one."""
        self.cancel_timer(slot)
        slot.running = slot.stopping = False
        self.on_down(slot)
        if slot.restart_delay:
            self.start(slot, slot.restart_delay)

    def cancel_timer(self, slot: SidecarSlot) -> None:
        """Cancel the scheduled start or kill of a slot."""
        if slot.timer is not None and slot.timer.active():
            slot.timer.cancel()
        slot.timer = None
