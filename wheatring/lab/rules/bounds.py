"""Resource bounds of a sidecar: the limit on its descriptors, and no leftovers at the end of the day.

For each sidecar still running at the end, the world reports counts by name. `most_sockets` is the peak number
of open descriptors. Every other name counts something that should have been released: `jobs`, `claims`,
`timers` other than the periodic ones, `connections` that carry a request. A sidecar with requests whose
deadline and grace have not passed by the end is exempt, because these requests and their attempts are still
in flight.
"""

from __future__ import annotations

from collections.abc import Mapping

from wheatring.lab.plan import LimitsPlan
from wheatring.lab.rules.breaches import Breaches


def check_bounds(
    leftovers: Mapping[str, Mapping[str, int]], limits: LimitsPlan, busy: set[str], breaches: Breaches
) -> None:
    """Check the reported counts; `busy` are the sidecars with requests that may still be in flight."""
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
