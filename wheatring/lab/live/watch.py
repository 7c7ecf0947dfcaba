"""Samples the CPU time, memory and descriptors of processes from /proc."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from msgspec import Struct, field

CPU_TICK_SECONDS = 1 / os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20


class Sample(Struct):
    """Measurements of one process over one interval, usually a second."""

    at: float  # end of the interval, in seconds from the start
    cpu: float  # share of one core, over the interval
    rss_mb: float  # at the end of the interval
    descriptors: int  # likewise


class Watched(Struct):
    """Measurements of one process, over all of its restarts."""

    name: str
    cpu_s: float = 0.0  # over all intervals
    peak_mb: float = 0.0
    peak_descriptors: int = 0
    looks: list[Sample] = field(default_factory=list)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process and its threads. OSError if there is no such process."""
    with Path(f"/proc/{pid}/stat").open("rb") as file:
        # The name is in parentheses and may contain any characters, including spaces and parentheses.
        fields = file.read().rpartition(b")")[2].split()
    return (int(fields[11]) + int(fields[12])) * CPU_TICK_SECONDS


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB. OSError if there is no such process."""
    with Path(f"/proc/{pid}/statm").open("rb") as file:
        return int(file.read().split()[1]) * PAGE_MB


def core_busy_seconds(cpu: int) -> float:
    """Return the seconds for which a core has been busy since boot."""
    with Path("/proc/stat").open("rb") as file:
        for line in file:
            label, *fields = line.split()
            if label == b"cpu%d" % cpu:
                user, nice, system, _, _, irq, softirq, steal = map(int, fields[:8])
                return (user + nice + system + irq + softirq + steal) * CPU_TICK_SECONDS
    raise ProcessLookupError(f"no core {cpu}")


class _Reading(NamedTuple):
    """The previous reading of a process."""

    pid: int
    at: float
    cpu_s: float  # CPU time used by then


class Watch:
    """Samples a set of processes on request; processes that have ended are dropped from the set."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.watched: dict[str, Watched] = {}
        self.readings: dict[str, _Reading] = {}  # by name

    def add(self, name: str, pid: int, now: float) -> None:
        """Watch a process from now on. A restarted process continues the measurements of its name."""
        self.watched.setdefault(name, Watched(name))
        try:
            self.readings[name] = _Reading(pid, now, cpu_seconds(pid))
        except OSError:
            self.readings.pop(name, None)

    def restart(self, now: float) -> None:
        """Drop all measurements, and measure from now on."""
        self.started_at = now
        for name, reading in list(self.readings.items()):
            del self.watched[name]
            self.add(name, reading.pid, now)

    def add_all(self, pids: Mapping[str, int], now: float) -> None:
        """Watch several processes, given by name, from now on."""
        for name, pid in pids.items():
            self.add(name, pid, now)

    def sample(self, now: float) -> None:
        """Sample all watched processes that are still running."""
        for name, (pid, since, before) in list(self.readings.items()):
            try:
                cpu, rss = cpu_seconds(pid), rss_mb(pid)
                descriptors = len(list(Path(f"/proc/{pid}/fd").iterdir()))
            except OSError:
                del self.readings[name]
                continue
            row = self.watched[name]
            share = (cpu - before) / (now - since) if now > since else 0.0
            row.looks.append(Sample(now - self.started_at, share, rss, descriptors))
            row.cpu_s += cpu - before
            row.peak_mb = max(row.peak_mb, rss)
            row.peak_descriptors = max(row.peak_descriptors, descriptors)
            self.readings[name] = _Reading(pid, now, cpu)
