"""All that the deciders of terms are held to: orders of events, planted faults, drawn days, handovers.

Work is shared out over processes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from wheatring.lab.leases import days
from wheatring.lab.leases.handover import HOWS, handover
from wheatring.lab.leases.model import Bounds, Model
from wheatring.lab.leases.planted import PLANTED
from wheatring.lab.leases.search import Found, search

WITHIN = (
    Bounds(ticks=14, faults=1),
    Bounds(ticks=14, faults=1, claimants_fast=-0.1, voters_fast=0.1),
    Bounds(ticks=14, faults=1, claimants_fast=0.1, voters_fast=-0.1),
    Bounds(ticks=4, faults=1, claimants=3),
    Bounds(ticks=7, faults=2, claimants_fast=-0.1, voters_fast=0.1),
    Bounds(ticks=4, faults=2),
)
EACH = 20  # days that a process plays in one go


def _within(most: int, number: int) -> Found:
    return search(Model(WITHIN[number]), most)


def _planted(most: int, number: int) -> Found:
    planted = PLANTED[number]
    return search(Model(planted.bounds, planted.makes), most)


def _days(first: int, count: int) -> list[days.Day]:
    return [days.play(seed) for seed in range(first, first + count)]


def lines(drawn: int, most: int, jobs: int, fail: Callable[[], object]) -> Iterator[str]:
    """What is found, line by line; `fail` is called for each thing that is not as it has to be."""
    with ProcessPoolExecutor(jobs) as pool:
        planted = pool.map(partial(_planted, most), range(len(PLANTED)))
        played = pool.map(_days, range(1, drawn + 1, EACH), [EACH] * len(range(1, drawn + 1, EACH)))
        within = pool.map(partial(_within, most), range(len(WITHIN)))
        for one, found in zip(PLANTED, planted, strict=True):
            if found.story:
                yield f"found: {one.what}; {len(found.story) - 1} steps, {found.states} states"
                yield from (f"    {step}" for step in found.story)
            else:
                fail()
                yield f"NOT FOUND: {one.what}; {found.states} states"
        yield from _judged([day for part in played for day in part], fail)
        yield from _handovers(pool, fail)
        for bounds, found in zip(WITHIN, within, strict=True):
            whole = "all" if found.whole else "the first"
            size = f"{whole} {found.states} states, {found.depth} steps, {found.seconds:.0f} s"
            yield f"{size}: {bounds.shown()}"
            if found.story:
                fail()
                yield from (f"    {step}" for step in found.story)


def _judged(played: list[days.Day], fail: Callable[[], object]) -> Iterator[str]:
    breaches = [(day.seed, breach) for day in played for breach in day.breaches]
    seconds = days.LENGTH * len(played)
    yield (
        f"{len(played)} drawn days: {sum(day.terms for day in played)} terms, "
        f"{sum(day.acts for day in played)} acts let in, {sum(day.refused for day in played)} refused, "
        f"held {sum(day.held for day in played) / max(1.0, seconds):.2f} of the time, "
        f"{len(breaches)} breaches"
    )
    for seed, breach in breaches[:20]:
        fail()
        yield f"    day {seed}, {breach}"


def _handovers(pool: ProcessPoolExecutor, fail: Callable[[], object]) -> Iterator[str]:
    term = days.TERMS.lease_seconds
    for how in HOWS:
        found = list(pool.map(partial(handover, how=how), range(1, 101)))
        took, apart = sorted(each[0] for each in found), min(each[1] for each in found)
        bound = 0.3 if how == "release" else 1.5 * term
        if took[-1] > bound or apart <= 0:
            fail()
        yield (
            f"holder lost by {how}, 100 seeds: the next after {took[50]:.2f} s (median), {took[-1]:.2f} "
            f"(most; {bound:g}), {apart * 1000:.0f} ms after the last term's end at least"
        )
