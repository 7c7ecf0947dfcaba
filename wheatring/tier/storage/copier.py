"""Copies what a replica is to hold under the next placement from those that hold it under the current one.

Nearly every record is held by several sources, and a turn is large beside its id. So sources list the turns
that they hold, and each turn that is missing is fetched from one of them, from the first to name it. One that
is here already is kept for its full time again, since this replica may have missed that it was extended.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence

from wheatring.tier.durable.exceptions import DiskError
from wheatring.tier.storage.replica import Replica
from wheatring.tier.transport.client import ClientTable
from wheatring.tier.transport.exceptions import PeerUnreachableError
from wheatring.tier.transport.messages_pb2 import (
    STORAGE_STATUS_DONE,
    Envelope,
    Placement,
    ScanReply,
    ScanRequest,
    StorageMember,
)

PAGE_BYTES = 512 * 1024
PAGE_TIMEOUT_SECONDS = 1.5
RETRY_DELAY_SECONDS = 0.2
FETCH_TIMEOUT_SECONDS = 0.5  # for the first attempt, while other sources wait to be asked
CONCURRENT_FETCH_POLL_SECONDS = 0.005  # between checks for turns that another source is sending


class Copier:
    """One copy to one replica under one placement, from all sources at the same time."""

    def __init__(self, replica: Replica, clients: ClientTable, placement: Placement) -> None:
        self._replica = replica
        self._clients = clients
        self._placement = placement
        self._fetching: set[str] = set()  # turns on their way here, from any source
        self._renewed: set[str] = set()  # turns that were here already

    async def run(self, sources: Sequence[StorageMember], required: int) -> None:
        """Copy from all sources until so many of them are complete."""
        tasks = [asyncio.create_task(self._copy_from(source)) for source in sources]
        try:
            await _wait_for_completed(tasks, required)
        finally:
            for task in tasks:
                task.cancel()

    async def _copy_from(self, source: StorageMember) -> None:
        """Copy page by page; a source that does not answer is asked again."""
        position, is_last = 0, False
        while not is_last:
            request = ScanRequest(after=position, limit_bytes=PAGE_BYTES, list_turns=True)
            reply = await self._scan(source, request, PAGE_TIMEOUT_SECONDS)
            if reply is None:
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            await self._fetch(source, self._missing(reply.turn_ids))
            position, is_last = reply.next, reply.done

    def _missing(self, turn_ids: Iterable[str]) -> set[str]:
        """Return those of these turns that are not here; renew the others, once in a copy."""
        missing = set()
        for turn_id in turn_ids:
            if turn_id in self._renewed:
                continue
            if self._replica.renew_turn(turn_id):
                self._renewed.add(turn_id)
            else:
                missing.add(turn_id)
        return missing

    async def _fetch(self, source: StorageMember, missing: set[str]) -> None:
        """Return once all of these turns are here; fetch those that no other source is sending.

        A source that fails leaves its turns to the others for a while.
        """
        table = self._replica.table
        timeout_seconds = FETCH_TIMEOUT_SECONDS
        while missing:
            requested = missing - self._fetching
            delay_seconds = CONCURRENT_FETCH_POLL_SECONDS
            if requested:
                self._fetching |= requested
                try:
                    reply = await self._scan(source, ScanRequest(turn_ids=sorted(requested)), timeout_seconds)
                finally:
                    self._fetching -= requested
                if reply is not None:
                    missing -= requested  # what the source has dropped since it listed it has expired
                    continue
                timeout_seconds, delay_seconds = PAGE_TIMEOUT_SECONDS, RETRY_DELAY_SECONDS
            await asyncio.sleep(delay_seconds)
            missing = {turn_id for turn_id in missing if not table.has_turn(turn_id)}

    async def _scan(
        self, source: StorageMember, request: ScanRequest, timeout_seconds: float
    ) -> ScanReply | None:
        """Return a source's reply, whose records are stored by then; None where there is none."""
        request.replica_id = source.replica_id
        request.placement.CopyFrom(self._placement)
        request.requester = self._replica.identity
        client = self._clients.client_for(source.address)
        try:
            envelope = await client.call(Envelope(scan_request=request), timeout_seconds)
            if envelope.scan_reply.status != STORAGE_STATUS_DONE:
                return None
            await self._replica.store(list(envelope.scan_reply.records))
        except (PeerUnreachableError, DiskError):
            return None
        return envelope.scan_reply


async def _wait_for_completed(tasks: Sequence[asyncio.Task[None]], required: int) -> None:
    """Wait until so many of the tasks have ended."""
    running = set(tasks)
    while running and len(tasks) - len(running) < required:
        _, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
