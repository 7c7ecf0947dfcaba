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
from wheatring.lab.study.runs import Build, RunResult, RunSpec
from wheatring.lab.study.settings import Pairs
from wheatring.lab.study.worker import Hello, framed

MAX_RUNS_PER_WORKER = 25  # after which a worker is replaced: what a run leaks must not add up
START_TIMEOUT_SECONDS = 60.0  # in which a worker must have started
END_TIMEOUT_SECONDS = 2.0  # in which it must have ended, before it is killed

# Each worker begins with its patches and keeps them: undone again, they would live on in what was imported.
WorkerKind = tuple[Build, Pairs]


class _WorkerDiedError(Exception):
    """The worker's process has ended."""


class _Worker:
    def __init__(self, kind: WorkerKind, process: asyncio.subprocess.Process, errors: IO[bytes]) -> None:
        self.kind = kind
        self.process = process
        self.errors = errors
        self.played = 0

    async def ask(self, message: object) -> bytes:
        """Send a message to the worker, and return its answer."""
        assert self.process.stdin is not None and self.process.stdout is not None
        try:
            self.process.stdin.write(framed(message))
            await self.process.stdin.drain()
            head = await self.process.stdout.readexactly(4)
            return await self.process.stdout.readexactly(int.from_bytes(head, "big"))
        except (OSError, asyncio.IncompleteReadError):
            raise _WorkerDiedError from None

    async def play(self, spec: RunSpec, limit: float) -> RunResult:
        """Play a run within a wall time."""
        self.played += 1
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + limit):
                return msgspec.msgpack.decode(await self.ask(spec), type=RunResult)
        except TimeoutError:
            return RunResult("hung", why=f"not over after {limit:g} s")
        except _WorkerDiedError:
            return RunResult("died", why=await self.end())

    async def end(self) -> str:
        """End the process, if it has not ended; returns how it did."""
        # A worker ends with its input. It is not killed outright: that would take the status of one that has
        # just died from whoever waits for it.
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + END_TIMEOUT_SECONDS):
                status = await self.process.wait()
        except TimeoutError:
            with suppress(ProcessLookupError):
                self.process.kill()
            status = await self.process.wait()
        if self.errors.closed:
            return ""
        self.errors.seek(0)
        lines = self.errors.read().decode("utf-8", "replace").strip().splitlines()
        self.errors.close()
        how = f"signal {-status}" if status < 0 else f"status {status}"
        return f"ended with {how}" + (f": {lines[-1]}" if lines else "")


async def _start_worker(kind: WorkerKind, run: str) -> _Worker:
    build, patches = kind
    # -P: else the folder that this was called in would come before the build's.
    paths = [build.folder, *(path for path in sys.path if path)]
    errors = tempfile.TemporaryFile()  # noqa: SIM115 - closed as the worker ends
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-P", "-m", "wheatring.lab.study.worker",
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=errors,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        process_group=0,  # Ctrl-C is for the pool alone, which ends its workers
    )  # fmt: skip
    worker = _Worker(kind, process, errors)
    try:
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + START_TIMEOUT_SECONDS):
            fault = msgspec.msgpack.decode(await worker.ask(Hello(run, patches)), type=str)
    except (_WorkerDiedError, TimeoutError):
        fault = f"{build.folder}: a worker does not begin, {await worker.end()}"
    except asyncio.CancelledError:
        await worker.end()
        raise
    if fault:
        await worker.end()
        raise StudyError(fault)
    return worker


async def _check_kinds(kinds: Iterable[WorkerKind], run: str) -> None:
    async def check(kind: WorkerKind) -> None:
        """Start a worker of this kind, and end it."""
        await (await _start_worker(kind, run)).end()

    for error in await asyncio.gather(*(check(kind) for kind in kinds), return_exceptions=True):
        if error is not None:
            raise error


class _StopPlayingError(Exception):
    """No more runs are wanted."""


class _Pool:
    def __init__(
        self, specs: Iterable[RunSpec], run: str, limit: float, ended: Callable[[RunSpec, RunResult], bool]
    ):
        self.waiting: dict[WorkerKind, deque[RunSpec]] = {}
        for spec in specs:
            self.waiting.setdefault((spec.build, spec.settings.patches), deque()).append(spec)
        self.run = run
        self.limit = limit
        self.ended = ended
        self.slots: dict[int, WorkerKind | None] = {}

    def next(self, slot: int) -> RunSpec | None:
        """Return a spec of the slot's own kind, else of the kind with most waiting for each slot on it."""
        kind = self.slots.get(slot)
        if kind is None or not self.waiting[kind]:
            playing = [other for place, other in self.slots.items() if place != slot]
            kind = max(
                self.waiting,
                key=lambda kind: len(self.waiting[kind]) / (1 + playing.count(kind)),
                default=None,
            )
        if kind is None or not self.waiting[kind]:
            return None
        self.slots[slot] = kind
        return self.waiting[kind].popleft()

    async def play(self, slot: int) -> None:
        """Play runs in one slot until none is left."""
        worker: _Worker | None = None
        try:
            while (spec := self.next(slot)) is not None:
                kind = (spec.build, spec.settings.patches)
                if worker is not None and (worker.kind != kind or worker.played >= MAX_RUNS_PER_WORKER):
                    await worker.end()
                    worker = None
                if worker is None:
                    worker = await _start_worker(kind, self.run)
                ended = await worker.play(spec, self.limit)
                if ended.state in ("died", "hung"):
                    await worker.end()
                    worker = None
                if self.ended(spec, ended):
                    raise _StopPlayingError
        finally:
            if worker is not None:
                await worker.end()

    async def all(self, workers: int) -> None:
        """Play all runs in so many slots."""
        slots = [asyncio.create_task(self.play(slot)) for slot in range(workers)]
        try:
            done, _ = await asyncio.wait(slots, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            for task in slots:
                task.cancel()
            await asyncio.gather(*slots, return_exceptions=True)
        for task in done:
            error = task.exception()
            if error is not None and not isinstance(error, _StopPlayingError):
                raise error


def play(
    specs: list[RunSpec], run: str, workers: int, limit: float, ended: Callable[[RunSpec, RunResult], bool]
) -> None:
    """Play all, reporting each to `ended` as it ends; where that returns True, end at once.

    Parameters
    ----------
    specs
        What to play.
    run
        The run, as module:function.
    workers
        Processes at most.
    limit
        Seconds of wall time for one run.
    ended
        What it raises ends the pool, as KeyboardInterrupt does.

    Raises
    ------
    StudyError
        A worker can't start: a patch that names nothing, a broken build.
    """
    if not specs:
        return
    kinds = dict.fromkeys((spec.build, spec.settings.patches) for spec in specs)
    if len(kinds) > 1:  # so that a bad patch is told before anything has been played
        asyncio.run(_check_kinds(kinds, run))
    asyncio.run(_Pool(specs, run, limit, ended).all(min(workers, len(specs))))
