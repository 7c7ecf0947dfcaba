"""Copies the records that a replica has to hold under the next placement from the current members.

Nearly every record is held by several sources, and a turn is much larger than its id. Sources therefore list
the ids of their turns, and each missing turn is fetched from only one source, the first that lists it. The
retention of a turn that this replica already holds starts again, because the replica may have missed an
extension.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence

from wheatring.tier.durable.exceptions import DiskError
from wheatring.tier.event_log import log_event
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
FETCH_TIMEOUT_SECONDS = 0.5  # first attempt only; shorter, because other sources wait for the same turns
CONCURRENT_FETCH_POLL_SECONDS = 0.005  # interval of checks for turns in flight from another source


class Copier:
    """Copies records to one replica under one placement, from all sources concurrently."""

    def __init__(self, replica: Replica, clients: ClientTable, placement: Placement) -> None:
        self._replica = replica
        self._clients = clients
        self._placement = placement
        self._turn_ids_in_flight: set[str] = set()  # requested from any source
        self._renewed_turn_ids: set[str] = set()  # held before the copy, retention renewed

    async def run(self, sources: Sequence[StorageMember], required: int) -> None:
        """Copy from all sources until `required` of them have been copied completely."""
        tasks = [asyncio.create_task(self._copy_from(source)) for source in sources]
        try:
            await _wait_for_completed(tasks, required)
        finally:
            for task in tasks:
                task.cancel()

    async def _copy_from(self, source: StorageMember) -> None:
        """Copy one source page by page, and retry a page that fails.

        A source that has restarted numbers its changes anew, so its copy begins anew too. A source of an
        earlier version does not name its numbering, and may have restarted whenever a page fails.
        """
        position, numbering, is_last = 0, 0, False
        listed_count = absent_count = 0
        while not is_last:
            request = ScanRequest(after=position, limit_bytes=PAGE_BYTES, list_turns=True)
            reply = await self._scan(source, request, PAGE_TIMEOUT_SECONDS)
            if reply is None:
                if not numbering:
                    position = 0
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            if position and reply.numbering != numbering:
                log_event("source-restarted", source=source.node, epoch=self._placement.epoch, after=position)
                position, numbering = 0, reply.numbering
                continue
            numbering = reply.numbering
            listed_count += len(reply.turn_ids)
            absent_count += await self._fetch(source, self._missing_turn_ids(reply.turn_ids))
            position, is_last = reply.next, reply.done
        log_event(
            "source-copied",
            source=source.node,
            epoch=self._placement.epoch,
            listed=listed_count,
            absent=absent_count,
        )

    def _missing_turn_ids(self, turn_ids: Iterable[str]) -> set[str]:
        """Return the turns that the replica lacks; renew the retention of the others once per copy."""
        missing_ids = set()
        for turn_id in turn_ids:
            if turn_id in self._renewed_turn_ids:
                continue
            if self._replica.renew_turn(turn_id):
                self._renewed_turn_ids.add(turn_id)
            else:
                missing_ids.add(turn_id)
        return missing_ids

    async def _fetch(self, source: StorageMember, missing_ids: set[str]) -> int:
        """Wait until the replica holds all of these turns, and fetch those not in flight from another source.

        Returns the number of turns that the source has listed but no longer holds, because they have expired.
        After a failed fetch, its turns are free for the other sources until the retry delay has passed.
        """
        table = self._replica.table
        absent_count = 0
        timeout_seconds = FETCH_TIMEOUT_SECONDS
        while missing_ids:
            requested_ids = missing_ids - self._turn_ids_in_flight
            delay_seconds = CONCURRENT_FETCH_POLL_SECONDS
            if requested_ids:
                self._turn_ids_in_flight |= requested_ids
                try:
                    reply = await self._scan(
                        source, ScanRequest(turn_ids=sorted(requested_ids)), timeout_seconds
                    )
                finally:
                    self._turn_ids_in_flight -= requested_ids
                if reply is not None:
                    absent_count += len(requested_ids) - len(reply.records)
                    missing_ids -= requested_ids
                    continue
                timeout_seconds, delay_seconds = PAGE_TIMEOUT_SECONDS, RETRY_DELAY_SECONDS
            await asyncio.sleep(delay_seconds)
            missing_ids = {turn_id for turn_id in missing_ids if not table.has_turn(turn_id)}
        return absent_count

    async def _scan(
        self, source: StorageMember, request: ScanRequest, timeout_seconds: float
    ) -> ScanReply | None:
        """Return a source's reply after storing its records; None if the call or the write failed."""
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
    """Wait until `required` tasks, or all of them, have returned.

    Raises the exception of a task that has failed if too few of the others have returned.
    """
    running = set(tasks)
    returned_count = 0
    while running and returned_count < required:
        ended, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        returned_count += sum(task.exception() is None for task in ended)
    if returned_count < required:
        for task in tasks:
            task.result()
