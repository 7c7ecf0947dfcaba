"""Worker processes: each run in one, so that a run that dies or hangs costs nothing but itself."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import IO

import msgspec

from wheatring.lab.study import StudyError
from wheatring.lab.study.jobs import Build, Ended, Job
from wheatring.lab.study.settings import Pairs
from wheatring.lab.study.worker import Hello, framed

RECYCLE = 25  # runs after which a worker is replaced: what a run leaks must not add up
BEGIN = 60.0  # seconds in which a worker must have begun
END = 2.0  # and ended, before it is killed

# Each worker begins with its patches and keeps them: undone again, they would live on in what was imported.
Sort = tuple[Build, Pairs]


class _Dead(Exception):
    """The worker's process has ended."""


class _Worker:
    def __init__(self, sort: Sort, process: asyncio.subprocess.Process, errors: IO[bytes]) -> None:
        self.sort = sort
        self.process = process
        self.errors = errors
        self.played = 0

    async def ask(self, message: object) -> bytes:
        assert self.process.stdin is not None and self.process.stdout is not None
        try:
            self.process.stdin.write(framed(message))
            await self.process.stdin.drain()
            head = await self.process.stdout.readexactly(4)
            return await self.process.stdout.readexactly(int.from_bytes(head, "big"))
        except (OSError, asyncio.IncompleteReadError):
            raise _Dead from None

    async def play(self, job: Job, limit: float) -> Ended:
        self.played += 1
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + limit):
                return msgspec.msgpack.decode(await self.ask(job), type=Ended)
        except TimeoutError:
            return Ended("hung", why=f"not over after {limit:g} s")
        except _Dead:
            return Ended("died", why=await self.end())

    async def end(self) -> str:
        """End the process, if it has not ended; returns how it did."""
        # A worker ends with its input. It is not killed outright: that would take the status of one that has
        # just died from whoever waits for it.
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + END):
                status = await self.process.wait()
        except TimeoutError:
            with suppress(ProcessLookupError):
                self.process.kill()
            status = await self.process.wait()
        if self.errors.closed:
            return ""
        self.errors.seek(0)
        said = self.errors.read().decode("utf-8", "replace").strip().splitlines()
        self.errors.close()
        how = f"signal {-status}" if status < 0 else f"status {status}"
        return f"ended with {how}" + (f": {said[-1]}" if said else "")


async def _begin(sort: Sort, run: str) -> _Worker:
    build, patches = sort
    # -P: else the folder that this was called in would come before the build's.
    paths = [build.folder, *(path for path in sys.path if path)]
    errors = tempfile.TemporaryFile()  # noqa: SIM115 - closed as the worker ends
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-P", "-m", "wheatring.lab.study.worker",
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=errors,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        process_group=0,  # Ctrl-C is for the pool alone, which ends its workers
    )  # fmt: skip
    worker = _Worker(sort, process, errors)
    try:
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + BEGIN):
            bad = msgspec.msgpack.decode(await worker.ask(Hello(run, patches)), type=str)
    except (_Dead, TimeoutError):
        bad = f"{build.folder}: a worker does not begin, {await worker.end()}"
    except asyncio.CancelledError:
        await worker.end()
        raise
    if bad:
        await worker.end()
        raise StudyError(bad)
    return worker


async def _try(sorts: Iterable[Sort], run: str) -> None:
    async def one(sort: Sort) -> None:
        await (await _begin(sort, run)).end()

    for bad in await asyncio.gather(*(one(sort) for sort in sorts), return_exceptions=True):
        if bad is not None:
            raise bad


class _Enough(Exception):
    """No more runs are wanted."""


class _Pool:
    def __init__(self, jobs: Iterable[Job], run: str, limit: float, ended: Callable[[Job, Ended], bool]):
        self.waiting: dict[Sort, deque[Job]] = {}
        for job in jobs:
            self.waiting.setdefault((job.build, job.settings.patches), deque()).append(job)
        self.run = run
        self.limit = limit
        self.ended = ended
        self.slots: dict[int, Sort | None] = {}

    def next(self, slot: int) -> Job | None:
        """A job of the slot's own sort, else of the sort with most waiting for each slot on it."""
        sort = self.slots.get(slot)
        if sort is None or not self.waiting[sort]:
            playing = [other for place, other in self.slots.items() if place != slot]
            sort = max(
                self.waiting,
                key=lambda sort: len(self.waiting[sort]) / (1 + playing.count(sort)),
                default=None,
            )
        if sort is None or not self.waiting[sort]:
            return None
        self.slots[slot] = sort
        return self.waiting[sort].popleft()

    async def play(self, slot: int) -> None:
        worker: _Worker | None = None
        try:
            while (job := self.next(slot)) is not None:
                sort = (job.build, job.settings.patches)
                if worker is not None and (worker.sort != sort or worker.played >= RECYCLE):
                    await worker.end()
                    worker = None
                if worker is None:
                    worker = await _begin(sort, self.run)
                ended = await worker.play(job, self.limit)
                if ended.state in ("died", "hung"):
                    await worker.end()
                    worker = None
                if self.ended(job, ended):
                    raise _Enough
        finally:
            if worker is not None:
                await worker.end()

    async def all(self, workers: int) -> None:
        slots = [asyncio.create_task(self.play(slot)) for slot in range(workers)]
        try:
            done, _ = await asyncio.wait(slots, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            for task in slots:
                task.cancel()
            await asyncio.gather(*slots, return_exceptions=True)
        for task in done:
            bad = task.exception()
            if bad is not None and not isinstance(bad, _Enough):
                raise bad


def play(jobs: list[Job], run: str, workers: int, limit: float, ended: Callable[[Job, Ended], bool]) -> None:
    """Play all, telling `ended` of each as it ends; where that says True, end at once.

    `run` is module:function, `limit` seconds of wall time for one run. KeyboardInterrupt and what `ended`
    raises end it too. StudyError where a worker can't begin: a patch that names nothing, a broken build.
    """
    if not jobs:
        return
    sorts = dict.fromkeys((job.build, job.settings.patches) for job in jobs)
    if len(sorts) > 1:  # so that a bad patch is told before anything has been played
        asyncio.run(_try(sorts, run))
    asyncio.run(_Pool(jobs, run, limit, ended).all(min(workers, len(jobs))))
