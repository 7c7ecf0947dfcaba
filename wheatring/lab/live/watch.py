"""Samples processes from outside: CPU, memory and descriptors, as /proc has them."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from msgspec import Struct, field

CPU_TICK_SECONDS = 1 / os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20


class Sample(Struct):
    """One process in one span of time, mostly a second."""

    at: float  # the span's end, in seconds from the start
    cpu: float  # of one core, over the span
    rss_mb: float  # at its end
    descriptors: int  # at its end


class Watched(Struct):
    """One process, over all of its starts."""

    name: str
    cpu_s: float = 0.0  # over all spans
    peak_mb: float = 0.0
    peak_descriptors: int = 0
    looks: list[Sample] = field(default_factory=list)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, threads included; OSError if there is none of that id."""
    with Path(f"/proc/{pid}/stat").open("rb") as file:
        # Its name comes in brackets, and may hold anything.
        fields = file.read().rpartition(b")")[2].split()
    return (int(fields[11]) + int(fields[12])) * CPU_TICK_SECONDS


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process, in MiB; OSError if there is none of that id."""
    with Path(f"/proc/{pid}/statm").open("rb") as file:
        return int(file.read().split()[1]) * PAGE_MB


def core_busy(cpu: int) -> float:
    """Return the seconds that a core has been busy with anything since the machine's start."""
    with Path("/proc/stat").open("rb") as file:
        for line in file:
            word, *fields = line.split()
            if word == b"cpu%d" % cpu:
                user, nice, system, _, _, irq, softirq, steal = map(int, fields[:8])
                return (user + nice + system + irq + softirq + steal) * CPU_TICK_SECONDS
    raise ProcessLookupError(f"no core {cpu}")


class _Reading(NamedTuple):
    """The last reading of a process."""

    pid: int
    at: float
    cpu_s: float  # CPU time used until then


class Watch:
    """Samples processes whenever asked to. One that has ended is left out from then on."""

    def __init__(self, now: float) -> None:
        self.began = now
        self.watched: dict[str, Watched] = {}
        self.readings: dict[str, _Reading] = {}  # by name

    def add(self, name: str, pid: int, now: float) -> None:
        """Watch a process from now on; a name that was watched before goes on in the same row."""
        self.watched.setdefault(name, Watched(name))
        try:
            self.readings[name] = _Reading(pid, now, cpu_seconds(pid))
        except OSError:
            self.readings.pop(name, None)

    def restart(self, now: float) -> None:
        """Count from now on, and drop what was sampled before."""
        self.began = now
        for name, reading in list(self.readings.items()):
            del self.watched[name]
            self.add(name, reading.pid, now)

    def add_all(self, pids: Mapping[str, int], now: float) -> None:
        """Watch processes by name from now on."""
        for name, pid in pids.items():
            self.add(name, pid, now)

    def sample(self, now: float) -> None:
        """Sample all processes that still run."""
        for name, (pid, since, before) in list(self.readings.items()):
            try:
                cpu, rss = cpu_seconds(pid), rss_mb(pid)
                descriptors = len(list(Path(f"/proc/{pid}/fd").iterdir()))
            except OSError:
                del self.readings[name]
                continue
            row = self.watched[name]
            share = (cpu - before) / (now - since) if now > since else 0.0
            row.looks.append(Sample(now - self.began, share, rss, descriptors))
            row.cpu_s += cpu - before
            row.peak_mb = max(row.peak_mb, rss)
            row.peak_descriptors = max(row.peak_descriptors, descriptors)
            self.readings[name] = _Reading(pid, now, cpu)
