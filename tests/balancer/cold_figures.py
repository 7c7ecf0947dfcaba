"""`python -m tests.balancer.cold_figures CASES` prints how often cold endpoints exceed their budget."""

from __future__ import annotations

import sys

from tests.balancer.cold_fleet import Fleet, random_case


def main(cases: int) -> None:
    headings = (
        "balancers",
        "cases",
        "over",
        "starts",
        "over",
        "cold attempts",
        "over",
        "peak/bound",
        "served",
    )
    print("|", " | ".join(headings), "|")
    print("|", " | ".join("---" for _ in headings), "|")
    for balancers in (1, 2, 20, 30, 200):
        fleets = [Fleet(random_case(seed, balancers), seed).run() for seed in range(cases)]
        starts = [start for fleet in fleets for start in fleet.cold_starts]
        requests, served = (sum(fleet.counts[what] for fleet in fleets) for what in ("requests", "served"))
        cases_over = sum(any(start.attempts_over_bound for start in fleet.cold_starts) for fleet in fleets)
        values = (
            balancers,
            cases,
            cases_over,
            len(starts),
            sum(start.attempts_over_bound > 0 for start in starts),
        )
        attempts = (
            sum(start.attempts for start in starts),
            sum(start.attempts_over_bound for start in starts),
        )
        ratios = (f"{max(start.peak for start in starts):.2f}", f"{served / requests:.3f}")
        print("|", " | ".join(map(str, (*values, *attempts, *ratios))), "|", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]))
