"""Chooses the CPU cores for the measured process, the load generator and the upstream."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import NamedTuple

from wheatring.lab.live import watch

MEASURE_SECONDS = 0.3  # period over which the load of the cores is measured


class Cores(NamedTuple):
    """One core for each process; cores repeat if fewer than three are available."""

    measured: int
    load: int
    upstream: int

    @property
    def shared(self) -> bool:
        """Whether processes share a core, so that the figures are not meaningful."""
        return len(set(self)) < 3


def parse_cores(text: str) -> Cores:
    """Parse three core numbers: measured, load, upstream. ValueError if they can't be used."""
    try:
        numbers = [int(part) for part in text.split(",")]
    except ValueError:
        numbers = []
    available = sorted(os.sched_getaffinity(0))
    if len(numbers) != 3 or not set(numbers) <= set(available):
        raise ValueError(f"--cores: not three of the cores {','.join(map(str, available))}: {text!r}")
    return Cores(*numbers)


def least_busy_cores() -> Cores:
    """Choose the three least busy cores available; the measured process gets the least busy one."""
    available = sorted(os.sched_getaffinity(0))
    before = {core: watch.core_busy_seconds(core) for core in available}
    time.sleep(MEASURE_SECONDS)
    # Hyper-threads of one physical core should not be used together, so further siblings sort last.
    seen: set[str] = set()
    is_further_sibling = {}
    for core in available:
        siblings = _siblings(core)
        is_further_sibling[core] = siblings in seen
        seen.add(siblings)
    available.sort(key=lambda core: (is_further_sibling[core], watch.core_busy_seconds(core) - before[core]))
    return Cores(*(available * 3)[:3])


def _siblings(core: int) -> str:
    try:
        return Path(f"/sys/devices/system/cpu/cpu{core}/topology/thread_siblings_list").read_text().strip()
    except OSError:
        return str(core)
