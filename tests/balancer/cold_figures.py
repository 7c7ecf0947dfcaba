"""`python -m tests.balancer.cold_figures DAYS`: how many starts are sent too much, in drawn days."""

from __future__ import annotations

import sys

from tests.balancer.cold_fleet import Fleet, drawn


def main(days: int) -> None:
    words = ("copies", "days", "over", "starts", "over", "cold calls", "over", "most, of the bound", "served")
    print("|", " | ".join(words), "|")
    print("|", " | ".join("---" for _ in words), "|")
    for copies in (1, 2, 20, 30, 200):
        fleets = [Fleet(drawn(seed, copies), seed).play() for seed in range(days)]
        starts = [start for fleet in fleets for start in fleet.starts]
        asked, served = (sum(fleet.counts[what] for fleet in fleets) for what in ("asked", "served"))
        over = sum(any(start.over for start in fleet.starts) for fleet in fleets)
        values = (copies, days, over, len(starts), sum(start.over > 0 for start in starts))
        calls = (sum(start.total for start in starts), sum(start.over for start in starts))
        parts = (f"{max(start.worst for start in starts):.2f}", f"{served / asked:.3f}")
        print("|", " | ".join(map(str, (*values, *calls, *parts))), "|", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]))
