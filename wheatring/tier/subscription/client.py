"""The subscriber: stays connected to one controller that is in contact with a quorum.

The subscriber switches to another controller if the current one stops sending or reports that it has lost the
quorum. Older state than the subscriber has is never applied, so its view cannot go back until a restart.
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
MAX_STALENESS_MS = 900  # a controller without contact with a quorum for longer is considered stale
FIRST_UPDATE_TIMEOUT_SECONDS = 0.5  # includes the time to connect
MIN_SUBSCRIPTION_SECONDS = 0.6  # a subscription to a stale controller is kept for at least this time
CHECK_INTERVAL_SECONDS = 0.1


@dataclass(slots=True)
class ControlView:
    """The newest control state and endpoint list of a subscriber."""

    position: tuple[int, int] = (0, 0)  # term and index
    generation: int = 0
    configuration: bytes = b""
    placement: Placement = field(default_factory=Placement)
    controllers: list[Member] = field(default_factory=list)
    soft_version: int = 0
    endpoint_list: bytes = b""
    has_been_current: bool = False  # received an update from a controller in contact with a quorum


class Subscription:
    """Keeps a `ControlView` up to date."""

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
        """Initialize the subscription.

        Parameters
        ----------
        seeds
            Returns the IP addresses of the seed controllers.
        port
            The port of all controllers.
        zone
            The zone of this process. Controllers of the same zone are preferred.
        presence
            Returns the presence message of this process.
        presence_interval_seconds
            The interval of presence messages.
        on_change
            Called after every change of the view.
        random
            The random source for the choice among controllers of other zones.
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
        """Return the subscription of a role's process, with the controllers of its settings."""
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
        """Subscribe to one controller after another, until cancelled."""
        tried: list[str] = []
        while True:
            host = self._choose_controller(tried)
            tried.append(host)
            if await self._subscribe_to(host):
                tried = [host]

    def _choose_controller(self, tried: list[str]) -> str:
        """Return the next controller: one of the same zone if possible, else any not tried recently."""
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

    async def _subscribe_to(self, host: str) -> bool:
        """Subscribe to a controller while it is usable. Returns whether it was ever current."""
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
                    async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
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
        """Return whether the controller of this subscription is reachable, current and not stopping."""
        has_update = self._updated_at > started_at
        timeout = UPDATE_TIMEOUT_SECONDS if has_update else FIRST_UPDATE_TIMEOUT_SECONDS
        if now - self._updated_at > timeout or not client.is_reachable(started_at, now):
            return False
        return not self._is_stopping and not (self._is_stale and now - started_at > MIN_SUBSCRIPTION_SECONDS)

    def _on_envelope(self, envelope: Envelope) -> None:
        if envelope.HasField("update"):
            self._apply(envelope.update)

    def _apply(self, update: Update) -> None:
        """Apply an update of the controller."""
        self._updated_at = asyncio.get_running_loop().time()
        self._is_stale = update.staleness_ms > MAX_STALENESS_MS
        self._is_stopping = update.stopping
        view = self.view
        is_changed = self._apply_state(update)
        if update.soft_version > view.soft_version and update.endpoint_list:
            view.soft_version = update.soft_version
            view.endpoint_list = update.endpoint_list
            is_changed = True
        if not self._is_stale and not view.has_been_current:
            view.has_been_current = is_changed = True
            log_event("subscribed", controller=self._host, generation=view.generation)
        if self._is_stale or self._is_stopping:
            self._wake.set()
        if is_changed:
            self._on_change()

    def _apply_state(self, update: Update) -> bool:
        """Apply the committed state of an update; return whether it is newer than the view."""
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

    def send_presence(self) -> None:
        """Send the presence of this process to the controller immediately."""
        if self._client is not None:
            self._client.send(Envelope(presence=self._presence()))

    def adopt_placement(self, placement: Placement) -> None:
        """Adopt a placement received from a storage replica, if it is newer than that of the view."""
        if placement.epoch > self.view.placement.epoch:
            self.view.placement = placement
