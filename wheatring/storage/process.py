"""The process of one storage replica."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

from wheatring.boot_settings.settings import Settings
from wheatring.boot_settings.watch import SettingsWatch
from wheatring.event_log import log_event
from wheatring.storage.repair import Repair
from wheatring.storage.replica import Replica
from wheatring.subscription.client import Subscription
from wheatring.transport.client import ClientTable
from wheatring.transport.connection import EnvelopeConnection
from wheatring.transport.messages_pb2 import ROLE_STORAGE, Envelope, Presence
from wheatring.transport.server import EnvelopeServer

PRESENCE_INTERVAL_SECONDS = 0.4
EXPIRY_INTERVAL_SECONDS = 5.0
STOP_MARGIN_SECONDS = 1.5  # seconds before SIGKILL at which a replica ends in any case
STOP_POLL_SECONDS = 0.05
TAKEOVER_TIMEOUT_SECONDS = 0.5  # after which nobody is going to take over


class StorageProcess:
    """Serves one replica and keeps it in step with the placement."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings = settings
        losses = settings.tolerance.losses
        loop = asyncio.get_running_loop()
        self.replica = Replica(Path(settings.data_folder or "."), losses, loop.time)
        self._watch = SettingsWatch(settings)
        self._peers = ClientTable(settings.storage_port)
        self.repair = Repair(self.replica, self._peers, losses)
        self.server = EnvelopeServer(self._on_envelope, lambda connection: None)
        self.subscription = Subscription(
            seeds=lambda: [seed.host for seed in self._watch.settings.seeds],
            port=settings.controller_port,
            zone=settings.zone,
            presence=self._presence,
            presence_interval_seconds=PRESENCE_INTERVAL_SECONDS,
            on_change=self._changed,
            random=random,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._told_epoch = 0
        self._leaving = False

    async def start(self) -> None:
        """Read the file, listen, and join. Raises OSError or DiskError."""
        self.replica.open()
        await self.server.listen(self.settings.ip, self.settings.storage_port)
        log_event("storage-started", replica=self.replica.identity, records=len(self.replica.table))
        for job in (
            self.subscription.run(),
            self._watch.run(),
            self.replica.run_expirer(EXPIRY_INTERVAL_SECONDS),
            self._tell(),
        ):
            self._keep(asyncio.create_task(job))

    async def stop(self) -> None:
        """Have others take over what this replica holds, where there are enough of them, and end."""
        loop = asyncio.get_running_loop()
        self._leaving = True
        began = loop.time()
        self.subscription.announce_now()
        while loop.time() - began < self.settings.grace_seconds - STOP_MARGIN_SECONDS:
            await asyncio.sleep(STOP_POLL_SECONDS)
            if not self._is_handed_over(loop.time() - began):
                continue
            break
        self.server.close()

    def _is_handed_over(self, waited: float) -> bool:
        """Whether nobody needs this replica any more, or nobody is going to take over."""
        placement = self.subscription.view.placement
        identity = self.replica.identity
        in_current = any(member.replica_id == identity for member in placement.current)
        in_next = any(member.replica_id == identity for member in placement.next)
        if not in_current and not in_next:
            return True
        under_way = bool(placement.next) and not in_next
        return not under_way and waited > TAKEOVER_TIMEOUT_SECONDS

    def reload(self) -> None:
        """The settings file may have changed."""
        self._watch.reload()

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _presence(self) -> Presence:
        settings = self.settings
        return Presence(
            role=ROLE_STORAGE,
            replica_id=self.replica.identity,
            node=settings.node,
            address=settings.ip,
            zone=settings.zone,
            complete_epoch=self.repair.complete_epoch,
            leaving=self._leaving,
        )

    def _changed(self) -> None:
        self.repair.on_placement(self.subscription.view.placement)

    async def _tell(self) -> None:
        """Have the controllers know at once when a copy is complete."""
        while True:
            await asyncio.sleep(0.05)
            if self.repair.complete_epoch != self._told_epoch:
                self._told_epoch = self.repair.complete_epoch
                self.subscription.announce_now()

    def _on_envelope(self, connection: EnvelopeConnection, envelope: Envelope) -> None:
        kind = envelope.WhichOneof("body")
        if kind == "storage_request":
            self._keep(asyncio.create_task(self._answer(connection, envelope)))
        elif kind == "scan_request":
            self._keep(asyncio.create_task(self._answer_scan(connection, envelope)))

    async def _answer(self, connection: EnvelopeConnection, envelope: Envelope) -> None:
        reply = await self.replica.handle_request(envelope.storage_request)
        if envelope.call:
            connection.send(Envelope(call=envelope.call, reply=True, storage_reply=reply))

    async def _answer_scan(self, connection: EnvelopeConnection, envelope: Envelope) -> None:
        reply = await self.replica.handle_scan(envelope.scan_request)
        connection.send(Envelope(call=envelope.call, reply=True, scan_reply=reply))
