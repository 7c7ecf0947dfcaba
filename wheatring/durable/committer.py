"""The one owner of a record file inside an event loop: a queue of batches, written by a thread of its own.

While one batch is on its way to the disk, all that is asked for meanwhile gathers into the next one, so the
number of syncs follows the disk and not the load.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from wheatring.durable.record_file import DiskError, RecordFile

Waiter = asyncio.Future[None]


class Committer:
    """Group commit over one record file."""

    def __init__(
        self, file: RecordFile, live_records: Callable[[], list[bytes]], compaction_threshold_bytes: int
    ) -> None:
        """`live_records` gives what a rewritten file holds; a file is rewritten once it is longer than
        `compaction_threshold_bytes` and twice as long as after the last time.
        """
        self._file = file
        self._live_records = live_records
        self._rewrite_above = compaction_threshold_bytes
        self._rewrite_at = max(compaction_threshold_bytes, 2 * file.size_bytes)
        self._pending: list[tuple[list[bytes], Waiter]] = []
        self._thread = ThreadPoolExecutor(1, "disk")
        self._running: asyncio.Task[None] | None = None

    def append(self, records: list[bytes]) -> Waiter:
        """Have records written; the future is done once they are synced, or fails with DiskError."""
        waiter: Waiter = asyncio.get_running_loop().create_future()
        self._pending.append((records, waiter))
        if self._running is None:
            self._running = asyncio.get_running_loop().create_task(self._work())
        return waiter

    async def _work(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self._pending:
                batch, self._pending = self._pending, []
                payloads = [record for records, _ in batch for record in records]
                try:
                    await loop.run_in_executor(self._thread, self._file.append, payloads)
                except DiskError as error:
                    self._finish(batch, error)
                    await self._rewrite_if_full()
                    continue
                self._finish(batch, None)
                if self._file.size_bytes > self._rewrite_at:
                    await self._rewrite()
        finally:
            self._running = None

    @staticmethod
    def _finish(batch: list[tuple[list[bytes], Waiter]], error: DiskError | None) -> None:
        for _, waiter in batch:
            if waiter.done():
                continue
            if error is None:
                waiter.set_result(None)
            else:
                waiter.set_exception(error)
                waiter.exception()  # seen, also where nobody waits any more

    async def _rewrite(self) -> None:
        """All appended records are in memory by now, so what is live includes them."""
        records = self._live_records()
        try:
            await asyncio.get_running_loop().run_in_executor(self._thread, self._file.rewrite, records)
        except DiskError:
            self._rewrite_at = 2 * self._file.size_bytes  # tried again once it has grown further
            return
        self._rewrite_at = max(self._rewrite_above, 2 * self._file.size_bytes)

    async def _rewrite_if_full(self) -> None:
        """A file that cannot grow may still hold records that are no longer needed."""
        if self._file.size_bytes > self._rewrite_above:
            await self._rewrite()
