"""The scale run: for each number of sidecars the same steps, and slopes through what they cost."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
import time
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import httpx

from wheatring.lab.scale.slopes import Slope, fit
from wheatring.lab.scale.system import CONTROL_PORT, Running, StandInPlatform, System, Used

IDLE_SECONDS = 5.0
SETTLE_SECONDS = 1.5  # after a start, before anything is measured
TURN_SECONDS = 6.0
CHANGES = 10
HOLLOW_PER_PROCESS = 125
ORDER_SECONDS = 15.0
ENDPOINTS = 1200
ROUTES = 60


@dataclass(frozen=True, slots=True)
class Point:
    """What one size has cost. Processor time is in ms of one core a second; memory in MB; bytes in KB."""

    sidecars: int
    controller_idle_ms: float  # of the controller that used most, per second
    controller_change_ms: float  # of all controllers, per change
    controller_mb: float
    hollow_idle_kb: float  # received by one sidecar, per second
    hollow_change_kb: float  # and per change
    hollow_idle_ms: float  # of one sidecar, per second
    apply_ms: float  # from the order to the last sidecar, at the most
    apply_after_kill_ms: float  # the same after the leader was killed, the election included
    resync_ms: float  # for a third of the sidecars that have started anew to have everything
    storage_turn_ms: float  # of all storage replicas, per turn
    storage_turn_kb: float  # sent and received by sidecars, per turn
    turn_p50_ms: float
    turn_p99_ms: float


def configuration(generation: int) -> bytes:
    """A configuration of a usual size."""
    routes = [
        {
            "name": f"route-{number}",
            "hostname": f"tenant-{number % 20}.example",
            "pathPrefix": f"/path-{number}/",
            "routeType": "safe",
            "timeoutMs": 1000 + generation % 7,
            "targetLatencyMs": 200,
            "priority": 1,
            "maxAttempts": 2,
            "backend": f"service-{number % 29}",
        }
        for number in range(ROUTES)
    ]
    services = [{"name": f"service-{number}", "maxConnections": 100} for number in range(29)]
    return json.dumps({"generation": generation, "routes": routes, "services": services}).encode()


@dataclass(frozen=True, slots=True)
class Spent:
    """What all processes of a role have used over a span."""

    seconds: float
    controller_most_ms: float
    controllers_ms: float
    hollow_ms: float
    received_kb: float


class Run:
    """One size."""

    def __init__(self, folder: Path, sidecars: int, turns_per_second: float) -> None:
        self.sidecars = sidecars
        self._turns = turns_per_second
        self._longest = 0.0
        self._told: dict[int, dict[str, float]] = {}  # by process: the newest generation and its time
        self.system = System(folder, controllers=3, storage=3, losses=1)
        self._generation = 0
        self._hollow: list[Running] = []

    async def measure(self) -> Point:
        """Start, measure, end."""
        try:
            self.system.start()
            await self._order()
            self._start_hollow()
            await self._in_force(time.monotonic())
            return await self._steps()
        finally:
            self.system.close()

    def _start_hollow(self) -> None:
        left, number = self.sidecars, 0
        processes = -(-self.sidecars // HOLLOW_PER_PROCESS)
        while left:
            number += 1
            count = min(left, -(-self.sidecars // processes))
            left -= count
            self._hollow.append(self.system.start_hollow(number, count, 0.0))

    async def _steps(self) -> Point:
        await asyncio.sleep(SETTLE_SECONDS)
        idle = await self._over(self._idle)
        changes = await self._over(self._changes)
        apply_seconds = self._longest
        memory = max(used.memory_mb for used in self.system.used("controller"))
        storage_ms, told = await self._turns_taken()
        after_kill = await self._change_after_kill()
        resync = await self._resync()
        turns = max(1, told["turns"])
        idle_change = idle.controllers_ms / idle.seconds * changes.seconds
        return Point(
            sidecars=self.sidecars,
            controller_idle_ms=idle.controller_most_ms / idle.seconds,
            controller_change_ms=(changes.controllers_ms - idle_change) / CHANGES,
            controller_mb=memory,
            hollow_idle_kb=idle.received_kb / idle.seconds / self.sidecars,
            hollow_change_kb=changes.received_kb / CHANGES / self.sidecars,
            hollow_idle_ms=idle.hollow_ms / idle.seconds / self.sidecars,
            apply_ms=apply_seconds * 1000,
            apply_after_kill_ms=after_kill * 1000,
            resync_ms=resync * 1000,
            storage_turn_ms=storage_ms / turns,
            storage_turn_kb=(told["received"] + told["sent"]) / 1024 / turns,
            turn_p50_ms=told["turn_p50_ms"],
            turn_p99_ms=told["turn_p99_ms"],
        )

    async def _over(self, work: Callable[[], Coroutine[Any, Any, None]]) -> Spent:
        """What everyone has used while something was done."""
        controllers, hollow = self.system.used("controller"), self.system.used("hollow")
        received = sum([await self._received(h) for h in self._hollow])
        began = time.monotonic()
        await work()
        seconds = time.monotonic() - began
        spent = _between(controllers, self.system.used("controller"))
        return Spent(
            seconds=seconds,
            controller_most_ms=max(spent),
            controllers_ms=sum(spent),
            hollow_ms=sum(_between(hollow, self.system.used("hollow"))),
            received_kb=(sum([await self._received(h) for h in self._hollow]) - received) / 1024,
        )

    @staticmethod
    async def _idle() -> None:
        await asyncio.sleep(IDLE_SECONDS)

    async def _changes(self) -> None:
        self._longest = max([await self._change() for _ in range(CHANGES)])

    async def _turns_taken(self) -> tuple[float, dict[str, float]]:
        """Storage replicas' processor time (ms) while programs take turns, and what those told at their
        end.
        """
        programs = self.system.start_hollow(0, 1, self._turns)
        await asyncio.sleep(SETTLE_SECONDS)
        before = self.system.used("storage")
        await asyncio.sleep(TURN_SECONDS)
        spent = sum(_between(before, self.system.used("storage")))
        told: dict[str, float] = json.loads(self.system.stop(programs)[-1])
        return spent, told

    async def _received(self, hollow: Running) -> float:
        """Bytes that a process of hollow sidecars has received so far."""
        hollow.process.send_signal(signal.SIGUSR1)
        told = await asyncio.to_thread(_next_line, hollow, "received")
        return told["received"]

    async def _order(self) -> None:
        """Put the next configuration in place, at whichever controller takes it."""
        base, self._generation = self._generation, self._generation + 1
        deadline = time.monotonic() + ORDER_SECONDS
        async with httpx.AsyncClient(trust_env=False, timeout=1.5) as client:
            while time.monotonic() < deadline:
                for number in range(1, 4):
                    url = f"http://127.0.1.{number}:{CONTROL_PORT}/config/replace"
                    headers = {"Wheatring-Base-Revision": str(base)}
                    try:
                        reply = await client.post(
                            url, content=configuration(self._generation), headers=headers
                        )
                    except httpx.HTTPError:
                        continue
                    if reply.status_code == httpx.codes.OK:
                        return
                await asyncio.sleep(0.05)
        raise TimeoutError("no controller has taken the configuration")

    async def _in_force(self, since: float) -> float:
        """Wait until all hollow sidecars have the newest configuration; seconds from then to the last one."""
        last = 0.0
        for hollow in self._hollow:
            last = max(last, await asyncio.to_thread(self._applied_at, hollow))
        return last - since

    def _applied_at(self, hollow: Running) -> float:
        """When a process told that all its sidecars have the newest configuration."""
        told = self._told.get(hollow.process.pid, {"generation": 0.0, "at": 0.0})
        while told["generation"] < self._generation:
            told = _next_line(hollow, "generation")
        self._told[hollow.process.pid] = told
        return told["at"]

    async def _change(self) -> float:
        began = time.monotonic()
        await self._order()
        return await self._in_force(began)

    async def _change_after_kill(self) -> float:
        """Kill the leader, and have a change made at once."""
        leader = await self._leader()
        number = int(leader.name.rpartition("-")[2])
        self.system.stop(leader, signal.SIGKILL)
        waited = await self._change()
        self.system.start_role("controller", number, bootstrap=False)
        await asyncio.sleep(2.0)
        return waited

    async def _leader(self) -> Running:
        async with httpx.AsyncClient(trust_env=False, timeout=1.5) as client:
            for _ in range(50):
                for running in self.system.of("controller"):
                    number = running.name.rpartition("-")[2]
                    try:
                        reply = await client.get(f"http://127.0.1.{number}:{CONTROL_PORT}/status")
                    except httpx.HTTPError:
                        continue
                    if reply.json()["state"] == "leader":
                        return running
                await asyncio.sleep(0.1)
        raise TimeoutError("nobody leads")

    async def _resync(self) -> float:
        """A third of the sidecars go at once and come back."""
        gone = self._hollow[: max(1, len(self._hollow) // 3)]
        counts = {}
        for hollow in gone:
            arguments = hollow.process.args
            assert isinstance(arguments, list)
            counts[hollow.name] = int(str(arguments[-2]))
            self.system.stop(hollow, signal.SIGKILL)
            self._hollow.remove(hollow)
        began = time.monotonic()
        for name, count in counts.items():
            self._hollow.append(self.system.start_hollow(int(name.rpartition("-")[2]), count, 0.0))
        return await self._in_force(began)


def _between(before: Sequence[Used], after: Sequence[Used]) -> list[float]:
    """Processor time of each process, in ms."""
    return [(b.cpu_seconds - a.cpu_seconds) * 1000 for a, b in zip(before, after, strict=True)]


def _next_line(hollow: Running, key: str) -> dict[str, float]:
    """The next line of a process that tells of something."""
    stdout = hollow.process.stdout
    assert stdout is not None
    while line := stdout.readline():
        told: dict[str, float] = json.loads(line)
        if key in told:
            return told
    raise RuntimeError(f"{hollow.name} has ended")


SLOPES: dict[str, Callable[[Point], float]] = {
    "controller processor time, idle (ms/s)": lambda p: p.controller_idle_ms,
    "controllers' processor time for a change (ms)": lambda p: p.controller_change_ms,
    "controller memory (MB)": lambda p: p.controller_mb,
    "sidecar processor time for control, idle (ms/s)": lambda p: p.hollow_idle_ms,
    "sidecar bytes for control, idle (KB/s)": lambda p: p.hollow_idle_kb,
    "sidecar bytes for a change (KB)": lambda p: p.hollow_change_kb,
    "change in force at the last sidecar (ms)": lambda p: p.apply_ms,
    "the same after the leader was killed (ms)": lambda p: p.apply_after_kill_ms,
    "a third of the sidecars back in step (ms)": lambda p: p.resync_ms,
    "storage processor time for a turn (ms)": lambda p: p.storage_turn_ms,
    "sidecars' bytes for a turn (KB)": lambda p: p.storage_turn_kb,
}


def slopes(points: Sequence[Point]) -> dict[str, Slope]:
    """A line through each figure over the number of sidecars."""
    sizes = [point.sidecars for point in points]
    return {name: fit(sizes, [value(point) for point in points]) for name, value in SLOPES.items()}


async def measure(sizes: Sequence[int], turns_per_second: float) -> list[Point]:
    """Measure all sizes, one after the other."""
    platform = StandInPlatform(ENDPOINTS)
    await platform.start()
    points = []
    try:
        for size in sizes:
            with tempfile.TemporaryDirectory() as folder:
                points.append(await Run(Path(folder), size, turns_per_second).measure())
    finally:
        platform.close()
    return points


def report(points: Sequence[Point], as_json: bool) -> str:
    """The figures for a person, or for the page's table."""
    lines = slopes(points)
    if as_json:
        values = {
            "points": [asdict(point) for point in points],
            "slopes": {name: asdict(slope) for name, slope in lines.items()},
        }
        return json.dumps(values, indent=1)
    width = max(map(len, lines))
    text = [f"{'':{width}}  " + "  ".join(f"{point.sidecars:>9}" for point in points) + "      per sidecar"]
    for name, value in SLOPES.items():
        figures = "  ".join(f"{value(point):9.2f}" for point in points)
        slope = lines[name]
        text.append(f"{name:{width}}  {figures}  {slope.slope:9.4f} ± {slope.error:.4f}")
    return "\n".join(text)
