"""Faults planted in what storage replicas do, each of which a walk has to find."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wheatring.controller.commands import StartRetirement
from wheatring.lab.control.invariants import Broken
from wheatring.lab.control.search import Found
from wheatring.lab.control.storage_model import Operation, StorageModel, StorageRules, walk
from wheatring.placement.key_placement import place_key


@dataclass(frozen=True, slots=True)
class Planted:
    """A fault and what it is called."""

    name: str
    rules: StorageRules
    way: Callable[[StorageRules], Found] | None = None  # that brings it about; None where walks do


def restart_while_retiring(rules: StorageRules) -> Found:
    """One of four machines is retired; once the copies are made, two that were fenced lose power, and a
    writer that has heard of no change yet writes to them.
    """
    model = StorageModel(rules, Random(0))
    model.begin_with(4)
    key = next(f"t{n}" for n in range(100) if _is_held_by(model, f"t{n}", {"s1", "s2", "s3"}))
    writer = Operation(key, model.placement_now, True, place_key(key, model.placement_now, 1))
    StartRetirement("s1", 3).apply(model.state)
    model.decide()
    for _ in range(40):
        for store in list(model.stores.values()):
            store.placement = model.placement_now
            model.follow(store)
            model.report(store)
    for name in ("s1", "s2"):
        model.crash(model.stores[name])
        model.ask(writer, model.stores[name])
    found = Found(states=1)
    try:
        model.check_rest()
    except Broken as broken:
        found.broken = str(broken)
    return found


def _is_held_by(model: StorageModel, key: str, names: set[str]) -> bool:
    return {member.node for member in place_key(key, model.placement_now, 1).members} == names


IN_STORAGE = (
    Planted("'no such turn' from a member that is not whole", StorageRules(absent_needs_whole=False)),
    Planted("a fence that is not on disk", StorageRules(fence_is_durable=False), restart_while_retiring),
    Planted("a placement committed before its members are whole", StorageRules(change_needs_whole=False)),
    Planted("a turn acknowledged before its sync", StorageRules(acknowledged_after_sync=False)),
)


def find(planted: Planted, walks: int) -> Found:
    """Search until something breaks."""
    if planted.way is not None:
        return planted.way(planted.rules)
    total = Found()
    for seed in range(1, walks + 1):
        total.add(walk(planted.rules, seed))
        if total.broken:
            break
    return total
