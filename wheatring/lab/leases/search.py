"""Searches all states of a model, and returns the shortest trace to a broken rule."""

from __future__ import annotations

import time
from typing import Any, NamedTuple

from wheatring.lab.leases.model import Model, RuleBrokenError


class SearchResult(NamedTuple):
    """What a search has found."""

    state_count: int
    depth: int  # steps
    seconds: float
    is_complete: bool  # all states were searched
    trace: list[str]  # the shortest trace to a broken rule, and which; empty: none is broken


def search(model: Model, max_states: int) -> SearchResult:
    """Search breadth first, up to `max_states` states.

    States are known by a hash of 64 bits: of 10 million, two are taken for one with a chance of 3 in a
    million.
    """
    began = time.monotonic()
    first = model.start()
    seen = {hash(first.key())}
    came_from: dict[int, tuple[int, str]] = {}
    layer: list[tuple[int, Any]] = [(hash(first.key()), first)]
    depth = 0
    while layer:
        following = []
        for key, state in layer:
            steps = model.steps(state)
            while True:
                try:
                    step, after = next(steps)
                except StopIteration:
                    break
                except RuleBrokenError as broken:
                    trace = [*_trace(came_from, key), str(broken)]
                    return SearchResult(len(seen), depth + 1, time.monotonic() - began, False, trace)
                new = hash(after.key())
                if new not in seen:
                    seen.add(new)
                    came_from[new] = (key, step)
                    following.append((new, after))
                if len(seen) > max_states:
                    return SearchResult(len(seen), depth, time.monotonic() - began, False, [])
        layer = following
        depth += 1
    return SearchResult(len(seen), depth, time.monotonic() - began, True, [])


def _trace(came_from: dict[int, tuple[int, str]], key: int) -> list[str]:
    steps = []
    while key in came_from:
        key, step = came_from[key]
        steps.append(step)
    return steps[::-1]
