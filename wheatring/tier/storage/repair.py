"""Repairs a replica for each placement that makes it a next member: fence, copy, record the completion."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from wheatring.tier.durable.exceptions import DiskError
from wheatring.tier.event_log import log_event
from wheatring.tier.storage.copier import Copier
from wheatring.tier.storage.copy_rules import can_skip_copy, copy_sources_required
from wheatring.tier.storage.replica import Replica
from wheatring.tier.transport.client import ClientTable
from wheatring.tier.transport.messages_pb2 import Placement

RETRY_DELAY_SECONDS = 0.2  # after a failed write


class Repair:
    """Runs the repairs of one replica, at most one at a time and always for the newest placement."""

    def __init__(self, replica: Replica, clients: ClientTable, losses: int) -> None:
        self._replica = replica
        self._clients = clients
        self._losses = losses
        self._task: asyncio.Task[None] | None = None
        self._epoch = 0

    @property
    def complete_epoch(self) -> int:
        """The newest epoch for which the replica holds all records placed on it."""
        return self._replica.complete_epoch

    def on_placement(self, placement: Placement) -> None:
        """Adopt a newer placement: cancel the running repair, and start another one if it is needed."""
        self._replica.adopt_placement(placement)
        if placement.epoch <= self._epoch:
            return
        self._epoch = placement.epoch
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if all(member.replica_id != self._replica.identity for member in placement.next):
            return
        if self.complete_epoch >= placement.epoch:
            return  # the copy was completed before this process started
        self._task = asyncio.get_running_loop().create_task(self._run_repair(placement))

    async def _run_repair(self, placement: Placement) -> None:
        """Fence older epochs, copy missing records, and record that this replica is complete.

        Every next member raises its fence, even one that has nothing to copy. Once the next set has become
        the current one, its members therefore reject reads and writes under the epoch before the change.
        """
        epoch = placement.epoch
        await self._retry_until_synced(lambda: self._replica.raise_fence(epoch))
        if not can_skip_copy(self._replica.identity, placement, self._losses):
            await self._copy(placement)
            log_event("repair-complete", epoch=epoch, records=len(self._replica.table))
        await self._retry_until_synced(lambda: self._replica.record_complete_epoch(epoch))

    async def _copy(self, placement: Placement) -> None:
        available = [member for member in placement.current if not member.lost]
        sources = [member for member in available if member.replica_id != self._replica.identity]
        # A replica that is a current member counts as one of its own sources.
        required = copy_sources_required(placement, self._losses) - (len(available) - len(sources))
        await Copier(self._replica, self._clients, placement).run(sources, required)

    @staticmethod
    async def _retry_until_synced(write: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await write()
                return
            except DiskError:
                await asyncio.sleep(RETRY_DELAY_SECONDS)
