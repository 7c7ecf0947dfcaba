"""Searches all states of a model for the shortest trace to a broken rule."""

from __future__ import annotations

import time
from typing import Any, NamedTuple

from wheatring.lab.leases.model import Model, RuleBrokenError


class SearchResult(NamedTuple):
    """The result of a search."""

    state_count: int
    depth: int  # steps
    seconds: float
    is_complete: bool  # whether all states were searched
    trace: list[str]  # the shortest trace to a broken rule, and the rule; empty if none is broken


def search(model: Model, max_states: int) -> SearchResult:
    """Search breadth first, up to `max_states` states.

    States are identified by a 64-bit hash: among 10 million states, the chance that two collide is 3 in a
    million.
    """
    started_at = time.monotonic()
    first = model.start()
    seen = {hash(first.key())}
    predecessors: dict[int, tuple[int, str]] = {}
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
                    trace = [*_trace(predecessors, key), str(broken)]
                    return SearchResult(len(seen), depth + 1, time.monotonic() - started_at, False, trace)
                new = hash(after.key())
                if new not in seen:
                    seen.add(new)
                    predecessors[new] = (key, step)
                    following.append((new, after))
                if len(seen) > max_states:
                    return SearchResult(len(seen), depth, time.monotonic() - started_at, False, [])
        layer = following
        depth += 1
    return SearchResult(len(seen), depth, time.monotonic() - started_at, True, [])


def _trace(predecessors: dict[int, tuple[int, str]], key: int) -> list[str]:
    steps = []
    while key in predecessors:
        key, step = predecessors[key]
        steps.append(step)
    return steps[::-1]
