"""All that the control side is held to: exhaustive searches, walks, and faults planted in both models.

Work is shared out over processes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor

from wheatring.lab.control import storage_model, storage_planted
from wheatring.lab.control.model import Rules
from wheatring.lab.control.planted import IN_CONSENSUS, Planted, find
from wheatring.lab.control.search import BEGINNINGS, Found, exhaustive, shortest_way, walk

WALKS_A_JOB = 50
WALK_LENGTH = 500  # steps
STORAGE_WALKS_A_JOB = 100
PLANTED_WALKS = 3000
MOST_STATES = 400_000  # of one exhaustive search
THREE, FIVE = Rules(), Rules(names=("A", "B", "C", "D", "E"), losses=2)


def _search(beginning: str, depth: int) -> Found:
    return exhaustive(THREE, beginning, depth, MOST_STATES)


def _walks(rules: Rules, first_seed: int) -> Found:
    total = Found()
    for seed in range(first_seed, first_seed + WALKS_A_JOB):
        total.add(walk(rules, seed, WALK_LENGTH))
        if total.broken:
            total.way = shortest_way(total, rules)
            break
    return total


def _storage_walks(losses: int, first_seed: int) -> Found:
    total = Found()
    for seed in range(first_seed, first_seed + STORAGE_WALKS_A_JOB):
        total.add(storage_model.walk(storage_model.StorageRules(losses), seed))
        if total.broken:
            break
    return total


def _planted(number: int) -> Found:
    return find(IN_CONSENSUS[number], PLANTED_WALKS)


def _planted_in_storage(number: int) -> Found:
    return storage_planted.find(storage_planted.IN_STORAGE[number], PLANTED_WALKS)


def lines(depth: int, walks: int, jobs: int, fail: Callable[[], object]) -> Iterator[str]:
    """What the searches come to, line by line; `fail` is called for each broken invariant."""
    with ProcessPoolExecutor(jobs) as pool:
        searches = {name: pool.submit(_search, name, depth) for name in BEGINNINGS}
        seeds = range(0, walks, WALKS_A_JOB)
        storage_seeds = range(0, walks, STORAGE_WALKS_A_JOB)
        groups = {
            "walks, 3 replicas": [pool.submit(_walks, THREE, seed) for seed in seeds],
            "walks, 5 replicas": [pool.submit(_walks, FIVE, seed) for seed in seeds],
            "storage walks, 1 loss": [pool.submit(_storage_walks, 1, seed) for seed in storage_seeds],
            "storage walks, 2 losses": [pool.submit(_storage_walks, 2, seed) for seed in storage_seeds],
        }
        for name, search in searches.items():
            yield from _report(f"every order to depth {depth}, {name}", search.result(), fail)
        for name, futures in groups.items():
            total = Found()
            for future in futures:
                total.add(future.result())
            yield from _report(f"{name}: {walks}", total, fail)


def planted_lines(jobs: int, fail: Callable[[], object]) -> Iterator[str]:
    """Whether each planted fault is found; `fail` is called for each that is not."""
    with ProcessPoolExecutor(jobs) as pool:
        found = [pool.submit(_planted, number) for number in range(len(IN_CONSENSUS))]
        found += [pool.submit(_planted_in_storage, n) for n in range(len(storage_planted.IN_STORAGE))]
        every: list[Planted | storage_planted.Planted] = [*IN_CONSENSUS, *storage_planted.IN_STORAGE]
        for planted, future in zip(every, found, strict=True):
            result = future.result()
            if result.broken:
                yield f"planted: {planted.name}: found after {result.states} states: {result.broken}"
            else:
                fail()
                yield f"planted: {planted.name}: NOT FOUND in {result.states} states"


def _report(what: str, found: Found, fail: Callable[[], object]) -> Iterator[str]:
    rate = found.states / found.seconds if found.seconds else 0.0
    steps = ", ".join(f"{verb} {count}" for verb, count in found.steps.most_common())
    yield f"{what}: {found.states} states, {rate:.0f} a second; {steps}"
    if found.reached:
        yield "    reached: " + ", ".join(f"{name} {count}" for name, count in found.reached.most_common())
    if found.broken:
        fail()
        yield f"    BROKEN: {found.broken}"
        yield from (f"    {action}" for action in found.way)
