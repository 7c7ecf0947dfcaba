"""Mutants of the storage replicas: planted faults that a walk or a scenario must find."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wheatring.lab.model_checker.exceptions import InvariantViolationError
from wheatring.lab.model_checker.search import SearchResult
from wheatring.lab.model_checker.storage_model import Operation, StorageModel, StorageRules, random_walk
from wheatring.tier.controller.commands import StartRetirement
from wheatring.tier.placement.key_placement import place_key


@dataclass(frozen=True, slots=True)
class Mutant:
    """A planted fault, the rules that enable it, and the scenario that shows it."""

    name: str
    rules: StorageRules
    scenario: Callable[[StorageRules], SearchResult] | None = None  # None if random walks find it


def restart_during_retirement(rules: StorageRules) -> SearchResult:
    """Restart fenced machines while another one is retired.

    One of four machines is retired. Once its records are copied, two of the fenced machines are restarted,
    and a writer that still knows the old placement writes to them.
    """
    model = StorageModel(rules, Random(0))
    model.reset(4)
    key = next(f"t{n}" for n in range(100) if _is_placed_on(model, f"t{n}", {"s1", "s2", "s3"}))
    writer = Operation(key, model.newest_placement, True, place_key(key, model.newest_placement, 1))
    StartRetirement("s1", 3).apply(model.state)
    model.decide()
    for _ in range(40):
        for store in list(model.stores.values()):
            store.placement = model.newest_placement
            model.repair(store)
            model.report(store)
    for name in ("s1", "s2"):
        model.crash(model.stores[name])
        model.deliver_request(writer, model.stores[name])
    result = SearchResult(states=1)
    try:
        model.check_recovery()
    except InvariantViolationError as violation:
        result.violation = str(violation)
    return result


def _is_placed_on(model: StorageModel, key: str, names: set[str]) -> bool:
    return {member.node for member in place_key(key, model.newest_placement, 1).members} == names


STORAGE_MUTANTS = (
    Mutant("'no such turn' from an incomplete member", StorageRules(absence_needs_quorum=False)),
    Mutant("a fence that is not on disk", StorageRules(fence_is_durable=False), restart_during_retirement),
    Mutant(
        "a placement committed before its members are complete",
        StorageRules(change_needs_complete_members=False),
    ),
    Mutant("a turn acknowledged before its sync", StorageRules(acknowledged_after_sync=False)),
)


def find_violation(mutant: Mutant, walks: int) -> SearchResult:
    """Run the mutant's scenario, or up to `walks` random walks, until an invariant is violated."""
    if mutant.scenario is not None:
        return mutant.scenario(mutant.rules)
    result = SearchResult()
    for seed in range(1, walks + 1):
        result.add(random_walk(mutant.rules, seed))
        if result.violation:
            break
    return result
