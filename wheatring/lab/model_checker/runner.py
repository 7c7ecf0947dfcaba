"""The complete check of the control plane: exhaustive searches, random walks, and mutants of both models.

The work is distributed over processes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor

from wheatring.lab.model_checker import storage_model, storage_mutants
from wheatring.lab.model_checker.consensus_model import Rules
from wheatring.lab.model_checker.consensus_mutants import CONSENSUS_MUTANTS, Mutant, find_violation
from wheatring.lab.model_checker.search import (
    START_STATES,
    SearchResult,
    random_walk,
    search_exhaustively,
    shortest_trace,
)

WALKS_PER_TASK = 50
WALK_LENGTH = 500  # steps
STORAGE_WALKS_PER_TASK = 100
MAX_MUTANT_WALKS = 3000
MAX_STATES = 400_000  # per exhaustive search
THREE_REPLICAS, FIVE_REPLICAS = Rules(), Rules(names=("A", "B", "C", "D", "E"), losses=2)


def _search(start: str, depth: int) -> SearchResult:
    return search_exhaustively(THREE_REPLICAS, start, depth, MAX_STATES)


def _walks(rules: Rules, first_seed: int) -> SearchResult:
    total = SearchResult()
    for seed in range(first_seed, first_seed + WALKS_PER_TASK):
        total.add(random_walk(rules, seed, WALK_LENGTH))
        if total.violation:
            total.trace = shortest_trace(total, rules)
            break
    return total


def _storage_walks(losses: int, first_seed: int) -> SearchResult:
    total = SearchResult()
    for seed in range(first_seed, first_seed + STORAGE_WALKS_PER_TASK):
        total.add(storage_model.random_walk(storage_model.StorageRules(losses), seed))
        if total.violation:
            break
    return total


def _find_consensus_mutant(number: int) -> SearchResult:
    return find_violation(CONSENSUS_MUTANTS[number], MAX_MUTANT_WALKS)


def _find_storage_mutant(number: int) -> SearchResult:
    return storage_mutants.find_violation(storage_mutants.STORAGE_MUTANTS[number], MAX_MUTANT_WALKS)


def search_lines(depth: int, walks: int, processes: int, fail: Callable[[], object]) -> Iterator[str]:
    """Search for violated invariants, and yield the results line by line.

    Parameters
    ----------
    depth
        The depth of the exhaustive searches, in steps.
    walks
        The number of random walks of each kind.
    processes
        The number of worker processes.
    fail
        Called for each violated invariant.
    """
    with ProcessPoolExecutor(processes) as pool:
        searches = {name: pool.submit(_search, name, depth) for name in START_STATES}
        seeds = range(0, walks, WALKS_PER_TASK)
        storage_seeds = range(0, walks, STORAGE_WALKS_PER_TASK)
        groups = {
            "walks, 3 replicas": [pool.submit(_walks, THREE_REPLICAS, seed) for seed in seeds],
            "walks, 5 replicas": [pool.submit(_walks, FIVE_REPLICAS, seed) for seed in seeds],
            "storage walks, 1 loss": [pool.submit(_storage_walks, 1, seed) for seed in storage_seeds],
            "storage walks, 2 losses": [pool.submit(_storage_walks, 2, seed) for seed in storage_seeds],
        }
        for name, search in searches.items():
            yield from _report(f"every order to depth {depth}, {name}", search.result(), fail)
        for name, futures in groups.items():
            total = SearchResult()
            for future in futures:
                total.add(future.result())
            yield from _report(f"{name}: {walks}", total, fail)


def mutant_lines(processes: int, fail: Callable[[], object]) -> Iterator[str]:
    """Yield, line by line, whether each mutant is found.

    Parameters
    ----------
    processes
        The number of worker processes.
    fail
        Called for each mutant that is not found.
    """
    with ProcessPoolExecutor(processes) as pool:
        results = [pool.submit(_find_consensus_mutant, number) for number in range(len(CONSENSUS_MUTANTS))]
        results += [pool.submit(_find_storage_mutant, n) for n in range(len(storage_mutants.STORAGE_MUTANTS))]
        mutants: list[Mutant | storage_mutants.Mutant] = [
            *CONSENSUS_MUTANTS,
            *storage_mutants.STORAGE_MUTANTS,
        ]
        for mutant, future in zip(mutants, results, strict=True):
            result = future.result()
            if result.violation:
                yield f"planted: {mutant.name}: found after {result.states} states: {result.violation}"
            else:
                fail()
                yield f"planted: {mutant.name}: NOT FOUND in {result.states} states"


def _report(title: str, result: SearchResult, fail: Callable[[], object]) -> Iterator[str]:
    rate = result.states / result.seconds if result.seconds else 0.0
    steps = ", ".join(f"{verb} {count}" for verb, count in result.steps.most_common())
    yield f"{title}: {result.states} states, {rate:.0f} a second; {steps}"
    if result.reached:
        yield "    reached: " + ", ".join(f"{name} {count}" for name, count in result.reached.most_common())
    if result.violation:
        fail()
        yield f"    BROKEN: {result.violation}"
        yield from (f"    {action}" for action in result.trace)
