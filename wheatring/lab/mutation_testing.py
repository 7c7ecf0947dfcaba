"""Mutation testing: runs each planted fault with one seed after another until a rule is breached."""

from __future__ import annotations

import multiprocessing
import time
from collections.abc import Callable, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from contextlib import nullcontext
from typing import NamedTuple

from wheatring.lab.planted_faults import FAULTS, Fault, planted
from wheatring.lab.study import StudyError

CLEAN = "nothing planted"


class FaultRun(NamedTuple):
    """Result of one run with or without a planted fault: its first breach, "" if there was none."""

    name: str
    seed: int
    rule: str
    what: str


def run_with_fault(fault: Fault | None, scenario: str, seed: int, grain: str) -> FaultRun:
    """Play one day with a planted fault. An exception raised by the world counts as detection."""
    from wheatring.lab.play import play
    from wheatring.lab.scenario.load import load
    from wheatring.lab.scenario.plan_builder import draw

    name = CLEAN if fault is None else fault.name
    with nullcontext() if fault is None else planted(fault):
        try:
            outcome = play(draw(load(scenario), seed), grain)
        except Exception as error:
            if fault is None:
                raise
            return FaultRun(name, seed, "raised", f"{type(error).__name__}: {error}")
    first = outcome.breaches[0] if outcome.breaches else None
    return FaultRun(name, seed, first.rule, first.what) if first is not None else FaultRun(name, seed, "", "")


def run_mutation_tests(
    names: Sequence[str], seeds: Sequence[int], grain: str, workers: int, say: Callable[[str], object]
) -> int:
    """Run the mutation tests in parallel, and report each result with `say`.

    Parameters
    ----------
    names
        The names of the faults; if empty, all faults of the grain.
    seeds
        The seeds to try for each fault, in this order.
    grain
        The grain of the runs, `wire` or `exchange`.
    workers
        The number of worker processes.
    say
        Prints one line.

    Returns
    -------
    int
        The exit status: 0 if every fault was detected, and the unmodified code has no breach on the detecting
        seeds.

    Raises
    ------
    StudyError
        If there is no fault of a given name at this grain.
    """
    known = {fault.name: fault for fault in FAULTS if grain in fault.grains}
    for name in names:
        if name not in known:
            raise StudyError(f"{name}: no such fault at {grain}; there are {', '.join(known)}")
    wanted = [known[name] for name in dict.fromkeys(names)] or list(known.values())
    started_at = time.perf_counter()
    with ProcessPoolExecutor(workers, mp_context=multiprocessing.get_context("spawn")) as pool:
        found = _search(pool, wanted, seeds, grain, say)
        clean = _run_clean(pool, known, found, grain)
    return _verdict(wanted, found, clean, time.perf_counter() - started_at, say)


def _search(
    pool: ProcessPoolExecutor,
    wanted: Sequence[Fault],
    seeds: Sequence[int],
    grain: str,
    say: Callable[[str], object],
) -> dict[str, FaultRun]:
    """Run each fault with one seed after another until it is detected. Return the detecting runs by name."""
    by_name = {fault.name: fault for fault in wanted}
    found: dict[str, FaultRun] = {}
    running: dict[Future[FaultRun], int] = {}  # number of seeds tried before, by run
    for fault in wanted:
        running[pool.submit(run_with_fault, fault, fault.scenario, seeds[0], grain)] = 0
    while running:
        done, _ = wait(running, return_when=FIRST_COMPLETED)
        for future in done:
            tried, run = running.pop(future) + 1, future.result()
            if run.rule:
                found[run.name] = run
                say(f"{run.name}: found by seed {run.seed}, {run.rule}: {run.what}")
            elif tried < len(seeds):
                fault = by_name[run.name]
                running[pool.submit(run_with_fault, fault, fault.scenario, seeds[tried], grain)] = tried
    return found


def _run_clean(
    pool: ProcessPoolExecutor, known: dict[str, Fault], found: dict[str, FaultRun], grain: str
) -> list[FaultRun]:
    """Run the detecting days without a fault; a breach there means that the fault was not the cause."""
    detecting_days = sorted({(known[name].scenario, run.seed) for name, run in found.items()})
    days = zip(*detecting_days, strict=True) if detecting_days else ((), ())
    return list(pool.map(run_with_fault, [None] * len(detecting_days), *days, [grain] * len(detecting_days)))


def _verdict(
    wanted: Sequence[Fault],
    found: dict[str, FaultRun],
    clean: list[FaultRun],
    wall_seconds: float,
    say: Callable[[str], object],
) -> int:
    for fault in wanted:
        if fault.name not in found:
            say(f"{fault.name}: NOT found: {fault.what}")
    breached = [run for run in clean if run.rule]
    for run in breached:
        say(f"{CLEAN}: seed {run.seed}, {run.rule}: {run.what}")
    say(f"{wall_seconds:.0f} s; the unmodified code breached a rule on {len(breached)} of {len(clean)} seeds")
    say(f"found {len(found)} of {len(wanted)}")
    return 0 if len(found) == len(wanted) and not breached else 1
