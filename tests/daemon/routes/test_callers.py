"""The caller table, which a flood of names can't empty, and fair shares under overload."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.daemon.routes.pool_world import PEAK, PoolWorld
from wheatring.daemon.routes.admission import Admission, Outcome, Rejection, admit
from wheatring.daemon.routes.callers import CallerTable, max_min_level
from wheatring.daemon.routes.limit_settings import (
    AdaptiveLimitSettings,
    CallerLimitSettings,
    CallerTableSettings,
    FairShareSettings,
    PoolLimitSettings,
    RateSettings,
)
from wheatring.daemon.routes.limiters import PoolLimiter

HUNDREDTHS = st.integers(0, 10_000).map(lambda number: number / 100)


@given(st.lists(st.tuples(HUNDREDTHS, st.floats(0.1, 10)), max_size=12), st.floats(0, 500))
def test_the_fair_level_matches_a_bisection(demands: list[tuple[float, float]], supply: float) -> None:
    level = max_min_level(list(demands), supply)
    if sum(demand for demand, _ in demands) <= supply:
        return
    low, high = 0.0, 1e4  # bisection
    for _ in range(100):
        middle = (low + high) / 2
        if sum(min(demand, weight * middle) for demand, weight in demands) > supply:
            high = middle
        else:
            low = middle
    assert level == pytest.approx(low, rel=1e-6, abs=1e-6)


def test_a_flood_of_ten_thousand_names_evicts_no_known_caller() -> None:
    limiter = PoolLimiter(
        PoolLimitSettings(
            caller=CallerLimitSettings(in_flight=50, rate=RateSettings(10, 20)),
            table=CallerTableSettings(known=100, strangers=50),
        ),
        0.0,
        Random(1),
    )
    callers = limiter.callers
    assert callers is not None
    admissions = []
    for step in range(30):  # 90 known callers, ten requests per second each
        for number in range(90):
            decision = admit(0.1 * step, None, limiter, f"regular-{number}", "c")
            assert isinstance(decision, Admission)
            admissions.append(decision)
    for admission in admissions[:-90]:
        admission.finish(3.0, Outcome.SERVED)
    assert len(callers.known) == 90
    before = {name: caller.theoretical_arrival for name, caller in callers.known.items()}
    for number in range(10_000):
        decision = admit(3.0 + number * 1e-4, None, limiter, f"name-{number}", "c")
        if isinstance(decision, Admission):
            decision.finish(3.0 + number * 1e-4, Outcome.SERVED)
        assert len(callers.known) <= 100 and len(callers.known) + len(callers.strangers) <= 150
    # The buckets and the requests in flight of known callers are unchanged.
    assert {name: caller.theoretical_arrival for name, caller in callers.known.items()} == before
    assert all(caller.in_flight == 1 for caller in callers.known.values())
    admitted = sum(
        isinstance(admit(4.0 + number * 1e-4, None, limiter, "one", "c"), Admission)
        for number in range(10_000)
    )
    assert admitted == 20 + 9  # the burst, and the rate for a second


def test_a_caller_with_requests_in_flight_keeps_its_entry() -> None:
    limiter = PoolLimiter(
        PoolLimitSettings(
            caller=CallerLimitSettings(in_flight=1), table=CallerTableSettings(known=1, strangers=3)
        ),
        0.0,
        Random(1),
    )
    decisions = [admit(0.0, None, limiter, name, "c") for name in "abc"]
    for number in range(100):
        decision = admit(0.0, None, limiter, f"name-{number}", "c")
        assert isinstance(decision, Admission)
        decision.finish(0.0, Outcome.SERVED)
    assert isinstance(admit(0.0, None, limiter, "a", "c"), Rejection)
    # Once every entry has a request in flight, other callers share one entry and its limit.
    assert isinstance(admit(0.0, None, limiter, "d", "c"), Admission)
    assert [isinstance(admit(0.0, None, limiter, name, "c"), Admission) for name in "ef"] == [True, False]
    assert limiter.callers is not None and len(limiter.callers.strangers) == len(decisions) + 1


def success_rate(limits: PoolLimitSettings, seed: int, load: float, noise: list[tuple[str, float]]) -> float:
    """Return the share of ten callers' requests that is served while others add load."""
    world = PoolWorld(limits, seed=seed)
    start = world.time.now()
    for number in range(10):
        world.arrive(load * PEAK / 10, f"regular-{number}", "c", str(seed), start + 16)
    world.run(start + 3)
    for caller, rate in noise:
        world.arrive(rate, caller, "c", str(seed), start + 16)
    world.run(start + 17)
    request_count = sum(n for (caller, _), n in world.requested.items() if caller.startswith("regular"))
    return sum(n for (caller, _), n in world.served.items() if caller.startswith("regular")) / request_count


@pytest.mark.parametrize(
    ("limits", "max_loss"),
    [
        (PoolLimitSettings(in_flight=24, shares=FairShareSettings()), 0.02),
        (
            PoolLimitSettings(adaptive=AdaptiveLimitSettings(), shares=FairShareSettings()),
            0.03,
        ),  # includes its first probe
    ],
)
def test_a_caller_at_twenty_times_its_share_barely_affects_the_others(
    limits: PoolLimitSettings, max_loss: float
) -> None:
    noise = [("noisy", 20 * PEAK / 11)]
    losses = [success_rate(limits, seed, 0.5, []) - success_rate(limits, seed, 0.5, noise) for seed in (1, 2)]
    assert sum(losses) / 2 < max_loss
    without_shares = PoolLimitSettings(in_flight=24)
    assert success_rate(without_shares, 1, 0.5, []) - success_rate(without_shares, 1, 0.5, noise) > 0.3


def test_a_flood_of_names_barely_affects_known_callers() -> None:
    limits = PoolLimitSettings(
        in_flight=24, shares=FairShareSettings(), table=CallerTableSettings(known=50, strangers=50)
    )
    noise = [(f"name-{number}", PEAK / 200) for number in range(400)]  # together twice the pool's capacity
    assert success_rate(limits, 1, 0.5, []) - success_rate(limits, 1, 0.5, noise) < 0.03


def test_shares_follow_the_weights_under_overload_and_limit_nobody_otherwise() -> None:
    def served(load: float) -> list[int]:
        world = PoolWorld(PoolLimitSettings(in_flight=24, shares=FairShareSettings(weight={"two": 2.0})))
        until = world.time.now() + 20
        for caller in ("one", "two"):
            world.arrive(load * PEAK, caller, "c", "s", until)
        world.run(until + 1)
        assert load > 1 or not world.rejection_reasons["pool-share"]
        return [world.count(world.served, caller=caller) for caller in ("one", "two")]

    one, two = served(3.0)
    assert two / one == pytest.approx(2.0, rel=0.1)
    one, two = served(0.35)
    assert two / one == pytest.approx(1.0, rel=0.1)


def test_the_table_never_exceeds_its_configured_size() -> None:
    random, callers = (
        Random(3),
        CallerTable(CallerTableSettings(known=5, strangers=5, prove=0.0, keep=1.0), None, 0.0),
    )
    now = 0.0
    for _ in range(5000):
        now += random.expovariate(20)
        name = f"{int(random.paretovariate(0.5))}"
        caller = callers.record_request(name, now)
        callers.record_admission(caller, name, now)
        if random.random() < 0.9:
            caller.finish_request(name)
        assert len(callers.known) <= 5 and len(callers.known) + len(callers.strangers) <= 10
