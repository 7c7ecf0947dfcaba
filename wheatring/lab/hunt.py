"""Looks for the planted faults: each is played seed by seed until a rule is found broken."""

from __future__ import annotations

import multiprocessing
import time
from collections.abc import Callable, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from contextlib import nullcontext
from typing import NamedTuple

from wheatring.lab.faults import FAULTS, Fault, planted
from wheatring.lab.study import StudyError

CLEAN = "nothing planted"


class FaultRun(NamedTuple):
    """One run with a fault in it, or none: what the first breach was, "" where there was none."""

    name: str
    seed: int
    rule: str
    what: str


def run_with_fault(fault: Fault | None, scenario: str, seed: int, grain: str) -> FaultRun:
    """Play one day. A world that breaks off has found the fault as well."""
    from wheatring.lab.play import play
    from wheatring.lab.scenario.draw import draw
    from wheatring.lab.scenario.load import load

    name = CLEAN if fault is None else fault.name
    with nullcontext() if fault is None else planted(fault):
        try:
            outcome = play(draw(load(scenario), seed), grain)
        except Exception as broken:
            if fault is None:
                raise
            return FaultRun(name, seed, "raised", f"{type(broken).__name__}: {broken}")
    first = outcome.breaches[0] if outcome.breaches else None
    return FaultRun(name, seed, first.rule, first.what) if first is not None else FaultRun(name, seed, "", "")


def hunt(
    names: Sequence[str], seeds: Sequence[int], grain: str, workers: int, say: Callable[[str], object]
) -> int:
    """Say of each fault whether and how it is found. The exit status: 0 if at most one in ten is missed and
    the code without a fault shows no breach on the seeds that were needed.
    """
    known = {fault.name: fault for fault in FAULTS if grain in fault.grains}
    for name in names:
        if name not in known:
            raise StudyError(f"{name}: no such fault at {grain}; there are {', '.join(known)}")
    wanted = [known[name] for name in dict.fromkeys(names)] or list(known.values())
    began = time.perf_counter()
    found: dict[str, FaultRun] = {}
    with ProcessPoolExecutor(workers, mp_context=multiprocessing.get_context("spawn")) as pool:
        out: dict[Future[FaultRun], int] = {}
        for fault in wanted:
            out[pool.submit(run_with_fault, fault, fault.scenario, seeds[0], grain)] = 0
        while out:
            done, _ = wait(out, return_when=FIRST_COMPLETED)
            for future in done:
                tried, seen = out.pop(future) + 1, future.result()
                if seen.rule:
                    found[seen.name] = seen
                    say(f"{seen.name}: found by seed {seen.seed}, {seen.rule}: {seen.what}")
                elif tried < len(seeds):
                    fault = known[seen.name]
                    out[pool.submit(run_with_fault, fault, fault.scenario, seeds[tried], grain)] = tried
        # A breach that is there without the fault as well has found nothing.
        needed = sorted({(known[name].scenario, seen.seed) for name, seen in found.items()})
        days = zip(*needed, strict=True) if needed else ((), ())
        clean = list(pool.map(run_with_fault, [None] * len(needed), *days, [grain] * len(needed)))
    return _verdict(wanted, found, clean, time.perf_counter() - began, say)


def _verdict(
    wanted: Sequence[Fault],
    found: dict[str, FaultRun],
    clean: list[FaultRun],
    wall: float,
    say: Callable[[str], object],
) -> int:
    for fault in wanted:
        if fault.name not in found:
            say(f"{fault.name}: NOT found: {fault.what}")
    blamed = [seen for seen in clean if seen.rule]
    for seen in blamed:
        say(f"{CLEAN}: seed {seen.seed}, {seen.rule}: {seen.what}")
    say(f"{wall:.0f} s; the code as it stands broke a rule on {len(blamed)} of {len(clean)} seeds")
    say(f"found {len(found)} of {len(wanted)}")
    enough = len(found) * 10 >= len(wanted) * 9
    return 0 if enough and not blamed else 1
