"""The process of one storage replica."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

from wheatring.tier.boot_settings.settings import Settings
from wheatring.tier.event_log import log_event
from wheatring.tier.role_process import RoleProcess
from wheatring.tier.storage.expirer import Expirer
from wheatring.tier.storage.repair import Repair
from wheatring.tier.storage.replica import Replica
from wheatring.tier.subscription.client import Subscription
from wheatring.tier.transport.client import ClientTable
from wheatring.tier.transport.connection import EnvelopeConnection
from wheatring.tier.transport.messages_pb2 import ROLE_STORAGE, Envelope, Presence
from wheatring.tier.transport.server import EnvelopeServer

PRESENCE_INTERVAL_SECONDS = 0.4
COMPLETION_POLL_SECONDS = 0.05
STOP_MARGIN_SECONDS = 1.5  # part of the grace period that is reserved for closing before SIGKILL
STOP_POLL_SECONDS = 0.05
TAKEOVER_TIMEOUT_SECONDS = 0.5  # wait for a takeover to start; after that none is expected


class StorageProcess(RoleProcess):
    """Serves one replica and repairs it on each change of the placement."""

    def __init__(self, settings: Settings, random: Random) -> None:
        """Build the replica; `start` opens its file."""
        super().__init__(settings)
        losses = settings.tolerance.losses
        loop = asyncio.get_running_loop()
        self.replica = Replica(Path(settings.data_folder or "."), losses, loop.time)
        self._peers = ClientTable(settings.storage_port)
        self.repair = Repair(self.replica, self._peers, losses)
        self._expirer = Expirer(self.replica, self._peers, losses, loop.time)
        self.server = EnvelopeServer(self._on_envelope)
        self.subscription = Subscription.for_role(
            self, self._presence, PRESENCE_INTERVAL_SECONDS, self._on_view_change, random
        )
        self._announced_epoch = 0
        self._is_stopping = False

    async def start(self) -> None:
        """Read the record file, listen, and subscribe to the controllers. Raises OSError or DiskError."""
        self.replica.open()
        await self.server.listen(self.settings.ip, self.settings.storage_port)
        log_event("storage-started", replica=self.replica.identity, records=len(self.replica.table))
        for coroutine in (
            self.subscription.run(),
            self._watch.run(),
            self._expirer.run(),
            self._announce_completed_copies(),
        ):
            self._start_task(coroutine)

    async def stop(self) -> None:
        """Announce the shutdown, wait for other replicas to take over if there are enough, and close."""
        loop = asyncio.get_running_loop()
        self._is_stopping = True
        stop_started_at = loop.time()
        self.subscription.send_presence()
        while loop.time() - stop_started_at < self.settings.grace_seconds - STOP_MARGIN_SECONDS:
            await asyncio.sleep(STOP_POLL_SECONDS)
            if self._can_exit(loop.time() - stop_started_at):
                break
        self.server.close()

    def _can_exit(self, waited_seconds: float) -> bool:
        """Whether this replica is no longer a member, or no takeover is running or expected."""
        placement = self.subscription.view.placement
        identity = self.replica.identity
        is_current = any(member.replica_id == identity for member in placement.current)
        is_next = any(member.replica_id == identity for member in placement.next)
        if not is_current and not is_next:
            return True
        is_takeover_running = bool(placement.next) and not is_next
        return not is_takeover_running and waited_seconds > TAKEOVER_TIMEOUT_SECONDS

    def _presence(self) -> Presence:
        settings = self.settings
        return Presence(
            role=ROLE_STORAGE,
            replica_id=self.replica.identity,
            node=settings.node,
            address=settings.ip,
            zone=settings.zone,
            complete_epoch=self.repair.complete_epoch,
            leaving=self._is_stopping,
        )

    def _on_view_change(self) -> None:
        self.repair.on_placement(self.subscription.view.placement)

    async def _announce_completed_copies(self) -> None:
        """Announce each completed copy immediately, because the placement change waits for it."""
        while True:
            await asyncio.sleep(COMPLETION_POLL_SECONDS)
            if self.repair.complete_epoch != self._announced_epoch:
                self._announced_epoch = self.repair.complete_epoch
                self.subscription.send_presence()

    def _on_envelope(self, connection: EnvelopeConnection, envelope: Envelope) -> None:
        kind = envelope.WhichOneof("body")
        if kind == "storage_request":
            self._start_task(self._answer_request(connection, envelope))
        elif kind == "scan_request":
            self._start_task(self._answer_scan(connection, envelope))

    async def _answer_request(self, connection: EnvelopeConnection, envelope: Envelope) -> None:
        reply = await self.replica.handle_request(envelope.storage_request)
        if envelope.call:
            connection.send(Envelope(call=envelope.call, reply=True, storage_reply=reply))

    async def _answer_scan(self, connection: EnvelopeConnection, envelope: Envelope) -> None:
        reply = await self.replica.handle_scan(envelope.scan_request)
        connection.send(Envelope(call=envelope.call, reply=True, scan_reply=reply))
