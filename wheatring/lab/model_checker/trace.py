"""Traces through the states as text: one action a line, which the tests and the command replay.

A line may have a comment behind `#`, and `-> broken` as the last line says that the trace has to end in a
violated invariant.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from wheatring.lab.model_checker.consensus_model import Model, Rules
from wheatring.lab.model_checker.exceptions import InvariantViolationError


@dataclass(frozen=True, slots=True)
class Trace:
    """Actions, and whether an invariant is to be violated by them."""

    actions: tuple[str, ...]
    breaks: bool = False


def parse(text: str) -> Trace:
    """Read a trace from its text."""
    actions = []
    breaks = False
    for line in text.splitlines():
        action = line.partition("#")[0].strip()
        if action == "-> broken":
            breaks = True
        elif action:
            actions.append(action)
    return Trace(tuple(actions), breaks)


def play(actions: Sequence[str], rules: Rules) -> tuple[Model, str]:
    """Take the steps that are possible.

    Returns
    -------
    The last state, and the invariant that is violated, "" for none.
    """
    model = Model(rules)
    for action in actions:
        try:
            model.apply(action)
        except InvariantViolationError as violation:
            return model, str(violation)
    return model, ""


def minimize(actions: Sequence[str], rules: Rules) -> list[str]:
    """Remove actions, many at a time at first, for as long as an invariant is still violated."""
    shortest = list(actions)
    size = max(1, len(shortest) // 2)
    while True:
        before = len(shortest)
        shortest = _without_chunks(shortest, size, rules)
        if size == 1 and len(shortest) == before:
            return shortest
        size = max(1, size // 2)


def _without_chunks(actions: list[str], size: int, rules: Rules) -> list[str]:
    """Remove each chunk of `size` actions that the violation does not need."""
    start = 0
    while start < len(actions):
        fewer = actions[:start] + actions[start + size :]
        if play(fewer, rules)[1]:
            actions = fewer
        else:
            start += size
    return actions
