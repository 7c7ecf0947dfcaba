"""Chooses the cores for what is measured, its load and its upstream."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import NamedTuple

from wheatring.lab.live import watch

MEASURE_SECONDS = 0.3  # seconds for which cores are looked at


class Cores(NamedTuple):
    """One core for each; the same one twice where there are too few."""

    measured: int
    load: int
    upstream: int

    @property
    def shared(self) -> bool:
        """Whether there were too few: figures from here say little."""
        return len(set(self)) < 3


def chosen(text: str) -> Cores:
    """Read three cores: measured, load, upstream. ValueError if they can't be used."""
    try:
        numbers = [int(part) for part in text.split(",")]
    except ValueError:
        numbers = []
    mine = sorted(os.sched_getaffinity(0))
    if len(numbers) != 3 or not set(numbers) <= set(mine):
        raise ValueError(f"--cores: not three of the cores {','.join(map(str, mine))}: {text!r}")
    return Cores(*numbers)


def idlest() -> Cores:
    """Choose the three least busy cores that this process may use, the least busy for what is measured."""
    mine = sorted(os.sched_getaffinity(0))
    before = {core: watch.core_busy(core) for core in mine}
    time.sleep(MEASURE_SECONDS)
    # What is measured and its load should not share a core's two halves: siblings come last.
    seen: set[str] = set()
    second = {}
    for core in mine:
        siblings = _siblings(core)
        second[core] = siblings in seen
        seen.add(siblings)
    mine.sort(key=lambda core: (second[core], watch.core_busy(core) - before[core]))
    return Cores(*(mine * 3)[:3])


def _siblings(core: int) -> str:
    try:
        return Path(f"/sys/devices/system/cpu/cpu{core}/topology/thread_siblings_list").read_text().strip()
    except OSError:
        return str(core)
