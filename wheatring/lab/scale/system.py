"""The real processes of a scale run: settings files, starts, and what each has used."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

CONTROL_PORT, INTERNAL_PORT, PLATFORM_PORT = 28144, 27380, 28142
TICKS = os.sysconf("SC_CLK_TCK")
MAX_SEEDS = 3
PAGE = 50  # endpoints on a page of the platform's list


@dataclass(slots=True)
class Used:
    """What a process has used so far, and what it holds."""

    cpu_seconds: float
    memory_mb: float


def used(pid: int) -> Used:
    """Read from the kernel. Raises OSError where the process has gone."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / TICKS
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return Used(cpu, int(resident.split()[1]) / 1024)


@dataclass(slots=True)
class Running:
    """A process under way."""

    name: str
    role: str
    process: subprocess.Popen[str]
    lines: list[dict[str, float]] = field(default_factory=list)


def _address(role: str, number: int) -> str:
    return f"127.0.{1 if role == 'controller' else 2}.{number}"


class System:
    """Controllers, storage replicas and hollow sidecars in one folder."""

    def __init__(self, folder: Path, controllers: int, storage: int, losses: int) -> None:
        self.folder = folder
        self.controllers = controllers
        self.storage = storage
        self.losses = losses
        self.running: list[Running] = []

    def settings(
        self, name: str, role: str, address: str, bootstrap: bool = True, front_port: int = 0
    ) -> Path:
        """Write a settings file as the platform does."""
        listen = {"control": f"{address}:{CONTROL_PORT}"}
        if front_port:
            listen = {"front": f"{address}:{front_port}", "ready": f"{address}:{front_port + 1}"}
        seeds = range(1, min(self.controllers, MAX_SEEDS) + 1)
        values = {
            "node": name,
            "ip": address,
            "zone": "z1",
            "listen": listen,
            "portRange": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seeds": [f"{_address('controller', number)}:{CONTROL_PORT}" for number in seeds],
            "bootstrap": bootstrap,
            "dataDir": str(self.folder / f"{name}-data") if role in ("controller", "storage") else None,
            "faultTolerance": {"machines": self.losses},
            "limits": {"memoryMb": 1024},
            "bounds": {"drainMs": 3000},
            "cloud": {"address": f"127.0.0.1:{PLATFORM_PORT}", "ratePerS": 50.0},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(values), encoding="utf-8")
        return path

    def start_role(self, role: str, number: int, bootstrap: bool = True) -> Running:
        """Start one controller or storage replica."""
        name = f"{role}-{number}"
        path = self.settings(name, role, _address(role, number), bootstrap)
        return self._start(name, role, ["-m", "wheatring.tier", role], {"WHEATRING_BOOT": str(path)})

    def start_sidecar(self, number: int, front_port: int) -> Running:
        """Start one sidecar."""
        name = f"sidecar-{number}"
        address = f"127.0.4.{number}"
        path = self.settings(name, "sidecar", address, front_port=front_port)
        return self._start(
            name, "sidecar", ["-m", "wheatring.tier", "sidecar"], {"WHEATRING_BOOT": str(path)}
        )

    def start_hollow(self, number: int, count: int, turns_per_second: float) -> Running:
        """Start one process of hollow sidecars."""
        name = f"hollow-{number}"
        path = self.settings(name, "hollow", "127.0.0.1")
        arguments = ["-m", "wheatring.lab.scale.hollow", str(path), str(count), str(turns_per_second)]
        return self._start(name, "hollow", arguments, {})

    def _start(self, name: str, role: str, arguments: list[str], more: dict[str, str]) -> Running:
        log = (self.folder / f"{name}.log").open("a", encoding="utf-8")
        process = subprocess.Popen(
            [sys.executable, *arguments],
            env=os.environ | more,
            stdout=subprocess.PIPE if role == "hollow" else log,
            stderr=log,
            text=True,
        )
        running = Running(name, role, process)
        self.running.append(running)
        return running

    def start(self) -> None:
        """Start all controllers and storage replicas."""
        for number in range(1, self.controllers + 1):
            self.start_role("controller", number)
        for number in range(1, self.storage + 1):
            self.start_role("storage", number)

    def of(self, role: str) -> list[Running]:
        """The processes of a role that run."""
        return [r for r in self.running if r.role == role and r.process.poll() is None]

    def used(self, role: str) -> list[Used]:
        """What each process of a role has used."""
        return [used(running.process.pid) for running in self.of(role)]

    def stop(self, running: Running, number: signal.Signals = signal.SIGTERM) -> list[str]:
        """End one process; returns the lines that it has written and nobody has read."""
        running.process.send_signal(number)
        try:
            out, _ = running.process.communicate(timeout=10)
        except subprocess.TimeoutExpired:
            running.process.kill()
            out, _ = running.process.communicate()
        self.running.remove(running)
        return (out or "").splitlines()

    def close(self) -> None:
        """End everything."""
        for running in list(self.running):
            self.stop(running, signal.SIGKILL)


class StandInPlatform:
    """Serves a list of so many endpoints, in pages, as the platform does."""

    def __init__(self, endpoints: int) -> None:
        self.entries = [
            {
                "id": f"i-{number:08x}",
                "backend": f"service-{number % 29}",
                "address": f"10.128.{number // 250}.{number % 250 + 1}:8080",
                "zone": f"z{number % 12}",
                "generation": "v1",
                "slots": 16,
                "state": "ready",
                "coldMs": 0,
            }
            for number in range(endpoints)
        ]
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", PLATFORM_PORT)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, IndexError, asyncio.CancelledError):
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                writer.write(self._page(line.split()[1].decode()))
                await writer.drain()
        writer.close()

    def _page(self, target: str) -> bytes:
        first = int(target.partition("pageToken=p-")[2] or 0)
        following = first + PAGE if first + PAGE < len(self.entries) else None
        page = {
            "instances": self.entries[first : first + PAGE],
            "nextPageToken": f"p-{following}" if following is not None else None,
        }
        body = json.dumps(page).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        return head + body

    def close(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()
