"""The scale measurement: the same steps for each number of sidecars, and a line fitted to each cost."""

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

from wheatring.lab.scale.linear_fit import Slope, fit
from wheatring.lab.scale.local_tier import CONTROL_PORT, LocalTier, ProcessUsage, RunningProcess
from wheatring.lab.scale.platform_stub import PlatformStub

IDLE_SECONDS = 5.0
SETTLE_SECONDS = 1.5  # after a start, before anything is measured
TURN_SECONDS = 6.0
CHANGES = 10  # configuration changes, measured together
HOLLOW_PER_PROCESS = 125
CONFIGURE_TIMEOUT_SECONDS = 15.0  # for a controller to accept a configuration
RETRY_SECONDS = 0.05
CALL_TIMEOUT_SECONDS = 1.5
RESTART_SECONDS = 2.0  # for a restarted controller to catch up
ENDPOINTS = 1200
ROUTES = 60


@dataclass(frozen=True, slots=True)
class Point:
    """The costs at one size. CPU time is in ms of one core, memory in MB, traffic in KB.

    The names of the fields are keys of the JSON report.
    """

    sidecars: int
    controller_idle_ms: float  # of the busiest controller, per second
    controller_change_ms: float  # of all controllers, per change
    controller_mb: float
    hollow_idle_kb: float  # received by one sidecar, per second
    hollow_change_kb: float  # received by one sidecar, per change
    hollow_idle_ms: float  # of one sidecar, per second
    apply_ms: float  # until the last sidecar has applied a change; the slowest of all changes
    apply_after_kill_ms: float  # the same after the leader was killed, including the election
    resync_ms: float  # until a third of the sidecars, restarted, have the configuration
    storage_turn_ms: float  # of all storage replicas, per turn
    storage_turn_kb: float  # sent and received by sidecars, per turn
    turn_p50_ms: float
    turn_p99_ms: float


def configuration(generation: int) -> bytes:
    """Return a configuration of a typical size."""
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
class ResourceUse:
    """The resources that the processes used during `seconds`."""

    seconds: float
    busiest_controller_ms: float
    controllers_ms: float
    hollow_ms: float
    received_kb: float


class SizeMeasurement:
    """The measurement at one number of sidecars."""

    def __init__(self, folder: Path, sidecars: int, turns_per_second: float) -> None:
        self.sidecars = sidecars
        self._turns_per_second = turns_per_second
        self._slowest_change_seconds = 0.0
        self._reports: dict[int, dict[str, float]] = {}  # by process: the newest generation and its time
        self.tier = LocalTier(folder, controllers=3, storage=3, losses=1)
        self._generation = 0
        self._hollow: list[RunningProcess] = []

    async def measure(self) -> Point:
        """Start the tier, measure it, and stop it."""
        try:
            self.tier.start()
            await self._configure()
            self._start_hollow()
            await self._wait_until_applied(time.monotonic())
            return await self._measure_steps()
        finally:
            self.tier.close()

    def _start_hollow(self) -> None:
        remaining, number = self.sidecars, 0
        processes = -(-self.sidecars // HOLLOW_PER_PROCESS)
        while remaining:
            number += 1
            count = min(remaining, -(-self.sidecars // processes))
            remaining -= count
            self._hollow.append(self.tier.start_hollow(number, count, 0.0))

    async def _measure_steps(self) -> Point:
        await asyncio.sleep(SETTLE_SECONDS)
        idle = await self._measure_during(self._idle)
        changes = await self._measure_during(self._changes)
        apply_seconds = self._slowest_change_seconds
        memory = max(usage.memory_mb for usage in self.tier.usage("controller"))
        storage_ms, summary = await self._measure_turns()
        after_kill = await self._change_after_kill()
        resync = await self._resync()
        turns = max(1, summary["turns"])
        idle_change = idle.controllers_ms / idle.seconds * changes.seconds
        return Point(
            sidecars=self.sidecars,
            controller_idle_ms=idle.busiest_controller_ms / idle.seconds,
            controller_change_ms=(changes.controllers_ms - idle_change) / CHANGES,
            controller_mb=memory,
            hollow_idle_kb=idle.received_kb / idle.seconds / self.sidecars,
            hollow_change_kb=changes.received_kb / CHANGES / self.sidecars,
            hollow_idle_ms=idle.hollow_ms / idle.seconds / self.sidecars,
            apply_ms=apply_seconds * 1000,
            apply_after_kill_ms=after_kill * 1000,
            resync_ms=resync * 1000,
            storage_turn_ms=storage_ms / turns,
            storage_turn_kb=(summary["received"] + summary["sent"]) / 1024 / turns,
            turn_p50_ms=summary["turn_p50_ms"],
            turn_p99_ms=summary["turn_p99_ms"],
        )

    async def _measure_during(self, work: Callable[[], Coroutine[Any, Any, None]]) -> ResourceUse:
        """Return the resources that the processes use during some work."""
        controllers, hollow = self.tier.usage("controller"), self.tier.usage("hollow")
        received = sum([await self._received(h) for h in self._hollow])
        started_at = time.monotonic()
        await work()
        seconds = time.monotonic() - started_at
        controller_ms = _cpu_ms(controllers, self.tier.usage("controller"))
        return ResourceUse(
            seconds=seconds,
            busiest_controller_ms=max(controller_ms),
            controllers_ms=sum(controller_ms),
            hollow_ms=sum(_cpu_ms(hollow, self.tier.usage("hollow"))),
            received_kb=(sum([await self._received(h) for h in self._hollow]) - received) / 1024,
        )

    @staticmethod
    async def _idle() -> None:
        await asyncio.sleep(IDLE_SECONDS)

    async def _changes(self) -> None:
        self._slowest_change_seconds = max([await self._change() for _ in range(CHANGES)])

    async def _measure_turns(self) -> tuple[float, dict[str, float]]:
        """Measure the storage replicas while programs record turns.

        Returns
        -------
        The replicas' CPU time in ms, and the summary that the programs print when they stop.
        """
        programs = self.tier.start_hollow(0, 1, self._turns_per_second)
        await asyncio.sleep(SETTLE_SECONDS)
        before = self.tier.usage("storage")
        await asyncio.sleep(TURN_SECONDS)
        storage_ms = sum(_cpu_ms(before, self.tier.usage("storage")))
        summary: dict[str, float] = json.loads(self.tier.stop(programs)[-1])
        return storage_ms, summary

    async def _received(self, hollow: RunningProcess) -> float:
        """Return the bytes that a process of hollow sidecars has received so far."""
        hollow.process.send_signal(signal.SIGUSR1)
        report = await asyncio.to_thread(_next_report, hollow, "received")
        return report["received"]

    async def _configure(self) -> None:
        """Submit the next configuration to one controller after another, until one accepts it."""
        base, self._generation = self._generation, self._generation + 1
        deadline = time.monotonic() + CONFIGURE_TIMEOUT_SECONDS
        async with httpx.AsyncClient(trust_env=False, timeout=CALL_TIMEOUT_SECONDS) as client:
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
                await asyncio.sleep(RETRY_SECONDS)
        raise TimeoutError("no controller accepted the configuration in time")

    async def _wait_until_applied(self, since: float) -> float:
        """Wait until all hollow sidecars have the newest configuration; return the seconds since `since`."""
        last_at = 0.0
        for hollow in self._hollow:
            last_at = max(last_at, await asyncio.to_thread(self._applied_at, hollow))
        return last_at - since

    def _applied_at(self, hollow: RunningProcess) -> float:
        """Return when all sidecars of a process had the newest configuration."""
        report = self._reports.get(hollow.process.pid, {"generation": 0.0, "at": 0.0})
        while report["generation"] < self._generation:
            report = _next_report(hollow, "generation")
        self._reports[hollow.process.pid] = report
        return report["at"]

    async def _change(self) -> float:
        started_at = time.monotonic()
        await self._configure()
        return await self._wait_until_applied(started_at)

    async def _change_after_kill(self) -> float:
        """Kill the leader and change the configuration immediately; return the seconds until all have it."""
        leader = await self._leader()
        number = int(leader.name.rpartition("-")[2])
        self.tier.stop(leader, signal.SIGKILL)
        seconds = await self._change()
        self.tier.start_role("controller", number, bootstrap=False)
        await asyncio.sleep(RESTART_SECONDS)
        return seconds

    async def _leader(self) -> RunningProcess:
        async with httpx.AsyncClient(trust_env=False, timeout=CALL_TIMEOUT_SECONDS) as client:
            for _ in range(50):
                for running in self.tier.processes("controller"):
                    number = running.name.rpartition("-")[2]
                    try:
                        reply = await client.get(f"http://127.0.1.{number}:{CONTROL_PORT}/status")
                    except httpx.HTTPError:
                        continue
                    if reply.json()["state"] == "leader":
                        return running
                await asyncio.sleep(0.1)
        raise TimeoutError("no controller became the leader in time")

    async def _resync(self) -> float:
        """Kill and restart a third of the sidecars; return the seconds until they have the configuration."""
        killed = self._hollow[: max(1, len(self._hollow) // 3)]
        counts = {}
        for hollow in killed:
            arguments = hollow.process.args
            assert isinstance(arguments, list)
            counts[hollow.name] = int(str(arguments[-2]))
            self.tier.stop(hollow, signal.SIGKILL)
            self._hollow.remove(hollow)
        started_at = time.monotonic()
        for name, count in counts.items():
            self._hollow.append(self.tier.start_hollow(int(name.rpartition("-")[2]), count, 0.0))
        return await self._wait_until_applied(started_at)


def _cpu_ms(before: Sequence[ProcessUsage], after: Sequence[ProcessUsage]) -> list[float]:
    """Return the CPU time of each process between two measurements, in ms."""
    return [(b.cpu_seconds - a.cpu_seconds) * 1000 for a, b in zip(before, after, strict=True)]


def _next_report(hollow: RunningProcess, key: str) -> dict[str, float]:
    """Return the next report of a process that has `key`. Raises RuntimeError once the process has ended."""
    stdout = hollow.process.stdout
    assert stdout is not None
    while line := stdout.readline():
        report: dict[str, float] = json.loads(line)
        if key in report:
            return report
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
    """Fit a line through each figure over the number of sidecars."""
    sizes = [point.sidecars for point in points]
    return {name: fit(sizes, [value(point) for point in points]) for name, value in SLOPES.items()}


async def measure(sizes: Sequence[int], turns_per_second: float) -> list[Point]:
    """Measure all sizes, one after the other.

    Parameters
    ----------
    sizes
        Numbers of sidecars.
    turns_per_second
        Rate of turns while storage is measured.
    """
    platform = PlatformStub(ENDPOINTS)
    await platform.start()
    points = []
    try:
        for size in sizes:
            with tempfile.TemporaryDirectory() as folder:
                points.append(await SizeMeasurement(Path(folder), size, turns_per_second).measure())
    finally:
        platform.close()
    return points


def report(points: Sequence[Point], as_json: bool) -> str:
    """Return the figures as a table, or as JSON for the table of docs/CAPACITY.md."""
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
