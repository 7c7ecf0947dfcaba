"""All checks of leases: exhaustive searches, planted faults, random days and handovers.

The work is distributed over processes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from wheatring.lab.leases import days
from wheatring.lab.leases.handover import LOSS_KINDS, handover
from wheatring.lab.leases.model import Bounds, Model
from wheatring.lab.leases.planted_faults import PLANTED_FAULTS
from wheatring.lab.leases.search import SearchResult, search

BOUNDS = (
    Bounds(ticks=14, faults=1),
    Bounds(ticks=14, faults=1, proposer_drift=-0.1, acceptor_drift=0.1),
    Bounds(ticks=14, faults=1, proposer_drift=0.1, acceptor_drift=-0.1),
    Bounds(ticks=4, faults=1, proposers=3),
    Bounds(ticks=7, faults=2, proposer_drift=-0.1, acceptor_drift=0.1),
    Bounds(ticks=4, faults=2),
)
DAYS_PER_TASK = 20
HANDOVER_SEEDS = 100
MAX_SHOWN_BREACHES = 20
MAX_RELEASE_HANDOVER_SECONDS = 0.3
MAX_HANDOVER_LEASES = 1.5  # in lease lengths, if the holder is lost without a release


def _search_bounds(max_states: int, number: int) -> SearchResult:
    return search(Model(BOUNDS[number]), max_states)


def _search_planted(max_states: int, number: int) -> SearchResult:
    planted = PLANTED_FAULTS[number]
    return search(Model(planted.bounds, planted.implementation), max_states)


def _play_days(first: int, count: int) -> list[days.Day]:
    return [days.play(seed) for seed in range(first, first + count)]


def report_lines(
    days_count: int, max_states: int, processes: int, on_failure: Callable[[], object]
) -> Iterator[str]:
    """Run all checks and yield their report, line by line.

    Parameters
    ----------
    days_count : int
        Number of random days to simulate.
    max_states : int
        Maximum number of states to search in each model.
    processes : int
        Number of worker processes.
    on_failure : callable
        Called for each failed check.
    """
    with ProcessPoolExecutor(processes) as pool:
        planted = pool.map(partial(_search_planted, max_states), range(len(PLANTED_FAULTS)))
        firsts = range(1, days_count + 1, DAYS_PER_TASK)
        played = pool.map(_play_days, firsts, [DAYS_PER_TASK] * len(firsts))
        searches = pool.map(partial(_search_bounds, max_states), range(len(BOUNDS)))
        yield from _planted_lines(planted, on_failure)
        yield from _day_lines([day for batch in played for day in batch], on_failure)
        yield from _handover_lines(pool, on_failure)
        yield from _search_lines(searches, on_failure)


def _planted_lines(results: Iterator[SearchResult], on_failure: Callable[[], object]) -> Iterator[str]:
    for planted, result in zip(PLANTED_FAULTS, results, strict=True):
        if result.trace:
            yield f"found: {planted.description}; {len(result.trace) - 1} steps, {result.state_count} states"
            yield from (f"    {step}" for step in result.trace)
        else:
            on_failure()
            yield f"NOT FOUND: {planted.description}; {result.state_count} states"


def _search_lines(results: Iterator[SearchResult], on_failure: Callable[[], object]) -> Iterator[str]:
    for bounds, result in zip(BOUNDS, results, strict=True):
        extent = "all" if result.is_complete else "the first"
        size = f"{extent} {result.state_count} states, {result.depth} steps, {result.seconds:.0f} s"
        yield f"{size}: {bounds.describe()}"
        if result.trace:
            on_failure()
            yield from (f"    {step}" for step in result.trace)


def _day_lines(played: list[days.Day], on_failure: Callable[[], object]) -> Iterator[str]:
    breaches = [(day.seed, breach) for day in played for breach in day.breaches]
    seconds = days.DAY_SECONDS * len(played)
    yield (
        f"{len(played)} drawn days: {sum(day.lease_count for day in played)} terms, "
        f"{sum(day.admitted_acts for day in played)} acts let in, "
        f"{sum(day.rejected_acts for day in played)} refused, "
        f"held {sum(day.held_seconds for day in played) / max(1.0, seconds):.2f} of the time, "
        f"{len(breaches)} breaches"
    )
    for seed, breach in breaches[:MAX_SHOWN_BREACHES]:
        on_failure()
        yield f"    day {seed}, {breach}"


def _handover_lines(pool: ProcessPoolExecutor, on_failure: Callable[[], object]) -> Iterator[str]:
    for kind in LOSS_KINDS:
        measured = list(pool.map(partial(handover, kind=kind), range(1, HANDOVER_SEEDS + 1)))
        durations = sorted(each.seconds_to_next for each in measured)
        gap = min(each.gap_seconds for each in measured)
        bound = MAX_HANDOVER_LEASES * days.TIMING.lease_seconds
        if kind == "release":
            bound = MAX_RELEASE_HANDOVER_SECONDS
        if durations[-1] > bound or gap <= 0:
            on_failure()
        yield (
            f"holder lost by {kind}, {HANDOVER_SEEDS} seeds: the next after {durations[50]:.2f} s (median), "
            f"{durations[-1]:.2f} (most; {bound:g}), {gap * 1000:.0f} ms after the last term's end at least"
        )
