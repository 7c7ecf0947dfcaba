"""A tier of real processes on loopback: their settings files, their starts, and their resource usage."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from wheatring.lab.scale.platform_stub import PLATFORM_PORT

CONTROL_PORT, INTERNAL_PORT = 28144, 27380
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
MAX_SEEDS = 3
STOP_TIMEOUT_SECONDS = 10


@dataclass(slots=True)
class ProcessUsage:
    """The CPU time that a process has used so far, and its resident memory."""

    cpu_seconds: float
    memory_mb: float


def process_usage(pid: int) -> ProcessUsage:
    """Return the usage of a process, from /proc. Raises OSError where the process has ended."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    cpu_seconds = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return ProcessUsage(cpu_seconds, int(resident.split()[1]) / 1024)


@dataclass(slots=True)
class RunningProcess:
    """A process of the tier."""

    name: str
    role: str
    process: subprocess.Popen[str]


def _address(role: str, number: int) -> str:
    return f"127.0.{1 if role == 'controller' else 2}.{number}"


class LocalTier:
    """Controllers, storage replicas and sidecars, with their files in one folder."""

    def __init__(self, folder: Path, controllers: int, storage: int, losses: int) -> None:
        self.folder = folder
        self.controllers = controllers
        self.storage = storage
        self.losses = losses
        self.running: list[RunningProcess] = []

    def write_settings(
        self, name: str, role: str, address: str, bootstrap: bool = True, front_port: int = 0
    ) -> Path:
        """Write the settings file of a process as the platform does; return its path."""
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

    def start_role(self, role: str, number: int, bootstrap: bool = True) -> RunningProcess:
        """Start one controller or storage replica."""
        name = f"{role}-{number}"
        path = self.write_settings(name, role, _address(role, number), bootstrap)
        return self._start(name, role, ["-m", "wheatring.tier", role], {"WHEATRING_BOOT": str(path)})

    def start_sidecar(self, number: int, front_port: int) -> RunningProcess:
        """Start one sidecar."""
        name = f"sidecar-{number}"
        address = f"127.0.4.{number}"
        path = self.write_settings(name, "sidecar", address, front_port=front_port)
        return self._start(
            name, "sidecar", ["-m", "wheatring.tier", "sidecar"], {"WHEATRING_BOOT": str(path)}
        )

    def start_hollow(self, number: int, count: int, turns_per_second: float) -> RunningProcess:
        """Start one process of hollow sidecars."""
        name = f"hollow-{number}"
        path = self.write_settings(name, "hollow", "127.0.0.1")
        module = "wheatring.lab.scale.hollow_sidecars"
        arguments = ["-m", module, str(path), str(count), str(turns_per_second)]
        return self._start(name, "hollow", arguments, {})

    def _start(
        self, name: str, role: str, arguments: list[str], environment: dict[str, str]
    ) -> RunningProcess:
        with (self.folder / f"{name}.log").open("a", encoding="utf-8") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                env=os.environ | environment,
                stdout=subprocess.PIPE if role == "hollow" else log,
                stderr=log,
                text=True,
            )
        running = RunningProcess(name, role, process)
        self.running.append(running)
        return running

    def start(self) -> None:
        """Start all controllers and storage replicas."""
        for number in range(1, self.controllers + 1):
            self.start_role("controller", number)
        for number in range(1, self.storage + 1):
            self.start_role("storage", number)

    def processes(self, role: str) -> list[RunningProcess]:
        """Return the processes of a role that are running."""
        of_role = [running for running in self.running if running.role == role]
        return [running for running in of_role if running.process.poll() is None]

    def usage(self, role: str) -> list[ProcessUsage]:
        """Return the usage of each process of a role."""
        return [process_usage(running.process.pid) for running in self.processes(role)]

    def stop(self, running: RunningProcess, signal_number: signal.Signals = signal.SIGTERM) -> list[str]:
        """Stop a process by a signal; return the unread lines of its output."""
        running.process.send_signal(signal_number)
        try:
            output, _ = running.process.communicate(timeout=STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            running.process.kill()
            output, _ = running.process.communicate()
        self.running.remove(running)
        return (output or "").splitlines()

    def close(self) -> None:
        """Kill all processes."""
        for running in list(self.running):
            self.stop(running, signal.SIGKILL)
