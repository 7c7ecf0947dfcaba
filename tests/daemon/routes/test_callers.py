"""Callers: a bounded table that a crowd of names can't empty, and shares that are fair under pressure."""

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
def test_the_fair_level_fills_all_wants_alike(wants: list[tuple[float, float]], there: float) -> None:
    found = max_min_level(list(wants), there)
    if sum(want for want, _ in wants) <= there:
        return
    low, high = 0.0, 1e4  # the slow way: halve until it fits
    for _ in range(100):
        middle = (low + high) / 2
        if sum(min(want, weight * middle) for want, weight in wants) > there:
            high = middle
        else:
            low = middle
    assert found == pytest.approx(low, rel=1e-6, abs=1e-6)


def test_ten_thousand_names_push_out_nobody_who_has_proved_to_come() -> None:
    gate = PoolLimiter(
        PoolLimitSettings(
            caller=CallerLimitSettings(in_flight=50, rate=RateSettings(10, 20)),
            table=CallerTableSettings(known=100, strangers=50),
        ),
        0.0,
        Random(1),
    )
    callers = gate.callers
    assert callers is not None
    jobs = []
    for step in range(30):  # 90 honest ones, ten times a second each
        for number in range(90):
            said = admit(0.1 * step, None, gate, f"honest-{number}", "c")
            assert isinstance(said, Admission)
            jobs.append(said)
    for job in jobs[:-90]:
        job.finish(3.0, Outcome.SERVED)
    assert len(callers.known) == 90
    before = {name: caller.theoretical_arrival for name, caller in callers.known.items()}
    for number in range(10_000):
        said = admit(3.0 + number * 1e-4, None, gate, f"name-{number}", "c")
        if isinstance(said, Admission):
            said.finish(3.0 + number * 1e-4, Outcome.SERVED)
        assert len(callers.known) <= 100 and len(callers.known) + len(callers.strangers) <= 150
    # Nothing of the honest is lost: their buckets and their jobs in flight are those from before.
    assert {name: caller.theoretical_arrival for name, caller in callers.known.items()} == before
    assert all(caller.in_flight == 1 for caller in callers.known.values())
    taken = sum(
        isinstance(admit(4.0 + number * 1e-4, None, gate, "one", "c"), Admission) for number in range(10_000)
    )
    assert taken == 20 + 9  # its burst, and its rate for a second


def test_a_name_with_requests_in_flight_keeps_its_entry() -> None:
    gate = PoolLimiter(
        PoolLimitSettings(
            caller=CallerLimitSettings(in_flight=1), table=CallerTableSettings(known=1, strangers=3)
        ),
        0.0,
        Random(1),
    )
    held = [admit(0.0, None, gate, name, "c") for name in "abc"]
    for number in range(100):
        said = admit(0.0, None, gate, f"name-{number}", "c")
        assert isinstance(said, Admission)
        said.finish(0.0, Outcome.SERVED)
    assert isinstance(admit(0.0, None, gate, "a", "c"), Rejection)
    # Once every entry has a job out, the rest share one: the bound holds, for less.
    assert isinstance(admit(0.0, None, gate, "d", "c"), Admission)
    assert [isinstance(admit(0.0, None, gate, name, "c"), Admission) for name in "ef"] == [True, False]
    assert gate.callers is not None and len(gate.callers.strangers) == len(held) + 1


def honest_part(limits: PoolLimitSettings, seed: int, load: float, noise: list[tuple[str, float]]) -> float:
    """Return the share of ten callers' requests that is served while others come on top."""
    world = PoolWorld(limits, seed=seed)
    start = world.time.now()
    for number in range(10):
        world.arrive(load * PEAK / 10, f"honest-{number}", "c", str(seed), start + 16)
    world.run(start + 3)
    for caller, rate in noise:
        world.arrive(rate, caller, "c", str(seed), start + 16)
    world.run(start + 17)
    asked = sum(n for (caller, _), n in world.asked.items() if caller.startswith("honest"))
    return sum(n for (caller, _), n in world.served.items() if caller.startswith("honest")) / asked


@pytest.mark.parametrize(
    ("limits", "max_loss"),
    [
        (PoolLimitSettings(in_flight=24, shares=FairShareSettings()), 0.02),
        (
            PoolLimitSettings(adaptive=AdaptiveLimitSettings(), shares=FairShareSettings()),
            0.03,
        ),  # its first probe falls into these seconds
    ],
)
def test_a_caller_at_twenty_times_its_share_costs_the_others_little(
    limits: PoolLimitSettings, max_loss: float
) -> None:
    noise = [("noisy", 20 * PEAK / 11)]
    lost = [honest_part(limits, seed, 0.5, []) - honest_part(limits, seed, 0.5, noise) for seed in (1, 2)]
    assert sum(lost) / 2 < max_loss
    without = PoolLimitSettings(in_flight=24)
    assert honest_part(without, 1, 0.5, []) - honest_part(without, 1, 0.5, noise) > 0.3


def test_a_flood_of_names_costs_known_callers_little() -> None:
    limits = PoolLimitSettings(
        in_flight=24, shares=FairShareSettings(), table=CallerTableSettings(known=50, strangers=50)
    )
    noise = [(f"name-{number}", PEAK / 200) for number in range(400)]  # together twice what the pool can do
    assert honest_part(limits, 1, 0.5, []) - honest_part(limits, 1, 0.5, noise) < 0.03


def test_shares_follow_the_weights_under_pressure_and_nobody_is_limited_without() -> None:
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


def test_the_table_is_as_large_as_its_setting_whatever_is_requested() -> None:
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
