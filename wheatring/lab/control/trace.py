"""Ways through the states as text: one action a line, which the tests and the command play again.

A line may hold a comment behind `#`, and `-> broken` as the last line says that the way has to end in a
broken invariant.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from wheatring.lab.control.invariants import Broken
from wheatring.lab.control.model import Model, Rules


@dataclass(frozen=True, slots=True)
class Trace:
    """Actions, and whether an invariant is to break."""

    actions: tuple[str, ...]
    breaks: bool = False


def parse(text: str) -> Trace:
    """Read a trace."""
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
    """Take the steps that are possible. Returns the last state, and what has broken ("" for nothing)."""
    model = Model(rules)
    for action in actions:
        try:
            model.apply(action)
        except Broken as broken:
            return model, str(broken)
    return model, ""


def minimize(actions: Sequence[str], rules: Rules) -> list[str]:
    """Leave out actions, many at a time at first, for as long as something still breaks."""
    shortest = list(actions)
    size = max(1, len(shortest) // 2)
    while True:
        before = len(shortest)
        shortest = _without_pieces(shortest, size, rules)
        if size == 1 and len(shortest) == before:
            return shortest
        size = max(1, size // 2)


def _without_pieces(actions: list[str], size: int, rules: Rules) -> list[str]:
    """Leave out each piece of so many actions that nothing needs to break."""
    start = 0
    while start < len(actions):
        fewer = actions[:start] + actions[start + size :]
        if play(fewer, rules)[1]:
            actions = fewer
        else:
            start += size
    return actions
