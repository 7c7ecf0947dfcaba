"""Measures the cost of limits: `python -m tests.daemon.routes.measure_limits`.

Absolute figures depend on the machine; the ratios are comparable between machines.
"""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from random import Random
from time import perf_counter

from wheatring.daemon.routes.admission import Admission, Outcome, admit
from wheatring.daemon.routes.callers import CallerTable
from wheatring.daemon.routes.limit_settings import (
    AdaptiveLimitSettings,
    AttemptLimitSettings,
    CallerLimitSettings,
    CallerTableSettings,
    ClassPriority,
    FairShareSettings,
    PoolLimitSettings,
    RateSettings,
    RouteLimitSettings,
    TierSettings,
)  # fmt: skip
from wheatring.daemon.routes.limiters import PoolLimiter, RouteLimiter
from wheatring.daemon.routes.tiers import Capacity, TierSelector

COUNT = 20_000
NAMES = [f"caller-{number}" for number in range(1000)]


def microseconds(call: Callable[[], object], count: int = COUNT) -> float:
    """Return the microseconds for one of `count` operations: the minimum of five runs."""
    durations = []
    for _ in range(5):
        start = perf_counter()
        call()
        durations.append(perf_counter() - start)
    return min(durations) / count * 1e6


def look_up() -> None:
    table = dict.fromkeys(NAMES, 1)
    for number in range(COUNT):
        table[NAMES[number % 1000]]


def decisions(
    limits: PoolLimitSettings, route: RouteLimitSettings | None, in_flight: int
) -> Callable[[], None]:
    """Admit and finish ten thousand requests per second with `in_flight` others in flight."""
    pool, now = PoolLimiter(limits, 0.0, Random(1)), [0.0]
    limiter = None if route is None else RouteLimiter(route, 0.0)
    admissions: list[Admission] = []
    for number in range(in_flight):
        decision = admit(0.0, limiter, pool, NAMES[number], "menu-view")
        if isinstance(decision, Admission):
            admissions.append(decision)

    def run() -> None:
        for number in range(COUNT):
            now[0] += 1e-4
            decision = admit(now[0], limiter, pool, NAMES[number % 1000], "menu-view")
            if isinstance(decision, Admission):
                decision.start_attempt(now[0])
                decision.finish_attempt()
                decision.finish(now[0], Outcome.SERVED)

    return run


def main() -> None:
    priorities = (ClassPriority("menu-view", fill=0.8, floor=0.05), ClassPriority("place-order", floor=0.05))
    all_limits = PoolLimitSettings(
        in_flight=500, rate=RateSettings(1e6, 1000), caller=CallerLimitSettings(50, RateSettings(1e4, 100)),
        shares=FairShareSettings(),
        worth=priorities, adaptive=AdaptiveLimitSettings(start=500), claims=AttemptLimitSettings(600, 50),
    )  # fmt: skip
    route_limits = RouteLimitSettings(
        400, RateSettings(1e6, 1000), CallerLimitSettings(50, RateSettings(1e4, 100))
    )
    lookup_cost = microseconds(look_up)
    print(f"dict lookup                          {lookup_cost:8.3f} us")
    for name, limits, route, in_flight in (
        ("admit and finish, in_flight only", PoolLimitSettings(in_flight=500), None, 0),
        ("the same with all limits", all_limits, route_limits, 0),
        ("rejection, full pool", PoolLimitSettings(in_flight=50), None, 50),
        (
            "rejection with all limits, full pool",
            PoolLimitSettings(in_flight=50, shares=FairShareSettings()),
            route_limits,
            50,
        ),
    ):
        cost = microseconds(decisions(limits, route, in_flight))
        print(f"{name:36s} {cost:8.3f} us {cost / lookup_cost:6.0f} lookups")
    tiers = TierSelector(2, TierSettings())
    tiers.update(0.0, (Capacity(4, 10), Capacity(10, 10)))
    cost = microseconds(lambda: [tiers.pick(0.0) for _ in range(COUNT)])
    print(f"{'choice of a tier':36s} {cost:8.3f} us {cost / lookup_cost:6.0f} lookups")

    names = [f"10.{number >> 8}.{number & 255}.7" for number in range(10_000)]
    tracemalloc.start()
    callers = CallerTable(CallerTableSettings(known=10_000, strangers=1), None, 0.0)
    before = tracemalloc.get_traced_memory()[0]
    for name in names:
        callers.record_admission(callers.record_request(name, 1.0), name, 1.0)
    bytes_per_caller = (tracemalloc.get_traced_memory()[0] - before) / len(names)
    print(f"{'memory per caller without its name':36s} {bytes_per_caller:8.0f} B")
    tracemalloc.stop()
    for _ in range(3):
        for name in names[:1000]:
            callers.record_admission(callers.record_request(name, 10.0), name, 10.0)
    cost = microseconds(lambda: callers._compute_level(10.0), 1)
    print(f"{'fair level of 1000 callers':36s} {cost:8.0f} us, ten times a second under overload")


if __name__ == "__main__":
    main()
