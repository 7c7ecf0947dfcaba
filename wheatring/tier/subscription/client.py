"""The subscriber's side: stays connected to one controller that is in contact with a quorum.

A controller that sends nothing, or reports that it has lost the quorum, is left for another one. Nothing
older than what the subscriber has is ever applied, so it cannot go back within its incarnation.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from wheatring.tier.event_log import log_event
from wheatring.tier.role_process import RoleProcess
from wheatring.tier.transport.client import EnvelopeClient
from wheatring.tier.transport.messages_pb2 import Envelope, Member, Placement, Presence, Subscribe, Update

UPDATE_TIMEOUT_SECONDS = 0.8  # a controller sends an update every SUBSCRIBER_HEARTBEAT_SECONDS
MAX_STALENESS_MS = 900  # a controller that has been without a quorum for longer is not believed to be current
FIRST_UPDATE_TIMEOUT_SECONDS = 0.5  # after the connection was asked for
MIN_SUBSCRIPTION_SECONDS = 0.6  # with a stale controller, before the next one is tried
CHECK_SECONDS = 0.1  # between two checks of the controller, where it reports nothing wrong


@dataclass(slots=True)
class ControlView:
    """The newest control state and endpoint list that a subscriber has."""

    position: tuple[int, int] = (0, 0)  # term and index
    generation: int = 0
    configuration: bytes = b""
    placement: Placement = field(default_factory=Placement)
    controllers: list[Member] = field(default_factory=list)
    soft_version: int = 0
    endpoint_list: bytes = b""
    is_fresh: bool = False  # was in step, at least once, with a controller that had a quorum


class Subscription:
    """Keeps a view of the control state up to date."""

    def __init__(
        self,
        seeds: Callable[[], list[str]],
        port: int,
        zone: str,
        presence: Callable[[], Presence],
        presence_interval_seconds: float,
        on_change: Callable[[], None],
        random: Random,
    ) -> None:
        """Set the subscription up.

        Parameters
        ----------
        seeds
            Gives the IP addresses of the controllers to begin with.
        port
            The port of all controllers.
        zone
            The zone of this process, whose controllers it prefers.
        presence
            Gives the presence message of this process.
        presence_interval_seconds
            The time between two presence messages.
        on_change
            Called after every change of the view.
        random
            Chooses among controllers of other zones.
        """
        self.view = ControlView()
        self._seeds = seeds
        self._port = port
        self._zone = zone
        self._presence = presence
        self._presence_interval_seconds = presence_interval_seconds
        self._on_change = on_change
        self._random = random
        self._client: EnvelopeClient | None = None
        self._host = ""
        self._updated_at = 0.0
        self._is_stale = False
        self._is_stopping = False
        self._wake = asyncio.Event()

    @classmethod
    def for_role(
        cls,
        process: RoleProcess,
        presence: Callable[[], Presence],
        presence_interval_seconds: float,
        on_change: Callable[[], None],
        random: Random,
    ) -> Subscription:
        """Return the subscription of a role's process, with the controllers that its settings name."""
        settings = process.settings
        return cls(
            seeds=process.seed_hosts,
            port=settings.controller_port,
            zone=settings.zone,
            presence=presence,
            presence_interval_seconds=presence_interval_seconds,
            on_change=on_change,
            random=random,
        )

    async def run(self) -> None:
        """Subscribe to one controller after the other, for as long as the process runs."""
        tried: list[str] = []
        while True:
            host = self._choose(tried)
            tried.append(host)
            if await self._follow(host):
                tried = [host]

    def _choose(self, tried: list[str]) -> str:
        """Return the next controller: first one of the own zone, then any that has not just been tried."""
        near = [member.address for member in self.view.controllers if member.zone == self._zone]
        known = [member.address for member in self.view.controllers]
        hosts = list(dict.fromkeys(near + known + self._seeds()))
        untried = [host for host in hosts if host not in tried]
        if not untried:
            last = tried[-1] if tried else ""
            tried.clear()
            untried = [host for host in hosts if host != last] or hosts
        if near and untried[0] in near:
            return untried[0]
        return self._random.choice(untried)

    async def _follow(self, host: str) -> bool:
        """Subscribe at a controller and follow it while it is usable. Returns whether it was ever current."""
        loop = asyncio.get_running_loop()
        client = self._client = EnvelopeClient(host, self._port, self._on_envelope)
        self._host = host
        subscribe = self._subscribe_message()
        started_at = self._updated_at = loop.time()
        self._is_stale = True
        self._is_stopping = False
        was_current = False
        client.send(Envelope(subscribe=subscribe))
        next_presence_at = started_at + self._presence_interval_seconds
        try:
            while True:
                self._wake.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CHECK_SECONDS):
                        await self._wake.wait()
                now = loop.time()
                was_current = was_current or not self._is_stale
                if not self._is_usable(client, started_at, now):
                    return was_current
                if now >= next_presence_at:
                    next_presence_at = now + self._presence_interval_seconds
                    client.send(Envelope(presence=self._presence()))
        finally:
            client.close()

    def _subscribe_message(self) -> Subscribe:
        view = self.view
        return Subscribe(
            presence=self._presence(),
            term=view.position[0],
            index=view.position[1],
            soft_version=view.soft_version,
            generation=view.generation,
        )

    def _is_usable(self, client: EnvelopeClient, started_at: float, now: float) -> bool:
        """Tell whether the controller followed since `started_at` is up, current, and about to stay."""
        has_update = self._updated_at > started_at
        timeout = UPDATE_TIMEOUT_SECONDS if has_update else FIRST_UPDATE_TIMEOUT_SECONDS
        if now - self._updated_at > timeout or not client.is_reachable(started_at, now):
            return False
        return not self._is_stopping and not (self._is_stale and now - started_at > MIN_SUBSCRIPTION_SECONDS)

    def _on_envelope(self, envelope: Envelope) -> None:
        if envelope.HasField("update"):
            self._apply(envelope.update)

    def _apply(self, update: Update) -> None:
        """Take in an update of the controller."""
        self._updated_at = asyncio.get_running_loop().time()
        self._is_stale = update.staleness_ms > MAX_STALENESS_MS
        self._is_stopping = update.stopping
        view = self.view
        is_changed = self._apply_state(update)
        if update.soft_version > view.soft_version and update.endpoint_list:
            view.soft_version = update.soft_version
            view.endpoint_list = update.endpoint_list
            is_changed = True
        if not self._is_stale and not view.is_fresh:
            view.is_fresh = is_changed = True
            log_event("subscribed", controller=self._host, generation=view.generation)
        if self._is_stale or self._is_stopping:
            self._wake.set()
        if is_changed:
            self._on_change()

    def _apply_state(self, update: Update) -> bool:
        """Take in the committed state of an update; return whether it is newer than the view."""
        view = self.view
        position = (update.term, update.index)
        if not update.has_state or position <= view.position:
            return False
        view.position = position
        view.placement = update.placement
        view.controllers = list(update.controllers)
        if update.generation > view.generation:
            view.generation = update.generation
            view.configuration = update.configuration
        return True

    def announce_now(self) -> None:
        """Send the presence of this process to the controller at once."""
        if self._client is not None:
            self._client.send(Envelope(presence=self._presence()))

    def adopt_placement(self, placement: Placement) -> None:
        """Take over a placement that a storage replica has shown, if it is newer than the controller's."""
        if placement.epoch > self.view.placement.epoch:
            self.view.placement = placement
