"""Plays runs in worker processes, so that a run that crashes or hangs does not affect the others."""

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
from wheatring.lab.study.worker import Hello, encode_message

MAX_RUNS_PER_WORKER = 25  # a worker is then replaced, so that leaks of runs don't accumulate
START_TIMEOUT_SECONDS = 60.0
END_TIMEOUT_SECONDS = 2.0  # a worker that has not ended by then is killed

# A worker keeps its patches until it ends: modules that imported patched values would retain them after a
# revert.
WorkerKind = tuple[Build, Pairs]


class _WorkerDiedError(Exception):
    """The worker's process has ended."""


class _Worker:
    def __init__(self, kind: WorkerKind, process: asyncio.subprocess.Process, errors: IO[bytes]) -> None:
        self.kind = kind
        self.process = process
        self.errors = errors
        self.run_count = 0

    async def ask(self, message: object) -> bytes:
        """Send a message to the worker, and return its answer."""
        assert self.process.stdin is not None and self.process.stdout is not None
        try:
            self.process.stdin.write(encode_message(message))
            await self.process.stdin.drain()
            head = await self.process.stdout.readexactly(4)
            return await self.process.stdout.readexactly(int.from_bytes(head, "big"))
        except (OSError, asyncio.IncompleteReadError):
            raise _WorkerDiedError from None

    async def play(self, spec: RunSpec, limit: float) -> RunResult:
        """Play a run; `limit` is its wall time in seconds."""
        self.run_count += 1
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + limit):
                return msgspec.msgpack.decode(await self.ask(spec), type=RunResult)
        except TimeoutError:
            return RunResult("hung", why=f"not over after {limit:g} s")
        except _WorkerDiedError:
            return RunResult("died", why=await self.end())

    async def end(self) -> str:
        """End the process if it is still running, and return how it ended."""
        # A worker ends when its input closes. An immediate kill could replace the exit status of a worker
        # that is just crashing.
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
    # Without -P, the current directory would precede the build's folder in the module search path.
    paths = [build.folder, *(path for path in sys.path if path)]
    errors = tempfile.TemporaryFile()  # noqa: SIM115 - closed when the worker ends
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-P", "-m", "wheatring.lab.study.worker",
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=errors,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        process_group=0,  # Ctrl-C reaches only the pool, which ends its workers
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
        """Start a worker of this kind and end it again."""
        await (await _start_worker(kind, run)).end()

    for error in await asyncio.gather(*(check(kind) for kind in kinds), return_exceptions=True):
        if error is not None:
            raise error


class _StopPlayingError(Exception):
    """The caller asked to stop playing."""


class _Pool:
    def __init__(
        self,
        specs: Iterable[RunSpec],
        run: str,
        limit: float,
        on_result: Callable[[RunSpec, RunResult], bool],
    ):
        self.waiting: dict[WorkerKind, deque[RunSpec]] = {}
        for spec in specs:
            self.waiting.setdefault((spec.build, spec.settings.patches), deque()).append(spec)
        self.run = run
        self.limit = limit
        self.on_result = on_result
        self.slots: dict[int, WorkerKind | None] = {}

    def next(self, slot: int) -> RunSpec | None:
        """Return a spec of the slot's current kind, else of the kind with the most waiting runs per slot."""
        kind = self.slots.get(slot)
        if kind is None or not self.waiting[kind]:
            playing = [other for other_slot, other in self.slots.items() if other_slot != slot]
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
        """Play runs in one slot until none is waiting."""
        worker: _Worker | None = None
        try:
            while (spec := self.next(slot)) is not None:
                kind = (spec.build, spec.settings.patches)
                if worker is not None and (worker.kind != kind or worker.run_count >= MAX_RUNS_PER_WORKER):
                    await worker.end()
                    worker = None
                if worker is None:
                    worker = await _start_worker(kind, self.run)
                result = await worker.play(spec, self.limit)
                if result.state in ("died", "hung"):
                    await worker.end()
                    worker = None
                if self.on_result(spec, result):
                    raise _StopPlayingError
        finally:
            if worker is not None:
                await worker.end()

    async def play_all(self, workers: int) -> None:
        """Play all runs in `workers` slots."""
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
    specs: list[RunSpec],
    run: str,
    workers: int,
    limit: float,
    on_result: Callable[[RunSpec, RunResult], bool],
) -> None:
    """Play all runs, passing each result to `on_result`; stop immediately if it returns True.

    Parameters
    ----------
    specs
        Specs of the runs.
    run
        Name of the run, as module:function.
    workers
        Maximum number of processes.
    limit
        Wall time for one run in seconds.
    on_result
        Called with each spec and its result. An exception that it raises ends the pool, as KeyboardInterrupt
        does.

    Raises
    ------
    StudyError
        A worker can't start, for example because of an unknown patch or a broken build.
    """
    if not specs:
        return
    kinds = dict.fromkeys((spec.build, spec.settings.patches) for spec in specs)
    if len(kinds) > 1:  # reports a bad patch before any run is played
        asyncio.run(_check_kinds(kinds, run))
    asyncio.run(_Pool(specs, run, limit, on_result).play_all(min(workers, len(specs))))
