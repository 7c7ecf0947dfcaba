"""Traces as text, one action a line, which can be replayed.

A `#` starts a comment. The line `-> broken` at the end means that the trace must violate an invariant.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from wheatring.lab.model_checker.consensus_model import Model, Rules
from wheatring.lab.model_checker.exceptions import InvariantViolationError


@dataclass(frozen=True, slots=True)
class Trace:
    """Actions, and whether they are expected to violate an invariant."""

    actions: tuple[str, ...]
    expects_violation: bool = False


def parse(text: str) -> Trace:
    """Parse the text of a trace."""
    actions = []
    expects_violation = False
    for line in text.splitlines():
        action = line.partition("#")[0].strip()
        if action == "-> broken":
            expects_violation = True
        elif action:
            actions.append(action)
    return Trace(tuple(actions), expects_violation)


def play(actions: Sequence[str], rules: Rules) -> tuple[Model, str]:
    """Replay actions, skipping those that are not possible.

    Returns
    -------
    The last state, and the violated invariant, "" for none.
    """
    model = Model(rules)
    for action in actions:
        try:
            model.apply(action)
        except InvariantViolationError as violation:
            return model, str(violation)
    return model, ""


def minimize(actions: Sequence[str], rules: Rules) -> list[str]:
    """Remove actions, in ever smaller chunks, as long as an invariant is still violated."""
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
