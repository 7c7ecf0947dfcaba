"""Group commit of records to a file, for use in an event loop.

While one batch is being written, newly submitted records are collected for the next one, so the rate of syncs
is determined by the speed of the disk and not by the load. Disk operations run on a separate thread, so that
a slow sync does not block the event loop and delay its heartbeats to other processes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from wheatring.tier.durable.exceptions import DiskError
from wheatring.tier.durable.record_file import RecordFile


class PendingWrite(NamedTuple):
    """Records that wait for the next batch, and the future returned to their submitter."""

    records: list[bytes]
    committed: asyncio.Future[None]


class Committer:
    """Writes batches to one record file, and compacts the file when it has grown too large."""

    def __init__(
        self, file: RecordFile, live_records: Callable[[], list[bytes]], compaction_threshold_bytes: int
    ) -> None:
        """Take over an open file.

        Parameters
        ----------
        file
            The file; nothing else may write to it.
        live_records
            Returns the contents of a compacted file.
        compaction_threshold_bytes
            The file is compacted once it is larger than this and has doubled since the last compaction.
        """
        self._file = file
        self._live_records = live_records
        self._threshold_bytes = compaction_threshold_bytes
        self._compact_above_bytes = max(compaction_threshold_bytes, 2 * file.size_bytes)
        self._pending: list[PendingWrite] = []
        self._thread = ThreadPoolExecutor(1, "disk")
        self._writer: asyncio.Task[None] | None = None

    def append(self, records: list[bytes]) -> asyncio.Future[None]:
        """Submit records for writing; return a future that is done once they are synced.

        The future of an empty list is done once everything submitted before it is synced. A future fails with
        DiskError.
        """
        loop = asyncio.get_running_loop()
        committed: asyncio.Future[None] = loop.create_future()
        self._pending.append(PendingWrite(records, committed))
        if self._writer is None:
            self._writer = loop.create_task(self._write_batches())
        return committed

    async def _write_batches(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self._pending:
                batch, self._pending = self._pending, []
                payloads = [record for write in batch for record in write.records]
                try:
                    await loop.run_in_executor(self._thread, self._file.append, payloads)
                except DiskError as error:
                    self._resolve(batch, error)
                    # On a full disk, dropping expired records may free enough space.
                    if self._file.size_bytes > self._threshold_bytes:
                        await self._compact()
                    continue
                self._resolve(batch, None)
                if self._file.size_bytes > self._compact_above_bytes:
                    await self._compact()
        finally:
            self._writer = None

    @staticmethod
    def _resolve(batch: Sequence[PendingWrite], error: DiskError | None) -> None:
        for write in batch:
            if write.committed.done():
                continue
            if error is None:
                write.committed.set_result(None)
            else:
                write.committed.set_exception(error)
                write.committed.exception()  # marks it as retrieved, in case the caller was cancelled

    async def _compact(self) -> None:
        """Replace the file by its live records.

        All appended records have already been applied in memory, so the live records include them.
        """
        records = self._live_records()
        try:
            await asyncio.get_running_loop().run_in_executor(self._thread, self._file.rewrite, records)
        except DiskError:
            self._compact_above_bytes = 2 * self._file.size_bytes  # retry only after further growth
            return
        self._compact_above_bytes = max(self._threshold_bytes, 2 * self._file.size_bytes)
