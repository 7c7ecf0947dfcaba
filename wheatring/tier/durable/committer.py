"""Group commit: the one owner of a record file inside an event loop.

While one batch is on its way to the disk, all that is submitted meanwhile gathers into the next one, so the
number of syncs follows the disk and not the load. Disk work runs on a thread of its own: a slow sync must not
stop the event loop, whose heartbeats other processes watch.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from wheatring.tier.durable.exceptions import DiskError
from wheatring.tier.durable.record_file import RecordFile


class PendingWrite(NamedTuple):
    """Records that wait for the next batch, and the future of whoever submitted them."""

    records: list[bytes]
    committed: asyncio.Future[None]


class Committer:
    """Writes batches to one record file, and compacts the file when it has grown."""

    def __init__(
        self, file: RecordFile, live_records: Callable[[], list[bytes]], compaction_threshold_bytes: int
    ) -> None:
        """Own an open file.

        Parameters
        ----------
        file
            The file, which nobody else may write from now on.
        live_records
            Returns what a compacted file holds.
        compaction_threshold_bytes
            The file is compacted once it is longer than this and twice as long as after the last time.
        """
        self._file = file
        self._live_records = live_records
        self._threshold_bytes = compaction_threshold_bytes
        self._compact_above_bytes = max(compaction_threshold_bytes, 2 * file.size_bytes)
        self._pending: list[PendingWrite] = []
        self._thread = ThreadPoolExecutor(1, "disk")
        self._writer: asyncio.Task[None] | None = None

    def append(self, records: list[bytes]) -> asyncio.Future[None]:
        """Have records written; return a future that is done once they are synced.

        An empty batch is done once all that was submitted before it is. The future fails with DiskError.
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
                    # A disk that is full may have room again once expired records are dropped.
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
                write.committed.exception()  # retrieved: a caller that was cancelled never does it

    async def _compact(self) -> None:
        """Replace the file by its live records.

        All appended records have been applied in memory by now, so the live records include them.
        """
        records = self._live_records()
        try:
            await asyncio.get_running_loop().run_in_executor(self._thread, self._file.rewrite, records)
        except DiskError:
            self._compact_above_bytes = 2 * self._file.size_bytes  # not before it has grown further
            return
        self._compact_above_bytes = max(self._threshold_bytes, 2 * self._file.size_bytes)
