"""The subscriber's side: stays connected to one controller that is in touch with the others.

A controller that falls silent, or says that it has lost the quorum, is left for another one. Nothing older
than what is held is ever applied, so a subscriber cannot go back within its life.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from wheatring.event_log import log_event
from wheatring.transport.client import EnvelopeClient
from wheatring.transport.messages_pb2 import Envelope, Member, Placement, Presence, Subscribe, Update

UPDATE_TIMEOUT_SECONDS = (
    0.8  # without an update from the controller; it sends one every SUBSCRIBER_HEARTBEAT_SECONDS
)
MAX_STALENESS_MS = 900  # a controller that has been without a quorum for longer is not believed to be current
FIRST_UPDATE_TIMEOUT_SECONDS = 0.5  # for the first update to come
MIN_STAY_SECONDS = 0.6  # with a stale controller, before the next one is tried


@dataclass(slots=True)
class ControlView:
    """What a subscriber holds."""

    position: tuple[int, int] = (0, 0)
    generation: int = 0
    configuration: bytes = b""
    placement: Placement = field(default_factory=Placement)
    controllers: list[Member] = field(default_factory=list)
    soft_version: int = 0
    endpoint_list: bytes = b""
    fresh: bool = False  # was once in step with a controller that had a quorum
    heard_at: float = -1e9  # the last update from such a controller


class Subscription:
    """Keeps a view up to date."""

    def __init__(
        self,
        seeds: Callable[[], list[str]],
        port: int,
        zone: str,
        presence: Callable[[], Presence],
        presence_interval: float,
        changed: Callable[[], None],
        random: Random,
    ) -> None:
        self.view = ControlView()
        self._seeds = seeds
        self._port = port
        self._zone = zone
        self._presence = presence
        self._presence_pause = presence_interval
        self._changed = changed
        self._random = random
        self._client: EnvelopeClient | None = None
        self._host = ""
        self._updated_at = 0.0
        self._stale = False
        self._stopping = False
        self._wake = asyncio.Event()

    @property
    def host(self) -> str:
        """The controller in use."""
        return self._host

    async def run(self) -> None:
        """Subscribe to one controller after the other, for as long as the process runs."""
        tried: list[str] = []
        while True:
            host = self._choose(tried)
            tried.append(host)
            if await self._follow(host):
                tried = [host]

    def _choose(self, tried: list[str]) -> str:
        """The next controller: the own zone first, then any that has not just been tried."""
        near = [m.address for m in self.view.controllers if m.zone == self._zone]
        known = list(dict.fromkeys(near + [m.address for m in self.view.controllers] + self._seeds()))
        fresh = [host for host in known if host not in tried]
        if not fresh:
            last = tried[-1] if tried else ""
            tried.clear()
            fresh = [host for host in known if host != last] or known
        if near and fresh[0] in near:
            return fresh[0]
        return self._random.choice(fresh)

    async def _follow(self, host: str) -> bool:
        """Subscribe and follow until the controller is no good any more. Returns whether it ever was."""
        loop = asyncio.get_running_loop()
        client = self._client = EnvelopeClient(host, self._port, self._on_envelope)
        self._host = host
        view = self.view
        subscribe = Subscribe(
            presence=self._presence(),
            term=view.position[0],
            index=view.position[1],
            soft_version=view.soft_version,
            generation=view.generation,
        )
        began = self._updated_at = loop.time()
        self._stale = True
        self._stopping = False
        good = False
        client.send(Envelope(subscribe=subscribe))
        next_presence = began + self._presence_pause
        try:
            while True:
                self._wake.clear()
                try:
                    async with asyncio.timeout(0.1):
                        await self._wake.wait()
                except TimeoutError:
                    pass
                now = loop.time()
                good = good or not self._stale
                allowed = UPDATE_TIMEOUT_SECONDS if self._updated_at > began else FIRST_UPDATE_TIMEOUT_SECONDS
                if now - self._updated_at > allowed or not client.is_reachable(began, now):
                    return good
                if self._stopping or (self._stale and now - began > MIN_STAY_SECONDS):
                    return good
                if now >= next_presence:
                    next_presence = now + self._presence_pause
                    client.send(Envelope(presence=self._presence()))
        finally:
            client.close()

    def _on_envelope(self, envelope: Envelope) -> None:
        if envelope.HasField("update"):
            self._apply(envelope.update)

    def _apply(self, update: Update) -> None:
        loop = asyncio.get_running_loop()
        self._updated_at = now = loop.time()
        self._stale = update.staleness_ms > MAX_STALENESS_MS
        self._stopping = update.stopping
        view = self.view
        changed = False
        position = (update.term, update.index)
        if update.has_state and position > view.position:
            view.position = position
            view.placement = update.placement
            view.controllers = list(update.controllers)
            if update.generation > view.generation:
                view.generation = update.generation
                view.configuration = update.configuration
            changed = True
        if update.soft_version > view.soft_version and update.endpoint_list:
            view.soft_version = update.soft_version
            view.endpoint_list = update.endpoint_list
            changed = True
        if not self._stale:
            view.heard_at = now
            if not view.fresh:
                view.fresh = changed = True
                log_event("subscribed", controller=self._host, generation=view.generation)
        if self._stale or self._stopping:
            self._wake.set()
        if changed:
            self._changed()

    def announce_now(self) -> None:
        """Tell the controller at once how this process is."""
        if self._client is not None:
            self._client.send(Envelope(presence=self._presence()))

    def adopt_placement(self, placement: Placement) -> None:
        """A storage replica has shown a newer placement than the controller has told so far."""
        if placement.epoch > self.view.placement.epoch:
            self.view.placement = placement
