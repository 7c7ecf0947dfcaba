"""The bounds of one sidecar: what it holds at most, and that nothing is left over.

The world counts, for each sidecar that still runs at the end, by name. `most_sockets` is the most descriptors
that it held at any time. Every other name is something that should be gone: `jobs`, `claims`, `timers` beyond
its own periodic ones, `connections` with a request on them. A sidecar that has taken requests whose time is
not over at the end still has them, and their attempts, in hand: of that one nothing is left over.
"""

from __future__ import annotations

from collections.abc import Mapping

from wheatring.lab.plan import LimitsPlan
from wheatring.lab.rules.breaches import Breaches


def judge(
    leftovers: Mapping[str, Mapping[str, int]], limits: LimitsPlan, busy: set[str], breaches: Breaches
) -> None:
    """`busy`: the sidecars with requests whose time is not over."""
    for sidecar in sorted(leftovers):
        counts = leftovers[sidecar]
        for name in sorted(counts):
            count = counts[name]
            if name == "most_sockets":
                if count > limits.sockets:
                    what = f"{sidecar} held {count} descriptors at once, and may hold {limits.sockets}."
                    breaches.add("bounds", what, sidecar=sidecar)
            elif count and sidecar not in busy:
                what = f"{sidecar} has {count} {name} left over at the end of the day."
                breaches.add("leftover", what, sidecar=sidecar)
