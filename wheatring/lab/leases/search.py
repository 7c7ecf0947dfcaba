"""Looks through all states of a model, and tells the shortest way to a broken rule."""

from __future__ import annotations

import time
from typing import Any, NamedTuple

from wheatring.lab.leases.model import Broken, Model


class Found(NamedTuple):
    states: int
    depth: int  # steps
    seconds: float
    whole: bool  # all of them were looked through
    story: list[str]  # the shortest way to a broken rule, and which; empty: none is broken


def search(model: Model, most: int) -> Found:
    """Breadth first, up to `most` states. States are known by a hash of 64 bits: of 10 million, two are taken
    for one with a chance of 3 in a million.
    """
    began = time.monotonic()
    first = model.start()
    seen = {hash(first.key())}
    came: dict[int, tuple[int, str]] = {}
    layer: list[tuple[int, Any]] = [(hash(first.key()), first)]
    depth = 0
    while layer:
        following = []
        for key, state in layer:
            steps = model.steps(state)
            while True:
                try:
                    what, after = next(steps)
                except StopIteration:
                    break
                except Broken as bad:
                    story = [*_way(came, key), str(bad)]
                    return Found(len(seen), depth + 1, time.monotonic() - began, False, story)
                new = hash(after.key())
                if new not in seen:
                    seen.add(new)
                    came[new] = (key, what)
                    following.append((new, after))
                if len(seen) > most:
                    return Found(len(seen), depth, time.monotonic() - began, False, [])
        layer = following
        depth += 1
    return Found(len(seen), depth, time.monotonic() - began, True, [])


def _way(came: dict[int, tuple[int, str]], key: int) -> list[str]:
    steps = []
    while key in came:
        key, what = came[key]
        steps.append(what)
    return steps[::-1]
